"""Stand-in of the users' store: items, watches, conditional changes.

Its switches bring about what the real one may do: be down, turn addresses
away, lose answers after the change, or forget its history. It may also be
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
"""In every answer, errors too."""

OUTSIDE_PREFIXES = ("op/", "servers/")
"""Written by the operator and by upstreams, who write again what is lost."""

FIRST_ERA = 0
"""Of a store that was never restored."""

WRITES_KEPT = 65_536
"""Writes that a restore can undo."""


class Switches(msgspec.Struct):
    """Failures to bring about.

    Attributes:
      down: calls hang.
      busy: calls are turned away with 503.
      refused: addresses whose calls are turned away with 503.
      lose_changes: so many changes are made and not answered.
      delay_s: time that an answer takes.
      hides_era: answers do not name the era.
    """

    down: bool = False
    busy: bool = False
    refused: list[str] = []
    lose_changes: int = 0
    delay_s: float = 0.0
    hides_era: bool = False


class Write(msgspec.Struct, frozen=True):
    """A write, with what it takes to undo it.

    Attributes:
      at_s: when it was made.
      revision: of the store before it.
      key: what was written.
      value: its new value; None where it was removed.
      before: its value and revision before; None where there was none.
    """

    at_s: float
    revision: int
    key: str
    value: str | None
    before: tuple[str, int] | None


class TooOldError(Exception):
    """No copy of that age is kept."""


def answer(message: dict, status: int = 200) -> web.Response:
    """An answer with a body as the deployment asks for it."""
    return web.Response(
        body=msgspec.msgpack.encode(message),
        status=status,
        content_type="application/msgpack",
    )


class MeshStore:
    """Items in memory, with their whole history until it is forgotten.

    Attributes:
      items: value and revision by key.
      history: every change, oldest first.
      forgotten: changes up to this revision are no longer kept.
      switches: failures.
      calls: calls by path.
      era: rises by one with each restore.
      writes: the last writes, oldest first.
      is_unavailable: no call is answered, and waiting ones are cut.
      page_items: items of a page; few, so that pages are met.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic):
        self.revision = 1
        self.items: dict[str, tuple[str, int]] = {}
        self.history: list[dict] = []
        self.forgotten = 0
        self.switches = Switches()
        self.calls: dict[str, int] = {}
        self.now_s = now_s
        self.era = FIRST_ERA
        self.writes: collections.deque[Write] = collections.deque()
        self.is_unavailable = False
        self.page_items = 2
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> int:
        """Writes an item, as the operator does."""
        return self.apply([(key, base64.b64encode(value).decode())], [])

    def value(self, key: str) -> bytes | None:
        """Reads an item."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item[0])

    def compact_history(self) -> None:
        """Drops the history and cuts the watches."""
        self.forgotten = self.revision
        self.history.clear()
        self.wake()

    def apply(self, puts: list[tuple[str, str]], removes: list[str]) -> int:
        """Makes changes under one new revision."""
        for key, value in puts:
            self.note_write(key, value)
        for key in removes:
            if key in self.items:
                self.note_write(key, None)
        self.revision += 1
        for key, value in puts:
            self.items[key] = (value, self.revision)
            self.history.append(self.shown(key))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "rev": self.revision, "tombstone": True}
                )
        self.wake()
        return self.revision

    def note_write(self, key: str, value: str | None) -> None:
        """Keeps what it takes to undo a write that is about to be made."""
        before = self.items.get(key)
        self.writes.append(
            Write(self.now_s(), self.revision, key, value, before)
        )
        if len(self.writes) > WRITES_KEPT:
            self.writes.popleft()

    def restore(self, age_s: float) -> None:
        """Goes back to a copy of this age, in the next era.

        What the operator and the upstreams have written since is written
        again, in its order.

        Raises:
          TooOldError: the writes since are no longer kept.
        """
        copied_s = self.now_s() - age_s
        if len(self.writes) == WRITES_KEPT and self.writes[0].at_s > copied_s:
            raise TooOldError(f"no copy is {age_s} s old")
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
        self.forgotten = min(self.forgotten, self.revision)
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
        """Is away for a while and comes back restored."""
        self.is_unavailable = True
        self.wake()
        await asyncio.sleep(away_s)
        self.restore(age_s)
        self.is_unavailable = False

    async def add_era_header(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Names the era in an answer."""
        del request
        if not self.switches.hides_era:
            response.headers[ERA_HEADER] = str(self.era)

    def wake(self) -> None:
        """Tells the watches that something has happened."""
        self.changed.set()
        self.changed = asyncio.Event()

    def shown(self, key: str) -> dict:
        """An item as the wire shows it."""
        value, revision = self.items[key]
        return {
            "key": key,
            "value": value,
            "rev": revision,
            "created_rev": revision,
            "lease": 0,
        }

    async def admit(self, request: web.Request) -> web.Response | None:
        """An answer in place of the real one, if a switch asks for it."""
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
        """Ends a call's connection without an answer."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def handle_read(self, request: web.Request) -> web.Response:
        """Answers kv-key."""
        refusal = await self.admit(request)
        if refusal is not None:
            return refusal
        key = request.query["key"]
        if key not in self.items:
            return web.Response(status=404)
        shown = self.shown(key) | {"store_revision": self.revision}
        return answer(shown)

    async def handle_range(self, request: web.Request) -> web.Response:
        """Answers kv-range."""
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
                "items": [self.shown(key) for key in keys[: self.page_items]],
                "more_pages": len(keys) > self.page_items,
                "store_revision": self.revision,
            }
        )

    async def handle_watch(self, request: web.Request) -> web.Response:
        """Answers kv-watch."""
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
            if after < self.forgotten or after > self.revision:
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
        """Answers kv-txn."""
        refusal = await self.admit(request)
        if refusal is not None:
            return refusal
        message = msgspec.msgpack.decode(await request.read())
        keys = [row["key"] for row in message["expected_rev"]]
        for row in message["expected_rev"]:
            known = self.items.get(row["key"], ("", 0))[1]
            if known != row["rev"]:
                shown = [self.shown(key) for key in keys if key in self.items]
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
        """Takes switches from a test in another process."""
        self.switches = await serving.read(request, Switches)
        return web.Response()

    async def write(self, request: web.Request) -> web.Response:
        """Takes an item from an operator in another process."""
        revision = self.put(request.query["key"], await request.read())
        return answer({"rev": revision})

    def application(self) -> web.Application:
        """The server's routes."""
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
    """Begins to serve; returns the store and its runner."""
    store = MeshStore()
    return store, await serving.start(store.application(), address, port)
