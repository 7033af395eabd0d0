"""What a node takes for the state of the store."""

from auburnrock.engine.mesh import coordination
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
    return coordination.Item("own/m/a", value, revision)


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
    made.take_listing(coordination.Listing([], 8))
    made.take_told([item(b"1", 5), item(b"2", 7)])
    assert [each.value for each in taken] == [b"1", None]


def test_removals_are_remembered_within_bounds(monkeypatch):
    monkeypatch.setattr(sync, "REMOVED_KEPT", 10)
    made, _ = followed()
    for revision in range(1, 100):
        key = f"own/m/{revision}"
        made.take_told([coordination.Item(key, None, revision)])
    assert len(made.removed) == 10
