"""Fifty seeds of the soak, and nodes with a rule taken out."""

import itertools

import pytest

from tests.common import mesh_broken
from tests.common import mesh_soak
from tests.common import mesh_soak_faults

SEEDS_TO_CATCH = 12
LOST_S = 5.0
"""Age of a copy that mostly lacks moves."""


@pytest.mark.parametrize("seed", range(2, 52))
async def test_nodes_keep_their_promises_under_faults(seed, tmp_path):
    assert await mesh_soak.run(seed, tmp_path) == []


@pytest.mark.parametrize("rule", sorted(mesh_broken.RULES))
async def test_the_soak_catches_a_missing_rule(rule, tmp_path):
    seeds = range(1, SEEDS_TO_CATCH + 1)
    await assert_caught(rule, tmp_path, seeds, restores=False)


@pytest.mark.parametrize("rule", sorted(mesh_broken.RULES_OF_RESTORES))
async def test_the_soak_catches_a_missing_rule_of_restores(rule, tmp_path):
    seeds = itertools.islice(filter(loses, itertools.count(1)), SEEDS_TO_CATCH)
    await assert_caught(rule, tmp_path, seeds, restores=True)


def loses(seed):
    """Whether the store loses changes of which no node knows any more."""
    return any(
        fault.kills_all_nodes and fault.age_s >= LOST_S
        for fault in mesh_soak_faults.schedule(seed, restores=True)
    )


async def assert_caught(rule, folder, seeds, restores):
    """The timing of processes decides which seed does: several are played."""
    program = ("-m", "tests.common.mesh_broken", rule)
    for seed in seeds:
        logs = folder / str(seed)
        logs.mkdir()
        if await mesh_soak.run(seed, logs, program, restores):
            return
    pytest.fail(f"{rule} was not caught by {SEEDS_TO_CATCH} seeds")
