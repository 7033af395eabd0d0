"""Logs: one line of key=value pairs for each event, and the recent events.

python-json-logger builds the fields of a line; its serializer is replaced by
one that writes key=value pairs, since the house style asks for both.
"""

import collections
import logging
import sys

import msgspec
from pythonjsonlogger import json as json_logger

from auburnrock import event_lines
from auburnrock.shells import clock

EVENTS_KEPT = 4_096


class Event(msgspec.Struct, frozen=True):
    """One event of the time line.

    Attributes:
      wall_ms: Unix time in milliseconds, to merge the lines of processes.
      process: name of the process.
      event: name of the event.
      fields: details as key and text.
    """

    wall_ms: int
    process: str
    event: str
    fields: list[tuple[str, str]]


class EventLog:
    """Writes events to the log and keeps the recent ones.

    Attributes:
      process: name of this process.
      recent: the last EVENTS_KEPT events.
      counts: how often each event was written.
      logger: where lines go.
    """

    def __init__(self, process: str, logger: logging.Logger):
        self.process = process
        self.recent: collections.deque[Event] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self.logger = logger
        self.counts: collections.Counter[str] = collections.Counter()

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with its details."""
        pairs = [(key, str(value)) for key, value in fields.items()]
        self.write_pairs(event, pairs)

    def write_pairs(self, event: str, pairs: list[tuple[str, str]]) -> None:
        """Writes one event whose details are pairs already."""
        self.counts[event] += 1
        self.recent.append(Event(clock.wall_ms(), self.process, event, pairs))
        self.logger.info(event, extra={"pairs": pairs})


def event_log(process: str, stream=None) -> EventLog:
    """Makes the event log of a process; lines go to `stream` or stderr."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(message)s",
            json_serializer=key_value_line,
            static_fields={"process": process},
        )
    )
    logger = logging.getLogger(f"auburnrock.{process}")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.handlers = [handler]
    return EventLog(process, logger)


def key_value_line(record: dict, **_options: object) -> str:
    """Serializes a log record as one line of key=value pairs."""
    pairs = list(record.get("pairs", []))
    if "exc_info" in record:
        pairs.append(("exception", record["exc_info"]))
    return event_lines.line(
        clock.wall_ms(),
        record.get("process", ""),
        record.get("message", ""),
        pairs,
    )
