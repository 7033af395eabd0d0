"""Stand-in of the platform's store."""

import asyncio
import base64
import urllib.parse

import msgspec

from review.fleet3 import http1


class Store:
    """A store in memory with its whole history.

    Attributes:
      revision: revision of the latest change.
      items: value in base64 and revision, by key.
      history: events of all changes, oldest first.
      changed: set and replaced at each change.
    """

    def __init__(self):
        self.revision = 1
        self.items: dict[str, tuple[str, int]] = {}
        self.history: list[dict] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listens at an address."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def put(self, key: str, value: bytes) -> int:
        """Writes an item as the operator does; returns the revision."""
        return self.apply([(key, base64.b64encode(value).decode())], [])

    def apply(self, puts: list[tuple[str, str]], removes: list[str]) -> int:
        """Makes changes under one new revision, which it returns."""
        self.revision += 1
        for key, value in puts:
            self.items[key] = (value, self.revision)
            self.history.append(self.encoded(key))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "rev": self.revision, "tombstone": True}
                )
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def encoded(self, key: str) -> dict:
        """Returns an item as responses show it."""
        value, revision = self.items[key]
        return {
            "key": key,
            "value": value,
            "rev": revision,
            "created_rev": revision,
            "lease": 0,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the calls of one connection."""
        try:
            while True:
                request = await http1.read(reader)
                status, answer = await self.answer(request)
                headers = {"Content-Type": "application/msgpack"}
                body = msgspec.msgpack.encode(answer)
                writer.write(
                    http1.encode(f"HTTP/1.1 {status} S", headers, body)
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError):
            # The stand-in ends with its event loop.
            pass
        finally:
            writer.close()

    async def answer(self, request: http1.Message) -> tuple[int, dict]:
        """Returns the status and the body of the answer to a call."""
        parts = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/auburnrock/kv-key":
            if query["key"] not in self.items:
                return 404, {}
            shown = self.encoded(query["key"])
            return 200, shown | {"store_revision": self.revision}
        if parts.path == "/auburnrock/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["path_prefix"])
                and key > query.get("after", "")
            )
            return 200, {
                "items": [self.encoded(key) for key in keys[:500]],
                "more_pages": len(keys) > 500,
                "store_revision": self.revision,
            }
        if parts.path == "/auburnrock/kv-watch":
            return await self.watch(query)
        if parts.path == "/auburnrock/kv-txn":
            return self.change(msgspec.msgpack.decode(request.body))
        return 400, {}

    async def watch(self, query: dict[str, str]) -> tuple[int, dict]:
        """Waits for changes under a prefix."""
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait_ms"]) / 1_000
        while True:
            changed = self.changed
            events = [
                event
                for event in self.history
                if event["rev"] > after
                and event["key"].startswith(query["path_prefix"])
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def change(self, message: dict) -> tuple[int, dict]:
        """Makes a conditional change, or shows what conflicts with it."""
        rows = message["expected_rev"]
        if any(
            self.items.get(row["key"], ("", 0))[1] != row["rev"] for row in rows
        ):
            shown = [
                self.encoded(row["key"])
                for row in rows
                if row["key"] in self.items
            ]
            return 412, {"items": shown}
        revision = self.apply(
            [(row["key"], row["value"]) for row in message["put_items"]],
            message["remove"],
        )
        return 200, {"rev": revision}
