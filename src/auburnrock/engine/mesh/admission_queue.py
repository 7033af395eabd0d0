"""Waiting at a target: what starts, what waits, what is turned away at once.

Load answered: more work arrives than the target's slots finish, for seconds
(bursts, a lost neighbour, a slow target). A queue without a bound would make
every answer late. So a request waits only if, by the work ahead of it, it can
still be answered within its objective. What cannot is refused on arrival,
with the time after which there is room again.

Load answered besides: a target that has just become many times slower. Its
work times tell of it only when requests end, which is late; those that run
tell of it by their age.
"""

import heapq

import msgspec

RUNNING_LEFT = 0.5
"""Share of its expected time that a running request has left, on average."""

USUAL_AGE = 0.6
"""Age of the running requests over their expected time, on average; it would be
a half if all took equally long."""

SLOW = 1.8
"""Age over the usual one from which on the target counts as slow: with three
requests whose spread is a third of the mean, three deviations."""

SLOW_RUNNING_MIN = 3
"""Requests that must run for that."""

LATE_LANE_SHARE = 0.12
"""Late requests that may wait, as a share of the slots: they run only in the
gaps that requests in time leave, and must not wait in vain."""

IN_TIME_SHARE = 1.0
"""A request counts as late once less than this much of its expected work fits
before its objective; more than half of all requests take less than the mean."""

ADMITTED_SHARE = 1.2
"""And is let in to wait only if this much fits: some waits are longer than
expected."""

RESERVED_SHARE = 0.16
"""Slots that are kept from late requests, for those that may come in time
(trunk reservation): a late answer has lost most of its worth, and while all
slots are busy each one displaces an answer in time."""

DEFAULT_WORK_SHARE = 0.4
"""Expected work before the first sample, as a share of the objective."""

SAMPLE_WEIGHT = 0.08
"""Weight of a sample in the running mean of work times."""

FIRST_SAMPLE_WEIGHT = 0.34
"""Weight of the earliest samples, so that a start is learnt quickly."""

LATE_PATIENCE = 2.0
"""Objectives that a late request waits for a gap. Where none has come by then,
none is likely, and its caller is told so."""

RETURN_SPREAD = 0.6
"""Spread of return times, as a share of the time to the next room."""

LEAST_RETURN_MS = 25.0
"""Shortest return time told: about a round trip and one slot's turn."""


class QueuedRequest(msgspec.Struct, eq=False):
    """A request as its target's queue sees it.

    Attributes:
      number: identifies it.
      kind: what kind of work it is; requests of a kind last alike.
      priority: priority; 0 is the highest.
      objective_at_ms: when its answer loses most of its worth.
      deadline_at_ms: when its answer is worth nothing.
      objective_ms: length of its objective.
      order: place among those that wait.
      expected_ms: expected work when it was offered.
      started_ms: when it started; 0 before.
      max_queue_wait_ms: wait beyond which its sender would rather ask
        elsewhere; negative for none.
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


class Admitted(msgspec.Struct, frozen=True):
    """The request may be sent to the target now."""

    request: QueuedRequest


class Queued(msgspec.Struct, frozen=True):
    """The request waits for a slot."""

    request: QueuedRequest


class Rejected(msgspec.Struct, frozen=True):
    """The request is not run.

    Attributes:
      request: the request.
      retry_after_ms: when there is likely to be room.
      expected_wait_ms: the wait that speaks against it.
    """

    request: QueuedRequest
    retry_after_ms: float
    expected_wait_ms: float


class WorkTimes:
    """Running means of work times by kind.

    Attributes:
      means: mean in milliseconds of each kind.
      samples: how many samples each mean has.
    """

    __slots__ = ("means", "samples")

    def __init__(self):
        self.means: dict[str, float] = {}
        self.samples: dict[str, int] = {}

    def add(self, kind: str, work_ms: float) -> None:
        """Takes the work time of a request that ran to its end."""
        known = self.means.get(kind)
        if known is None:
            self.means[kind] = work_ms
            self.samples[kind] = 1
            return
        self.samples[kind] += 1
        weight = max(
            SAMPLE_WEIGHT,
            min(FIRST_SAMPLE_WEIGHT, 1.0 / self.samples[kind]),
        )
        self.means[kind] = known + weight * (work_ms - known)

    def expected_ms(self, kind: str, objective_ms: float) -> float:
        """Expected work of a request of this kind."""
        known = self.means.get(kind)
        if known is None:
            return DEFAULT_WORK_SHARE * objective_ms
        return known


class AdmissionQueue:
    """The only queue between callers and one target.

    Attributes:
      slots: requests that run at once.
      running: those that run, by number.
      queue_heap: heap of (order, number, ticket); cancelled ones stay in it.
      late_heap: the same for those that can no longer be in time.
      queued: tickets that wait, by number.
      work_times: learnt work times.
      rejection_count: counts refusals, to spread their return times.
    """

    __slots__ = (
        "late_heap",
        "queue_heap",
        "queued",
        "rejection_count",
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
        self.rejection_count = 0

    def offer(
        self, now_ms: float, ticket: QueuedRequest
    ) -> Admitted | Queued | Rejected:
        """Decides on a request that has just come."""
        ticket.expected_ms = self.work_times.expected_ms(
            ticket.kind, ticket.objective_ms
        )
        ticket.order = _order(ticket)
        if self._may_start(now_ms, ticket):
            return self._start(now_ms, ticket)
        wait_ms = self.expected_wait_ms(now_ms, ticket)
        if 0.0 <= ticket.max_queue_wait_ms < wait_ms:
            return self._refuse(ticket, wait_ms)
        slowness = self.slowness(now_ms)
        work_ms = ticket.expected_ms * slowness
        if now_ms + wait_ms + work_ms > ticket.deadline_at_ms:
            return self._refuse(ticket, wait_ms)
        likely_ms = wait_ms + ADMITTED_SHARE * work_ms
        if now_ms + likely_ms > ticket.objective_at_ms:
            # Cancelled ones leave the lane only when it is looked through.
            self.late_heap = [
                entry for entry in self.late_heap if entry[1] in self.queued
            ]
            heapq.heapify(self.late_heap)
            late = len(self.late_heap)
            if slowness > 1.0:
                # No slot frees soon, so none of them has been found late.
                late = len(self.queued)
            if late >= self.slots * LATE_LANE_SHARE:
                return self._refuse(ticket, wait_ms)
        heapq.heappush(self.queue_heap, (ticket.order, ticket.number, ticket))
        self.queued[ticket.number] = ticket
        return Queued(ticket)

    def slowness(self, now_ms: float) -> float:
        """How much longer than expected the running ones take; 1 if not."""
        if len(self.running) < SLOW_RUNNING_MIN:
            return 1.0
        age_ms = expected_ms = 0.0
        for ticket in self.running.values():
            age_ms += now_ms - ticket.started_ms
            expected_ms += ticket.expected_ms
        slowness = age_ms / (USUAL_AGE * expected_ms)
        return slowness if slowness >= SLOW else 1.0

    def expected_wait_ms(
        self, now_ms: float, ticket: QueuedRequest | None = None
    ) -> float:
        """Expected wait of a ticket, or of the last in the queue."""
        if len(self.running) < self.slots and not self.queued:
            return 0.0
        ahead_ms = RUNNING_LEFT * sum(
            other.expected_ms for other in self.running.values()
        )
        for other in self.queued.values():
            if ticket is None or other.order <= ticket.order:
                ahead_ms += other.expected_ms
        return ahead_ms * self.slowness(now_ms) / max(1, self.slots)

    def on_request_ended(
        self, now_ms: float, number: int, completed: bool
    ) -> list[Admitted | Rejected]:
        """Takes the end of a request; says which ones go on.

        Args:
          now_ms: the time.
          number: the request that ended, by whatever cause.
          completed: whether the target ran it to its end.
        """
        ticket = self.running.pop(number, None)
        if ticket is not None and completed:
            self.work_times.add(ticket.kind, now_ms - ticket.started_ms)
        self.queued.pop(number, None)
        return self.start_queued(now_ms)

    def start_queued(self, now_ms: float) -> list[Admitted | Rejected]:
        """Starts what has a slot and turns away what comes too late."""
        decided: list[Admitted | Rejected] = []
        while len(self.running) < self.slots:
            ticket = self._next(now_ms)
            if ticket is None:
                break
            least_ms = 0.5 * ticket.expected_ms
            if now_ms + least_ms > ticket.deadline_at_ms:
                decided.append(
                    self._refuse(ticket, self.expected_wait_ms(now_ms))
                )
            else:
                decided.append(self._start(now_ms, ticket))
        return decided

    def _next(self, now_ms: float) -> QueuedRequest | None:
        """The next to start: those in time first, by order, then late ones.

        The earliest objective first without this would spend every slot on
        requests that have just become late, once there are more of them than
        slots.
        """
        while self.queue_heap:
            entry = heapq.heappop(self.queue_heap)
            ticket = entry[2]
            if ticket.number not in self.queued:
                continue
            if self._is_late(now_ms, ticket):
                heapq.heappush(self.late_heap, entry)
                continue
            return self.queued.pop(ticket.number)
        if len(self.running) >= self.slots - self._reserved():
            return None
        while self.late_heap:
            ticket = heapq.heappop(self.late_heap)[2]
            if self.queued.pop(ticket.number, None) is not None:
                return ticket
        return None

    def _may_start(self, now_ms: float, ticket: QueuedRequest) -> bool:
        """Whether a request that has just come need not wait.

        Those that wait while a slot is free are late.
        """
        free = self.slots - len(self.running)
        if self._is_late(now_ms, ticket):
            return free > self._reserved() and not self.queued
        return free > 0

    def _is_late(self, now_ms: float, ticket: QueuedRequest) -> bool:
        least_ms = IN_TIME_SHARE * ticket.expected_ms
        return now_ms + least_ms > ticket.objective_at_ms

    def _reserved(self) -> int:
        return int(self.slots * RESERVED_SHARE)

    def shed_overdue(self, now_ms: float) -> list[Rejected]:
        """Turns away the waiting requests that can no longer be served."""
        refused = []
        for number, ticket in list(self.queued.items()):
            patience_ms = LATE_PATIENCE * ticket.objective_ms
            if (
                now_ms + 0.5 * ticket.expected_ms > ticket.deadline_at_ms
                or now_ms > ticket.objective_at_ms + patience_ms
            ):
                del self.queued[number]
                refused.append(
                    self._refuse(ticket, self.expected_wait_ms(now_ms))
                )
        return refused

    def _start(self, now_ms: float, ticket: QueuedRequest) -> Admitted:
        ticket.started_ms = now_ms
        self.running[ticket.number] = ticket
        return Admitted(ticket)

    def _refuse(self, ticket: QueuedRequest, wait_ms: float) -> Rejected:
        """Refuses with a return time in the span in which room comes back."""
        self.rejection_count += 1
        spread = 1.0 + RETURN_SPREAD * ((self.rejection_count * 0.618034) % 1.0)
        room_ms = max(LEAST_RETURN_MS, wait_ms)
        return Rejected(ticket, room_ms * spread, wait_ms)


def _order(ticket: QueuedRequest) -> tuple:
    """Earlier rank first, then the earliest latest start.

    Short work that others wait for has the earliest latest start, so calls
    made by running work go before work of their own rank.
    """
    return (ticket.priority, ticket.objective_at_ms - ticket.expected_ms)
