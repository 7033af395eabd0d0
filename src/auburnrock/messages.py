"""Messages between nodes.

Datagrams carry lease renewals and seals, which are small and frequent.
Frames on a TCP connection carry requests, answers and deltas of the replica.
All messages are encoded as msgpack arrays, without field names, to save bytes.
"""

import msgspec

from auburnrock import errors

# Datagrams ------------------------------------------------------------------


class Renew(msgspec.Struct, array_like=True, tag=1):
    """A node requests the renewal of its lease from a witness.

    Attributes:
      node: incarnation of the node whose lease is to be renewed.
      witness: incarnation of the witness that is addressed.
      sequence: number of this renewal; increases with each renewal.
      watermark: store revision that the node's replica has reached.
    """

    node: int
    witness: int
    sequence: int
    watermark: int


class RenewAnswer(msgspec.Struct, array_like=True, tag=2):
    """The answer of a witness to a renewal.

    Attributes:
      witness: incarnation of the answering witness.
      node: incarnation of the node that sent the renewal.
      sequence: number of the answered renewal.
      renewed: False if the witness has sealed the node's incarnation or is
        not the incarnation that the renewal addressed.
      watermark: store revision that the witness's replica has reached.
    """

    witness: int
    node: int
    sequence: int
    renewed: bool
    watermark: int


class Seal(msgspec.Struct, array_like=True, tag=3):
    """A coordinator orders a witness to stop renewing an incarnation's lease.

    Attributes:
      node: incarnation to seal.
      witness: incarnation of the witness that is addressed.
      attempt: number of the attempt; echoed in the answer.
    """

    node: int
    witness: int
    attempt: int


class SealAnswer(msgspec.Struct, array_like=True, tag=4):
    """A witness confirms that it has sealed an incarnation.

    Attributes:
      witness: incarnation of the witness that the seal addressed.
      node: incarnation that is sealed.
      attempt: copied from the seal.
      remaining_ms: upper bound of the time for which the witness's last
        renewal of the node's lease is still valid, in milliseconds.
      gone: True if the addressed incarnation of the witness has ended. Its
        successor answers, and a whole lease term may remain.
    """

    witness: int
    node: int
    attempt: int
    remaining_ms: int
    gone: bool


class Suspect(msgspec.Struct, array_like=True, tag=5):
    """A witness reports to the coordinators that a node has gone silent.

    Attributes:
      witness: incarnation of the reporting witness.
      node: incarnation that no longer sends renewals.
      silent_ms: time since the node's last renewal, in milliseconds.
    """

    witness: int
    node: int
    silent_ms: int


class NewRevision(msgspec.Struct, array_like=True, tag=6):
    """A hint that the sender's replica has reached a revision.

    Attributes:
      sender: incarnation of the sender.
      watermark: store revision that the sender's replica has reached.
    """

    sender: int
    watermark: int


class LoadTotal(
    msgspec.Struct, array_like=True, tag=7, frozen=True, order=True
):
    """A node reports its target's load to an assigner of its service.

    The figures are integers because these take fewer bytes than floats.

    Attributes:
      node: incarnation of the reporting node.
      sequence: number of the report; increases with each report.
      capacity: estimated capacity of the node's target, in requests per
        1,000 s; 0 while it is unknown.
      rate: rate of requests on the shards that the node owns, in requests
        per 1,000 s.
      keys: estimated number of keys in use on the node's shards.
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
    """A caller's request, forwarded to the node whose target executes it.

    Attributes:
      stream: number of the exchange on this connection.
      request_id: identifier of the request in the traces of all processes.
      service: name of the service.
      method: HTTP method.
      path: path below the service's name, with its query.
      headers: header names and values to forward.
      body: complete request body.
      key: the request's key; empty for a service that is not divided by key.
      shard: shard of the key; -1 without a key.
      deadline_ms: time left until the request's deadline when the frame was
        sent, in milliseconds.
      idempotent: whether the request may be executed more than once.
      idempotency_key: identifier that the caller gave to the work; empty if
        it gave none.
      caller: name of the caller, for fairness among callers.
      first_try: True if the caller states that it has not sent this request
        before, to any node.
      is_repeat: True if the entry node has sent this request before and
        received no answer.
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
    """The complete answer of a target.

    Attributes:
      stream: number of the exchange on this connection.
      request_id: identifier of the answered request.
      status: HTTP status code.
      headers: header names and values to forward.
      body: complete response body.
      owner: incarnation of the node whose target executed the request.
      epoch: epoch of the shard at which the request was executed; 0 without
        a key.
    """

    stream: int
    request_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    owner: int
    epoch: int


class Refusal(msgspec.Struct, array_like=True, tag=18):
    """An error in place of a target's answer.

    Attributes:
      stream: number of the exchange on this connection.
      request_id: identifier of the answered request.
      kind: kind of the error.
      message: description of the error.
      retry_after_ms: delay before the sender may retry, in milliseconds;
        None for the value that errors.ANSWERS has for the kind.
      watermark: store revision of the refusing node's replica; a sender
        whose replica is older should pull the changes before it retries.
    """

    stream: int
    request_id: str
    kind: errors.ErrorKind
    message: str
    retry_after_ms: int | None
    watermark: int


class Cancel(msgspec.Struct, array_like=True, tag=19):
    """Reports that the caller has gone; the exchange may be abandoned."""

    stream: int


class Ping(msgspec.Struct, array_like=True, tag=20):
    """Checks whether the connection still carries frames."""

    sequence: int


class Pong(msgspec.Struct, array_like=True, tag=21):
    """Answers a ping."""

    sequence: int


class Pull(msgspec.Struct, array_like=True, tag=22):
    """Requests the records of the replica that changed after a revision."""

    stream: int
    after_revision: int


class PullResults(msgspec.Struct, array_like=True, tag=24):
    """The new owner of a shard requests the former owner's stored results.

    Attributes:
      stream: number of the exchange on this connection.
      service: name of the service.
      shard: number of the shard.
      epoch: epoch at which the former owner held the shard.
    """

    stream: int
    service: str
    shard: int
    epoch: int


class Results(msgspec.Struct, array_like=True, tag=25):
    """The stored results of non-idempotent work on one shard.

    Attributes:
      stream: number of the exchange that this frame answers.
      data: idempotency.ShardResults in msgpack; empty if there are none.
    """

    stream: int
    data: bytes


class Suspects(msgspec.Struct, array_like=True, tag=28):
    """Reports requests that crashed a target; answered by empty Results.

    Attributes:
      stream: number of the exchange on this connection.
      data: list of records.QuarantineRecord in msgpack.
    """

    stream: int
    data: bytes


class PullFigures(msgspec.Struct, array_like=True, tag=26):
    """An assigner requests the load of each shard of a busy node."""

    stream: int


class Figures(msgspec.Struct, array_like=True, tag=27):
    """The load of each shard of a node.

    Attributes:
      stream: number of the PullFigures exchange that this frame answers.
      data: reports.NodeFigures in msgpack.
    """

    stream: int
    data: bytes


class Entry(msgspec.Struct, array_like=True):
    """One record of the replica; `data` is None for a deleted record."""

    key: str
    data: bytes | None
    revision: int


class Delta(msgspec.Struct, array_like=True, tag=23):
    """Changed records of the sender's replica.

    Attributes:
      stream: number of the Pull exchange that this frame answers.
      after_revision: store revision after which every changed record is
        included; 0 for a full copy.
      revision: store revision that the receiver's replica has reached once
        it has applied the delta.
      entries: the changed records.
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
    """Decodes one datagram; raises msgspec.DecodeError if it is invalid."""
    return _datagram_decoder.decode(data)


def decode_frame(data: bytes) -> Frame:
    """Decodes one frame; raises msgspec.DecodeError if it is invalid."""
    return _frame_decoder.decode(data)


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_frame_decoder = msgspec.msgpack.Decoder(Frame)
