"""The store of a fleet in virtual time: the stand-in, and the way to it.

Calls may be lost, come late or have no answer.
"""

import asyncio
from collections.abc import Callable
import urllib.parse

from auburnrock.platform import names as platform_names
from auburnrock.shells.mesh import http_client
from auburnrock_standins import mesh_store


class Request:
    """A request as the stand-in of the store sees it."""

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
        """Ends the connection."""
        self.is_cut = True

    async def read(self) -> bytes:
        """The body."""
        return self.body


class Connection:
    """A connection of a process to the store."""

    def __init__(self, world, process):
        self.world = world
        self.process = process
        self.on_progress: Callable[[], None]

    def exchange(self, data: bytes, accepts: Callable) -> asyncio.Future:
        """Sends a request."""
        del accepts
        answered = self.world.loop.create_future()
        request = Request(self.process.name, data)
        self.world.store_network.ask(self.process, request, answered)
        return answered

    def abort(self) -> None:
        """Nothing is kept of it."""


class FakeHttpClient:
    """Connections of a process to the store."""

    def __init__(self, world, process):
        self.world = world
        self.process = process

    async def acquire(self, idle_max_ms: float) -> Connection:
        """Makes a connection.

        Raises:
          ConnectError: the process is cut off.
        """
        del idle_max_ms
        if not self.world.reaches_store(self.process.name):
            await asyncio.sleep(http_client.CONNECT_TIMEOUT_S)
            raise http_client.ConnectError("cut off", False)
        return Connection(self.world, self.process)

    def release(self, connection: Connection) -> None:
        """Nothing is kept of it."""

    def close(self) -> None:
        """There is none."""


class StoreNetwork:
    """Carries the calls of all processes to the store.

    Attributes:
      world: what it is in.
      store: the stand-in.
    """

    def __init__(self, world):
        self.world = world
        self.store = mesh_store.MeshStore(world.loop.time)

    def ask(self, process, request: Request, answered) -> None:
        """Carries a call to the store: it may be lost, or come late."""
        chance = process.rng
        kind = 1.0 if self.world.is_calm else chance.random()
        delay_s = chance.uniform(0.001, 0.006)
        if kind < 0.01:
            return
        if kind < 0.01 + self.world.late:
            delay_s = chance.uniform(0.1, 7.0)
        self.world.later(delay_s, self.take, process, request, answered)

    def take(self, process, request: Request, answered) -> None:
        """A call arrives at the store."""
        self.world.loop.create_task(
            self.carry_out(process, request, answered),
            context=self.world.context,
        )

    async def carry_out(self, process, request: Request, answered) -> None:
        """The store carries out a call."""
        handlers = {
            "/auburnrock/kv-key": self.store.handle_read,
            "/auburnrock/kv-range": self.store.handle_range,
            "/auburnrock/kv-watch": self.store.handle_watch,
            "/auburnrock/kv-txn": self.store.handle_transaction,
        }
        response = await handlers[request.path](request)
        await self.store.add_era_header(request, response)
        chance = process.rng
        is_lost = not self.world.is_calm and chance.random() < 0.02
        if is_lost or not self.world.reaches_store(process.name):
            # The answer is lost.
            return
        era = response.headers.get(mesh_store.ERA_HEADER, "")
        answer = http_client.Response(
            response.status,
            [(platform_names.ERA, era.encode())],
            bytes(response.body or b""),
        )
        self.world.loop.call_later(
            chance.uniform(0.001, 0.004),
            take_answer,
            *(answered, None if request.is_cut else answer),
            context=process.context,
        )

    def restore(self, age_s: float, away_s: float) -> None:
        """Lets the store be away, and come back from a copy."""
        if self.store.is_unavailable:
            return
        self.world.note("restore", age_s=age_s, away_s=away_s)
        self.store.is_unavailable = True
        self.store.wake()

        def come_back() -> None:
            self.store.restore(age_s + away_s)
            self.store.is_unavailable = False

        self.world.later(away_s, come_back)


def take_answer(answered: asyncio.Future, answer) -> None:
    """An answer of the store arrives; None is the end of its connection."""
    if answered.done():
        return
    if answer is None:
        answered.set_exception(http_client.ConnectionBrokenError("cut"))
    else:
        answered.set_result(answer)
