"""Upstreams that send what is no response: it never reaches a caller.

A failing upstream sent status 000, and the caller received it as the response
to its request. Each test exchanges requests with a small faulty target.
"""

import asyncio
import contextlib
import time

import msgspec
import pytest
import pytest_asyncio
import uuid_utils

from auburnrock import errors
from auburnrock import messages
from auburnrock.engine import request_events
from auburnrock.engine.mesh import byte_budget
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import target_selection
from auburnrock.platform import requests
from auburnrock.shells import clock
from auburnrock.shells import router
from auburnrock.shells.mesh import http_client
from auburnrock.targets import base
from auburnrock.targets import http
from tests.common import mesh
from tests.common import mesh_fleet
from tests.common import standins
from tests.cover import test_executor

FRAMED = b"content-length: 5\r\n\r\nhello"
EMPTY = b"content-length: 0\r\n\r\n"

INVALID = {
    "000 with a body": (b"000 Failure", FRAMED),
    "000 without a body": (b"000 Failure", EMPTY),
    "000 without a length": (b"000 Failure", b"\r\n"),
    "two digits": (b"99 Odd", FRAMED),
    "below 100": (b"099 Odd", FRAMED),
    "an unknown interim status": (b"150 Odd", FRAMED),
    "an unknown interim status without a body": (b"199 Odd", EMPTY),
    "100 with a body": (b"100 Continue", FRAMED),
    "103 with a body": (b"103 Early Hints", FRAMED),
    "101": (b"101 Switching Protocols", b"upgrade: x\r\n\r\n"),
    "101 without an upgrade": (b"101 Switching Protocols", EMPTY),
    "above 599": (b"600 Odd", FRAMED),
    "999": (b"999 Odd", FRAMED),
    "four digits": (b"2000 OK", FRAMED),
    "no number": (b"abc Odd", FRAMED),
    "a negative number": (b"-01 Odd", FRAMED),
    "no status": (b"", FRAMED),
    "204 with a body": (b"204 No Content", FRAMED),
    "204 with a length and no body": (
        b"204 No Content",
        b"content-length: 5\r\n\r\n",
    ),
    "204 with bytes behind it": (b"204 No Content", b"\r\nhello"),
    "204 of the last response with bytes behind it": (
        b"204 No Content",
        b"connection: close\r\n\r\nhello",
    ),
    "204 in chunks": (
        b"204 No Content",
        b"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ),
    "304 with a body": (b"304 Not Modified", FRAMED),
    "304 with bytes behind it": (b"304 Not Modified", b"\r\nhello"),
    "204 with a response behind it": (
        b"204 No Content",
        b"\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno",
    ),
}

VALID = {
    "200": (b"200 OK", FRAMED, 200, b"hello"),
    "299": (b"299 Odd", FRAMED, 299, b"hello"),
    "404": (b"404 Not Found", EMPTY, 404, b""),
    "599": (b"599 Odd", FRAMED, 599, b"hello"),
    "204": (b"204 No Content", b"\r\n", 204, b""),
    "204 with an empty length": (b"204 No Content", EMPTY, 204, b""),
    "304 with the length of the representation": (
        b"304 Not Modified",
        b"content-length: 5\r\n\r\n",
        304,
        b"",
    ),
    "200 after 100": (
        b"100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
        b"HTTP/1.1 200 OK",
        FRAMED,
        200,
        b"hello",
    ),
}


class FaultyTarget:
    """A target that sends one status line and the rest of a response.

    Attributes:
      status: status line after the version.
      rest: rest of the response.
      echo: name of the header in which the id of the request is echoed.
      requests: number of requests.
      connections: number of connections accepted.
    """

    def __init__(self, status: bytes, rest: bytes, echo: bytes = b""):
        self.status = status
        self.rest = rest
        self.echo = echo
        self.requests = 0
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                echoed = b""
                if self.echo:
                    value = head.lower().split(self.echo + b": ")[1]
                    value = value.split(b"\r\n")[0]
                    echoed = self.echo + b": " + value + b"\r\n"
                response = b"HTTP/1.1 " + self.status + b"\r\n" + echoed
                writer.write(response + self.rest)
                await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def serving(target):
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


async def _exchange(address):
    """Returns the response of one exchange, its connection and the pool."""
    pool = http_client.ConnectionPool(
        address, clock.exact_ms, byte_budget.unlimited()
    )
    connection = await pool.acquire(1_000.0)
    data = http_client.encode_request(b"GET", b"/", [(b"host", b"a")], b"")
    async with asyncio.timeout(1.0):
        try:
            response = await connection.exchange(data, lambda answer: True)
        except http_client.ConnectionBrokenError as error:
            response = error
    pool.release(connection)
    return response, connection, pool


@pytest.mark.parametrize("name", INVALID)
async def test_the_client_of_targets_fails_at_once(name):
    """Guards against waiting for the deadline, or passing it on."""
    status, rest = INVALID[name]
    async with serving(FaultyTarget(status, rest)) as address:
        error, connection, pool = await _exchange(address)
    assert isinstance(error, http_client.ConnectionBrokenError), error
    assert not pool.idle
    assert not connection.body
    assert not connection.headers
    if status:
        # Operators search for the status that the upstream has sent.
        assert status.split()[0].decode() in str(error)


@pytest.mark.parametrize("name", INVALID)
async def test_bytes_of_a_failed_response_belong_to_no_later_request(name):
    """Guards against a body that is taken for the next response."""
    status, rest = INVALID[name]
    target = FaultyTarget(status, rest)
    async with serving(target) as address:
        with contextlib.suppress(TimeoutError):
            _, connection, pool = await _exchange(address)
            following = await pool.acquire(1_000.0)
            assert following is not connection
            following.abort()
        assert target.connections == 2


@pytest.mark.parametrize("name", VALID)
async def test_a_response_of_the_protocol_still_passes(name):
    """Guards against failures of interim responses and empty ones."""
    status, rest, expected, body = VALID[name]
    async with serving(FaultyTarget(status, rest)) as address:
        response, _, _ = await _exchange(address)
    assert response.status == expected
    assert response.body == body


async def test_bytes_that_follow_a_304_later_belong_to_no_request():
    """Guards against a body in a later segment than its head.

    The 304 is complete by then, so its connection must not be used again.
    """
    status, rest = b"304 Not Modified", b"content-length: 5\r\n\r\n"
    async with serving(FaultyTarget(status, rest)) as address:
        response, _, pool = await _exchange(address)
    assert response.status == 304
    assert not pool.idle


@pytest.mark.parametrize("status", [-1, 0, 99, 100, 101, 150, 199, 600, 1_000])
def test_a_status_that_is_not_final_is_no_response_of_a_target(status):
    """Guards against clients of targets that do not check the status."""
    headers = [
        (b"auburnrock-attempt-id", b"at-1"),
        (b"auburnrock-response-seal", b"t.at-1"),
        (b"auburnrock-not-executed", b"1"),
    ]
    for count in (2, 3):
        answer = http_client.Response(status, headers[:count], b"")
        verdict = requests.classify_response(answer, "at-1")
        assert verdict is model.TargetVerdict.UNUSABLE


def test_a_response_that_must_be_empty_and_is_not_is_none_of_a_target():
    """Guards against bodies that a caller takes for the next response."""
    answer = http_client.Response(
        204,
        [
            (b"auburnrock-attempt-id", b"at-1"),
            (b"auburnrock-response-seal", b"t.at-1"),
        ],
        b"hello",
    )
    verdict = requests.classify_response(answer, "at-1")
    assert verdict is model.TargetVerdict.UNUSABLE


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared_fleet():
    made = mesh_fleet.Fleet()
    await made.start("portal", "portal", "booker", "booker")
    yield made
    await made.stop()


@pytest_asyncio.fixture(loop_scope="module")
async def fleet(shared_fleet):
    for host in shared_fleet.hosts:
        host.target.executed_requests.clear()
        host.node.dispatcher.retry_budgets.clear()
        for group in host.node.dispatcher.groups.values():
            for candidate in group.by_name.values():
                candidate.failure_rate = 0.0
                candidate.excluded_until_ms = 0.0
    yield shared_fleet


def _answer_with(monkeypatch, target, name):
    """Makes a target of a fleet send one of the invalid responses."""
    status, rest = INVALID[name]

    def answer(writer, attempt, path):
        head = (
            f"Auburnrock-Attempt-Id: {attempt}\r\n"
            f"Auburnrock-Response-Seal: {target.name}.{attempt}\r\n"
        )
        writer.write(b"HTTP/1.1 " + status + b"\r\n" + head.encode() + rest)
        return True

    monkeypatch.setattr(target, "answer", answer)


async def _send(fleet, path, **options):
    """Returns status, body and duration in seconds of a caller's request."""
    began_s = time.monotonic()
    status, body, headers = await fleet.send_request(
        fleet.hosts[0], path, **options
    )
    return status, body, headers, time.monotonic() - began_s


@pytest.mark.asyncio(loop_scope="module")
@pytest.mark.parametrize("name", INVALID)
async def test_a_caller_receives_502_at_once_after_a_single_run(
    fleet, name, monkeypatch
):
    """Guards against an answer of the upstream, or one at the deadline only.

    The request is not idempotent: nobody knows whether it has run.
    """
    lines = []
    for host in fleet.hosts[2:]:
        _answer_with(monkeypatch, host.target, name)
        monkeypatch.setattr(
            host.node.executor.log,
            "write",
            lambda event, **fields: lines.append((event, fields)),
        )
    status, body, headers, took_s = await _send(
        fleet, f"/book/{name.replace(' ', '-')}", method="POST"
    )
    assert status == 502
    assert body == b""
    assert "retry-after" not in headers
    assert took_s < 0.6, "waited for the deadline of 1 s"
    attempt = f"at-{fleet.attempts}"
    assert fleet.execution_count(attempt) == 1
    lost = [f for event, f in lines if event == "answer_lost"]
    assert [fields["attempt"] for fields in lost] == [attempt]
    number = INVALID[name][0].split()
    assert not number or number[0].decode() in lost[0]["reason"]


@pytest.mark.asyncio(loop_scope="module")
@pytest.mark.parametrize("name", ["000 with a body", "204 with a body"])
async def test_an_idempotent_request_is_tried_at_another_target(
    fleet, name, monkeypatch
):
    """Guards against failures that one more try within the budget avoids."""
    for faulty in fleet.hosts[2:]:
        with monkeypatch.context() as patch:
            _answer_with(patch, faulty.target, name)
            for number in range(4):
                status, *_ = await _send(fleet, f"/check/{name[:3]}-{number}")
                assert status == 200
    runs = [len(host.target.executed_requests) for host in fleet.hosts[2:]]
    assert sum(runs) > 8, "no request met a faulty target"


@pytest.mark.asyncio(loop_scope="module")
@pytest.mark.parametrize(
    ("status", "body"),
    [(0, b"hello"), (99, b""), (101, b""), (150, b""), (600, b""), (204, b"x")],
)
async def test_an_outcome_of_another_node_is_no_answer_either(
    fleet, status, body, monkeypatch
):
    """Guards against nodes of an older version that pass it on.

    It also covers outcomes that another node has retained and sends again.
    """
    asker, other = fleet.hosts[1:3]
    hub = other.node.peers

    async def answer(run, on_sent, sender_bound):
        on_sent()
        return peer_messages.Answered(
            run.number, status, [], body, target_selection.NO_TARGET, 1.0
        )

    monkeypatch.setattr(hub, "execute", answer)
    link = asker.node.peers.links[other.ip]
    await fleet.wait_until(link.usable)
    lines = []
    monkeypatch.setattr(
        asker.node.peers.log,
        "write",
        lambda event, **fields: lines.append((event, fields)),
    )
    run = mesh.run_message((1 << 42) + status * 1_000 + len(body))
    for _ in range(2):
        # The second time, the retained outcome is sent.
        outcome = await link.run(msgspec.structs.replace(run, left_ms=500.0))
        assert isinstance(outcome, peer_messages.Lost), outcome
        assert outcome.kind == errors.ErrorKind.OUTCOME_UNKNOWN.value
    lost = [fields for event, fields in lines if event == "answer_lost"]
    assert [fields["attempt"] for fields in lost] == [run.attempt] * 2
    assert f"{status:03d}" in lost[0]["reason"]


UNKNOWN_INTERIM = (
    "an unknown interim status",
    "an unknown interim status without a body",
)
"""aiohttp skips all interim responses, so these end at the deadline."""

WITH_BYTES_BEHIND = (
    "100 with a body",
    "103 with a body",
    "204 with a body",
    "204 in chunks",
    "204 with bytes behind it",
    "204 of the last response with bytes behind it",
    "304 with a body",
    "304 with bytes behind it",
)
"""aiohttp's error for these contains the bytes, and not the status."""


RESPONSE_BEHIND = "204 with a response behind it"
"""aiohttp passes on the first of two responses, and ends the connection."""


@pytest.mark.parametrize(
    "name", [name for name in INVALID if name != RESPONSE_BEHIND]
)
async def test_the_older_planes_client_of_targets_fails(name):
    """Guards against statuses that aiohttp passes on as they are."""
    status, rest = INVALID[name]
    target = FaultyTarget(status, rest, b"auburnrock-request-id")
    async with serving(target) as address:
        client = http.connect(address)
        began_s = time.monotonic()
        try:
            with pytest.raises(base.LostError) as lost:
                await client.run(standins.work("r1", deadline_ms=1_000))
            took_s = time.monotonic() - began_s
            with pytest.raises(base.LostError):
                await client.run(standins.work("r2", deadline_ms=200))
        finally:
            await client.close()
    assert lost.value.failure.kind is errors.ErrorKind.OUTCOME_UNKNOWN
    if name not in UNKNOWN_INTERIM:
        assert took_s < 0.6, "waited for the deadline of 1 s"
    assert target.connections == 2
    if status and name not in (*UNKNOWN_INTERIM, *WITH_BYTES_BEHIND):
        assert status.split()[0].decode() in str(lost.value)


async def test_a_second_response_answers_no_request_of_the_older_plane():
    """Guards against taking it for the response to the next request."""
    status, rest = INVALID[RESPONSE_BEHIND]
    target = FaultyTarget(status, rest, b"auburnrock-request-id")
    async with serving(target) as address:
        client = http.connect(address)
        try:
            for name in ("r1", "r2"):
                answer = await client.run(standins.work(name))
                assert (answer.status, answer.body) == (204, b"")
        finally:
            await client.close()
    assert target.connections == 2


@pytest.mark.parametrize("name", VALID)
async def test_the_older_planes_client_passes_responses_of_the_protocol(name):
    """Guards against failures of interim responses and empty ones."""
    status, rest, expected, body = VALID[name]
    target = FaultyTarget(status, rest, b"auburnrock-request-id")
    async with serving(target) as address:
        client = http.connect(address)
        try:
            answer = await client.run(standins.work("r1"))
        finally:
            await client.close()
    assert answer.status == expected
    assert answer.body == body


ODD_FRAMES = [
    (0, b"hello"),
    (99, b""),
    (101, b""),
    (150, b""),
    (600, b""),
    (304, b"x"),
]


@pytest.mark.parametrize(("status", "body"), ODD_FRAMES)
async def test_a_frame_of_the_older_plane_is_no_answer_either(status, body):
    """Guards against nodes of an older version that pass it on."""

    class Node(router.LocalExecutor):
        async def execute(self, request):
            return messages.Response(
                0, request.request_id, status, [], body, 1, 1
            )

    entry = router.EntryRouter(None, None, "piran", 1, Node())
    exchange = router.Exchange(entry, test_executor.deposit("", True))
    send = request_events.Send(1, 1, 500, False)
    event = await exchange._exchange(send)
    assert isinstance(event, request_events.Lost), event
    assert event.bytes_left
    assert f"{status:03d}" in event.message


@pytest.mark.parametrize(("status", "body"), ODD_FRAMES)
async def test_a_kept_result_of_the_older_plane_is_no_answer_either(
    status, body
):
    """Guards against results that a node of an older version has kept."""
    admission = test_executor.Admission()

    class Target(test_executor.Target):
        async def run(self, work, fresh_connection=False):
            return base.WorkAnswer(status=status, headers=[], body=body)

    admission.the_target = Target()
    owner = test_executor.make(admission)
    key = str(uuid_utils.uuid7())
    await owner.execute(test_executor.deposit(key, True))
    answer = await owner.execute(test_executor.deposit(key, False))
    assert isinstance(answer, messages.Refusal), answer
    assert answer.kind is errors.ErrorKind.OUTCOME_UNKNOWN
    assert f"{status:03d}" in answer.message
