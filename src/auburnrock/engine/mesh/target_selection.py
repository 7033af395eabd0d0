"""Choice of a target for work that any target of a service may run.

Load answered: targets of unlike speed in several zones, of which some are
full, slow, cold, failing or gone. A target's node says with each answer how
much waits there; between answers this node counts what it has sent itself.
The choice goes to the least expected time to an answer, where another zone
costs a little more than its link.

Load answered besides: hundreds of nodes that each ask a target now and then,
so that what they know of it is old, and all would go to the same one. Each
compares a few at random (Mitzenmacher, 2001), and offers its work with a bound
on the wait while its report is old: a target that is fuller refuses it at
once, with a fresh report, and the next one is asked.
"""

from collections.abc import Callable, Sequence
import random

import msgspec

from auburnrock.engine.mesh import membership

OTHER_ZONE_MS = 4.0
"""Extra cost of another zone: two crossings, more where the links are full."""

OTHER_ZONE_SHARE = 0.2
"""Part by which another zone must be quicker: bytes between zones are dear, and
what little time is lost within the zone stays far below the objectives."""

COLD_FACTOR = 2.0
"""How much slower a target is after its start, before samples say more."""

COLD_MS = 1_000.0
"""Stands for the rest of a cold start where only the directory tells of it."""

FAILURE_WEIGHT = 0.12
"""Weight of one outcome in the running share of failures."""

FAILURE_COST = 4.0
"""Expected time multiplies by this much at a failure share of one."""

REPORT_FADES_MS = 1_500.0
"""A report of load counts less with its age and nothing after this."""

SAMPLED_OWN_ZONE = 4
SAMPLED_OTHER_ZONES = 2
"""Targets of the own and of other zones that are compared for one request. Up
to so many in all, every target is compared."""

FRESH_REPORT_MAX_AGE_MS = 400.0
"""A report of this age is good enough to wait in that target's queue."""

BOUNDED_WAIT_TRIES_MAX = 2
"""Targets that are asked with a bound on the wait, before one is asked without
it; at nine slots of ten in use, three of four requests find a free slot."""

PATIENCE_SHARE = 0.04
"""Wait, as a part of the objective, that is accepted without a fresh report:
asking elsewhere costs a round trip."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """What a node says of the target beside it.

    Attributes:
      slots: requests that run at once; 0 without a target.
      running: requests that run.
      queued: requests that wait.
      wait_ms: expected wait of the last in the queue.
      service_time_ratio: work time over that of an average target; 1.0 if
        unknown.
      draining: whether it takes no new work.
      cold_ms: how much longer it is slow after its start.
      capacity_weight: its share of the keys beside others of its service.
      utilisation_percent: work that comes for it over what its slots finish, in
        hundredths; only of a service that is divided by key.
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


NO_TARGET = LoadReport(0, 0, 0, 0.0, 1.0, False, 0.0, 0.0)


class Candidate:
    """A target as this node sees it.

    Attributes:
      name: name of the node beside it.
      zone: its availability zone.
      report: what its node said last.
      reported_ms: when; 0 if only the directory tells of it.
      in_flight: requests of this node that have not been answered.
      sent_since: of those, how many the report may not include.
      failure_rate: running share of failures.
      excluded_until_ms: not chosen before; for targets that refuse or are gone.
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
        """Takes what the target's node says."""
        self.report = report
        self.reported_ms = now_ms
        self.sent_since = 0

    def update_from_entry(self, entry: membership.Entry) -> None:
        """Takes what the directory says; a report says more of the load."""
        is_same = (
            self.report.slots == entry.slots
            and self.report.draining == entry.draining
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
            entry.draining,
            COLD_MS if entry.cold else 0.0,
            entry.capacity_weight(),
        )
        self.reported_ms = 0.0

    def is_fresh(self, now_ms: float) -> bool:
        """Whether its load is known."""
        return now_ms - self.reported_ms <= FRESH_REPORT_MAX_AGE_MS

    def on_request_sent(self) -> None:
        """Counts a request that is sent there."""
        self.in_flight += 1
        self.sent_since += 1

    def on_request_ended(self, failed: bool) -> None:
        """Counts its end."""
        self.in_flight -= 1
        self.failure_rate += FAILURE_WEIGHT * (
            float(failed) - self.failure_rate
        )

    def expected_ms(
        self, now_ms: float, objective_ms: float, zone: str
    ) -> float:
        """Expected time to an answer for `objective_ms` of average work."""
        report = self.report
        pace = report.service_time_ratio
        is_cold = report.cold_ms > 0.0 and not self.reported_ms
        if is_cold or report.cold_ms > now_ms - self.reported_ms:
            pace *= COLD_FACTOR
        own_ms = objective_ms * pace
        age_ms = now_ms - self.reported_ms
        age = min(1.0, age_ms / REPORT_FADES_MS)
        busy = report.running + report.queued
        if age_ms > FRESH_REPORT_MAX_AGE_MS:
            busy *= 1.0 - age
        busy += self.sent_since
        free = report.slots - busy
        wait_ms = report.wait_ms * (1.0 - age)
        if free <= 0:
            queued = self.sent_since
            wait_ms += own_ms * (0.5 + queued) / max(1, report.slots)
        else:
            # A fuller target is a little slower, and sooner full.
            wait_ms += 0.25 * own_ms * busy / max(1, report.slots)
        cost_ms = (own_ms + wait_ms) * (1.0 + FAILURE_COST * self.failure_rate)
        if self.zone != zone:
            cost_ms += OTHER_ZONE_MS + OTHER_ZONE_SHARE * cost_ms
        return cost_ms


class TargetGroup:
    """The targets of one service, near ones apart from far ones.

    Attributes:
      zone: this node's zone.
      by_name: all of them.
      near: those of the zone.
      far: the others.
    """

    __slots__ = ("by_name", "far", "near", "zone")

    def __init__(self, zone: str):
        self.zone = zone
        self.by_name: dict[str, Candidate] = {}
        self.near: list[Candidate] = []
        self.far: list[Candidate] = []

    def add(self, candidate: Candidate) -> None:
        """Takes another target."""
        self.by_name[candidate.name] = candidate
        is_near = candidate.zone == self.zone
        (self.near if is_near else self.far).append(candidate)

    def remove(self, name: str) -> None:
        """Forgets a target."""
        candidate = self.by_name.pop(name)
        is_near = candidate.zone == self.zone
        (self.near if is_near else self.far).remove(candidate)

    def sample(
        self, is_eligible: Callable[[Candidate], bool], rng: random.Random
    ) -> list[Candidate]:
        """A few open targets at random, or all of a few."""
        if len(self.by_name) <= SAMPLED_OWN_ZONE + SAMPLED_OTHER_ZONES:
            return [each for each in self.by_name.values() if is_eligible(each)]
        found = _sample(self.near, SAMPLED_OWN_ZONE, is_eligible, rng)
        lacking = SAMPLED_OWN_ZONE - len(found)
        return found + _sample(
            self.far, SAMPLED_OTHER_ZONES + lacking, is_eligible, rng
        )


def _sample(
    candidates: list[Candidate],
    count: int,
    is_open: Callable[[Candidate], bool],
    chance: random.Random,
) -> list[Candidate]:
    """So many open candidates at random, in few looks if most are open."""
    found: list[Candidate] = []
    places = list(range(len(candidates)))
    while places and len(found) < count:
        at = int(chance.random() * len(places))
        places[at], places[-1] = places[-1], places[at]
        candidate = candidates[places.pop()]
        if is_open(candidate):
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
    """The target with the least expected time among a few; None without one.

    Args:
      now_ms: the time.
      group: targets of the service.
      is_eligible: whether a target can be asked, and has not been in vain.
      objective_ms: work that an average target would take.
      rng: breaks ties, and says which few are compared.
      again: targets that are compared besides.
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
    """The wait that is accepted at a target; negative for any.

    Args:
      now_ms: the time.
      candidate: the target.
      objective_ms: length of the request's objective.
      asked: targets that were asked before.
    """
    if candidate.is_fresh(now_ms) or asked >= BOUNDED_WAIT_TRIES_MAX:
        return -1.0
    return PATIENCE_SHARE * objective_ms
