"""Tests that the stand-in of the store is restored as the real store is."""

import asyncio

import aiohttp
import msgspec
import pytest
import pytest_asyncio

from auburnrock_standins import mesh_store
from auburnrock_standins import serving

TABLE = "auburnrock/k/portal"
RECORD = "auburnrock/m/a"


class Clock:
    """A clock that a test advances."""

    def __init__(self):
        self.now_s = 100.0

    def read(self) -> float:
        """Returns the time in seconds."""
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store(clock):
    """A store whose items were written 5 s ago."""
    made = mesh_store.MeshStore(clock.read)
    made.put(TABLE, b"before")
    made.put("op/config", b"7")
    clock.now_s += 5.0
    return made


@pytest_asyncio.fixture
async def session(store):
    runner = await serving.start(store.application(), "127.0.0.1", 0)
    host, port = runner.addresses[0][:2]
    async with aiohttp.ClientSession(f"http://{host}:{port}") as session:
        yield session
    await runner.cleanup()


def test_what_the_system_wrote_since_the_copy_is_gone(store):
    store.put(TABLE, b"after")
    store.put(RECORD, b"a")
    store.restore(1.0)
    assert store.value(TABLE) == b"before"
    assert store.value(RECORD) is None


def test_what_the_system_removed_since_the_copy_is_back(store):
    before = store.items[TABLE]
    store.apply([], [TABLE])
    store.restore(1.0)
    assert store.items[TABLE] == before


def test_a_change_of_several_keys_is_undone_whole(store):
    before = dict(store.items)
    store.apply([(TABLE, ""), (RECORD, "")], ["op/config"])
    store.apply([], [TABLE, RECORD])
    store.put("op/config", b"8")
    store.restore(1.0)
    assert store.items[TABLE] == before[TABLE]
    assert RECORD not in store.items


def test_a_younger_copy_keeps_what_it_has(store, clock):
    store.put(TABLE, b"kept")
    clock.now_s += 2.0
    store.put(TABLE, b"lost")
    store.restore(1.0)
    assert store.value(TABLE) == b"kept"


def test_revisions_are_given_out_again(store):
    copied = store.revision
    lost = store.put(TABLE, b"after")
    store.restore(1.0)
    assert store.revision == copied
    assert store.put(TABLE, b"other") == lost


def test_the_operators_and_the_upstreams_items_are_written_again(store):
    copied = store.revision
    store.put(TABLE, b"after")
    store.put("op/config", b"8")
    store.put("servers/a", b"lives")
    store.put("op/config", b"9")
    store.put("servers/b", b"left")
    store.apply([], ["servers/b"])
    store.restore(1.0)
    assert store.value("op/config") == b"9"
    assert store.value("servers/a") == b"lives"
    assert store.value("servers/b") is None
    assert store.revision == copied + 5


def test_each_restore_begins_an_era(store):
    store.restore(1.0)
    store.restore(1.0)
    assert store.era == 2


def test_a_second_restore_undoes_what_was_written_after_the_first(store, clock):
    store.put(TABLE, b"after")
    store.restore(1.0)
    clock.now_s += 2.0
    store.put(TABLE, b"again")
    store.restore(1.0)
    assert store.value(TABLE) == b"before"


def test_a_copy_that_is_not_kept_is_refused(store, monkeypatch):
    monkeypatch.setattr(mesh_store, "WRITES_KEPT", 4)
    for _ in range(8):
        store.put(TABLE, b"after")
    assert len(store.writes) == 4
    with pytest.raises(mesh_store.TooOldError):
        store.restore(1.0)
    assert store.era == 0


async def test_every_answer_names_the_era(store, session):
    store.restore(1.0)
    statuses = set()

    async def check(path, **options):
        method = "POST" if options else "GET"
        async with session.request(
            method, f"/auburnrock/{path}", **options
        ) as response:
            assert response.headers["Store-Era"] == "1"
            statuses.add(response.status)

    change = {
        "expected_rev": [{"key": TABLE, "rev": 99}],
        "put_items": [],
        "remove": [],
    }
    await check("kv-key?key=none")
    await check("kv-range?path_prefix=op/")
    await check("kv-watch?path_prefix=op/&after=99&wait_ms=1")
    await check("kv-txn", data=msgspec.msgpack.encode(change))
    await check("elsewhere")
    store.switches.busy = True
    await check("kv-key?key=none")
    assert statuses == {200, 404, 410, 412, 503}


async def test_a_watch_from_a_lost_revision_is_told_so(store, session):
    lost = store.put(TABLE, b"after")
    store.restore(1.0)
    path = f"/auburnrock/kv-watch?path_prefix=op/&after={lost}&wait_ms=1"
    async with session.get(path) as response:
        assert response.status == 410


async def test_a_watch_sees_nothing_of_the_lost_history(store, session):
    copied = store.revision
    store.put(TABLE, b"after")
    store.restore(1.0)
    store.put(TABLE, b"other")
    path = f"/auburnrock/kv-watch?path_prefix=auburnrock/&after={copied}"
    async with session.get(f"{path}&wait_ms=1") as response:
        events = msgspec.msgpack.decode(await response.read())["events"]
    assert [event["value"] for event in events] == [store.items[TABLE][0]]


async def test_calls_are_cut_while_it_is_away(store, session):
    path = f"/auburnrock/kv-watch?path_prefix=op/&after={store.revision}"
    watch = asyncio.create_task(session.get(f"{path}&wait_ms=9000"))
    while not store.calls:
        await asyncio.sleep(0.001)
    outage = asyncio.create_task(store.run_restore_outage(1.0, 0.2))
    with pytest.raises(aiohttp.ClientError):
        await watch
    with pytest.raises(aiohttp.ClientError):
        await session.get("/auburnrock/kv-range?path_prefix=op/")
    await outage
    async with session.get("/auburnrock/kv-range?path_prefix=op/") as response:
        assert response.status == 200
    assert store.era == 1
