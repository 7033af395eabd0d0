"""Requests that crash the targets that run them, on a fleet of nodes."""

import asyncio

import msgspec
import pytest
import pytest_asyncio

from auburnrock.engine.mesh import crash_suspects
from tests.common import mesh
from tests.common import mesh_fleet

pytestmark = pytest.mark.asyncio(loop_scope="module")

BOOKERS = 5
CRASHING = "/book/crash"
"""Path of requests that crash their targets. They are not idempotent, so that
no node sends one again by itself."""


@pytest_asyncio.fixture(loop_scope="module")
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", *["booker"] * BOOKERS)
    for host in made.hosts:
        host.target.behaviour.crash_path = CRASHING
    yield made
    await made.stop()


def is_down(host):
    return not host.target.server.is_serving()


async def crash_targets(fleet):
    """Sends copies of one request at all bookers at the same time."""
    bookers = fleet.hosts[1:]
    for host in bookers:
        host.target.behaviour.work_s = 0.1
    await asyncio.gather(
        *(
            fleet.send_request(host, CRASHING, method="POST", data=b"d")
            for host in bookers
            for _ in range(2)
        )
    )
    crashed = [host for host in bookers if is_down(host)]
    await fleet.wait_until(
        lambda: all(host.node.executor.target is None for host in crashed)
    )
    return crashed


async def test_a_request_that_crashes_targets_at_once_runs_at_no_more(fleet):
    crashed = await crash_targets(fleet)
    assert len(crashed) >= 3
    for host in crashed:
        await host.start_target()
        host.target.behaviour.crash_path = CRASHING
    await fleet.wait_until(fleet.is_settled)
    answers = [
        await fleet.send_request(host, CRASHING, method="POST", data=b"d")
        for host in fleet.hosts[1:]
    ]
    assert [host.ip for host in fleet.hosts if is_down(host)] == []
    assert [status for status, _, _ in answers] == [503] * BOOKERS


async def test_a_node_that_starts_learns_of_the_crashes_before(fleet):
    crashed = await crash_targets(fleet)
    assert len(crashed) >= 3
    host = crashed[0]
    await host.kill_node()
    await host.start_node()
    await fleet.wait_until(lambda: len(host.node.suspects.crashes) == 1)
    (suspect,) = host.node.suspects.crashes
    await fleet.wait_until(
        lambda: (
            host.node.suspects.crash_count(host.node.now_ms(), suspect)
            == len(crashed)
        )
    )


async def send_check(fleet, host):
    """Sends an idempotent request that crashes no target."""
    return (await fleet.send_request(host, "/check/one", deadline_ms=900))[0]


def suspect(host):
    """Makes all nodes suspect that request after two crashes; returns it."""
    node = host.node
    mark = crash_suspects.fingerprint(
        b"GET", b"a.example", b"/check/one", "booker", b""
    )
    for place in range(2):
        incarnation = mesh.incarnation(f"gone-{place}")
        news = node.suspects.on_crash(node.now_ms(), incarnation, {mark})
        node.broadcast_crashes(news)
    return mark


def counts(fleet, mark):
    nodes = [host.node for host in fleet.hosts]
    return [n.suspects.crash_count(n.now_ms(), mark) for n in nodes]


async def test_only_an_answer_that_is_no_failure_clears_a_request(fleet):
    host = fleet.hosts[1]
    mark = suspect(host)
    everywhere = len(fleet.hosts)
    await fleet.wait_until(lambda: counts(fleet, mark) == [2] * everywhere)
    for each in fleet.hosts:
        each.target.behaviour.status = 500
    assert await send_check(fleet, host) == 500
    await asyncio.sleep(0.1)
    assert counts(fleet, mark) == [2] * everywhere
    for each in fleet.hosts:
        each.target.behaviour.status = 200
    assert await send_check(fleet, host) == 200
    await fleet.wait_until(lambda: counts(fleet, mark) == [0] * everywhere)


async def crash_one(fleet):
    """Crashes one target; returns its host as soon as it is down."""
    sending = asyncio.create_task(
        fleet.send_request(fleet.hosts[1], CRASHING, method="POST", data=b"d")
    )
    down = []
    while not down:
        await asyncio.sleep(0)
        down = [host for host in fleet.hosts if is_down(host)]
    return down[0], sending


def known_counts(fleet):
    return {
        n.suspects.crash_count(n.now_ms(), mark)
        for n in (host.node for host in fleet.hosts)
        for mark in list(n.suspects.crashes)
    }


async def test_a_target_that_starts_again_at_once_has_crashed(fleet):
    host, sending = await crash_one(fleet)
    await host.start_target()
    await sending
    await fleet.wait_until(lambda: known_counts(fleet) == {1})
    assert all(host.node.suspects.crashes for host in fleet.hosts)


async def test_a_heartbeat_that_arrives_late_does_not_hide_a_crash(fleet):
    for host in fleet.hosts:
        deliver_heartbeat_at_check(host.node.executor)
    host, sending = await crash_one(fleet)
    await sending
    await fleet.wait_until(lambda: known_counts(fleet) == {1})
    assert host.node.executor.target is None


def deliver_heartbeat_at_check(executor):
    """Delivers a heartbeat whenever the port of the target is checked."""
    open_connection = executor.client.open

    async def open_late():
        beat = executor.target
        if executor.checking_port and beat is not None:
            executor.apply_heartbeat(
                msgspec.structs.replace(beat, sequence=beat.sequence + 1)
            )
        return await open_connection()

    executor.client.open = open_late


async def test_a_target_that_leaves_after_its_drain_has_not_crashed(fleet):
    entry = fleet.hosts[1]
    for each in fleet.hosts[1:]:
        each.target.behaviour.crash_path = ""
        each.target.behaviour.work_s = 0.5
    sending = [
        asyncio.create_task(
            fleet.send_request(entry, "/book/one", method="POST", data=b"d")
        )
        for _ in range(2 * BOOKERS)
    ]
    busy = []
    while not busy:
        await asyncio.sleep(0.01)
        busy = [h for h in fleet.hosts if h.target.executed_requests]
    host = busy[0]
    executor = host.node.executor
    executor.begin_drain("heartbeat")
    executor.drain_since_ms -= host.node.settings.bounds.drain_ms
    await host.target.crash()
    await asyncio.gather(*sending)
    await fleet.wait_until(lambda: executor.target is None)
    assert known_counts(fleet) == set()


async def test_a_request_that_crashes_targets_is_refused_where_it_arrives(
    fleet,
):
    host = fleet.hosts[1]
    mark = suspect(host)
    third = mesh.incarnation("gone-2")
    host.node.suspects.on_crash(host.node.now_ms(), third, {mark})
    tried = []
    host.node.dispatcher.execute = lambda name, run: tried.append(name)
    status, _, headers = await fleet.send_request(host, "/check/one")
    assert status == 503
    assert 55.0 < float(headers["retry-after"]) <= 60.0
    assert tried == []
