"""Messages between nodes: frames of MessagePack over one connection a pair.

The node that connects asks, the other answers. A request that was sent keeps
its number across connections of the same two processes, so that it runs once
even if a connection is lost.
"""

import typing

import msgspec

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import target_selection

Headers = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""

    metric_kind: typing.ClassVar[str]
    """Name of this kind of message in metrics and logs; stays when the class is
    renamed."""


class Versions(msgspec.Struct, frozen=True, array_like=True):
    """Which versions of the store's items a node knows.

    Attributes:
      configuration: version in force there; 0 before it knows one.
      tables: version of each key table by service.
      era: the store's latest era known there.
    """

    configuration: int
    tables: dict[str, int]
    era: int = 0


class Hello(Message, tag=0):
    """First message on a connection, from both ends.

    Attributes:
      name: the sender.
      start: tells this start of the sender from others.
      asks_for_snapshot: whether the receiver should tell what it knows.
      has_read_store: whether the sender has read the store, so that it lacks no
        more than what its former process said of itself.
    """

    metric_kind = "Hello"

    name: str
    start: str
    asks_for_snapshot: bool
    has_read_store: bool = False


class Ping(Message, tag=1):
    """Asks for life, and for a renewal of the sender's lease.

    Attributes:
      sent_ms: the sender's clock, returned by the pong.
      term: term of the lease to renew; 0 asks for none.
      report: load of the sender's target.
      versions: None if they are as they were last on this connection.
      suspects: fingerprints that may crash targets, with their counts.
      digest: of the sender's directory; 0 if the receiver need not compare it.
    """

    metric_kind = "Ping"

    sent_ms: float
    term: int
    report: target_selection.LoadReport
    versions: Versions | None
    suspects: list[tuple[str, int]]
    digest: int = 0


class Pong(Message, tag=2):
    """Answers a ping.

    Attributes:
      sent_ms: from the ping.
      term: the renewed term; 0 if none was renewed.
      report: load of the sender's target.
      versions: None if they are as they were last on this connection.
    """

    metric_kind = "Pong"

    sent_ms: float
    term: int
    report: target_selection.LoadReport
    versions: Versions | None


class RunRequest(Message, tag=3):
    """Asks a node to have its target run a request.

    Attributes:
      number: names the request between these two processes.
      attempt: the caller's id of the attempt, for logs.
      service: service that is to run it.
      kind: what kind of work it is.
      priority: priority; 0 is the highest.
      key: its key, or NO_KEY.
      idempotent: whether it may run more than once.
      left_ms: time until its answer is worth nothing.
      objective_left_ms: time until its answer is worth less.
      objective_ms: length of its objective.
      method: as the caller sent it.
      path: with the query, as the caller sent it.
      headers: those to pass on.
      body: whole body.
      fingerprint: its fingerprint.
      sent_ms: the sender's clock; tells how long it was on the way.
      max_queue_wait_ms: wait in the queue beyond which the sender would rather
        ask elsewhere; negative for none.
    """

    metric_kind = "Run"

    number: int
    attempt: str
    service: str
    kind: str
    priority: int
    key: int
    idempotent: bool
    left_ms: float
    objective_left_ms: float
    objective_ms: float
    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    fingerprint: str
    sent_ms: float
    max_queue_wait_ms: float = -1.0


class Answered(Message, tag=4):
    """The target's whole answer."""

    metric_kind = "Answered"

    number: int
    status: int
    headers: Headers
    body: bytes
    report: target_selection.LoadReport
    work_ms: float


class Refused(Message, tag=5):
    """The request has not run and will not.

    Attributes:
      number: of the request.
      kind: error kind.
      retry_after_ms: when to try again; 0 if unknown.
      reached: whether the target was asked and declined.
      report: the target's load.
    """

    metric_kind = "Refused"

    number: int
    kind: str
    retry_after_ms: float
    reached: bool
    report: target_selection.LoadReport


class Lost(Message, tag=6):
    """The request may have run; there is no whole answer."""

    metric_kind = "Lost"

    number: int
    kind: str
    report: target_selection.LoadReport


class Cancel(Message, tag=7):
    """The caller has left."""

    metric_kind = "Cancel"

    number: int


class SilenceQuery(Message, tag=8):
    """Asks how long a node has been silent, before it is sealed."""

    metric_kind = "Silence"

    name: str


class SilenceReply(Message, tag=9):
    """Answers `SilenceQuery` in milliseconds."""

    metric_kind = "SilentFor"

    name: str
    silent_ms: float


class SealRequest(Message, tag=10):
    """Asks a witness to renew no term of a node up to a revision."""

    metric_kind = "Seal"

    name: str
    revision: int


class SealReply(Message, tag=11):
    """Answers `SealRequest`; `left_ms` may be left of the last renewal."""

    metric_kind = "Sealed"

    name: str
    revision: int
    left_ms: float


class Bye(Message, tag=12):
    """The sender ends soon; what is sent to it from now on is refused."""

    metric_kind = "Bye"


class Snapshot(Message, tag=13):
    """What a node knows, for one that has just started without the store.

    Nothing is granted on it: it may be older than what the former process
    wrote. It lets the node take callers and find targets.

    Attributes:
      items: key, value and revision of items of the store.
      entries: the sender's directory, with the receiver's former process.
    """

    metric_kind = "Snapshot"

    items: list[tuple[str, bytes, int]]
    entries: list[membership.Entry]


class StoreUpdate(Message, tag=14):
    """Changes that a reader of the store has seen; no value: removed."""

    metric_kind = "Told"

    items: list[tuple[str, bytes | None, int]]


class TableUpdate(Message, tag=15):
    """A change of a key table that a reader of the store has seen.

    Attributes:
      service: whose keys.
      base_revision: the store's revision of the version that the change builds
        on.
      revision: the store's revision of the later version.
      change: from the one to the other.
    """

    metric_kind = "TableTold"

    service: str
    base_revision: int
    revision: int
    change: table_module.TableChange


class MembershipUpdate(Message, tag=16):
    """Entries of the directory that have changed."""

    metric_kind = "News"

    entries: list[membership.Entry]


class DigestRequest(Message, tag=17):
    """Sums of the parts of the sender's directory, which seems to differ.

    The receiver answers with `DigestReply`.
    """

    metric_kind = "Sums"

    bucket_digests: list[int]


class DigestReply(Message, tag=20):
    """Answers `DigestRequest`: the sender's entries of parts that differ."""

    metric_kind = "Differing"

    entries: list[membership.Entry]


class ItemAvailable(Message, tag=18):
    """The sender has a long item of the store that has changed.

    Attributes:
      key: the item.
      revision: the store's revision of its last change.
    """

    metric_kind = "Has"

    key: str
    revision: int


class ItemRequest(Message, tag=19):
    """Answers `ItemAvailable`: the sender needs the item."""

    metric_kind = "Want"

    key: str
    revision: int


UNAVAILABLE = "unavailable"
"""The change had no effect."""

UNKNOWN = "unknown"
"""The change may have been made, or may be yet."""

CONFLICT = "conflict"
"""A condition of the change did not hold."""


class ChangeRequest(Message, tag=21):
    """Asks a node that reaches the store for a conditional change of it.

    Attributes:
      number: identifies the question at its sender.
      expected: revision by key, which says the era that the change was decided
        in; 0 stands for a key that does not exist.
      puts: new value by key.
      removes: keys to remove.
    """

    metric_kind = "ChangeAsked"

    number: int
    expected: dict[str, int]
    puts: dict[str, bytes]
    removes: list[str]


class ChangeReply(Message, tag=22):
    """Answers `ChangeRequest`.

    Attributes:
      number: of the question.
      failure: UNAVAILABLE, UNKNOWN, CONFLICT; empty if the change was made.
      revision: of the change.
      items: keys of the conditions as they are, after a conflict.
    """

    metric_kind = "ChangeAnswer"

    number: int
    failure: str = ""
    revision: int = 0
    items: list[tuple[str, bytes | None, int]] = []


class Packed(Message, tag=23):
    """A long message.

    Attributes:
      data: the encoded message, compressed by zlib.
    """

    metric_kind = "Packed"

    data: bytes


AnyMessage = (
    Hello
    | Ping
    | Pong
    | RunRequest
    | Answered
    | Refused
    | Lost
    | Cancel
    | SilenceQuery
    | SilenceReply
    | SealRequest
    | SealReply
    | Bye
    | Snapshot
    | StoreUpdate
    | TableUpdate
    | MembershipUpdate
    | DigestRequest
    | ItemAvailable
    | ItemRequest
    | DigestReply
    | ChangeRequest
    | ChangeReply
    | Packed
)

RunOutcome = Answered | Refused | Lost
