"""An event loop in virtual time, for several processes in one."""

import asyncio
from collections.abc import Callable
import contextvars
import heapq
import itertools
import math

OWNER: contextvars.ContextVar[object] = contextvars.ContextVar("owner")
"""The process that a callback belongs to; tasks pass it on."""

CLOSING_S = 1.0
"""Cancelled tasks end within this."""


class Loop(asyncio.AbstractEventLoop):
    """Runs callbacks in the order of their times, and waits for none.

    Attributes:
      now_s: the time.
      wakes_s: from when on an owner's callbacks run; infinity if it has ended.
      errors: exceptions that nobody caught.
    """

    def __init__(self, now_s: float, wakes_s: Callable[[object], float]):
        self.now_s = now_s
        self.wakes_s = wakes_s
        self.errors: list[dict] = []
        self.queue: list[tuple] = []
        self.numbers = itertools.count()
        # Tasks of a process that was killed stay as they are.
        self.tasks: set[asyncio.Task] = set()

    def run(self, for_s: float) -> None:
        """Lets time pass."""
        end_s = self.now_s + for_s
        asyncio._set_running_loop(self)
        try:
            while self.queue and self.queue[0][0] <= end_s:
                due_s, number, handle, owner = heapq.heappop(self.queue)
                if handle.cancelled():
                    continue
                self.now_s = due_s
                wakes_s = 0.0 if owner is None else self.wakes_s(owner)
                if wakes_s <= due_s:
                    handle._run()
                elif wakes_s < math.inf:
                    entry = (wakes_s, number, handle, owner)
                    heapq.heappush(self.queue, entry)
        finally:
            asyncio._set_running_loop(None)
        self.now_s = end_s

    def close(self) -> None:
        """Ends all tasks, also of owners that have ended."""
        self.queue.clear()
        self.wakes_s = lambda owner: 0.0
        for task in list(self.tasks):
            task.cancel()
        self.run(CLOSING_S)

    def time(self) -> float:
        """The time in seconds."""
        return self.now_s

    def call_at(
        self, when: float, callback: Callable, *args, context=None
    ) -> asyncio.TimerHandle:
        """Calls something at a time."""
        if context is None:
            context = contextvars.copy_context()
        due_s = max(when, self.now_s)
        handle = asyncio.TimerHandle(due_s, callback, args, self, context)
        entry = (due_s, next(self.numbers), handle, context.get(OWNER))
        heapq.heappush(self.queue, entry)
        return handle

    def call_later(
        self, delay: float, callback: Callable, *args, context=None
    ) -> asyncio.TimerHandle:
        """Calls something after a while."""
        return self.call_at(
            self.now_s + delay, callback, *args, context=context
        )

    def call_soon(
        self, callback: Callable, *args, context=None
    ) -> asyncio.TimerHandle:
        """Calls something after what is due now."""
        return self.call_at(self.now_s, callback, *args, context=context)

    def create_future(self) -> asyncio.Future:
        """Makes a future."""
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None) -> asyncio.Task:
        """Makes a task."""
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def get_debug(self) -> bool:
        """Whether asyncio checks its own use."""
        return False

    def call_exception_handler(self, context: dict) -> None:
        """Keeps an exception that nobody caught."""
        self.errors.append(context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """It is left out when its time comes."""
