"""Search for schedules in which a store restore violates an invariant."""

import pytest

from tests.common import mesh_restore_broken
from tests.common import mesh_restore_simulation

SEEDS = range(8)

FOUND = {
    28: "a witness renewed a term of an earlier era, its record lost",
    47: "a table was settled at once, as it was unsettled in the era before",
    49: "a token of the restored table was below one that the store had lost",
    58: "a peer's items of an earlier era stayed, and no change was made",
    96: "a lease without witnesses went on, its record lost",
    115: "the copy was older than three settled versions of the table",
    208: "a node went on by its old table, its term over, a takeover lost",
    464: "witnesses of a lost record were not sealed, those before them were",
    1039: "a hand-over of a process that had ended was made late",
    2326: "witnesses were named that had not renewed the new term",
    2470: "witnesses were named that had not renewed the new term",
}
"""Causes of the faults that were found, by seed."""

BROKEN = {
    "eras_are_not_compared": {"seed": 0},
    "changes_go_across_eras": {
        "seed": 163,
        "late": mesh_restore_simulation.OFTEN_LATE,
    },
    "tokens_have_no_step": {"seed": 49},
    "settled_tables_have_no_floor": {"seed": 49},
    "grants_come_before_the_wait": {"seed": 109},
    "lost_deals_are_not_waited_for": {"seed": 66, "loses_deal": True},
    "witnesses_know_no_era": {"seed": 28},
}
"""Arguments with the first seed that finds a fault, by the disabled rule."""


@pytest.fixture(autouse=True)
def few_stripes(monkeypatch):
    mesh_restore_simulation.use_few_stripes(monkeypatch)


def test_no_restore_gives_a_key_two_holders_or_stops_it_for_good():
    worlds = [mesh_restore_simulation.run_seed(seed) for seed in SEEDS]
    assert [fault for world in worlds for fault in world.violations] == []
    counts = sum((world.counts for world in worlds), start=worlds[0].counts)
    # A search in which these events never occur would not test the restores.
    for event in mesh_restore_simulation.REQUIRED_EVENTS:
        assert counts[event] >= len(SEEDS) / 4, event


@pytest.mark.parametrize("seed", FOUND, ids=lambda seed: f"seed {seed}")
def test_a_seed_that_found_a_fault_finds_none(seed):
    assert mesh_restore_simulation.run_seed(seed).violations == []


@pytest.mark.parametrize(("rule", "played"), BROKEN.items(), ids=BROKEN.keys())
def test_the_search_finds_a_fault_without_a_rule(monkeypatch, rule, played):
    mesh_restore_broken.RULES[rule](monkeypatch)
    assert mesh_restore_simulation.run_seed(**played).violations


@pytest.mark.parametrize("rule", BROKEN)
def test_what_is_found_without_a_rule_is_not_found_with_it(rule):
    assert mesh_restore_simulation.run_seed(**BROKEN[rule]).violations == []
