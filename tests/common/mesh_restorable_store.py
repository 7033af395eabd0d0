"""Builders for tests of a store that is restored from an older copy."""

import asyncio
from collections.abc import Callable
import contextlib

from auburnrock.engine.mesh import coordination_store
from auburnrock.platform import store_client as platform_store
from auburnrock.shells import clock as clocks
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import prefix_sync
from auburnrock_standins import forwarder
from auburnrock_standins import mesh_store
from auburnrock_standins import serving
from tests.common import mesh_fleet

PREFIX = "auburnrock/"
RECORD = "auburnrock/m/a"
OTHER_RECORD = "auburnrock/m/b"
TABLE = "auburnrock/k/portal"

LOG = event_log.event_log("test")


class Clock:
    """A clock that a test advances."""

    def __init__(self):
        self.now_s = 100.0

    def read(self) -> float:
        """Returns the time in seconds."""
        return self.now_s


class RestorableStore:
    """A stand-in of the store that can be restored from a copy.

    Attributes:
      store: the stand-in; its writes are timed by `clock`.
      clock: clock that only `copy` advances.
      address: host and port of the store's server.
    """

    def __init__(self):
        self.clock = Clock()
        self.store = mesh_store.MeshStore(self.clock.read)
        # The copy contains this first write, in all eras.
        self.store.put("op/config", b"7")
        self.address = ""
        self.clients: list[platform_store.StoreClient] = []
        self.syncs: list[prefix_sync.PrefixSync] = []

    def copy(self) -> None:
        """Makes a copy: the next restore loses all later writes."""
        self.clock.now_s += 10.0

    def restore(self) -> None:
        """Restores the store from the latest copy."""
        self.store.restore(5.0)

    def client(self) -> platform_store.StoreClient:
        """Returns a new client of the store."""
        made = platform_store.StoreClient(self.address, clocks.exact_ms)
        self.clients.append(made)
        return made

    def follower(self, wait_ms: int = 50) -> "StoreFollower":
        """Returns a node's view of the store, not started yet."""
        return StoreFollower(self, wait_ms)


class StoreFollower:
    """A node's view of the store, and the items that it has forwarded.

    Attributes:
      sync: the view, which follows the store as a reader.
      values: the store's values by key, as the node knows them.
      forwarded_items: items that the node has forwarded to neighbours.
    """

    def __init__(self, restored: RestorableStore, wait_ms: int):
        self.values: dict[str, bytes] = {}
        self.forwarded_items: list[coordination_store.Item] = []
        self.sync = prefix_sync.PrefixSync(
            restored.client(),
            PREFIX,
            wait_ms,
            0.0,
            LOG,
            clocks.exact_ms,
            self.apply_items,
            lambda: True,
            self.forwarded_items.extend,
        )
        # Otherwise it waits until it knows which nodes are readers.
        self.sync.startup_delay_begun = True
        restored.syncs.append(self.sync)

    def apply_items(
        self, items: list[coordination_store.Item], revision: int
    ) -> None:
        """Applies items as a node does."""
        del revision
        for item in items:
            if item.value is None:
                self.values.pop(item.key, None)
            else:
                self.values[item.key] = item.value

    async def call(self) -> None:
        """Makes the next call to the store, as the task of a node does."""
        try:
            await self.sync.sync_once()
        except coordination_store.HistoryLostError:
            self.sync.needs_listing = True

    async def calls(self, count: int) -> None:
        """Makes `count` calls, one after another."""
        for _ in range(count):
            await self.call()


@contextlib.asynccontextmanager
async def serve_store():
    """Yields a stand-in of the store that serves on loopback."""
    made = RestorableStore()
    runner = await serving.start(made.store.application(), "127.0.0.1", 0)
    host, port = runner.addresses[0][:2]
    made.address = f"{host}:{port}"
    yield made
    for client in made.clients:
        client.close()
    await runner.cleanup()


async def link_to_store(host: mesh_fleet.Host) -> forwarder.Link:
    """Routes a host that is not started yet to the store by its own link."""
    (port,) = mesh_fleet.free_ports("127.0.2.1", 1)
    pair = forwarder.Pair(
        forwarder.Address("127.0.2.1", port),
        forwarder.parse_address(host.fleet.store_address),
    )
    link = forwarder.Link(pair)
    # Link.start would also forward datagrams.
    link.server = await asyncio.start_server(link.accept, "127.0.2.1", port)
    host.store_address = f"127.0.2.1:{port}"
    return link


async def becomes_true(condition: Callable[[], bool], limit_s: float) -> bool:
    """Whether a condition becomes true within a limit."""
    try:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True
