"""When a request is hedged: sent to a second target beside the first.

A send that is still unanswered after a high quantile of its kind's response
times is repeated at another target, and the first answer counts (Dean and
Barroso, "The Tail at Scale", 2013). Hedges add load, so the operator limits
them to a share of a service's requests. Each node computes its part of the
limit from the requests that it received itself, so that the parts of all nodes
together stay within the share.
"""

import enum
import math

from auburnrock.engine.mesh import retry_budget
from auburnrock.engine.mesh import target_selection

SHARE_MAX = 0.2
"""Largest share of extra sends that can be set."""

USED_SHARE = 0.75
"""Part of the share that a node plans to use; the rest covers windows of
different nodes that do not coincide."""

WINDOW_MS = 30_000.0
"""Window of the limit, in milliseconds. A node that receives two requests a
second can hedge one at a share of 5%."""

RETRY_BUDGET_PART = 0.5
"""Part of a node's retry budget up to which retries and hedges together may
grow by a hedge. The other half is left for retries after failures."""

SPARE_SLOTS_SHARE = 0.2
"""Share of a target's slots that stays free after a hedge is sent to it, so
that a hedge never takes the slot of a first send."""

DEADLINE_SHARE_MIN = 0.15
"""Least time before the deadline for a hedge, as a share of the objective; the
same as for a retry."""

DELAY_MIN_MS = 5.0
"""Shortest delay, in milliseconds: about two round trips between zones."""

SAMPLES_MIN = 50
"""Samples of a kind before its requests are hedged."""

SAMPLES_MAX = 1_024.0
"""Number of samples at which all counts are halved, so that old samples lose
weight."""

UPDATE_SAMPLES = 16
"""Samples between two computations of the quantiles."""

BUCKET_WIDTH = 1.08
"""Ratio of the bounds of a bucket, which is the precision of a quantile."""

BUCKETS = 144
"""Number of buckets, which reach from 1 ms to 65 s."""

SPEED_MIN = 0.5
SPEED_MAX = 2.0
"""Range of a target's time ratio relative to the average target. Targets
differ by less for long; a larger figure comes from a target that is stuck, and
must not postpone the hedge."""

RATIO_WEIGHT = 0.01
"""Weight of a sample in the average time ratio of the targets."""

LATE_WEIGHT = 1 / 32
"""Weight of a send in the moving average of those that exceed the delay."""

LATE_RATE_MAX = 0.25
LATE_RATE_FACTOR = 2.0
"""Rate of sends that exceed the delay from which on all targets count as slow:
the larger of the constant and of this multiple of the usual rate. After seven
or eight late sends in succession, hedging pauses until the quantile has
adapted."""

RECENT_WEIGHT = 1 / 32
USUAL_WEIGHT = 1 / 1_024
"""Weights of a sample in the recent and in the usual mean of the logarithm of
the response time. The logarithm keeps a few slow targets from moving it."""

SLOWDOWN_MAX = 1.6
"""Ratio of the recent to the usual response time from which on all targets
count as slow. The quantile adapts to a slowdown after some 40 samples, and
hedging would go on then; the usual mean adapts after about a thousand."""

OVERTAKEN_MAX = 3
"""Sends in succession that lost to a hedge, from which on each counts as a
failure of its target. Otherwise a target that never responds would not count as
failing, as its sends are cancelled. If one send in twenty loses by chance,
three in succession do so once in 8,000 sends."""

TARGETS_MAX = 1_024
"""Maximum number of targets whose lost sends are counted."""

KINDS_MAX = 256
"""Maximum number of kinds whose response times are kept."""


class Denial(enum.Enum):
    """Why a request whose delay has passed is not hedged."""

    CRASH = "crash"
    DEADLINE = "deadline"
    ALL_SLOW = "all_slow"
    SHARE = "share"
    RETRY_BUDGET = "retry_budget"
    NO_TARGET = "no_target"


def parse_share(text: str | None) -> float:
    """Returns the share that operators set; 0 if they set none.

    Raises:
      ValueError: the text is not a number from 0 to SHARE_MAX.
    """
    if not text:
        return 0.0
    try:
        share = float(text)
    except ValueError:
        share = math.nan
    if not 0.0 <= share <= SHARE_MAX:
        raise ValueError(
            f"expected a number from 0 to {SHARE_MAX}, got {text!r}"
        )
    return share


class ResponseTimes:
    """Response times of one kind of request, in a histogram.

    Times are divided by the speed of the target relative to the average, so
    that they describe an average target.

    Attributes:
      quantile: quantile after which a send counts as late.
      counts: weight of the samples in each bucket.
      total: sum of `counts`.
      quantile_ms: time after which a send to an average target is late; 0
        until there are SAMPLES_MIN samples.
      median_ms: median response time of an average target.
      mean_ratio: average time ratio of the targets; 0 without a sample.
      late_rate: moving average of the sends that exceeded the delay.
      samples: number of samples so far.
      recent_log: recent mean of the logarithm of the response time.
      usual_log: usual mean of it.
    """

    __slots__ = (
        "counts",
        "late_rate",
        "mean_ratio",
        "median_ms",
        "quantile",
        "quantile_ms",
        "recent_log",
        "samples",
        "total",
        "until_update",
        "usual_log",
    )

    def __init__(self, quantile: float):
        self.quantile = quantile
        self.counts = [0.0] * BUCKETS
        self.total = 0.0
        self.quantile_ms = 0.0
        self.median_ms = 0.0
        self.mean_ratio = 0.0
        self.late_rate = 1.0 - quantile
        self.until_update = SAMPLES_MIN
        self.samples = 0
        self.recent_log = self.usual_log = 0.0

    def speed(self, ratio: float) -> float:
        """Returns a target's time ratio relative to the average target.

        Args:
          ratio: the target's service time ratio as its load report states it.
        """
        if self.mean_ratio <= 0.0 or not 0.0 < ratio < math.inf:
            return 1.0
        return min(SPEED_MAX, max(SPEED_MIN, ratio / self.mean_ratio))

    def add(self, took_ms: float, ratio: float) -> None:
        """Adds a response time, or the age of a send that was cancelled late.

        A cancelled send would have taken longer. Its age is beyond the
        quantile, so the quantile is the same as with the unknown time.

        Args:
          took_ms: time from the send to the response.
          ratio: the target's service time ratio.
        """
        if 0.0 < ratio < math.inf:
            if self.mean_ratio <= 0.0:
                self.mean_ratio = ratio
            bounded = self.mean_ratio * self.speed(ratio)
            self.mean_ratio += RATIO_WEIGHT * (bounded - self.mean_ratio)
        time_ms = max(1.0, took_ms / self.speed(ratio))
        log_ms = math.log(time_ms)
        self.samples += 1
        weight = 1.0 / self.samples
        self.recent_log += max(RECENT_WEIGHT, weight) * (
            log_ms - self.recent_log
        )
        self.usual_log += max(USUAL_WEIGHT, weight) * (log_ms - self.usual_log)
        bucket = int(log_ms / math.log(BUCKET_WIDTH))
        self.counts[min(BUCKETS - 1, bucket)] += 1.0
        self.total += 1.0
        if self.total >= SAMPLES_MAX:
            self.counts = [count / 2 for count in self.counts]
            self.total = sum(self.counts)
        self.until_update -= 1
        if self.until_update <= 0:
            self.until_update = UPDATE_SAMPLES
            self.quantile_ms = self._value_at(self.quantile)
            self.median_ms = self._value_at(0.5)

    def _value_at(self, quantile: float) -> float:
        """Returns the upper bound of the bucket that holds a quantile."""
        remaining = quantile * self.total
        for bucket, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0.0:
                return BUCKET_WIDTH ** (bucket + 1)
        return BUCKET_WIDTH**BUCKETS

    def delay_ms(self, ratio: float) -> float:
        """Returns the age at which a send is late; infinite if unknown."""
        if not self.quantile_ms:
            return math.inf
        return max(DELAY_MIN_MS, self.quantile_ms * self.speed(ratio))

    def count_late(self, late: bool) -> None:
        """Counts a send that exceeded its delay, or ended before it."""
        self.late_rate += LATE_WEIGHT * (float(late) - self.late_rate)

    def are_all_slow(self) -> bool:
        """Whether the targets are slow as a whole.

        A second send would only add to what slows them down. The rate of late
        sends shows it before there are responses.
        """
        usual = 1.0 - self.quantile
        if self.late_rate > max(LATE_RATE_MAX, LATE_RATE_FACTOR * usual):
            return True
        return self.recent_log - self.usual_log > math.log(SLOWDOWN_MAX)


class HedgeLimit:
    """This node's part of the limit on the hedges to one service.

    Attributes:
      share: hedges that are allowed for each request.
      requests: requests to this node in a part of the window. With the shorter
        window, requests that are about to leave the window allow no hedge.
      hedges: hedges by this node in a window.
    """

    __slots__ = ("hedges", "requests", "share")

    def __init__(self, share: float):
        self.share = share
        self.requests = retry_budget.Window(USED_SHARE * WINDOW_MS)
        # A window omits up to the width of its oldest bucket, which the
        # longer span includes.
        self.hedges = retry_budget.Window(
            WINDOW_MS * (1.0 + 1.2 / retry_budget.Window.BUCKETS)
        )

    def allows_hedge(self, now_ms: float) -> bool:
        """Whether one more hedge stays within this node's part."""
        allowed = self.share * self.requests.count(now_ms)
        return self.hedges.count(now_ms) + 1 <= allowed


class Hedging:
    """Decides which requests of a node are hedged.

    Attributes:
      share: extra sends as a share of a service's requests.
      planned_share: extra sends that are planned, as a share: what the limit
        and the retry budget leave in the usual case.
      limits: limits by service.
      times: response times by service and route.
      overtaken: number of sends in succession that lost to a hedge, by target;
        only targets that have not answered since.
    """

    __slots__ = ("limits", "overtaken", "planned_share", "share", "times")

    def __init__(self, share: float, retry_ratio: float):
        self.share = share
        # A retry budget counts the requests of half its window.
        self.planned_share = USED_SHARE * min(
            share, 0.5 * RETRY_BUDGET_PART * retry_ratio
        )
        self.limits: dict[str, HedgeLimit] = {}
        self.times: dict[tuple[str, str], ResponseTimes] = {}
        self.overtaken: dict[str, int] = {}

    def limit_of(self, service: str) -> HedgeLimit:
        """Returns the limit on hedges to a service."""
        limit = self.limits.get(service)
        if limit is None:
            limit = self.limits[service] = HedgeLimit(self.share)
        return limit

    def times_of(self, service: str, route: str) -> ResponseTimes:
        """Returns the response times of a route's requests to a service."""
        kind = (service, route)
        times = self.times.get(kind)
        if times is None:
            if len(self.times) >= KINDS_MAX:
                del self.times[next(iter(self.times))]
            times = ResponseTimes(1.0 - self.planned_share)
            self.times[kind] = times
        return times

    def on_request(self, now_ms: float, service: str) -> None:
        """Counts a caller's request to a service that is not keyed."""
        self.limit_of(service).requests.add(now_ms)

    def denial(
        self,
        now_ms: float,
        service: str,
        route: str,
        objective_ms: float,
        left_ms: float,
        crashes: int,
        budget: retry_budget.RetryBudget,
        nodes: int,
    ) -> Denial | None:
        """Returns why a late request must not be hedged; None if it may be.

        Args:
          now_ms: the time.
          service: the request's service.
          route: name of the request's route.
          objective_ms: length of the request's objective.
          left_ms: time before the request's deadline.
          crashes: number of crashes that the request may have caused.
          budget: retry budget of the service.
          nodes: number of nodes that share the retry budget.
        """
        if crashes > 0:
            return Denial.CRASH
        times = self.times_of(service, route)
        if left_ms < max(DEADLINE_SHARE_MIN * objective_ms, times.median_ms):
            return Denial.DEADLINE
        if times.are_all_slow():
            return Denial.ALL_SLOW
        if not self.limit_of(service).allows_hedge(now_ms):
            return Denial.SHARE
        if not budget.allows_retry(now_ms, nodes, RETRY_BUDGET_PART):
            return Denial.RETRY_BUDGET
        return None

    def on_hedge(self, now_ms: float, service: str) -> None:
        """Counts a hedge."""
        self.limit_of(service).hedges.add(now_ms)

    def on_overtaken(self, target: str) -> bool:
        """Counts a first send that lost to a hedge.

        Returns:
          Whether it counts as a failure of its target.
        """
        count = min(self.overtaken.pop(target, 0) + 1, OVERTAKEN_MAX)
        if len(self.overtaken) >= TARGETS_MAX:
            del self.overtaken[next(iter(self.overtaken))]
        self.overtaken[target] = count
        return count >= OVERTAKEN_MAX

    def on_answer(self, target: str) -> None:
        """Records that a target answered a first send."""
        self.overtaken.pop(target, None)


def has_room(now_ms: float, candidate: target_selection.Candidate) -> bool:
    """Whether a target has spare slots by a fresh report, and is not cold."""
    report = candidate.report
    if not candidate.is_fresh(now_ms) or report.draining:
        return False
    if report.cold_ms > 0.0:
        return False
    busy = report.running + report.queued + candidate.sent_since
    return (
        report.wait_ms <= 0.0
        and report.slots - busy - 1 >= SPARE_SLOTS_SHARE * report.slots
    )
