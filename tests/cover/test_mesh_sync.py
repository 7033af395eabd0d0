"""Synchronisation of one prefix of the store."""

from auburnrock.engine.mesh import coordination_store
from auburnrock.shells.mesh import prefix_sync


def make_sync():
    taken = []
    made = prefix_sync.PrefixSync(
        None,
        "own/",
        1_000,
        0.0,
        None,
        lambda: 0.0,
        lambda items, revision: taken.extend(items),
        lambda: False,
        lambda items: None,
    )
    return made, taken


def item(value, revision):
    return coordination_store.Item("own/m/a", value, revision)


def test_a_removed_record_does_not_come_back_by_an_earlier_change():
    """Gossip arrives in any order, so a removed host was used again."""
    made, taken = make_sync()
    made.apply_store_update([item(b"1", 5)])
    made.apply_store_update([item(None, 9)])
    made.apply_store_update([item(b"1", 5), item(b"2", 7)])
    assert [each.revision for each in taken] == [5, 9]
    made.apply_store_update([item(b"3", 11)])
    assert [each.revision for each in taken] == [5, 9, 11]


def test_a_listing_removes_for_good_what_it_does_not_show():
    made, taken = make_sync()
    made.apply_store_update([item(b"1", 5)])
    made.apply_listing(coordination_store.Listing([], 8))
    made.apply_store_update([item(b"1", 5), item(b"2", 7)])
    assert [each.value for each in taken] == [b"1", None]


def test_removals_are_remembered_within_bounds(monkeypatch):
    monkeypatch.setattr(prefix_sync, "TOMBSTONES_MAX", 10)
    made, _ = make_sync()
    for revision in range(1, 100):
        key = f"own/m/{revision}"
        made.apply_store_update([coordination_store.Item(key, None, revision)])
    assert len(made.tombstones) == 10


def test_a_later_era_makes_a_node_list_again():
    made, taken = make_sync()
    made.needs_listing = False
    made.begin_era(2)
    assert made.needs_listing
    old = coordination_store.Item(
        "own/m/a", b"1", coordination_store.revision_of(1, 99)
    )
    new = coordination_store.Item(
        "own/m/a", b"2", coordination_store.revision_of(2, 3)
    )
    made.apply_store_update([old, new, old])
    assert taken == [new]


def test_a_listing_of_a_later_era_removes_what_only_the_older_one_had():
    made, taken = make_sync()
    old = coordination_store.Item(
        "own/m/a", b"1", coordination_store.revision_of(1, 99)
    )
    made.apply_store_update([old])
    made.begin_era(2)
    revision = coordination_store.revision_of(2, 3)
    made.apply_listing(coordination_store.Listing([], revision))
    assert taken == [old, coordination_store.Item("own/m/a", None, revision)]


class OldCopy(coordination_store.CoordinationStore):
    """A store whose stale listings are of a later era than other answers."""

    def __init__(self, listing):
        self.listing = listing

    async def list_all(self, prefix, stale=False):
        return self.listing

    async def read(self, key):
        raise NotImplementedError

    async def watch(self, prefix, after, wait_ms):
        raise NotImplementedError

    async def compare_and_swap(self, expected, puts, removes):
        raise NotImplementedError

    def observe_era(self, era):
        raise NotImplementedError

    def close(self):
        pass


async def test_an_old_copy_of_a_later_era_removes_nothing(monkeypatch):
    """It may lack items that were written again after the restore."""
    monkeypatch.setattr(prefix_sync, "STALE_LIST_INTERVAL_S", 0.0)
    made, taken = make_sync()
    made.needs_listing = False
    old = coordination_store.Item(
        "own/m/a", b"1", coordination_store.revision_of(1, 99)
    )
    made.apply_store_update([old])
    revision = coordination_store.revision_of(2, 3)
    made.store = OldCopy(coordination_store.Listing([], revision))
    await made.poll_stale_listing()
    assert taken == [old]
    assert made.needs_listing
