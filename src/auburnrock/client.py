"""A client that keeps the owner table and goes straight to the owner.

It speaks the nodes' own protocol, so a request takes one hop less than one
that enters over HTTP at any node.
"""

import asyncio
import random

import msgspec
import result
import uuid_utils

from auburnrock import errors
from auburnrock import messages
from auburnrock.engine import in_force as in_force_lib
from auburnrock.engine import keys
from auburnrock.engine import replica as replica_lib
from auburnrock.engine import routes
from auburnrock.engine import view as view_lib
from auburnrock.shells import frames
from auburnrock.shells import router

REFRESH_S = 1.0
PULL_TIMEOUT_S = 1.0
SILENCE_CHECK_S = 0.1
CONNECT_LIMIT_S = 10.0


class Answer(msgspec.Struct, frozen=True):
    """A target's whole answer.

    Attributes:
      status: HTTP status.
      headers: header names and values.
      body: whole body.
      owner: incarnation of the node that ran it.
      epoch: epoch of the shard at which it ran; 0 without a key.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    owner: int
    epoch: int


class Call(msgspec.Struct, kw_only=True):
    """A request to make.

    Attributes:
      service: name of the service.
      method: HTTP method.
      path: path below the service's name, with its query.
      key: the key; empty for a service that is not divided by key.
      body: whole body.
      headers: header names and values to pass on.
      idempotency_key: UUIDv7 that names work that must run at most once;
        made for the call if it needs one and none is given.
      deadline_ms: time until the final answer; 0 for the service's own.
    """

    service: str
    method: str = "GET"
    path: str = "/"
    key: str = ""
    body: bytes = b""
    headers: list[tuple[str, str]] = []
    idempotency_key: str = ""
    deadline_ms: int = 0


class Client(router.TableSource, frames.FrameHandler):
    """Makes requests to the owners of keys.

    Attributes:
      seeds: host:port pairs of some nodes' peer ports, to begin with.
      view: the owner table and the nodes' records.
      in_force: the newest configuration seen.
      router: sends the requests.
    """

    def __init__(self, seeds: list[tuple[str, int]], zone: str):
        self.seeds = seeds
        self.view = view_lib.View(replica_lib.Replica())
        self.in_force = in_force_lib.InForce()
        self.peers = frames.PeerConnections(self)
        self.router = router.EntryRouter(self.view, self.peers, zone)
        self.router.table = self
        self._tasks: list[asyncio.Task] = []
        self._pull: asyncio.Task | None = None

    async def start(self) -> None:
        """Fetches the owner table; AuburnrockError if no seed answers."""
        end_s = asyncio.get_running_loop().time() + CONNECT_LIMIT_S
        while self.in_force.configuration is None:
            await self._pull_from(*self._any_node())
            if asyncio.get_running_loop().time() > end_s:
                raise errors.AuburnrockError(
                    errors.ErrorKind.PEER_UNREACHABLE,
                    f"none of {self.seeds} gave a configuration within"
                    f" {CONNECT_LIMIT_S:.0f} s; check the seeds",
                )
        self._tasks = [
            asyncio.create_task(self._refresh()),
            asyncio.create_task(self._watch_silence()),
        ]

    async def close(self) -> None:
        """Closes the connections."""
        for task in self._tasks:
            task.cancel()
        self.peers.close()

    async def call(self, call: Call) -> result.Result[Answer, errors.Failure]:
        """Makes one request; the failure says whether it ran."""
        request = self._request(call)
        if isinstance(request, errors.Failure):
            return result.Err(request)
        answer = await self.router.route(request)
        if isinstance(answer, messages.Refusal):
            failure = errors.Failure(
                answer.kind, answer.message, answer.retry_after_ms
            )
            return result.Err(failure)
        return result.Ok(
            Answer(
                answer.status,
                answer.headers,
                answer.body,
                answer.owner,
                answer.epoch,
            )
        )

    def on_hint(self, host: str, port: int, watermark: int) -> None:
        """Catches up from a node that knows more."""
        if watermark <= self.view.replica.revision:
            return
        if self._pull is None or self._pull.done():
            self._pull = asyncio.create_task(self._pull_from(host, port))

    def on_frame(
        self, connection: frames.FrameConnection, frame: messages.Frame
    ) -> None:
        """Ignores a frame that no client is sent."""

    def on_garbage(self, reason: str) -> None:
        """Ignores garbage; its connection is ended."""

    def _request(self, call: Call) -> messages.Request | errors.Failure:
        settings = self.in_force.settings(call.service)
        if settings is None:
            return errors.Failure(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f"got service {call.service!r}, which no operators' file"
                " describes",
            )
        if settings.divided_by_key and not call.key:
            return errors.Failure(
                errors.ErrorKind.MISSING_KEY,
                f"service {call.service} is divided by key: set Call.key",
            )
        idempotent = routes.is_idempotent(settings, call.method, call.path)
        name = call.idempotency_key
        if not idempotent and not name:
            name = str(uuid_utils.uuid7())
        owned_by = keys.routing_key(
            settings, call.key, "" if idempotent else name
        )
        shard = keys.shard_of(settings, owned_by) if owned_by else keys.NO_SHARD
        return messages.Request(
            stream=0,
            request_id=str(uuid_utils.uuid7()),
            service=call.service,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            key=call.key,
            shard=shard,
            deadline_ms=call.deadline_ms or settings.timeout_ms,
            idempotent=idempotent,
            idempotency_key=name,
            caller="",
            first_try=not call.idempotency_key,
        )

    async def _refresh(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_S * (0.5 + random.random()))
            await self._pull_from(*self._any_node())

    async def _watch_silence(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_S)
            self.peers.check_silence()

    def _any_node(self) -> tuple[str, int]:
        known = [
            (record.address, record.peer_port)
            for record in self.view.members.active()
        ]
        return random.choice(known or self.seeds)

    async def _pull_from(self, host: str, port: int) -> None:
        pull = messages.Pull(0, self.view.replica.revision)
        try:
            delta = await self.peers.exchange(host, port, pull, PULL_TIMEOUT_S)
        except frames.PeerError:
            await asyncio.sleep(SILENCE_CHECK_S)
            return
        if not isinstance(delta, messages.Delta):
            return
        change = self.view.apply_delta(delta)
        self.in_force.on_change(change.keys, self.view.replica)
        if change.keys:
            self.router.on_table_advanced()


async def connect(seeds: list[str], zone: str = "") -> Client:
    """Makes a client that has the owner table.

    Args:
      seeds: host:port of some nodes' peer ports.
      zone: the caller's availability zone; nodes in it are preferred for
        services that are not divided by key.

    Raises:
      errors.AuburnrockError: no seed answered.
    """
    pairs = []
    for seed in seeds:
        host, _, port = seed.rpartition(":")
        pairs.append((host, int(port)))
    client = Client(pairs, zone)
    await client.start()
    return client
