"""The closed list of error kinds and the table from kind to answer."""

import enum

import msgspec


class Ran(str, enum.Enum):
    """What an answer says about the execution of its request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(str, enum.Enum):
    """Every kind of error that a caller, peer or operator can be given."""

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
    """How an error kind is answered.

    Attributes:
      status: HTTP status code.
      ran: whether the request was executed by a target.
      retry_after_ms: when the caller may try again, in milliseconds; None
        where trying again cannot help.
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
    """An error as a value: its kind and what was wrong, got and expected.

    Attributes:
      kind: which of the closed list it is.
      message: what was wrong, what was got and what to do about it.
      retry_after_ms: overrides the table's value for this kind.
    """

    kind: ErrorKind
    message: str
    retry_after_ms: int | None = None

    def answer(self) -> Answer:
        """The answer for this failure, with its own retry time if it has."""
        answer = ANSWERS[self.kind]
        if self.retry_after_ms is None:
            return answer
        return Answer(answer.status, answer.ran, self.retry_after_ms)


class AuburnrockError(Exception):
    """A failure raised where no value can be returned.

    Attributes:
      failure: the failure as a value.
    """

    def __init__(self, kind: ErrorKind, message: str):
        super().__init__(message)
        self.failure = Failure(kind, message)
