"""Client of the platform's store."""

import asyncio
import base64
from collections.abc import Callable
import urllib.parse

import msgspec

from auburnrock.engine.mesh import coordination
from auburnrock.platform import forms
from auburnrock.shells.mesh import http_client

CALL_TIMEOUT_S = 1.2
"""The store answers in 4 ms; a call this late meets a lost connection."""

CALL_MAX_S = 6.0
"""The same for an answer that keeps coming: a configuration of 1,300 routes is
260 KB, and callers may fill the link."""

WATCH_MARGIN_S = 1.0
"""A watch answers at the end of its wait; later it meets a lost one."""

CHANGE_MAX = 32
"""Entries that one change may have."""


class _Item(msgspec.Struct):
    key: str
    rev: int
    # Base64; missing where the key was removed.
    value: str | None = None
    tombstone: bool = False


class _Read(msgspec.Struct):
    key: str
    value: str
    rev: int


class _Range(msgspec.Struct):
    items: list[_Item]
    more_pages: bool
    # Revision of the whole store, not of an item.
    store_revision: int


class _Watch(msgspec.Struct):
    events: list[_Item]
    store_revision: int


class _Expected(msgspec.Struct):
    key: str
    # 0: the key must not exist.
    rev: int


class _Put(msgspec.Struct):
    key: str
    value: str
    # 0: it stays until it is removed.
    lease: int = 0


class _Change(msgspec.Struct):
    expected_rev: list[_Expected]
    put_items: list[_Put]
    remove: list[str]


class _Changed(msgspec.Struct):
    rev: int


class _Conflict(msgspec.Struct):
    items: list[_Item]


class Store(coordination.Store):
    """The store over HTTP; counts its calls for the metrics."""

    def __init__(self, address: str, now_ms: Callable[[], float]):
        self.address = address
        self.client = http_client.Client(address, now_ms)
        self.now_ms = now_ms
        self.calls = 0
        self.answered_ms = 0.0

    async def read(self, key: str) -> coordination.Item | None:
        """Reads one key."""
        query = urllib.parse.urlencode({"key": key})
        answer = await self._ask(f"/auburnrock/kv-key?{query}")
        if answer.status == 404:
            return None
        return _item(self._decode(_Read, answer, 200))

    async def list_all(
        self, prefix: str, stale: bool = False
    ) -> coordination.Listing:
        """Reads all pages under a prefix."""
        items: list[coordination.Item] = []
        revision = 0
        after = ""
        while True:
            query = {"path_prefix": prefix}
            if stale:
                query["allow_stale"] = "1"
            if after:
                query["after"] = after
            text = urllib.parse.urlencode(query)
            answer = await self._ask(f"/auburnrock/kv-range?{text}")
            page = self._decode(_Range, answer, 200)
            items += map(_item, page.items)
            # Pages are no snapshot: what changed after the first page is
            # seen again by a watch that begins at its revision.
            revision = revision or page.store_revision
            if not page.more_pages or not page.items:
                return coordination.Listing(items, revision)
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> coordination.Changes:
        """Waits for changes; a dropped history raises HistoryLostError."""
        query = urllib.parse.urlencode(
            {"path_prefix": prefix, "after": after, "wait_ms": wait_ms}
        )
        answer = await self._ask(
            f"/auburnrock/kv-watch?{query}", wait_ms / 1_000
        )
        if answer.status == 410:
            raise coordination.HistoryLostError("the history is gone")
        changes = self._decode(_Watch, answer, 200)
        return coordination.Changes(
            [_item(item) for item in changes.events], changes.store_revision
        )

    async def change(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removes: list[str],
    ) -> int | coordination.Conflict:
        """Makes one conditional transaction."""
        message = _Change(
            [_Expected(key, revision) for key, revision in expected.items()],
            [
                _Put(key, base64.b64encode(value).decode())
                for key, value in puts.items()
            ],
            removes,
        )
        answer = await self._exchange(
            b"POST", "/auburnrock/kv-txn", forms.encode(message), CALL_TIMEOUT_S
        )
        if answer.status == 412:
            conflict = self._decode(_Conflict, answer, 412)
            return coordination.Conflict([_item(i) for i in conflict.items])
        return self._decode(_Changed, answer, 200).rev

    def close(self) -> None:
        """Ends the idle connections."""
        self.client.close()

    async def _ask(self, path: str, wait_s: float = 0.0) -> http_client.Answer:
        """A call without an effect, to which the answer may wait."""
        timeout_s = wait_s + WATCH_MARGIN_S if wait_s else CALL_TIMEOUT_S
        try:
            return await self._exchange(b"GET", path, b"", timeout_s)
        except coordination.StoreUnknownError as error:
            raise coordination.StoreUnavailableError(str(error)) from error

    async def _exchange(
        self, method: bytes, path: str, body: bytes, timeout_s: float
    ) -> http_client.Answer:
        self.calls += 1
        try:
            connection = await self.client.connect(http_client.IDLE_DEFAULT_MS)
        except http_client.RefusedError as error:
            raise coordination.StoreUnavailableError(str(error)) from error
        headers = [(b"host", self.address.encode()), *forms.BODY_HEADERS]
        data = http_client.encode_request(method, path.encode(), headers, body)
        try:
            async with asyncio.timeout(timeout_s) as limit:
                connection.on_part = _extension(limit, timeout_s)
                answer = await connection.exchange(data, lambda _: True)
        except (http_client.BrokenError, TimeoutError) as error:
            connection.abort()
            reason = str(error) or "no answer in time"
            raise coordination.StoreUnknownError(reason) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            connection.on_part = http_client.ignore_part
        self.client.give_back(connection)
        if answer.status in (429, 503, 403, 400):
            text = answer.body[:200].decode(errors="replace")
            raise coordination.StoreUnavailableError(
                f"refused with {answer.status}: {text}"
            )
        self.answered_ms = self.now_ms()
        return answer

    def _decode(
        self, kind: type, answer: http_client.Answer, status: int
    ) -> object:
        if answer.status != status:
            raise coordination.StoreUnknownError(f"status {answer.status}")
        try:
            return forms.decode(kind, answer.body)
        except forms.FormError as error:
            raise coordination.StoreUnknownError(str(error)) from error


def _extension(limit: asyncio.Timeout, timeout_s: float) -> Callable[[], None]:
    """What extends a call's time while parts of its answer come."""
    loop = asyncio.get_running_loop()
    last_s = loop.time() + timeout_s + CALL_MAX_S - CALL_TIMEOUT_S

    def extend() -> None:
        until_s = min(loop.time() + CALL_TIMEOUT_S, last_s)
        if until_s > limit.when() and not limit.expired():
            limit.reschedule(until_s)

    return extend


def _item(wire: _Item | _Read) -> coordination.Item:
    if wire.value is None:
        return coordination.Item(wire.key, None, wire.rev)
    return coordination.Item(wire.key, base64.b64decode(wire.value), wire.rev)
