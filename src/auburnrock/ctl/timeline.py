"""The time line: the events of many processes, merged by wall-clock time."""

import datetime
import json
import pathlib
import re

import msgspec
import result

from auburnrock import errors
from auburnrock.control import views
from auburnrock.ctl import folder
from auburnrock.ctl import node_access
from auburnrock.ctl import options as options_module
from auburnrock.ctl import report
from auburnrock.shells import clock
from auburnrock.store import base as platform_base

MILLISECONDS_PER_SECOND = 1_000

_PAIR = re.compile(r'([^\s="]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s+|$)')


class TimeLine(msgspec.Struct):
    """The events of all processes.

    Attributes:
      events: the events, in order of wall-clock time.
      missing: names of the nodes that did not respond; their events can only
        be read from their log files.
    """

    events: list[views.Event]
    missing: list[str] = []


async def timeline(
    options: options_module.Options, platform: platform_base.Platform | None
) -> result.Result[report.Report, errors.Failure]:
    """Merges the recent events of the nodes or the events of log files."""
    since_ms = 0
    if options.since_s:
        period_ms = round(options.since_s * MILLISECONDS_PER_SECOND)
        since_ms = clock.wall_ms() - period_ms
    if options.words[1:]:
        merged = read_log_files(options.words[1:], since_ms)
    else:
        collected = await _collect_from_nodes(options, platform, since_ms)
        if isinstance(collected, result.Err):
            return collected
        merged = collected.ok_value
    merged.events.sort(key=lambda event: (event.wall_ms, event.process))
    lines = [event_line(event) for event in merged.events]
    lines += [f"no answer from {name}" for name in merged.missing]
    missing_code = report.ExitCode.UNREACHABLE
    code = missing_code if merged.missing else report.ExitCode.DONE
    return result.Ok(report.Report(merged, lines, code))


def event_line(event: views.Event) -> str:
    """Formats an event as one line of text, with its time in UTC."""
    time = datetime.datetime.fromtimestamp(
        event.wall_ms / MILLISECONDS_PER_SECOND, datetime.UTC
    )
    details = " ".join(f"{field.key}={field.value}" for field in event.fields)
    stamp = time.strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    return f"{stamp}Z {event.process} {event.event} {details}".rstrip()


def parse_line(line: str) -> views.Event | None:
    """Parses a log line; None if shells/logs.py did not write it."""
    pairs = [
        views.Field(match.group(1), _unquote(match.group(2)))
        for match in _PAIR.finditer(line)
    ]
    keys = [pair.key for pair in pairs[:3]]
    if keys != ["time_ms", "process", "event"]:
        return None
    time, process, event = (pair.value for pair in pairs[:3])
    if not (time.isascii() and time.isdecimal()):
        return None
    return views.Event(int(time), process, event, pairs[3:])


async def _collect_from_nodes(
    options: options_module.Options,
    platform: platform_base.Platform | None,
    since_ms: int,
) -> result.Result[TimeLine, errors.Failure]:
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    nodes = found.ok_value.nodes_that_may_serve()
    answers = await node_access.call_all(
        nodes, lambda client: client.events(since_ms)
    )
    merged = TimeLine([])
    for node, answer in zip(nodes, answers, strict=True):
        if isinstance(answer, result.Ok):
            merged.events += answer.ok_value.events
        else:
            merged.missing.append(node.name)
    return result.Ok(merged)


def read_log_files(paths: list[str], since_ms: int) -> TimeLine:
    """Reads the events of log files; raises FolderError.

    Args:
      paths: paths of the log files.
      since_ms: wall-clock time in milliseconds; earlier events are omitted.
    """
    merged = TimeLine([])
    for path in paths:
        try:
            data = pathlib.Path(path).read_bytes()
        except (OSError, ValueError) as error:
            raise folder.FolderError(f"file {path}: {error}") from error
        for line in data.decode(errors="replace").splitlines():
            event = parse_line(line)
            if event is not None and event.wall_ms >= since_ms:
                merged.events.append(event)
    return merged


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return json.loads(text, strict=False)
    except json.JSONDecodeError:
        return text
