"""Events that a request's lifecycle handles, and actions it returns."""

import msgspec

from auburnrock import errors
from auburnrock import messages

# Events ---------------------------------------------------------------------


class Start(msgspec.Struct, frozen=True):
    """The whole request has arrived from its caller."""


class TableAdvanced(msgspec.Struct, frozen=True):
    """The entry's replica has advanced; the route may choose differently."""


class Tick(msgspec.Struct, frozen=True):
    """The lifecycle's `wake_at_ms` has been reached."""


class CallerGone(msgspec.Struct, frozen=True):
    """The caller closed its connection."""


class Answered(msgspec.Struct, frozen=True):
    """A node sent a complete answer to an attempt."""

    attempt: int
    response: messages.Response


class Refused(msgspec.Struct, frozen=True):
    """A node answered an attempt with an error."""

    attempt: int
    failure: errors.Failure


class NotSent(msgspec.Struct, frozen=True):
    """No byte of an attempt left this process."""

    attempt: int
    message: str


class Lost(msgspec.Struct, frozen=True):
    """An attempt will get no answer.

    Attributes:
      attempt: number of the attempt.
      message: how the attempt ended, for the failure's message.
      bytes_left: whether a byte of the attempt may have left this process.
    """

    attempt: int
    message: str
    bytes_left: bool = True


Event = (
    Start
    | TableAdvanced
    | Tick
    | CallerGone
    | Answered
    | Refused
    | NotSent
    | Lost
)

# Actions --------------------------------------------------------------------


class Send(msgspec.Struct, frozen=True):
    """Send the request to a node.

    Attributes:
      attempt: number of the attempt; the events about it carry it.
      node: incarnation of the receiver.
      deadline_ms: time left until the request's deadline.
      fresh_connection: whether to open a new connection for the attempt.
    """

    attempt: int
    node: int
    deadline_ms: int
    fresh_connection: bool


class Cancel(msgspec.Struct, frozen=True):
    """Notify a node that the answer to an attempt is no longer needed."""

    attempt: int
    node: int


class Reply(msgspec.Struct, frozen=True):
    """Send the caller this response as the final answer."""

    response: messages.Response


class Refuse(msgspec.Struct, frozen=True):
    """Send the caller this failure as the final answer."""

    failure: errors.Failure


Action = Send | Cancel | Reply | Refuse
