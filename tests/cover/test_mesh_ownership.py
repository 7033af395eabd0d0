"""Ownership of keys by whole nodes, while nodes and the store fail."""

import asyncio

import pytest_asyncio

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import rebalancing
from auburnrock.platform import store_client as platform_store
from auburnrock.shells import clock
from auburnrock.shells.mesh import takeover as takeover_module
from tests.common import mesh_fleet
from tests.common import mesh_grant_oracle


@pytest_asyncio.fixture
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "portal", "portal", "booker")
    yield made
    await made.stop()


@pytest_asyncio.fixture
async def oracle(fleet):
    made = mesh_grant_oracle.GrantOracle()
    for host in fleet.hosts:
        made.watch(host.target)
    yield made
    assert made.violations == []


def held_keys(fleet) -> int:
    """Returns the number of keys that all targets hold."""
    return sum(
        host.target.held_key_count()
        for host in fleet.hosts
        if host.target is not None
    )


async def await_witnesses(fleet):
    await fleet.wait_until(
        lambda: all(
            host.node.ownership.own_record.record
            and host.node.ownership.own_record.record.witnesses
            for host in fleet.hosts[:3]
        )
    )


async def test_a_node_that_gets_witnesses_keeps_its_lease(
    fleet, oracle, monkeypatch
):
    """The lease ended for up to 0.3 s, until the new witnesses renewed it."""
    propose = lease_module.Lease.propose
    ends = []
    writing = []

    def record_ends(self, witnesses):
        before_ms = self.ends_ms()
        propose(self, witnesses)
        ends.append((before_ms, self.ends_ms()))

    monkeypatch.setattr(lease_module.Lease, "propose", record_ends)
    joined = mesh_fleet.Host(fleet, 5, "portal")
    fleet.hosts.append(joined)
    await joined.start_node()
    own = joined.node.ownership.own_record
    change = own.store.compare_and_swap

    async def record_sets(expected, puts, removes):
        if own.revision and own.revision in expected.values():
            writing.append(list(own.lease.witnesses))
        return await change(expected, puts, removes)

    own.store.compare_and_swap = record_sets
    oracle.watch(await joined.start_target())
    await fleet.wait_until(lambda: own.record and own.record.witnesses)
    assert ends
    assert [after_ms for _, after_ms in ends] == [before for before, _ in ends]
    # Until the record is written, a seal by either set must imply that the
    # lease has ended.
    assert {len(sets) for sets in writing} == {2}


async def test_the_keys_of_a_crashed_target_are_served_by_the_others(
    fleet, oracle
):
    await fleet.hosts[0].target.crash()
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, 5.0)
    status, _, _ = await fleet.send_request(fleet.hosts[1], "/lookup/x", key=5)
    assert status == 200


async def test_a_restarted_target_gets_its_share_back(fleet, oracle):
    await fleet.hosts[0].target.crash()
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, 5.0)
    oracle.watch(await fleet.hosts[0].start_target())
    await fleet.wait_until(
        lambda: fleet.hosts[0].target.held_key_count() > model.KEYS // 4, 8.0
    )


async def test_a_leaving_target_hands_all_its_keys_over(fleet, oracle):
    leaving = fleet.hosts[0].target
    leaving.state = "draining"
    await fleet.wait_until(
        lambda: not leaving.holds and held_keys(fleet) == model.KEYS, 2.0
    )
    table = fleet.hosts[1].node.holder.table
    handed_over = sum(1 for stripe in table.stripes if stripe.handover)
    assert handed_over >= len(table.stripes) // 4


async def test_a_killed_node_goes_on_with_the_same_fences(fleet, oracle):
    await await_witnesses(fleet)
    before = fleet.hosts[1].node.holder.table.version
    await fleet.hosts[0].kill_node()
    await asyncio.sleep(0.5)
    await fleet.hosts[0].start_node()
    await asyncio.sleep(1.0)
    third = model.KEYS / 3
    run = model.KEYS / rebalancing.first_count(3)
    assert abs(fleet.hosts[0].target.held_key_count() - third) <= run
    assert fleet.hosts[1].node.holder.table.version == before


async def test_the_keys_of_a_lost_host_are_taken_over(fleet, oracle):
    await await_witnesses(fleet)
    await fleet.hosts[0].kill_node()
    await fleet.hosts[0].target.crash()
    fleet.hosts[0].target = None
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, 12.0)
    assert fleet.store.value(f"auburnrock/m/{fleet.hosts[0].ip}") is None


async def test_the_keys_of_a_lost_node_wait_for_its_targets_hold(fleet, oracle):
    await await_witnesses(fleet)
    await fleet.hosts[0].kill_node()
    await fleet.wait_until(
        lambda: (
            held_keys(fleet) == model.KEYS and not fleet.hosts[0].target.holds
        ),
        12.0,
    )


async def test_a_hand_over_of_an_ended_process_gives_no_key_two_holders(
    fleet, oracle, monkeypatch
):
    """The store made the change seconds after the process had sent it, when
    the node's next process had granted the keys to its target again."""
    await await_witnesses(fleet)
    source = fleet.hosts[0]
    sent = []

    async def send_late(*change):
        sent.append(change)
        raise coordination_store.StoreOutcomeUnknownError("no answer in time")

    monkeypatch.setattr(
        source.node.ownership.store, "compare_and_swap", send_late
    )
    source.target.state = "draining"
    await fleet.wait_until(lambda: sent and not source.target.holds, 5.0)
    await source.kill_node()
    # The next process does not know that the target was draining.
    source.target.state = "ready"
    await source.start_node()
    await fleet.wait_until(lambda: source.node.ownership.lease_was_live, 5.0)
    await asyncio.sleep(0.6)
    late = platform_store.StoreClient(fleet.store_address, clock.exact_ms)
    await late.compare_and_swap(*sent[0])
    late.close()
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, 8.0)
    await asyncio.sleep(0.5)


async def test_an_outage_of_the_store_ends_no_hold(fleet, oracle):
    await await_witnesses(fleet)
    fleet.store.switches.busy = True
    for _ in range(20):
        await asyncio.sleep(0.3)
        assert held_keys(fleet) == model.KEYS
    fleet.store.switches.busy = False


async def test_no_key_is_let_go_for_a_move_while_the_store_is_away(
    fleet, oracle
):
    """A target released keys after its weight had changed. The store could not
    accept the move, so no target owned the keys until it was reachable again,
    7 s later."""
    await await_witnesses(fleet)
    fleet.store.switches.busy = True
    await asyncio.sleep(0.5)
    fleet.hosts[0].node.executor.service_time_ratio.applied_mean *= 2.0
    for _ in range(12):
        await asyncio.sleep(0.1)
        assert held_keys(fleet) == model.KEYS
    fleet.store.switches.busy = False
    await fleet.wait_until(
        lambda: (
            fleet.hosts[0].target.held_key_count() < model.KEYS / 4
            and held_keys(fleet) == model.KEYS
        ),
        4.0,
    )


async def test_a_node_that_the_store_turns_away_hands_its_keys_over(
    fleet, oracle
):
    """The target had released its keys, which had no owner until the
    takeover."""
    await await_witnesses(fleet)

    async def refuse(*values):
        raise coordination_store.StoreUnavailableError("cut off from the store")

    fleet.hosts[0].node.store._exchange = refuse
    fleet.hosts[0].target.state = "draining"
    await fleet.wait_until(
        lambda: (
            not fleet.hosts[0].target.holds and held_keys(fleet) == model.KEYS
        ),
        2.0,
    )


async def test_a_lost_answer_of_the_store_leaves_one_owner(fleet, oracle):
    fleet.store.switches.lose_changes = 3
    await fleet.hosts[0].target.crash()
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, 10.0)


async def test_a_dropped_history_is_read_anew(fleet, oracle):
    fleet.store.compact_history()
    await fleet.hosts[0].target.crash()
    fleet.store.compact_history()
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, 6.0)


async def test_keys_of_an_address_that_another_service_got_are_moved(
    fleet, oracle
):
    await await_witnesses(fleet)
    lost = fleet.hosts[0]
    await lost.kill_node()
    await lost.target.crash()
    lost.target = None
    lost.service = "booker"
    await lost.start_node()
    await lost.start_target()
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, 4.0)


async def test_all_nodes_killed_at_once_resume_without_a_move(fleet, oracle):
    await await_witnesses(fleet)
    before = fleet.hosts[1].node.holder.table.version
    for host in fleet.hosts:
        await host.kill_node()
    await asyncio.sleep(0.3)
    for host in fleet.hosts:
        await host.start_node()
    await asyncio.sleep(1.5)
    assert held_keys(fleet) == model.KEYS
    assert fleet.hosts[1].node.holder.table.version == before


async def test_a_restarted_node_knows_how_fast_its_target_was(fleet, oracle):
    """The target's weight was reset to the average, so keys moved to it and
    then away again."""
    await await_witnesses(fleet)
    executor = fleet.hosts[0].node.executor
    executor.service_time_ratio.mean = (
        executor.service_time_ratio.applied_mean
    ) = 0.2
    name = fleet.hosts[0].ip
    others = [host.node.peers.directory for host in fleet.hosts[1:]]
    # Reports are sent with pings, so they are known some time after the start.
    await fleet.wait_until(lambda: all(name in each.entries for each in others))
    await fleet.wait_until(
        lambda: all(
            each.entries[name].service_time_ratio == 0.2 for each in others
        )
    )
    await fleet.hosts[0].kill_node()
    await fleet.hosts[0].start_node()
    await fleet.wait_until(
        lambda: fleet.hosts[0].node.executor.target is not None
    )
    await asyncio.sleep(0.5)
    assert fleet.hosts[0].node.executor.service_time_ratio.applied_mean == 0.2


async def test_nodes_killed_at_once_grant_again_soon_after_their_start(
    fleet, oracle
):
    """Every request is refused until a restarted process grants keys. It took
    0.35 s longer than the start of the process itself."""
    await await_witnesses(fleet)
    fleet.store.switches.delay_s = 0.004
    loop = asyncio.get_running_loop()
    waits_s = []
    for _ in range(3):
        for host in fleet.hosts:
            await host.kill_node()
        began_s = loop.time()
        for host in fleet.hosts:
            await host.start_node()
        await fleet.wait_until(
            lambda: all(
                host.node.ownership.grants_until_ms() > host.node.now_ms()
                for host in fleet.hosts[:3]
            ),
            3.0,
        )
        waits_s.append(loop.time() - began_s)
    assert min(waits_s) < 0.2


async def test_a_heartbeat_that_comes_before_the_lease_is_live_waits_for_it(
    fleet, oracle
):
    """The table changed the grants before the lease was live. The reply was
    sent without grants, and the keys were served one heartbeat later."""
    await await_witnesses(fleet)
    for host in fleet.hosts:
        await host.kill_node()
    fleet.store.switches.delay_s = 0.05
    targets = [host.target for host in fleet.hosts[:3]]
    for target in targets:
        target.replies_without_holds = 0
    for host in fleet.hosts:
        await host.start_node()
    await fleet.wait_until(
        lambda: all(
            host.node.holder.served_until_ms for host in fleet.hosts[:3]
        )
    )
    assert [target.replies_without_holds for target in targets] == [0, 0, 0]


async def test_the_keys_of_an_owner_without_a_record_are_moved(fleet, oracle):
    """An owner without a record has no witness that could take over its keys,
    and it was lost before it could register again."""
    await await_witnesses(fleet)
    lost = fleet.hosts[0]
    await lost.kill_node()
    await lost.target.crash()
    lost.target = None
    fleet.store.apply([], [f"auburnrock/m/{lost.ip}"])
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, 12.0)
    table = fleet.hosts[1].node.holder.table
    assert lost.ip not in table.members()


async def test_an_owner_grants_nothing_before_it_has_read_its_record(fleet):
    """The initial assignment is not conditional on the records of all owners,
    so an owner without a record would grant keys that others take over."""
    node = fleet.hosts[0].node
    assert node.ownership.own_record.is_confirmed
    assert node.ownership.grants_until_ms() > node.now_ms()
    node.system_sync.stop()
    node.system_sync.apply_store_update = lambda items: None
    node.ownership.own_record.is_confirmed = False
    assert node.ownership.grants_until_ms() == 0.0
    fleet.store.apply([], [f"auburnrock/m/{node.settings.ip}"])
    lost = []
    on_record_lost = node.ownership.own_record.on_record_lost
    node.ownership.own_record.on_record_lost = lambda *cause: (
        lost.append(cause),
        on_record_lost(*cause),
    )
    await fleet.wait_until(lambda: lost)
    await fleet.wait_until(lambda: node.ownership.own_record.is_confirmed)


async def _remove_silent(fleet, silent) -> None:
    """Runs the first host's check for lost nodes.

    Args:
      fleet: the fleet.
      silent: hosts that have long been silent to the first one.
    """
    node = fleet.hosts[0].node
    long_ago_ms = node.now_ms() - takeover_module.RECORD_EXPIRY_MS - 1.0
    for host in silent:
        node.peers.directory.suspect(long_ago_ms, host.ip)
    node.ownership.takeover.expiry_checked_ms = 0.0
    await node.ownership.takeover.remove_expired_records(node.now_ms())


async def test_a_node_that_hears_nobody_removes_no_record(fleet):
    """A node behind a saturated link removed the records of forty running
    nodes, whose requests were interrupted."""
    await await_witnesses(fleet)
    await _remove_silent(fleet, fleet.hosts[1:])
    key = f"auburnrock/m/{fleet.hosts[3].ip}"
    assert fleet.store.value(key) is not None


async def test_a_node_that_is_lost_to_one_that_hears_the_others_is_forgotten(
    fleet,
):
    await await_witnesses(fleet)
    lost = fleet.hosts[3]
    await lost.kill_node()
    await _remove_silent(fleet, [lost])
    assert fleet.store.value(f"auburnrock/m/{lost.ip}") is None


async def test_a_node_that_is_called_silent_but_answers_is_not_forgotten(fleet):
    await await_witnesses(fleet)
    await _remove_silent(fleet, [fleet.hosts[3]])
    key = f"auburnrock/m/{fleet.hosts[3].ip}"
    assert fleet.store.value(key) is not None
