"""HTTP/1.1 towards a target and the store: one exchange at a time.

Answers are read whole before anything is made of them, so one that ends early
never looks complete. A connection is used again only if nothing but the
awaited answer came over it.
"""

import asyncio
from collections.abc import Callable
import socket

import httptools
import msgspec

CONNECT_TIMEOUT_S = 1.0
"""A target or store in the same region answers in milliseconds."""

USER_TIMEOUT_MS = 3_000
"""Unacknowledged bytes end a connection after this: a lost peer is silent."""

HEAD_MAX_BYTES = 1 << 16
"""Longest head of an answer; a target in trouble may send one without end."""

BODY_MAX_BYTES = 16 << 20
"""Longest body: pages of the store have about 1.4 MB, answers of targets far
less, and a node of 200 MB must bear several at once."""

POOL_MAX = 32
"""Idle connections kept to one address."""

IDLE_MARGIN_MS = 1_000.0
"""Idle connections are dropped this much before the peer would."""

IDLE_DEFAULT_MS = 4_000.0
"""Idle time where the peer states none; the shortest seen is twice this."""

Headers = list[tuple[bytes, bytes]]


class Response(msgspec.Struct, eq=False):
    """A whole answer; header names in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """The first value of a header."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class ConnectionBrokenError(Exception):
    """The connection ended, or sent nonsense, before a whole answer."""


class ConnectError(Exception):
    """No connection could be made.

    Attributes:
      no_listener: whether no process listens there.
    """

    def __init__(self, message: str, nobody: bool):
        super().__init__(message)
        self.no_listener = nobody


def ignore_progress() -> None:
    """Nobody needs to know that a part of an answer has come."""


class Connection(asyncio.Protocol):
    """A connection and the exchange on it.

    Attributes:
      on_progress: called when a part of an answer has come.
    """

    def __init__(self, now_ms: Callable[[], float]):
        self.now_ms = now_ms
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.waiter: asyncio.Future | None = None
        self.accepts: Callable[[Response], bool] | None = None
        self.reusable = True
        self.closed = False
        self.idle_since_ms = now_ms()
        self.idle_max_ms = IDLE_DEFAULT_MS
        self.clean_end = False
        self.on_progress: Callable[[], None] = ignore_progress
        self.begin()

    def begin(self) -> None:
        """Forgets the parts of the last answer."""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.unframed = False
        self.has_head = False
        self.head_bytes = 0
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the open connection."""
        self.transport = transport
        wire = transport.get_extra_info("socket")
        if wire is not None:
            wire.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def exchange(
        self, data: bytes, accepts: Callable[[Response], bool]
    ) -> asyncio.Future:
        """Sends a request; the future gets the answer that is accepted.

        An answer that is not accepted belongs to an earlier request; it is
        dropped, and the connection is not used again.
        """
        self.waiter = asyncio.get_running_loop().create_future()
        self.accepts = accepts
        self.begin()
        self.transport.write(data)
        return self.waiter

    def data_received(self, data: bytes) -> None:
        """Takes what came."""
        if self.waiter is None:
            # Nothing was asked, so this belongs to no request.
            self.abort()
            return
        self.on_progress()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reusable = False
            if self.waiter is not None:
                self.fail("bytes that are no answer")
            self.abort()
            return
        if not self.has_head:
            self.head_bytes += len(data)
        if self.head_bytes > HEAD_MAX_BYTES:
            self.fail("a head without end")
            self.abort()
        elif self.body_bytes > BODY_MAX_BYTES:
            self.fail("a body without end")
            self.abort()

    def eof_received(self) -> bool:
        """The other end sends no more."""
        self.clean_end = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.closed = True
        self.reusable = False
        if self.waiter is None:
            return
        if self.unframed and self.clean_end and exc is None:
            self.take()
        if self.waiter is not None:
            self.fail("the connection ended before a whole answer")

    def on_message_begin(self) -> None:
        """A message begins."""
        if self.waiter is None:
            self.reusable = False
        self.begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header was read."""
        self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """The head was read."""
        status = self.parser.get_status_code()
        names = {name for name, _ in self.headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        bodiless = status < 200 or status in (204, 304)
        self.unframed = not framed and not bodiless
        self.has_head = True

    def on_body(self, body: bytes) -> None:
        """A part of the body was read."""
        self.body_bytes += len(body)
        if self.body_bytes <= BODY_MAX_BYTES:
            self.body.append(body)

    def on_message_complete(self) -> None:
        """The whole message was read."""
        if self.parser.get_status_code() < 200 or self.unframed:
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        self.take()

    def take(self) -> None:
        """Gives the answer to who waits for it, if it is the right one."""
        if self.waiter is None or self.waiter.done():
            return
        answer = Response(
            self.parser.get_status_code(), self.headers, b"".join(self.body)
        )
        if not self.accepts(answer):
            self.reusable = False
            return
        if self.transport.get_write_buffer_size() > 0:
            # The rest of the request would come before the next one.
            self.reusable = False
        self.note_idle_time(answer)
        self.waiter.set_result(answer)
        self.waiter = None

    def note_idle_time(self, answer: Response) -> None:
        """Takes how long the peer keeps an idle connection."""
        self.idle_since_ms = self.now_ms()
        value = answer.header(b"keep-alive")
        if value and value.startswith(b"timeout="):
            seconds = value[8:].split(b",")[0]
            if seconds.isdigit():
                self.idle_max_ms = max(
                    0.0, 1_000.0 * int(seconds) - IDLE_MARGIN_MS
                )

    def fail(self, reason: str) -> None:
        """Tells who waits that no whole answer comes."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionBrokenError(reason))

    def abort(self) -> None:
        """Ends the connection at once, and what runs on it."""
        self.reusable = False
        self.waiter = None
        if not self.closed and self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """Connections to one address.

    Attributes:
      address: host and port.
      idle: connections that may be used again; the freshest is last.
      opened: connections made so far.
    """

    def __init__(self, address: str, now_ms: Callable[[], float]):
        self.address = address
        self.now_ms = now_ms
        self.idle: list[Connection] = []
        self.opened = 0

    async def acquire(self, idle_max_ms: float) -> Connection:
        """A connection that was idle for no longer, or a new one.

        Raises:
          ConnectError: none could be made.
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
        """A new connection."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(self.now_ms), host, int(port)
                )
        except ConnectionRefusedError as error:
            raise ConnectError("nobody listens there", True) from error
        except (OSError, TimeoutError) as error:
            reason = str(error) or "no connection in time"
            raise ConnectError(reason, False) from error
        return connection

    def release(self, connection: Connection) -> None:
        """Keeps a connection for another exchange, if it may be used again."""
        if connection.closed:
            return
        if not connection.reusable or len(self.idle) >= POOL_MAX:
            connection.abort()
            return
        self.idle.append(connection)

    def close(self) -> None:
        """Ends the idle connections."""
        while self.idle:
            self.idle.pop().abort()


def encode_request(
    method: bytes, path: bytes, headers: Headers, body: bytes
) -> bytes:
    """A request as bytes, framed by its length."""
    parts = [b"%s %s HTTP/1.1\r\n" % (method, path)]
    parts += [b"%s: %s\r\n" % pair for pair in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)
