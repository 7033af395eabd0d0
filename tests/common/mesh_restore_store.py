"""The store of a fleet in virtual time: the stand-in and the network to it.

Calls may be lost or delayed, and responses may be lost.
"""

import asyncio
from collections.abc import Callable
import urllib.parse

from auburnrock.platform import names as platform_names
from auburnrock.shells.mesh import http_client
from auburnrock_standins import mesh_store


class Request:
    """A request in the form that the stand-in of the store expects."""

    def __init__(self, remote: str, data: bytes):
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.method, path = head.split(b" ", 2)[:2]
        url = urllib.parse.urlsplit(path.decode())
        self.path = url.path
        self.query = dict(urllib.parse.parse_qsl(url.query))
        self.remote = remote
        self.transport = self
        self.is_cut = False

    def abort(self) -> None:
        """Ends the connection without a response."""
        self.is_cut = True

    async def read(self) -> bytes:
        """Returns the body."""
        return self.body


class Connection:
    """A connection of a simulated node to the store."""

    def __init__(self, world, process):
        self.world = world
        self.process = process
        self.on_progress: Callable[[], None]

    def exchange(self, data: bytes, accepts: Callable) -> asyncio.Future:
        """Sends a request; the future receives the response."""
        del accepts
        response_future = self.world.loop.create_future()
        request = Request(self.process.name, data)
        self.world.store_network.send(self.process, request, response_future)
        return response_future

    def abort(self) -> None:
        """Has no effect: a connection has no state."""


class FakeHttpClient:
    """Connections of a simulated node to the store."""

    def __init__(self, world, process):
        self.world = world
        self.process = process

    async def acquire(self, idle_max_ms: float) -> Connection:
        """Opens a connection.

        Raises:
          ConnectError: the node cannot reach the store.
        """
        del idle_max_ms
        if not self.world.reaches_store(self.process.name):
            await asyncio.sleep(http_client.CONNECT_TIMEOUT_S)
            raise http_client.ConnectError("cut off", False)
        return Connection(self.world, self.process)

    def release(self, connection: Connection) -> None:
        """Has no effect: connections are not reused."""

    def close(self) -> None:
        """Has no effect: there are no idle connections."""


class StoreNetwork:
    """Delivers the calls of all simulated nodes to the store.

    Attributes:
      world: the simulation.
      store: the stand-in of the store.
    """

    def __init__(self, world):
        self.world = world
        self.store = mesh_store.MeshStore(world.loop.time)

    def send(self, process, request: Request, response_future) -> None:
        """Sends a call to the store; it may be lost or delayed."""
        rng = process.rng
        kind = 1.0 if self.world.is_calm else rng.random()
        delay_s = rng.uniform(0.001, 0.006)
        if kind < 0.01:
            return
        if kind < 0.01 + self.world.late:
            delay_s = rng.uniform(0.1, 7.0)
        self.world.later(
            delay_s, self.deliver, process, request, response_future
        )

    def deliver(self, process, request: Request, response_future) -> None:
        """Starts the handling of a call that has arrived at the store."""
        self.world.loop.create_task(
            self.handle(process, request, response_future),
            context=self.world.context,
        )

    async def handle(self, process, request: Request, response_future) -> None:
        """Handles a call and sends its response, which may be lost."""
        handlers = {
            "/auburnrock/kv-key": self.store.handle_read,
            "/auburnrock/kv-range": self.store.handle_range,
            "/auburnrock/kv-watch": self.store.handle_watch,
            "/auburnrock/kv-txn": self.store.handle_transaction,
        }
        response = await handlers[request.path](request)
        await self.store.add_era_header(request, response)
        rng = process.rng
        is_lost = not self.world.is_calm and rng.random() < 0.02
        if is_lost or not self.world.reaches_store(process.name):
            # The response is lost.
            return
        era = response.headers.get(mesh_store.ERA_HEADER, "")
        answer = http_client.Response(
            response.status,
            [(platform_names.ERA, era.encode())],
            bytes(response.body or b""),
        )
        self.world.loop.call_later(
            rng.uniform(0.001, 0.004),
            deliver_response,
            *(response_future, None if request.is_cut else answer),
            context=process.context,
        )

    def restore(self, age_s: float, away_s: float) -> None:
        """Makes the store unavailable, then restores it from a copy.

        Args:
          age_s: age of the copy when the outage begins.
          away_s: duration of the outage.
        """
        if self.store.is_unavailable:
            return
        self.world.note("restore", age_s=age_s, away_s=away_s)
        self.store.is_unavailable = True
        self.store.wake()

        def end_outage() -> None:
            self.store.restore(age_s + away_s)
            self.store.is_unavailable = False

        self.world.later(away_s, end_outage)


def deliver_response(response_future: asyncio.Future, answer) -> None:
    """Delivers a response of the store; None is the end of its connection."""
    if response_future.done():
        return
    if answer is None:
        response_future.set_exception(http_client.ConnectionBrokenError("cut"))
    else:
        response_future.set_result(answer)
