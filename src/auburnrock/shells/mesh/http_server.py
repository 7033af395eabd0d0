"""HTTP/1.1 towards callers: whole requests in, answers out in their order.

Requests that a caller sends without waiting run side by side; their answers
go out in the order of the requests. aiohttp serves one request of a connection
at a time, so the parser is used directly.
"""

import asyncio
from collections.abc import Awaitable, Callable

import httptools
import msgspec

PIPELINE_MAX = 64
"""Requests of one connection that may run side by side."""

SWEEP_EVERY_S = 0.25
"""How often idle and slow connections are looked for."""

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

Headers = list[tuple[bytes, bytes]]


class Request(msgspec.Struct, eq=False):
    """A caller's whole request.

    Attributes:
      method: as sent.
      path: as sent, with the query.
      headers: names in lower case.
      body: without its framing.
      came_ms: when the last byte of its head came.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    came_ms: float

    def header(self, name: bytes) -> bytes | None:
        """The first value of a header."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class Response(msgspec.Struct, eq=False):
    """An answer with a whole body.

    Attributes:
      status: HTTP status.
      headers: those to send besides the framing.
      body: whole body.
      close: whether the connection ends with it.
    """

    status: int
    headers: Headers
    body: bytes = b""
    close: bool = False


class HttpLimits(msgspec.Struct):
    """Bounds for what callers send; they follow the configuration.

    Attributes:
      header_bytes: longest head of a request.
      body_bytes: longest body of a request.
      header_timeout_ms: time from the first byte of a head to its last.
      idle_timeout_ms: how long a connection may stay idle.
    """

    header_bytes: int = 65_536
    body_bytes: int = 1 << 26
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


Handler = Callable[[Request], Awaitable[Response]]


class Exchange:
    """A request on a connection and its answer."""

    __slots__ = ("answer", "last", "task")

    def __init__(self, last: bool):
        self.answer: Response | None = None
        self.last = last
        self.task: asyncio.Task | None = None


class Connection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: "Server"):
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: list[Exchange] = []
        self.paused = False
        self.ending = False
        self.reading_since_ms = 0.0
        self.idle_since_ms = server.now_ms()
        self.begin()

    def begin(self) -> None:
        """Forgets the parts of the request that was read last."""
        self.path = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size = 0
        self.body_size = 0
        self.in_body = False
        self.came_ms = 0.0
        self.fault = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the open connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.server.connections.discard(self)
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()

    def pause_writing(self) -> None:
        """The other end reads slowly."""
        self.paused = True

    def resume_writing(self) -> None:
        """The other end reads again."""
        self.paused = False
        self.flush()

    def data_received(self, data: bytes) -> None:
        """Takes what came."""
        if self.ending:
            return
        if not self.reading_since_ms:
            self.reading_since_ms = self.server.now_ms()
        if not self.in_body:
            self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(self.fault or 400)
            return
        if self.in_body or self.ending:
            return
        if self.size - len(data) > self.server.limits.header_bytes:
            self.reject(431)

    def on_url(self, url: bytes) -> None:
        """A part of the path was read."""
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header was read."""
        self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """The head was read."""
        self.came_ms = self.server.now_ms()
        self.in_body = True
        self.fault = self.head_fault()
        if self.fault:
            raise ValueError("unusable head")
        for name, value in self.headers:
            wants = name == b"expect" and value.lower() == b"100-continue"
            if wants and not self.exchanges:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def head_fault(self) -> int:
        """Status for a head that cannot be used; 0 if it can."""
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size + len(self.path) > self.server.limits.header_bytes:
            return 431
        if not self.path.startswith(b"/"):
            return 400
        lengths = [
            value for name, value in self.headers if name == b"content-length"
        ]
        codings = [
            value
            for name, value in self.headers
            if name == b"transfer-encoding"
        ]
        hosts = [name for name, _ in self.headers if name == b"host"]
        if len(lengths) > 1 or (lengths and codings) or len(hosts) != 1:
            return 400
        if codings and codings != [b"chunked"]:
            return 400
        if lengths and not lengths[0].isdigit():
            return 400
        if lengths and int(lengths[0]) > self.server.limits.body_bytes:
            return 413
        return 0

    def on_body(self, body: bytes) -> None:
        """A part of the body was read."""
        self.body.append(body)
        self.body_size += len(body)
        if self.body_size > self.server.limits.body_bytes:
            self.fault = 413
            raise ValueError("body too long")

    def on_message_complete(self) -> None:
        """The whole message was read."""
        request = Request(
            self.parser.get_method(),
            self.path,
            self.headers,
            b"".join(self.body),
            self.came_ms,
        )
        exchange = Exchange(not self.parser.should_keep_alive())
        self.exchanges.append(exchange)
        self.begin()
        self.reading_since_ms = 0.0
        if exchange.last or len(self.exchanges) >= PIPELINE_MAX:
            exchange.last = True
            self.ending = True
        exchange.task = self.server.loop.create_task(
            self.run(exchange, request)
        )

    async def run(self, exchange: Exchange, request: Request) -> None:
        """Has one request answered."""
        try:
            exchange.answer = await self.server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self.server.on_fault(error)
            exchange.answer = Response(502, [], close=True)
        exchange.task = None
        self.flush()

    def reject(self, status: int) -> None:
        """Answers what cannot be read, after the answers before it."""
        self.ending = True
        exchange = Exchange(True)
        exchange.answer = Response(status, [], close=True)
        self.exchanges.append(exchange)
        self.flush()

    def flush(self) -> None:
        """Sends the answers that are due, in the order of the requests."""
        while self.exchanges and not self.paused:
            exchange = self.exchanges[0]
            answer = exchange.answer
            if answer is None:
                return
            self.exchanges.pop(0)
            answer.close = answer.close or exchange.last
            if self.server.closing:
                # What was read before is still answered.
                self.ending = True
                answer.close = answer.close or not self.exchanges
            self.transport.write(encode_answer(answer))
            self.idle_since_ms = self.server.now_ms()
            if answer.close:
                self.close()
                return

    def close(self) -> None:
        """Ends the connection; what was sent still goes out."""
        self.ending = True
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()
        self.transport.close()

    def has_unsent(self) -> bool:
        """Whether a part of an answer is still in this process."""
        return self.transport.get_write_buffer_size() > 0

    def sweep(self, now_ms: float) -> None:
        """Ends the connection if it was idle or slow for too long."""
        bounds = self.server.limits
        if self.exchanges or self.ending:
            return
        if self.reading_since_ms and not self.in_body:
            if now_ms - self.reading_since_ms > bounds.header_timeout_ms:
                self.reject(408)
        elif self.idle_ms(now_ms) > bounds.idle_timeout_ms:
            self.close()

    def idle_ms(self, now_ms: float) -> float:
        """How long nothing has come and nothing was asked; 0 in a request."""
        return 0.0 if self.reading_since_ms else now_ms - self.idle_since_ms


class Server:
    """Takes connections at one address.

    Attributes:
      handler: answers a request.
      limits: what callers may send.
      closing: every further answer ends its connection.
      connections: open ones.
    """

    def __init__(
        self,
        handler: Handler,
        now_ms: Callable[[], float],
        on_fault: Callable[[Exception], None],
    ):
        self.handler = handler
        self.now_ms = now_ms
        self.on_fault = on_fault
        self.limits = HttpLimits()
        self.closing = False
        self.connections: set[Connection] = set()
        self.loop = asyncio.get_running_loop()
        self.listener: asyncio.Server | None = None
        self.sweeper: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Begins to take connections."""
        host, _, port = address.rpartition(":")
        self.listener = await self.loop.create_server(
            lambda: Connection(self), host, int(port), backlog=1024
        )
        self.sweep()

    def sweep(self) -> None:
        """Ends idle and slow connections, again and again."""
        now_ms = self.now_ms()
        for connection in list(self.connections):
            connection.sweep(now_ms)
        self.sweeper = self.loop.call_later(SWEEP_EVERY_S, self.sweep)

    def close_idle(self) -> None:
        """Ends the connections that no request waits on."""
        for connection in list(self.connections):
            if not connection.exchanges and not connection.reading_since_ms:
                connection.close()

    def unfinished_count(self) -> int:
        """Requests whose answers are not on their way yet."""
        return sum(
            len(connection.exchanges) + connection.has_unsent()
            for connection in self.connections
        )

    def stop(self) -> None:
        """Takes no more connections."""
        if self.sweeper is not None:
            self.sweeper.cancel()
        if self.listener is not None:
            self.listener.close()


def encode_answer(answer: Response) -> bytes:
    """An answer as bytes, framed by its length."""
    reason = REASONS.get(answer.status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (answer.status, reason)]
    parts += [b"%s: %s\r\n" % pair for pair in answer.headers]
    if answer.status not in (204, 304):
        parts.append(b"content-length: %d\r\n" % len(answer.body))
    if answer.close:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    parts.append(answer.body)
    return b"".join(parts)
