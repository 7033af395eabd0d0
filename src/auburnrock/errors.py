"""The closed list of error kinds and the table from kind to answer."""

import enum

import msgspec


class Ran(str, enum.Enum):
    """Whether a target executed a request, as far as the answer states it."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(str, enum.Enum):
    """Every kind of error that a caller, peer or operator can receive."""

    BAD_REQUEST = "bad_request"
    REQUEST_TOO_LARGE = "request_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    MISSING_KEY = "missing_key"
    MISSING_IDEMPOTENCY_KEY = "missing_idempotency_key"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    MOVING = "moving"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    IN_PROGRESS = "in_progress"
    QUARANTINED = "quarantined"
    TARGET_REFUSED = "target_refused"
    PEER_UNREACHABLE = "peer_unreachable"
    CONFIGURATION_REJECTED = "configuration_rejected"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFLICT = "conflict"
    INTERNAL = "internal"


class Answer(msgspec.Struct, frozen=True):
    """The answer to a request that failed with an error of one kind.

    Attributes:
      status: HTTP status code.
      ran: whether a target executed the request.
      retry_after_ms: delay before the caller may retry, in milliseconds;
        None if a retry cannot succeed.
    """

    status: int
    ran: Ran
    retry_after_ms: int | None = None


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO),
    ErrorKind.REQUEST_TOO_LARGE: Answer(413, Ran.NO),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Ran.NO),
    ErrorKind.MISSING_KEY: Answer(400, Ran.NO),
    ErrorKind.MISSING_IDEMPOTENCY_KEY: Answer(400, Ran.NO),
    ErrorKind.NO_OWNER: Answer(503, Ran.NO, 500),
    ErrorKind.NOT_OWNER: Answer(503, Ran.NO, 200),
    ErrorKind.MOVING: Answer(503, Ran.NO, 100),
    ErrorKind.NO_TARGET: Answer(503, Ran.NO, 1_000),
    ErrorKind.OVERLOADED: Answer(503, Ran.NO, 1_000),
    ErrorKind.DRAINING: Answer(503, Ran.NO, 200),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, Ran.NO, 1_000),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, Ran.UNKNOWN),
    ErrorKind.IN_PROGRESS: Answer(409, Ran.UNKNOWN, 500),
    ErrorKind.QUARANTINED: Answer(422, Ran.NO, 60_000),
    ErrorKind.TARGET_REFUSED: Answer(503, Ran.NO, 500),
    ErrorKind.PEER_UNREACHABLE: Answer(503, Ran.NO, 500),
    ErrorKind.CONFIGURATION_REJECTED: Answer(422, Ran.NO),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Ran.NO, 2_000),
    ErrorKind.CONFLICT: Answer(409, Ran.NO),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN),
}


class Failure(msgspec.Struct, frozen=True):
    """An error that is returned as a value instead of raised.

    Attributes:
      kind: kind of the error.
      message: what was wrong, what was got and what to do about it.
      retry_after_ms: delay before the caller may retry, in milliseconds; None
        for the value that ANSWERS has for the kind.
    """

    kind: ErrorKind
    message: str
    retry_after_ms: int | None = None

    def answer(self) -> Answer:
        """Returns the kind's answer, with `retry_after_ms` if it is set."""
        answer = ANSWERS[self.kind]
        if self.retry_after_ms is None:
            return answer
        return Answer(answer.status, answer.ran, self.retry_after_ms)


class AuburnrockError(Exception):
    """A failure that is raised where no value can be returned.

    Attributes:
      failure: kind and message of the error.
    """

    def __init__(self, kind: ErrorKind, message: str):
        super().__init__(message)
        self.failure = Failure(kind, message)
