"""Prevents an error in one part of a node from stopping the others."""

import traceback

from auburnrock.shells import clock
from auburnrock.shells import logs

LOG_INTERVAL_MS = 1_000
"""Shortest time between two log entries of one error, in milliseconds."""


class Containment:
    """Runs steps whose errors are logged and not propagated.

    An unexpected error, such as one caused by invalid data in the store, occurs
    on all nodes at once, so it must not end their processes.

    Attributes:
      event_log: log of the errors. Errors raised at the same line of code are
        logged at most once in LOG_INTERVAL_MS.
    """

    def __init__(self, event_log: logs.EventLog):
        self.event_log = event_log
        self._next_log_ms: dict[str, int] = {}

    def run(self, step, *arguments) -> None:
        """Calls `step`; an error that it raises is logged, not propagated."""
        try:
            step(*arguments)
        except Exception as error:
            self._log(step.__qualname__, error)

    def _log(self, step: str, error: Exception) -> None:
        now_ms = clock.now_ms()
        last_frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{last_frame.filename.rpartition('/')[2]}:{last_frame.lineno}"
        if now_ms < self._next_log_ms.get(place, now_ms):
            return
        self._next_log_ms[place] = now_ms + LOG_INTERVAL_MS
        self.event_log.write(
            "internal_error", step=step, place=place, error=repr(error)
        )
