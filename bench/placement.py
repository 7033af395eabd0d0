"""Compares all placement policies by replaying traces through them.

Usage: python -m bench.placement [--json] [--limited] [TRACE ...]

With --limited the baselines have the same budget and rest as the weighted
policy; without it they may move any number of shards at any time, as published.
"""

import argparse
import pathlib

import msgspec

from auburnrock.engine.placement import policies
from auburnrock.replay import placement
from auburnrock.replay import trace as traces

FOLDER = pathlib.Path(__file__).parents[1] / "traces"


class Row(msgspec.Struct, kw_only=True):
    """Result of one policy on one trace.

    Attributes:
      trace: name of the trace.
      owner: organisation whose weights the trace uses.
      policy: name of the policy.
      measures: the three measures over the trace.
      moved_s: seconds of the unavailable time due to planned and drain moves.
      lost_s: seconds of the unavailable time due to lost owners.
      overload_s: seconds of the unavailable time due to overloaded servers.
      forced_churn: part of the churn that no policy can avoid.
      planned_moves: number of shards that rebalancing moved.
      last_planned_s: time of the last planned move; -1 if there was none.
      final_imbalance: imbalance at the end of the trace.
    """

    trace: str
    owner: str
    policy: str
    measures: traces.Measures
    moved_s: float
    lost_s: float
    overload_s: float
    forced_churn: float
    planned_moves: int
    last_planned_s: int
    final_imbalance: float


class Verdict(msgspec.Struct, kw_only=True):
    """Whether the weighted policy met the target of one trace.

    Attributes:
      trace: name of the trace.
      weighs_most: measure that the trace's owner weights most.
      best_baselines: baselines with the best value of that measure; several if
        they are equal.
      no_worse: whether the weighted policy is no worse than these baselines on
        that measure.
      factors: for each of these baselines, the greatest factor by which the
        weighted policy is better on one of the other measures; None stands for
        infinity, when only the baseline's value is above the resolution.
      met: whether the whole target is met.
    """

    trace: str
    weighs_most: str
    best_baselines: list[str]
    no_worse: bool
    factors: list[float | None]
    met: bool


class Report(msgspec.Struct, kw_only=True):
    """Rows and verdicts of all replayed traces."""

    rows: list[Row]
    verdicts: list[Verdict]


def row_of(trace: traces.Trace, name: str, limited: bool) -> Row:
    """Replays one trace through one policy."""
    unlimited = name != policies.DEFAULT and not limited
    result = placement.replay(trace, policies.policy(name), unlimited)
    return Row(
        trace=trace.header.name,
        owner=trace.header.owner,
        policy=name,
        measures=result.measures,
        moved_s=result.moved_s,
        lost_s=result.lost_s,
        overload_s=result.overload_s,
        forced_churn=result.forced_churn,
        planned_moves=result.planned_moves,
        last_planned_s=result.last_planned_s,
        final_imbalance=result.final_imbalance,
    )


def factor(ours: float, theirs: float, resolution: float) -> float | None:
    """Returns by which factor our value of a measure is better than theirs.

    Values up to `resolution` count as zero. The result is 1 if theirs is zero,
    and None, for infinity, if only ours is.
    """
    if theirs <= resolution:
        return 1.0
    if ours <= resolution:
        return None
    return theirs / ours


def verdict_of(header: traces.Header, rows: list[Row]) -> Verdict:
    """Compares the weighted policy with the best baselines of one trace."""
    target = header.target
    name = target.weighs_most
    resolution = getattr(target.resolution, name)
    ours = next(row for row in rows if row.policy == policies.DEFAULT)
    others = [row for row in rows if row.policy != policies.DEFAULT]
    best = min(getattr(row.measures, name) for row in others)
    baselines = [
        row
        for row in others
        if getattr(row.measures, name) <= best + resolution
    ]
    no_worse = getattr(ours.measures, name) <= best + resolution
    factors = [best_factor(target, ours, row) for row in baselines]
    enough = all(
        found is None or found >= target.better_factor for found in factors
    )
    return Verdict(
        trace=header.name,
        weighs_most=name,
        best_baselines=[row.policy for row in baselines],
        no_worse=no_worse,
        factors=factors,
        met=no_worse and enough,
    )


def best_factor(target: traces.Target, ours: Row, theirs: Row) -> float | None:
    """Returns the greatest factor on a measure that is not weighted most."""
    factors = [
        factor(
            getattr(ours.measures, name),
            getattr(theirs.measures, name),
            getattr(target.resolution, name),
        )
        for name in traces.MEASURES
        if name != target.weighs_most
    ]
    return None if None in factors else max(factors)


def report_of(names: list[str], limited: bool) -> Report:
    """Replays the named traces, or all traces if none are named."""
    paths = sorted(FOLDER.glob("*.jsonl"))
    report = Report(rows=[], verdicts=[])
    for path in paths:
        if names and path.stem not in names:
            continue
        trace = traces.read(path)
        rows = [row_of(trace, name, limited) for name in policies.NAMES]
        report.rows += rows
        report.verdicts.append(verdict_of(trace.header, rows))
    return report


def print_table(report: Report) -> None:
    """Prints rows and verdicts as text."""
    print(
        f"{'trace':20}{'policy':14}{'imbalance':>10}{'churn':>9}"
        f"{'unavail. s':>11}{'= moved':>9}{'+ lost':>8}{'+ overload':>11}"
        f"{'planned':>8}"
    )
    for row in report.rows:
        print(
            f"{row.trace:20}{row.policy:14}{row.measures.imbalance:10.3f}"
            f"{row.measures.churn:9.4f}{row.measures.unavailable_time:11.3f}"
            f"{row.moved_s:9.3f}{row.lost_s:8.3f}{row.overload_s:11.3f}"
            f"{row.planned_moves:8d}"
        )
    print()
    for verdict in report.verdicts:
        factors = ", ".join(
            f"{name} x{'inf' if found is None else format(found, '.1f')}"
            for name, found in zip(
                verdict.best_baselines, verdict.factors, strict=True
            )
        )
        print(
            f"{verdict.trace:20}{verdict.weighs_most:17}"
            f"{'no worse' if verdict.no_worse else 'WORSE':9}"
            f"{'met' if verdict.met else 'NOT MET':8} {factors}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("traces", nargs="*")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--limited", action="store_true")
    options = parser.parse_args()
    report = report_of(options.traces, options.limited)
    if options.json:
        print(msgspec.json.encode(report).decode())
    else:
        print_table(report)


if __name__ == "__main__":
    main()
