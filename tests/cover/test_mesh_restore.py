"""Restore of the store from an older copy, which begins the next era."""

import asyncio
import base64

import msgspec
import pytest
import pytest_asyncio

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.shells.mesh import relayed_store
from auburnrock.shells.mesh import store_cache
from auburnrock_standins import mesh_store
from tests.common import mesh_fleet
from tests.common import mesh_grant_oracle
from tests.common import mesh_restorable_store

RECORD = mesh_restorable_store.RECORD
OTHER_RECORD = mesh_restorable_store.OTHER_RECORD
TABLE = mesh_restorable_store.TABLE


@pytest_asyncio.fixture
async def restored():
    async with mesh_restorable_store.serve_store() as made:
        yield made


class PeerConnections:
    """Connections to other nodes, of which there are none."""

    on_change_request = None


def helper(client):
    return relayed_store.RelayedStore(
        client, PeerConnections(), mesh_restorable_store.LOG, lambda: 0.0
    )


async def outcome(changing):
    """Returns the result of a change, or the StoreError that it raises."""
    try:
        return await changing
    except coordination_store.StoreError as error:
        return error


# Synchronisation of the items.


async def test_what_the_store_no_longer_says_is_forgotten(restored):
    restored.copy()
    restored.store.put(RECORD, b"since")
    follower = restored.follower()
    await follower.call()
    assert follower.values == {RECORD: b"since"}
    restored.restore()
    await follower.calls(3)
    assert follower.values == {}


async def test_an_item_is_what_the_restored_store_says_it_is(restored):
    restored.store.put(TABLE, b"copied")
    restored.copy()
    restored.store.put(TABLE, b"since")
    follower = restored.follower()
    await follower.call()
    restored.restore()
    await follower.calls(3)
    assert follower.values == {TABLE: b"copied"}


async def test_a_removed_record_is_seen_when_it_is_back(restored):
    restored.store.put(RECORD, b"copied")
    restored.copy()
    follower = restored.follower()
    await follower.call()
    restored.store.apply([], [RECORD])
    await follower.call()
    assert follower.values == {}
    restored.restore()
    await follower.calls(3)
    assert follower.values == {RECORD: b"copied"}


async def test_changes_below_the_revision_of_a_watch_are_not_missed(restored):
    """The store had assigned the revision again, so it did not answer 410."""
    restored.copy()
    for _ in range(3):
        restored.store.put(RECORD, b"since")
    follower = restored.follower()
    await follower.call()
    restored.restore()
    restored.store.put(RECORD, b"new")
    for _ in range(4):
        restored.store.put(OTHER_RECORD, b"new")
    await follower.calls(3)
    assert follower.values == {RECORD: b"new", OTHER_RECORD: b"new"}


async def test_a_restore_that_cuts_a_watch_is_heard_of_at_once(restored):
    """The next watch waited for a change, and no node knew of the new era."""
    restored.copy()
    follower = restored.follower(wait_ms=10_000)
    follower.sync.start()
    try:
        assert await mesh_restorable_store.becomes_true(
            lambda: restored.store.calls.get("/auburnrock/kv-watch"), 2.0
        )
        restored.restore()
        assert await mesh_restorable_store.becomes_true(
            lambda: (
                follower.sync.era == 1 and not follower.sync.store_unreachable
            ),
            5.0,
        )
    finally:
        follower.sync.stop()


async def test_what_a_neighbour_saw_in_the_older_era_is_no_news(restored):
    restored.copy()
    neighbour = restored.follower()
    await neighbour.call()
    restored.store.put(RECORD, b"since")
    await neighbour.call()
    restored.restore()
    follower = restored.follower()
    await follower.call()
    follower.sync.apply_store_update(neighbour.forwarded_items)
    assert follower.values == {}


async def test_news_of_the_later_era_are_taken_though_revisions_went_back(
    restored,
):
    restored.copy()
    for _ in range(3):
        restored.store.put(RECORD, b"since")
    late = restored.follower()
    await late.call()
    restored.restore()
    neighbour = restored.follower()
    await neighbour.call()
    restored.store.put(RECORD, b"new")
    await neighbour.call()
    late.sync.apply_store_update(neighbour.forwarded_items)
    assert late.values == {RECORD: b"new"}


# Changes.


async def lost_change(restored, client):
    """Writes a record that a restore loses and another node writes again.

    Returns:
      The revision that the first writer received.
    """
    restored.copy()
    revision = await client.compare_and_swap(
        {RECORD: 0}, {RECORD: b"since"}, []
    )
    restored.restore()
    other = restored.client()
    # Every process lists the store before its first change.
    await other.list_all("auburnrock/")
    again = await other.compare_and_swap({RECORD: 0}, {RECORD: b"other"}, [])
    assert restored.store.items[RECORD][1] == 3
    assert isinstance(again, int)
    return revision


async def test_a_change_is_not_made_on_a_revision_that_was_given_out_again(
    restored,
):
    client = restored.client()
    revision = await lost_change(restored, client)
    # By this answer the client knows of the restore.
    await client.read("op/config")
    made = await outcome(
        client.compare_and_swap({RECORD: revision}, {RECORD: b"x"}, [])
    )
    assert not isinstance(made, int)
    assert restored.store.value(RECORD) == b"other"


async def test_a_change_is_not_made_before_its_maker_hears_of_the_restore(
    restored,
):
    client = restored.client()
    revision = await lost_change(restored, client)
    await outcome(
        client.compare_and_swap({RECORD: revision}, {RECORD: b"x"}, [])
    )
    assert restored.store.value(RECORD) == b"other"


async def test_a_change_is_not_made_seconds_after_a_restore(restored):
    """The store may execute a call late, if its condition still holds."""
    client = restored.client()
    revision = await lost_change(restored, client)
    # This client sends the change as it was sent before the restore.
    late = restored.client()
    late.era = 0
    late.server_sends_era = True
    made = await outcome(
        late.compare_and_swap({RECORD: revision}, {}, [RECORD])
    )
    assert isinstance(made, coordination_store.StaleEraError)
    assert restored.store.value(RECORD) == b"other"


async def test_marks_of_eras_cost_no_call_and_are_no_items(restored):
    client = restored.client()
    await client.list_all("auburnrock/")
    revision = await client.compare_and_swap({RECORD: 0}, {RECORD: b"x"}, [])
    assert sum(restored.store.calls.values()) == 2
    assert restored.store.value("auburnrock/e/0") == b""
    marked = restored.store.items["auburnrock/e/0"]
    listing = await client.list_all("auburnrock/")
    assert [item.key for item in listing.items] == [RECORD]
    changes = await client.watch("auburnrock/", 1, 50)
    assert [item.key for item in changes.items] == [RECORD]
    await client.compare_and_swap({RECORD: revision}, {}, [RECORD])
    assert restored.store.items["auburnrock/e/0"] == marked


async def test_a_store_without_eras_gets_no_marks(restored):
    restored.store.switches.hides_era = True
    client = restored.client()
    await client.list_all("auburnrock/")
    await client.compare_and_swap({RECORD: 0}, {RECORD: b"x"}, [])
    assert set(restored.store.items) == {RECORD, "op/config"}


async def test_a_relayed_change_of_the_older_era_is_not_made(restored):
    """The relaying node knows of the restore; the requesting one does not."""
    client = restored.client()
    revision = await lost_change(restored, client)
    helping = restored.client()
    await helping.read("op/config")
    asked = peer_messages.ChangeRequest(
        1, {RECORD: revision}, {RECORD: b"x"}, []
    )
    answer = await helper(helping).on_change_request(asked)
    assert answer.failure
    assert restored.store.value(RECORD) == b"other"


async def test_a_change_given_up_for_its_era_is_an_event(restored):
    client = restored.client()
    revision = await lost_change(restored, client)
    await client.read("op/config")
    before = mesh_restorable_store.LOG.counts.get("era_passed", 0)
    changing = helper(client).compare_and_swap(
        {RECORD: revision}, {RECORD: b"x"}, []
    )
    assert isinstance(await outcome(changing), coordination_store.StaleEraError)
    assert mesh_restorable_store.LOG.counts["era_passed"] == before + 1


async def test_a_change_that_was_made_in_another_era_is_no_success(restored):
    """The client cannot know of the restore before the answer reports the
    era."""
    client = restored.client()
    restored.store.put(RECORD, b"copied")
    revision = (await client.read(RECORD)).revision
    restored.copy()
    restored.restore()
    made = await outcome(
        client.compare_and_swap({RECORD: revision}, {RECORD: b"x"}, [])
    )
    assert isinstance(made, coordination_store.StoreOutcomeUnknownError)


async def test_no_change_is_decided_on_two_eras(restored):
    client = restored.client()
    restored.store.put(RECORD, b"copied")
    before = (await client.read(RECORD)).revision
    restored.copy()
    restored.restore()
    after = (await client.read(RECORD)).revision
    made = await outcome(
        client.compare_and_swap(
            {RECORD: after, TABLE: before}, {RECORD: b"x"}, []
        )
    )
    assert isinstance(made, coordination_store.StaleEraError)


# The era in the store's answers.


async def test_revisions_order_by_their_era_first(restored):
    client = restored.client()
    restored.store.put(RECORD, b"copied")
    restored.copy()
    for _ in range(5):
        restored.store.put(RECORD, b"since")
    before = (await client.read(RECORD)).revision
    restored.restore()
    after = (await client.read(RECORD)).revision
    assert after > before
    assert (
        coordination_store.era_of(after)
        == coordination_store.era_of(before) + 1
    )
    assert (
        coordination_store.number_of(after) == restored.store.items[RECORD][1]
    )


async def test_without_an_era_revisions_are_the_stores_numbers(restored):
    restored.store.era = 3
    restored.store.switches.hides_era = True
    client = restored.client()
    restored.store.put(RECORD, b"x")
    number = restored.store.items[RECORD][1]
    assert (await client.read(RECORD)).revision == number
    listing = await client.list_all("auburnrock/")
    assert listing.revision == number
    assert (
        await client.compare_and_swap({RECORD: number}, {}, [RECORD])
        == number + 1
    )


async def test_an_answer_of_an_older_era_is_not_taken(restored):
    client = restored.client()
    restored.store.era = 3
    await client.read("op/config")
    restored.store.era = 2
    with pytest.raises(coordination_store.StoreUnavailableError):
        await client.list_all("auburnrock/")
    assert client.era == 3


async def test_an_era_that_is_no_number_is_not_taken(restored):
    restored.store.era = "x"
    with pytest.raises(coordination_store.StoreUnavailableError):
        await restored.client().list_all("auburnrock/")


async def test_a_listing_is_of_one_era(restored):
    for name in "abcd":
        restored.store.put(f"auburnrock/m/{name}", b"x")
    restored.copy()
    client = restored.client()
    ask = client._get

    async def restore_first(path, *options):
        if "after=" in path:
            restored.restore()
        return await ask(path, *options)

    client._get = restore_first
    with pytest.raises(coordination_store.StoreUnavailableError):
        await client.list_all("auburnrock/")


# Whole nodes.


@pytest_asyncio.fixture
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "portal", "portal", "booker")
    made.clock = mesh_restorable_store.Clock()
    made.store.writes.clear()
    made.store.now_s = made.clock.read
    yield made
    await made.stop()


def watched(fleet):
    """Returns an oracle that checks all grants that targets accept."""
    oracle = mesh_grant_oracle.GrantOracle()
    for host in fleet.hosts:
        oracle.watch(host.target)
    return oracle


async def await_witnesses(fleet, least=1):
    """Waits until the keyed nodes' records have at least `least` witnesses."""
    await fleet.wait_until(
        lambda: all(
            host.node.ownership.own_record.record
            and len(host.node.ownership.own_record.record.witnesses) >= least
            for host in fleet.hosts[:3]
        )
    )


def mark_copy(fleet):
    """Marks the time of the copy: later writes are lost in the restore."""
    fleet.clock.now_s += 10.0


def all_held(fleet):
    """Whether targets hold all keys."""
    targets = [host.target for host in fleet.hosts if host.target]
    return sum(target.held_key_count() for target in targets) == model.KEYS


def tables_written(fleet):
    """Returns the tables that were written since the restore, in order."""
    return [
        store_cache.decode_table(base64.b64decode(write.value))
        for write in fleet.store.writes
        if write.key == TABLE
    ]


async def assert_written_again(fleet, lost):
    """Asserts that the lost table is written again, then in the new era."""
    known = store_cache.decode_table(lost)
    assert await mesh_restorable_store.becomes_true(
        lambda: tables_written(fleet), 2.0
    )
    while len(tables_written(fleet)) < 2:
        await asyncio.sleep(0.05)
        assert all_held(fleet)
    written = tables_written(fleet)[:2]
    assert written == [known, table_module.advanced_to_era(known, 1)]
    await asyncio.sleep(0.5)
    assert all_held(fleet)


async def lose_move(fleet):
    """Moves a target's keys and restores a copy of the store without the move.

    The target and its node restart, and the node reads the restored store.
    """
    oracle = watched(fleet)
    await await_witnesses(fleet)
    mark_copy(fleet)
    moved = fleet.hosts[0]
    moved.target.state = "draining"
    await fleet.wait_until(
        lambda: not moved.target.holds and all_held(fleet), 5.0
    )
    await moved.kill_node()
    await moved.target.crash()
    fleet.store.restore(5.0)
    await moved.start_node()
    oracle.watch(await moved.start_target())
    await mesh_restorable_store.becomes_true(lambda: oracle.violations, 7.0)
    assert await mesh_restorable_store.becomes_true(
        lambda: all_held(fleet), 3.0
    )
    return oracle


async def test_a_move_that_the_store_lost_leaves_one_owner(fleet):
    oracle = await lose_move(fleet)
    assert oracle.double_holds == []


async def test_a_token_that_the_store_lost_is_not_given_out_again(fleet):
    oracle = await lose_move(fleet)
    assert oracle.stale_tokens == []


async def test_a_takeover_that_the_store_lost_leaves_one_owner(fleet):
    """The restored store has the dead node's record, though its keys were
    moved."""
    oracle = watched(fleet)
    await await_witnesses(fleet)
    mark_copy(fleet)
    dead = fleet.hosts[0]
    await dead.kill_node()
    await dead.target.crash()
    dead.target = None
    await fleet.wait_until(lambda: all_held(fleet), 12.0)
    fleet.store.restore(5.0)
    # All nodes that know of the seal restart, and so does the dead one.
    for host in fleet.hosts[1:]:
        await host.kill_node()
    for host in fleet.hosts:
        await host.start_node()
    oracle.watch(await dead.start_target())
    await mesh_restorable_store.becomes_true(lambda: oracle.violations, 7.0)
    assert oracle.violations == []
    assert await mesh_restorable_store.becomes_true(
        lambda: all_held(fleet), 3.0
    )


async def test_who_starts_in_an_era_grants_only_what_its_target_holds(fleet):
    """The restored table gave the node keys that a lost move had given to
    others, and all processes that knew of the move had ended."""
    oracle = watched(fleet)
    await await_witnesses(fleet, 3)
    mark_copy(fleet)
    moved = fleet.hosts[0].target
    moved.state = "draining"
    await fleet.wait_until(lambda: not moved.holds and all_held(fleet), 5.0)
    for host in fleet.hosts[1:3]:
        # Their grants expire before they receive another table.
        host.target.heartbeat_s = 4.0
    # By then their next heartbeat has been sent.
    await asyncio.sleep(0.5)
    for host in fleet.hosts:
        await host.kill_node()
    fleet.store.restore(5.0)
    moved.state = "ready"
    for host in fleet.hosts:
        await host.start_node()
    node = fleet.hosts[0].node
    assert await mesh_restorable_store.becomes_true(
        lambda: (
            node.holder.own_stripes()
            and node.ownership.grants_until_ms() > node.now_ms()
        ),
        2.0,
    )
    await mesh_restorable_store.becomes_true(lambda: oracle.violations, 1.0)
    assert oracle.violations == []
    assert not moved.holds


async def test_keys_that_come_back_by_a_lost_move_have_higher_tokens(fleet):
    """The table of the new era assigned the keys with their fencing tokens of
    before the move. A target rejects grants below a token that it knows."""
    oracle = watched(fleet)
    await await_witnesses(fleet, 3)
    mark_copy(fleet)
    moved = fleet.hosts[0].target
    moved.state = "draining"
    await fleet.wait_until(lambda: not moved.holds and all_held(fleet), 5.0)
    for host in fleet.hosts:
        await host.kill_node()
    fleet.store.restore(5.0)
    moved.state = "ready"
    for host in fleet.hosts:
        await host.start_node()
    await fleet.wait_until(lambda: moved.holds and all_held(fleet))
    assert oracle.violations == []


async def test_a_lost_first_deal_that_nobody_knows_leaves_one_owner(fleet):
    """Targets held keys by the lost table when the keys were assigned anew,
    and the fencing tokens were used again."""
    oracle = watched(fleet)
    # This target receives more keys when they are assigned anew.
    fleet.hosts[0].target.slots *= 3
    keys = -(-model.KEYS // mesh_grant_oracle.STRIPE_KEYS)
    await fleet.wait_until(lambda: len(oracle.fences) == keys)
    for host in fleet.hosts:
        await host.kill_node()
    # The copy is older than the initial assignment.
    fleet.store.apply([], [TABLE])
    fleet.store.writes.clear()
    mark_copy(fleet)
    fleet.store.restore(5.0)
    for host in fleet.hosts:
        await host.start_node()
    await fleet.wait_until(
        lambda: oracle.violations or (tables_written(fleet) and all_held(fleet))
    )
    await mesh_restorable_store.becomes_true(lambda: oracle.violations, 1.0)
    assert oracle.violations == []


async def test_a_node_taken_for_dead_serves_again_after_the_restore(fleet):
    """The node found its record unchanged, but its witnesses had sealed a
    later revision and never renewed its lease again."""
    mark_copy(fleet)
    dead = fleet.hosts[0]
    await fleet.wait_until(
        lambda: dead.node.ownership.own_record.record.witnesses
    )
    mark_copy(fleet)
    await dead.kill_node()
    await dead.target.crash()
    dead.target = None
    await fleet.wait_until(lambda: all_held(fleet), 12.0)
    fleet.store.restore(5.0)
    await dead.start_node()
    await dead.start_target()
    assert await mesh_restorable_store.becomes_true(
        lambda: dead.node.ownership.grants_until_ms() > dead.node.now_ms(), 8.0
    )


async def test_a_node_that_registered_since_the_copy_registers_again(fleet):
    mark_copy(fleet)
    late = mesh_fleet.Host(fleet, 5, "portal")
    fleet.hosts.append(late)
    await late.start_node()
    await late.start_target()
    key = f"auburnrock/m/{late.ip}"
    await fleet.wait_until(lambda: late.node.ownership.own_record.revision)
    fleet.store.restore(5.0)
    assert fleet.store.value(key) is None
    assert await mesh_restorable_store.becomes_true(
        lambda: fleet.store.value(key) is not None, 5.0
    )


async def test_a_restore_that_loses_nothing_ends_no_lease(fleet):
    """Each record had a revision of the new era, but its node requested
    renewals of the older term, which no witness granted any more."""
    # A change of witnesses may itself end a lease for a moment.
    await fleet.wait_until(
        lambda: all(
            host.node.ownership.own_record.record
            and len(host.node.ownership.own_record.record.witnesses) == 3
            and len(host.node.ownership.lease.witnesses) == 1
            and host.node.ownership.lease_was_live
            for host in fleet.hosts[:3]
        )
    )
    await fleet.wait_until(lambda: all_held(fleet))
    mark_copy(fleet)
    fleet.store.restore(5.0)
    nodes = [host.node for host in fleet.hosts[:3]]
    lost = sum(node.log.counts.get("lease_lost", 0) for node in nodes)
    for _ in range(30):
        await asyncio.sleep(0.2)
        assert all_held(fleet)
    assert sum(node.log.counts.get("lease_lost", 0) for node in nodes) == lost
    assert {
        coordination_store.era_of(node.ownership.lease.term) for node in nodes
    } == {1}


@pytest_asyncio.fixture
async def late(fleet):
    """A host that holds keys and whose connection to the store can be cut."""
    made = mesh_fleet.Host(fleet, 5, "portal")
    made.link = await mesh_restorable_store.link_to_store(made)
    fleet.hosts.append(made)
    await made.start_node()
    await made.start_target()
    await fleet.wait_until(
        lambda: all(
            host.node.ownership.own_record.record
            and len(host.node.ownership.own_record.record.witnesses) == 3
            and len(host.node.ownership.lease.witnesses) == 1
            and host.node.ownership.lease_was_live
            and host.target.holds
            for host in fleet.hosts
            if host.service == "portal"
        )
    )
    await fleet.wait_until(lambda: all_held(fleet))
    yield made
    set_cut(made, False)
    made.link.server.close()
    await asyncio.sleep(0.05)


def set_cut(host, is_cut):
    """Cuts a host's connection to the store, or restores it."""
    host.link.forward.set_cut(is_cut)
    host.link.backward.set_cut(is_cut)


async def test_a_node_without_a_way_to_the_store_keeps_its_keys(fleet, late):
    """The node learned of the era but could not read its record, and its
    witnesses no longer renewed its term."""
    mark_copy(fleet)
    set_cut(late, True)
    fleet.store.restore(5.0)
    node = late.node
    lost = node.log.counts.get("lease_lost", 0)
    for _ in range(40):
        await asyncio.sleep(0.2)
        assert node.ownership.grants_until_ms() > node.now_ms()
    assert node.log.counts.get("lease_lost", 0) == lost
    assert await mesh_restorable_store.becomes_true(
        lambda: all_held(fleet), 1.0
    )
    assert coordination_store.era_of(node.ownership.lease.term) == 1
    tables = [
        host.node.ownership.cache.tables["portal"] for host in fleet.hosts
    ]
    assert {table.version for table, _ in tables} == {tables[0][0].version}
    assert tables[0][0].era == 1


async def test_a_lost_table_is_granted_by_no_longer_than_the_lease_before(
    fleet, late
):
    """All other processes that knew of a lost move had ended. The node that
    received the keys knew its record but could not report the move."""
    oracle = watched(fleet)
    mark_copy(fleet)
    moved = fleet.hosts[0].target
    moved.state = "draining"
    await fleet.wait_until(lambda: not moved.holds and all_held(fleet), 5.0)
    set_cut(late, True)
    late.node.ownership.store._helpers = list
    late.node.peers.items = list
    others = [host for host in fleet.hosts if host is not late]
    for host in others:
        await host.kill_node()
    fleet.store.restore(5.0)
    moved.state = "ready"
    for host in others:
        await host.start_node()
    assert await mesh_restorable_store.becomes_true(lambda: moved.holds, 9.0)
    await mesh_restorable_store.becomes_true(lambda: oracle.violations, 2.0)
    assert oracle.violations == []


async def test_keys_that_were_to_move_stay_until_the_table_is_settled(fleet):
    """A target released the keys, and no change was made for a lease term."""
    await fleet.wait_until(lambda: all_held(fleet))
    mark_copy(fleet)
    fleet.store.restore(5.0)
    giver = fleet.hosts[0].node
    await fleet.wait_until(lambda: giver.store.era == 1)
    life = fleet.hosts[1].node.holder.incarnation
    moves = dict.fromkeys(giver.holder.own_stripes()[:100], life)
    giver.ownership.migration.planned_moves = moves
    giver.holder.begin_release(moves)
    giver.ownership.grants_changed.set()
    await mesh_restorable_store.becomes_true(lambda: not all_held(fleet), 0.5)
    assert await mesh_restorable_store.becomes_true(
        lambda: all_held(fleet), 1.0
    )
    assert giver.ownership.is_restoring(giver.now_ms())


async def test_a_move_does_not_begin_with_news_of_a_restore(fleet):
    """The answer for which a move waited also reported the restore."""
    mark_copy(fleet)
    moves = fleet.hosts[0].node.ownership.migration
    giver = fleet.hosts[0].node
    life = fleet.hosts[1].node.holder.incarnation
    moves.planned_moves = dict.fromkeys(giver.holder.own_stripes()[:100], life)
    moves.awaits_store_probe = True
    fleet.store.era += 1
    await moves.probe_store()
    assert giver.store.era == 1
    assert not giver.holder.releasing


async def test_who_knows_a_lost_move_writes_it_again(fleet):
    """No node makes another change before it, and no key changes its owner."""
    oracle = watched(fleet)
    mark_copy(fleet)
    fleet.hosts[0].target.state = "draining"
    await fleet.wait_until(
        lambda: not fleet.hosts[0].target.holds and all_held(fleet), 5.0
    )
    moved = fleet.store.value(TABLE)
    fleet.store.restore(5.0)
    assert fleet.store.value(TABLE) != moved
    await assert_written_again(fleet, moved)
    assert not fleet.hosts[0].target.holds
    assert oracle.violations == []


def tables_counted(fleet, cause):
    """Returns the number of written tables in the metrics of all nodes."""
    return sum(
        host.node.metrics.registry.get_sample_value(
            "auburnrock_tables_written_total", {"cause": cause}
        )
        or 0
        for host in fleet.hosts
    )


async def test_metrics_count_tables_put_back_and_settled(fleet):
    mark_copy(fleet)
    fleet.hosts[0].target.state = "draining"
    await fleet.wait_until(
        lambda: not fleet.hosts[0].target.holds and all_held(fleet), 5.0
    )
    assert tables_counted(fleet, "put_back") == 0
    fleet.store.restore(5.0)
    await fleet.wait_until(lambda: len(tables_written(fleet)) >= 2)
    await fleet.wait_until(lambda: tables_counted(fleet, "settle") == 1)
    assert tables_counted(fleet, "put_back") == 1
    nodes = [host.node for host in fleet.hosts]
    assert [node.log.counts.get("store_era") for node in nodes] == [1] * 4


async def test_a_lost_first_deal_is_written_again(fleet):
    """The keys were assigned anew while targets held them."""
    oracle = watched(fleet)
    await await_witnesses(fleet)
    mark_copy(fleet)
    store = fleet.store
    store.record_write(TABLE, None)
    store.writes.append(
        msgspec.structs.replace(store.writes.pop(), before=None)
    )
    written = store.value(TABLE)
    store.restore(5.0)
    assert store.value(TABLE) is None
    await assert_written_again(fleet, written)
    assert oracle.violations == []


async def test_a_later_first_era_changes_nothing(monkeypatch):
    monkeypatch.setattr(mesh_store, "FIRST_ERA", 3)
    made = mesh_fleet.Fleet()
    try:
        await made.start("portal", "portal", "booker")
        made.hosts[0].target.state = "draining"
        await made.wait_until(
            lambda: not made.hosts[0].target.holds and all_held(made), 5.0
        )
        nodes = [host.node for host in made.hosts]
        assert {node.store.era for node in nodes} == {3}
        assert not any(node.log.counts.get("store_era") for node in nodes)
    finally:
        await made.stop()


async def test_a_configuration_in_force_does_not_go_back(fleet):
    """The copy has an older one; the operator writes the newer one again a
    moment later."""
    mark_copy(fleet)
    fleet.configure(version=9)
    nodes = [host.node for host in fleet.hosts]
    await fleet.wait_until(
        lambda: {node.configuration_version() for node in nodes} == {9}
    )
    fleet.store.restore(5.0)
    for _ in range(10):
        await asyncio.sleep(0.05)
        assert {node.configuration_version() for node in nodes} == {9}
