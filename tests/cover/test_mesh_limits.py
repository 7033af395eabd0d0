"""Targets that name a limit of requests, or that leave, in their answers."""

import asyncio

import pytest
import pytest_asyncio

from tests.common import mesh_fleet

pytestmark = pytest.mark.asyncio(loop_scope="module")

LIMIT_PER_S = 20.0
HEADROOM = 1.5
HEADROOM_REQUESTS = 5
"""A target may get this many requests more than `HEADROOM` times its limit."""


@pytest_asyncio.fixture(loop_scope="module")
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "booker", "booker")
    yield made
    await made.stop()


async def send_for(fleet, duration_s, path, **options):
    """Sends requests from all hosts, ten times the limit; returns statuses."""
    sending = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        host = fleet.hosts[len(sending) % len(fleet.hosts)]
        sending.append(
            loop.create_task(fleet.send_request(host, path, **options))
        )
        await asyncio.sleep(0.1 / LIMIT_PER_S)
    answers = await asyncio.gather(*sending)
    return [status for status, _, _ in answers]


def arrivals_after(target, since_s):
    return [
        each.at_s for each in target.executed_requests if each.at_s > since_s
    ]


async def test_a_target_gets_no_more_requests_than_it_says(fleet):
    loop = asyncio.get_running_loop()
    for host in fleet.hosts[1:]:
        host.target.behaviour.limit = str(LIMIT_PER_S)
    await send_for(fleet, 0.5, "/check/one")
    began_s = loop.time()
    statuses = await send_for(fleet, 2.0, "/check/one")
    span_s = loop.time() - began_s
    allowed = HEADROOM * span_s * LIMIT_PER_S + HEADROOM_REQUESTS
    for host in fleet.hosts[1:]:
        got = len(arrivals_after(host.target, began_s))
        assert span_s * LIMIT_PER_S / 2 < got <= allowed
    assert set(statuses) == {200, 503}


async def test_the_owner_of_a_key_gets_no_more_requests_than_it_says(fleet):
    loop = asyncio.get_running_loop()
    target = fleet.hosts[0].target
    target.behaviour.limit = str(LIMIT_PER_S)
    await send_for(fleet, 0.5, "/lookup/one", key=7)
    began_s = loop.time()
    await send_for(fleet, 2.0, "/lookup/one", key=7)
    span_s = loop.time() - began_s
    allowed = HEADROOM * span_s * LIMIT_PER_S + HEADROOM_REQUESTS
    assert len(arrivals_after(target, began_s)) <= allowed


async def test_a_limit_ends_with_the_first_answer_that_names_none(fleet):
    target = fleet.hosts[0].target
    target.behaviour.limit = "5"
    await send_for(fleet, 1.0, "/lookup/one", key=7)
    target.behaviour.limit = ""
    await send_for(fleet, 0.5, "/lookup/one", key=7)
    statuses = await send_for(fleet, 0.5, "/lookup/one", key=7)
    assert set(statuses) == {200}


async def announce_leaving(fleet, host):
    """Lets all nodes pass on answers in which a target says that it leaves."""
    host.target.behaviour.leaving = True
    for each in fleet.hosts:
        sending = (fleet.send_request(each, "/check/one") for _ in range(30))
        await asyncio.gather(*sending)
    assert host.target.executed_requests


async def test_a_target_that_leaves_in_its_answers_gets_no_request_later(fleet):
    host, other = fleet.hosts[1:]
    drain_s = host.settings().bounds.drain_ms / 1_000
    await announce_leaving(fleet, host)
    await asyncio.sleep(drain_s)
    host.target.executed_requests.clear()
    for each in fleet.hosts * 3:
        assert (await fleet.send_request(each, "/check/one"))[0] == 200
    assert not host.target.executed_requests
    assert other.target.executed_requests


async def test_a_node_that_restarts_remembers_that_its_target_leaves(fleet):
    host, other = fleet.hosts[1:]
    drain_s = host.settings().bounds.drain_ms / 1_000
    await announce_leaving(fleet, host)
    await asyncio.sleep(drain_s)
    await host.kill_node()
    await host.start_node()
    executor = host.node.executor
    await fleet.wait_until(lambda: executor.drain_since_ms is not None)
    host.target.executed_requests.clear()
    for each in (fleet.hosts[0], other):
        sending = (fleet.send_request(each, "/check/one") for _ in range(30))
        await asyncio.gather(*sending)
    assert not host.target.executed_requests


@pytest_asyncio.fixture(loop_scope="module")
async def portals():
    made = mesh_fleet.Fleet()
    await made.start("portal", "portal")
    yield made
    await made.stop()


async def send_over_all_keys(fleet, duration_s):
    """Sends 100 requests a second for keys spread over all targets."""
    loop = asyncio.get_running_loop()
    sending = []
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        key = len(sending) * 2_503 % 65_536
        path = f"/lookup/{key}"
        sending.append(
            loop.create_task(fleet.send_request(fleet.hosts[0], path, key=key))
        )
        await asyncio.sleep(0.01)
    await asyncio.gather(*sending)


async def test_keys_move_away_from_a_target_with_a_limit_and_back(portals):
    target = portals.hosts[0].target
    for host in portals.hosts:
        # Times of a millisecond differ too much for equal shares of the keys.
        host.target.behaviour.work_s = 0.1
    usual = target.held_key_count()
    await send_over_all_keys(portals, 2.0)
    target.behaviour.limit = "10"
    await send_over_all_keys(portals, 4.0)
    assert target.held_key_count() < 0.7 * usual
    target.behaviour.limit = ""
    await send_over_all_keys(portals, 1.0)
    await portals.wait_until(lambda: target.held_key_count() > 0.8 * usual)


async def test_a_node_that_restarts_remembers_the_limit_of_its_target(fleet):
    host = fleet.hosts[0]
    host.target.behaviour.limit = str(LIMIT_PER_S)
    await send_for(fleet, 0.5, "/lookup/one", key=7)
    await asyncio.sleep(0.3)
    await host.kill_node()
    await host.start_node()

    def knows_limit():
        return host.node.executor.queue.rate_limit.per_s == LIMIT_PER_S

    await fleet.wait_until(knows_limit, limit_s=3.0)


async def test_a_limit_that_is_no_number_changes_nothing(fleet):
    target = fleet.hosts[0].target
    rate_limit = fleet.hosts[0].node.executor.queue.rate_limit
    for value in ("-1", "1e3", "nan", "9" * 400, "4,5"):
        target.behaviour.limit = value
        status, _, _ = await fleet.send_request(
            fleet.hosts[1], "/lookup/one", key=7
        )
        assert status == 200
        assert rate_limit.per_s is None
    target.behaviour.limit = "0.5"
    await fleet.send_request(fleet.hosts[1], "/lookup/one", key=7)
    assert rate_limit.per_s == 0.5
