"""A short run of the soak; `tests/nocover/test_mesh_soak_long.py` has more."""

import pytest

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


def test_a_schedule_with_restores_has_the_other_faults_as_well():
    for seed in range(20):
        with_restores = mesh_soak_faults.schedule(seed, restores=True)
        restores = [
            fault
            for fault in with_restores
            if fault.kind == mesh_soak_faults.RESTORED
        ]
        others = [fault for fault in with_restores if fault not in restores]
        assert restores
        assert others == mesh_soak_faults.schedule(seed)


def test_a_seed_gives_one_schedule():
    assert mesh_soak_faults.schedule(7) == mesh_soak_faults.schedule(7)
    assert mesh_soak_faults.schedule(7) != mesh_soak_faults.schedule(8)
