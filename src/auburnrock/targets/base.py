"""What the system needs of a target, and what a target says of itself."""

import abc

import msgspec

from auburnrock import errors


class Announcement(msgspec.Struct, kw_only=True):
    """A target tells the node beside it that it is there.

    Attributes:
      service: service that it serves.
      address: host:port where it accepts requests and orders.
      incarnation: unique name of this start of the target.
      clock_ms: the target's monotonic clock when it sent this.
      checks_grants: whether it refuses work without a valid grant.
      draining: whether it wants no new work.
    """

    service: str
    address: str
    incarnation: str
    clock_ms: int
    checks_grants: bool = True
    draining: bool = False


class GrantedShard(msgspec.Struct, array_like=True):
    """A shard that a target may serve, and the epoch that fences it."""

    shard: int
    epoch: int


class Grant(msgspec.Struct, kw_only=True):
    """All shards that a target may serve, and until when.

    The end is given on the target's own clock: the node adds what is left of
    its lease to a reading of that clock that the target sent earlier. A grant
    that arrives late, as after a freeze, has then ended by itself.

    Attributes:
      node: incarnation of the granting node.
      sequence: grows with each grant of a node. A target refuses a grant of a
        lower node, or of the same node and not a higher sequence, than one it
        accepted: a grant that arrives late undoes no later one.
      target_incarnation: incarnation of the target that is meant.
      valid_until_ms: end of the grant on the target's monotonic clock.
      shards: every granted shard; what is not named is released.
    """

    node: int
    target_incarnation: str
    valid_until_ms: int
    shards: list[GrantedShard]
    sequence: int = 0


class GrantAnswer(msgspec.Struct, kw_only=True):
    """A target's answer to a grant.

    Attributes:
      accepted: False if the grant was for another incarnation, had ended, or
        named an epoch lower than one seen before.
      incarnation: incarnation of the answering target.
      clock_ms: the target's monotonic clock when it answered.
      running: for each released shard, requests still running on it.
    """

    accepted: bool
    incarnation: str
    clock_ms: int
    running: dict[int, int] = {}


class Work(msgspec.Struct, kw_only=True):
    """A request for the target beside a node.

    Attributes:
      request_id: echoed in the answer.
      method: HTTP method.
      path: path with query.
      headers: header names and values to pass on.
      body: whole body.
      key: the key; empty for a service not divided by key.
      shard: shard of the key; -1 without a key.
      epoch: epoch of the shard at the node; 0 without a key.
      deadline_ms: time left in milliseconds.
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
    """A target's whole answer to a request."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class TargetError(Exception):
    """A request that a target gave no answer to.

    Attributes:
      failure: kind and message; its table entry says whether it ran.
    """

    def __init__(self, kind: errors.ErrorKind, message: str):
        super().__init__(message)
        self.failure = errors.Failure(kind, message)


class NotSentError(TargetError):
    """No byte of the request left: it has not run."""


class RefusedError(TargetError):
    """The target said that it did not run the request."""


class LostError(TargetError):
    """Bytes may have left and no whole answer came: it may have run.

    Attributes:
      silent: True if the connection stayed open but said nothing.
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
        """Uses no idle connection again: one of them has gone silent.

        Does nothing by default.
        """

    def retire_if_silent(self, silent_ms: int) -> None:  # noqa: B027
        """Uses no idle connection again if none has answered for a time.

        To be called when a request that was sent `silent_ms` ago on a
        connection used before has no answer. Does nothing by default.
        """

    @abc.abstractmethod
    async def run(
        self, work: Work, fresh_connection: bool = False
    ) -> WorkAnswer:
        """Sends a request and returns its whole answer.

        Args:
          work: the request.
          fresh_connection: whether to send on a connection made for it, as
            when an older one has gone silent.

        Raises:
          NotSentError, RefusedError or LostError.
        """

    @abc.abstractmethod
    async def grant(self, grant: Grant) -> GrantAnswer:
        """Gives a target its shards; raises NotSentError or LostError."""

    @abc.abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Tells the target that nobody waits for a request any more."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Tells the target to finish what it runs and take nothing new."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connections to the target."""
