"""HTTP server with callers that read slowly."""

import asyncio
import socket

from auburnrock.shells import clock
from auburnrock.shells.mesh import http_server

LONG_BODY = bytes(16 << 20)
REQUEST = b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n"


async def test_a_server_is_busy_until_its_answers_are_on_their_way():
    """Guards against a process that ends while responses are buffered.

    Such a process truncated them.
    """

    async def answer(request):
        return http_server.Response(200, [], LONG_BODY)

    server = http_server.Server(answer, clock.exact_ms, lambda error: None)
    await server.listen("127.0.0.1:0")
    address = server.listener.sockets[0].getsockname()
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setblocking(False)
        await loop.sock_connect(caller, address)
        await loop.sock_sendall(caller, REQUEST)
        head = await loop.sock_recv(caller, 1)
        assert head
        server.closing = True
        server.close_idle()
        assert server.unfinished_count() == 1
        left = len(LONG_BODY)
        while left > 0 and (data := await loop.sock_recv(caller, 1 << 20)):
            left -= len(data)
        assert left <= 0
        await asyncio.sleep(0.01)
        assert server.unfinished_count() == 0
    server.stop()


async def start_server(handler):
    """Starts a server; returns it with a connection to it."""
    server = http_server.Server(handler, clock.exact_ms, lambda error: None)
    await server.listen("127.0.0.1:0")
    address = server.listener.sockets[0].getsockname()
    return server, await asyncio.open_connection(*address)


async def echo_size(request):
    return http_server.Response(200, [], b"%d" % len(request.body))


CHUNKED_REQUEST = (
    b"POST / HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n"
)


async def test_trailers_of_a_request_have_a_limit():
    """Guards against a caller whose trailer lines exhaust the memory."""
    server, (_, writer) = await start_server(echo_size)
    writer.write(CHUNKED_REQUEST + b"0\r\n")
    limit = server.limits.header_bytes
    connection = next(iter(server.connections))
    sent = 0
    while not connection.ending and sent < 100 * limit:
        writer.write(b"x: 1\r\n" * 1_000)
        sent += 6_000
        await writer.drain()
        await asyncio.sleep(0)
    assert sent < 8 * limit
    assert not connection.headers
    writer.close()
    server.stop()


async def test_trailers_are_no_headers_of_the_request():
    server, (reader, writer) = await start_server(
        lambda request: answer_headers(request)
    )
    writer.write(CHUNKED_REQUEST + b"1\r\na\r\n0\r\nx-caller: b\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert await reader.readexactly(4) == b"none"
    writer.close()
    server.stop()


async def answer_headers(request):
    value = request.header(b"x-caller")
    return http_server.Response(200, [], value or b"none")
