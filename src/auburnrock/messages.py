"""Messages between nodes.

Datagrams carry lease renewals and seals, many and small; they are arrays in
msgpack to save bytes. Frames on a TCP connection carry requests, answers and
deltas of the replica.
"""

import msgspec

from auburnrock import errors

# Datagrams ------------------------------------------------------------------


class Renew(msgspec.Struct, array_like=True, tag=1):
    """A node asks a witness to renew its lease.

    Attributes:
      node: incarnation of the asking node.
      witness: incarnation of the witness that it means.
      sequence: number of this renewal, growing.
      watermark: store revision that the asking node's replica has reached.
    """

    node: int
    witness: int
    sequence: int
    watermark: int


class RenewAnswer(msgspec.Struct, array_like=True, tag=2):
    """A witness answers a renewal.

    Attributes:
      witness: incarnation of the answering witness.
      node: incarnation of the node that asked.
      sequence: number of the renewal that this answers.
      renewed: False if the witness has sealed that incarnation or is not the
        incarnation that was meant.
      watermark: store revision that the witness's replica has reached.
    """

    witness: int
    node: int
    sequence: int
    renewed: bool
    watermark: int


class Seal(msgspec.Struct, array_like=True, tag=3):
    """A coordinator tells a witness to renew an incarnation no more.

    Attributes:
      node: incarnation to seal.
      witness: incarnation of the witness that is meant.
      attempt: echoed in the answer.
    """

    node: int
    witness: int
    attempt: int


class SealAnswer(msgspec.Struct, array_like=True, tag=4):
    """A witness has sealed an incarnation.

    Attributes:
      witness: incarnation of the witness that was meant.
      node: incarnation that is sealed.
      attempt: copied from the seal.
      remaining_ms: the longest that the last renewal given can still be valid.
      gone: the witness that was meant has ended; its successor answers, and
        a whole term may be left.
    """

    witness: int
    node: int
    attempt: int
    remaining_ms: int
    gone: bool


class Suspect(msgspec.Struct, array_like=True, tag=5):
    """A witness tells the coordinators that a node has gone silent.

    Attributes:
      witness: incarnation of the witness that reports.
      node: incarnation that no longer renews.
      silent_ms: time since its last renewal.
    """

    witness: int
    node: int
    silent_ms: int


class NewRevision(msgspec.Struct, array_like=True, tag=6):
    """A hint that the sender's replica has reached a revision.

    Attributes:
      sender: incarnation of the sender.
      watermark: store revision that its replica has reached.
    """

    sender: int
    watermark: int


class LoadTotal(
    msgspec.Struct, array_like=True, tag=7, frozen=True, order=True
):
    """A node tells an assigner of its service how busy its target is.

    Whole numbers, as they take fewer bytes than floats.

    Attributes:
      node: incarnation of the reporting node.
      sequence: number of the report, growing.
      capacity: requests in 1,000 s that its target was seen to manage; 0
        while nothing is known.
      rate: requests in 1,000 s on the shards that it owns.
      keys: estimate of the keys in use on them.
    """

    node: int
    sequence: int
    capacity: int
    rate: int
    keys: int


Datagram = (
    Renew | RenewAnswer | Seal | SealAnswer | Suspect | NewRevision | LoadTotal
)

# Frames ---------------------------------------------------------------------


class Request(msgspec.Struct, array_like=True, tag=16):
    """A caller's request on its way to the node that runs it.

    Attributes:
      stream: number of the exchange on this connection.
      request_id: the request's id across processes, for the trace.
      service: name of the service.
      method: HTTP method.
      path: path below the service's name, with its query.
      headers: header names and values to pass on.
      body: whole body.
      key: the key; empty for a service not divided by key.
      shard: shard of the key, -1 without a key.
      deadline_ms: time left when the frame was sent.
      idempotent: whether running it twice is harmless.
      idempotency_key: the caller's name for the work; empty if none.
      caller: who is calling, for fairness among callers.
      first_try: the caller states that it has sent this nowhere else before.
      is_repeat: the entry has sent it before and got no answer.
    """

    stream: int
    request_id: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str
    shard: int
    deadline_ms: int
    idempotent: bool
    idempotency_key: str
    caller: str
    first_try: bool = False
    is_repeat: bool = False


class Response(msgspec.Struct, array_like=True, tag=17):
    """The whole answer of a target.

    Attributes:
      stream: number of the exchange on this connection.
      request_id: id of the request that it answers.
      status: HTTP status.
      headers: header names and values to pass on.
      body: whole body.
      owner: incarnation that ran it.
      epoch: epoch of the shard at which it ran.
    """

    stream: int
    request_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    owner: int
    epoch: int


class Refusal(msgspec.Struct, array_like=True, tag=18):
    """An error in place of an answer.

    Attributes:
      stream: number of the exchange on this connection.
      request_id: id of the request that it answers.
      kind: kind of the error.
      message: what was wrong.
      retry_after_ms: when to come back; None for the table's value.
      watermark: store revision of the refusing node's replica; a sender that
        is behind it should catch up before it sends again.
    """

    stream: int
    request_id: str
    kind: errors.ErrorKind
    message: str
    retry_after_ms: int | None
    watermark: int


class Cancel(msgspec.Struct, array_like=True, tag=19):
    """The caller has gone away; the exchange may be abandoned."""

    stream: int


class Ping(msgspec.Struct, array_like=True, tag=20):
    """Asks whether the connection still carries frames."""

    sequence: int


class Pong(msgspec.Struct, array_like=True, tag=21):
    """Answers a ping."""

    sequence: int


class Pull(msgspec.Struct, array_like=True, tag=22):
    """Asks for what has changed in the replica after a revision."""

    stream: int
    after_revision: int


class PullResults(msgspec.Struct, array_like=True, tag=24):
    """The new owner of a shard asks the former one what it remembers.

    Attributes:
      stream: number of the exchange on this connection.
      service: the service.
      shard: the shard.
      epoch: epoch of the former owner.
    """

    stream: int
    service: str
    shard: int
    epoch: int


class Results(msgspec.Struct, array_like=True, tag=25):
    """Results of non-idempotent work on one shard.

    Attributes:
      stream: number of the pull that it answers.
      data: idempotency.ShardResults in msgpack; empty if there are none.
    """

    stream: int
    data: bytes


class Suspects(msgspec.Struct, array_like=True, tag=28):
    """Tells of requests that crashed a target; answered by empty Results.

    Attributes:
      stream: number of the exchange on this connection.
      data: list of records.QuarantineRecord in msgpack.
    """

    stream: int
    data: bytes


class PullFigures(msgspec.Struct, array_like=True, tag=26):
    """An assigner asks a busy node for the load of each of its shards."""

    stream: int


class Figures(msgspec.Struct, array_like=True, tag=27):
    """The load of a node's shards.

    Attributes:
      stream: number of the pull that it answers.
      data: reports.NodeFigures in msgpack.
    """

    stream: int
    data: bytes


class Entry(msgspec.Struct, array_like=True):
    """One record of the replica; `data` is None for a deleted one."""

    key: str
    data: bytes | None
    revision: int


class Delta(msgspec.Struct, array_like=True, tag=23):
    """Changes of the replica.

    Attributes:
      stream: number of the pull that it answers.
      after_revision: every record changed after this revision is included; 0
        for a full copy.
      revision: revision that the receiver has reached once it is applied.
      entries: the records.
    """

    stream: int
    after_revision: int
    revision: int
    entries: list[Entry]


Frame = (
    Request
    | Response
    | Refusal
    | Cancel
    | Ping
    | Pong
    | Pull
    | Delta
    | PullResults
    | Results
    | Suspects
    | PullFigures
    | Figures
)


def encode(message: Datagram | Frame) -> bytes:
    """Encodes one message."""
    return _encoder.encode(message)


def decode_datagram(data: bytes) -> Datagram:
    """Decodes one datagram; raises msgspec.DecodeError on garbage."""
    return _datagram_decoder.decode(data)


def decode_frame(data: bytes) -> Frame:
    """Decodes one frame; raises msgspec.DecodeError on garbage."""
    return _frame_decoder.decode(data)


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_frame_decoder = msgspec.msgpack.Decoder(Frame)
