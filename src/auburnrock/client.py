"""A client that caches the owner table and sends requests to the owners.

It uses the protocol between the nodes, so that its requests take one hop less
than requests that enter over HTTP at an arbitrary node.
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

REFRESH_INTERVAL_S = 1.0
"""Mean interval between pulls of changes of the owner table, in seconds."""

PULL_TIMEOUT_S = 1.0
"""Time within which a node must answer a pull, in seconds."""

SILENCE_CHECK_INTERVAL_S = 0.1
"""Interval between checks for silent connections, in seconds.

It is also the delay after a failed pull.
"""

CONNECT_TIMEOUT_S = 10.0
"""Time within which some seed must supply a configuration, in seconds."""


class Answer(msgspec.Struct, frozen=True):
    """The complete answer of a target.

    Attributes:
      status: HTTP status code.
      headers: header names and values.
      body: complete response body.
      owner: incarnation of the node whose target executed the request.
      epoch: epoch of the shard at which the request was executed; 0 without
        a key.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    owner: int
    epoch: int


class Call(msgspec.Struct, kw_only=True):
    """A request to a service.

    Attributes:
      service: name of the service.
      method: HTTP method.
      path: path below the service's name, with its query.
      key: the request's key; empty for a service that is not divided by key.
      body: complete request body.
      headers: header names and values to forward to the target.
      idempotency_key: UUIDv7 of work that must be executed at most once; the
        client generates one if the route needs it and it is empty.
      deadline_ms: time until the request's deadline, in milliseconds; 0 for
        the service's `timeout_ms`.
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
    """Sends requests to the owners of their keys.

    Attributes:
      seeds: hosts and peer ports of the nodes that are contacted while no
        node record is known.
      view: the owner table and the nodes' records.
      in_force: the newest configuration received.
      peers: connections to the nodes.
      router: chooses the node of each request and sends it.
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
        """Fetches the owner table and begins to refresh it.

        Raises:
          errors.AuburnrockError: no seed supplied a configuration within
            CONNECT_TIMEOUT_S.
        """
        deadline_s = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S
        while self.in_force.configuration is None:
            await self._pull_from(*self._random_node())
            if asyncio.get_running_loop().time() > deadline_s:
                raise errors.AuburnrockError(
                    errors.ErrorKind.PEER_UNREACHABLE,
                    f"none of {self.seeds} supplied a configuration within"
                    f" {CONNECT_TIMEOUT_S:.0f} s; check the seeds",
                )
        self._tasks = [
            asyncio.create_task(self._refresh_periodically()),
            asyncio.create_task(self._check_silence_periodically()),
        ]

    async def close(self) -> None:
        """Stops the refresh and closes the connections."""
        for task in self._tasks:
            task.cancel()
        self.peers.close()

    async def call(self, call: Call) -> result.Result[Answer, errors.Failure]:
        """Sends one request and returns its answer or its failure.

        The kind of the failure states whether the request was executed.
        """
        request = self._build_request(call)
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
        """Pulls the changes from a node whose replica is newer."""
        if watermark <= self.view.replica.revision:
            return
        if self._pull is None or self._pull.done():
            self._pull = asyncio.create_task(self._pull_from(host, port))

    def on_frame(
        self, connection: frames.FrameConnection, frame: messages.Frame
    ) -> None:
        """Ignores all frames: nodes send a client only answers."""

    def on_garbage(self, reason: str) -> None:
        """Ignores garbage, because the caller ends its connection."""

    def _build_request(self, call: Call) -> messages.Request | errors.Failure:
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
        idempotency_key = call.idempotency_key
        if not idempotent and not idempotency_key:
            idempotency_key = str(uuid_utils.uuid7())
        routing_key = keys.routing_key(
            settings, call.key, "" if idempotent else idempotency_key
        )
        shard = (
            keys.shard_of(settings, routing_key)
            if routing_key
            else keys.NO_SHARD
        )
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
            idempotency_key=idempotency_key,
            caller="",
            first_try=not call.idempotency_key,
        )

    async def _refresh_periodically(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S * (0.5 + random.random()))
            await self._pull_from(*self._random_node())

    async def _check_silence_periodically(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            self.peers.check_silence()

    def _random_node(self) -> tuple[str, int]:
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
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            return
        if not isinstance(delta, messages.Delta):
            return
        change = self.view.apply_delta(delta)
        self.in_force.on_change(change.keys, self.view.replica)
        if change.keys:
            self.router.on_table_advanced()


async def connect(seeds: list[str], zone: str = "") -> Client:
    """Creates a client and fetches its owner table.

    Args:
      seeds: host:port of the peer ports of some nodes.
      zone: the caller's availability zone, whose nodes are preferred for
        services that are not divided by key.

    Raises:
      errors.AuburnrockError: no seed supplied a configuration within
        CONNECT_TIMEOUT_S.
    """
    pairs = []
    for seed in seeds:
        host, _, port = seed.rpartition(":")
        pairs.append((host, int(port)))
    client = Client(pairs, zone)
    await client.start()
    return client
