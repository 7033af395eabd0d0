"""Explains one request from collected logs.

The explanation joins the log lines of all processes that contain the attempt
id. It adds the state changes that the same processes logged at about that
time: a target that ended, a lost lease, moved keys, an unreachable store or
peer.
"""

import msgspec
import result

from auburnrock import errors
from auburnrock.control import views
from auburnrock.ctl import options as options_module
from auburnrock.ctl import report
from auburnrock.ctl import timeline

CONTEXT_BEFORE_MS = 5_000
"""How long before the request's first line state changes are included, in
milliseconds. A lost lease or target affects requests for about the duration of
one takeover."""

CONTEXT_AFTER_MS = 500
"""How long after the request's last line state changes are included, in
milliseconds. A process may log the cause of a failure after its effect."""

SUSPICION_MS = 660_000
"""How long before the request's last line the crashes of requests with the same
fingerprint are included, in milliseconds; nodes remember them no longer."""

CONTEXT_EVENTS = frozenset(
    {
        "configuration_in_force",
        "crash_suspect",
        "lease_lost",
        "lease_regained",
        "moves_planned",
        "peer_gone",
        "peer_silent",
        "peer_unreachable",
        "record_removed",
        "record_replaced",
        "sealed",
        "sealing",
        "start",
        "stood_still",
        "stop",
        "stopped",
        "store_lost",
        "store_reached",
        "table_taken",
        "taken_over",
        "target_draining",
        "target_ended",
        "target_limited",
        "target_resumed",
        "target_started",
    }
)
"""Log events that record a state change of a process, or a state change of a
peer, a target or the store that the process observed."""


class Explanation(msgspec.Struct):
    """The logged events that concern one request.

    Attributes:
      attempt: id that the caller gave to the attempt.
      request: events that contain the attempt id, in order of time.
      around: state changes that the processes of these events logged at about
        that time, and what any process logged of requests with the same
        fingerprint, in order of time.
      left_out: processes that dropped log lines at about that time; events of
        the request may be among the dropped lines.
    """

    attempt: str
    request: list[views.Event]
    around: list[views.Event]
    left_out: list[str]


async def explain(
    options: options_module.Options, platform: object
) -> result.Result[report.Report, errors.Failure]:
    """Explains the request whose attempt id is the first argument."""
    attempt, *paths = options.words[1:]
    events = timeline.read_log_files(paths, 0).events
    events.sort(key=lambda event: (event.wall_ms, event.process))
    explanation = explain_attempt(attempt, events)
    marked = {id(event) for event in explanation.request}
    lines = [
        ("> " if id(event) in marked else "  ") + timeline.event_line(event)
        for event in sorted(
            [*explanation.request, *explanation.around],
            key=lambda event: event.wall_ms,
        )
    ]
    lines += [f"{name} left lines out near it" for name in explanation.left_out]
    if not explanation.request:
        lines = [f"no line names {attempt}; look for an id of the same caller"]
    return result.Ok(report.Report(explanation, lines))


def explain_attempt(attempt: str, events: list[views.Event]) -> Explanation:
    """Selects the events that concern an attempt.

    Args:
      attempt: id of the attempt.
      events: all collected events, in order of time.
    """
    request = [
        event for event in events if _field_value(event, "attempt") == attempt
    ]
    if not request:
        return Explanation(attempt, [], [], [])
    first_ms = request[0].wall_ms - CONTEXT_BEFORE_MS
    last_ms = request[-1].wall_ms + CONTEXT_AFTER_MS
    near = [e for e in events if first_ms <= e.wall_ms <= last_ms]
    processes = {event.process for event in request}
    marks = {_field_value(event, "mark") for event in request} - {None}
    suspected_ms = request[-1].wall_ms - SUSPICION_MS

    def is_context(event: views.Event) -> bool:
        if event.wall_ms > last_ms:
            return False
        if _field_value(event, "mark") in marks:
            return event.wall_ms >= suspected_ms
        is_change = event.event in CONTEXT_EVENTS
        is_near = event.wall_ms >= first_ms
        return is_change and is_near and event.process in processes

    around = [e for e in events if e not in request and is_context(e)]
    left_out = sorted(
        {event.process for event in near if event.event == "lines_left_out"}
    )
    return Explanation(attempt, request, around, left_out)


def _field_value(event: views.Event, key: str) -> str | None:
    for field in event.fields:
        if field.key == key:
            return field.value
    return None
