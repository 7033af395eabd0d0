"""Planned stops of a node while requests that it has read wait in queues.

Requests that waited for a slot, at their own node or at a neighbour, ended
without an answer when the node that had read them ended.
"""

import asyncio
import copy
import time

import pytest_asyncio

from tests.common import mesh_fleet

DEADLINE_MS = 8_000
SLOTS = 2
WORK_S = 0.7
COUNT = 60
KINDS = [("GET", "/check/"), ("POST", "/book/")]


@pytest_asyncio.fixture
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "booker", "booker")
    listeners = copy.deepcopy(mesh_fleet.CONFIGURATION["listeners"])
    for rule in listeners[0]["rule_set"]:
        rule["target_latency"] = "6000ms"
        rule["action"]["timeout"] = f"{DEADLINE_MS}ms"
    version = mesh_fleet.CONFIGURATION["version"] + 1
    made.configure(version=version, listeners=listeners)
    for host in made.hosts:
        host.target.slots = SLOTS
        host.target.behaviour.work_s = WORK_S
    await made.wait_until(
        lambda: all(
            each.node.configuration_version() == version
            and each.node.executor.queue.slots == SLOTS
            for each in made.hosts
        )
    )
    for turn in range(4):
        # The queues learn how long requests take.
        await asyncio.gather(
            *(
                send(made.hosts[0], f"first-{turn}-{number}", *kind)
                for number, kind in enumerate(KINDS * SLOTS)
            )
        )
    yield made
    await made.stop()


async def send(host, attempt, method, path):
    """Sends a request on a connection of its own.

    Returns:
      The attempt, its status (0 without an answer), and when it ended.
    """
    reader, writer = await asyncio.open_connection(
        *host.addresses["caller"].split(":")
    )
    writer.write(
        f"{method} {path}{attempt} HTTP/1.1\r\nHost: a.example\r\n"
        f"Auburnrock-Attempt-Id: {attempt}\r\n"
        f"Auburnrock-Deadline-Ms: {DEADLINE_MS}\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    status = 0
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()
    return attempt, status, time.monotonic()


async def check_stop(fleet, host, others=()):
    """Stops a host's node under load, and checks every answer.

    Args:
      fleet: the fleet.
      host: the host whose node stops.
      others: hosts at which requests are sent too.
    """
    stopping = host.node
    sends = []
    for number in range(COUNT):
        entry = (host, *others)[number % (1 + len(others))]
        kind = KINDS[number % 3 == 0]
        sends.append(
            asyncio.create_task(send(entry, f"queued-{number}", *kind))
        )
    await asyncio.sleep(1.0)
    stopping.begin_stop()
    began_s = time.monotonic()
    answers = await asyncio.gather(*sends)
    assert [each for each in answers if not each[1]] == []
    statuses = {attempt: status for attempt, status, _ in answers}
    assert set(statuses.values()) == {200, 503}
    refused_s = [
        ended_s - began_s
        for _, status, ended_s in answers
        if status == 503 and ended_s > began_s
    ]
    for attempt, status in statuses.items():
        runs = fleet.execution_count(attempt)
        assert runs == (status == 200), (attempt, status)
    await stopping.stopped.wait()
    return refused_s


async def test_requests_that_wait_at_neighbours_of_a_stopping_node_get_answers(
    fleet,
):
    refused_s = await check_stop(fleet, fleet.hosts[0])
    # Nothing waits until the process ends.
    assert max(refused_s) < 4.5


async def test_requests_that_wait_at_a_stopping_node_get_answers(fleet):
    refused_s = await check_stop(fleet, fleet.hosts[1])
    # Nothing waits until the process ends.
    assert max(refused_s) < 4.5


async def test_requests_of_others_that_wait_at_a_stopping_node_get_answers(
    fleet,
):
    await check_stop(fleet, fleet.hosts[1], [fleet.hosts[0], fleet.hosts[2]])
