"""Planned stops of a node, while callers keep their connections open."""

import asyncio
import copy

import pytest
import pytest_asyncio

from auburnrock.shells.mesh import node as node_module
from tests.common import mesh_fleet

pytestmark = pytest.mark.asyncio(loop_scope="module")

WORK_S = 4.5
DEADLINE_MS = 8_000


@pytest_asyncio.fixture(loop_scope="module")
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "booker", "booker")
    listeners = copy.deepcopy(mesh_fleet.CONFIGURATION["listeners"])
    for rule in listeners[0]["rule_set"]:
        rule["action"]["timeout"] = f"{DEADLINE_MS}ms"
    version = mesh_fleet.CONFIGURATION["version"] + 1
    made.configure(version=version, listeners=listeners)
    await made.wait_until(
        lambda: all(
            each.node.configuration_version() == version for each in made.hosts
        )
    )
    yield made
    await made.stop()


def request(attempt, path="/check/one", method="GET"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"Auburnrock-Attempt-Id: {attempt}\r\n"
        f"Auburnrock-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def read_statuses(reader):
    """Returns the statuses of all responses until the connection ends."""
    statuses = []
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return statuses
        statuses.append(int(head.split(b" ")[1]))
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.split(b":")[1]))


async def test_a_request_that_outlasts_a_stop_is_refused_when_it_comes_late(
    fleet,
):
    """Guards against requests that are taken late in the grace period, passed
    on, and cut without an answer at its end.
    """
    host = fleet.hosts[0]
    for each in fleet.hosts[1:]:
        each.target.behaviour.work_s = WORK_S
    reader, writer = await asyncio.open_connection(
        *host.addresses["caller"].split(":")
    )
    reading = asyncio.create_task(read_statuses(reader))
    stopping = host.node
    writer.write(request("early"))
    await asyncio.sleep(1.0)
    stopping.begin_stop()
    await asyncio.sleep(node_module.STOP_SERVING_S + 0.3)
    # The early request has kept the connection open.
    writer.write(request("late-1") + request("late-2"))
    sent = ["early", "late-1", "late-2"]
    statuses = await asyncio.wait_for(reading, 10.0)
    runs = {
        run.attempt
        for each in fleet.hosts[1:]
        for run in each.target.executed_requests
    }
    answered = dict(zip(sent, statuses, strict=False))
    for attempt in runs:
        assert answered.get(attempt) == 200, (attempt, answered)
    assert answered["early"] == 200
    assert statuses == [200, 503, 503]
    await stopping.stopped.wait()
    await host.kill_node()
    await host.start_node()


async def test_a_stopping_node_still_serves_what_ends_in_time(
    fleet, monkeypatch
):
    monkeypatch.setattr(node_module, "STOP_SERVING_S", 0.2)
    host = fleet.hosts[1]
    for each in fleet.hosts[1:]:
        each.target.behaviour.work_s = 0.3
    reader, writer = await asyncio.open_connection(
        *host.addresses["caller"].split(":")
    )
    stopping = host.node
    writer.write(request("early"))
    await asyncio.sleep(0.1)
    stopping.begin_stop()
    await asyncio.sleep(0.15)
    short = request("short").replace(b"%d" % DEADLINE_MS, b"1000")
    writer.write(short)
    statuses = await asyncio.wait_for(read_statuses(reader), 10.0)
    assert statuses == [200, 200]
    await stopping.stopped.wait()
    await host.kill_node()
    await host.start_node()
