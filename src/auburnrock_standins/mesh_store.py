"""Stand-in of the users' store: items, watches, conditional changes.

Its switches bring about what the real one may do: be down, turn addresses
away, lose answers after the change, or forget its history.
"""

import asyncio
import base64

from aiohttp import web
import msgspec

from auburnrock_standins import serving


class Switches(msgspec.Struct):
    """Failures to bring about.

    Attributes:
      down: calls hang.
      busy: calls are turned away with 503.
      refused: addresses whose calls are turned away with 503.
      lose_changes: so many changes are made and not answered.
      delay_s: time that an answer takes.
    """

    down: bool = False
    busy: bool = False
    refused: list[str] = []
    lose_changes: int = 0
    delay_s: float = 0.0


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
    """

    def __init__(self):
        self.revision = 1
        self.items: dict[str, tuple[str, int]] = {}
        self.history: list[dict] = []
        self.forgotten = 0
        self.switches = Switches()
        self.calls: dict[str, int] = {}
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> int:
        """Writes an item, as the operator does."""
        return self.apply([(key, base64.b64encode(value).decode())], [])

    def value(self, key: str) -> bytes | None:
        """Reads an item."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item[0])

    def forget_history(self) -> None:
        """Drops the history and cuts the watches."""
        self.forgotten = self.revision
        self.history.clear()
        self.wake()

    def apply(self, puts: list[tuple[str, str]], removes: list[str]) -> int:
        """Makes changes under one new revision."""
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
        if self.switches.busy or request.remote in self.switches.refused:
            return web.Response(status=503)
        return None

    async def key(self, request: web.Request) -> web.Response:
        """Answers kv-key."""
        refusal = await self.admit(request)
        if refusal is not None:
            return refusal
        key = request.query["key"]
        if key not in self.items:
            return web.Response(status=404)
        shown = self.shown(key) | {"store_revision": self.revision}
        return answer(shown)

    async def range(self, request: web.Request) -> web.Response:
        """Answers kv-range, two items a page so that pages are met."""
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
                "items": [self.shown(key) for key in keys[:2]],
                "more_pages": len(keys) > 2,
                "store_revision": self.revision,
            }
        )

    async def watch(self, request: web.Request) -> web.Response:
        """Answers kv-watch."""
        refusal = await self.admit(request)
        if refusal is not None:
            return refusal
        prefix = request.query["path_prefix"]
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query["wait_ms"]) / 1_000
        while True:
            if after < self.forgotten:
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

    async def change(self, request: web.Request) -> web.Response:
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
        application.add_routes(
            [
                web.get("/auburnrock/kv-key", self.key),
                web.get("/auburnrock/kv-range", self.range),
                web.get("/auburnrock/kv-watch", self.watch),
                web.post("/auburnrock/kv-txn", self.change),
                web.post(serving.SWITCHES_PATH, self.switch),
                web.put("/operator", self.write),
            ]
        )
        return application


async def start(address: str = "127.0.0.1", port: int = 0) -> tuple:
    """Begins to serve; returns the store and its runner."""
    store = MeshStore()
    return store, await serving.start(store.application(), address, port)
