"""Keeps this node's view of the store: a listing, then watches or peers.

A few nodes, the readers, watch the store and tell all others what changed; a
watch by every node would cost a call for each node and change. The others
list a copy now and then that may be seconds old, and list anew when a peer
knows of something later.

A store that is restored from an older copy begins an era. What is known of an
older one is no longer believed: all is listed again, and what the listing does
not show is taken for removed.
"""

import asyncio
from collections.abc import Callable

from auburnrock.engine import backoff
from auburnrock.engine.mesh import coordination_store
from auburnrock.shells.mesh import event_log

RETRY_MS = 120
"""First pause after a failed call; the store's outages last seconds."""

ASK_AGAIN_MS = 1
"""How long the first watch after a failure waits. Its answer says that the
store is back, and in which era; a quiet store would say so seconds later."""

STORE_WATCHERS = 3
"""One may be cut off from the store, another stopped, at the same time."""

START_PAUSE_S = 1.0
"""After the first listing, until it is known who the readers are."""

STALE_LIST_INTERVAL_S = 20.0
"""Between listings of a node that is no reader. Peers name the versions that
they know, and a node that misses another's record learns of it from that
node, so a listing finds only removed records."""

FAULT_PAUSE_S = 1.0
"""After a failure of this program itself."""

TOMBSTONES_MAX = 2_048
"""Removed keys that are remembered; about 170 hosts are replaced a day."""

GLANCE_SLICE_S = 0.2
"""How soon a node notices that it has become a reader."""

RETRY_MAX_S = 0.6
"""Longest pause: what lapsed is expected back within 2 s of the return."""


class PrefixSync:
    """The items under one prefix.

    Attributes:
      prefix: which items.
      revision: the view shows every change up to this one; 0 before a listing.
      era: the store's latest era known; items of older ones are not taken.
      known_revisions: revision of each key.
      tombstones: revision of the removal of keys that are gone.
      last_answer_ms: when the store answered last.
    """

    def __init__(
        self,
        store: coordination_store.CoordinationStore,
        prefix: str,
        wait_ms: int,
        pause_s: float,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
        on_items: Callable[[list[coordination_store.Item], int], None],
        is_reader: Callable[[], bool],
        tell: Callable[[list[coordination_store.Item]], None],
    ):
        self.store = store
        self.prefix = prefix
        self.wait_ms = wait_ms
        self.pause_s = pause_s
        self.log = log
        self.now_ms = now_ms
        self.on_items = on_items
        self.is_store_watcher = is_reader
        self.broadcast_changes = tell
        self.began = False
        self.was_reader = True
        self.revision = 0
        self.era = 0
        self.known_revisions: dict[str, int] = {}
        self.tombstones: dict[str, int] = {}
        self.last_answer_ms = 0.0
        self.store_unreachable = True
        self.needs_listing = True
        self.listing = False
        self.backoff = backoff.Backoff(RETRY_MS, prefix)
        self.task: asyncio.Task | None = None
        self.waiting: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to follow the store."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    def stop(self) -> None:
        """Ends it."""
        if self.task is not None:
            self.task.cancel()

    def request_relist(self) -> None:
        """Reads all items now: a peer knows of a later change."""
        self.needs_listing = True
        if self.waiting is not None and not self.listing:
            self.waiting.cancel()

    def begin_era(self, era: int) -> None:
        """The store was restored: reads what it says now."""
        if era <= self.era:
            return
        self.era = era
        # A listing that is under way is of this era, or fails.
        if not self.listing:
            self.request_relist()

    async def run(self) -> None:
        """Lists, then watches, for ever."""
        while True:
            self.waiting = asyncio.ensure_future(self.sync_once())
            try:
                await self.waiting
            except coordination_store.HistoryLostError:
                self.needs_listing = True
            except coordination_store.StoreError as error:
                self.on_store_unreachable(error)
                pause_s = self.backoff.delay_ms() / 1_000
                await asyncio.sleep(min(RETRY_MAX_S, pause_s))
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                # request_relist() has ended the watch.
                continue
            except Exception as error:
                # Without this task the node would never hear of a change.
                self.log.write("fault", where="sync", error=repr(error))
                self.needs_listing = True
                await asyncio.sleep(FAULT_PAUSE_S)
            else:
                self.regain()
                await asyncio.sleep(self.pause_s)

    async def sync_once(self) -> None:
        """Lists, watches, or waits for what readers tell."""
        if self.needs_listing:
            await self.list_all()
            return
        if not self.began:
            self.began = True
            await asyncio.sleep(START_PAUSE_S)
        reads = self.is_store_watcher()
        if reads and not self.was_reader:
            # What changed since the last call may be out of the history.
            self.needs_listing = True
        self.was_reader = reads
        if reads and not self.needs_listing:
            await self.watch()
        elif not reads:
            await self.poll_stale_listing()

    async def poll_stale_listing(self) -> None:
        """Lists a copy that may be old, after a while as no reader."""
        for _ in range(int(STALE_LIST_INTERVAL_S / GLANCE_SLICE_S)):
            await asyncio.sleep(GLANCE_SLICE_S)
            if self.is_store_watcher():
                return
        listing = await self.store.list_all(self.prefix, stale=True)
        if coordination_store.era_of(listing.revision) != self.era:
            self.needs_listing = True
        if not self.needs_listing:
            # An old copy of a new era may lack what was written again since.
            self.apply_listing(listing)

    async def list_all(self) -> None:
        """Reads all items."""
        self.needs_listing = False
        self.listing = True
        try:
            listing = await self.store.list_all(self.prefix)
        except BaseException:
            self.needs_listing = True
            raise
        finally:
            self.listing = False
        self.era = max(self.era, coordination_store.era_of(listing.revision))
        self.revision = max(self.revision, listing.revision)
        self.apply_listing(listing)

    def apply_listing(self, listing: coordination_store.Listing) -> None:
        """Takes a listing; what is missing in it was removed before it."""
        present = {item.key for item in listing.items}
        removed = [
            coordination_store.Item(key, None, listing.revision)
            for key, revision in self.known_revisions.items()
            if key not in present and revision <= listing.revision
        ]
        self.apply_items([*listing.items, *removed])

    async def watch(self) -> None:
        """Waits for changes once; after a failure, asks for them."""
        wait_ms = ASK_AGAIN_MS if self.store_unreachable else self.wait_ms
        changes = await self.store.watch(self.prefix, self.revision, wait_ms)
        self.revision = max(self.revision, changes.revision)
        if changes.items:
            self.broadcast_changes(changes.items)
        self.apply_items(changes.items)

    def apply_items(self, items: list[coordination_store.Item]) -> None:
        """Takes items as read; older ones than known are left out."""
        news = []
        for item in items:
            if coordination_store.era_of(item.revision) < self.era:
                continue
            if item.revision < self.known_revisions.get(item.key, 0):
                continue
            if item.revision < self.tombstones.get(item.key, 0):
                continue
            if item.value is None:
                self.known_revisions.pop(item.key, None)
                self.note_removed(item)
            elif item.revision == self.known_revisions.get(item.key):
                continue
            else:
                self.known_revisions[item.key] = item.revision
            news.append(item)
        self.on_items(news, self.revision)

    def note_removed(self, item: coordination_store.Item) -> None:
        """Remembers a removal: an earlier change may be told after it."""
        self.tombstones.pop(item.key, None)
        if len(self.tombstones) >= TOMBSTONES_MAX:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[item.key] = item.revision

    def advance_revision(self, key: str, revision: int) -> None:
        """A change was taken without its item."""
        self.known_revisions[key] = max(
            revision, self.known_revisions.get(key, 0)
        )

    def apply_store_update(self, items: list[coordination_store.Item]) -> None:
        """Takes what a reader tells."""
        self.apply_items(
            [item for item in items if item.key.startswith(self.prefix)]
        )

    def on_store_unreachable(self, error: Exception) -> None:
        """The store did not answer."""
        if not self.store_unreachable:
            self.store_unreachable = True
            self.log.write(
                "store_lost",
                prefix=self.prefix,
                revision=self.revision,
                reason=str(error),
            )

    def regain(self) -> None:
        """The store has answered."""
        self.last_answer_ms = self.now_ms()
        self.backoff.reset()
        if self.store_unreachable:
            self.store_unreachable = False
            self.log.write(
                "store_reached", prefix=self.prefix, revision=self.revision
            )
