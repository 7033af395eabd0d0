"""Heartbeats and items of another writer, beside targets that hold keys.

One foreign heartbeat made a node give away keys that its target held, and the
target was not heard again.
"""

import asyncio
import copy

import aiohttp
import msgspec
import pytest_asyncio

from auburnrock.engine.mesh import model
from auburnrock.shells.mesh import store_cache
from tests.common import mesh
from tests.common import mesh_fleet
from tests.common import mesh_grant_oracle

FOREIGN = "i-of-another-writer"


@pytest_asyncio.fixture
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "portal", "portal")
    # Targets that do not name themselves, unless a test changes it.
    clusters = copy.deepcopy(mesh_fleet.CONFIGURATION["clusters"])
    for cluster in clusters:
        del cluster["health_path"]
    made.configure(version=8, clusters=clusters)
    await made.wait_until(
        lambda: not any(h.node.executor.health_path for h in made.hosts)
    )
    yield made
    await made.stop()


@pytest_asyncio.fixture
async def oracle(fleet):
    made = mesh_grant_oracle.GrantOracle()
    for host in fleet.hosts:
        made.watch(host.target)
    yield made
    assert made.violations == []


def message_of(target, **changes):
    """Returns a heartbeat as a target would send it next, with changes."""
    message = {
        "address": target.address,
        "born": target.started_ms,
        "info": {
            "service": target.service,
            "version": "v1",
            "zone": target.zone,
            "slots": 18,
        },
        "status": {
            "state": "draining",
            "seq_num": target.sequence + 1,
            "cold_remaining": "0ms",
        },
        "holds": [],
        "freed": [],
    }
    for name, value in changes.items():
        place = message
        if name in ("service", "version", "zone", "slots"):
            place = message["info"]
        elif name in ("state", "seq_num", "cold_remaining"):
            place = message["status"]
        if value is None:
            del place[name]
        else:
            place[name] = value
    return message


def foreign_heartbeats(target):
    """Returns ids and messages that are not the target's."""
    born = target.started_ms
    everything = [[0, model.KEYS - 1, "feed"]]
    claimed = [[0, model.KEYS - 1, 1 << 40]]
    changes = (
        {"service": "not-a-service"},
        {"service": "booker"},
        {"zone": "elsewhere"},
        {"address": "127.0.0.9:80"},
        {"born": born + 1},
        {"born": born + 1, "state": "ready"},
        {"born": born + 10**12},
        {"born": born - 1},
        {"born": None},
        {"born": "now"},
        {"state": "gone"},
        {"slots": -1},
        {"seq_num": None},
        {"service": 7},
    )
    for change in changes:
        yield FOREIGN, message_of(target, **change)
        if "born" not in change:
            yield target.name, message_of(target, **change)
    yield target.name, message_of(target, born=born + 1)
    yield target.name, message_of(target, born=None)
    yield target.name, message_of(target, state="ready", freed=everything)
    yield target.name, message_of(target, state="ready", holds=claimed)
    yield target.name, message_of(target, state="ready", seq_num=1 << 50)
    yield "", message_of(target)


async def call(host, method, name, body=b""):
    """Calls the control address of a host as a target does."""
    url = f"http://{host.addresses['control']}/auburnrock/instances/{name}"
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, data=body) as response,
    ):
        await response.read()


async def put_heartbeat(host, name, body):
    """Sends a heartbeat to the node of a host."""
    await call(host, "PUT", name, body)


def held_counts(fleet):
    """Returns the number of keys that each target holds."""
    return [host.target.held_key_count() for host in fleet.hosts]


async def hold_steadily(fleet, duration_s):
    """Checks for a while that each target holds what it held before."""
    before = held_counts(fleet)
    assert sum(before) == model.KEYS
    for _ in range(int(duration_s / 0.05)):
        await asyncio.sleep(0.05)
        assert held_counts(fleet) == before


async def test_foreign_heartbeats_take_no_key_and_silence_no_target(
    fleet, oracle
):
    host = fleet.hosts[0]
    for name, message in foreign_heartbeats(host.target):
        await put_heartbeat(host, name, msgspec.msgpack.encode(message))
        is_of_target = name == host.target.name
        await hold_steadily(fleet, 2.0 if is_of_target else 0.3)
    await put_heartbeat(host, FOREIGN, b"not a heartbeat")
    await hold_steadily(fleet, 2.5)
    assert host.node.holder.incarnation.target == host.target.name
    assert not host.node.holder.draining


async def test_repeated_foreign_heartbeats_take_no_key(fleet, oracle):
    host = fleet.hosts[0]
    for number in range(12):
        message = message_of(host.target, seq_num=number + 1)
        message["born"] += 1
        await put_heartbeat(host, FOREIGN, msgspec.msgpack.encode(message))
        await hold_steadily(fleet, 0.15)


async def test_a_foreign_farewell_takes_no_key(fleet, oracle):
    host = fleet.hosts[0]
    await call(host, "DELETE", FOREIGN)
    await hold_steadily(fleet, 2.0)


async def test_a_target_serves_again_after_a_leaving_that_was_not_its_own(
    fleet, oracle
):
    host = fleet.hosts[0]
    name = host.target.name
    leave = msgspec.msgpack.encode(message_of(host.target))
    await put_heartbeat(host, name, leave)
    assert host.node.executor.drain_since_ms is not None
    await fleet.wait_until(lambda: host.node.executor.drain_since_ms is None)
    await call(host, "DELETE", name)
    assert host.node.executor.drain_since_ms is not None
    await fleet.wait_until(lambda: host.node.executor.drain_since_ms is None)
    await fleet.wait_until(
        lambda: host.target.held_key_count() > model.KEYS // 4
    )


async def test_a_target_that_starts_again_at_once_names_itself(fleet, oracle):
    fleet.configure(version=9)
    host = fleet.hosts[0]
    await fleet.wait_until(lambda: host.node.executor.health_path)
    await host.target.crash()
    oracle.watch(await host.start_target())
    await fleet.wait_until(
        lambda: host.target.held_key_count() > model.KEYS // 4, 2.0
    )
    assert host.node.log.counts["target_identified"] == 1


async def test_items_of_another_writer_take_no_key(fleet, oracle):
    host = fleet.hosts[0]
    prefix = host.node.protocol.own_prefix
    record, _ = host.node.ownership.cache.members[host.ip]
    table, _ = host.node.ownership.cache.tables["portal"]

    def changed(**fields):
        return msgspec.msgpack.encode(msgspec.structs.replace(record, **fields))

    records = (
        b"not a record",
        msgspec.msgpack.encode({"name": host.ip}),
        msgspec.msgpack.encode([host.ip, 7]),
        changed(state=9),
        changed(state=1),
        changed(service="booker"),
        changed(witnesses=("10.9.9.9",)),
        changed(address="nowhere"),
        changed(name="10.9.9.9"),
    )
    for value in records:
        fleet.store.put(f"{prefix}m/{host.ip}", value)
        await hold_steadily(fleet, 0.3)
    stripes = (table.stripes[0],)
    owners = table.owners[:1]
    tables = (
        b"not a table",
        b"z",
        store_cache.encode(msgspec.structs.replace(table, stripes=())),
        store_cache.encode(msgspec.structs.replace(table, owners=owners)),
        store_cache.encode(msgspec.structs.replace(table, version=-1)),
        store_cache.encode(
            msgspec.structs.replace(table, stripes=stripes, stripes_per_run=0)
        ),
        store_cache.encode(mesh.member("10.9.9.9")),
    )
    for value in tables:
        fleet.store.put(f"{prefix}k/portal", value)
        await hold_steadily(fleet, 0.3)
    await hold_steadily(fleet, 3.0)
    stored = fleet.store.value(f"{prefix}k/portal")
    assert store_cache.decode_table(stored).stripes == table.stripes
    stored = fleet.store.value(f"{prefix}m/{host.ip}")
    assert store_cache.decode_member(host.ip, stored).service == "portal"
    await host.target.crash()
    host.target = None
    await host.kill_node()
    others = fleet.hosts[1:]
    await fleet.wait_until(
        lambda: (
            sum(other.target.held_key_count() for other in others) == model.KEYS
        )
    )
