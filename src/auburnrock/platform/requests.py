"""Requests of callers and responses of targets."""

import re

from auburnrock.engine import response_status
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.platform import names
from auburnrock.shells.mesh import http_client
from auburnrock.shells.mesh import http_server

_REPLACED_HEADERS = frozenset({names.DEADLINE, names.TARGET, names.CALLER})
_DROPPED_HEADERS = http_server.CONNECTION_HEADERS | _REPLACED_HEADERS
_CALLER_TIMEOUT_MAX_MS = 600_000.0
_LOAD = re.compile(rb"(?: *[0-9]{1,6} *,){3} *([0-9]{1,6}) *")
_LIMIT = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


def decode_request_head(
    request: http_server.Request, caller: str
) -> model.RequestHead:
    """Decodes the head of a caller's request.

    Args:
      request: the request.
      caller: service of the host on which the request originated.
    """
    dropped = _DROPPED_HEADERS
    # The first value of a header counts, so later ones are overwritten.
    values = dict(reversed(request.headers))
    connection_options = values.get(b"connection")
    if connection_options is not None:
        dropped |= {
            name.strip().lower() for name in connection_options.split(b",")
        }
        dropped -= {names.ATTEMPT_ID, names.KEY, b"host"}
    headers = [pair for pair in request.headers if pair[0] not in dropped]
    headers.append((names.CALLER, caller.encode()))
    host = values.get(b"host", b"").lower()
    name, colon, port = host.rpartition(b":")
    if colon and port.isdigit():
        host = name
    return model.RequestHead(
        attempt=values.get(names.ATTEMPT_ID, b"").decode("latin-1"),
        host=host,
        caller_timeout_ms=_caller_timeout_ms(values.get(names.DEADLINE)),
        key=_parse_key(values.get(names.KEY)),
        headers=headers,
    )


def encode_target_request(
    run: peer_messages.RunRequest, target: str, left_ms: float
) -> bytes:
    """Encodes a request for the only target that may execute it.

    Args:
      run: the request.
      target: name of the target.
      left_ms: remaining time of the caller's deadline.
    """
    headers = [
        *run.headers,
        (names.DEADLINE, b"%d" % max(1, int(left_ms))),
        (names.TARGET, target.encode()),
    ]
    return http_client.encode_request(run.method, run.path, headers, run.body)


def matches_attempt(answer: http_client.Response, attempt: str) -> bool:
    """Whether a response echoes the id of this attempt, or no id."""
    echoed = answer.header(names.ATTEMPT_ID)
    return echoed is None or echoed.decode("latin-1") == attempt


def names_attempt(answer: http_client.Response, attempt: str) -> bool:
    """Whether a response echoes the id of this attempt."""
    echoed = answer.header(names.ATTEMPT_ID)
    return echoed is not None and echoed.decode("latin-1") == attempt


def classify_response(
    answer: http_client.Response, attempt: str
) -> model.TargetVerdict:
    """Classifies a target's response to an attempt."""
    if response_status.fault_of(answer.status, has_body=bool(answer.body)):
        return model.TargetVerdict.UNUSABLE
    if answer.header(names.NOT_EXECUTED) is not None:
        if answer.status == 421:
            return model.TargetVerdict.OTHER_TARGET
        return model.TargetVerdict.NOT_RUN
    if answer.status == 421:
        return model.TargetVerdict.OTHER_TARGET
    signed = answer.header(names.SIGNATURE) is not None
    echoed = answer.header(names.ATTEMPT_ID)
    if answer.header(b"content-encoding") is not None:
        return model.TargetVerdict.UNUSABLE
    if answer.status < 300 and not (signed and echoed):
        return model.TargetVerdict.UNUSABLE
    if answer.status in (408, 421, 429, 503):
        # A caller would conclude from these that the request did not execute.
        return model.TargetVerdict.UNUSABLE
    return model.TargetVerdict.ANSWER


def decode_notice(answer: http_client.Response) -> model.TargetNotice:
    """Decodes what a target says of itself in a response."""
    leaving = answer.header(names.LEAVING) == b"1"
    host_percent = _host_percent(answer.header(names.LOAD))
    value = answer.header(names.LIMIT)
    if value is None:
        return model.TargetNotice(None, leaving, host_percent=host_percent)
    if _LIMIT.fullmatch(value) is None:
        text = value[:32].decode("latin-1")
        return model.TargetNotice(None, leaving, text, host_percent)
    return model.TargetNotice(float(value), leaving, host_percent=host_percent)


def target_of(answer: http_client.Response) -> str:
    """Returns the id of the target that gave a response, or ""."""
    return (answer.header(names.TARGET_ID) or b"").decode("latin-1")


def _host_percent(value: bytes | None) -> int | None:
    """Returns the fourth figure of a target's load; None if it has none."""
    if value is None:
        return None
    found = _LOAD.fullmatch(value)
    return None if found is None else int(found[1])


def forwarded_headers(headers: http_client.Headers) -> http_client.Headers:
    """Returns the end-to-end headers of a target's response."""
    return [
        pair
        for pair in headers
        if pair[0] not in http_server.CONNECTION_HEADERS
    ]


def refusal_headers(attempt: str, retry_after_ms: float) -> http_server.Headers:
    """Returns the headers of a response that this system generates."""
    headers = [(names.ATTEMPT_ID, attempt.encode("latin-1"))]
    if retry_after_ms > 0:
        headers.append((b"retry-after", b"%.3f" % (retry_after_ms / 1_000)))
    return headers


def _caller_timeout_ms(value: bytes | None) -> float | None:
    if value is None or not value.isdigit():
        return None
    return min(float(value), _CALLER_TIMEOUT_MAX_MS)


def _parse_key(value: bytes | None) -> int:
    if value is None:
        return model.NO_KEY
    if value.isdigit() and int(value) < model.KEYS:
        return int(value)
    return model.INVALID_KEY
