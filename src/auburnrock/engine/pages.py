"""The decoded assignment pages of a replica."""

import collections

import msgspec

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import keys
from auburnrock.engine import replica as replica_lib


class ServiceShard(msgspec.Struct, frozen=True, order=True):
    """A shard of a service."""

    service: str
    shard: int


class Page(msgspec.Struct, frozen=True):
    """An assignment page with its store revision and an index by owner.

    Attributes:
      record: the page as decoded; never changed in place.
      revision: the store's revision of the page.
      by_owner: shards of each owner that the page names.
    """

    record: records.AssignmentPage
    revision: int
    by_owner: dict[int, list[int]]

    @property
    def key(self) -> str:
        """The store's key of the page."""
        return records.page_key(self.record.service, self.record.page)

    @property
    def first_shard(self) -> int:
        """Number of the first shard of the page."""
        return self.record.page * records.SHARDS_PER_PAGE

    def entry(self, shard: int) -> records.ShardEntry:
        """The entry of a shard that the page contains."""
        return self.record.entries[shard - self.first_shard]

    def owner_of(self, shard: int) -> int:
        """Owner of a shard; NO_OWNER if the page does not contain it."""
        index = shard - self.first_shard
        if not 0 <= index < len(self.record.entries):
            return records.NO_OWNER
        return self.record.entries[index].owner

    def moving(self) -> dict[int, int]:
        """The next owner of each moving shard that the page contains."""
        last = self.first_shard + len(self.record.entries)
        return {
            shard: to
            for shard, to in self.record.moving.items()
            if self.first_shard <= shard < last
        }


class Pages:
    """The decoded assignment pages of the replica.

    Each revision of a page is decoded once. A revision that cannot be decoded
    is logged and skipped: the last decodable revision stays in use. The
    undecodable value is not overwritten either, since what was lost in it may
    have been newer.

    Attributes:
      by_key: the decoded pages by the store's key.
      owned: number of shards of a service that each incarnation owns.
    """

    __slots__ = ("_entries", "_replica", "by_key", "owned")

    def __init__(self, replica: replica_lib.Replica):
        self._replica = replica
        self._entries: dict[str, dict[int, records.AssignmentPage]] = {}
        self.by_key: dict[str, Page] = {}
        self.owned: dict[str, collections.Counter[int]] = {}

    def update(self, changed: list[str]) -> list[actions.LogEvent]:
        """Decodes again those of the changed replica keys that are pages."""
        events = []
        for key in changed:
            if key.startswith(records.PAGES_PREFIX):
                events += self._update_key(key)
        return events

    def owner(self, service: str, shard: int) -> records.ShardEntry | None:
        """The entry of a shard; None if there is no such shard. O(1)."""
        pages = self._entries.get(service)
        if pages is None:
            return None
        page = pages.get(shard // records.SHARDS_PER_PAGE)
        index = shard % records.SHARDS_PER_PAGE
        if page is None or index >= len(page.entries):
            return None
        return page.entries[index]

    def required_hot_keys(self, service: str, shard: int) -> int:
        """Number of hot keys a node must know to serve a shard. O(1)."""
        pages = self._entries.get(service)
        if pages is None:
            return 0
        page = pages.get(shard // records.SHARDS_PER_PAGE)
        return page.hot_keys if page else 0

    def page(self, service: str, number: int) -> Page | None:
        """A page of a service by its number; None if there is none."""
        return self.by_key.get(records.page_key(service, number))

    def page_of(self, service: str, shard: int) -> Page | None:
        """The page that contains a shard; None if there is none."""
        return self.page(service, keys.page_of(shard))

    def is_undecodable(self, key: str) -> bool:
        """Whether the latest value of a page could not be decoded."""
        value = self._replica.get(key)
        page = self.by_key.get(key)
        if value is None:
            return False
        return page is None or page.revision < value.revision

    def of_service(self, service: str) -> list[Page]:
        """The pages of a service, by number."""
        numbers = sorted(self._entries.get(service, ()))
        return [self.by_key[records.page_key(service, n)] for n in numbers]

    def shards_of(self, incarnation: int) -> list[ServiceShard]:
        """The shards that an incarnation owns, by service and number."""
        return [
            ServiceShard(page.record.service, shard)
            for _, page in sorted(self.by_key.items())
            for shard in page.by_owner.get(incarnation, ())
        ]

    def pages_naming(self, incarnation: int) -> list[Page]:
        """The pages that name an incarnation as owner or as next owner."""
        return [
            page
            for page in self.by_key.values()
            if incarnation in page.by_owner
            or incarnation in page.record.moving.values()
        ]

    def _update_key(self, key: str) -> list[actions.LogEvent]:
        value = self._replica.get(key)
        if value is None:
            self._remove(key)
            return []
        try:
            record = records.decode_page(value.data)
        except records.DECODE_ERRORS as error:
            return [_undecodable(key, str(error))]
        problem = _problem(key, record)
        if problem:
            return [_undecodable(key, problem)]
        self._remove(key)
        page = Page(record, value.revision, _by_owner(record))
        self.by_key[key] = page
        self._entries.setdefault(record.service, {})[record.page] = record
        owned = self.owned.setdefault(record.service, collections.Counter())
        for owner, shards in page.by_owner.items():
            owned[owner] += len(shards)
        return []

    def _remove(self, key: str) -> None:
        page = self.by_key.pop(key, None)
        if page is None:
            return
        del self._entries[page.record.service][page.record.page]
        owned = self.owned[page.record.service]
        for owner, shards in page.by_owner.items():
            owned[owner] -= len(shards)
            if not owned[owner]:
                del owned[owner]


def _by_owner(record: records.AssignmentPage) -> dict[int, list[int]]:
    first = record.page * records.SHARDS_PER_PAGE
    by_owner: dict[int, list[int]] = {}
    for shard, entry in enumerate(record.entries, first):
        by_owner.setdefault(entry.owner, []).append(shard)
    return by_owner


def _problem(key: str, record: records.AssignmentPage) -> str:
    """Describes what is invalid in a decoded page; empty if it is valid."""
    if records.page_key(record.service, record.page) != key:
        return "the service and page number do not match the key"
    if not 0 < len(record.entries) <= records.SHARDS_PER_PAGE:
        return f"got {len(record.entries)} entries"
    if any(entry.owner < 0 or entry.epoch < 0 for entry in record.entries):
        return "an entry has a negative owner or epoch"
    return ""


def _undecodable(key: str, problem: str) -> actions.LogEvent:
    return actions.LogEvent(
        "record_undecodable", [("key", key), ("problem", problem)]
    )
