"""A longer random search; `./task long -k ownership`."""

import pytest

from tests.common import ownership_steps
from tests.cover import test_ownership_fuzz as fuzz

BLOCK = 250


@pytest.mark.parametrize("block", range(12))
def test_random_schedules_have_one_owner(block):
    first_seed = 1_000 + block * BLOCK
    for seed in range(first_seed, first_seed + BLOCK):
        ownership_steps.search(seed, steps=20)


class TestLongOwnership(fuzz.Ownership.TestCase):
    settings = fuzz.hypothesis.settings(
        fuzz.TestOwnership.settings,
        max_examples=1_000,
        stateful_step_count=40,
    )
