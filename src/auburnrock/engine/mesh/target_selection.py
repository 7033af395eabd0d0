"""Choice of a target for work that any target of a service may run.

The targets of a service differ in speed and lie in several zones, and some are
full, slow, cold, failing or gone. The node beside a target attaches a load
report to each answer; between answers, this node counts the requests that it
has sent itself. The target with the least expected time to an answer is chosen,
where another zone costs a little more than its link.

With hundreds of nodes that each send to a target only occasionally, load
reports are stale, and all nodes would choose the same target. So each node
compares a few targets at random (Mitzenmacher, 2001). While its report on the
chosen target is stale, it limits the queue wait that it accepts: a target that
is fuller rejects the request at once, with a fresh report, and the node sends
the request to the next target.
"""

from collections.abc import Callable, Sequence
import random

import msgspec

from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import reported_load

OTHER_ZONE_MS = 4.0
"""Extra cost of a target in another zone, in milliseconds: two crossings of the
link between the zones, and more while the link is full."""

OTHER_ZONE_SHARE = 0.2
"""Share of its expected time that is added for a target in another zone.
Traffic between zones is expensive, and the little time that is lost by staying
within the zone is far below the objectives."""

COLD_FACTOR = 2.0
"""Factor by which a target is expected to be slower during its cold start, when
there are no samples of its speed yet."""

COLD_MS = 1_000.0
"""Remaining cold start, in milliseconds, that is assumed of a target that is
known to be cold only from its membership entry."""

FAILURE_WEIGHT = 0.12
"""Weight of one outcome in the moving average of a target's failures."""

FAILURE_COST = 4.0
"""Multiple of the expected time that is added for a target whose requests all
fail; in proportion for lower failure rates."""

REPORT_FADES_MS = 1_500.0
"""Age, in milliseconds, at which a load report no longer counts at all. It
counts less and less until then."""

SAMPLED_OWN_ZONE = 4
SAMPLED_OTHER_ZONES = 2
"""Targets of this node's zone and of other zones that are compared for one
request. A service with no more targets than both together has all of them
compared."""

FRESH_REPORT_MAX_AGE_MS = 400.0
"""Age, in milliseconds, up to which a load report counts in full and a request
may wait in the target's queue without a limit. Shorter than
`REPORT_FADES_MS`."""

BOUNDED_WAIT_TRIES_MAX = 2
"""Targets that a request tries with a limit on its queue wait before it is sent
to one without a limit. With nine slots of ten in use, three of four requests
find a free slot within these tries."""

BOUNDED_WAIT_SHARE = 0.04
"""Queue wait, as a share of the objective, that a request accepts at a target
without a fresh report. It isn't zero, since trying another target costs a round
trip."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of a target, as the node beside it reports it.

    Attributes:
      slots: requests that the target runs at once; 0 without a target.
      running: requests that are running.
      queued: requests that are waiting.
      wait_ms: expected wait of the last request in the queue, in milliseconds.
      service_time_ratio: the target's service time over that of an average
        target; 1.0 if unknown.
      draining: whether the target accepts no new requests.
      cold_ms: remaining time of the target's cold start, in milliseconds.
      capacity_weight: weight by which the target gets its share of the keys
        among the targets of its service.
      utilisation_percent: work that arrives for the target over the work that
        its slots can finish, in percent; only for a service that is divided by
        key.
      host_percent: time that work takes on the target's host at this moment, in
        percent of the usual time; 100 if the target does not say so.
    """

    slots: int
    running: int
    queued: int
    wait_ms: float
    service_time_ratio: float
    draining: bool
    cold_ms: float
    capacity_weight: float
    utilisation_percent: int = 0
    host_percent: int = 100


NO_TARGET = LoadReport(0, 0, 0, 0.0, 1.0, False, 0.0, 0.0)


class Candidate:
    """A target that this node can choose, with what this node knows of it.

    Attributes:
      name: name of the node beside the target.
      zone: the target's availability zone.
      report: the latest load report, or one made from the membership entry.
      reported_ms: when the load report was received; 0 if `report` was made
        from the membership entry.
      in_flight: requests of this node at the target that have not ended.
      sent_since: requests that this node has sent since the latest report,
        which may not include them.
      failure_rate: moving average of the target's failures, from 0 to 1.
      excluded_until_ms: time before which the target isn't chosen, after it
        refused a request or was unreachable.
    """

    __slots__ = (
        "excluded_until_ms",
        "failure_rate",
        "in_flight",
        "name",
        "report",
        "reported_ms",
        "sent_since",
        "zone",
    )

    def __init__(self, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.report = NO_TARGET
        self.reported_ms = 0.0
        self.in_flight = 0
        self.sent_since = 0
        self.failure_rate = 0.0
        self.excluded_until_ms = 0.0

    def update_from_report(self, now_ms: float, report: LoadReport) -> None:
        """Applies a load report of the target's node."""
        self.report = report
        self.reported_ms = now_ms
        self.sent_since = 0

    def update_from_entry(self, entry: membership.Entry) -> None:
        """Applies the target's membership entry.

        A load report that agrees with the entry is kept, as it is more precise.
        """
        is_same = (
            self.report.slots == entry.slots
            and self.report.draining == entry.refuses_new_work()
            and (self.report.cold_ms > 0.0) == entry.cold
        )
        if is_same and self.reported_ms:
            return
        self.report = LoadReport(
            entry.slots,
            0,
            0,
            0.0,
            entry.service_time_ratio,
            entry.refuses_new_work(),
            COLD_MS if entry.cold else 0.0,
            entry.capacity_weight(),
        )
        self.reported_ms = 0.0

    def is_fresh(self, now_ms: float) -> bool:
        """Whether the load report is recent enough to be relied upon."""
        return now_ms - self.reported_ms <= FRESH_REPORT_MAX_AGE_MS

    def on_request_sent(self) -> None:
        """Counts a request that this node sends to the target."""
        self.in_flight += 1
        self.sent_since += 1

    def on_request_ended(self, failed: bool) -> None:
        """Counts the end of a request that this node sent to the target."""
        self.in_flight -= 1
        self.failure_rate += FAILURE_WEIGHT * (
            float(failed) - self.failure_rate
        )

    def expected_ms(
        self, now_ms: float, objective_ms: float, zone: str
    ) -> float:
        """Expected cost, in milliseconds, of sending a request to the target.

        The cost is the expected time to an answer, increased for failures and
        for another zone.

        Args:
          now_ms: the time.
          objective_ms: work that an average target would take for the request.
          zone: this node's zone.
        """
        report = self.report
        time_ratio = report.service_time_ratio
        is_cold = report.cold_ms > 0.0 and not self.reported_ms
        if is_cold or report.cold_ms > now_ms - self.reported_ms:
            time_ratio *= COLD_FACTOR
        service_ms = objective_ms * time_ratio
        age_ms = now_ms - self.reported_ms
        if report.host_percent != reported_load.USUAL_PERCENT:
            service_ms *= reported_load.time_factor(report.host_percent, age_ms)
        staleness = min(1.0, age_ms / REPORT_FADES_MS)
        busy = report.running + report.queued
        if age_ms > FRESH_REPORT_MAX_AGE_MS:
            busy *= 1.0 - staleness
        busy += self.sent_since
        free = report.slots - busy
        wait_ms = report.wait_ms * (1.0 - staleness)
        if free <= 0:
            queued = self.sent_since
            wait_ms += service_ms * (0.5 + queued) / max(1, report.slots)
        else:
            # A fuller target is a little slower, and fills up sooner.
            wait_ms += 0.25 * service_ms * busy / max(1, report.slots)
        cost_ms = (service_ms + wait_ms) * (
            1.0 + FAILURE_COST * self.failure_rate
        )
        if self.zone != zone:
            cost_ms += OTHER_ZONE_MS + OTHER_ZONE_SHARE * cost_ms
        return cost_ms


class TargetGroup:
    """The targets of one service, grouped by whether they are in this zone.

    Attributes:
      zone: this node's zone.
      by_name: all targets of the service, by the name of their node.
      near: targets in this node's zone.
      far: targets in other zones.
    """

    __slots__ = ("by_name", "far", "near", "zone")

    def __init__(self, zone: str):
        self.zone = zone
        self.by_name: dict[str, Candidate] = {}
        self.near: list[Candidate] = []
        self.far: list[Candidate] = []

    def add(self, candidate: Candidate) -> None:
        """Adds a target to the group."""
        self.by_name[candidate.name] = candidate
        is_near = candidate.zone == self.zone
        (self.near if is_near else self.far).append(candidate)

    def remove(self, name: str) -> None:
        """Removes a target from the group; KeyError if it isn't a member."""
        candidate = self.by_name.pop(name)
        is_near = candidate.zone == self.zone
        (self.near if is_near else self.far).remove(candidate)

    def sample(
        self, is_eligible: Callable[[Candidate], bool], rng: random.Random
    ) -> list[Candidate]:
        """Returns a few eligible targets at random.

        Where this zone has too few, more are drawn from other zones. A group of
        few targets is returned whole.
        """
        if len(self.by_name) <= SAMPLED_OWN_ZONE + SAMPLED_OTHER_ZONES:
            return [each for each in self.by_name.values() if is_eligible(each)]
        found = _sample(self.near, SAMPLED_OWN_ZONE, is_eligible, rng)
        missing = SAMPLED_OWN_ZONE - len(found)
        return found + _sample(
            self.far, SAMPLED_OTHER_ZONES + missing, is_eligible, rng
        )


def _sample(
    candidates: list[Candidate],
    count: int,
    is_eligible: Callable[[Candidate], bool],
    rng: random.Random,
) -> list[Candidate]:
    """Returns up to `count` eligible candidates at random.

    Few candidates are checked if most of them are eligible.
    """
    found: list[Candidate] = []
    remaining = list(range(len(candidates)))
    while remaining and len(found) < count:
        picked = int(rng.random() * len(remaining))
        remaining[picked], remaining[-1] = remaining[-1], remaining[picked]
        candidate = candidates[remaining.pop()]
        if is_eligible(candidate):
            found.append(candidate)
    return found


def choose_target(
    now_ms: float,
    group: TargetGroup,
    is_eligible: Callable[[Candidate], bool],
    objective_ms: float,
    rng: random.Random,
    again: Sequence[Candidate] = (),
) -> Candidate | None:
    """Returns the target with the least expected cost among a random few.

    Args:
      now_ms: the time.
      group: targets of the service.
      is_eligible: whether a target is reachable and has not yet been tried for
        this request.
      objective_ms: work that an average target would take for the request.
      rng: draws the targets that are compared, and breaks ties.
      again: targets that are compared in any case, for example those that have
        rejected the request because it would have to wait.

    Returns:
      The target, or None if there is none to choose.
    """

    def may_be_chosen(candidate: Candidate) -> bool:
        report = candidate.report
        if report.slots == 0 or report.draining:
            return False
        return candidate.excluded_until_ms <= now_ms and is_eligible(candidate)

    best = None
    best_ms = 0.0
    for candidate in (*group.sample(may_be_chosen, rng), *again):
        cost_ms = candidate.expected_ms(now_ms, objective_ms, group.zone)
        cost_ms *= 1.0 + 0.05 * rng.random()
        if best is None or cost_ms < best_ms:
            best = candidate
            best_ms = cost_ms
    return best


def max_queue_wait_ms(
    now_ms: float, candidate: Candidate, objective_ms: float, asked: int
) -> float:
    """Queue wait, in milliseconds, that a request accepts at a target.

    A negative value means that any wait is accepted.

    Args:
      now_ms: the time.
      candidate: the target.
      objective_ms: length of the request's objective.
      asked: number of targets that the request was sent to before.
    """
    if candidate.is_fresh(now_ms) or asked >= BOUNDED_WAIT_TRIES_MAX:
        return -1.0
    return BOUNDED_WAIT_SHARE * objective_ms
