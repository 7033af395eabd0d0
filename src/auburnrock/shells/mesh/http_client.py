"""HTTP/1.1 client for a target and the store, with one exchange at a time.

Responses are read completely before they are used, so a truncated one never
appears complete. A connection is reused only if nothing but the awaited
response was received on it.
"""

import asyncio
from collections.abc import Callable
import re
import socket

import httptools
import msgspec

from auburnrock.engine import response_status
from auburnrock.engine.mesh import byte_budget

CONNECT_TIMEOUT_S = 1.0
"""Timeout of a connection attempt; a target or store in the same region accepts
in milliseconds."""

USER_TIMEOUT_MS = 3_000
"""Time after which unacknowledged bytes end a connection; a lost peer sends no
reset."""

HEAD_MAX_BYTES = 1 << 16
"""Longest head of a response, with its trailers and with the interim responses
before it; a faulty target may send endless ones."""

STATUS_LINE_MIN_BYTES = 13
"""Shortest status line."""

BODY_MAX_BYTES = 16 << 20
"""Longest body of a response. Pages of the store have about 1.4 MB, responses
of targets far less. byte_budget limits all of them at once."""

POOL_MAX = 32
"""Largest number of idle connections to one address."""

IDLE_MARGIN_MS = 1_000.0
"""Time by which an idle connection is closed before the peer closes it."""

IDLE_DEFAULT_MS = 4_000.0
"""Idle timeout of peers that state none; the shortest known is twice this."""

_STATUS_LINE = re.compile(rb"HTTP/[0-9.]{1,3} ?([^\r\n]{0,24})")

Headers = list[tuple[bytes, bytes]]
Budget = byte_budget.ByteBudget


class Response(msgspec.Struct, eq=False):
    """A complete response, with header names in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class ConnectionBrokenError(Exception):
    """The connection ended or was invalid before a complete response."""


class ConnectError(Exception):
    """No connection could be made.

    Attributes:
      no_listener: whether no process listens at the address.
    """

    def __init__(self, message: str, no_listener: bool):
        super().__init__(message)
        self.no_listener = no_listener


def ignore_progress() -> None:
    """Ignores that part of a response was received."""


class Connection(asyncio.Protocol):
    """A connection and the exchange on it.

    Attributes:
      exchange_count: number of exchanges so far.
      on_progress: called when part of a response was received.
      budget: limit of the bytes that all connections keep.
      droppable: whether a response may be dropped for the budget.
      parser: parser of the responses; None once the connection has ended. The
        two refer to each other, and would wait for a garbage collection.
      head_bytes: bytes of the heads and trailers of this exchange.
      received_bytes: bytes received in this exchange.
      unparsed_bytes: bytes received since the parser last found a part of a
        response, such as a header.
      fault: why the response is not a final one; empty if none was found.
      bodiless: a complete response that must have no body, until the bytes that
        were received with it have been parsed.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        budget: byte_budget.ByteBudget,
        droppable: bool = True,
    ):
        self.droppable = droppable
        self.now_ms = now_ms
        self.budget = budget
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self.waiter: asyncio.Future | None = None
        self.accepts: Callable[[Response], bool] | None = None
        self.reusable = True
        self.exchange_count = 0
        self.closed = False
        self.idle_since_ms = now_ms()
        self.idle_max_ms = IDLE_DEFAULT_MS
        self.clean_end = False
        self.on_progress: Callable[[], None] = ignore_progress
        self.head_bytes = 0
        self.received_bytes = 0
        self.unparsed_bytes = 0
        self.fault = ""
        self.bodiless: Response | None = None
        self.reset()

    def reset(self) -> None:
        """Clears the parsed parts of the last response."""
        self.headers: Headers = []
        self.body = bytearray()
        self.unframed = False
        self.has_head = False
        self.body_bytes = 0
        self.budget.release(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport, and sets the socket's timeout."""
        self.transport = transport
        wire = transport.get_extra_info("socket")
        if wire is not None:
            wire.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def exchange(
        self, data: bytes, accepts: Callable[[Response], bool]
    ) -> asyncio.Future:
        """Sends a request, and returns the future of its accepted response.

        A response that is not accepted belongs to an earlier request; it is
        dropped, and the connection is not reused.
        """
        self.waiter = asyncio.get_running_loop().create_future()
        self.accepts = accepts
        self.exchange_count += 1
        self.head_bytes = 0
        self.received_bytes = 0
        self.unparsed_bytes = 0
        self.fault = ""
        self.reset()
        self.transport.write(data)
        return self.waiter

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self.waiter is None:
            # No request is pending, so these bytes belong to none.
            self.abort()
            return
        self.on_progress()
        self.received_bytes += len(data)
        self.unparsed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reusable = False
            if self.bodiless is not None:
                self.fault = response_status.fault_of(
                    self.bodiless.status, has_body=True
                )
            self.fail(self.excess() or self.fault or _parse_failure(data))
            self.abort()
            return
        excess = self.excess()
        if excess:
            self.fail(excess)
            self.abort()
            return
        if self.bodiless is not None:
            self.complete(self.bodiless)
        if self.waiter is None:
            return
        size = self.body_bytes + self.head_bytes
        size += byte_budget.HEADER_OVERHEAD_BYTES * len(self.headers)
        if size >= byte_budget.COUNTED_MIN_BYTES:
            for largest in self.budget.hold(self, size, self.droppable):
                largest.drop()

    def excess(self) -> str:
        """Returns which limit the response exceeds; nothing if it does not."""
        if max(self.head_bytes, self.unparsed_bytes) > HEAD_MAX_BYTES:
            return f"response head longer than {HEAD_MAX_BYTES} bytes"
        received_bytes = self.received_bytes - HEAD_MAX_BYTES
        if max(self.body_bytes, received_bytes) > BODY_MAX_BYTES:
            return f"response body longer than {BODY_MAX_BYTES} bytes"
        return ""

    def drop(self) -> None:
        """Fails the response, the largest when all exceed their budget."""
        limit_bytes = int(self.budget.limit_bytes)
        self.fail(
            f"response of {self.body_bytes} bytes dropped, as all messages"
            f" together exceed {limit_bytes} bytes"
        )
        self.abort()

    def eof_received(self) -> bool:
        """Records that the peer closed the connection regularly."""
        self.clean_end = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Delivers a response framed by the end of the connection, or fails."""
        self.closed = True
        self.reusable = False
        if self.waiter is not None:
            if self.unframed and self.clean_end and exc is None:
                self.deliver_response()
            self.fail("connection ended before a complete response")
        self.reset()
        self.parser = None

    def on_message_begin(self) -> None:
        """Handles the beginning of a message."""
        if self.bodiless is not None:
            raise ValueError("bytes behind a response without a body")
        if self.waiter is None:
            self.reusable = False
        self.reset()
        self.count_head_bytes(STATUS_LINE_MIN_BYTES)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles one header; trailers are counted, and not used."""
        self.count_head_bytes(len(name) + len(value) + len(b": \r\n"))
        if not self.has_head:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def count_head_bytes(self, size: int) -> None:
        """Counts part of a head; stops the parser beyond the limit."""
        self.unparsed_bytes = 0
        self.head_bytes += size
        if self.head_bytes > HEAD_MAX_BYTES:
            raise ValueError("response head too long")

    def on_headers_complete(self) -> None:
        """Handles the end of a head."""
        status = self.parser.get_status_code()
        length: bytes | None = None
        chunked = False
        for name, value in self.headers:
            if name == b"content-length":
                length = value
            elif name == b"transfer-encoding":
                chunked = True
        states_body = chunked or (length or b"0").strip(b"0") != b""
        is_interim = status in response_status.INTERIM
        if not is_interim or states_body:
            # A 304 may state the length of what it does not send.
            self.fault = response_status.fault_of(
                status, has_body=states_body and status != 304
            )
            if self.fault:
                raise ValueError(self.fault)
        if states_body and status == 304:
            self.reusable = False
        framed = chunked or length is not None
        bodiless = is_interim or status in response_status.WITHOUT_BODY
        self.unframed = not framed and not bodiless
        self.has_head = True

    def on_body(self, body: bytes) -> None:
        """Handles part of the body."""
        self.unparsed_bytes = 0
        self.body_bytes += len(body)
        if self.body_bytes > BODY_MAX_BYTES:
            raise ValueError("response body too long")
        self.body += body

    def on_message_complete(self) -> None:
        """Delivers a complete response, unless it is an interim one."""
        if (
            self.parser.get_status_code() in response_status.INTERIM
            or self.unframed
        ):
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        self.deliver_response()

    def deliver_response(self) -> None:
        """Delivers the response to the pending exchange if it is accepted."""
        if self.waiter is None or self.waiter.done():
            return
        response = Response(
            self.parser.get_status_code(), self.headers, bytes(self.body)
        )
        self.body = bytearray()
        self.budget.release(self)
        if not self.accepts(response):
            self.reusable = False
            return
        if response.status in response_status.WITHOUT_BODY:
            self.bodiless = response
            return
        self.complete(response)

    def complete(self, response: Response) -> None:
        """Ends the pending exchange with its accepted response."""
        self.bodiless = None
        if self.transport.get_write_buffer_size() > 0:
            # The rest of the request would precede the next one.
            self.reusable = False
        self.update_idle_time(response)
        self.waiter.set_result(response)
        self.waiter = None

    def update_idle_time(self, response: Response) -> None:
        """Reads the peer's idle timeout from a response."""
        self.idle_since_ms = self.now_ms()
        value = response.header(b"keep-alive")
        if value and value.startswith(b"timeout="):
            seconds = value[8:].split(b",")[0]
            if seconds.isdigit():
                self.idle_max_ms = max(
                    0.0, 1_000.0 * int(seconds) - IDLE_MARGIN_MS
                )

    def fail(self, reason: str) -> None:
        """Fails the pending exchange, and frees what was received."""
        waiter, self.waiter = self.waiter, None
        self.bodiless = None
        self.reset()
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionBrokenError(reason))

    def abort(self) -> None:
        """Aborts the connection and the exchange on it."""
        self.reusable = False
        self.waiter = None
        self.bodiless = None
        self.reset()
        if not self.closed and self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """Connections to one address.

    Attributes:
      address: host and port.
      idle: connections that may be reused, the most recently used last.
      opened: number of connection attempts so far.
      budget: limit of the bytes that all connections of the process keep;
        without one they have no common limit.
      droppable: whether a response may be dropped for the budget.
    """

    def __init__(
        self,
        address: str,
        now_ms: Callable[[], float],
        budget: byte_budget.ByteBudget | None = None,
        droppable: bool = True,
    ):
        self.droppable = droppable
        self.address = address
        self.now_ms = now_ms
        self.budget = budget or byte_budget.unlimited()
        self.idle: list[Connection] = []
        self.opened = 0

    async def acquire(self, idle_max_ms: float) -> Connection:
        """Returns a connection that was idle for less time, or a new one.

        Raises:
          ConnectError: no connection could be made.
        """
        now_ms = self.now_ms()
        while self.idle:
            known = self.idle[-1]
            idle_ms = now_ms - known.idle_since_ms
            usable = known.reusable and not known.closed
            if usable and idle_ms < min(idle_max_ms, known.idle_max_ms):
                return self.idle.pop()
            if usable and idle_ms < known.idle_max_ms:
                break
            self.idle.pop().abort()
        return await self.open()

    async def open(self) -> Connection:
        """Opens a new connection.

        Raises:
          ConnectError: no connection could be made.
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(
                        self.now_ms, self.budget, self.droppable
                    ),
                    host,
                    int(port),
                )
        except ConnectionRefusedError as error:
            raise ConnectError("connection refused", True) from error
        except (OSError, TimeoutError) as error:
            reason = str(error) or "connection attempt timed out"
            raise ConnectError(reason, False) from error
        return connection

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool if it may be reused."""
        if connection.closed:
            return
        if not connection.reusable or len(self.idle) >= POOL_MAX:
            connection.abort()
            return
        self.idle.append(connection)

    def close(self) -> None:
        """Closes the idle connections."""
        while self.idle:
            self.idle.pop().abort()


def encode_request(
    method: bytes, path: bytes, headers: Headers, body: bytes
) -> bytes:
    """Encodes a request, framed by its length."""
    parts = [b"%s %s HTTP/1.1\r\n" % (method, path)]
    parts += [b"%s: %s\r\n" % pair for pair in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)


def _parse_failure(data: bytes) -> str:
    """Returns why the parser failed; it names the last status line received."""
    found = _STATUS_LINE.findall(data)
    if not found:
        return "invalid HTTP response"
    return f"invalid HTTP response, with status {found[-1].decode('latin-1')!r}"
