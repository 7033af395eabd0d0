"""Machines that are lost together with the witnesses of their leases.

Their keys never got another owner, and a machine left alone served nothing.
"""

import asyncio

import pytest
import pytest_asyncio

from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import store_confirmation
from tests.common import mesh_fleet
from tests.common import mesh_grant_oracle

RECOVER_S = 15.0


@pytest_asyncio.fixture
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start(*["portal"] * 6)
    yield made
    await made.stop()


@pytest_asyncio.fixture
async def oracle(fleet):
    made = mesh_grant_oracle.GrantOracle()
    for host in fleet.hosts:
        made.watch(host.target)
    yield made
    assert made.violations == []


async def lose_power(host):
    """Ends a machine: its node and its target at once."""
    await host.kill_node()
    await host.target.crash()
    host.target = None


async def await_witnesses(fleet):
    await fleet.wait_until(
        lambda: all(
            len(host.node.ownership.own_record.record.witnesses) == 5
            for host in fleet.hosts
        )
    )


def held_keys(fleet) -> int:
    """Returns the number of keys that all targets hold."""
    return sum(
        host.target.held_key_count()
        for host in fleet.hosts
        if host.target is not None
    )


@pytest.mark.parametrize("at_once", [True, False])
async def test_the_last_machine_serves_all_keys(fleet, oracle, at_once):
    await await_witnesses(fleet)
    for host in fleet.hosts[1:]:
        await lose_power(host)
        if not at_once:
            await asyncio.sleep(1.0)
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, RECOVER_S)


async def test_a_machine_that_is_back_alone_serves_all_keys(fleet, oracle):
    await await_witnesses(fleet)
    for host in fleet.hosts:
        await lose_power(host)
    await asyncio.sleep(2.0)
    await fleet.hosts[3].start_node()
    oracle.watch(await fleet.hosts[3].start_target())
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, RECOVER_S)


async def test_machines_at_new_addresses_get_the_keys_of_lost_ones(
    fleet, oracle
):
    await await_witnesses(fleet)
    for host in fleet.hosts:
        await lose_power(host)
    await asyncio.sleep(2.0)
    await fleet.hosts[5].start_node()
    oracle.watch(await fleet.hosts[5].start_target())
    for number in range(7, 12):
        added = mesh_fleet.Host(fleet, number, "portal")
        added.node_starts = 1
        fleet.hosts.append(added)
        await added.start_node()
        oracle.watch(await added.start_target())
    await fleet.wait_until(lambda: held_keys(fleet) == model.KEYS, RECOVER_S)
    await fleet.wait_until(
        lambda: all(
            host.target.held_key_count() > model.KEYS // 12
            for host in fleet.hosts[5:]
        )
    )


async def test_a_node_that_has_just_registered_is_not_sealed(fleet, oracle):
    """Old processes took the time since their own start for its silence, and
    all sealed it: two targets held keys for 0.85 s on a calm day.
    """
    await asyncio.sleep(store_confirmation.SEAL_ALONE_AFTER_MS / 1_000)
    added = mesh_fleet.Host(fleet, 8, "portal")
    added.node_starts = 1
    await added.start_node()
    fleet.hosts.append(added)
    oracle.watch(await added.start_target())
    await fleet.wait_until(lambda: added.target.held_key_count())
    for host in fleet.hosts:
        assert not host.node.log.counts.get("sealing")


async def test_a_node_whose_record_is_sealed_by_mistake_keeps_its_keys(
    fleet, oracle, monkeypatch
):
    """A node that is cut off from all others seals nodes that run."""
    await await_witnesses(fleet)
    cut_off = fleet.hosts[0].node
    monkeypatch.setattr(cut_off.peers, "alive", set)
    measured = membership.Directory.suspected_for_ms
    monkeypatch.setattr(
        membership.Directory,
        "suspected_for_ms",
        lambda self, now_ms, name: (
            1e6
            if self is cut_off.peers.directory
            else measured(self, now_ms, name)
        ),
    )
    before = [host.target.held_key_count() for host in fleet.hosts]
    for _ in range(int(store_confirmation.CONFIRMATION_MS / 50) + 60):
        await asyncio.sleep(0.05)
        held = [host.target.held_key_count() for host in fleet.hosts]
        assert held == before
    assert cut_off.log.counts["sealing"] >= 5
    assert cut_off.log.counts.get("taken_over", 0) == 0
