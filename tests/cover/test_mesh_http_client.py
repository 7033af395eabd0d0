"""HTTP client with faulty targets: endless and invalid responses."""

import asyncio
import contextlib
import gc
import weakref

import pytest

from auburnrock.engine.mesh import byte_budget
from auburnrock.shells import clock
from auburnrock.shells.mesh import http_client

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

ENDLESS = {
    "a head of many headers": (b"HTTP/1.1 200 OK\r\n", b"x-a: 1234567\r\n"),
    "one header without end": (b"HTTP/1.1 200 OK\r\nx-a: ", b"1" * 64),
    "a body until the close": (b"HTTP/1.1 200 OK\r\n\r\n", b"1" * 4_096),
    "a body of endless chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"1" * 4_096 + b"\r\n",
    ),
    "a body of a stated length": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 900000000000\r\n\r\n",
        b"1" * 4_096,
    ),
    "bytes that are no answer": (b"", b"\x00\xff" * 512),
    "many trailers": (CHUNKED_HEAD + b"0\r\n", b"x: 1\r\n" * 64),
    "one trailer without end": (CHUNKED_HEAD + b"0\r\nx: ", b"1" * 64),
    "an extension of a chunk": (CHUNKED_HEAD + b"1;", b"a" * 64),
    "a body of short chunks": (CHUNKED_HEAD, b"2\r\nab\r\n" * 512),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 16),
}


class EndlessServer:
    """A server that sends a beginning, then the same bytes endlessly."""

    def __init__(self, beginning: bytes, piece: bytes):
        self.beginning = beginning
        self.piece = piece
        self.sent = 0
        self.closed = asyncio.Event()

    async def answer(self, reader, writer):
        writer.write(self.beginning)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(self.piece)
                self.sent += len(self.piece)
                await writer.drain()
        self.closed.set()
        writer.transport.abort()


@pytest.mark.parametrize("name", ENDLESS)
async def test_an_answer_without_end_fails_within_bounds(name):
    endless = EndlessServer(*ENDLESS[name])
    server = await asyncio.start_server(endless.answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    client = http_client.ConnectionPool(
        f"{host}:{port}", clock.exact_ms, byte_budget.unlimited()
    )
    connection = await client.acquire(1_000.0)
    data = http_client.encode_request(b"GET", b"/", [(b"host", b"a")], b"")
    async with asyncio.timeout(10.0):
        with pytest.raises(http_client.ConnectionBrokenError):
            await connection.exchange(data, lambda answer: True)
        await endless.closed.wait()
    client.release(connection)
    assert not client.idle
    assert not connection.body
    assert not connection.headers
    # 16 MB more are in the buffers of the two ends.
    assert endless.sent < http_client.BODY_MAX_BYTES + (16 << 20)
    server.close()


async def connect_to(endless, budget):
    """Starts a server; returns it with a pool of connections to it."""
    server = await asyncio.start_server(endless.answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    pool = http_client.ConnectionPool(f"{host}:{port}", clock.exact_ms, budget)
    return server, pool


async def receive(pool):
    """Returns the error of an exchange, and a reference to its connection."""
    connection = await pool.acquire(1_000.0)
    data = http_client.encode_request(b"GET", b"/", [(b"host", b"a")], b"")
    reason = ""
    try:
        await connection.exchange(data, lambda answer: True)
    except http_client.ConnectionBrokenError as error:
        reason = str(error)
    pool.release(connection)
    return reason, weakref.ref(connection)


async def test_an_answer_that_was_cut_is_freed_without_a_garbage_collection():
    """Guards against cut responses of 16 MB each that stay in memory.

    A connection and its parser referred to each other, and a node collects
    garbage rarely.
    """
    endless = EndlessServer(*ENDLESS["a body until the close"])
    server, pool = await connect_to(endless, byte_budget.unlimited())
    gc.disable()
    try:
        async with asyncio.timeout(10.0):
            reason, connection = await receive(pool)
            await endless.closed.wait()
        assert "longer than" in reason
        await asyncio.sleep(0.01)
        assert connection() is None
    finally:
        gc.enable()
    server.close()


async def test_answers_without_end_stay_within_a_budget_all_together():
    """Guards against a node that is killed for many responses at once."""
    budget = byte_budget.ByteBudget(4 << 20)
    endless = EndlessServer(*ENDLESS["a body until the close"])
    server, pool = await connect_to(endless, budget)
    async with asyncio.timeout(20.0):
        received = await asyncio.gather(*(receive(pool) for _ in range(8)))
    assert all(reason for reason, _ in received)
    # Each response alone is below its own limit.
    assert endless.sent < 8 * http_client.BODY_MAX_BYTES
    assert budget.used_bytes == 0
    server.close()
