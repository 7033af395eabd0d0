"""Tests of the HTTP client of targets and of the target stand-in."""

import asyncio
import contextlib

import pytest

from auburnrock import errors
from auburnrock.shells import clock
from auburnrock.targets import base
from auburnrock.targets import http
from auburnrock_standins import grants
from auburnrock_standins import processes
from auburnrock_standins import target_switches
from tests.common import standins


def echo_request_id(head: str) -> bytes:
    """Returns an answer that echoes the request's identifier."""
    lines = dict(line.split(": ", 1) for line in head.splitlines()[1:] if line)
    request_id = lines["Auburnrock-Request-Id"]
    return (
        f"HTTP/1.1 200 OK\r\nAuburnrock-Request-Id: {request_id}\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


def close_without_answer(head: str) -> None:
    """Closes the connection after the request, without an answer."""


@contextlib.asynccontextmanager
async def client_of(address: str):
    client = http.connect(address)
    try:
        yield client
    finally:
        await client.close()


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_a_request_is_never_sent_twice(method):
    """Guards against the retries that aiohttp makes by itself.

    When a reused connection ends before the answer, aiohttp sends a request
    with an idempotent method again, so a target could execute it twice.
    """
    async with (
        standins.scripted(
            echo_request_id, close_without_answer, echo_request_id
        ) as server,
        client_of(server.address) as client,
    ):
        await client.run(standins.work("r1", method=method))
        with pytest.raises(base.LostError) as lost:
            await client.run(standins.work("r2", method=method))
    assert lost.value.connection_ended
    assert len(server.requests) == 2


async def test_a_redirect_is_an_answer_and_not_followed():
    def redirect(head: str) -> bytes:
        return echo_request_id(head).replace(
            b"200 OK", b"307 T\r\nLocation: /other"
        )

    async with (
        standins.scripted(redirect, echo_request_id) as server,
        client_of(server.address) as client,
    ):
        answer = await client.run(standins.work())
    assert answer.status == 307
    assert len(server.requests) == 1


async def test_no_connection_means_not_sent():
    (port,) = processes.free_ports(1)
    async with client_of(f"127.0.0.1:{port}") as client:
        with pytest.raises(base.NotSentError) as not_sent:
            await client.run(standins.work())
        with pytest.raises(base.NotSentError):
            await client.grant(standins.grant("x", {}))
    assert not_sent.value.failure.answer().ran is errors.Ran.NO


async def test_crossed_answers_reach_neither_caller():
    async with standins.target() as target:
        await processes.switch(
            target.address, target_switches.TargetSwitches(cross_pairs=1)
        )
        outcomes = await asyncio.gather(
            target.client.run(standins.work("r1")),
            target.client.run(standins.work("r2")),
            return_exceptions=True,
        )
        assert [type(outcome) for outcome in outcomes] == [base.LostError] * 2
        after = await target.client.run(standins.work("r3"))
        assert after.status == 200


async def test_an_answer_without_the_identifier_ends_its_connection():
    def anonymous(head: str) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    async with (
        standins.scripted(anonymous, echo_request_id) as server,
        client_of(server.address) as client,
    ):
        with pytest.raises(base.LostError):
            await client.run(standins.work("r1"))
        await client.run(standins.work("r2"))
    assert server.connections == 2


async def test_a_truncated_answer_is_lost():
    async with standins.target() as target:
        await processes.switch(
            target.address, target_switches.TargetSwitches(truncate=1)
        )
        with pytest.raises(base.LostError) as lost:
            await target.client.run(standins.work())
        assert lost.value.connection_ended


async def test_a_silent_connection_loses_requests_and_a_new_one_does_not():
    async with standins.target() as target:
        await target.client.run(standins.work("r1"))
        await processes.switch(
            target.address,
            target_switches.TargetSwitches(silence_connections=True),
        )
        with pytest.raises(base.LostError) as lost:
            await target.client.run(standins.work("r2", deadline_ms=100))
        assert lost.value.silent
        assert not lost.value.connection_ended
        await target.client.run(standins.work("r3"), fresh_connection=True)
        ran = [e.request_id for e in target.server.executions]
        assert ran == ["r1", "r3"]


async def test_a_late_answer_reaches_no_later_request():
    async with standins.target() as target:
        await processes.switch(
            target.address, target_switches.TargetSwitches(late_ms=300)
        )
        with pytest.raises(base.LostError):
            await target.client.run(standins.work("r1", deadline_ms=100))
        await processes.switch(target.address, target_switches.TargetSwitches())
        answer = await target.client.run(standins.work("r2"))
        assert ("Auburnrock-Request-Id", "r2") in answer.headers


async def test_a_cancelled_request_stops_at_the_target():
    async with standins.target(service_time_ms=60_000) as target:
        run = asyncio.create_task(target.client.run(standins.work("r1")))
        while not target.server.running:
            await asyncio.sleep(0.01)
        await target.client.cancel("r1")
        with pytest.raises(base.LostError):
            await run
        while target.server.running:
            await asyncio.sleep(0.01)
        assert target.server.executions[0].cancelled


async def test_a_full_queue_refuses_without_running():
    async with standins.target(slots=1, queue=0, service_time_ms=200) as target:
        running = asyncio.create_task(target.client.run(standins.work("r1")))
        while not target.server.running:
            await asyncio.sleep(0.01)
        with pytest.raises(base.RefusedError) as refused:
            await target.client.run(standins.work("r2"))
        assert refused.value.failure.kind is errors.ErrorKind.OVERLOADED
        await running
        assert len(target.server.executions) == 1


@pytest.mark.parametrize("name", [None, "nonsense", "outcome_unknown"])
def test_a_refusal_never_has_a_kind_that_may_have_run(name):
    assert http.refused_kind(name) is errors.ErrorKind.TARGET_REFUSED


async def test_the_grant_is_checked_when_the_work_starts():
    """Guards against executing queued work whose grant has ended.

    The second request is queued while its shard is granted. The shard is
    released before a slot is free, so the request must not be executed.
    """
    async with standins.target(
        checks_grants=True, slots=1, service_time_ms=300
    ) as target:
        incarnation = target.server.incarnation
        await target.client.grant(standins.grant(incarnation, {3: 1}))
        first = asyncio.create_task(
            target.client.run(standins.work("r1", shard=3, epoch=1))
        )
        while not target.server.running:
            await asyncio.sleep(0.01)
        second = asyncio.create_task(
            target.client.run(standins.work("r2", shard=3, epoch=1))
        )
        while not target.server.queued:
            await asyncio.sleep(0.01)
        released = await target.client.grant(standins.grant(incarnation, {}))
        assert released.running == {3: 1}
        await first
        with pytest.raises(base.RefusedError):
            await second
        ran = [e.request_id for e in target.server.executions]
        assert ran == ["r1"]


async def test_a_frozen_target_refuses_work_after_its_grant_ended():
    async with standins.target(checks_grants=True) as target:
        incarnation = target.server.incarnation
        await target.client.grant(standins.grant(incarnation, {3: 1}, 50))
        await asyncio.sleep(0.06)
        with pytest.raises(base.RefusedError):
            await target.client.run(standins.work("r1", shard=3, epoch=1))
        assert not target.server.executions


def test_a_grant_for_another_incarnation_or_after_its_end_is_refused():
    holder = grants.GrantHolder("t1")
    now_ms = clock.now_ms()
    assert holder.refusal(standins.grant("t2", {3: 1}), now_ms)
    assert holder.refusal(standins.grant("t1", {3: 1}, -1), now_ms)
    assert holder.refusal(standins.grant("t1", {3: 1}), now_ms) is None


def test_an_epoch_lower_than_one_seen_is_refused():
    holder = grants.GrantHolder("t1")
    holder.accept(standins.grant("t1", {3: 7}))
    assert holder.refusal(standins.grant("t1", {3: 6}), clock.now_ms())
    assert not holder.allows(3, 6, clock.now_ms())
    assert holder.allows(3, 7, clock.now_ms())


def test_a_late_grant_does_not_restore_a_released_shard():
    holder = grants.GrantHolder("t1")
    late = standins.grant("t1", {3: 7, 4: 1})
    holder.accept(late)
    holder.accept(standins.grant("t1", {4: 1}))
    assert holder.refusal(late, clock.now_ms())
    holder.accept(standins.grant("t1", {3: 8, 4: 1}))
    assert holder.allows(3, 8, clock.now_ms())


def test_a_late_grant_does_not_replace_a_later_one():
    holder = grants.GrantHolder("t1")
    late = standins.grant("t1", {3: 7})
    holder.accept(standins.grant("t1", {3: 7, 4: 1}))
    assert holder.refusal(late, clock.now_ms())
    from_former_node = standins.grant("t1", {3: 7})
    from_former_node.node = 0
    assert holder.refusal(from_former_node, clock.now_ms())
    assert holder.allows(4, 1, clock.now_ms())


async def test_reports_are_wrong_and_late_as_configured():
    async with standins.target(service_time_ms=60_000) as target:
        switches = target_switches.TargetSwitches(
            healthy=False, report_lag_ms=60_000
        )
        await processes.switch(target.address, switches)
        assert not (await target.client.health()).healthy
        assert (await target.client.load()).running == 0
        run = asyncio.create_task(target.client.run(standins.work("r1")))
        while not target.server.running:
            await asyncio.sleep(0.01)
        assert (await target.client.load()).running == 0
        await processes.switch(target.address, target_switches.TargetSwitches())
        assert (await target.client.load()).running == 1
        run.cancel()


async def test_a_shedding_target_refuses_all_work():
    async with standins.target() as target:
        await processes.switch(
            target.address, target_switches.TargetSwitches(shed=True)
        )
        with pytest.raises(base.RefusedError):
            await target.client.run(standins.work())
        assert not target.server.executions


async def test_a_cold_target_is_slow_at_first():
    async with standins.target(
        cold_start_ms=60_000, cold_service_time_ms=50, service_time_ms=0
    ) as target:
        await target.client.run(standins.work("r1"))
        target.server.started_ms -= 60_000
        await target.client.run(standins.work("r2"))
        cold, warm = target.server.executions
        assert cold.ended_ms - cold.started_ms >= 49
        assert target.server.run_time_ms() == 0
        assert warm.ended_ms is not None


async def test_a_frozen_event_loop_answers_after_it_resumes():
    async with standins.target() as target:
        await processes.switch(
            target.address, target_switches.TargetSwitches(freeze_ms=100)
        )
        start_ms = clock.now_ms()
        await asyncio.sleep(0.05)
        assert clock.now_ms() - start_ms >= 100
        assert (await target.client.run(standins.work())).status == 200


async def test_requests_on_fresh_connections_can_use_all_slots_of_the_target():
    """Guards against too few fresh connections for non-idempotent requests.

    Those are always sent on fresh connections, so a lower number of these
    would leave slots of the target unused.
    """
    async with standins.target(service_time_ms=1_000) as target:
        runs = [
            asyncio.create_task(target.client.run(standins.work(f"r{n}"), True))
            for n in range(20)
        ]
        most_running = 0
        while not runs[0].done():
            most_running = max(
                most_running, (await target.client.load()).running
            )
            await asyncio.sleep(0.02)
        await asyncio.gather(*runs)
    assert most_running == 20


async def test_a_slow_request_among_answered_ones_does_not_retire_the_pool():
    """Guards against replacing the connections of a target that answers.

    One slow request doesn't show that the connections are silent; retiring
    the pool would only open new connections to the target.
    """
    async with standins.target() as target:
        late = target_switches.TargetSwitches(late_ms=300)
        await processes.switch(target.address, late)
        sent_ms = clock.now_ms()
        slow = asyncio.create_task(target.client.run(standins.work("slow")))
        while target.server.running or not target.server.executions:
            await asyncio.sleep(0.01)
        await processes.switch(target.address, target_switches.TargetSwitches())
        await target.client.run(standins.work("r1"))
        pool = target.client.pool
        target.client.retire_if_silent(clock.now_ms() - sent_ms)
        assert target.client.pool is pool
        await slow


async def test_a_pool_of_silent_connections_is_retired_at_once():
    """Guards against a delay because a pool was retired shortly before.

    MIN_RETIRE_INTERVAL_S limits only `retire_idle`; it must not delay
    `retire_if_silent`.
    """
    async with standins.target() as target:
        client = target.client
        for number in range(3):
            await client.run(standins.work(f"r{number}"))
            pool = client.pool
            await processes.switch(
                target.address,
                target_switches.TargetSwitches(silence_connections=True),
            )
            silent = standins.work(f"silent{number}", deadline_ms=100)
            lost_run = asyncio.create_task(client.run(silent))
            await asyncio.sleep(0.02)
            client.retire_if_silent(20)
            assert client.pool is not pool
            client.retire_if_silent(0)
            assert client.pool.heard_s is None
            assert client.retired_pools == {pool}
            with pytest.raises(base.LostError):
                await lost_run
            assert not client.retired_pools


async def test_retired_idle_connections_are_not_reused():
    async with standins.target() as target:
        await asyncio.gather(
            *(target.client.run(standins.work(f"r{n}")) for n in range(5))
        )
        await processes.switch(
            target.address,
            target_switches.TargetSwitches(silence_connections=True),
        )
        with pytest.raises(base.LostError):
            await target.client.run(standins.work("silent", deadline_ms=50))
        await asyncio.sleep(http.MIN_RETIRE_INTERVAL_S)
        target.client.retire_idle()
        await target.client.run(standins.work("r5"))
