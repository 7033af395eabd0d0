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
