"""Choice of a target for work that any target of a service may run.

Load answered: targets of unlike speed in several zones, of which some are
full, slow, cold, failing or gone. A target's node says with each answer how
much waits there; between answers this node counts what it has sent itself.
The choice goes to the least expected time to an answer, where another zone
costs a little more than its link.
"""

import random

import msgspec

OTHER_ZONE_MS = 4.0
"""Extra cost of another zone: two crossings, more where the links are full."""

OTHER_ZONE_SHARE = 0.2
"""Part by which another zone must be quicker: bytes between zones are dear, and
what little time is lost within the zone stays far below the objectives."""

COLD_FACTOR = 2.0
"""How much slower a target is after its start, before samples say more."""

FAILURE_WEIGHT = 0.12
"""Weight of one outcome in the running share of failures."""

FAILURE_COST = 4.0
"""Expected time multiplies by this much at a failure share of one."""

REPORT_FADES_MS = 1_500.0
"""A report of a wait counts less with its age and nothing after this."""


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a node says of the target beside it.

    Attributes:
      slots: requests that run at once; 0 without a target.
      running: requests that run.
      waiting: requests that wait.
      wait_ms: expected wait of the last in the queue.
      pace: work time over that of an average target; 1.0 if unknown.
      draining: whether it takes no new work.
      cold_ms: how much longer it is slow after its start.
      weight: its share of the keys beside others of its service.
    """

    slots: int
    running: int
    waiting: int
    wait_ms: float
    pace: float
    draining: bool
    cold_ms: float
    weight: float


NO_TARGET = Report(0, 0, 0, 0.0, 1.0, False, 0.0, 0.0)


class Candidate:
    """A target as this node sees it.

    Attributes:
      name: name of the node beside it.
      zone: its availability zone.
      report: what its node said last.
      reported_ms: when.
      sent: requests of this node that have not been answered.
      sent_before: of those, how many the report may not include.
      failures: running share of failures.
      closed_until_ms: not chosen before; for targets that refuse or are gone.
    """

    __slots__ = (
        "closed_until_ms",
        "failures",
        "name",
        "report",
        "reported_ms",
        "sent",
        "sent_since",
        "zone",
    )

    def __init__(self, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.report = NO_TARGET
        self.reported_ms = 0.0
        self.sent = 0
        self.sent_since = 0
        self.failures = 0.0
        self.closed_until_ms = 0.0

    def take_report(self, now_ms: float, report: Report) -> None:
        """Takes what the target's node says."""
        self.report = report
        self.reported_ms = now_ms
        self.sent_since = 0

    def begin(self) -> None:
        """Counts a request that is sent there."""
        self.sent += 1
        self.sent_since += 1

    def end(self, failed: bool) -> None:
        """Counts its end."""
        self.sent -= 1
        self.failures += FAILURE_WEIGHT * (float(failed) - self.failures)

    def expected_ms(self, now_ms: float, work_ms: float, zone: str) -> float:
        """Expected time to an answer for `work_ms` of average work."""
        report = self.report
        pace = report.pace
        if report.cold_ms > now_ms - self.reported_ms:
            pace *= COLD_FACTOR
        own_ms = work_ms * pace
        age = min(1.0, (now_ms - self.reported_ms) / REPORT_FADES_MS)
        busy = report.running + report.waiting + self.sent_since
        free = report.slots - busy
        wait_ms = report.wait_ms * (1.0 - age)
        if free <= 0:
            queued = self.sent_since
            wait_ms += own_ms * (0.5 + queued) / max(1, report.slots)
        else:
            # A fuller target is a little slower, and sooner full.
            wait_ms += 0.25 * own_ms * busy / max(1, report.slots)
        cost_ms = (own_ms + wait_ms) * (1.0 + FAILURE_COST * self.failures)
        if self.zone != zone:
            cost_ms += OTHER_ZONE_MS + OTHER_ZONE_SHARE * cost_ms
        return cost_ms


def choose(
    now_ms: float,
    candidates: list[Candidate],
    tried: set[str],
    work_ms: float,
    zone: str,
    chance: random.Random,
) -> Candidate | None:
    """The candidate with the least expected time; None if none is open."""
    best = None
    best_ms = 0.0
    for candidate in candidates:
        if candidate.name in tried or candidate.closed_until_ms > now_ms:
            continue
        if candidate.report.slots == 0 or candidate.report.draining:
            continue
        cost_ms = candidate.expected_ms(now_ms, work_ms, zone)
        cost_ms *= 1.0 + 0.05 * chance.random()
        if best is None or cost_ms < best_ms:
            best = candidate
            best_ms = cost_ms
    return best
