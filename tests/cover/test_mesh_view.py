"""Encoding of records and key tables for the store."""

import zlib

import msgspec
import pytest

from auburnrock.engine.mesh import rebalancing
from auburnrock.shells.mesh import store_cache
from tests.common import mesh


def large_table():
    weights = {mesh.incarnation(f"t{number}"): 6.0 for number in range(77)}
    return rebalancing.initial_table(weights)


def test_a_table_of_many_targets_takes_a_tenth_of_its_length_in_the_store():
    table = large_table()
    data = store_cache.encode(table)
    assert len(data) < len(msgspec.msgpack.encode(table)) / 10
    assert store_cache.decode_table(data) == table


def test_a_table_that_was_written_without_compression_is_read():
    table = large_table()
    assert store_cache.decode_table(msgspec.msgpack.encode(table)) == table


@pytest.mark.parametrize("cut", [1, 5, 100, 1_000])
def test_a_broken_item_is_unreadable(cut):
    data = store_cache.encode(large_table())
    with pytest.raises(store_cache.UnreadableItemError):
        store_cache.decode_table(data[:-cut])


def test_an_item_that_grows_without_end_is_unreadable():
    data = store_cache.COMPRESSION_MARKER + zlib.compress(
        bytes(store_cache.TABLE_MAX_BYTES + 1)
    )
    with pytest.raises(store_cache.UnreadableItemError, match="longer"):
        store_cache.decode_table(data)
