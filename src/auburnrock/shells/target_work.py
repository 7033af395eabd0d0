"""A request as work for a target, and what the target's answer means."""

from auburnrock import errors
from auburnrock import messages
from auburnrock.engine import concurrency_limit
from auburnrock.engine import quarantine as quarantine_lib
from auburnrock.shells import wire
from auburnrock.targets import base as targets_base

_SHED_KINDS = frozenset(
    {errors.ErrorKind.OVERLOADED, errors.ErrorKind.TARGET_REFUSED}
)


def without_own_headers(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Leaves out the headers that each answer is given anew.

    A kept answer is given to repeats, whose request ids differ.
    """
    return [
        (name, value)
        for name, value in headers
        if not name.lower().startswith(wire.OWN_HEADER_PREFIX)
    ]


def outcome_of(error: targets_base.TargetError) -> concurrency_limit.Outcome:
    """What the end of a request says of its target."""
    if isinstance(error, targets_base.LostError):
        if error.silent:
            return concurrency_limit.Outcome.TIMED_OUT
        return concurrency_limit.Outcome.LOST
    if error.failure.kind in _SHED_KINDS:
        return concurrency_limit.Outcome.REFUSED
    return concurrency_limit.Outcome.ABANDONED


def fingerprint_of(request: messages.Request) -> str:
    """What a request is suspected by; see quarantine.fingerprint."""
    return quarantine_lib.fingerprint(
        request.service,
        request.method,
        request.path,
        request.key,
        request.body,
    )


def owned_by(request: messages.Request) -> str:
    """What the request's shard was worked out from; see keys.routing_key."""
    return request.key or request.idempotency_key


def work_of(
    request: messages.Request, epoch: int, deadline_ms: int
) -> targets_base.Work:
    """The work that a request asks for."""
    return targets_base.Work(
        request_id=request.request_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        key=request.key,
        shard=request.shard,
        epoch=epoch,
        deadline_ms=deadline_ms,
    )
