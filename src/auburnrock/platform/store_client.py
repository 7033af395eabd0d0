"""HTTP client of the platform's store."""

import asyncio
import base64
from collections.abc import Callable
import urllib.parse

import msgspec

from auburnrock.engine.mesh import coordination_store
from auburnrock.platform import codec
from auburnrock.platform import names
from auburnrock.shells.mesh import http_client

CALL_TIMEOUT_S = 1.2
"""Timeout of a call, and of each pause within its response. The store responds
in 4 ms; a call that takes this long has lost its connection."""

CALL_MAX_S = 6.0
"""Limit of a whole call while parts of its response arrive; longer than
CALL_TIMEOUT_S, as a configuration of 1,300 routes is 260 KB and callers may
saturate the link."""

WATCH_MARGIN_S = 1.0
"""Timeout of a watch after the end of its wait time, at which the store always
responds; a later watch has lost its connection."""

CHANGE_MAX = 32
"""Maximum number of entries in one transaction."""

ERA_DIGITS = 18
"""Maximum number of digits of an era; a longer value is rejected as invalid."""


class _Item(msgspec.Struct):
    key: str
    rev: int
    # Base64; absent if the key was removed.
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


CALL_KINDS = ("read", "list", "stale_list", "watch", "change")


class _Expected(msgspec.Struct):
    key: str
    # 0 requires that the key does not exist.
    rev: int


class _Put(msgspec.Struct):
    key: str
    value: str
    # 0 keeps the item until it is removed.
    lease: int = 0


class _Change(msgspec.Struct):
    expected_rev: list[_Expected]
    put_items: list[_Put]
    remove: list[str]


class _Changed(msgspec.Struct):
    rev: int


class _Conflict(msgspec.Struct):
    items: list[_Item]


class StoreClient(coordination_store.CoordinationStore):
    """Client of the store over HTTP.

    The store may be restored between the response on which a transaction is
    based and the transaction itself, and no call detects that. Therefore the
    first transaction of each process in an era also writes the marker of that
    era, and every transaction is conditional on the absence of the marker of
    the next era: it fails once any transaction was made in the next era.

    Attributes:
      call_count: number of calls, for the metrics; refused ones count.
      calls_by_kind: number of calls of each kind in CALL_KINDS, for the log.
      server_sends_era: whether a response has named the store's era.
      marked_era: the latest era whose marker is known to exist; -1 before.
    """

    def __init__(
        self,
        address: str,
        now_ms: Callable[[], float],
        budget: http_client.Budget | None = None,
    ):
        self.address = address
        self.client = http_client.ConnectionPool(
            # Callers' messages must not cost the node its leases.
            address,
            now_ms,
            budget,
            droppable=False,
        )
        self.now_ms = now_ms
        self.call_count = 0
        self.calls_by_kind = dict.fromkeys(CALL_KINDS, 0)
        self.answered_ms = 0.0
        self.answered_call_sent_ms = 0.0
        self.era = 0
        self.server_sends_era = False
        self.marked_era = -1
        self.on_era: Callable[[int], None] = lambda era: None

    async def read(self, key: str) -> coordination_store.Item | None:
        """Reads the item of one key; returns None if it does not exist."""
        query = urllib.parse.urlencode({"key": key})
        answer = await self._get(f"/auburnrock/kv-key?{query}", "read")
        if answer.status == 404:
            return None
        return _item(self._decode(_Read, answer, 200), self.era)

    async def list_all(
        self, prefix: str, stale: bool = False
    ) -> coordination_store.Listing:
        """Reads all pages of the items under a prefix.

        Raises:
          StoreUnavailableError: no usable response, or the store was restored
            between two pages.
        """
        items: list[coordination_store.Item] = []
        revision = 0
        after = ""
        era = None
        while True:
            query = {"path_prefix": prefix}
            if stale:
                query["allow_stale"] = "1"
            if after:
                query["after"] = after
            text = urllib.parse.urlencode(query)
            kind = "stale_list" if stale else "list"
            answer = await self._get(f"/auburnrock/kv-range?{text}", kind)
            page = self._decode(_Range, answer, 200)
            if era is not None and era != self.era:
                raise coordination_store.StoreUnavailableError(
                    f"restored between two pages, in era {self.era}"
                )
            era = self.era
            items += self._items(page.items)
            # Pages are no snapshot. A watch that begins at the revision of the
            # first page also returns what changed after it.
            revision = revision or coordination_store.revision_of(
                era, page.store_revision
            )
            if not page.more_pages or not page.items:
                return coordination_store.Listing(items, revision)
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> coordination_store.Changes:
        """Waits for changes under a prefix after a revision.

        Raises:
          HistoryLostError: the store no longer has the changes since then, or
            was restored.
          StoreUnavailableError: no usable response.
        """
        era = coordination_store.era_of(after)
        if era != self.era:
            raise coordination_store.HistoryLostError(
                f"revision of era {era}, now {self.era}"
            )
        query = urllib.parse.urlencode(
            {
                "path_prefix": prefix,
                "after": coordination_store.number_of(after),
                "wait_ms": wait_ms,
            }
        )
        answer = await self._get(
            f"/auburnrock/kv-watch?{query}", "watch", wait_ms / 1_000
        )
        if answer.status == 410 or era != self.era:
            raise coordination_store.HistoryLostError(
                "the store no longer has the changes since that revision"
            )
        changes = self._decode(_Watch, answer, 200)
        return coordination_store.Changes(
            self._items(changes.events),
            coordination_store.revision_of(era, changes.store_revision),
        )

    async def compare_and_swap(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removes: list[str],
    ) -> int | coordination_store.Conflict:
        """Makes one conditional transaction.

        Raises:
          StaleEraError: a revision in `expected` is of an earlier era, or
            transactions were already made in the next era.
          StoreOutcomeUnknownError: the transaction may have been made.
          StoreUnavailableError: the transaction was not made.
        """
        # Revision 0 stands for an absent key, in any era.
        eras = {
            coordination_store.era_of(rev) for rev in expected.values() if rev
        }
        if eras and min(eras) < self.era:
            raise coordination_store.StaleEraError(
                f"based on era {min(eras)}, now {self.era}"
            )
        message = _Change(
            [
                _Expected(key, coordination_store.number_of(revision))
                for key, revision in expected.items()
            ],
            [
                _Put(key, base64.b64encode(value).decode())
                for key, value in puts.items()
            ],
            removes,
        )
        if self.server_sends_era:
            next_marker = f"{names.ERA_PREFIX}{self.era + 1}"
            message.expected_rev.append(_Expected(next_marker, 0))
            if self.marked_era < self.era:
                own_marker = f"{names.ERA_PREFIX}{self.era}"
                message.put_items.append(_Put(own_marker, ""))
        began_era = self.era
        self.calls_by_kind["change"] += 1
        answer = await self._exchange(
            b"POST", "/auburnrock/kv-txn", codec.encode(message), CALL_TIMEOUT_S
        )
        if answer.status == 412:
            conflict = self._decode(_Conflict, answer, 412)
            if any(_is_era_marker(item) for item in conflict.items):
                raise coordination_store.StaleEraError(
                    f"transactions were already made in era {began_era + 1}"
                )
            return coordination_store.Conflict(
                [_item(item, self.era) for item in conflict.items]
            )
        number = self._decode(_Changed, answer, 200).rev
        if eras and eras != {self.era}:
            raise coordination_store.StoreOutcomeUnknownError(
                f"based on era {min(eras)}, made in {self.era}"
            )
        if self.era == began_era and self.server_sends_era:
            self.marked_era = self.era
        return coordination_store.revision_of(self.era, number)

    def close(self) -> None:
        """Closes the idle connections."""
        self.client.close()

    async def _get(
        self, path: str, kind: str, wait_s: float = 0.0
    ) -> http_client.Response:
        """Sends a read, whose response may be delayed by `wait_s`."""
        self.calls_by_kind[kind] += 1
        timeout_s = wait_s + WATCH_MARGIN_S if wait_s else CALL_TIMEOUT_S
        try:
            return await self._exchange(b"GET", path, b"", timeout_s)
        except coordination_store.StoreOutcomeUnknownError as error:
            raise coordination_store.StoreUnavailableError(
                str(error)
            ) from error

    async def _exchange(
        self, method: bytes, path: str, body: bytes, timeout_s: float
    ) -> http_client.Response:
        self.call_count += 1
        sent_ms = self.now_ms()
        try:
            connection = await self.client.acquire(http_client.IDLE_DEFAULT_MS)
        except http_client.ConnectError as error:
            raise coordination_store.StoreUnavailableError(
                str(error)
            ) from error
        headers = [(b"host", self.address.encode()), *codec.BODY_HEADERS]
        data = http_client.encode_request(method, path.encode(), headers, body)
        try:
            async with asyncio.timeout(timeout_s) as limit:
                connection.on_progress = _timeout_extender(limit, timeout_s)
                answer = await connection.exchange(data, lambda _: True)
        except (http_client.ConnectionBrokenError, TimeoutError) as error:
            connection.abort()
            reason = str(error) or "no response in time"
            raise coordination_store.StoreOutcomeUnknownError(reason) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            connection.on_progress = http_client.ignore_progress
        self.client.release(connection)
        self._apply_era(answer)
        if answer.status in (429, 503, 403, 400):
            text = answer.body[:200].decode(errors="replace")
            raise coordination_store.StoreUnavailableError(
                f"refused with {answer.status}: {text}"
            )
        self.answered_ms = self.now_ms()
        self.answered_call_sent_ms = max(self.answered_call_sent_ms, sent_ms)
        return answer

    def _items(self, wire: list[_Item]) -> list[coordination_store.Item]:
        """Converts the items of a response in the current era.

        Markers of eras are left out.
        """
        own_marker = f"{names.ERA_PREFIX}{self.era}"
        if any(item.key == own_marker for item in wire):
            self.marked_era = self.era
        return [
            _item(item, self.era) for item in wire if not _is_era_marker(item)
        ]

    def observe_era(self, era: int) -> None:
        """Applies the era named by a response or a peer, if it is later."""
        if era > self.era:
            self.era = era
            self.on_era(era)

    def _apply_era(self, answer: http_client.Response) -> None:
        """Applies the era that a response names, if it names one.

        Raises:
          StoreOutcomeUnknownError: the response is of an earlier era, or its
            era is invalid.
        """
        text = answer.header(names.ERA)
        if text is None:
            return
        is_number = text.isdigit() and len(text) <= ERA_DIGITS
        era = int(text) if is_number else -1
        if not self.era <= era <= coordination_store.ERA_MAX:
            raise coordination_store.StoreOutcomeUnknownError(
                f"response of era {text!r}, expected {self.era} or later"
            )
        self.server_sends_era = True
        self.observe_era(era)

    def _decode(
        self, kind: type, answer: http_client.Response, status: int
    ) -> object:
        if answer.status != status:
            raise coordination_store.StoreOutcomeUnknownError(
                f"unexpected status {answer.status}"
            )
        try:
            return codec.decode(kind, answer.body)
        except codec.PlatformDecodeError as error:
            raise coordination_store.StoreOutcomeUnknownError(
                str(error)
            ) from error


def _timeout_extender(
    limit: asyncio.Timeout, timeout_s: float
) -> Callable[[], None]:
    """Returns a callback that extends a call's timeout per received part."""
    loop = asyncio.get_running_loop()
    last_s = loop.time() + timeout_s + CALL_MAX_S - CALL_TIMEOUT_S

    def extend() -> None:
        until_s = min(loop.time() + CALL_TIMEOUT_S, last_s)
        if until_s > limit.when() and not limit.expired():
            limit.reschedule(until_s)

    return extend


def _is_era_marker(wire: _Item) -> bool:
    return wire.key.startswith(names.ERA_PREFIX)


def _item(wire: _Item | _Read, era: int) -> coordination_store.Item:
    revision = coordination_store.revision_of(era, wire.rev)
    if wire.value is None:
        return coordination_store.Item(wire.key, None, revision)
    return coordination_store.Item(
        wire.key, base64.b64decode(wire.value), revision
    )
