"""How records and key tables are written to the store and read from it."""

import zlib

import msgspec
import pytest

from auburnrock.engine.mesh import rebalancing
from auburnrock.shells.mesh import view
from tests.common import mesh


def large_table():
    weights = {mesh.incarnation(f"t{number}"): 6.0 for number in range(77)}
    return rebalancing.initial_table(weights)


def test_a_table_of_many_targets_takes_a_tenth_of_its_length_in_the_store():
    table = large_table()
    data = view.encode(table)
    assert len(data) < len(msgspec.msgpack.encode(table)) / 10
    assert view.decode_table(data) == table


def test_a_table_that_was_written_without_compression_is_read():
    table = large_table()
    assert view.decode_table(msgspec.msgpack.encode(table)) == table


@pytest.mark.parametrize("cut", [1, 5, 100, 1_000])
def test_a_broken_item_is_unreadable(cut):
    data = view.encode(large_table())
    with pytest.raises(view.UnreadableItemError):
        view.decode_table(data[:-cut])


def test_an_item_that_grows_without_end_is_unreadable():
    data = view.COMPRESSION_MARKER + zlib.compress(
        bytes(view.TABLE_MAX_BYTES + 1)
    )
    with pytest.raises(view.UnreadableItemError, match="longer"):
        view.decode_table(data)
