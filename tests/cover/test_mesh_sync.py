"""What a node takes for the state of the store."""

from auburnrock.engine.mesh import coordination_store
from auburnrock.shells.mesh import sync


def followed():
    taken = []
    made = sync.Sync(
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
    """Neighbours tell in any order: a host that left was in use again."""
    made, taken = followed()
    made.take_told([item(b"1", 5)])
    made.take_told([item(None, 9)])
    made.take_told([item(b"1", 5), item(b"2", 7)])
    assert [each.revision for each in taken] == [5, 9]
    made.take_told([item(b"3", 11)])
    assert [each.revision for each in taken] == [5, 9, 11]


def test_a_listing_removes_for_good_what_it_does_not_show():
    made, taken = followed()
    made.take_told([item(b"1", 5)])
    made.take_listing(coordination_store.Listing([], 8))
    made.take_told([item(b"1", 5), item(b"2", 7)])
    assert [each.value for each in taken] == [b"1", None]


def test_removals_are_remembered_within_bounds(monkeypatch):
    monkeypatch.setattr(sync, "REMOVED_KEPT", 10)
    made, _ = followed()
    for revision in range(1, 100):
        key = f"own/m/{revision}"
        made.take_told([coordination_store.Item(key, None, revision)])
    assert len(made.removed) == 10


def test_a_later_era_makes_a_node_list_again():
    made, taken = followed()
    made.must_list = False
    made.begin_era(2)
    assert made.must_list
    old = coordination_store.Item(
        "own/m/a", b"1", coordination_store.revision_of(1, 99)
    )
    new = coordination_store.Item(
        "own/m/a", b"2", coordination_store.revision_of(2, 3)
    )
    made.take_told([old, new, old])
    assert taken == [new]


def test_a_listing_of_a_later_era_removes_what_only_the_older_one_had():
    made, taken = followed()
    old = coordination_store.Item(
        "own/m/a", b"1", coordination_store.revision_of(1, 99)
    )
    made.take_told([old])
    made.begin_era(2)
    revision = coordination_store.revision_of(2, 3)
    made.take_listing(coordination_store.Listing([], revision))
    assert taken == [old, coordination_store.Item("own/m/a", None, revision)]


class OldCopy(coordination_store.CoordinationStore):
    """A store whose stale answers are of a later era than its others."""

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
    """It may lack what was written again since the restore."""
    monkeypatch.setattr(sync, "GLANCE_S", 0.0)
    made, taken = followed()
    made.must_list = False
    old = coordination_store.Item(
        "own/m/a", b"1", coordination_store.revision_of(1, 99)
    )
    made.take_told([old])
    revision = coordination_store.revision_of(2, 3)
    made.store = OldCopy(coordination_store.Listing([], revision))
    await made.glance()
    assert taken == [old]
    assert made.must_list
