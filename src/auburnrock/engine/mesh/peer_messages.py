"""Messages between nodes: MessagePack frames on a connection between two nodes.

The node that opened the connection sends requests, the other answers. A request
keeps its number across connections of the same two processes, so that it runs
only once even if a connection is lost.
"""

import typing

import msgspec

from auburnrock.engine.mesh import crash_suspects
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import target_selection

Headers = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""

    metric_kind: typing.ClassVar[str]
    """Name of this kind of message in metrics and logs, which does not change
    when the class is renamed."""


class Versions(msgspec.Struct, frozen=True, array_like=True):
    """Versions of the store's items that a node knows.

    Attributes:
      configuration: version of the configuration in force at the node; 0 before
        it knows one.
      tables: version of each key table, by service.
      era: latest era of the store that the node knows.
      evacuation: latest revision of the evacuations that the node knows; 0
        without any.
    """

    configuration: int
    tables: dict[str, int]
    era: int = 0
    evacuation: int = 0


class Hello(Message, tag=0):
    """First message on a connection, from both ends.

    Attributes:
      name: name of the sender.
      start: identifier of the sender's process.
      asks_for_snapshot: whether the receiver should send a `Snapshot`.
      has_read_store: whether the sender has read the store, so that it lacks
        only what its former process has published of itself.
    """

    metric_kind = "Hello"

    name: str
    start: str
    asks_for_snapshot: bool
    has_read_store: bool = False


class Ping(Message, tag=1):
    """Checks that the receiver is alive and requests a renewal of a lease.

    Attributes:
      sent_ms: time of sending on the sender's clock, which the pong returns.
      term: term of the sender's lease to renew; 0 requests no renewal.
      report: load of the sender's target.
      versions: versions that the sender knows; None if they are the same as
        last sent on this connection.
      digest: digest of the sender's directory; 0 if the receiver need not
        compare it.
      stops_in_ms: time until the sender's process needs the answers to its
        requests, as it stops; 0 if it does not stop.
    """

    metric_kind = "Ping"

    sent_ms: float
    term: int
    report: target_selection.LoadReport
    versions: Versions | None
    digest: int = 0
    stops_in_ms: int = 0


class Pong(Message, tag=2):
    """Answers a ping.

    Attributes:
      sent_ms: the value in the ping.
      term: the renewed term; 0 if none was renewed.
      report: load of the sender's target.
      versions: versions that the sender knows; None if they are the same as
        last sent on this connection.
    """

    metric_kind = "Pong"

    sent_ms: float
    term: int
    report: target_selection.LoadReport
    versions: Versions | None


class RunRequest(Message, tag=3):
    """Asks a node to have its target run a request.

    Attributes:
      number: identifies the request between these two processes.
      attempt: the caller's id of the attempt, for logs.
      service: service that is to run the request.
      kind: kind of the request's work.
      priority: priority of the request; 0 is the highest.
      key: key of the request, or NO_KEY.
      idempotent: whether the request may run more than once.
      left_ms: time until the answer is worthless.
      objective_left_ms: time until the answer is worth less.
      objective_ms: whole duration of the objective.
      method: method as the caller sent it.
      path: path and query as the caller sent them.
      headers: headers to forward to the target.
      body: complete body.
      fingerprint: fingerprint of the request.
      sent_ms: time of sending on the sender's clock, from which the receiver
        computes the time in transit.
      max_queue_wait_ms: wait in the queue above which the request should be
        refused, since the sender would send it elsewhere; negative for no
        limit.
      is_download: whether the response is long.
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
    is_download: bool = False


class Answered(Message, tag=4):
    """The target's complete answer to a request."""

    metric_kind = "Answered"

    number: int
    status: int
    headers: Headers
    body: bytes
    report: target_selection.LoadReport
    work_ms: float


class Refused(Message, tag=5):
    """States that a request has not run and will not run.

    Attributes:
      number: number of the request.
      kind: kind of the error.
      retry_after_ms: time after which to retry; 0 if unknown.
      reached: whether the target received the request and declined it.
      report: load of the target.
    """

    metric_kind = "Refused"

    number: int
    kind: str
    retry_after_ms: float
    reached: bool
    report: target_selection.LoadReport


class Lost(Message, tag=6):
    """States that a request may have run and has no complete answer."""

    metric_kind = "Lost"

    number: int
    kind: str
    report: target_selection.LoadReport


class Cancel(Message, tag=7):
    """Cancels a request, as its caller has disconnected."""

    metric_kind = "Cancel"

    number: int


class SilenceQuery(Message, tag=8):
    """Asks a witness for how long a node has requested no renewal.

    It is sent before the node is sealed.
    """

    metric_kind = "Silence"

    name: str


class SilenceReply(Message, tag=9):
    """Answers `SilenceQuery` with the time without a renewal request."""

    metric_kind = "SilentFor"

    name: str
    silent_ms: float


class SealRequest(Message, tag=10):
    """Asks a witness to renew no term of a node up to a revision any more."""

    metric_kind = "Seal"

    name: str
    revision: int


class SealReply(Message, tag=11):
    """Answers `SealRequest`; `left_ms` of the last renewal may remain."""

    metric_kind = "Sealed"

    name: str
    revision: int
    left_ms: float


class Bye(Message, tag=12):
    """Announces that the sender will stop and refuses new requests."""

    metric_kind = "Bye"


class Snapshot(Message, tag=13):
    """A node's knowledge, for a node that has just started without the store.

    The receiver can accept callers and find targets by it, but grants nothing
    on it: it may be older than what the receiver's former process wrote.

    Attributes:
      items: key, value and revision of items of the store.
      entries: the sender's directory, including the entry of the receiver's
        former process.
    """

    metric_kind = "Snapshot"

    items: list[tuple[str, bytes, int]]
    entries: list[membership.Entry]


class StoreUpdate(Message, tag=14):
    """Changes of items that a node has read from the store.

    Attributes:
      items: key, value and revision of each item; no value if it was removed.
    """

    metric_kind = "Told"

    items: list[tuple[str, bytes | None, int]]


class TableUpdate(Message, tag=15):
    """A change of a key table that a node has read from the store.

    Attributes:
      service: service whose keys the table assigns.
      base_revision: the store's revision of the earlier version.
      revision: the store's revision of the later version.
      change: difference between the two versions.
    """

    metric_kind = "TableTold"

    service: str
    base_revision: int
    revision: int
    change: table_module.TableChange


class MembershipUpdate(Message, tag=16):
    """Changed entries of the directory."""

    metric_kind = "News"

    entries: list[membership.Entry]


class DigestRequest(Message, tag=17):
    """Digests of the buckets of the sender's directory.

    It is sent if the two directories seem to differ. The receiver answers with
    `DigestReply`.
    """

    metric_kind = "Sums"

    bucket_digests: list[int]


class DigestReply(Message, tag=20):
    """Answers `DigestRequest` with the entries of the buckets that differ."""

    metric_kind = "Differing"

    entries: list[membership.Entry]


class ItemAvailable(Message, tag=18):
    """Announces that the sender has a changed item too long to forward at once.

    Attributes:
      key: key of the item in the store.
      revision: the store's revision of the item's last change.
    """

    metric_kind = "Has"

    key: str
    revision: int


class ItemRequest(Message, tag=19):
    """Answers `ItemAvailable` by requesting the item."""

    metric_kind = "Want"

    key: str
    revision: int


UNAVAILABLE = "unavailable"
"""Failure of a change that had no effect."""

UNKNOWN = "unknown"
"""Failure of a change that may have taken effect or may do so later."""

CONFLICT = "conflict"
"""Failure of a change of which a condition did not hold."""


class ChangeRequest(Message, tag=21):
    """Asks a node that can reach the store to make a conditional change there.

    Attributes:
      number: identifies this message at its sender.
      expected: expected revision by key, which includes the era in which the
        change was decided; 0 stands for a key that does not exist.
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
      number: number of the `ChangeRequest`.
      failure: UNAVAILABLE, UNKNOWN or CONFLICT; empty if the change was made.
      revision: the store's revision of the change.
      items: current key, value and revision of the keys of the conditions,
        after a conflict.
    """

    metric_kind = "ChangeAnswer"

    number: int
    failure: str = ""
    revision: int = 0
    items: list[tuple[str, bytes | None, int]] = []


class Packed(Message, tag=23):
    """A long message in compressed form.

    Attributes:
      data: the encoded message, compressed by zlib.
    """

    metric_kind = "Packed"

    data: bytes


class CrashReport(Message, tag=24):
    """Crashes that the sender has learned of, or that were cleared, by request.

    Attributes:
      suspicions: suspected requests with these crashes.
    """

    metric_kind = "CrashReport"

    suspicions: list[crash_suspects.Suspicion]


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
    | CrashReport
    | Packed
)

RunOutcome = Answered | Refused | Lost
