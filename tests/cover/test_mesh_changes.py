"""Tests of requests through whole nodes while parts start, stop or change."""

import asyncio
import copy

import pytest_asyncio

from auburnrock.engine.mesh import peer_messages
from tests.common import mesh_fleet


@pytest_asyncio.fixture
async def fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "portal", "booker", "booker")
    yield made
    await made.stop()


async def test_a_new_configuration_is_soon_in_force_at_all_nodes(fleet):
    listeners = copy.deepcopy(mesh_fleet.CONFIGURATION["listeners"])
    listeners[0]["rule_set"][2]["match"]["path_prefix"] = "/verify/"
    fleet.configure(version=9, listeners=listeners)
    await asyncio.sleep(0.5)
    for host in fleet.hosts:
        assert (await fleet.send_request(host, "/verify/x"))[0] == 200
        assert (await fleet.send_request(host, "/check/x"))[0] == 404


async def test_an_older_or_unreadable_configuration_changes_nothing(fleet):
    fleet.configure(version=6, listeners=[])
    fleet.store.put("op/config", b"{")
    await asyncio.sleep(0.3)
    assert (await fleet.send_request(fleet.hosts[0], "/check/x"))[0] == 200


async def test_requests_go_to_other_targets_after_a_crash(fleet):
    await fleet.hosts[2].target.crash()
    answers = [
        await fleet.send_request(fleet.hosts[0], f"/check/{n}")
        for n in range(10)
    ]
    assert [status for status, _, _ in answers] == [200] * 10


async def test_a_draining_target_gets_no_new_requests(fleet):
    leaving = fleet.hosts[2].target
    leaving.state = "draining"
    await fleet.wait_until(
        lambda: fleet.hosts[2].node.executor.drain_since_ms is not None
    )
    before = len(leaving.executed_requests)
    for number in range(10):
        assert (await fleet.send_request(fleet.hosts[2], f"/check/{number}"))[
            0
        ] == 200
    assert len(leaving.executed_requests) == before


async def test_a_stopping_node_interrupts_no_request(fleet):
    for host in fleet.hosts[2:]:
        host.target.behaviour.work_s = 0.06
    statuses = []
    stopped = fleet.hosts[2].node.stopped

    async def send_requests(host):
        while not stopped.is_set():
            # An idempotent request would be retried, which would hide a loss.
            status, _, _ = await fleet.send_request(
                host, "/book/x", method="POST"
            )
            statuses.append(status)

    callers = [send_requests(fleet.hosts[number]) for number in (0, 1, 3) * 6]
    senders = asyncio.gather(*callers)
    await asyncio.sleep(0.2)
    fleet.hosts[2].node.begin_stop()
    await stopped.wait()
    await fleet.hosts[2].kill_node()
    await senders
    assert len(statuses) > 100
    assert set(statuses) <= {200, 503}


async def test_a_stopping_node_answers_every_request_that_it_has_read(fleet):
    """Callers may send requests until the node closes their connections.

    A request that ran must get its answer before the connection is closed.
    """
    for host in fleet.hosts[2:]:
        host.target.behaviour.work_s = 0.06
    node = fleet.hosts[0].node
    host, _, port = fleet.hosts[0].addresses["caller"].rpartition(":")
    unanswered = []

    async def send_requests(name):
        number = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except ConnectionError:
                return
            while True:
                number += 1
                writer.write(
                    b"POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
                    b"Auburnrock-Deadline-Ms: 1000\r\nContent-Length: 0\r\n"
                    b"Auburnrock-Attempt-Id: s-%d-%d\r\n\r\n" % (name, number)
                )
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except (ConnectionError, asyncio.IncompleteReadError):
                    if fleet.execution_count(f"s-{name}-{number}"):
                        unanswered.append(number)
                    break
                if b"connection: close" in head:
                    break
            writer.close()

    senders = asyncio.gather(*(send_requests(name) for name in range(12)))
    await asyncio.sleep(0.2)
    node.begin_stop()
    await node.stopped.wait()
    await fleet.hosts[0].kill_node()
    await senders
    assert unanswered == []


async def test_a_node_restarted_during_a_store_outage_serves_at_once(fleet):
    restarted = fleet.hosts[2]
    # The other target of the service is lost, so that this one must serve.
    await fleet.hosts[3].target.crash()
    await restarted.kill_node()
    fleet.store.switches.busy = True
    await restarted.start_node()
    # The node must not learn of the target from its next heartbeat.
    restarted.target.heartbeat_s = 60.0
    await fleet.wait_until(
        lambda: (
            restarted.node.dispatcher.configuration is not None
            and restarted.node.executor.target is not None
        ),
        1.5,
    )
    await asyncio.sleep(0.4)
    for number in range(5):
        assert (await fleet.send_request(restarted, f"/check/{number}"))[
            0
        ] == 200
        assert (await fleet.send_request(restarted, "/lookup/x", key=number))[
            0
        ] == 200
    assert restarted.target.executed_requests


async def test_updates_from_peers_do_not_make_a_restarted_witness_ready(fleet):
    """A witness renews no lease before it has read the records itself."""
    restarted = fleet.hosts[1]
    record = fleet.store.value(f"auburnrock/m/{fleet.hosts[0].ip}")
    await restarted.kill_node()
    fleet.store.switches.busy = True
    await restarted.start_node()
    row = (f"auburnrock/m/{fleet.hosts[0].ip}", record, 99)
    restarted.node.store_gossip.on_store_update(
        "", peer_messages.StoreUpdate([row])
    )
    assert fleet.hosts[0].ip in restarted.node.ownership.cache.members
    assert not restarted.node.ownership.witness.has_read_records


async def test_a_node_registers_only_with_the_current_table(fleet):
    """A node must not register while it has an outdated key table.

    Otherwise it would grant keys that a takeover gave to others, if it received
    only a part of the takeover's changes.
    """
    host = fleet.hosts[0]
    key = "auburnrock/k/portal"
    node = host.node
    node.system_sync.stop()
    node.system_sync.apply_store_update = lambda items: None
    fleet.store.put(key, fleet.store.value(key))
    fleet.store.apply([], [f"auburnrock/m/{host.ip}"])
    node.ownership.cache.members.pop(host.ip)
    node.ownership.own_record.revision = 0
    await fleet.wait_until(lambda: node.ownership.own_record.revision)
    known = node.ownership.cache.tables["portal"][1]
    assert known == fleet.store.items[key][1]


async def test_a_node_without_a_configuration_answers_that_nothing_ran(fleet):
    fleet.hosts[0].node.dispatcher.configuration = None
    status, _, headers = await fleet.send_request(fleet.hosts[0], "/check/x")
    assert status == 503
    assert float(headers["retry-after"]) > 0


async def test_an_error_in_one_tick_does_not_end_the_ticks(fleet):
    node = fleet.hosts[0].node
    tick = node.peers.tick
    failed = []

    def fail_once() -> None:
        if not failed:
            failed.append(True)
            raise ValueError("unforeseen")
        tick()

    node.peers.tick = fail_once
    await fleet.wait_until(lambda: node.log.counts.get("fault"))
    ticked_ms = node.peers.ticked_ms
    await fleet.wait_until(lambda: node.peers.ticked_ms > ticked_ms)
