import pathlib

import pytest

from auburnrock.engine.placement import policies
from auburnrock.replay import placement
from auburnrock.replay import trace as traces
from bench import make_traces
from bench import placement as bench_placement

FOLDER = pathlib.Path(__file__).parents[2] / "traces"
DESIGN_NOTE = FOLDER.parent / "docs" / "design" / "placement.md"
PATHS = sorted(FOLDER.glob("*.jsonl"))
every_trace = pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)


def test_every_trace_is_what_the_generator_writes(tmp_path):
    for maker in make_traces.TRACES:
        trace = maker()
        path = tmp_path / f"{trace.header.name}.jsonl"
        traces.write(path, trace)
        assert path.read_bytes() == (FOLDER / path.name).read_bytes()
    assert len(PATHS) == len(make_traces.TRACES)


@every_trace
def test_a_replay_has_the_stated_outcomes(path):
    trace = traces.read(path)
    outcomes = trace.header.outcomes
    result = placement.replay(trace, policies.policy())
    assert result.planned_moves <= outcomes.planned_moves
    assert result.final_imbalance <= outcomes.final_imbalance
    if outcomes.quiet_from_s is not None:
        assert result.last_planned_s < outcomes.quiet_from_s


@every_trace
def test_a_replay_respects_budget_and_rest(path):
    trace = traces.read(path)
    result = placement.replay(trace, policies.policy())
    planned = [moved for moved in result.moves if moved.planned]
    for moved in planned:
        minute = [
            other for other in planned if 0 <= other.at_s - moved.at_s < 60
        ]
        assert len(minute) <= trace.header.churn_per_minute
        again = [
            other
            for other in planned
            if other.move.shard == moved.move.shard
            and 0 < other.at_s - moved.at_s < 180
        ]
        assert not again


@pytest.mark.parametrize("name", ["server_lost", "zone_lost"])
def test_only_the_keys_of_lost_servers_move(name):
    trace = traces.read(FOLDER / f"{name}.jsonl")
    lost = {
        event.incarnation
        for event in trace.events
        if isinstance(event, traces.ServerLost)
    }
    result = placement.replay(trace, policies.policy())
    assert result.moves
    assert {moved.move.source for moved in result.moves} == lost


def test_the_design_note_explains_exactly_the_unmet_targets():
    report = bench_placement.report_of([], limited=False)
    unmet = {verdict.trace for verdict in report.verdicts if not verdict.met}
    section = DESIGN_NOTE.read_text().split("## Where the target is not met")
    rows = section[1].split("\n## ")[0].splitlines()
    explained = {row.split("`")[1] for row in rows if row.startswith("| `")}
    assert explained == unmet
