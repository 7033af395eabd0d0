"""Tests that the shards of targets without grant checks move only at their end.

Such a target may still run work after its node's lease has ended, so another
owner before the target's confirmed end would execute the same key twice.
"""

import pytest

from auburnrock import records
from auburnrock.engine import assigner as assigner_lib
from auburnrock.engine import owner_choice
from auburnrock.engine import page_change
from tests.common import assignment as common
from tests.common import ownership

ENDED = records.NodeState.ENDED
SEALING = records.NodeState.SEALING


def lost_owner(world):
    """A SEALING owner whose target checks no grants and may still run."""
    owner = world.settle()
    owner.participant.holder.set_target("svc", "127.0.0.1:1", "t1", False)
    world.run(500)
    world.kill(owner)
    world.run(3_000)
    assert world.store.states[owner.incarnation] is SEALING
    return owner


@pytest.mark.parametrize(
    ("address", "target", "checks", "has_ended"),
    [
        pytest.param("127.0.0.1:1", "t1", False, True, id="went on"),
        pytest.param("127.0.0.1:1", "t2", True, True, id="replaced"),
        pytest.param("127.0.0.1:2", "t2", False, False, id="elsewhere"),
        pytest.param("127.0.0.1:1", "t1", True, False, id="says otherwise"),
    ],
)
def test_the_record_of_a_successor_confirms_the_end(
    address, target, checks, has_ended
):
    world = ownership.World()
    owner = lost_owner(world)
    successor = world.restart(owner)
    world.run(2_000)
    assert world.store.states[owner.incarnation] is SEALING
    successor.participant.holder.set_target("svc", address, target, checks)
    world.run(2_000)
    assert world.has_ended(owner.incarnation) is has_ended


def record_of(incarnation, state=records.NodeState.ACTIVE, target="t1"):
    return common.node(
        incarnation,
        "host",
        state,
        target_incarnation=target,
        checks_grants=False,
    )


@pytest.mark.parametrize(
    ("others", "owner"),
    [
        pytest.param([record_of(2), common.node(3, "host")], 2, id="active"),
        pytest.param([record_of(2, SEALING)], 1, id="sealing"),
        pytest.param(
            [record_of(2, SEALING), record_of(3)], 3, id="latest of a chain"
        ),
        pytest.param([record_of(2, ENDED)], 9, id="ended after it"),
        pytest.param([record_of(2, SEALING, "t2")], 9, id="another target"),
    ],
)
def test_shards_of_a_live_target_are_assigned_only_to_its_node(others, owner):
    store = common.MemoryStore()
    store.put_page(common.page([1, 1]))
    for record in [common.node(9), *others, record_of(1, ENDED)]:
        store.put_node(record)
    assigner = assigner_lib.Assigner(
        9, common.new_view(store), owner_choice.LeastLoaded()
    )
    assigner.on_configuration(common.services(2), 0)
    for now_ms in range(0, 2_000, 100):
        for swap in common.swaps(assigner.tick(now_ms)):
            store.swap(swap)
    assert {entry.owner for entry in store.page().entries} == {owner}


def test_an_end_read_before_earlier_changes_frees_no_shard():
    """The answer of a refused swap updates one record of a stale replica.

    The ENDED record alone does not show that a successor runs beside the same
    target, so its shards must not be assigned to other nodes yet.
    """
    store = common.MemoryStore()
    store.put_page(common.page([1, 1]))
    for record in [common.node(9), record_of(1)]:
        store.put_node(record)
    view = common.new_view(store)
    store.put_node(record_of(2))
    store.put_node(record_of(1, ENDED))
    key = records.node_key("host", 1)
    view.apply_value(store.get(key))
    page = view.pages.by_key[records.page_key(common.SERVICE, 0)]
    assert not page_change.is_ended_owner(page, view.members, 1)
    view.apply_snapshot(store.snapshot())
    assert page_change.is_ended_owner(page, view.members, 1)
