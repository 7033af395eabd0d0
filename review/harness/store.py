"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import time
import urllib.parse

import msgspec

from harness import http1

PAGE_ITEMS = 500
"""Largest number of items of a page."""

STATES_MAX = 4_000
"""Number of the latest changes that a restore can undo."""


class Store:
    """A sound store: it answers every call at once and loses nothing.

    Attributes:
      items: value in base64 and revision, by key.
      events: all changes since the start, oldest first.
      revision: revision of the latest change.
      era: number of restores.
      away: whether connections end without an answer.
      refused: IP addresses whose calls get 503.
      loses: whether transactions are made and not answered.
      states: time, revision and items before each change, oldest first.
    """

    def __init__(self):
        self.items: dict[str, tuple[str, int]] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.era = 0
        self.away = False
        self.refused: set[str] = set()
        self.loses = False
        self.states: list[tuple[float, int, dict]] = []
        self.operator: list[tuple[float, str, bytes]] = []

    async def start(self, address: str) -> None:
        """Starts to serve calls."""
        self.server = await http1.serve(address, self._serve)

    def put(self, key: str, value: bytes) -> None:
        """Writes an item as the operator does."""
        self.operator.append((time.monotonic(), key, value))
        self._apply([(key, base64.b64encode(value).decode())], [])

    async def restore(self, age_s: float, away_s: float) -> None:
        """Goes away, and comes back from a copy that is `age_s` old."""
        self.away = True
        self._wake()
        await asyncio.sleep(away_s)
        copied_s = time.monotonic() - age_s
        while self.states and self.states[-1][0] > copied_s:
            _, self.revision, self.items = self.states.pop()
        self.events = [
            event for event in self.events if event["rev"] <= self.revision
        ]
        self.era += 1
        again = [each for each in self.operator if each[0] > copied_s]
        for _, key, value in again:
            self._apply([(key, base64.b64encode(value).decode())], [])
        self.away = False
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, puts: list[tuple[str, str]], removes: list[str]) -> None:
        self.states.append((time.monotonic(), self.revision, dict(self.items)))
        del self.states[:-STATES_MAX]
        self.revision += 1
        for key, value in puts:
            self.items[key] = (value, self.revision)
            self.events.append(self._shown(key))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    {"key": key, "rev": self.revision, "tombstone": True}
                )
        self._wake()

    def _shown(self, key: str) -> dict:
        value, revision = self.items[key]
        return {
            "key": key,
            "value": value,
            "rev": revision,
            "created_rev": revision,
            "lease": 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            message = await http1.read_message(reader)
            parts = urllib.parse.urlsplit(message.start[1])
            query = dict(urllib.parse.parse_qsl(parts.query))
            name = parts.path.rpartition("/")[2]
            if self.away:
                writer.transport.abort()
                return
            if writer.get_extra_info("peername")[0] in self.refused:
                writer.write(http1.encode_response(503, b"", self._era()))
                continue
            era = self.era
            status, answer = await self._answer(name, query, message.body)
            if self.away or era != self.era:
                writer.transport.abort()
                return
            if self.loses and name == "kv-txn":
                await asyncio.sleep(3600)
            writer.write(
                http1.encode_response(
                    status,
                    msgspec.msgpack.encode(answer),
                    {"Content-Type": "application/msgpack"} | self._era(),
                )
            )
            await writer.drain()

    def _era(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    async def _answer(
        self, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        if name == "kv-key":
            if query["key"] not in self.items:
                return 404, {"store_revision": self.revision}
            return 200, self._shown(query["key"]) | {
                "store_revision": self.revision
            }
        if name == "kv-range":
            after = query.get("after", "")
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["path_prefix"]) and key > after
            )
            return 200, {
                "items": [self._shown(key) for key in keys[:PAGE_ITEMS]],
                "more_pages": len(keys) > PAGE_ITEMS,
                "store_revision": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(query)
        return self._transaction(msgspec.msgpack.decode(body))

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait_ms"]) / 1_000
        if int(query["after"]) > self.revision:
            return 410, {}
        while not self.away:
            changed = self.changed
            events = [
                event
                for event in self.events
                if event["rev"] > int(query["after"])
                and event["key"].startswith(query["path_prefix"])
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return 200, {
                    "events": events,
                    "store_revision": self.revision,
                }
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue
        return 503, {}

    def _transaction(self, change: dict) -> tuple[int, dict]:
        rows = change["expected_rev"]
        for row in rows:
            if self.items.get(row["key"], ("", 0))[1] != row["rev"]:
                shown = [
                    self._shown(each["key"])
                    for each in rows
                    if each["key"] in self.items
                ]
                return 412, {"items": shown}
        self._apply(
            [(row["key"], row["value"]) for row in change["put_items"]],
            change["remove"],
        )
        return 200, {"rev": self.revision}
