"""Abstract client of a target, and the messages between node and target."""

import abc

import msgspec

from auburnrock import errors


class Announcement(msgspec.Struct, kw_only=True):
    """A target announces itself to the node on its host.

    Attributes:
      service: name of the service that the target serves.
      address: host:port at which the target accepts requests and the node's
        control requests.
      incarnation: unique name of this start of the target.
      clock_ms: reading of the target's monotonic clock when it sent the
        announcement, in milliseconds.
      checks_grants: whether the target refuses work without a valid grant.
      draining: whether the target accepts no new work.
    """

    service: str
    address: str
    incarnation: str
    clock_ms: int
    checks_grants: bool = True
    draining: bool = False


class GrantedShard(msgspec.Struct, array_like=True):
    """A shard that a target may serve, with its epoch as fencing token."""

    shard: int
    epoch: int


class Grant(msgspec.Struct, kw_only=True):
    """The shards that a target may serve, and until when it may serve them.

    The end is a time of the target's own clock: the node adds the remaining
    time of its lease to a reading of that clock that the target sent earlier.
    A grant that arrives late, for example after a freeze, has already expired.

    Attributes:
      node: incarnation of the granting node.
      sequence: number of the grant; increases with each grant of a node. A
        target refuses a grant whose node is lower than that of a grant it has
        accepted, or whose node is the same and whose sequence is not higher,
        so that a grant that arrives late doesn't revert a later one.
      target_incarnation: incarnation of the target that is addressed.
      valid_until_ms: end of the grant on the target's monotonic clock, in
        milliseconds.
      shards: all granted shards; the target releases every other shard.
    """

    node: int
    target_incarnation: str
    valid_until_ms: int
    shards: list[GrantedShard]
    sequence: int = 0


class GrantAnswer(msgspec.Struct, kw_only=True):
    """A target's answer to a grant.

    Attributes:
      accepted: False if the grant addressed another incarnation, had
        expired, was older than an accepted grant, or had an epoch lower than
        an earlier epoch of the shard.
      incarnation: incarnation of the answering target.
      clock_ms: reading of the target's monotonic clock when it answered, in
        milliseconds.
      running: number of requests that still run on each released shard.
    """

    accepted: bool
    incarnation: str
    clock_ms: int
    running: dict[int, int] = {}


class Work(msgspec.Struct, kw_only=True):
    """A request that a node sends to its target.

    Attributes:
      request_id: identifier of the request; echoed in the answer.
      method: HTTP method.
      path: path with query.
      headers: header names and values to forward.
      body: complete request body.
      key: the request's key; empty for a service that is not divided by key.
      shard: shard of the key; -1 without a key.
      epoch: epoch at which the node owns the shard; 0 without a key.
      deadline_ms: time left until the request's deadline, in milliseconds.
    """

    request_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str = ""
    shard: int = -1
    epoch: int = 0
    deadline_ms: int = 2_000


class WorkAnswer(msgspec.Struct, kw_only=True):
    """The complete answer of a target to a request."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class TargetError(Exception):
    """A request to a target failed.

    Attributes:
      failure: kind and message of the error; errors.ANSWERS states for each
        kind whether the request was executed.
    """

    def __init__(self, kind: errors.ErrorKind, message: str):
        super().__init__(message)
        self.failure = errors.Failure(kind, message)


class NotSentError(TargetError):
    """No byte of the request was sent, so it was not executed."""


class RefusedError(TargetError):
    """The target stated that it did not execute the request."""


class LostError(TargetError):
    """The request may have been executed, but no complete answer arrived.

    Attributes:
      silent: True if the connection stayed open but delivered no complete
        answer in time.
      connection_ended: True if the connection was closed or reset, as when
        the target crashes.
    """

    def __init__(self, message: str, silent: bool, connection_ended: bool):
        super().__init__(errors.ErrorKind.OUTCOME_UNKNOWN, message)
        self.silent = silent
        self.connection_ended = connection_ended


class Target(abc.ABC):
    """Client of one target."""

    def retire_idle(self) -> None:  # noqa: B027
        """Retires the idle connections, so that they are not reused.

        Called when one of them has gone silent. Does nothing by default.
        """

    def retire_if_silent(self, silent_ms: int) -> None:  # noqa: B027
        """Retires idle connections if none has answered for `silent_ms`.

        Called when a request that was sent `silent_ms` ago, in milliseconds,
        on a reused connection has no answer. Does nothing by default.
        """

    @abc.abstractmethod
    async def run(
        self, work: Work, fresh_connection: bool = False
    ) -> WorkAnswer:
        """Sends a request and returns its complete answer.

        Args:
          work: the request.
          fresh_connection: whether to open a new connection for the request,
            for example because another one has gone silent.

        Raises:
          NotSentError: no byte of the request was sent.
          RefusedError: the target did not execute the request.
          LostError: the request may have been executed.
        """

    @abc.abstractmethod
    async def grant(self, grant: Grant) -> GrantAnswer:
        """Sends a grant to the target; raises NotSentError or LostError."""

    @abc.abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Notifies the target that no caller waits for a request any more."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Orders the target to finish its requests and accept no new ones."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connections to the target."""
