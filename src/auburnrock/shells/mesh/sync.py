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

READERS = 3
"""One may be cut off from the store, another stopped, at the same time."""

START_PAUSE_S = 1.0
"""After the first listing, until it is known who the readers are."""

GLANCE_S = 20.0
"""Between listings of a node that is no reader. Peers name the versions that
they know, and a node that misses another's record learns of it from that
node, so a listing finds only removed records."""

FAULT_PAUSE_S = 1.0
"""After a failure of this program itself."""

REMOVED_KEPT = 2_048
"""Removed keys that are remembered; about 170 hosts are replaced a day."""

GLANCE_SLICE_S = 0.2
"""How soon a node notices that it has become a reader."""

RETRY_MAX_S = 0.6
"""Longest pause: what lapsed is expected back within 2 s of the return."""


class Sync:
    """The items under one prefix.

    Attributes:
      prefix: which items.
      revision: the view shows every change up to this one; 0 before a listing.
      era: the store's latest era known; items of older ones are not taken.
      known: revision of each key.
      removed: revision of the removal of keys that are gone.
      fresh_ms: when the store answered last.
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
        self.is_reader = is_reader
        self.tell = tell
        self.began = False
        self.was_reader = True
        self.revision = 0
        self.era = 0
        self.known: dict[str, int] = {}
        self.removed: dict[str, int] = {}
        self.fresh_ms = 0.0
        self.is_lost = True
        self.must_list = True
        self.listing = False
        self.backoff = backoff.Backoff(RETRY_MS, prefix)
        self.task: asyncio.Task | None = None
        self.waiting: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to follow the store."""
        self.task = asyncio.get_running_loop().create_task(self.follow())

    def stop(self) -> None:
        """Ends it."""
        if self.task is not None:
            self.task.cancel()

    def list_again(self) -> None:
        """Reads all items now: a peer knows of a later change."""
        self.must_list = True
        if self.waiting is not None and not self.listing:
            self.waiting.cancel()

    def begin_era(self, era: int) -> None:
        """The store was restored: reads what it says now."""
        if era <= self.era:
            return
        self.era = era
        # A listing that is under way is of this era, or fails.
        if not self.listing:
            self.list_again()

    async def follow(self) -> None:
        """Lists, then watches, for ever."""
        while True:
            self.waiting = asyncio.ensure_future(self.next_call())
            try:
                await self.waiting
            except coordination_store.HistoryLostError:
                self.must_list = True
            except coordination_store.StoreError as error:
                self.lose(error)
                pause_s = self.backoff.delay_ms() / 1_000
                await asyncio.sleep(min(RETRY_MAX_S, pause_s))
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                # list_again() has ended the watch.
                continue
            except Exception as error:
                # Without this task the node would never hear of a change.
                self.log.write("fault", where="sync", error=repr(error))
                self.must_list = True
                await asyncio.sleep(FAULT_PAUSE_S)
            else:
                self.regain()
                await asyncio.sleep(self.pause_s)

    async def next_call(self) -> None:
        """Lists, watches, or waits for what readers tell."""
        if self.must_list:
            await self.list_all()
            return
        if not self.began:
            self.began = True
            await asyncio.sleep(START_PAUSE_S)
        reads = self.is_reader()
        if reads and not self.was_reader:
            # What changed since the last call may be out of the history.
            self.must_list = True
        self.was_reader = reads
        if reads and not self.must_list:
            await self.watch()
        elif not reads:
            await self.glance()

    async def glance(self) -> None:
        """Lists a copy that may be old, after a while as no reader."""
        for _ in range(int(GLANCE_S / GLANCE_SLICE_S)):
            await asyncio.sleep(GLANCE_SLICE_S)
            if self.is_reader():
                return
        listing = await self.store.list_all(self.prefix, stale=True)
        if coordination_store.era_of(listing.revision) != self.era:
            self.must_list = True
        if not self.must_list:
            # An old copy of a new era may lack what was written again since.
            self.take_listing(listing)

    async def list_all(self) -> None:
        """Reads all items."""
        self.must_list = False
        self.listing = True
        try:
            listing = await self.store.list_all(self.prefix)
        except BaseException:
            self.must_list = True
            raise
        finally:
            self.listing = False
        self.era = max(self.era, coordination_store.era_of(listing.revision))
        self.revision = max(self.revision, listing.revision)
        self.take_listing(listing)

    def take_listing(self, listing: coordination_store.Listing) -> None:
        """Takes a listing; what is missing in it was removed before it."""
        present = {item.key for item in listing.items}
        removed = [
            coordination_store.Item(key, None, listing.revision)
            for key, revision in self.known.items()
            if key not in present and revision <= listing.revision
        ]
        self.take([*listing.items, *removed])

    async def watch(self) -> None:
        """Waits for changes once; after a failure, asks for them."""
        wait_ms = ASK_AGAIN_MS if self.is_lost else self.wait_ms
        changes = await self.store.watch(self.prefix, self.revision, wait_ms)
        self.revision = max(self.revision, changes.revision)
        if changes.items:
            self.tell(changes.items)
        self.take(changes.items)

    def take(self, items: list[coordination_store.Item]) -> None:
        """Takes items as read; older ones than known are left out."""
        news = []
        for item in items:
            if coordination_store.era_of(item.revision) < self.era:
                continue
            if item.revision < self.known.get(item.key, 0):
                continue
            if item.revision < self.removed.get(item.key, 0):
                continue
            if item.value is None:
                self.known.pop(item.key, None)
                self.note_removed(item)
            elif item.revision == self.known.get(item.key):
                continue
            else:
                self.known[item.key] = item.revision
            news.append(item)
        self.on_items(news, self.revision)

    def note_removed(self, item: coordination_store.Item) -> None:
        """Remembers a removal: an earlier change may be told after it."""
        self.removed.pop(item.key, None)
        if len(self.removed) >= REMOVED_KEPT:
            del self.removed[next(iter(self.removed))]
        self.removed[item.key] = item.revision

    def note_told(self, key: str, revision: int) -> None:
        """A change was taken without its item."""
        self.known[key] = max(revision, self.known.get(key, 0))

    def take_told(self, items: list[coordination_store.Item]) -> None:
        """Takes what a reader tells."""
        self.take([item for item in items if item.key.startswith(self.prefix)])

    def lose(self, error: Exception) -> None:
        """The store did not answer."""
        if not self.is_lost:
            self.is_lost = True
            self.log.write(
                "store_lost",
                prefix=self.prefix,
                revision=self.revision,
                reason=str(error),
            )

    def regain(self) -> None:
        """The store has answered."""
        self.fresh_ms = self.now_ms()
        self.backoff.reset()
        if self.is_lost:
            self.is_lost = False
            self.log.write(
                "store_reached", prefix=self.prefix, revision=self.revision
            )
