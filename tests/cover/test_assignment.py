import collections

import pytest

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import assigner as assigner_lib
from auburnrock.engine import owner_choice
from auburnrock.engine import page_change
from auburnrock.engine import pages as pages_lib
from tests.common import assignment as common

ENDED = records.NodeState.ENDED
SERVICE = common.SERVICE
LATER_MS = 10_000_000


class Fleet:
    """One store and the assigners of some nodes, with up-to-date replicas."""

    def __init__(self, *nodes, shards=4, hot_keys=()):
        self.store = common.MemoryStore()
        self.configuration = common.services(shards, hot_keys)
        for record in nodes:
            self.store.put_node(record)
        self.assigners = {}

    def assigner(self, incarnation):
        if incarnation not in self.assigners:
            view = common.new_view(self.store)
            chooser = owner_choice.LeastLoaded()
            made = assigner_lib.Assigner(incarnation, view, chooser)
            made.on_configuration(self.configuration, 0)
            self.assigners[incarnation] = made
        return self.assigners[incarnation]

    def leader(self):
        some = self.assigner(min(self.store_nodes()))
        return self.assigner(some.leader(SERVICE))

    def store_nodes(self):
        return common.new_view(self.store).members.by_incarnation

    def refresh(self, part, now_ms):
        change = part.view.apply_snapshot(self.store.snapshot())
        part.on_change(change.keys, now_ms)
        return change

    def settle(self, part, now_ms, rounds=5):
        """Runs an assigner until its needs are met; returns its actions."""
        self.refresh(part, now_ms)
        done = []
        requested = part.tick(now_ms)
        for _ in range(rounds):
            done += requested
            results = [
                self.store.swap(call) for call in common.swaps(requested)
            ]
            self.refresh(part, now_ms)
            requested = []
            for result in results:
                requested += part.on_store_result(result, now_ms)
            requested += part.tick(now_ms)
        return done + requested

    def owners(self, number=0):
        return [entry.owner for entry in self.store.page(number).entries]


def test_a_new_service_gets_its_pages_spread_evenly_over_its_nodes():
    nodes = [common.node(n) for n in (1, 2, 3)]
    other = common.node(4, service="other")
    no_target = common.node(5, target_incarnation="")
    fleet = Fleet(*nodes, other, no_target, shards=1_500, hot_keys=["hot"])
    fleet.settle(fleet.leader(), 0)
    last = 1_500 // records.SHARDS_PER_PAGE
    owners = collections.Counter(
        owner for number in range(last + 1) for owner in fleet.owners(number)
    )
    assert owners == {1: 500, 2: 500, 3: 500, records.NO_OWNER: 1}
    assert fleet.owners(last)[-1] == records.NO_OWNER


def test_a_mass_failure_is_one_write_for_each_page():
    alive = [common.node(n) for n in range(1, 51)]
    lost = [common.node(n, state=ENDED) for n in range(51, 201)]
    fleet = Fleet(*alive, *lost, shards=2_048)
    pages = range(2_048 // records.SHARDS_PER_PAGE)
    for number in pages:
        first = number * records.SHARDS_PER_PAGE
        shards = range(first, first + records.SHARDS_PER_PAGE)
        owners = [1 + shard % 200 for shard in shards]
        fleet.store.put_page(common.page(owners, number=number))
    written = common.swaps(fleet.settle(fleet.leader(), 0))
    assert len([w for w in written if "pages/" in w.key]) == len(pages)
    owned = collections.Counter(
        owner for number in pages for owner in fleet.owners(number)
    )
    assert set(owned) == set(range(1, 51))
    assert max(owned.values()) - min(owned.values()) <= 1
    before = [entry.epoch for entry in common.page([1], 1).entries]
    changed = [e.epoch for e in fleet.store.page().entries]
    assert sorted(set(changed)) == [before[0], before[0] + 1]


def test_a_successor_of_the_same_name_gets_its_shards_back():
    fleet = Fleet(
        common.node(1, "a", ENDED), common.node(2, "b"), common.node(9, "a")
    )
    fleet.store.put_page(common.page([1, 2, 1, 2]))
    fleet.settle(fleet.leader(), 0)
    assert fleet.owners() == [9, 2, 9, 2]


def test_each_rank_waits_for_the_preceding_rank():
    fleet = Fleet(*[common.node(n) for n in range(1, 6)])
    for incarnation in range(1, 6):
        part = fleet.assigner(incarnation)
        due_ms = part.rank(SERVICE) * assigner_lib.RANK_DELAY_MS
        assert due_ms == 0 or not part.tick(due_ms - 1)
        assert common.swaps(part.tick(due_ms))


def test_rank_delays_start_once_a_need_can_be_met():
    fleet = Fleet(*[common.node(n, service="") for n in range(1, 4)])
    parts = [fleet.assigner(n) for n in range(1, 4)]
    assert not any(part.tick(LATER_MS) for part in parts)
    fleet.store.put_node(common.node(1))
    for part in parts:
        fleet.refresh(part, LATER_MS)
    assert sum(bool(part.tick(LATER_MS)) for part in parts) == 1


def test_rank_delays_restart_after_a_failed_write():
    fleet = Fleet(*[common.node(n) for n in range(1, 4)])
    last = max(
        (fleet.assigner(n) for n in (1, 2, 3)), key=lambda p: p.rank(SERVICE)
    )
    [call] = last.tick(600)
    down = actions.StoreOutcome.UNAVAILABLE
    last.on_store_result(actions.StoreResult(call.token, down), 50_000)
    assert not last.tick(50_599)
    assert last.tick(50_600)


def test_a_missing_record_proves_no_end_before_the_replica_has_caught_up():
    fleet = Fleet(common.node(1), common.node(2))
    fleet.store.put_node(common.node(3))
    fleet.store.put_page(common.page([3, 1, 1, 2], moving={1: 3}))
    part = fleet.leader()
    key = records.node_key("host3", 3)
    view = part.view
    behind = common.MemoryStore()
    behind.put_node(common.node(1))
    behind.put_node(common.node(2))
    stale = assigner_lib.Assigner(
        part.incarnation, common.new_view(behind), owner_choice.LeastLoaded()
    )
    stale.on_configuration(fleet.configuration, 0)
    page = fleet.store.get(records.page_key(SERVICE, 0))
    stale.on_change(stale.view.apply_value(page).keys, 0)
    assert not common.swaps(stale.tick(LATER_MS))
    # The record is known to be deleted once the replica has caught up.
    fleet.store.put(key, None)
    fleet.refresh(stale, LATER_MS)
    assert common.swaps(stale.tick(LATER_MS))
    assert view.members.is_active(3)


@pytest.mark.parametrize(
    "data", [b"", b"\xff\x00", b"{}", b"\x80", b'{"name": 3}']
)
def test_an_undecodable_record_is_logged_and_ignored(data):
    fleet = Fleet(common.node(1), common.node(2), common.node(3))
    fleet.store.put_page(common.page([1, 2, 3, 3]))
    part = fleet.leader()
    fleet.settle(part, 0)
    fleet.store.put(records.page_key(SERVICE, 0), data)
    fleet.store.put(records.node_key("host3", 3), data)
    fleet.store.put(records.node_key("host9", 9), data)
    fleet.store.put("nodes/x", data)
    change = fleet.refresh(part, 1)
    assert common.events(change.log) == ["record_undecodable"] * 4
    assert part.view.pages.owner(SERVICE, 2) == records.ShardEntry(3, 1)
    assert not common.swaps(part.tick(LATER_MS))


def test_a_page_that_names_another_page_is_undecodable():
    fleet = Fleet(common.node(1))
    data = records.encode_page(common.page([1] * 4, number=7))
    fleet.store.put(records.page_key(SERVICE, 0), data)
    view = common.new_view(fleet.store)
    assert view.pages.owner(SERVICE, 0) is None
    assert view.pages.is_undecodable(records.page_key(SERVICE, 0))


def test_planned_moves_are_written_and_impossible_ones_dropped():
    fleet = Fleet(common.node(1), common.node(2), common.node(3, state=ENDED))
    fleet.store.put_page(common.page([1, 1, 2, 2]))
    part = fleet.assigner(1)
    moves = [(0, 2), (1, 3), (2, 2), (9, 1)]
    requested = part.plan(
        [page_change.PlannedMove(SERVICE, *move) for move in moves], 0
    )
    assert common.events(requested) == ["planned_move_dropped"] * 3
    [call] = common.swaps(requested)
    fleet.store.swap(call)
    assert fleet.store.page().moving == {0: 2}


def test_a_move_towards_an_ended_node_is_cleared():
    fleet = Fleet(common.node(1), common.node(2, state=ENDED))
    fleet.store.put_page(common.page([1] * 4, moving={3: 2}))
    fleet.settle(fleet.leader(), 0)
    assert fleet.store.page().moving == {}
    assert fleet.owners() == [1] * 4


def test_a_shard_of_an_ended_owner_goes_where_it_was_moving():
    nodes = [common.node(n) for n in (2, 3, 4)]
    fleet = Fleet(common.node(1, state=ENDED), *nodes)
    fleet.store.put_page(common.page([1, 2, 3, 4], moving={0: 3}))
    fleet.settle(fleet.leader(), 0)
    assert fleet.owners() == [3, 2, 3, 4]
    assert fleet.store.page().moving == {}


def test_ended_records_are_removed_only_when_no_page_names_them():
    fleet = Fleet(*[common.node(n, state=ENDED) for n in (1, 2)])
    part = fleet.assigner(1)
    fleet.store.put_node(common.node(3, service=""))
    fleet.store.put_page(common.page([1] * 4))
    active = fleet.assigner(3)
    assert not fleet.settle(active, 0)
    wait_ms = assigner_lib.REMOVE_ENDED_AFTER_MS
    requested = fleet.settle(active, wait_ms)
    assert [call.key for call in common.swaps(requested)] == [
        records.node_key("host2", 2)
    ]
    assert set(fleet.store_nodes()) == {1, 3}
    assert not common.swaps(part.tick(LATER_MS))


def test_shards_are_assigned_in_proportion_to_capacity():
    fleet = Fleet(common.node(1), common.node(2), shards=90)
    part = fleet.leader()
    part.capacities[2] = 2.0
    fleet.settle(part, 0)
    assert collections.Counter(fleet.owners()) == {1: 30, 2: 60}


def test_the_views_show_the_owner_of_each_shard():
    fleet = Fleet(common.node(1), common.node(2))
    fleet.store.put_page(common.page([1, 2, 1, 2]))
    pages = common.new_view(fleet.store).pages
    shards = [pages_lib.ServiceShard(SERVICE, n) for n in (1, 3)]
    assert pages.shards_of(2) == shards
    assert pages.owner(SERVICE, 4) is None
    assert pages.owner("other", 0) is None
    assert pages.owned[SERVICE] == {1: 2, 2: 2}


def test_few_owners_of_one_page_release_at_a_time():
    """Guards against contention of owners that write the same page.

    Each owner writes the page when it has released its shards; four owners at
    once cost 40 ms more.
    """
    fleet = Fleet(*[common.node(n) for n in (1, 2, 3)])
    fleet.store.put_page(common.page([1, 1, 2, 3]))
    part = fleet.assigner(1)
    moves = [(0, 2), (1, 3), (2, 3), (3, 1)]
    [call] = common.swaps(
        part.plan([page_change.PlannedMove(SERVICE, *m) for m in moves], 0)
    )
    part.on_store_result(fleet.store.swap(call), 1)
    fleet.refresh(part, 1)
    assert fleet.store.page().moving == {0: 2, 1: 3, 2: 3}
    assert not common.swaps(part.tick(2))
    fleet.store.put_page(common.page([2, 3, 2, 3], epoch=2, moving={2: 3}))
    fleet.refresh(part, 3)
    [call] = common.swaps(part.tick(3))
    fleet.store.swap(call)
    assert fleet.store.page().moving == {2: 3, 3: 1}


def test_a_new_service_gets_its_pages_once_its_nodes_stop_changing():
    """Guards against assigning every shard to the first announced target.

    The pages were written before the other targets had announced themselves.
    """
    fleet = Fleet(common.node(1), common.node(2, service=""))
    part = assigner_lib.Assigner(
        1,
        common.new_view(fleet.store),
        owner_choice.LeastLoaded(),
        rank_delay_ms=0,
        create_settle_ms=1_000,
    )
    part.on_configuration(fleet.configuration, 0)
    assert not common.swaps(part.tick(999))
    fleet.store.put_node(common.node(2))
    fleet.refresh(part, 999)
    assert not common.swaps(part.tick(1_000))
    assert not common.swaps(part.tick(1_999))
    [call] = common.swaps(part.tick(2_000))
    fleet.store.swap(call)
    assert sorted(fleet.owners()) == [1, 1, 2, 2]
