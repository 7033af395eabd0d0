"""HTTP/1.1 server for callers, with pipelining.

Pipelined requests of a connection run concurrently; their responses are sent in
the order of the requests. aiohttp serves one request of a connection at a time,
so the parser is used directly.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import fcntl
import math
import socket
import struct
import termios

import httptools
import msgspec

from auburnrock.engine.mesh import byte_budget
from auburnrock.shells.mesh import tick_timers

PIPELINE_MAX = 64
"""Largest number of requests of one connection that run at once; those behind
them wait."""

PIPELINE_QUEUE_MAX = 1_024
"""Number of unanswered requests of one connection at which no more is read. The
end of the connection is not noticed meanwhile."""

PIPELINE_QUEUE_BYTES = 256 << 10
"""Bytes of the unanswered requests of one connection, if there are several, at
which no more is read."""

FEED_BYTES = 16 << 10
"""Largest number of bytes that are parsed before the limits are checked. The
event loop reads 256 KB at once, which may be 9,000 requests."""

FRAMING_BYTES_PER_BODY_BYTE = 16
"""Bytes of chunk sizes and extensions allowed for each byte of a body, besides
the limit of a head. A chunk of one byte has 5."""

WRITE_BUFFER_BYTES = 4 << 10
"""Size of the write buffer of a connection above which it is counted."""

JOINED_BODY_BYTES = 64 << 10
"""Size of a body up to which it is copied behind its head; a longer one is
written by itself."""

SOCKET_BUFFER_BYTES = 64 << 10
"""Send and receive buffer of a connection in the operating system, which
doubles them. They grow to some MB otherwise for a caller that does not read, or
one that is not read."""

UNREAD_TIMEOUT_MS = 2_000.0
"""Time for which a caller may read nothing of its response while the process is
short of memory. Otherwise it is the idle timeout."""

BACKLOG_MAX = 1_024
"""Largest number of connections that wait to be accepted."""

ROOM_SEARCH_INTERVAL_MS = 50.0
"""Least time between two searches for idle connections to close in favour of
new ones."""

CROWDED_SHARE = 0.75
"""Share of the largest number of connections above which they are short."""

ROOM_SHARE = 1 / 16
"""Share of the connections that one search may find."""

SWEEP_INTERVAL_S = 0.25
"""Interval between two sweeps for idle and slow connections."""

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
    """A caller's complete request.

    Attributes:
      method: method as received.
      path: path as received, with the query.
      headers: headers with names in lower case.
      body: body without transfer coding.
      received_ms: time at which the head was complete.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    received_ms: float

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class Response(msgspec.Struct, eq=False):
    """A complete response.

    Attributes:
      status: HTTP status.
      headers: headers to send besides those that frame the body.
      body: complete body.
      close: whether the connection is closed after the response.
    """

    status: int
    headers: Headers
    body: bytes = b""
    close: bool = False


class HttpLimits(msgspec.Struct):
    """Limits of callers' requests and connections, from the configuration.

    Attributes:
      header_bytes: longest head of a request.
      body_bytes: longest body of a request.
      header_timeout_ms: longest time from the first byte of a head to its
        last.
      idle_timeout_ms: longest time for which a connection may be idle.
    """

    header_bytes: int = 65_536
    body_bytes: int = 1 << 26
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


Handler = Callable[[Request], Awaitable[Response]]


WAITING_REQUEST_BYTES = 1 << 10
"""Memory of a request that waits, besides its head and body."""

OVER_BUDGET_RETRY_S = b"0.5"
"""Retry delay for a request that the process has no memory for."""


class Exchange(byte_budget.DroppableHolder):
    """A request on a connection and its response.

    Attributes:
      connection: the connection.
      request: the request; None once its handler has started.
      response: the response; None before it is known.
      is_last: whether the connection is closed after the response.
      is_open: whether the response may still be sent.
      is_started: whether the handler was started.
      request_bytes: bytes of the request.
      task: task that runs the handler; None before and after.
    """

    __slots__ = (
        "connection",
        "is_last",
        "is_open",
        "is_started",
        "request",
        "request_bytes",
        "response",
        "task",
    )

    def __init__(
        self,
        connection: "Connection",
        last: bool,
        request: Request | None = None,
    ):
        super().__init__()
        self.connection = connection
        self.is_open = True
        self.is_started = False
        self.request_bytes = 0
        self.request = request
        self.response: Response | None = None
        self.is_last = last
        self.task: asyncio.Task | None = None

    def drop(self) -> None:
        """Ends the connection of a caller that does not read its response."""
        self.connection.drop_unread()


class Connection(asyncio.Protocol, byte_budget.DroppableHolder):
    """One caller's connection.

    Attributes:
      parser: parser of the requests; None once the connection has ended. The
        two refer to each other, and would wait for a garbage collection.
      budget: limit of the bytes that all connections keep.
      size: bytes received of the head and the trailers of a request.
      raw_body_bytes: bytes received of the body with its transfer coding.
      exchanges: requests whose response has not been written.
      waiting: requests whose handler has not been started.
      started_count: number of requests in `exchanges` whose handler was
        started.
      queued_bytes: bytes of the requests in `exchanges`.
      unfed: bytes received that are parsed once more is read.
      paused: whether the write buffer is full.
      reading_paused: whether no more is read, as enough requests wait.
      transport_paused: whether the transport reads nothing.
      unsent: holds the bytes of the write buffer in the budget.
      unsent_bytes: size of the write buffer at the last sweep.
      unsent_since_ms: when the write buffer had another size last.
      swept_body_bytes: bytes received of the body at the last sweep.
      body_since_ms: when a sweep last found more bytes of the body.
    """

    def __init__(self, server: "Server"):
        super().__init__()
        self.server = server
        self.budget = server.budget
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.waiting: collections.deque[Exchange] = collections.deque()
        self.started_count = 0
        self.queued_bytes = 0
        self.unfed = b""
        self.unsent = Exchange(self, False)
        self.unsent_bytes = 0
        self.unsent_since_ms = 0.0
        self.swept_body_bytes = 0
        self.body_since_ms = 0.0
        self.paused = False
        self.reading_paused = False
        self.transport_paused = False
        self.ending = False
        self.reading_since_ms = 0.0
        self.idle_since_ms = server.now_ms()
        self.reset()

    def reset(self) -> None:
        """Clears the parsed parts of the last request."""
        self.path = b""
        self.headers: Headers = []
        self.body = bytearray()
        self.size = 0
        self.raw_body_bytes = 0
        self.in_body = False
        self.received_ms = 0.0
        self.error_status = 0
        if self.counted_bytes:
            self.budget.count(self, 0)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport, and registers the connection if it may stay."""
        self.transport = transport
        if not self.server.admit(self):
            self.abort()
            return
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of the connection."""
        self.server.forget(self)
        self.ending = True
        self.end_exchanges()
        self.budget.count(self.unsent, 0)
        self.unfed = b""
        self.reset()
        self.parser = None

    def end_exchanges(self) -> None:
        """Cancels the handlers of all requests, and frees their responses."""
        for exchange in self.exchanges:
            exchange.is_open = False
            self.budget.count(exchange, 0)
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()
        self.waiting.clear()
        self.started_count = 0
        self.queued_bytes = 0

    def pause_writing(self) -> None:
        """Stops writing: the write buffer is full."""
        self.paused = True
        size = self.transport.get_write_buffer_size()
        for largest in self.budget.count(self.unsent, size):
            # The transport is being written to.
            self.server.loop.call_soon(largest.drop)

    def resume_writing(self) -> None:
        """Resumes writing: the write buffer has room again."""
        self.paused = False
        self.budget.count(self.unsent, 0)
        self.flush()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self.unfed:
            # They follow bytes that wait to be parsed.
            self.unfed += data
            self.count_received()
        elif len(data) <= FEED_BYTES:
            self.parse(data)
            if self.size or self.counted_bytes:
                self.count_received()
        else:
            self.feed(data)

    def feed(self, data: bytes) -> None:
        """Parses received bytes until enough requests wait."""
        view = memoryview(data)
        for start in range(0, len(data), FEED_BYTES):
            if self.reading_paused:
                self.unfed = bytes(view[start:])
                break
            self.parse(view[start : start + FEED_BYTES])
            if self.ending:
                break
        self.count_received()

    def feed_rest(self) -> None:
        """Parses the bytes that wait, and reads more if there is room."""
        if self.ending or self.transport.is_closing():
            self.unfed = b""
            return
        data, self.unfed = self.unfed, b""
        if data:
            self.feed(data)
        if self.reading_paused or self.ending:
            return
        if self.transport_paused and not self.transport.is_closing():
            self.transport_paused = False
            self.transport.resume_reading()

    def count_received(self) -> None:
        """Counts what is kept of a request that is not complete."""
        if self.ending:
            return
        size = self.size + len(self.body) + len(self.unfed)
        size += byte_budget.HEADER_OVERHEAD_BYTES * len(self.headers)
        for largest in self.budget.count(self, size):
            largest.drop()

    def parse(self, data: bytes | memoryview) -> None:
        """Parses some received bytes, and checks the limits."""
        if self.ending:
            return
        if not self.reading_since_ms:
            self.reading_since_ms = self.server.now_ms()
        if self.in_body:
            self.raw_body_bytes += len(data)
        else:
            self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request that offers it was the last one, and is answered.
            return
        except httptools.HttpParserError:
            self.reject(self.error_status or 400)
            return
        if self.ending:
            return
        if self.in_body:
            body_bytes = len(self.body)
            extra_bytes = self.raw_body_bytes - body_bytes
            extra_bytes -= FRAMING_BYTES_PER_BODY_BYTE * body_bytes
        else:
            extra_bytes = self.size - len(data)
        if extra_bytes > self.server.limits.header_bytes:
            self.reject(431)

    def drop(self) -> None:
        """Rejects the request that is being received: it has not run."""
        if self.ending:
            return
        self.server.on_dropped(len(self.body))
        self.reject(503, [(b"retry-after", OVER_BUDGET_RETRY_S)])

    def drop_unread(self) -> None:
        """Ends the connection of a caller that does not read its responses."""
        if not self.transport.is_closing() or self.has_unsent():
            self.server.on_limit(
                "unread", self.transport.get_write_buffer_size()
            )
        self.abort()

    def on_url(self, url: bytes) -> None:
        """Handles part of the path."""
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles one header; trailers are counted, and not used."""
        if not self.in_body:
            self.headers.append((name.lower(), value.strip(b" \t")))
            return
        self.size += len(name) + len(value) + 4
        if self.size > self.server.limits.header_bytes:
            self.error_status = 431
            raise ValueError("request trailers too long")

    def on_headers_complete(self) -> None:
        """Checks a complete head."""
        self.received_ms = self.server.now_ms()
        self.in_body = True
        self.error_status = self.head_error_status()
        if self.error_status:
            raise ValueError("request head rejected")
        for name, value in self.headers:
            wants = name == b"expect" and value.lower() == b"100-continue"
            if wants and not self.exchanges:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def head_error_status(self) -> int:
        """Returns the status that rejects the head; 0 if it is valid."""
        self.size = len(self.path) + sum(
            len(name) + len(value) + 4 for name, value in self.headers
        )
        if self.size > self.server.limits.header_bytes:
            return 431
        if not self.path.startswith(b"/"):
            return 400
        lengths = []
        codings = []
        hosts = 0
        for name, value in self.headers:
            if name == b"content-length":
                lengths.append(value)
            elif name == b"transfer-encoding":
                codings.append(value)
            elif name == b"host":
                hosts += 1
        if len(lengths) > 1 or (lengths and codings) or hosts != 1:
            return 400
        if codings and codings != [b"chunked"]:
            return 400
        if lengths and not lengths[0].isdigit():
            return 400
        has_body = bool(codings or (lengths and int(lengths[0])))
        if self.parser.should_upgrade() and has_body:
            # The parser takes the body for bytes of the other protocol.
            return 400
        if lengths and int(lengths[0]) > self.server.limits.body_bytes:
            return 413
        return 0

    def on_body(self, body: bytes) -> None:
        """Handles part of the body."""
        if len(self.body) + len(body) > self.server.limits.body_bytes:
            self.error_status = 413
            raise ValueError("request body too long")
        self.body += body

    def on_message_complete(self) -> None:
        """Queues a complete request behind those before it."""
        if self.ending:
            # It came with the last one, and is not answered.
            self.reset()
            return
        request = Request(
            self.parser.get_method(),
            self.path,
            self.headers,
            bytes(self.body),
            self.received_ms,
        )
        # No upgrade is accepted, and the parser reads nothing after the offer.
        is_last = (
            self.parser.should_upgrade() or not self.parser.should_keep_alive()
        )
        exchange = Exchange(self, is_last, request)
        head_bytes = self.size
        head_bytes += byte_budget.HEADER_OVERHEAD_BYTES * len(self.headers)
        self.reset()
        self.exchanges.append(exchange)
        self.reading_since_ms = 0.0
        self.ending = is_last
        if self.server.refuses_when_full and self.budget.is_full():
            self.refuse(exchange, len(request.body))
            return
        exchange.request_bytes = head_bytes + len(request.body)
        self.queued_bytes += exchange.request_bytes
        self.waiting.append(exchange)
        self.start_handlers()
        if not exchange.is_started:
            self.count_request(exchange, WAITING_REQUEST_BYTES)

    def count_request(self, exchange: Exchange, extra_bytes: int) -> None:
        """Counts a request, which cannot be dropped: it may have run."""
        for largest in self.budget.count(
            exchange, exchange.request_bytes + extra_bytes, droppable=False
        ):
            largest.drop()

    def refuse(self, exchange: Exchange, body_bytes: int) -> None:
        """Refuses a complete request, which does not run, for lack of memory.

        Its connection stays open, as it may have responses to other requests.
        """
        self.server.on_dropped(body_bytes)
        exchange.request = None
        exchange.response = Response(
            503, [(b"retry-after", OVER_BUDGET_RETRY_S)]
        )
        self.budget.count(exchange, byte_budget.RESPONSE_BYTES)
        self.flush()

    def start_handlers(self) -> None:
        """Starts the handlers of the first PIPELINE_MAX requests."""
        if self.transport.is_closing():
            return
        while self.waiting and self.started_count < PIPELINE_MAX:
            exchange = self.waiting.popleft()
            request, exchange.request = exchange.request, None
            self.started_count += 1
            exchange.is_started = True
            self.count_request(exchange, byte_budget.REQUEST_BYTES)
            exchange.task = self.server.loop.create_task(
                self.run(exchange, request)
            )
        count = len(self.exchanges)
        is_full = count >= PIPELINE_QUEUE_MAX or (
            count > 1 and self.queued_bytes >= PIPELINE_QUEUE_BYTES
        )
        if is_full and not self.reading_paused:
            self.reading_paused = True
            if not self.transport_paused:
                self.transport_paused = True
                self.transport.pause_reading()
        elif self.reading_paused and not is_full:
            self.reading_paused = False
            self.server.loop.call_soon(self.feed_rest)

    async def run(self, exchange: Exchange, request: Request) -> None:
        """Runs the handler of one request."""
        try:
            exchange.response = await self.server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self.server.on_fault(error)
            exchange.response = Response(502, [])
        exchange.task = None
        if not exchange.is_open:
            return
        response = exchange.response
        size = len(response.body) + byte_budget.RESPONSE_BYTES
        size += byte_budget.HEADER_OVERHEAD_BYTES * len(response.headers)
        self.queued_bytes -= exchange.request_bytes
        exchange.request_bytes = 0
        self.flush()
        if exchange.is_open:
            for largest in self.budget.count(exchange, size):
                largest.drop()

    def reject(self, status: int, headers: Headers | None = None) -> None:
        """Rejects a request, after the responses to earlier requests."""
        self.ending = True
        self.reset()
        exchange = Exchange(self, True)
        exchange.response = Response(status, headers or [], close=True)
        self.exchanges.append(exchange)
        self.flush()

    def flush(self) -> None:
        """Sends the responses that are due, in the order of the requests."""
        while self.exchanges and not self.paused:
            exchange = self.exchanges[0]
            response = exchange.response
            if response is None:
                break
            self.exchanges.popleft()
            exchange.is_open = False
            self.started_count -= exchange.is_started
            if exchange.counted_bytes:
                self.budget.count(exchange, 0)
            response.close = response.close or exchange.is_last
            if self.server.closing:
                # Requests that were read before still get a response.
                self.ending = True
                response.close = response.close or not self.exchanges
            if len(response.body) <= JOINED_BODY_BYTES:
                self.transport.write(encode_response(response))
            else:
                self.transport.write(encode_response(response, False))
                self.transport.write(response.body)
            self.idle_since_ms = self.server.now_ms()
            if response.close:
                self.close()
                return
        self.start_handlers()

    def close(self) -> None:
        """Closes the connection once the write buffer has been sent."""
        self.ending = True
        self.end_exchanges()
        self.transport.close()

    def abort(self) -> None:
        """Ends the connection at once; what is not sent is lost."""
        self.ending = True
        self.transport.abort()

    def has_unsent(self) -> bool:
        """Whether part of a response is still in the write buffer."""
        return self.transport.get_write_buffer_size() > 0

    def system_unsent_bytes(self) -> int:
        """Returns the bytes that the operating system keeps for the caller."""
        wire = self.transport.get_extra_info("socket")
        if wire is None or self.transport.is_closing():
            return 0
        try:
            size = fcntl.ioctl(wire.fileno(), termios.TIOCOUTQ, bytes(4))
        except (OSError, ValueError):
            # The connection has just ended.
            return 0
        return struct.unpack("i", size)[0]

    def sweep(self, now_ms: float, is_crowded: bool) -> None:
        """Closes the connection if it was idle or slow for too long.

        Args:
          now_ms: the current time.
          is_crowded: whether memory or connections are short.
        """
        bounds = self.server.limits
        unsent_bytes = self.transport.get_write_buffer_size()
        if is_crowded:
            unsent_bytes += self.system_unsent_bytes()
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.unsent_since_ms = now_ms
        elif unsent_bytes:
            allowed_ms = bounds.idle_timeout_ms
            if is_crowded:
                allowed_ms = min(allowed_ms, UNREAD_TIMEOUT_MS)
            if now_ms - self.unsent_since_ms > allowed_ms:
                self.drop_unread()
                return
        if self.exchanges or self.ending:
            return
        if self.reading_since_ms and not self.in_body:
            if now_ms - self.reading_since_ms > bounds.header_timeout_ms:
                self.reject(408)
        elif self.reading_since_ms:
            self.sweep_body(now_ms, is_crowded)
        elif self.idle_ms(now_ms) > bounds.idle_timeout_ms:
            self.close()

    def sweep_body(self, now_ms: float, is_crowded: bool) -> None:
        """Rejects a request of whose body nothing is received any more."""
        if self.raw_body_bytes != self.swept_body_bytes:
            self.swept_body_bytes = self.raw_body_bytes
            self.body_since_ms = now_ms
            return
        bounds = self.server.limits
        allowed_ms = bounds.idle_timeout_ms
        if is_crowded:
            allowed_ms = min(allowed_ms, bounds.header_timeout_ms)
        # Nothing is read while earlier requests of the connection wait.
        since_ms = max(self.body_since_ms, self.received_ms, self.idle_since_ms)
        if now_ms - since_ms > allowed_ms:
            self.server.on_limit("body_silent", len(self.body))
            self.reject(408)

    def idle_ms(self, now_ms: float) -> float:
        """Returns how long the connection has been idle; 0 within a request."""
        return 0.0 if self.reading_since_ms else now_ms - self.idle_since_ms

    def is_idle(self) -> bool:
        """Whether the connection has no request and no unsent response."""
        return not (
            self.exchanges
            or self.reading_since_ms
            or self.ending
            or self.has_unsent()
        )


class Server:
    """Accepts connections at one address.

    Attributes:
      handler: returns the response to a request.
      limits: limits of callers' requests.
      closing: whether each further response closes its connection.
      connections: open connections.
      connections_max: largest number of open connections.
      budget: limit of the bytes that all connections of the process keep.
      on_dropped: called with the size of the body of a request that is rejected
        because of the budget.
      call_later: calls a function after a delay.
      on_limit: called with the name of a limit and the figure that reached it
        when a connection is closed because of it.
      refuses_when_full: whether complete requests are refused while the process
        has no memory for more.
      backlog: connections that wait to be accepted. All of them are accepted
        at once, also those that are then refused.
      idle_found: idle connections of the last search, the oldest last.
      searched_ms: when idle connections were last searched for.
    """

    def __init__(
        self,
        handler: Handler,
        now_ms: Callable[[], float],
        on_fault: Callable[[Exception], None],
        budget: byte_budget.ByteBudget,
        on_dropped: Callable[[int], None] = lambda size: None,
        on_limit: Callable[[str, int], None] = lambda name, figure: None,
        connections_max: float = math.inf,
        refuses_when_full: bool = True,
    ):
        self.handler = handler
        self.now_ms = now_ms
        self.on_fault = on_fault
        self.budget = budget
        self.on_dropped = on_dropped
        self.on_limit = on_limit
        self.connections_max = connections_max
        self.refuses_when_full = refuses_when_full
        self.backlog = int(min(BACKLOG_MAX, max(4, connections_max / 8)))
        self.idle_found: list[Connection] = []
        self.searched_ms = -math.inf
        self.limits = HttpLimits()
        self.closing = False
        self.connections: set[Connection] = set()
        self.loop = asyncio.get_running_loop()
        self.listener: asyncio.Server | None = None
        self.call_later: Callable = self.loop.call_later
        self.sweeper: asyncio.TimerHandle | tick_timers.TickTimer | None = None

    async def listen(self, address: str) -> None:
        """Starts to accept connections."""
        host, _, port = address.rpartition(":")
        self.listener = await self.loop.create_server(
            lambda: Connection(self), host, int(port), backlog=self.backlog
        )
        # Accepted connections have the buffers of the listening socket.
        for wire in self.listener.sockets:
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                wire.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        self.sweep()

    def admit(self, connection: Connection) -> bool:
        """Registers a new connection; returns False if there is no room.

        The connection that has been idle longest is closed for a new one.
        """
        if len(self.connections) >= self.connections_max:
            idle = self.oldest_idle()
            self.on_limit("connections", len(self.connections))
            if idle is None:
                return False
            idle.abort()
            self.forget(idle)
        self.connections.add(connection)
        self.budget.small_bytes += byte_budget.CONNECTION_BYTES
        return True

    def is_crowded(self) -> bool:
        """Whether memory or connections are short."""
        if self.budget.is_short():
            return True
        return len(self.connections) > CROWDED_SHARE * self.connections_max

    def forget(self, connection: Connection) -> None:
        """Removes a connection that is closed, if it was registered."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.budget.small_bytes -= byte_budget.CONNECTION_BYTES

    def oldest_idle(self) -> Connection | None:
        """Returns the connection that has been idle longest, if one is known.

        All connections are searched at most every ROOM_SEARCH_INTERVAL_MS.
        """
        while True:
            while self.idle_found:
                found = self.idle_found.pop()
                if found in self.connections and found.is_idle():
                    return found
            now_ms = self.now_ms()
            if now_ms - self.searched_ms < ROOM_SEARCH_INTERVAL_MS:
                return None
            self.searched_ms = now_ms
            idle = [each for each in self.connections if each.is_idle()]
            idle.sort(key=lambda each: each.idle_since_ms)
            count = 1 + int(ROOM_SHARE * len(self.connections))
            self.idle_found = idle[:count][::-1]
            if not idle:
                return None

    def sweep(self) -> None:
        """Closes idle and slow connections, and schedules the next sweep."""
        now_ms = self.now_ms()
        is_crowded = self.is_crowded()
        for connection in list(self.connections):
            connection.sweep(now_ms, is_crowded)
        self.sweeper = self.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close_idle(self) -> None:
        """Closes the connections without a request."""
        for connection in list(self.connections):
            if not connection.exchanges and not connection.reading_since_ms:
                connection.close()

    def unfinished_count(self) -> int:
        """Returns the number of requests whose response is not sent."""
        return sum(
            len(connection.exchanges) + connection.has_unsent()
            for connection in self.connections
        )

    def stop(self) -> None:
        """Stops accepting connections."""
        if self.sweeper is not None:
            self.sweeper.cancel()
        if self.listener is not None:
            self.listener.close()


def encode_response(response: Response, with_body: bool = True) -> bytes:
    """Encodes a response, framed by its length; or its head alone."""
    reason = REASONS.get(response.status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (response.status, reason)]
    parts += [b"%s: %s\r\n" % pair for pair in response.headers]
    if response.status not in (204, 304):
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if response.close:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if with_body:
        parts.append(response.body)
    return b"".join(parts)
