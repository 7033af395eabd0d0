"""Requests through complete nodes, with faulty targets and connections.

All tests of this file share one fleet; each restores its state.
"""

import asyncio
import contextlib

import msgspec
import pytest
import pytest_asyncio

from auburnrock.engine.mesh import connection_state
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import retry_budget
from auburnrock.engine.mesh import service_time_ratio
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import frames
from auburnrock.shells.mesh import peer_connections
from auburnrock.shells.mesh import peer_link
from auburnrock_standins import mesh_target
from tests.common import mesh
from tests.common import mesh_fleet

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared_fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "portal", "booker", "booker")
    yield made
    await made.stop()


@pytest_asyncio.fixture(loop_scope="module")
async def fleet(shared_fleet):
    for host in shared_fleet.hosts:
        host.target.behaviour = mesh_target.Behaviour()
        host.target.executed_requests.clear()
        for group in host.node.dispatcher.groups.values():
            for candidate in group.by_name.values():
                candidate.failure_rate = 0.0
        host.node.dispatcher.retry_budgets.clear()
        host.node.dispatcher.usual_waits_ms.clear()
        # Slow requests of one test would make keys move in the next.
        host.node.executor.service_time_ratio = (
            service_time_ratio.ServiceTimeRatio(host.node.now_ms())
        )
    yield shared_fleet


async def test_any_node_serves_every_key_with_the_owners_own_answer(fleet):
    for host in fleet.hosts:
        for key in range(0, 65_536, 8_191):
            status, body, headers = await fleet.send_request(
                host, f"/lookup/{key}?a=%20b", key=key
            )
            assert status == 200
            assert body.endswith(f"/lookup/{key}?a=%20b".encode())
            assert headers["auburnrock-response-seal"]


async def test_the_caller_service_is_that_of_the_first_host(fleet):
    await fleet.send_request(
        fleet.hosts[2],
        "/lookup/x",
        key=5,
        headers={"Auburnrock-Caller-Service": "forged"},
    )
    callers = [
        run.caller for h in fleet.hosts for run in h.target.executed_requests
    ]
    assert callers == ["booker"]


async def test_the_target_never_gets_more_time_than_is_left(fleet):
    await fleet.send_request(fleet.hosts[0], "/check/x", deadline_ms=700)
    await fleet.send_request(fleet.hosts[0], "/check/y", deadline_ms=60_000)
    limits = sorted(
        r.deadline_ms for h in fleet.hosts for r in h.target.executed_requests
    )
    assert 0 < limits[0] <= 700
    assert 0 < limits[1] <= 1_000


async def test_an_unknown_route_is_404_and_a_missing_key_400(fleet):
    assert (await fleet.send_request(fleet.hosts[0], "/nowhere/"))[0] == 404
    assert (await fleet.send_request(fleet.hosts[0], "/lookup/x"))[0] == 400


async def test_answers_come_in_the_order_of_pipelined_requests(fleet):
    slow, quick = fleet.hosts[2].target, fleet.hosts[3].target
    slow.behaviour.work_s = 0.2
    quick.behaviour.work_s = 0.0
    host, _, port = fleet.hosts[0].addresses["caller"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(8):
        writer.write(
            f"GET /check/{number} HTTP/1.1\r\nHost: a.example\r\n"
            f"Auburnrock-Attempt-Id: p-{number}\r\n"
            "Auburnrock-Deadline-Ms: 1000\r\n\r\n".encode()
        )
    seen = []
    for _ in range(8):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        size = int(head.split("content-length: ")[1].split("\r\n")[0])
        await reader.readexactly(size)
        seen.append(head.split("auburnrock-attempt-id: ")[1].split("\r\n")[0])
    writer.close()
    assert seen == [f"p-{number}" for number in range(8)]


async def test_a_lost_answer_of_an_idempotent_request_is_asked_again(fleet):
    # Two lost responses would use up the route's two targets.
    fleet.hosts[2].target.behaviour.lose = 1
    answers = [
        await fleet.send_request(fleet.hosts[0], f"/check/{n}")
        for n in range(4)
    ]
    assert [status for status, _, _ in answers] == [200] * 4


async def test_a_request_that_must_not_repeat_runs_once_whatever_is_lost(
    fleet,
):
    for host in fleet.hosts[2:]:
        host.target.behaviour.lose = 100
    for number in range(5):
        status, _, _ = await fleet.send_request(
            fleet.hosts[number % 4], "/book/x", method="POST", data=b"d"
        )
        assert status in (502, 504)
        assert fleet.execution_count(f"at-{fleet.attempts}") <= 1


async def test_a_second_answer_reaches_no_other_request(fleet):
    for host in fleet.hosts[2:]:
        host.target.behaviour.extra = True
    for number in range(20):
        status, body, headers = await fleet.send_request(
            fleet.hosts[0], f"/check/{number}"
        )
        assert status == 200
        assert body.endswith(f"/check/{number}".encode())
        assert headers["auburnrock-attempt-id"] == f"at-{fleet.attempts}"


async def test_an_answer_that_is_cut_never_looks_complete(fleet):
    for host in fleet.hosts[2:]:
        host.target.behaviour.cut = True
    status, body, _ = await fleet.send_request(fleet.hosts[0], "/check/x")
    assert status == 502
    assert body == b""


async def test_an_answer_without_a_length_is_whole_at_its_end(fleet):
    for host in fleet.hosts[2:]:
        host.target.behaviour.unframed = True
    status, body, _ = await fleet.send_request(fleet.hosts[0], "/check/x")
    assert status == 200
    assert body.endswith(b"/check/x")


async def test_a_caller_that_leaves_frees_the_slot_at_once(fleet):
    for host in fleet.hosts[2:]:
        host.target.behaviour.work_s = 5.0
    try:
        async with asyncio.timeout(0.3):
            await fleet.send_request(
                fleet.hosts[0], "/check/x", deadline_ms=9_000
            )
    except TimeoutError:
        pass
    await asyncio.sleep(0.3)
    queues = [host.node.executor.queue for host in fleet.hosts]
    assert not any(queue.running or queue.queued for queue in queues)


async def test_work_cancelled_before_it_began_is_over(fleet):
    """Guards against requests that stay unfinished after a cancel.

    After a silent period a request and its cancel arrived together, and the
    node counted the request as unfinished until its grace period ended.
    """
    hub = fleet.hosts[2].node.peers
    sent = []
    sender = mesh.connection(sent)
    hub.inbound[sender] = peer_connections.Inbound("x", "start")
    hub.on_message(sender, mesh.run_message(99))
    hub.on_message(sender, peer_messages.Cancel(99))
    await asyncio.sleep(0.05)
    del hub.inbound[sender]
    assert hub.unfinished_count() == 0
    assert [type(message) for message in sent] == [peer_messages.Lost]


async def test_a_request_that_was_held_up_has_less_time_left(fleet):
    hub = fleet.hosts[2].node.peers
    origin = ("x", "start")
    now_ms = hub.now_ms()
    hub.update_clock_offset(origin, now_ms - 2.0)
    assert hub.transit_delay_ms(origin, now_ms - 702.0) >= 700.0
    assert hub.transit_delay_ms(origin, hub.now_ms()) == 0.0


async def test_a_request_is_answered_at_its_routes_timeout(fleet):
    for host in fleet.hosts[2:]:
        host.target.behaviour.work_s = 5.0
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    status, _, _ = await fleet.send_request(
        fleet.hosts[0], "/check/x", deadline_ms=9_000
    )
    assert status == 504
    assert 0.9 < loop.time() - began_s < 1.4


async def test_a_body_with_two_lengths_is_refused(fleet):
    host, _, port = fleet.hosts[0].addresses["caller"].rpartition(":")
    for framing in (
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    ):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /book/x HTTP/1.1\r\nHost: a.example\r\n{framing}\r\n"
            "3\r\nabc\r\n0\r\n\r\n".encode()
        )
        assert b" 400 " in await reader.readline()
        writer.close()
    assert not any(host.target.executed_requests for host in fleet.hosts)


async def test_a_request_does_not_wait_long_for_a_connection(fleet):
    """Guards against requests that are held for an unreachable host.

    A host without power refuses no connection, so its requests kept waiting.
    """
    hub = fleet.hosts[0].node.peers
    link = hub.link_to(fleet.hosts[2].ip)
    opened = link.connect
    never = asyncio.Event()
    link.drop_connection()
    link.connect = never.wait
    run = peer_messages.RunRequest(
        1, "at", "booker", "r", 1, -1, True, 900.0, 500.0, 500.0,
        b"GET", b"/", [], b"", "m", 0.0,
    )  # fmt: skip
    began_ms = hub.now_ms()
    outcome = await link.run(run)
    assert isinstance(outcome, peer_messages.Refused)
    assert not outcome.reached
    assert hub.now_ms() - began_ms < 300.0
    link.connect = opened
    link.state.on_failed(hub.now_ms())
    assert isinstance(await link.run(run), peer_messages.Refused)
    await fleet.wait_until(link.usable)


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff" + b"x" * 64,
        b"\x00\x00\x00\x03\xc1\xc1\xc1",
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 9,
        # A message of an unknown kind.
        b"\x00\x00\x00\x02\x91\x63",
    ],
)
async def test_bytes_that_are_no_frame_end_their_connection_only(fleet, data):
    hub = fleet.hosts[0].node.peers
    counts = hub.log.counts
    before = counts.get("frame_unreadable", 0)
    host, _, port = fleet.hosts[0].addresses["peer"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    with contextlib.suppress(ConnectionError):
        assert await reader.read() == b""
    writer.close()
    await fleet.wait_until(lambda: counts.get("frame_unreadable", 0) > before)
    status, _, _ = await fleet.send_request(fleet.hosts[0], "/lookup/x", key=9)
    assert status == 200


def _key_of(asker, owner) -> int:
    """Returns a key that `owner` owns according to the table of `asker`."""
    table = asker.node.dispatcher.tables["portal"]
    return next(
        key for key in range(model.KEYS) if table.owner_of(key).node == owner.ip
    )


async def _go_silent(fleet, link, silent_ms: float) -> None:
    """Stops reading from the other node, as behind a congested link."""
    link.connection.transport.pause_reading()
    state = link.state
    await fleet.wait_until(
        lambda: (
            state.unanswered_since_ms
            and link.delegate.now_ms() - state.unanswered_since_ms > silent_ms
        )
    )


async def test_a_request_at_a_silent_node_is_not_given_up_while_it_runs(
    fleet, monkeypatch
):
    """Guards against failing a request that may still succeed.

    With no retry allowed, a request at a silent node was reported as lost
    while its target ran it (LOST, on a recorded day of the grown Hint Delivery
    Mesh).
    """
    asker, owner = fleet.hosts[:2]
    owner.target.behaviour.work_s = 0.7
    monkeypatch.setattr(
        retry_budget.RetryBudget, "allows_retry", lambda *_: False
    )
    await _go_silent(fleet, asker.node.peers.links[owner.ip], 500.0)
    before = asker.node.log.counts.get("peer_silent", 0)
    status, _, _ = await fleet.send_request(
        asker, "/lookup/x", key=_key_of(asker, owner)
    )
    assert asker.node.log.counts["peer_silent"] == before + 1
    assert status == 200
    assert fleet.execution_count(f"at-{fleet.attempts}") == 1


def _delay_connect(monkeypatch, link, for_s: float) -> None:
    """Delays each new connection of a link."""
    connect = link.connect

    async def connect_late() -> None:
        await asyncio.sleep(for_s)
        await connect()

    monkeypatch.setattr(link, "connect", connect_late)


async def test_work_goes_on_until_a_silent_node_has_connected_anew(
    fleet, monkeypatch
):
    asker, owner = fleet.hosts[:2]
    owner.target.behaviour.work_s = 0.7
    link = asker.node.peers.links[owner.ip]
    _delay_connect(
        monkeypatch, link, peer_connections.IDEMPOTENT_ORPHAN_TIMEOUT_S + 0.2
    )
    asking = asyncio.create_task(
        fleet.send_request(asker, "/lookup/x", key=_key_of(asker, owner))
    )
    await fleet.wait_until(lambda: owner.target.executed_requests)
    link.drop_connection()
    status, _, _ = await asking
    assert status == 200
    assert fleet.execution_count(f"at-{fleet.attempts}") == 1


async def test_a_caller_that_left_in_a_silence_ends_the_work_after_it(
    fleet, monkeypatch
):
    asker, owner = fleet.hosts[:2]
    owner.target.behaviour.work_s = 5.0
    link = asker.node.peers.links[owner.ip]
    _delay_connect(monkeypatch, link, 0.2)
    asking = asyncio.create_task(
        fleet.send_request(asker, "/lookup/x", key=_key_of(asker, owner))
    )
    await fleet.wait_until(lambda: owner.target.executed_requests)
    link.drop_connection()
    await asyncio.sleep(0.05)
    asking.cancel()
    await asyncio.sleep(0.35)
    assert not owner.node.executor.queue.running
    assert not link.unsent_cancels


async def test_a_caller_that_left_before_a_silence_was_noticed_ends_the_work(
    fleet, monkeypatch
):
    """Guards against a cancel that is lost with its connection."""
    asker, owner = fleet.hosts[:2]
    owner.target.behaviour.work_s = 5.0
    link = asker.node.peers.links[owner.ip]
    asking = asyncio.create_task(
        fleet.send_request(asker, "/lookup/x", key=_key_of(asker, owner))
    )
    await fleet.wait_until(lambda: owner.target.executed_requests)
    monkeypatch.setattr(link.connection, "send", lambda message: True)
    asking.cancel()
    await fleet.wait_until(lambda: not link.pending_requests)
    link.drop_connection()
    queue = owner.node.executor.queue
    await fleet.wait_until(
        lambda: not queue.running, peer_connections.ORPHAN_TIMEOUT_S / 2
    )


async def test_work_that_waits_does_not_begin_after_its_node_was_lost(
    fleet, monkeypatch
):
    """A request that was not sent to the target is reported as not run."""
    hub = fleet.hosts[0].node.peers
    monkeypatch.setattr(peer_connections, "IDEMPOTENT_ORPHAN_TIMEOUT_S", 0.01)
    ended = []

    async def wait_for_a_slot(run, on_sent, sender_bound):
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(run.number)

    monkeypatch.setattr(hub, "execute", wait_for_a_slot)
    sent, again = [], []
    connection = mesh.connection(sent)
    hub.on_message(connection, peer_messages.Hello("x", "start", False, True))
    hub.on_message(connection, mesh.run_message(7))
    await asyncio.sleep(0.01)
    hub.on_closed(connection)
    await asyncio.sleep(0.05)
    assert ended == [7]
    back = mesh.connection(again)
    hub.on_message(back, peer_messages.Hello("x", "start", False, True))
    hub.on_message(back, mesh.run_message(7))
    hub.on_closed(back)
    outcome = again[-1]
    assert isinstance(outcome, peer_messages.Refused)
    assert not outcome.reached


async def test_a_targets_own_failure_is_passed_on_if_no_repeat_is_taken(
    fleet, monkeypatch
):
    """Guards against a 502 that replaces the target's own response.

    It was sent when the retry was refused.
    """
    asker, owner = fleet.hosts[:2]
    owner.target.behaviour.status = 500
    run = owner.node.executor.run

    async def run_first_only(request, *rest):
        if owner.target.executed_requests:
            return peer_link.unreachable_refusal(request.number)
        return await run(request, *rest)

    monkeypatch.setattr(owner.node.peers, "execute", run_first_only)
    status, _, headers = await fleet.send_request(
        asker, "/lookup/x", key=_key_of(asker, owner)
    )
    assert status == 500
    assert headers["auburnrock-response-seal"]
    assert fleet.execution_count(f"at-{fleet.attempts}") == 1


@contextlib.asynccontextmanager
async def _record_removed(fleet, hub, name):
    """Removes the record of a node from another one's view for a while."""
    records = hub.members
    hub.set_members(
        {known: each for known, each in records.items() if known != name}
    )
    try:
        yield
    finally:
        hub.set_members(records)
        await fleet.wait_until(
            lambda: name in hub.links and hub.links[name].usable()
        )


async def test_a_removed_record_does_not_end_requests_that_run(fleet):
    """Guards against a 502 for requests that the target is still running."""
    asker, owner = fleet.hosts[:2]
    owner.target.behaviour.work_s = 0.3
    hub = asker.node.peers
    asking = asyncio.create_task(
        fleet.send_request(asker, "/lookup/x", key=_key_of(asker, owner))
    )
    await fleet.wait_until(lambda: owner.target.executed_requests)
    link = hub.links[owner.ip]
    async with _record_removed(fleet, hub, owner.ip):
        assert owner.ip not in hub.links
        status, _, _ = await asking
        await fleet.wait_until(lambda: link.connection is None)
    assert status == 200
    assert fleet.execution_count(f"at-{fleet.attempts}") == 1


async def test_a_record_that_is_written_again_is_no_other_target(
    fleet, monkeypatch
):
    """Guards against a retry at the target that is running the request.

    The request was failed, the retry charged to the budget, and the request
    sent to the same target again.
    """
    asker, owner = fleet.hosts[:2]
    owner.target.behaviour.work_s = 0.4
    hub, dispatcher = asker.node.peers, asker.node.dispatcher
    asking = asyncio.create_task(
        fleet.send_request(asker, "/lookup/x", key=_key_of(asker, owner))
    )
    await fleet.wait_until(lambda: owner.target.executed_requests)
    link = hub.links[owner.ip]
    records = dispatcher.members
    dispatcher.update_members(
        {name: each for name, each in records.items() if name != owner.ip}
    )
    dispatcher.update_members(records)
    link.drop_connection()
    link.fail_over_requests()
    status, _, _ = await asking
    assert status == 200
    assert fleet.execution_count(f"at-{fleet.attempts}") == 1


async def test_a_request_that_was_not_sent_ends_with_its_nodes_record(fleet):
    asker, owner = fleet.hosts[:2]
    hub = asker.node.peers
    link = hub.links[owner.ip]
    link.handshake_done = False
    asking = asyncio.create_task(link.run(mesh.run_message(1 << 40)))
    await fleet.wait_until(lambda: link.pending_requests)
    async with _record_removed(fleet, hub, owner.ip):
        outcome = await asking
    assert isinstance(outcome, peer_messages.Refused)
    assert not outcome.reached


async def test_a_part_of_a_long_message_is_a_sign_of_life(fleet):
    """Guards against a node that is regarded as silent while it sends.

    A frame of 600 KB takes a second at 5 Mbit/s, and so does a pong that is
    queued behind it.
    """
    asker, other = fleet.hosts[:2]
    link = asker.node.peers.links[other.ip]
    await fleet.wait_until(link.usable)
    connection = link.connection
    link.state.unanswered_since_ms = (
        link.delegate.now_ms() - 2 * connection_state.PING_TIMEOUT_MS
    )
    connection.data_received((600_000).to_bytes(4, "big") + bytes(1_000))
    assert link.step()
    assert link.connection is connection
    link.drop_connection()
    await fleet.wait_until(link.usable)


async def test_a_node_that_stood_still_takes_no_other_for_silent(fleet):
    """Guards against a node that has not yet read the pongs it received."""
    asker, other = fleet.hosts[:2]
    hub = asker.node.peers
    link = hub.links[other.ip]
    await fleet.wait_until(link.usable)
    connection = link.connection
    suspended_ms = 3 * connection_state.PING_TIMEOUT_MS
    hub.ticked_ms = hub.now_ms() - suspended_ms
    link.state.unanswered_since_ms = hub.ticked_ms - 50.0
    link.due_ms = 0.0
    hub.tick()
    assert link.connection is connection


def _inbound(hub, name: str) -> tuple[mesh.Connection, list]:
    """Returns an inbound connection after its handshake, and its messages."""
    sent = []
    connection = mesh.connection(sent)
    hub.on_message(connection, peer_messages.Hello(name, "start", False, True))
    return connection, sent


async def _until_outcome_sent(fleet, hub, number: int) -> None:
    """Waits until the outcome of a request of node x has been sent."""
    await fleet.wait_until(
        lambda: hub.remote_requests["x", "start", number].task is None
    )


async def test_a_request_that_comes_late_on_an_old_connection_changes_nothing(
    fleet, monkeypatch
):
    """Guards against cancelling a request when an older connection ends.

    The request's first copy was delayed at a congested link. It replaced the
    newer connection, and the end of the older one then cancelled the request.
    """
    hub = fleet.hosts[0].node.peers
    monkeypatch.setattr(peer_connections, "IDEMPOTENT_ORPHAN_TIMEOUT_S", 0.01)
    monkeypatch.setattr(peer_connections, "ORPHAN_TIMEOUT_S", 0.02)
    refusal = peer_link.unreachable_refusal(11)

    async def run_for_a_while(run, on_sent, sender_bound):
        on_sent()
        await asyncio.sleep(0.1)
        return refusal

    monkeypatch.setattr(hub, "execute", run_for_a_while)
    old, old_sent = _inbound(hub, "x")
    new, new_sent = _inbound(hub, "x")
    hub.on_message(new, mesh.run_message(11))
    await asyncio.sleep(0.01)
    hub.on_message(old, mesh.run_message(11))
    hub.on_closed(old)
    await _until_outcome_sent(fleet, hub, 11)
    hub.on_closed(new)
    assert refusal in new_sent
    assert refusal not in old_sent


async def test_a_request_that_comes_after_its_cancel_does_not_run(
    fleet, monkeypatch
):
    """Guards against a cancel on a new connection that arrives first."""
    hub = fleet.hosts[0].node.peers
    ran = []

    async def record_run(run, on_sent, sender_bound):
        ran.append(run.number)
        return peer_link.unreachable_refusal(run.number)

    monkeypatch.setattr(hub, "execute", record_run)
    old, _ = _inbound(hub, "x")
    new, _ = _inbound(hub, "x")
    hub.on_message(new, peer_messages.Cancel(12))
    hub.on_message(old, mesh.run_message(12))
    hub.on_message(old, mesh.run_message(13))
    await asyncio.sleep(0.01)
    hub.on_closed(old)
    hub.on_closed(new)
    assert ran == [13]
    assert hub.unfinished_count() == 0


async def test_a_cancel_does_not_wait_for_the_next_request_to_its_node(
    fleet, monkeypatch
):
    """Most links of a large fleet are not kept open.

    The cancel must nevertheless reach the node without a further request.
    """
    asker, other = fleet.hosts[:3:2]
    monkeypatch.setattr(asker.node.peers, "assign_duties", lambda: None)
    other.target.behaviour.work_s = 5.0
    link = asker.node.peers.links[other.ip]
    await fleet.wait_until(link.usable)
    run = msgspec.structs.replace(mesh.run_message(1 << 41), left_ms=5_000.0)
    asking = asyncio.create_task(link.run(run))
    await fleet.wait_until(lambda: other.target.executed_requests)
    link.state.keep_open = False
    link.drop_connection()
    asking.cancel()
    try:
        await fleet.wait_until(
            lambda: not other.node.executor.queue.running, 0.5
        )
    finally:
        link.state.keep_open = True
        await fleet.wait_until(lambda: not other.node.executor.queue.running)
    assert not link.unsent_cancels


async def test_a_request_sent_again_in_its_time_does_not_run_again(
    fleet, monkeypatch
):
    """Guards against a second run after a long disconnection.

    A node may be disconnected for longer than outcomes are retained.
    """
    hub = fleet.hosts[0].node.peers
    monkeypatch.setattr(peer_connections, "RESULT_RETENTION_S", 0.01)
    ran = []

    async def record_run(run, on_sent, sender_bound):
        on_sent()
        ran.append(run.number)
        return peer_link.unreachable_refusal(run.number)

    monkeypatch.setattr(hub, "execute", record_run)
    old, _ = _inbound(hub, "x")
    run = msgspec.structs.replace(
        mesh.run_message(14), left_ms=400.0, sent_ms=0.0
    )
    hub.on_message(old, run)
    await asyncio.sleep(0.01)
    hub.on_closed(old)
    await asyncio.sleep(0.1)
    new, sent = _inbound(hub, "x")
    hub.on_message(new, run)
    await asyncio.sleep(0.01)
    hub.on_closed(new)
    assert ran == [14]
    assert sent[-1] == peer_link.unreachable_refusal(14)
    await fleet.wait_until(
        lambda: ("x", "start", 14) not in hub.remote_requests, 1.0
    )


async def test_a_request_that_ran_is_not_told_as_not_run_after_a_suspension(
    fleet, monkeypatch
):
    """Guards against reporting a request that ran as not run.

    The node that has run it no longer retains it, and refuses it as late.
    """
    asker, other = fleet.hosts[:3:2]
    link = asker.node.peers.links[other.ip]
    monkeypatch.setattr(peer_connections, "RESULT_RETENTION_S", 0.01)
    named = [(b"auburnrock-attempt-id", b"at")]
    run = msgspec.structs.replace(
        mesh.run_message(1 << 42),
        idempotent=False,
        left_ms=300.0,
        headers=named,
    )
    await fleet.wait_until(link.usable)
    monkeypatch.setattr(link.connection, "on_message", lambda *_: None)
    asking = asyncio.create_task(link.run(run))
    await fleet.wait_until(lambda: other.target.executed_requests)
    await fleet.wait_until(
        lambda: (
            not any(
                number == 1 << 42
                for *_, number in other.node.peers.remote_requests
            )
        )
    )
    link.drop_connection()
    outcome = await asking
    assert len(other.target.executed_requests) == 1
    assert isinstance(outcome, peer_messages.Lost)


async def test_work_that_was_sent_while_it_was_broken_off_may_have_run(
    fleet, monkeypatch
):
    """Guards against a request that is sent just as it is cancelled.

    The connection to the target may open at that moment.
    """
    hub = fleet.hosts[0].node.peers
    monkeypatch.setattr(peer_connections, "IDEMPOTENT_ORPHAN_TIMEOUT_S", 0.01)

    async def send_at_last(run, on_sent, sender_bound):
        try:
            await asyncio.Event().wait()
        finally:
            on_sent()

    monkeypatch.setattr(hub, "execute", send_at_last)
    old, _ = _inbound(hub, "x")
    hub.on_message(old, mesh.run_message(15))
    await asyncio.sleep(0.01)
    hub.on_closed(old)
    await _until_outcome_sent(fleet, hub, 15)
    new, sent = _inbound(hub, "x")
    hub.on_message(new, mesh.run_message(15))
    hub.on_closed(new)
    assert isinstance(sent[-1], peer_messages.Lost)


async def test_work_of_a_node_without_a_record_waits_for_it_as_well(
    fleet, monkeypatch
):
    """A node's record may not be known yet, or may have been removed."""
    hub = fleet.hosts[0].node.peers
    monkeypatch.setattr(peer_connections, "IDEMPOTENT_ORPHAN_TIMEOUT_S", 0.01)
    outcome = peer_link.unreachable_refusal(16)

    async def run_for_a_while(run, on_sent, sender_bound):
        on_sent()
        await asyncio.sleep(0.1)
        return outcome

    monkeypatch.setattr(hub, "execute", run_for_a_while)
    old, _ = _inbound(hub, "x")
    hub.on_message(old, mesh.run_message(16))
    await asyncio.sleep(0.01)
    hub.on_closed(old)
    await asyncio.sleep(0.05)
    new, sent = _inbound(hub, "x")
    hub.on_message(new, mesh.run_message(16))
    await _until_outcome_sent(fleet, hub, 16)
    hub.on_closed(new)
    assert sent[-1] == outcome


async def test_work_goes_on_for_a_node_that_does_not_connect_in_time(
    fleet, monkeypatch
):
    """Packets of both directions may be queued at a congested link."""
    host, other = fleet.hosts[:2]
    hub = host.node.peers
    link = hub.links[other.ip]
    outcome = peer_link.unreachable_refusal(19)

    async def run_for_a_while(run, on_sent, sender_bound):
        on_sent()
        await asyncio.sleep(0.1)
        return outcome

    monkeypatch.setattr(peer_connections, "IDEMPOTENT_ORPHAN_TIMEOUT_S", 0.01)
    monkeypatch.setattr(hub, "execute", run_for_a_while)
    with monkeypatch.context() as patch:
        patch.setattr(peer_link, "CONNECT_TIMEOUT_S", 0.0)
        link.drop_connection()
        await fleet.wait_until(link.state.is_connect_failing)
        old, _ = _inbound(hub, other.ip)
        hub.on_message(old, mesh.run_message(19))
        await asyncio.sleep(0.01)
        hub.on_closed(old)
        await asyncio.sleep(0.05)
    new, sent = _inbound(hub, other.ip)
    hub.on_message(new, mesh.run_message(19))
    await fleet.wait_until(
        lambda: hub.remote_requests[other.ip, "start", 19].task is None
    )
    hub.on_closed(new)
    await fleet.wait_until(link.usable)
    assert sent[-1] == outcome


async def test_a_node_that_pings_is_not_called_silent_by_one_that_misses_it(
    fleet, monkeypatch
):
    """Guards against a wrong suspicion that is gossiped.

    All nodes then sent no requests to the node until it had refuted it.
    """
    host, other = fleet.hosts[:2]
    hub = host.node.peers
    link = hub.links[other.ip]
    await fleet.wait_until(link.usable)
    hub.directory.refuted_ms.clear()
    with monkeypatch.context() as patch:
        patch.setattr(peer_link, "CONNECT_TIMEOUT_S", 0.0)
        link.drop_connection()
        await fleet.wait_until(link.state.is_connect_failing)
        assert hub.directory.is_alive(other.ip)
    await fleet.wait_until(link.usable)


async def test_a_node_that_was_last_heard_long_ago_is_called_silent(
    fleet, monkeypatch
):
    host, other = fleet.hosts[:2]
    hub = host.node.peers
    link = hub.links[other.ip]
    hub.directory.refuted_ms.clear()
    await fleet.wait_until(lambda: hub.directory.is_alive(other.ip))
    for inbound in hub.inbound.values():
        inbound.last_received_ms = (
            hub.now_ms() - connection_state.PING_TIMEOUT_MS - 1.0
        )
    hub.on_connect_failed(link, False)
    assert not hub.directory.is_alive(other.ip)
    await fleet.wait_until(lambda: hub.directory.is_alive(other.ip))


async def test_a_heartbeat_during_a_connect_is_no_other_target(
    fleet, monkeypatch
):
    executor = fleet.hosts[2].node.executor
    connect = executor.client.acquire

    async def connect_meanwhile(idle_max_ms):
        connection = await connect(idle_max_ms)
        executor.apply_heartbeat(msgspec.structs.replace(executor.target))
        return connection

    monkeypatch.setattr(executor.client, "acquire", connect_meanwhile)
    named = [(b"auburnrock-attempt-id", b"at")]
    run = msgspec.structs.replace(mesh.run_message(17), headers=named)
    outcome = await executor.run(run)
    assert isinstance(outcome, peer_messages.Answered)


async def test_a_target_that_starts_during_a_connect_gets_no_older_request(
    fleet, monkeypatch
):
    executor = fleet.hosts[2].node.executor
    connect = executor.client.acquire
    known = executor.target

    async def connect_meanwhile(idle_max_ms):
        connection = await connect(idle_max_ms)
        later = known.started_ms + 1
        executor.apply_heartbeat(
            msgspec.structs.replace(known, started_ms=later)
        )
        return connection

    monkeypatch.setattr(executor.client, "acquire", connect_meanwhile)
    outcome = await executor.run(mesh.run_message(18))
    executor.apply_heartbeat(known)
    assert isinstance(outcome, peer_messages.Refused)
    assert not outcome.reached


async def test_a_connection_that_its_opener_no_longer_knows_is_closed(
    fleet, monkeypatch
):
    """Guards against inbound connections that are never closed.

    A lost host, or a connection that stayed silent, left one behind.
    """
    hub, other = fleet.hosts[0].node.peers, fleet.hosts[1]
    host, _, port = other.addresses["peer"].rpartition(":")
    gone = frames.FrameConnection(lambda *_: None, lambda _: None, {})
    await asyncio.get_running_loop().create_connection(
        lambda: gone, host, int(port)
    )
    inbound = other.node.peers.inbound
    known = set(inbound)
    gone.send(peer_messages.Hello("x", "start", False, True))
    await fleet.wait_until(lambda: inbound.keys() - known)
    link = hub.links[other.ip]
    await fleet.wait_until(link.usable)
    connection = link.connection
    monkeypatch.setattr(connection_state, "INBOUND_IDLE_TIMEOUT_MS", 1_500.0)
    await fleet.wait_until(lambda: gone.closed, 5.0)
    assert link.connection is connection


async def test_a_node_is_busy_until_its_outcomes_are_on_their_way(fleet):
    """Guards against a process that ends while outcomes are buffered.

    Such a process truncated them.
    """
    asker, other = fleet.hosts[:2]
    await fleet.wait_until(asker.node.peers.links[other.ip].usable)
    link = asker.node.peers.links[other.ip]
    connection = next(
        each
        for each, inbound in other.node.peers.inbound.items()
        if inbound.name == asker.ip
    )
    await fleet.wait_until(lambda: not other.node.peers.unfinished_count())
    link.connection.transport.pause_reading()
    piece = peer_messages.Answered(
        0, 200, [], bytes(16 << 20), target_selection.NO_TARGET, 0.0
    )
    connection.send(piece)
    assert other.node.peers.unfinished_count() == 1
    link.connection.transport.resume_reading()
    await fleet.wait_until(lambda: not other.node.peers.unfinished_count())


@pytest.mark.parametrize("names_refused", [True, False])
async def test_a_refusal_that_is_sent_again_is_taken_for_no_other_request(
    fleet, names_refused
):
    for host in fleet.hosts[2:]:
        host.target.behaviour.repeats_refusal = True
        host.target.behaviour.names_refused = names_refused
        host.target.behaviour.work_s = 0.02
        host.target.behaviour.refuse = 1
    for number in range(12):
        status, _, _ = await fleet.send_request(
            fleet.hosts[number % 4], "/book/x", method="POST", data=b"d"
        )
        runs = fleet.execution_count(f"at-{fleet.attempts}")
        assert runs <= 1
        assert runs == 0 or status != 503


async def test_an_answer_that_ends_within_its_head_is_no_success(fleet):
    for size in range(1, 100, 7):
        for host in fleet.hosts[2:]:
            host.target.behaviour.head_bytes = size
        status, body, _ = await fleet.send_request(
            fleet.hosts[size % 4], "/book/x", method="POST", data=b"d"
        )
        assert status in (502, 504)
        assert body == b""


async def test_a_node_without_memory_runs_no_request_of_another_node(fleet):
    """Guards against a refusal of a request that runs, and against an end of
    the process for requests of other nodes.
    """
    asker, *full = fleet.hosts[0], *fleet.hosts[2:]
    for host in full:
        host.node.budget.small_bytes += 1 << 40
    try:
        status, _, _ = await fleet.send_request(asker, "/check/full")
        assert status == 503
        assert not any(host.target.executed_requests for host in full)
    finally:
        for host in full:
            host.node.budget.small_bytes -= 1 << 40
    status, _, _ = await fleet.send_request(asker, "/check/full")
    assert status == 200
