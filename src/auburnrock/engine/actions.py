"""Actions that engine parts request from their shell, and their results.

A shell executes each action and passes the result of a `Swap` or `Read` to the
part that requested it, with the same token.
"""

import enum

import msgspec

from auburnrock import messages
from auburnrock.store import base as platform_base


class SendDatagram(msgspec.Struct, frozen=True):
    """Send a datagram to the node with this incarnation.

    Attributes:
      incarnation: the receiver; for a seal, the intended witness, even if a
        successor of it answers at its address.
      message: the datagram.
    """

    incarnation: int
    message: messages.Datagram


class Reply(msgspec.Struct, frozen=True):
    """Send a datagram to the sender of the datagram being handled."""

    message: messages.Datagram


class Swap(msgspec.Struct, frozen=True):
    """Compare-and-swap a record of the store.

    Attributes:
      token: identifies this call in its result.
      key: the store's key.
      data: new content; None deletes the key.
      expected_revision: revision of the value to replace; 0 if none exists.
    """

    token: str
    key: str
    data: bytes | None
    expected_revision: int


class Read(msgspec.Struct, frozen=True):
    """Read a record of the store.

    Attributes:
      token: identifies this call in its result.
      key: the store's key.
    """

    token: str
    key: str


class StoreOutcome(str, enum.Enum):
    """How a call to the store ended.

    DONE: a swap took effect, or a read was answered.
    CONFLICT: a swap's expected revision was not the current one.
    UNAVAILABLE: the call had no effect and never will.
    UNKNOWN: the answer was lost; a swap may have taken effect or may yet.
    """

    DONE = "done"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class StoreResult(msgspec.Struct, frozen=True):
    """Result of a Swap or Read.

    Attributes:
      token: token of the Swap or Read that this is the result of.
      outcome: how the call ended.
      current: the value after a DONE or CONFLICT; None if there is none.
    """

    token: str
    outcome: StoreOutcome
    current: platform_base.Value | None = None


class NotifyNodes(msgspec.Struct, frozen=True):
    """Notify these nodes at once of changes in the replica."""

    incarnations: list[int]


class LogEvent(msgspec.Struct, frozen=True):
    """Write one event to the log and the timeline.

    Attributes:
      event: name of the event.
      fields: typed details as key and text.
    """

    event: str
    fields: list[tuple[str, str]]


Action = SendDatagram | Reply | Swap | Read | NotifyNodes | LogEvent
