"""Keeps an error in one part of a node from stopping the others."""

import traceback

from auburnrock.shells import clock
from auburnrock.shells import logs

REPEAT_MS = 1_000


class Containment:
    """Runs steps whose errors are logged and go no further.

    An error that no part foresaw, such as one brought about by nonsense in the
    store, meets all nodes at once, so it must not end their processes.

    Attributes:
      event_log: where errors go; the same one at most once in REPEAT_MS.
    """

    def __init__(self, event_log: logs.EventLog):
        self.event_log = event_log
        self._logged_ms: dict[str, int] = {}

    def run(self, step, *arguments) -> None:
        """Calls `step`; an error ends this step alone."""
        try:
            step(*arguments)
        except Exception as error:
            self._log(step.__qualname__, error)

    def _log(self, step: str, error: Exception) -> None:
        now_ms = clock.now_ms()
        last = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{last.filename.rpartition('/')[2]}:{last.lineno}"
        if now_ms < self._logged_ms.get(place, now_ms):
            return
        self._logged_ms[place] = now_ms + REPEAT_MS
        self.event_log.write(
            "internal_error", step=step, place=place, error=repr(error)
        )
