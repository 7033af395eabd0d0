"""Formatting of events as lines of key=value pairs."""

from collections.abc import Iterable
import json

_NEEDS_QUOTES = frozenset(' "=')


def line(
    wall_ms: int,
    process: str,
    event: str,
    pairs: Iterable[tuple[str, object]],
) -> str:
    """Formats the line of an event.

    Args:
      wall_ms: Unix time in milliseconds, by which the lines of several
        processes are merged.
      process: name of the process that logs the event.
      event: name of the event.
      pairs: details of the event, as keys and values.
    """
    head = f"time_ms={wall_ms} process={quoted(process)} event={quoted(event)}"
    details = [f"{key}={quoted(str(value))}" for key, value in pairs]
    return " ".join([head, *details])


def quoted(text: str) -> str:
    """Quotes a value that could otherwise end its pair or line."""
    is_printable = text.isprintable()
    if text and is_printable and not _NEEDS_QUOTES.intersection(text):
        return text
    # A caller's key may contain any character. Characters that some reader
    # treats as the end of a line, or that no encoding can write, are escaped.
    return json.dumps(text, ensure_ascii=not is_printable)
