"""Events that a request's lifecycle takes, and actions that it asks for."""

import msgspec

from auburnrock import errors
from auburnrock import messages

# Events ---------------------------------------------------------------------


class Start(msgspec.Struct, frozen=True):
    """The whole request has arrived from its caller."""


class TableAdvanced(msgspec.Struct, frozen=True):
    """The entry's replica has news; the route may choose differently."""


class Tick(msgspec.Struct, frozen=True):
    """The time in `wake_at_ms` has come."""


class CallerGone(msgspec.Struct, frozen=True):
    """The caller closed its connection."""


class Answered(msgspec.Struct, frozen=True):
    """A node sent a whole answer for an attempt."""

    attempt: int
    response: messages.Response


class Refused(msgspec.Struct, frozen=True):
    """A node sent an error in place of an answer."""

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
      message: what was seen.
      bytes_left: whether a byte of it may have left this process.
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
      attempt: number of the attempt, named in the events about it.
      node: incarnation of the receiver.
      deadline_ms: time left.
      fresh_connection: whether to use a connection made for it.
    """

    attempt: int
    node: int
    deadline_ms: int
    fresh_connection: bool


class Cancel(msgspec.Struct, frozen=True):
    """Tell a node that nobody waits for an attempt any more."""

    attempt: int
    node: int


class Reply(msgspec.Struct, frozen=True):
    """Give the caller this answer; it is the final one."""

    response: messages.Response


class Refuse(msgspec.Struct, frozen=True):
    """Give the caller this failure; it is the final answer."""

    failure: errors.Failure


Action = Send | Cancel | Reply | Refuse
