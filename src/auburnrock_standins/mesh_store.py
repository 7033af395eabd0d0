"""Stand-in of the platform's store: items, watches, conditional transactions.

Its switches inject failures of the real store: an outage, refused addresses,
responses lost after a transaction, or a compacted history. It can also be
restored from a copy that is some seconds old.
"""

import asyncio
import base64
import collections
from collections.abc import Callable
import time

from aiohttp import web
import msgspec

from auburnrock_standins import serving

ERA_HEADER = "Store-Era"
"""Response header with the era, also in errors."""

OUTSIDE_PREFIXES = ("op/", "servers/")
"""Prefixes of the keys of the operator and of upstreams, which repeat their
writes if a restore has lost them."""

FIRST_ERA = 0
"""Era of a store that was never restored."""

WRITES_KEPT = 65_536
"""Maximum number of the latest writes that a restore can undo."""


class Switches(msgspec.Struct):
    """Failures that the store injects.

    Attributes:
      down: whether calls hang.
      busy: whether calls are refused with 503.
      refused: addresses whose calls are refused with 503.
      lose_changes: number of further transactions that are made without a
        response.
      delay_s: delay of each response.
      hides_era: whether responses omit the era.
    """

    down: bool = False
    busy: bool = False
    refused: list[str] = []
    lose_changes: int = 0
    delay_s: float = 0.0
    hides_era: bool = False


class Write(msgspec.Struct, frozen=True):
    """A write, with the data needed to undo it.

    Attributes:
      at_s: time of the write.
      revision: revision of the store before the write.
      key: the key that was written.
      value: new value of the key; None if it was removed.
      before: value and revision of the key before; None if it did not exist.
    """

    at_s: float
    revision: int
    key: str
    value: str | None
    before: tuple[str, int] | None


class TooOldError(Exception):
    """The store cannot be restored to a copy of the requested age."""


def answer(message: dict, status: int = 200) -> web.Response:
    """Returns a response with a MessagePack body."""
    return web.Response(
        body=msgspec.msgpack.encode(message),
        status=status,
        content_type="application/msgpack",
    )


class MeshStore:
    """A store in memory, with the whole history since the last compaction.

    Attributes:
      items: value and revision by key.
      history: events of all changes, oldest first.
      compacted_revision: the history has no changes up to this revision.
      switches: injected failures.
      calls: number of calls by path.
      era: number of restores, counted from FIRST_ERA.
      writes: the latest writes, oldest first.
      is_unavailable: whether connections are cut instead of a response.
      page_items: maximum number of items in a page; small, so that tests
        exercise paging.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic):
        self.revision = 1
        self.items: dict[str, tuple[str, int]] = {}
        self.history: list[dict] = []
        self.compacted_revision = 0
        self.switches = Switches()
        self.calls: dict[str, int] = {}
        self.now_s = now_s
        self.era = FIRST_ERA
        self.writes: collections.deque[Write] = collections.deque()
        self.is_unavailable = False
        self.page_items = 2
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> int:
        """Writes an item as the operator does; returns the revision."""
        return self.apply([(key, base64.b64encode(value).decode())], [])

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key; None if it does not exist."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item[0])

    def compact_history(self) -> None:
        """Drops the history, so that waiting watches end with 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        self.wake()

    def apply(self, puts: list[tuple[str, str]], removes: list[str]) -> int:
        """Makes changes under one new revision, which it returns."""
        for key, value in puts:
            self.record_write(key, value)
        for key in removes:
            if key in self.items:
                self.record_write(key, None)
        self.revision += 1
        for key, value in puts:
            self.items[key] = (value, self.revision)
            self.history.append(self.encoded_item(key))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "rev": self.revision, "tombstone": True}
                )
        self.wake()
        return self.revision

    def record_write(self, key: str, value: str | None) -> None:
        """Records the data needed to undo a write that is about to be made."""
        before = self.items.get(key)
        self.writes.append(
            Write(self.now_s(), self.revision, key, value, before)
        )
        if len(self.writes) > WRITES_KEPT:
            self.writes.popleft()

    def restore(self, age_s: float) -> None:
        """Restores the state of `age_s` ago and begins the next era.

        Later writes of the operator and of upstreams are then repeated in
        their order.

        Raises:
          TooOldError: the writes since then are no longer recorded.
        """
        copied_s = self.now_s() - age_s
        if len(self.writes) == WRITES_KEPT and self.writes[0].at_s > copied_s:
            raise TooOldError(
                f"no copy of {age_s} s ago: its later writes are not recorded"
            )
        undone: list[Write] = []
        while self.writes and self.writes[-1].at_s > copied_s:
            write = self.writes.pop()
            undone.append(write)
            self.revision = write.revision
            if write.before is None:
                self.items.pop(write.key, None)
            else:
                self.items[write.key] = write.before
        self.history = [
            event for event in self.history if event["rev"] <= self.revision
        ]
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.era += 1
        for write in reversed(undone):
            if not write.key.startswith(OUTSIDE_PREFIXES):
                continue
            if write.value is None:
                self.apply([], [write.key])
            else:
                self.apply([(write.key, write.value)], [])
        self.wake()

    async def run_restore_outage(self, age_s: float, away_s: float) -> None:
        """Makes the store unavailable for a while, then restores it."""
        self.is_unavailable = True
        self.wake()
        await asyncio.sleep(away_s)
        self.restore(age_s)
        self.is_unavailable = False

    async def add_era_header(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Adds the era to a response, unless a switch hides it."""
        del request
        if not self.switches.hides_era:
            response.headers[ERA_HEADER] = str(self.era)

    def wake(self) -> None:
        """Wakes all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def encoded_item(self, key: str) -> dict:
        """Returns an item as it is encoded in responses."""
        value, revision = self.items[key]
        return {
            "key": key,
            "value": value,
            "rev": revision,
            "created_rev": revision,
            "lease": 0,
        }

    async def admit(self, request: web.Request) -> web.Response | None:
        """Counts a call; returns the response of an injected failure."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.switches.down:
            await asyncio.sleep(60)
        if self.switches.delay_s:
            await asyncio.sleep(self.switches.delay_s)
        if self.is_unavailable:
            return self.cut(request)
        if self.switches.busy or request.remote in self.switches.refused:
            return web.Response(status=503)
        return None

    def cut(self, request: web.Request) -> web.Response:
        """Aborts the connection of a call without a response."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def handle_read(self, request: web.Request) -> web.Response:
        """Handles kv-key: reads one item."""
        refusal = await self.admit(request)
        if refusal is not None:
            return refusal
        key = request.query["key"]
        if key not in self.items:
            return web.Response(status=404)
        shown = self.encoded_item(key) | {"store_revision": self.revision}
        return answer(shown)

    async def handle_range(self, request: web.Request) -> web.Response:
        """Handles kv-range: reads a page of the items under a prefix."""
        refusal = await self.admit(request)
        if refusal is not None:
            return refusal
        prefix = request.query["path_prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return answer(
            {
                "items": [
                    self.encoded_item(key) for key in keys[: self.page_items]
                ],
                "more_pages": len(keys) > self.page_items,
                "store_revision": self.revision,
            }
        )

    async def handle_watch(self, request: web.Request) -> web.Response:
        """Handles kv-watch: waits for changes under a prefix."""
        refusal = await self.admit(request)
        if refusal is not None:
            return refusal
        prefix = request.query["path_prefix"]
        after = int(request.query["after"])
        era = self.era
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query["wait_ms"]) / 1_000
        while True:
            if self.is_unavailable or self.era != era:
                return self.cut(request)
            if after < self.compacted_revision or after > self.revision:
                return web.Response(status=410)
            changed = self.changed
            events = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - loop.time()
            if events or left_s <= 0:
                return answer(
                    {"events": events, "store_revision": self.revision}
                )
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def handle_transaction(self, request: web.Request) -> web.Response:
        """Handles kv-txn: makes a conditional transaction."""
        refusal = await self.admit(request)
        if refusal is not None:
            return refusal
        message = msgspec.msgpack.decode(await request.read())
        keys = [row["key"] for row in message["expected_rev"]]
        for row in message["expected_rev"]:
            known = self.items.get(row["key"], ("", 0))[1]
            if known != row["rev"]:
                shown = [
                    self.encoded_item(key) for key in keys if key in self.items
                ]
                return answer({"items": shown}, 412)
        revision = self.apply(
            [(row["key"], row["value"]) for row in message["put_items"]],
            message["remove"],
        )
        if self.switches.lose_changes > 0:
            self.switches.lose_changes -= 1
            request.transport.abort()
        return answer({"rev": revision})

    async def switch(self, request: web.Request) -> web.Response:
        """Handles a test's request, from another process, to set switches."""
        self.switches = await serving.read(request, Switches)
        return web.Response()

    async def write(self, request: web.Request) -> web.Response:
        """Handles an operator's write from another process."""
        revision = self.put(request.query["key"], await request.read())
        return answer({"rev": revision})

    def application(self) -> web.Application:
        """Builds the application with all routes of the store."""
        application = web.Application()
        application.on_response_prepare.append(self.add_era_header)
        application.add_routes(
            [
                web.get("/auburnrock/kv-key", self.handle_read),
                web.get("/auburnrock/kv-range", self.handle_range),
                web.get("/auburnrock/kv-watch", self.handle_watch),
                web.post("/auburnrock/kv-txn", self.handle_transaction),
                web.post(serving.SWITCHES_PATH, self.switch),
                web.put("/operator", self.write),
            ]
        )
        return application


async def start(address: str = "127.0.0.1", port: int = 0) -> tuple:
    """Starts a server; returns the store and the server's runner."""
    store = MeshStore()
    return store, await serving.start(store.application(), address, port)
