"""Runs days of the bench with several checkouts and compares their worth.

    ./task pairs --bench=BENCH --site=SITE --days=trouble-1,scale-1 \
        --seeds=1,2,3 CHECKOUT CHECKOUT...

Each checkout is compared with the one before it, on the same seeds; the bench
writes its journal entries to each. The last lines are the mean differences and
their standard errors.
"""

import concurrent.futures
import math
import re
import statistics
import subprocess

from absl import app
from absl import flags

_BENCH = flags.DEFINE_string(
    "bench", None, "The bench's program.", required=True
)
_SITE = flags.DEFINE_string("site", None, "The site's file.", required=True)
_DAYS = flags.DEFINE_list("days", None, "Names of days.", required=True)
_SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3"], "Seeds of the variations.")
_WHY = flags.DEFINE_string("why", "", "Reason, for the journal.")
_JOBS = flags.DEFINE_integer(
    "jobs", 3, "Number of concurrent runs.", lower_bound=1
)

_WORTH = re.compile(r"^worth (-?[\d.]+) = (.*) less prices", re.MULTILINE)
_PART = re.compile(r"([a-z ]+) (-?[\d.]+) \(weight [\d.]+\)")
_BROKEN = re.compile(r"BROKEN: (.*)$", re.MULTILINE)


class DayResult:
    """The result of one run of a day.

    Attributes:
      worth: worth of the day.
      parts: parts of the worth by name.
      broken: rules that were broken, as the bench prints them; empty for none.
    """

    __slots__ = ("broken", "parts", "worth")

    def __init__(self, worth: float, parts: dict[str, float], broken: str):
        self.worth = worth
        self.parts = parts
        self.broken = broken


def parse_output(text: str) -> DayResult:
    """Parses the output of the bench.

    Raises:
      ValueError: the output contains no worth.
    """
    found = _WORTH.search(text)
    if found is None:
        raise ValueError(f"no worth in the bench's output: {text[-400:]}")
    parts = {
        name.strip(" ,"): float(value)
        for name, value in _PART.findall(found[2])
    }
    broken = _BROKEN.search(text)
    return DayResult(float(found[1]), parts, broken[1] if broken else "")


def run_day(tree: str, day: str, seed: str) -> DayResult:
    """Runs a day with a checkout, without charging processor time."""
    command = [_BENCH.value, "run", _SITE.value, day, "--vary", "--seed", seed]
    command += ["--no-cpu", "--why", _WHY.value]
    done = subprocess.run(
        command, cwd=tree, capture_output=True, text=True, check=False
    )
    return parse_output(done.stdout + done.stderr)


def summary_of(result: DayResult) -> str:
    """Returns a short summary of a result."""
    parts = " ".join(
        f"{name} {part:.3f}" for name, part in result.parts.items()
    )
    return f"{result.worth:.3f} ({parts}) {result.broken}"


def main(argv: list[str]) -> None:
    """Runs all days and prints the differences between the checkouts."""
    trees = argv[1:]
    if len(trees) < 2:
        raise app.UsageError("expected at least two checkouts")
    cases = [(day, seed) for day in _DAYS.value for seed in _SEEDS.value]
    worths: list[list[float]] = []
    with concurrent.futures.ThreadPoolExecutor(_JOBS.value) as pool:
        pending = [
            [pool.submit(run_day, tree, day, seed) for tree in trees]
            for day, seed in cases
        ]
        for (day, seed), row in zip(cases, pending, strict=True):
            results = [each.result() for each in row]
            worths.append([each.worth for each in results])
            for tree, each in zip(trees, results, strict=True):
                print(f"{day} {seed} {tree}: {summary_of(each)}", flush=True)
    for place in range(1, len(trees)):
        gains = [row[place] - row[place - 1] for row in worths]
        error = math.nan
        if len(gains) > 1:
            error = statistics.stdev(gains) / math.sqrt(len(gains))
        print(
            f"{trees[place]} over {trees[place - 1]}:"
            f" {statistics.fmean(gains):+.4f}, standard error {error:.4f}"
        )


if __name__ == "__main__":
    app.run(main)
