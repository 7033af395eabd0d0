"""Admission to one target: concurrency limit, queue and shedding.

* The limit is learnt within [1, slots] (concurrency_limit.py).
* The queue serves callers by start-time fair queueing (Goyal, Vin and Cheng,
  SIGCOMM 1996) with one request as the unit.
* A full queue drops a request of the caller that has most requests in it
  (longest queue drop, Suter et al., INFOCOM 1998): the newest idempotent one,
  or the newest if none is idempotent.
* A request that, by the observed latency, cannot end before its deadline is
  refused at once, on arrival and again when its turn to start comes.
"""

import collections

import msgspec

from auburnrock import errors
from auburnrock.engine import concurrency_limit
from auburnrock.engine import retry

QUEUE_PER_SLOT = 2
NON_IDEMPOTENT_TIME_FACTOR = 2.0
"""Time left until the deadline that a non-idempotent request needs to start,
as a multiple of the recent latency. Higher than IDEMPOTENT_TIME_FACTOR because
the caller never learns the outcome if the deadline passes while it runs."""
IDEMPOTENT_TIME_FACTOR = 1.0
ABANDONED_HOLDS_CONNECTION_MS = 2_000
SHORTEST_RETRY_AFTER_MS = 20


class Ticket(msgspec.Struct, eq=False):
    """One request at its owner, as admission handles it.

    Attributes:
      number: the request's number, unique at this node.
      caller: name of the caller, for fairness between callers.
      deadline_at_ms: the request's deadline, on this node's clock.
      idempotent: whether running it twice is harmless.
      alone: whether the request must run alone (it is a crash suspect).
      random: a number in [0, 1) that spreads its retry-after time.
      start_tag: virtual time at which the request is due, set on queueing.
    """

    number: int
    caller: str
    deadline_at_ms: int
    idempotent: bool
    alone: bool = False
    random: float = 0.5
    start_tag: float = 0.0


class Admitted(msgspec.Struct, frozen=True):
    """Start the request now."""


class Queued(msgspec.Struct, frozen=True):
    """The request was queued.

    Attributes:
      displaced: the request that was dropped to make room, or None.
    """

    displaced: "RefusedTicket | None" = None


class RefusedTicket(msgspec.Struct, frozen=True):
    """A request to refuse, with its failure; it has not run."""

    ticket: Ticket
    failure: errors.Failure


class Next(msgspec.Struct, frozen=True):
    """Queued requests to start or to refuse now."""

    start: list[Ticket]
    refuse: list[RefusedTicket]


class TargetLimits:
    """Admission to one target.

    Attributes:
      limit: the concurrency limit.
      connections: number of connections that the target accepts.
      running: requests that run now, by number.
      silent: numbers of requests whose connection was retired for silence;
        they hold a connection but do not count towards the limit.
      queues: waiting requests of each caller, oldest first.
      queued: number of requests in `queues`.
      alone: waiting requests that must run alone.
      alone_running: whether a request that must run alone runs now.
      since_alone: number of ordinary requests started since a request last
        ran alone.
      slots: the most requests that the target runs at a time.
      virtual_time: start tag of the latest request started from the queue.
      finish_tags: virtual time up to which each waiting caller is served.
      abandoned: times until which each timed-out request counts as a
        connection, because the target may still be running it.
    """

    __slots__ = (
        "abandoned",
        "alone",
        "alone_running",
        "connections",
        "finish_tags",
        "limit",
        "queued",
        "queues",
        "running",
        "silent",
        "since_alone",
        "slots",
        "virtual_time",
    )

    def __init__(self, slots: int, connections: int):
        assert slots >= 1
        assert connections >= slots
        self.slots = slots
        self.connections = connections
        self.limit = concurrency_limit.ConcurrencyLimit(slots)
        self.running: dict[int, Ticket] = {}
        self.silent: set[int] = set()
        self.queues: dict[str, collections.deque[Ticket]] = {}
        self.queued = 0
        self.alone: collections.deque[Ticket] = collections.deque()
        self.alone_running = False
        self.since_alone = 0
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.abandoned: collections.deque[int] = collections.deque()

    # Events -----------------------------------------------------------------

    def admit(
        self, now_ms: int, ticket: Ticket
    ) -> Admitted | Queued | RefusedTicket:
        """Admits, queues or refuses a request that has arrived."""
        if not self.can_finish(now_ms, ticket):
            return self._refusal(
                ticket, "the request cannot end before its deadline"
            )
        if ticket.alone:
            return self._admit_alone(now_ms, ticket)
        idle = self.queued == 0 and not self.alone
        if idle and self._has_room(now_ms):
            self._start(ticket)
            return Admitted()
        return self._enqueue(now_ms, ticket)

    def finished(
        self,
        now_ms: int,
        ticket: Ticket,
        outcome: concurrency_limit.Outcome,
        latency_ms: float,
    ) -> Next:
        """Records the end of a request; returns what to do with the queue."""
        if ticket.number in self.silent:
            self.silent.remove(ticket.number)
            return self._start_waiting(now_ms)
        was_full = len(self.running) >= self.limit.allowed()
        del self.running[ticket.number]
        if ticket.alone:
            self.alone_running = False
        if outcome is concurrency_limit.Outcome.TIMED_OUT:
            self.abandoned.append(now_ms + ABANDONED_HOLDS_CONNECTION_MS)
        self.limit.observe(outcome, latency_ms, was_full)
        return self._start_waiting(now_ms)

    def gone_silent(self, now_ms: int, ticket: Ticket) -> Next:
        """Records that a running request's connection was retired as silent.

        The request still waits for a late answer, but it must not prevent the
        second attempt from running. For each silent request the target may run
        one more than the limit. Silence counts as congestion, so a frozen
        target, whose requests all become silent, soon gets one request at a
        time. A request that runs alone continues to run alone.
        """
        if ticket.alone or ticket.number in self.silent:
            return Next([], [])
        del self.running[ticket.number]
        self.silent.add(ticket.number)
        self.limit.observe(concurrency_limit.Outcome.TIMED_OUT, 0.0, False)
        return self._start_waiting(now_ms)

    def expire(self, now_ms: int) -> Next:
        """Refuses the waiting requests that would miss their deadlines."""
        refuse = []
        for caller in list(self.queues):
            for ticket in list(self.queues[caller]):
                if not self.can_finish(now_ms, ticket):
                    self._remove(ticket)
                    refuse.append(self._deadline_refusal(ticket))
        for ticket in list(self.alone):
            if not self.can_finish(now_ms, ticket):
                self.alone.remove(ticket)
                refuse.append(self._deadline_refusal(ticket))
        following = self._start_waiting(now_ms)
        return Next(following.start, refuse + following.refuse)

    def cancelled(self, ticket: Ticket) -> bool:
        """Removes a waiting request; returns False if it is not waiting."""
        if ticket in self.alone:
            self.alone.remove(ticket)
            return True
        if ticket in self.queues.get(ticket.caller, ()):
            self._remove(ticket)
            return True
        return False

    def target_restarted(self) -> None:
        """Resets the limit to that of a cold target."""
        self.limit = concurrency_limit.ConcurrencyLimit(self.slots)
        self.abandoned.clear()

    # Decisions --------------------------------------------------------------

    def can_finish(self, now_ms: int, ticket: Ticket) -> bool:
        """Whether the request, started now, ends before its deadline.

        An idle target always accepts: otherwise a latency learnt in a slow
        period would refuse every request and never be corrected.
        """
        if not self.running:
            return now_ms < ticket.deadline_at_ms
        factor = (
            IDEMPOTENT_TIME_FACTOR
            if ticket.idempotent
            else NON_IDEMPOTENT_TIME_FACTOR
        )
        needed_ms = factor * self.limit.latency_ms()
        return now_ms + needed_ms < ticket.deadline_at_ms

    def expected_wait_ms(self) -> float:
        """Estimates how long a request that is queued now would wait."""
        rounds = (self.queued + len(self.alone) + 1) / self.limit.allowed()
        return rounds * self.limit.latency_ms()

    def victim(self, ticket: Ticket) -> Ticket:
        """Returns the request that a full queue drops when `ticket` arrives."""
        longest = max(
            self.queues, key=lambda caller: self._length_with(caller, ticket)
        )
        if self._length_with(ticket.caller, ticket) >= self._length_with(
            longest, ticket
        ):
            longest = ticket.caller
        candidates = [*self.queues.get(longest, ())]
        if longest == ticket.caller:
            candidates.append(ticket)
        for candidate in reversed(candidates):
            if candidate.idempotent:
                return candidate
        return candidates[-1]

    def _length_with(self, caller: str, ticket: Ticket) -> int:
        """Returns the length of a caller's queue with the ticket added."""
        waiting = len(self.queues.get(caller, ()))
        return waiting + (1 if caller == ticket.caller else 0)

    def _has_room(self, now_ms: int) -> bool:
        if self.alone_running:
            return False
        if len(self.running) >= self.limit.allowed():
            return False
        while self.abandoned and self.abandoned[0] <= now_ms:
            self.abandoned.popleft()
        lingering = len(self.silent) + len(self.abandoned)
        return len(self.running) + lingering < self.connections

    def _enqueue(self, now_ms: int, ticket: Ticket) -> Queued | RefusedTicket:
        displaced = None
        if self.queued >= QUEUE_PER_SLOT * self.slots:
            victim = self.victim(ticket)
            if victim is ticket:
                return self._refusal(ticket, "the queue is full")
            self._remove(victim)
            displaced = self._refusal(
                victim, "the request was dropped from a full queue"
            )
        queue = self.queues.setdefault(ticket.caller, collections.deque())
        ticket.start_tag = max(
            self.virtual_time, self.finish_tags.get(ticket.caller, 0.0)
        )
        self.finish_tags[ticket.caller] = ticket.start_tag + 1.0
        queue.append(ticket)
        self.queued += 1
        return Queued(displaced)

    def _admit_alone(
        self, now_ms: int, ticket: Ticket
    ) -> Admitted | Queued | RefusedTicket:
        if len(self.alone) >= self.slots:
            return self._refusal(ticket, "too many requests wait to run alone")
        if self.running or self.silent or self.alone:
            self.alone.append(ticket)
            return Queued()
        self._start(ticket)
        return Admitted()

    def _start_waiting(self, now_ms: int) -> Next:
        start: list[Ticket] = []
        refuse: list[RefusedTicket] = []
        while self._has_room(now_ms):
            ticket = self._pop_next()
            if ticket is None:
                break
            if self.can_finish(now_ms, ticket):
                self._start(ticket)
                start.append(ticket)
            else:
                refuse.append(self._deadline_refusal(ticket))
        return Next(start, refuse)

    def _pop_next(self) -> Ticket | None:
        """Removes and returns the next request to start, or None."""
        # A full round of ordinary requests starts between two requests that
        # run alone, so that suspects cannot monopolize the target.
        round_over = self.since_alone >= self.limit.allowed()
        if self.alone and (self.queued == 0 or round_over):
            if self.running or self.silent:
                return None
            return self.alone.popleft()
        if self.queued == 0:
            return None
        caller = min(
            self.queues, key=lambda name: self.queues[name][0].start_tag
        )
        ticket = self.queues[caller][0]
        self.virtual_time = max(self.virtual_time, ticket.start_tag)
        self._remove(ticket)
        return ticket

    def _start(self, ticket: Ticket) -> None:
        assert not self.alone_running
        self.running[ticket.number] = ticket
        self.alone_running = ticket.alone
        self.since_alone = 0 if ticket.alone else self.since_alone + 1

    def _remove(self, ticket: Ticket) -> None:
        queue = self.queues[ticket.caller]
        queue.remove(ticket)
        self.queued -= 1
        if not queue:
            del self.queues[ticket.caller]
            self._evict_served_callers()

    def _evict_served_callers(self) -> None:
        if len(self.finish_tags) <= 2 * len(self.queues) + self.slots:
            return
        for caller, tag in list(self.finish_tags.items()):
            if caller not in self.queues and tag <= self.virtual_time:
                del self.finish_tags[caller]

    def _deadline_refusal(self, ticket: Ticket) -> RefusedTicket:
        return self._refusal(
            ticket, "the request can no longer end before its deadline"
        )

    def _refusal(self, ticket: Ticket, reason: str) -> RefusedTicket:
        wait_ms = max(SHORTEST_RETRY_AFTER_MS, int(self.expected_wait_ms()))
        message = (
            f"{reason}: {len(self.running)} running of {self.limit.allowed()}"
            f" allowed, {self.queued} queued; retry later"
        )
        return RefusedTicket(
            ticket,
            errors.Failure(
                errors.ErrorKind.OVERLOADED,
                message,
                retry.jittered_ms(wait_ms, ticket.random),
            ),
        )
