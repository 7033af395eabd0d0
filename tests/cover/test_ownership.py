import collections

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import renewals
from auburnrock.engine import sealing
from auburnrock.engine import timing
from auburnrock.engine import witness
from auburnrock.engine import witness_choice
from tests.common import ownership

SERVED_AGAIN_MS = 2_000
"""Longest time in ms until a key is served after a loss; set by the users."""


def state_of(world, process):
    return world.store.states[process.incarnation]


def test_a_lost_owner_is_replaced_within_the_bound():
    world = ownership.World()
    owner = world.settle()
    world.kill(owner)
    lost_at = world.time
    world.run(4_000)
    assert world.unavailable_ms(lost_at) <= SERVED_AGAIN_MS


@pytest.mark.parametrize("rank", [0, 1, 2])
def test_an_owner_lost_with_a_witness_is_replaced_within_the_bound(rank):
    world = ownership.World()
    owner = world.settle()
    world.kill(owner)
    world.kill(world.witnesses_of(owner)[0][rank])
    lost_at = world.time
    world.run(4_000)
    assert world.unavailable_ms(lost_at) <= SERVED_AGAIN_MS


def test_an_abandoned_sealing_is_finished_by_another_witness():
    world = ownership.World()
    owner = world.settle()
    (first, *_), _ = world.witnesses_of(owner)
    world.kill(owner)
    world.run_until(lambda: state_of(world, owner) is records.NodeState.SEALING)
    world.kill(first)
    lost_at = world.time
    world.run(4_000)
    assert world.unavailable_ms(lost_at) is not None


def test_restarted_witnesses_do_not_hold_up_a_sealing():
    world = ownership.World()
    owner = world.settle()
    (first, second, _), _ = world.witnesses_of(owner)
    world.cut(owner.address, [ownership.STORE])
    for process in (owner, first, second):
        world.kill(process)
    world.restart(first)
    world.restart(second)
    world.run(4_000)
    assert world.has_ended(owner.incarnation)


def test_a_restarted_owner_is_replaced_without_the_silence_limit():
    world = ownership.World()
    owner = world.settle()
    world.restart(owner)
    lost_at = world.time
    world.run(3_000)
    assert world.has_ended(owner.incarnation)
    assert world.unavailable_ms(lost_at) < 1_200


def test_one_cut_link_ends_no_node():
    world = ownership.World()
    owner = world.settle()
    (first, *_), _ = world.witnesses_of(owner)
    world.cut(owner.address, [first.address])
    world.run(10_000)
    assert owner.serves()
    assert all(served for _, served in world.served_ms)
    assert state_of(world, owner) is records.NodeState.ACTIVE
    assert first not in world.witnesses_of(owner)[0]


def test_a_store_outage_ends_no_lease():
    world = ownership.World()
    owner = world.settle()
    world.store_is_down = True
    world.run(30_000)
    assert all(served for _, served in world.served_ms)
    world.store_is_down = False
    world.run(1_000)
    assert state_of(world, owner) is records.NodeState.ACTIVE


def test_the_loss_of_a_zone_does_not_make_all_nodes_write_at_once():
    world = ownership.World(node_count=24, zones=6)
    world.settle()
    world.run(4_000)
    before = world.store.revision
    lost = [p for p in world.processes if p.zone == "z1"]
    for process in lost:
        world.kill(process)
    world.run(750)
    sealed = len(lost)
    assert world.store.revision - before <= sealed + 24 * 3 / 6 / 2
    world.run(5_000)
    for process in world.processes:
        named = world.witnesses_of(process)[0]
        assert not process.alive or not set(named) & set(lost)


def test_calls_are_not_retried_at_every_tick_of_an_outage():
    world = ownership.World()
    owner = world.settle()
    world.store_is_down = True
    world.kill(owner)
    calls = world.store.call_count
    world.run(10_000)
    # Each of four processes may try to seal and to change its witnesses. The
    # delays double from at least 50 ms to at least 1,500 ms.
    most_retries = 5 + 10_000 / 1_500
    assert 0 < world.store.call_count - calls <= 4 * 2 * most_retries


def sealing_of_a_sealed_record():
    """A sealing that continues from a SEALING record, and that record."""
    world = ownership.World()
    world.settle()
    value = world.store.nodes()[0]
    record = records.decode_node(value.data)
    record.state = records.NodeState.SEALING
    data = records.encode_json(record)
    value = msgspec.structs.replace(value, data=data)
    seal = sealing.Sealing("s", value, timing.Timing())
    seal.start(0)
    return seal, record


def answer_of(record, incarnation, remaining_ms=0):
    return messages.SealAnswer(
        incarnation, record.incarnation, 1, remaining_ms, False
    )


def test_only_a_witness_counts_as_sealed():
    seal, record = sealing_of_a_sealed_record()
    for incarnation in (90, 91, record.witnesses[0].incarnation):
        seal.on_seal_answer(0, answer_of(record, incarnation))
    assert seal.state == "sealing"


def test_a_sealer_waits_for_the_longest_remainder_of_a_majority():
    seal, record = sealing_of_a_sealed_record()
    first, second, third = (w.incarnation for w in record.witnesses)
    seal.on_seal_answer(0, answer_of(record, first, 0))
    seal.on_seal_answer(0, answer_of(record, second, 900))
    assert seal.tick(800) == []
    seal.on_seal_answer(800, answer_of(record, third, 0))
    assert seal.tick(802)[0].data is not None


def test_an_owner_that_leaves_is_replaced_without_a_wait():
    world = ownership.World()
    owner = world.settle()
    owner.participant.holder.leave()
    owner.granted_until_ms = 0.0  # The target has released all shards.
    assert not owner.serves()
    left_at = world.time
    world.run(1_000)
    assert world.unavailable_ms(left_at) < 200


@pytest.mark.parametrize("tick_first", [False, True])
def test_a_pause_of_all_processes_changes_nothing(tick_first):
    world = ownership.World()
    owner = world.settle()
    revision = world.store.revision
    sent = owner.participant.holder.renewals.sequence
    world.run_until(lambda: owner.participant.holder.renewals.sequence > sent)
    for process in world.processes:
        world.pause(process)
    world.run(5_000)
    for process in world.processes:
        world.resume(process, tick_first)
    world.run(3_000)
    assert owner.serves()
    assert world.store.revision == revision


def test_a_single_node_keeps_serving_while_it_gets_its_first_witness():
    world = ownership.World(node_count=1)
    owner = world.settle()
    world.start("n9", "n9", "z9")
    world.run(3_000)
    assert len(world.witnesses_of(owner)[0]) == 1
    assert all(served for _, served in world.served_ms)
    world.kill(owner)
    world.run(3_000)
    assert world.has_ended(owner.incarnation)


def test_the_lease_of_a_single_node_is_no_longer_than_a_term():
    world = ownership.World(node_count=1)
    owner = world.settle()
    left_ms = owner.participant.holder.expires_at_ms() - owner.now_ms()
    assert 0 < left_ms <= timing.Timing().holder_term_ms()


def test_a_single_node_ignores_a_peer_that_does_not_answer():
    world = ownership.World(node_count=1)
    owner = world.settle()
    world.cut(owner.address, ["n9"])
    world.start("n9", "n9", "z9")
    world.run(15_000)
    assert all(served for _, served in world.served_ms)


def test_a_restarted_witness_is_avoided_at_its_first_answer():
    world = ownership.World()
    owner = world.settle()
    (first, *_), _ = world.witnesses_of(owner)
    world.cut(first.address, [ownership.STORE])
    world.restart(first)
    world.run(timing.Timing().renewal_interval_ms + ownership.TICK_MS)
    avoided = owner.participant.holder.preferred.avoided_until_ms
    assert first.incarnation in avoided


def test_a_sealing_that_finds_a_newer_record_restarts_from_it():
    world = ownership.World()
    owner = world.settle()
    (sealer, *_), _ = world.witnesses_of(owner)
    sealer.refresh = lambda: None  # The sealer's replica becomes stale.
    owner.participant.holder.set_target("svc", "127.0.0.1:1", "t1", True)
    world.run(200)
    # The backoff of earlier store failures must not delay the new attempt.
    sealer.participant.backoff.failures = 10
    world.kill(owner)
    owner.granted_until_ms = 0.0
    issued = sealer.participant.on_node_ended(
        sealer.now_ms(), owner.incarnation
    )
    sealer.perform(issued)
    world.run(300)
    assert world.has_ended(owner.incarnation)


def test_the_loss_of_two_witnesses_costs_less_than_a_second():
    world = ownership.World(node_count=7, zones=7)
    owner = world.settle()
    for process in world.witnesses_of(owner)[0][:2]:
        world.kill(process)
    lost_at = world.time
    world.run(3_000)
    assert owner.serves()
    unserved = [t for t, served in world.served_ms if not served]
    assert all(t - lost_at < 1_000 for t in unserved)


@pytest.mark.parametrize("is_early", [False, True])
def test_a_target_that_checks_no_grants_needs_a_confirmed_end(is_early):
    world = ownership.World()
    owner = world.settle()
    owner.participant.holder.set_target("svc", "127.0.0.1:1", "t1", False)
    world.run(500)
    world.kill(owner)
    if not is_early:
        world.run(10_000)
        assert state_of(world, owner) is records.NodeState.SEALING
    for target in ("t0", "t1"):
        assert not world.has_ended(owner.incarnation)
        for process in world.processes[1:]:
            issued = process.participant.on_target_ended(
                process.now_ms(), owner.incarnation, target
            )
            process.perform(issued)
        world.run(2_000)
    assert world.has_ended(owner.incarnation)


def test_only_the_operators_confirmation_ends_a_node_without_witnesses():
    world = ownership.World(node_count=1)
    owner = world.settle()
    gaps = owner.participant.holder.gaps
    assert gaps == [witness_choice.Gap.TAKEOVER]
    successor = world.restart(owner)
    world.run(10_000)
    assert not world.has_ended(owner.incarnation)
    owner.granted_until_ms = 0.0
    issued = successor.participant.on_node_ended(
        successor.now_ms(), owner.incarnation
    )
    successor.perform(issued)
    world.run(1_000)
    assert successor.serves()


def test_a_host_replaced_while_it_was_frozen_is_ended():
    world = ownership.World()
    owner = world.settle()
    world.pause(owner)
    world.replace(owner)
    world.run(4_000)
    assert world.has_ended(owner.incarnation)
    world.resume(owner)
    world.run(1_000)
    assert owner.participant.holder.ended


def test_answers_out_of_order_shorten_no_lease():
    sent = renewals.Renewals(timing.Timing())
    (first,) = sent.due(0, {7}).values()
    (second,) = sent.due(300, {7}).values()
    for sequence in (second, first):
        answer = messages.RenewAnswer(7, 1, sequence, True, 0)
        sent.on_answer(400, answer)
    assert sent.expires_at_ms([records.Witness("w", 7)]) == 300 + 980


def test_a_seal_meant_for_a_later_process_is_not_answered():
    earlier = witness.Witness("a", 5, timing.Timing(), 0)
    assert earlier.on_seal(0, messages.Seal(1, 6, 1)) is None
    assert earlier.on_seal(0, messages.Seal(1, 4, 1)).gone


def test_a_witness_that_is_full_of_seals_renews_nobody_new(monkeypatch):
    monkeypatch.setattr(witness, "SEALED_MAX", 1)
    full = witness.Witness("a", 9, timing.Timing(), 0)
    assert full.on_renew(0, messages.Renew(1, 9, 1, 0)).renewed
    full.on_seal(10, messages.Seal(2, 9, 1))
    answers = [full.on_seal(t, messages.Seal(1, 9, 1)) for t in (20, 30)]
    assert [a.remaining_ms for a in answers] == [1_000, 1_000]
    for node in (1, 2, 3):
        assert not full.on_renew(40, messages.Renew(node, 9, 2, 0)).renewed


RATE = st.floats(0.99, 1.01)


@hypothesis.given(RATE, RATE, RATE, st.floats(0, 1_000), st.floats(0, 999))
@hypothesis.example(0.99, 1.01, 1.01, 284.1, 749.5)
def test_no_sealer_waits_less_than_the_holder_counts(
    holder, sealer, other, since_true_ms, phase
):
    times = timing.Timing()
    # All clock readings are truncated to whole milliseconds. The renewal is
    # received when it is sent, which is the worst case.
    end_ms = (int(phase * holder) + times.holder_term_ms()) / holder
    sealed_ms = phase + since_true_ms
    elapsed_ms = int(sealed_ms * other) - int(phase * other)
    wait_ms = times.seal_wait_ms(times.remaining_ms(elapsed_ms))
    assert (int(sealed_ms * sealer) + wait_ms) / sealer >= end_ms


def test_invalid_times_are_reported():
    assert timing.Timing().check() == []
    invalid = timing.Timing(silence_limit_ms=500, renewal_interval_ms=300)
    assert "silence_limit_ms is 500" in invalid.check()[0]
    assert "below the term" in timing.Timing(silence_limit_ms=990).check()[0]


def node(index, zone, state=records.NodeState.ACTIVE, region="r"):
    return records.NodeRecord(
        name=f"h{index}",
        incarnation=index + 1,
        region=region,
        zone=f"z{zone}",
        address="127.0.0.1",
        peer_port=1,
        http_port=2,
        state=state,
    )


@hypothesis.given(
    st.lists(st.integers(0, 5), min_size=1, max_size=12), st.data()
)
def test_witnesses_are_in_zones_of_their_own_as_far_as_there_are(zones, data):
    states = st.sampled_from(records.NodeState)
    nodes = [node(i, z, data.draw(states)) for i, z in enumerate(zones)]
    holder, others = nodes[0], nodes[1:]
    active = [n for n in others if n.state is records.NodeState.ACTIVE]
    choice = witness_choice.choose(holder, nodes)
    chosen = {w.incarnation for w in choice.witnesses}
    used = [n.zone for n in active if n.incarnation in chosen]
    expected = 3 if len(active) >= 3 else min(1, len(active))
    assert len(used) == len(choice.witnesses) == expected
    distinct = min(expected, len({n.zone for n in active}))
    assert len(set(used)) == distinct
    is_gap = expected > 0 and max(collections.Counter(used).values()) * 2 > (
        expected
    )
    assert (witness_choice.Gap.ZONE_LOSS in choice.gaps) == is_gap
    holder.witnesses = choice.witnesses
    assert witness_choice.choose(holder, nodes) == choice


def test_a_region_of_two_zones_keeps_a_majority_when_cut_off():
    regions = ["a", "a", "b", "b", "b", "c", "c", "c"]
    nodes = [node(i, i % 8, region=regions[i % 8]) for i in range(80)]
    by_incarnation = {n.incarnation: n for n in nodes}
    for holder in nodes:
        choice = witness_choice.choose(holder, nodes)
        chosen = [by_incarnation[w.incarnation] for w in choice.witnesses]
        own = [n for n in chosen if n.region == holder.region]
        assert len(own) >= 2
        assert choice.gaps == []


def test_the_work_of_witnesses_is_spread_over_the_fleet():
    nodes = [node(i, i % 6) for i in range(300)]
    work = collections.Counter(
        witness.name
        for holder in nodes
        for witness in witness_choice.choose(holder, nodes).witnesses
    )
    assert max(work.values()) <= 12
