"""The record of what a script saw: sent, answered and run."""

import pathlib
import time


class Record:
    """Lines of events with the time since the script's start.

    Attributes:
      began_s: start of the script on the monotonic clock.
      events: all events: time in seconds, kind and fields.
    """

    def __init__(self, path: pathlib.Path):
        self.began_s = time.monotonic()
        self.events: list[tuple[float, str, dict]] = []
        self.file = path.open("w")

    def write(self, kind: str, **fields: object) -> None:
        """Records one event."""
        at_s = time.monotonic() - self.began_s
        self.events.append((at_s, kind, fields))
        words = [f"{name}={value}" for name, value in fields.items()]
        print(f"{at_s:9.3f} {kind} {' '.join(words)}", file=self.file)

    def of(self, kind: str) -> list[tuple[float, dict]]:
        """Returns the times and fields of the events of one kind."""
        return [
            (at, fields) for at, name, fields in self.events if name == kind
        ]

    def close(self) -> None:
        """Closes the file."""
        self.file.close()
