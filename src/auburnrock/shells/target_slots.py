"""Places at the target: the limits' decisions as waits of tasks."""

import asyncio

from auburnrock import errors
from auburnrock.engine import concurrency_limit
from auburnrock.engine import limits
from auburnrock.shells import clock


class TargetSlots:
    """Lets requests through to one target as its limits allow.

    Attributes:
      limits: decides who runs, waits or is refused.
      waiting: future of each request that waits, by ticket number; its result
        is None for "run" or the failure to refuse it with.
    """

    def __init__(self, slots: int, connections: int):
        self.limits = limits.TargetLimits(slots, connections)
        self.waiting: dict[int, asyncio.Future] = {}

    async def acquire(self, ticket: limits.Ticket) -> errors.Failure | None:
        """Waits for a place; returns the failure if there will be none."""
        decision = self.limits.admit(clock.now_ms(), ticket)
        if isinstance(decision, limits.Admitted):
            return None
        if isinstance(decision, limits.RefusedTicket):
            return decision.failure
        if decision.displaced is not None:
            self._refuse(decision.displaced)
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket.number] = future
        try:
            return await future
        except asyncio.CancelledError:
            self._give_back(ticket)
            raise
        finally:
            self.waiting.pop(ticket.number, None)

    def release(
        self,
        ticket: limits.Ticket,
        outcome: concurrency_limit.Outcome,
        latency_ms: float,
    ) -> None:
        """Gives a place back."""
        now_ms = clock.now_ms()
        following = self.limits.finished(now_ms, ticket, outcome, latency_ms)
        self._go_on(following)

    def gone_silent(self, ticket: limits.Ticket) -> None:
        """Notes that a running request's connection is silent."""
        self._go_on(self.limits.gone_silent(clock.now_ms(), ticket))

    def expire(self) -> None:
        """Refuses those that can no longer end in time."""
        self._go_on(self.limits.expire(clock.now_ms()))

    def refuse_waiting(self, failure: errors.Failure) -> None:
        """Refuses all that wait, as when the target has ended."""
        for future in self.waiting.values():
            if not future.done():
                future.set_result(failure)

    def _give_back(self, ticket: limits.Ticket) -> None:
        if self.limits.cancelled(ticket):
            return
        if ticket.number in self.limits.running:
            # It was given its place in the moment that its caller left.
            self.release(ticket, concurrency_limit.Outcome.ABANDONED, 0.0)

    def _go_on(self, following: limits.Next) -> None:
        for refused in following.refuse:
            self._refuse(refused)
        for ticket in following.start:
            future = self.waiting.get(ticket.number)
            if future is not None and not future.done():
                future.set_result(None)
            else:
                self.release(ticket, concurrency_limit.Outcome.ABANDONED, 0.0)

    def _refuse(self, refused: limits.RefusedTicket) -> None:
        future = self.waiting.get(refused.ticket.number)
        if future is not None and not future.done():
            future.set_result(refused.failure)
