"""Records, tables and heartbeats of another writer that cannot be used."""

import asyncio

import msgspec
import pytest
import pytest_asyncio

from auburnrock.engine.mesh import model
from auburnrock.platform import codec
from auburnrock.platform import heartbeats
from auburnrock.shells.mesh import store_cache
from tests.common import mesh
from tests.common import mesh_fleet

DEEP = b"\x91" * 100_000 + b"\x01"
"""A list within a list, a hundred thousand times, in MessagePack."""

TOO_LARGE = 2**64 - 1


def odd_members():
    """Returns records that no node wrote, by the name in their key."""
    usual = mesh.member("10.9.9.9")

    def changed(**fields):
        return msgspec.msgpack.encode(msgspec.structs.replace(usual, **fields))

    return {
        "deep": DEEP,
        "deep in a field": changed(zone="x")[:-1] + DEEP,
        "port out of range": changed(address="10.9.9.9:99999"),
        "port of no digits": changed(address="10.9.9.9:http"),
        "no address": changed(address="10.9.9.9"),
        "no host": changed(address=":8000"),
        "host of empty labels": changed(address="10..9:8000"),
        "state too large": changed(state=TOO_LARGE),
        "text": b"not a record",
        "other name": changed(name="10.9.9.8"),
    }


@pytest.mark.parametrize("kind", odd_members())
def test_a_record_that_cannot_be_used_is_unreadable(kind):
    with pytest.raises(store_cache.UnreadableItemError):
        store_cache.decode_member("10.9.9.9", odd_members()[kind])


def test_a_table_that_cannot_be_used_is_unreadable():
    table = mesh.table("a", "b")
    for odd in (
        DEEP,
        store_cache.encode(msgspec.structs.replace(table, version=TOO_LARGE)),
        store_cache.encode(
            msgspec.structs.replace(table, fence_floor=TOO_LARGE)
        ),
    ):
        with pytest.raises(store_cache.UnreadableItemError):
            store_cache.decode_table(odd)
    assert store_cache.decode_table(store_cache.encode(table)) == table


def odd_heartbeat(**changes):
    message = {
        "address": "127.0.0.1:80",
        "born": 1,
        "info": {"service": "s", "version": "v", "zone": "z", "slots": 9},
        "status": {"state": "ready", "seq_num": 1, "cold_remaining": "0ms"},
        "holds": [],
        "freed": [],
    }
    return msgspec.msgpack.encode(message | changes)


@pytest.mark.parametrize(
    "data",
    [
        DEEP,
        odd_heartbeat(born=TOO_LARGE),
        odd_heartbeat(holds=[[0, 5, TOO_LARGE]]),
        odd_heartbeat(
            info={
                "service": "s",
                "version": "v",
                "zone": "z",
                "slots": TOO_LARGE,
            }
        ),
        odd_heartbeat(status={"state": "ready", "seq_num": TOO_LARGE}),
        odd_heartbeat(address="127.0.0.1:99999"),
    ],
)
def test_a_heartbeat_that_cannot_be_used_is_unreadable(data):
    heartbeats.decode("t", odd_heartbeat())
    with pytest.raises(codec.PlatformDecodeError):
        heartbeats.decode("t", data)


@pytest_asyncio.fixture
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "booker")
    yield made
    await made.stop()


@pytest.mark.asyncio
async def test_nodes_follow_the_store_beside_odd_entries(fleet):
    prefix = fleet.hosts[0].node.protocol.own_prefix
    for place, value in enumerate(odd_members().values()):
        fleet.store.put(f"{prefix}m/10.9.9.{place}", value)
    fleet.store.put(f"{prefix}k/other", DEEP)
    await asyncio.sleep(0.3)
    late = mesh_fleet.Host(fleet, 9, "booker")
    fleet.hosts.append(late)
    await late.start_node()
    await late.start_target()
    nodes = [host.node for host in fleet.hosts]
    await fleet.wait_until(
        lambda: all(late.ip in node.peers.members for node in nodes),
        limit_s=5.0,
    )
    assert all(node.log.counts.get("fault", 0) == 0 for node in nodes)
    assert all(len(node.peers.members) == 3 for node in nodes)
    fleet.configure(version=9)
    await fleet.wait_until(
        lambda: all(node.configuration_version() == 9 for node in nodes),
        limit_s=5.0,
    )
    assert fleet.hosts[0].target.held_key_count() == model.KEYS
