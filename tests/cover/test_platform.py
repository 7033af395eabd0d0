"""Tests of the HTTP client of the platform's key-value service."""

import asyncio

import pytest

from auburnrock.store import base
from auburnrock.store import http
from auburnrock.store import http_messages
from auburnrock_standins import platform_switches
from auburnrock_standins import processes
from tests.common import standins

OUTAGE = platform_switches.Outage
SWITCHES = platform_switches.PlatformSwitches


async def test_a_swap_takes_effect_only_at_the_expected_revision():
    async with standins.platform() as platform:
        client = platform.client
        created = await client.compare_and_swap("a", b"\x00\xff", 0)
        assert created == base.Swap(True, base.Value("a", b"\x00\xff", 1))
        repeated = await client.compare_and_swap("a", b"new", 0)
        assert repeated == base.Swap(False, created.current)
        assert (await client.compare_and_swap("a", b"new", 1)).swapped
        deleted = await client.compare_and_swap("a", None, 2)
        assert deleted == base.Swap(True, None)
        assert await client.get("a") is None


async def test_only_one_of_several_concurrent_swaps_takes_effect():
    async with standins.platform() as platform:
        swaps = await asyncio.gather(
            *(
                platform.client.compare_and_swap("a", b"%d" % n, 0)
                for n in range(20)
            )
        )
        assert sum(swap.swapped for swap in swaps) == 1


async def test_a_value_of_a_megabyte_fits_and_a_larger_one_is_refused():
    async with standins.platform() as platform:
        limit = http_messages.MAX_VALUE_BYTES
        fits = b"\xff" * limit
        assert (await platform.client.compare_and_swap("a", fits, 0)).swapped
        assert (await platform.client.get("a")).data == fits
        with pytest.raises(base.StoreUnavailableError, match="at most"):
            await platform.client.compare_and_swap("b", fits + b"x", 0)


async def test_a_watch_returns_the_latest_change_of_each_key_and_counts_once():
    async with standins.platform() as platform:
        client = platform.client
        waiting = asyncio.create_task(client.watch("a/", 0, 5.0))
        while platform.server.counts.watches == 0:
            await asyncio.sleep(0.01)
        await client.compare_and_swap("b", b"", 0)
        await client.compare_and_swap("a/1", b"1", 0)
        assert (await waiting).values == [base.Value("a/1", b"1", 2)]
        await client.compare_and_swap("a/1", b"2", 2)
        await client.compare_and_swap("a/1", None, 3)
        later = await client.watch("a/", 2, 5.0)
        assert later == base.Snapshot(4, [base.Value("a/1", None, 4)], False)
        empty = await client.watch("a/", 4, 0.01)
        assert empty == base.Snapshot(4, [], False)
        assert platform.server.counts == http_messages.Counts(0, 4, 3)


@pytest.mark.parametrize("after_revision", [0, 99])
async def test_a_watch_outside_the_history_returns_a_complete_snapshot(
    after_revision,
):
    async with standins.platform(history=2) as platform:
        for n in range(4):
            await platform.client.compare_and_swap(f"a/{n}", b"", 0)
        snapshot = await platform.client.watch("a/", after_revision, 5.0)
        assert snapshot.complete
        assert len(snapshot.values) == 4


async def test_the_end_of_a_lease_deletes_its_key_and_a_watch_reports_it():
    async with standins.platform() as platform:
        client = platform.client
        lease = await client.grant_lease(0.4)
        await client.compare_and_swap("a", b"", 0, lease)
        assert await client.renew_lease(lease)
        deletion = await client.watch("a", 1, 5.0)
        assert deletion.values == [base.Value("a", None, 2)]
        assert not await client.renew_lease(lease)
        late = await client.compare_and_swap("a", b"", 0, lease)
        assert not late.swapped


@pytest.mark.parametrize(
    "lost", [SWITCHES(lose_answers=1), SWITCHES(lose_share=1.0)]
)
async def test_a_lost_answer_is_unknown_and_the_write_took_effect(lost):
    async with standins.platform() as platform:
        await processes.switch(platform.address, lost)
        with pytest.raises(base.StoreUnknownError):
            await platform.client.compare_and_swap("a", b"1", 0)
        assert (await platform.client.get("a")).data == b"1"


async def test_a_late_write_takes_effect_after_a_read_that_missed_it():
    async with standins.platform() as platform:
        late = SWITCHES(late_writes=1, late_ms=400)
        await processes.switch(platform.address, late)
        with pytest.raises(base.StoreUnknownError):
            await platform.client.compare_and_swap("a", b"1", 0)
        assert await platform.client.get("a") is None
        assert (await platform.client.watch("a", 0, 5.0)).values


async def test_a_late_write_fails_against_a_newer_one():
    async with standins.platform() as platform:
        late = SWITCHES(late_writes=1, late_ms=400)
        await processes.switch(platform.address, late)
        with pytest.raises(base.StoreUnknownError):
            await platform.client.compare_and_swap("a", b"late", 0)
        await platform.client.compare_and_swap("a", b"fence", 0)
        await asyncio.sleep(0.6)
        assert (await platform.client.get("a")).data == b"fence"


async def test_a_refused_call_is_unavailable_and_without_effect():
    async with standins.platform() as platform:
        await processes.switch(platform.address, SWITCHES(outage=OUTAGE.REFUSE))
        with pytest.raises(base.StoreUnavailableError):
            await platform.client.compare_and_swap("a", b"1", 0)
        await processes.switch(platform.address, SWITCHES())
        assert await platform.client.get("a") is None


async def test_a_hanging_store_is_unknown_to_writes_which_may_apply_later():
    async with standins.platform(timeout_ms=50) as platform:
        await processes.switch(platform.address, SWITCHES(outage=OUTAGE.HANG))
        with pytest.raises(base.StoreUnavailableError):
            await platform.client.get("a")
        with pytest.raises(base.StoreUnknownError):
            await platform.client.compare_and_swap("a", b"1", 0)
        await processes.switch(platform.address, SWITCHES())
        assert (await platform.client.watch("a", 0, 5.0)).values


async def test_a_store_slower_than_the_time_limit_is_unknown_to_writes():
    async with standins.platform(timeout_ms=50) as platform:
        await processes.switch(platform.address, SWITCHES(slowness_ms=150))
        with pytest.raises(base.StoreUnknownError):
            await platform.client.compare_and_swap("a", b"1", 0)
        await processes.switch(platform.address, SWITCHES())
        assert (await platform.client.watch("a", 0, 5.0)).values


async def test_a_store_that_does_not_run_is_unavailable():
    (port,) = processes.free_ports(1)
    client = http.connect(f"127.0.0.1:{port}")
    with pytest.raises(base.StoreUnavailableError):
        await client.compare_and_swap("a", b"1", 0)
    with pytest.raises(base.StoreUnavailableError):
        await client.watch("a", 0, 1.0)
    await client.close()


async def test_invalid_answers_are_unavailable_to_reads_and_unknown_to_writes():
    async with standins.platform() as platform:
        client = platform.client
        count = len(platform_switches.NONSENSE)
        await processes.switch(platform.address, SWITCHES(nonsense=3 * count))
        for _ in range(count):
            with pytest.raises(base.StoreUnavailableError):
                await client.get("a")
            with pytest.raises(base.StoreUnavailableError):
                await client.watch("a", 0, 0.01)
            with pytest.raises(base.StoreUnknownError):
                await client.compare_and_swap("a", b"1", 0)
        await client.list("")


async def test_a_reused_connection_that_ended_is_unknown_and_not_retried():
    def answer_null(head: str) -> bytes:
        return b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"value":null}'

    async with standins.scripted(
        answer_null, lambda head: None, answer_null
    ) as server:
        client = http.connect(server.address)
        await client.get("a")
        with pytest.raises(base.StoreUnknownError):
            await client.compare_and_swap("a", b"1", 0)
        await client.close()
    assert len(server.requests) == 2
