"""Neighbours and the gossip of directories, at hundreds of nodes."""

import random

import msgspec
import pytest

from auburnrock.engine.mesh import gossip_filter
from auburnrock.engine.mesh import membership
from tests.common import mesh_gossip_simulation

FRAMES_MAX = 16
"""Maximum number of frames that a node sends for one change, whatever the size
of the fleet."""


def reachable_nodes(records, without=frozenset()):
    """Returns the nodes reachable from the first one, and all running ones."""
    running = [name for name in records if name not in without]
    links = {
        name: membership.neighbours(name, records) - set(without)
        for name in running
    }
    reachable = {running[0]}
    frontier = [running[0]]
    while frontier:
        frontier = [
            other
            for name in frontier
            for other in links[name]
            if other not in reachable
        ]
        reachable.update(frontier)
    return reachable, set(running)


@pytest.mark.parametrize("count", [8, 30, 194, 1_200])
def test_the_number_of_neighbours_does_not_grow_with_the_fleet(count):
    records = mesh_gossip_simulation.members(count)
    for name in list(records)[:40]:
        found = membership.neighbours(name, records)
        assert 2 <= len(found) <= 2 * membership.RINGS
        for other in found:
            assert name in membership.neighbours(other, records)


@pytest.mark.parametrize("seed", range(5))
def test_a_fleet_that_loses_a_tenth_stays_in_one_piece(seed):
    records = mesh_gossip_simulation.members(194)
    lost = random.Random(seed).sample(sorted(records), 19)
    reachable, present = reachable_nodes(records, frozenset(lost))
    assert reachable == present


def known_everywhere(fleet, name, check):
    def is_known():
        return all(
            check(peer.directory.entries[name])
            for peer in fleet.peers.values()
            if peer.name not in fleet.stopped and peer.name != name
        )

    return is_known


def test_a_change_reaches_194_nodes_at_once_and_nobody_sends_many_frames():
    fleet = mesh_gossip_simulation.GossipSimulation(194, 1)
    fleet.start_all()
    first = fleet.peers["10.0.0.0"]
    sent = {peer.name: peer.sent for peer in fleet.peers.values()}
    entry = msgspec.structs.replace(first.directory.own, draining=True)
    fleet.queue_entries(first, [first.directory.update_own(entry)], "")
    took_ms = fleet.time_until(
        known_everywhere(fleet, first.name, lambda each: each.draining)
    )
    assert took_ms < 500.0
    pings = 2 * membership.RINGS
    for peer in fleet.peers.values():
        assert peer.sent - sent[peer.name] - pings <= FRAMES_MAX


@pytest.mark.parametrize("seed", range(3))
def test_a_change_reaches_running_nodes_despite_lost_messages_and_nodes(seed):
    fleet = mesh_gossip_simulation.GossipSimulation(194, seed)
    fleet.start_all()
    names = sorted(fleet.peers)
    fleet.stopped = set(fleet.rng.sample(names[1:], 19))
    fleet.loss = 0.3
    first = fleet.peers[names[0]]
    entry = msgspec.structs.replace(first.directory.own, slots=9)
    fleet.queue_entries(first, [first.directory.update_own(entry)], "")
    is_known = known_everywhere(fleet, first.name, lambda each: each.slots == 9)
    assert fleet.time_until(is_known) < 3_000.0
    # Stopped nodes receive the change once they resume.
    fleet.stopped = set()
    assert fleet.time_until(is_known) < 5_000.0


def test_a_comparison_sends_both_nodes_what_they_have_missed():
    fleet = mesh_gossip_simulation.GossipSimulation(30, 0)
    fleet.start_all()
    requester = fleet.peers["10.0.0.0"]
    other = fleet.peers[requester.neighbours[0]]
    entry = msgspec.structs.replace(requester.directory.own, slots=9)
    missed_by_other = requester.directory.update_own(entry)
    entry = msgspec.structs.replace(other.directory.own, slots=8)
    missed_by_requester = other.directory.update_own(entry)
    fleet.on_digest(other, requester.name, requester.directory.digest())
    fleet.run(2 * mesh_gossip_simulation.TICK_MS)
    assert other.directory.entries[requester.name] == missed_by_other
    assert requester.directory.entries[other.name] == missed_by_requester


def test_a_silent_node_is_suspected_by_all_until_it_refutes():
    fleet = mesh_gossip_simulation.GossipSimulation(194, 4)
    fleet.start_all()
    name = "10.0.0.7"
    fleet.stopped = {name}
    witness = fleet.peers[sorted(fleet.peers[name].neighbours)[0]]
    suspicion = witness.directory.suspect(fleet.now_ms, name)
    fleet.queue_entries(witness, [suspicion], "")
    suspected = known_everywhere(fleet, name, lambda each: each.suspected)
    assert fleet.time_until(suspected) < 500.0
    assert name not in witness.directory.alive()
    fleet.stopped = set()
    refuted = known_everywhere(fleet, name, lambda each: not each.suspected)
    assert fleet.time_until(refuted) < 3_000.0
    # The fault may have been in the witness's own link, so it does not suspect
    # the node again at once.
    assert witness.directory.suspect(fleet.now_ms, name) is None
    later_ms = fleet.now_ms + membership.RESUSPECT_DELAY_MS + 1.0
    assert witness.directory.suspect(later_ms, name) is not None


def test_a_late_message_does_not_undo_a_later_one():
    directory = membership.Directory("a", 5)
    directory.set_members({"a", "b"})
    leaving = membership.Entry("b", 8, leaving=True)
    assert directory.merge(0.0, [leaving]) == [leaving]
    assert directory.merge(0.0, [membership.Entry("b", 7)]) == []
    assert directory.entries["b"].leaving


def test_a_process_whose_clock_went_back_outranks_its_former_one():
    directory = membership.Directory("a", 1_000)
    directory.set_members({"a", "b"})
    former = membership.Entry("a", 9_000, slots=9)
    updates = directory.merge(0.0, [former])
    assert [entry.version for entry in updates] == [9_001]
    entry = directory.update_own(membership.Entry("a", slots=6))
    assert entry.version_key() > former.version_key()


def test_an_unchanged_own_entry_is_not_sent_again():
    directory = membership.Directory("a", 1)
    assert directory.update_own(membership.Entry("a", slots=6)) is not None
    assert directory.update_own(membership.Entry("a", slots=6)) is None


def test_entries_of_a_removed_node_are_dropped():
    directory = membership.Directory("a", 1)
    directory.set_members({"a", "b"})
    directory.merge(0.0, [membership.Entry("b", 3)])
    directory.set_members({"a"})
    assert directory.alive() == set()
    assert "b" not in directory.entries


def test_a_long_item_is_sent_to_each_node_about_once():
    fleet = mesh_gossip_simulation.GossipSimulation(194, 9)
    fleet.start_all()
    fleet.announce_item(fleet.peers["10.0.0.0"], "op/config", 7)
    took_ms = fleet.time_until(
        lambda: all(
            peer.items.get("op/config") == 7 for peer in fleet.peers.values()
        )
    )
    assert took_ms < 500.0
    sent_by_node = [peer.long_items_sent for peer in fleet.peers.values()]
    assert sum(sent_by_node) == 193
    assert max(sent_by_node) <= 2 * membership.RINGS


def test_another_neighbour_is_asked_for_an_item_that_did_not_come():
    gossip = gossip_filter.GossipFilter()
    assert gossip.should_request(0.0, "k", 7)
    assert not gossip.should_request(100.0, "k", 7)
    assert gossip.should_request(100.0, "k", 8)
    assert gossip.should_request(101.0 + gossip_filter.REQUEST_RETRY_MS, "k", 8)


def test_a_change_is_forwarded_once_and_an_earlier_one_never_after_it():
    gossip = gossip_filter.GossipFilter()
    assert gossip.should_forward("k", 5)
    assert not gossip.should_forward("k", 5)
    assert not gossip.should_forward("k", 4)
    assert gossip.should_forward("k", 6)
