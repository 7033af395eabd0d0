"""Admission control and request queue of one target.

For seconds at a time, more work arrives than the target's slots finish (bursts,
the loss of another target, a slow target). An unbounded queue would make every
answer late. So a request is queued only if, given the work ahead of it, it can
still be answered within its objective. Any other request is rejected on
arrival, with the time after which there is likely to be a free slot.

A target may also become many times slower at once. The measured work times
show this only when requests end, which is too late, so the age of the running
requests is used to detect it.

A target in need names a limit of requests, and a cold one tolerates few. Then
requests also wait for their turn within the limit, and are rejected if that
would take too long.
"""

import heapq
import math

import msgspec

from auburnrock.engine.mesh import cold_start
from auburnrock.engine.mesh import link_share
from auburnrock.engine.mesh import rank_reservation
from auburnrock.engine.mesh import rate_limit
from auburnrock.engine.mesh import wait_estimate

REMAINING_WORK_SHARE = 0.5
"""Share of its expected work that a running request still has to do, on
average."""

NORMAL_AGE_RATIO = 0.6
"""Age of the running requests over their expected work, on average, at a target
of normal speed. It would be 0.5 if all requests took equally long."""

SLOWNESS_THRESHOLD = 1.8
"""Age of the running requests over their normal age from which on the target
counts as slow. With three requests whose work has a standard deviation of a
third of its mean, this is three standard deviations above normal."""

SLOW_RUNNING_MIN = 3
"""Running requests below which the target never counts as slow."""

LATE_QUEUE_SHARE = 0.12
"""Maximum number of queued late requests, as a share of the slots. Late
requests run only in slots that requests in time leave free, and those further
back in a longer queue would time out."""

IN_TIME_WORK_FACTOR = 1.0
"""Multiple of its expected work that must fit before its objective, or else the
request counts as late. More than half of all requests take less than the
mean."""

QUEUEING_WORK_FACTOR = 1.2
"""Multiple of its expected work that must fit before its objective, after the
expected wait, for a request to be queued as one in time. Above
`IN_TIME_WORK_FACTOR`, since some waits are longer than expected."""

RESERVED_SLOTS_SHARE = 0.16
"""Share of the slots that are reserved for requests in time (trunk
reservation). A late answer has lost most of its value, and while all slots are
busy each late request displaces an answer in time."""

DEFAULT_WORK_SHARE = 0.4
"""Expected work of a kind of request without samples, as a share of the
objective."""

SAMPLE_WEIGHT = 0.08
"""Weight of a sample in the moving average of work times."""

EARLY_SAMPLE_WEIGHT_MAX = 0.34
"""Upper bound of the weight of the earliest samples. Above `SAMPLE_WEIGHT`, so
that the average converges quickly after a start."""

LATE_WAIT_FACTOR = 2.0
"""Time for which a late request waits for a free slot after the end of its
objective, as a multiple of the objective's length. After that time a free slot
is unlikely, and the request is rejected so that its caller can react."""

RETRY_AFTER_SPREAD = 0.6
"""Width of the range over which retry-after times are spread, as a share of the
shortest one. The spread keeps callers from returning all at once."""

RETRY_AFTER_MIN_MS = 25.0
"""Shortest retry-after time, in milliseconds: about a round trip and the time
in which one slot becomes free."""


class AnswerBound:
    """Time by which a process needs the answers to its requests.

    Attributes:
      until_ms: that time, in milliseconds; infinite unless the process stops.
    """

    __slots__ = ("until_ms",)

    def __init__(self):
        self.until_ms = math.inf


class QueuedRequest(msgspec.Struct, eq=False):
    """A request in the admission queue of its target.

    Attributes:
      number: number that identifies the request at this target.
      kind: kind of work; requests of one kind take about equally long.
      priority: priority of the request; 0 is the highest.
      objective_at_ms: time at which the answer loses most of its value.
      deadline_at_ms: time at which the answer loses all of its value.
      objective_ms: length of the request's objective, in milliseconds.
      order: sort key among the queued requests; the least starts first.
      expected_ms: expected work, in milliseconds, when the request arrived.
      started_ms: time at which the request started; 0 before.
      max_queue_wait_ms: expected wait, in milliseconds, above which the request
        is rejected, because its sender would rather try another target;
        negative for no limit.
      is_download: whether the response is long, and counts against the share
        of the link.
      bounds: bounds of the processes through which the answer passes.
    """

    number: int
    kind: str
    priority: int
    objective_at_ms: float
    deadline_at_ms: float
    objective_ms: float
    order: tuple = ()
    expected_ms: float = 0.0
    started_ms: float = 0.0
    max_queue_wait_ms: float = -1.0
    is_download: bool = False
    bounds: tuple[AnswerBound, ...] = ()

    def answer_by_ms(self) -> float:
        """Returns the time by which a process on the way stops."""
        return min((bound.until_ms for bound in self.bounds), default=math.inf)

    def rank(self) -> rank_reservation.Rank:
        """Returns the urgency of the request's kind."""
        return self.priority, self.objective_ms


class Admitted(msgspec.Struct, frozen=True):
    """The decision that a request is to be sent to the target now."""

    request: QueuedRequest


class Queued(msgspec.Struct, frozen=True):
    """The decision that a request waits for a slot."""

    request: QueuedRequest


class Rejected(msgspec.Struct, frozen=True):
    """The decision that a request is not run.

    Attributes:
      request: the request.
      retry_after_ms: time, in milliseconds, after which a slot is likely to be
        free.
      expected_wait_ms: the expected wait, in milliseconds, for which the
        request was rejected.
    """

    request: QueuedRequest
    retry_after_ms: float
    expected_wait_ms: float


class WorkTimes:
    """Moving averages of work times by kind of request.

    Attributes:
      means: average work time of each kind, in milliseconds.
      samples: number of samples of each kind.
    """

    __slots__ = ("means", "samples")

    def __init__(self):
        self.means: dict[str, float] = {}
        self.samples: dict[str, int] = {}

    def add(self, kind: str, work_ms: float) -> None:
        """Adds the work time of a request that the target completed."""
        mean_ms = self.means.get(kind)
        if mean_ms is None:
            self.means[kind] = work_ms
            self.samples[kind] = 1
            return
        self.samples[kind] += 1
        weight = max(
            SAMPLE_WEIGHT,
            min(EARLY_SAMPLE_WEIGHT_MAX, 1.0 / self.samples[kind]),
        )
        self.means[kind] = mean_ms + weight * (work_ms - mean_ms)

    def expected_ms(self, kind: str, objective_ms: float) -> float:
        """Expected work of a request of this kind, in milliseconds."""
        mean_ms = self.means.get(kind)
        if mean_ms is None:
            return DEFAULT_WORK_SHARE * objective_ms
        return mean_ms


class AdmissionQueue:
    """The only queue between callers and one target.

    Attributes:
      slots: requests that the target runs at once.
      running: running requests, by number.
      queue_heap: heap of (order, number, request) of the queued requests, in
        which cancelled requests stay until they are popped.
      late_heap: heap of the same form for queued requests that can no longer
        be answered in time.
      queued: queued requests of both heaps, by number, without cancelled ones.
      work_times: measured work times by kind of request.
      rate_limit: limit of the requests that the target takes.
      cold_start: limit of the requests that the target receives while cold.
      reservation: slots that are kept for more urgent kinds of request; None if
        none are.
      link_share: share of the link that downloads may use; None before the
        first one, or if the speed of the link is unknown.
      rejection_count: number of rejections, which spreads the retry-after
        times.
    """

    __slots__ = (
        "cold_start",
        "late_heap",
        "link_share",
        "queue_heap",
        "queued",
        "rate_limit",
        "rejection_count",
        "reservation",
        "running",
        "slots",
        "work_times",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self.running: dict[int, QueuedRequest] = {}
        self.queue_heap: list[tuple[tuple, int, QueuedRequest]] = []
        self.late_heap: list[tuple[tuple, int, QueuedRequest]] = []
        self.queued: dict[int, QueuedRequest] = {}
        self.work_times = WorkTimes()
        self.rate_limit = rate_limit.RateLimit(0.0)
        self.cold_start = cold_start.ColdStart(0.0)
        self.reservation: rank_reservation.RankReservation | None = None
        self.link_share: link_share.LinkShare | None = None
        self.rejection_count = 0

    def offer(
        self, now_ms: float, request: QueuedRequest
    ) -> Admitted | Queued | Rejected:
        """Admits, queues or rejects a request that has just arrived."""
        request.expected_ms = self.work_times.expected_ms(
            request.kind, request.objective_ms
        )
        request.order = self._order(request)
        self.rate_limit.arrivals.add(now_ms)
        if self.reservation is not None:
            self.reservation.on_arrival(
                now_ms, request.kind, request.rank(), request.expected_ms
            )
        if self._may_start(now_ms, request):
            return self._start(now_ms, request)
        wait_ms = self.expected_wait_ms(now_ms, request)
        if 0.0 <= request.max_queue_wait_ms < wait_ms:
            return self._reject(request, wait_ms)
        slowness = self.slowness(now_ms)
        work_ms = request.expected_ms * slowness
        end_ms = now_ms + wait_ms + work_ms
        if end_ms > min(request.deadline_at_ms, request.answer_by_ms()):
            return self._reject(request, wait_ms)
        total_ms = wait_ms + QUEUEING_WORK_FACTOR * work_ms
        if now_ms + total_ms > request.objective_at_ms:
            # Cancelled requests are still in the heap and must not count.
            self.late_heap = [
                entry for entry in self.late_heap if entry[1] in self.queued
            ]
            heapq.heapify(self.late_heap)
            late_count = len(self.late_heap)
            if slowness > 1.0:
                # No slot becomes free soon, and queued requests move to the
                # late heap only when one does, so any of them may be late.
                late_count = len(self.queued)
            if late_count >= self.slots * LATE_QUEUE_SHARE:
                return self._reject(request, wait_ms)
        heapq.heappush(
            self.queue_heap, (request.order, request.number, request)
        )
        self.queued[request.number] = request
        return Queued(request)

    def slowness(self, now_ms: float) -> float:
        """Factor by which running requests take longer than expected.

        It is 1.0 unless the target counts as slow.
        """
        if len(self.running) < SLOW_RUNNING_MIN:
            return 1.0
        age_ms = expected_ms = 0.0
        for request in self.running.values():
            age_ms += now_ms - request.started_ms
            expected_ms += request.expected_ms
        slowness = age_ms / (NORMAL_AGE_RATIO * expected_ms)
        return slowness if slowness >= SLOWNESS_THRESHOLD else 1.0

    def expected_wait_ms(
        self, now_ms: float, request: QueuedRequest | None = None
    ) -> float:
        """Expected wait, in milliseconds, of a request for a slot.

        Args:
          now_ms: the time.
          request: the request; None for one at the end of the queue.
        """
        kept = 0 if request is None else self._kept_slots(now_ms, request)
        limit_ms = self.limit_wait_ms(now_ms)
        if request is not None:
            limit_ms = max(limit_ms, self._link_wait_ms(now_ms, request))
        if len(self.running) < self.slots - kept and not self.queued:
            return limit_ms
        ahead = [
            other.expected_ms
            for other in self.queued.values()
            if request is None or other.order <= request.order
        ]
        slowness = self.slowness(now_ms)
        if self.reservation is not None:
            slot_ms = wait_estimate.start_wait_ms(
                self.slots - kept,
                [
                    wait_estimate.remaining_ms(
                        now_ms - other.started_ms, slowness * other.expected_ms
                    )
                    for other in self.running.values()
                ],
                [slowness * work_ms for work_ms in ahead],
            )
        else:
            ahead_ms = REMAINING_WORK_SHARE * sum(
                other.expected_ms for other in self.running.values()
            )
            ahead_ms += sum(ahead)
            slot_ms = ahead_ms * slowness / max(1, self.slots)
        return max(slot_ms, limit_ms, self.limit_wait_ms(now_ms, len(ahead)))

    def _link_wait_ms(
        self, now_ms: float, request: QueuedRequest, starts: bool = False
    ) -> float:
        """Time until the link has room for the response, in milliseconds.

        Args:
          now_ms: the time.
          request: the request.
          starts: whether the request is the next download to start.
        """
        if self.link_share is None or not request.is_download:
            return 0.0
        ahead = 0
        if not starts:
            ahead = sum(other.is_download for other in self.queued.values())
        return self.link_share.wait_ms(now_ms, ahead)

    def limit_wait_ms(self, now_ms: float, ahead: int = 0) -> float:
        """Time until the target's limits allow a request, in milliseconds.

        Args:
          now_ms: the time.
          ahead: number of requests that are sent before it.
        """
        return max(
            self.rate_limit.wait_ms(now_ms, ahead),
            self.cold_start.wait_ms(now_ms, ahead),
        )

    def is_limited(self, now_ms: float) -> bool:
        """Whether a limit other than the slots delays requests."""
        return (
            self.rate_limit.per_s is not None
            or self.reservation is not None
            or self.link_share is not None
            or self.cold_start.is_limited(now_ms)
        )

    def _kept_slots(self, now_ms: float, request: QueuedRequest) -> int:
        """Slots that are free and kept for more urgent requests."""
        if self.reservation is None:
            return 0
        rank = request.rank()
        needed = self.reservation.slots_before(now_ms, rank, self.slots)
        if not needed:
            return 0
        in_use = sum(other.rank() < rank for other in self.running.values())
        return max(0, needed - in_use)

    def on_request_ended(
        self, now_ms: float, number: int, completed: bool
    ) -> list[Admitted | Rejected]:
        """Handles the end of a request and starts queued ones.

        Args:
          now_ms: the time.
          number: number of the request that ended, running or queued.
          completed: whether the target completed the request.

        Returns:
          Decisions on queued requests.
        """
        request = self.running.pop(number, None)
        if request is not None and completed:
            self.work_times.add(request.kind, now_ms - request.started_ms)
        self.queued.pop(number, None)
        return self.start_queued(now_ms)

    def start_queued(self, now_ms: float) -> list[Admitted | Rejected]:
        """Starts queued requests while slots are free and the limit allows it.

        Queued requests that can't end before their deadline are rejected
        instead.
        """
        decisions: list[Admitted | Rejected] = []
        while (
            len(self.running) < self.slots and self.limit_wait_ms(now_ms) <= 0.0
        ):
            request = self._pop_next(now_ms)
            if request is None:
                break
            min_work_ms = 0.5 * request.expected_ms
            if (
                now_ms + min_work_ms > request.deadline_at_ms
                or now_ms + request.expected_ms > request.answer_by_ms()
            ):
                decisions.append(
                    self._reject(request, self.expected_wait_ms(now_ms))
                )
            else:
                decisions.append(self._start(now_ms, request))
        return decisions

    def _pop_next(self, now_ms: float) -> QueuedRequest | None:
        """Removes and returns the next queued request to start, if any.

        Requests in time come first, by their order, then late ones. By order
        alone, every slot would be spent on requests that have just become late,
        once there are more of them than slots.
        """
        while self.queue_heap:
            entry = heapq.heappop(self.queue_heap)
            request = entry[2]
            if request.number not in self.queued:
                continue
            if self._is_late(now_ms, request):
                heapq.heappush(self.late_heap, entry)
                continue
            if self._free_slots(now_ms, request) <= 0:
                heapq.heappush(self.queue_heap, entry)
                return None
            return self.queued.pop(request.number)
        if len(self.running) >= self.slots - self._reserved_slots():
            return None
        while self.late_heap:
            entry = heapq.heappop(self.late_heap)
            request = entry[2]
            if request.number not in self.queued:
                continue
            if self._free_slots(now_ms, request) <= 0:
                heapq.heappush(self.late_heap, entry)
                return None
            return self.queued.pop(request.number)
        return None

    def _free_slots(self, now_ms: float, request: QueuedRequest) -> int:
        """Free slots that a request may have."""
        free = self.slots - len(self.running)
        if free <= 0 or self._link_wait_ms(now_ms, request, True) > 0.0:
            return 0
        return free - self._kept_slots(now_ms, request)

    def _may_start(self, now_ms: float, request: QueuedRequest) -> bool:
        """Whether a request that has just arrived can start without waiting.

        Requests that are queued while a slot is free are late ones, and don't
        hold back a request in time.
        """
        if self.limit_wait_ms(now_ms) > 0.0:
            return False
        free = self._free_slots(now_ms, request)
        if self._is_late(now_ms, request):
            return free > self._reserved_slots() and not self.queued
        return free > 0

    def _is_late(self, now_ms: float, request: QueuedRequest) -> bool:
        min_work_ms = IN_TIME_WORK_FACTOR * request.expected_ms
        return now_ms + min_work_ms > request.objective_at_ms

    def _reserved_slots(self) -> int:
        return int(self.slots * RESERVED_SLOTS_SHARE)

    def shed_overdue(self, now_ms: float) -> list[Rejected]:
        """Rejects queued requests that can no longer be answered.

        These are requests that can't end before their deadline, late requests
        that have waited too long for a free slot, and requests whose answer
        would come after a process on its way has stopped.
        """
        rejected = []
        for number, request in list(self.queued.items()):
            max_late_ms = LATE_WAIT_FACTOR * request.objective_ms
            if (
                now_ms + 0.5 * request.expected_ms > request.deadline_at_ms
                or now_ms > request.objective_at_ms + max_late_ms
                or self._outlasts_bounds(now_ms, request)
            ):
                del self.queued[number]
                rejected.append(
                    self._reject(request, self.expected_wait_ms(now_ms))
                )
        return rejected

    def _outlasts_bounds(self, now_ms: float, request: QueuedRequest) -> bool:
        """Whether a queued request is likely to end after its bounds."""
        answer_by_ms = request.answer_by_ms()
        if math.isinf(answer_by_ms):
            return False
        wait_ms = self.expected_wait_ms(now_ms, request)
        # The estimate counts the request itself among those before it.
        work_ms = request.expected_ms * self.slowness(now_ms)
        wait_ms = max(0.0, wait_ms - work_ms / max(1, self.slots))
        return now_ms + wait_ms + work_ms > answer_by_ms

    def _start(self, now_ms: float, request: QueuedRequest) -> Admitted:
        request.started_ms = now_ms
        self.rate_limit.take(now_ms)
        self.cold_start.take(now_ms)
        if self.link_share is not None and request.is_download:
            self.link_share.take(now_ms)
        self.running[request.number] = request
        return Admitted(request)

    def _order(self, request: QueuedRequest) -> tuple:
        """Sort key of queued requests: priority, then the latest start in time.

        Short requests that running requests wait for have the earliest latest
        start, so they go before other requests of their priority. Where slots
        are kept for more urgent kinds, these go first.
        """
        latest_start_ms = request.objective_at_ms - request.expected_ms
        if self.reservation is None:
            return request.priority, latest_start_ms
        return *request.rank(), latest_start_ms

    def _reject(self, request: QueuedRequest, wait_ms: float) -> Rejected:
        """Rejects with a retry-after time at which a slot is likely free."""
        self.rejection_count += 1
        spread = 1.0 + RETRY_AFTER_SPREAD * (
            (self.rejection_count * 0.618034) % 1.0
        )
        base_ms = max(RETRY_AFTER_MIN_MS, wait_ms)
        return Rejected(request, base_ms * spread, wait_ms)
