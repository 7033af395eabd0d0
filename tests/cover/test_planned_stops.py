"""Planned stops of real processes while callers go on."""

import asyncio
import signal

import aiohttp
import pytest

from auburnrock.targets import protocol
from auburnrock_standins import journal as journal_lib
from auburnrock_standins import processes
from auburnrock_standins import target_server
from tests.common import request_fleet
from tests.common import traffic as traffic_lib

CALLERS = 12
DRAIN_BOUND_S = 2.0
KEYED = request_fleet.KEYED
UNKEYED = request_fleet.UNKEYED


@pytest.fixture
async def fleet(tmp_path):
    spec = request_fleet.spec_of([KEYED, KEYED, KEYED, KEYED, UNKEYED, UNKEYED])
    whole = request_fleet.RequestFleet(
        tmp_path, spec, processes.TargetSpec(service_time_ms=20)
    )
    with whole.deployment:
        await whole.start()
        yield whole


@pytest.fixture
async def traffic(fleet):
    callers = request_fleet.Callers()
    running = traffic_lib.Traffic(fleet, callers, CALLERS)
    yield running
    await callers.close()
    fleet.check(callers)


async def end(*stopped: processes.Process) -> None:
    for process in stopped:
        process.send(signal.SIGTERM)
    for process in stopped:
        while process.popen.poll() is None:
            await asyncio.sleep(0.02)
        assert process.popen.returncode == 0


async def test_no_request_fails_while_a_zone_is_stopped_host_by_host(
    fleet, traffic
):
    zone = [host for host in fleet.hosts if host.spec.zone == "z0"]
    assert len(zone) == 2
    await end(fleet.hosts[1].daemon)
    await fleet.reset()
    for host in zone:
        await end(host.daemon, host.target)
        await fleet.reset()
    await end(fleet.hosts[4].target)
    await fleet.reset()
    await traffic.stop()
    assert traffic.failed == []
    assert traffic.answered > 1_000


async def test_a_draining_target_gets_no_new_work_after_a_while(fleet, traffic):
    owner = await fleet.owner_of(traffic.callers, "key-1")
    draining = [owner, fleet.hosts[4]]

    async def executions() -> list[int]:
        journals = [
            await processes.fetch(
                host.target_address(),
                target_server.JOURNAL_PATH,
                journal_lib.Journal,
            )
            for host in draining
        ]
        return [len(journal.executions) for journal in journals]

    await asyncio.sleep(0.5)
    assert min(await executions()) > 0
    async with aiohttp.ClientSession() as session:
        for host in draining:
            url = f"http://{host.target_address()}{protocol.DRAIN_PATH}"
            async with session.post(url) as answer:
                assert answer.status == 200
    await asyncio.sleep(DRAIN_BOUND_S)
    after = await executions()
    await asyncio.sleep(0.5)
    assert await executions() == after
    for host in draining:
        host.target.kill()
    await fleet.reset()
    await asyncio.sleep(0.5)
    await traffic.stop()
    assert traffic.failed == []
    back = await executions()
    assert back[1] > 0
