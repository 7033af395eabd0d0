"""Short soak runs; `tests/nocover/test_mesh_soak_long.py` has more seeds."""

import asyncio

import pytest

from auburnrock_standins import processes
from tests.common import mesh_soak
from tests.common import mesh_soak_faults

SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
async def test_nodes_keep_their_promises_under_faults(seed, tmp_path):
    assert await mesh_soak.run(seed, tmp_path) == []


@pytest.mark.parametrize("seed", SEEDS)
async def test_nodes_keep_their_promises_when_the_store_is_restored(
    seed, tmp_path
):
    assert await mesh_soak.run(seed, tmp_path, restores=True) == []


@pytest.mark.parametrize("seed", SEEDS)
async def test_nodes_keep_their_promises_beside_faulty_targets(seed, tmp_path):
    assert await mesh_soak.run(seed, tmp_path, faulty_targets=True) == []


async def test_nodes_keep_their_promises_when_machines_are_lost(tmp_path):
    """Guards against keys that nobody serves and keys that two targets hold.

    Seed 9 loses four of five machines, three of them for good.
    """
    assert await mesh_soak.run(9, tmp_path, lost_machines=True) == []


async def test_nodes_keep_their_promises_under_hard_load(tmp_path):
    """Guards against requests to targets in evacuated zones, and more requests
    than a cold target tolerates.

    Seed 2 evacuates two zones for longer than the bound and restarts a target
    of the unkeyed service; it detects both rules of RULES_OF_HARD_LOAD.
    """
    assert await mesh_soak.run(2, tmp_path, hard_load=True) == []


def test_a_schedule_with_hard_load_has_the_other_faults_as_well():
    """Guards against seeds whose recorded faults change with the option."""
    for seed in range(20):
        faults = mesh_soak_faults.schedule(seed, hard_load=True)
        assert mesh_soak_faults.EVACUATE in {fault.kind for fault in faults}
        for fault in mesh_soak_faults.schedule(seed):
            faults.remove(fault)


def test_a_schedule_with_faulty_targets_has_the_other_faults_as_well():
    for seed in range(20):
        faults = mesh_soak_faults.schedule(seed, faulty_targets=True)
        kinds = mesh_soak_faults.TARGET_KINDS
        others = [fault for fault in faults if fault.kind not in kinds]
        assert len(others) < len(faults)
        assert others == mesh_soak_faults.schedule(seed)


def test_a_schedule_with_restores_has_the_other_faults_as_well():
    for seed in range(20):
        with_restores = mesh_soak_faults.schedule(seed, restores=True)
        restores = [
            fault
            for fault in with_restores
            if fault.kind == mesh_soak_faults.STORE_RESTORED
        ]
        others = [fault for fault in with_restores if fault not in restores]
        assert restores
        assert others == mesh_soak_faults.schedule(seed)


def test_all_nodes_end_in_some_restores():
    ends = {
        fault.kills_all_nodes
        for seed in range(20)
        for fault in mesh_soak_faults.schedule(seed, restores=True)
        if fault.kind == mesh_soak_faults.STORE_RESTORED
    }
    assert ends == {True, False}


def test_a_seed_gives_one_schedule():
    assert mesh_soak_faults.schedule(7) == mesh_soak_faults.schedule(7)
    assert mesh_soak_faults.schedule(7) != mesh_soak_faults.schedule(8)


async def test_two_faults_of_a_host_may_end_at_one_time(tmp_path):
    """Two faults of one host that end together reopen its link only once.

    With seed 4204 and restores, both tried to bind the port of the link.
    """
    with processes.Deployment(tmp_path) as deployment:
        soak = mesh_soak.Soak(4204, deployment, restores=True)
        host = mesh_soak_faults.Host(soak, 1, "portal")
        await soak.start_link(host, "127.0.0.1", 1)
        host.link.server.close()
        await asyncio.gather(soak.open_link(host), soak.open_link(host))
        assert host.link.server.is_serving()
        host.link.server.close()
