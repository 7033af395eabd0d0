"""Counts the lost requests of a day by cause, from the nodes' log lines.

    ./task account LOG

LOG is the output of the bench with `--log all`. Prints, for each service and
span of time, the requests that were answered late, refused or failed, by cause.
The number of lines that nodes left out by their log limits is printed
separately: by so much the counts may be too low.
"""

import collections
import re

from absl import app
from absl import flags

_SPAN_S = flags.DEFINE_float("span_s", 2.0, "Seconds that a row covers.")
_FROM_S = flags.DEFINE_float("from_s", 0.0, "First second that is counted.")

_LINE = re.compile(r"^\s*(-?[\d.]+) \S+ .*?\bevent=(\S+)(.*)$")
_FIELD = re.compile(r"(\w+)=(\S+)")

Counts = dict[tuple[int, str], collections.Counter]


def cause_of(event: str, fields: dict[str, str]) -> str:
    """Returns the cause of a request's loss; empty if it was not lost."""
    outcome = event.removeprefix("request_")
    if outcome == "late":
        work_ms = int(fields["kind"].removeprefix("work_"))
        took_ms = int(fields["took_ms"])
        if took_ms < 2 * work_ms:
            return "late: its work, or came back"
        return "late: waited"
    if outcome in ("refused", "failed", "unknown"):
        return f"{outcome}: {fields['kind']}"
    return ""


def count_losses(
    lines: list[str], from_s: float, span_s: float
) -> tuple[Counts, int]:
    """Counts losses by span and service, and the lines that were left out."""
    counts: Counts = collections.defaultdict(collections.Counter)
    left_out = 0
    for line in lines:
        found = _LINE.match(line)
        if found is None or float(found[1]) < from_s:
            continue
        fields = dict(_FIELD.findall(found[3]))
        if found[2] == "lines_left_out":
            left_out += sum(
                int(count)
                for name, count in fields.items()
                if name.startswith("n_request_")
            )
        elif found[2].startswith("request_") and "service" in fields:
            cause = cause_of(found[2], fields)
            if cause:
                span = int(float(found[1]) // span_s)
                counts[span, fields["service"]][cause] += 1
    return counts, left_out


def main(argv: list[str]) -> None:
    """Prints the losses of one day."""
    if len(argv) != 2:
        raise app.UsageError("expected exactly one log file")
    with open(argv[1], encoding="utf-8", errors="replace") as log:
        counts, left_out = count_losses(list(log), _FROM_S.value, _SPAN_S.value)
    totals: dict[str, collections.Counter] = {}
    for (span, service), causes in sorted(counts.items()):
        totals.setdefault(service, collections.Counter()).update(causes)
        shown = ", ".join(f"{n} {cause}" for cause, n in causes.most_common(6))
        print(f"{span * _SPAN_S.value:6.1f} {service}: {shown}")
    for service, causes in totals.items():
        shown = ", ".join(f"{n} {cause}" for cause, n in causes.most_common())
        print(f"whole day {service}: {shown}")
    print(f"lines of requests that were left out: {left_out}")


if __name__ == "__main__":
    app.run(main)
