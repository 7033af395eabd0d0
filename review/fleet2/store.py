"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import urllib.parse

import msgspec

from review.fleet2 import http

PAGE_ITEMS = 500


class Store:
    """A linearizable store that loses nothing it has acknowledged.

    Attributes:
      revision: the store's revision.
      items: value, last change, creation and lease, by key.
      history: events of all changes, oldest first.
      refused: addresses whose calls are refused with 503.
      is_down: whether calls get no answer.
    """

    def __init__(self):
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.changed = asyncio.Event()
        self.refused: set[str] = set()
        self.is_down = False
        self.server = http.Server(self.handle)

    async def start(self, host: str, port: int) -> None:
        """Starts to accept connections."""
        await self.server.start(host, port)

    def put(self, key: str, value: bytes) -> int:
        """Writes a key as the operator does."""
        return self._apply(
            [{"key": key, "value": base64.b64encode(value).decode()}], []
        )

    def _apply(self, puts: list[dict], removes: list[str]) -> int:
        self.revision += 1
        for row in puts:
            known = self.items.get(row["key"])
            item = {
                "key": row["key"],
                "value": row["value"],
                "rev": self.revision,
                "created_rev": known["created_rev"] if known else self.revision,
                "lease": row.get("lease", 0),
            }
            self.items[row["key"]] = item
            self.history.append(item)
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "rev": self.revision, "tombstone": True}
                )
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def handle(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Handles one call."""
        if self.is_down:
            await asyncio.sleep(3_600)
        if writer.get_extra_info("peername")[0] in self.refused:
            http.answer(writer, 503)
            return True
        path, _, text = request.first[1].partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        call = path.rpartition("/")[2]
        if call == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                self._answer(writer, {"store_revision": self.revision}, 404)
            else:
                self._answer(writer, item | {"store_revision": self.revision})
        elif call == "kv-range":
            self._range(query, writer)
        elif call == "kv-watch":
            await self._watch(query, writer)
        elif call == "kv-txn":
            self._change(msgspec.msgpack.decode(request.body), writer)
        else:
            http.answer(writer, 404)
        return True

    def _answer(
        self, writer: asyncio.StreamWriter, message: dict, status: int = 200
    ) -> None:
        http.answer(
            writer,
            status,
            {"Content-Type": "application/msgpack"},
            msgspec.msgpack.encode(message),
        )

    def _range(self, query: dict, writer: asyncio.StreamWriter) -> None:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["path_prefix"])
            and key > query.get("after", "")
        )
        self._answer(
            writer,
            {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "more_pages": len(keys) > PAGE_ITEMS,
                "store_revision": self.revision,
            },
        )

    async def _watch(self, query: dict, writer: asyncio.StreamWriter) -> None:
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
            if events or left_s <= 0 or writer.is_closing():
                message = {"events": events, "store_revision": self.revision}
                self._answer(writer, message)
                return
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _change(self, message: dict, writer: asyncio.StreamWriter) -> None:
        rows = message["expected_rev"]
        for row in rows:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                shown = [
                    self.items[each["key"]]
                    for each in rows
                    if each["key"] in self.items
                ]
                self._answer(writer, {"items": shown}, 412)
                return
        revision = self._apply(message["put_items"], message["remove"])
        self._answer(writer, {"rev": revision})
