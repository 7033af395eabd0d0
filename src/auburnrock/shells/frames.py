"""Framed messages over TCP between nodes.

A frame is a length of 4 bytes, big-endian, and a message in msgpack. Many
exchanges share one connection; each has a stream number of its own.
"""

import abc
import asyncio
import struct

import msgspec

from auburnrock import errors
from auburnrock import messages
from auburnrock.shells import control_traffic

LENGTH = struct.Struct(">I")
LARGEST_FRAME_BYTES = 16_000_000
CONNECT_TIMEOUT_S = 0.3
PING_AFTER_SILENCE_S = 0.25
SILENT_AFTER_S = 0.75
PROVEN_FOR_S = 0.25
PROBE_S = 0.1


class PeerError(Exception):
    """An exchange with a peer that gave no answer.

    Attributes:
      sent: whether a byte of the request may have left.
      silent: whether the connection stayed open but said nothing.
    """

    def __init__(self, message: str, sent: bool, silent: bool = False):
        super().__init__(message)
        self.sent = sent
        self.silent = silent

    def failure(self) -> errors.Failure:
        """The error of the closed list that a caller is given."""
        if self.sent:
            return errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, str(self))
        return errors.Failure(errors.ErrorKind.PEER_UNREACHABLE, str(self))


class FrameHandler(abc.ABC):
    """Receives the frames that are no answers to own exchanges.

    Attributes:
      traffic: counts the frames of control; a node's handlers share one.
    """

    traffic = control_traffic.ControlTraffic()

    @abc.abstractmethod
    def on_frame(
        self, connection: "FrameConnection", frame: messages.Frame
    ) -> None:
        """Handles one frame; must not block."""

    @abc.abstractmethod
    def on_garbage(self, reason: str) -> None:
        """Notes that a peer sent bytes that are no frame."""

    def on_closed(self, connection: "FrameConnection") -> None:
        """Notes that a connection has ended; does nothing by default."""
        return


class FrameConnection(asyncio.Protocol):
    """One connection, seen from either end.

    Attributes:
      handler: receives requests, cancels and pulls.
      transport: the connection's transport once it is open.
      exchanges: futures of the exchanges that wait for an answer, by stream.
      quiet_since_s: loop time since when the peer owes an answer and has
        sent nothing.
      heard_s: loop time of the last bytes received.
      retired: no new exchange may use this connection.
    """

    def __init__(self, handler: FrameHandler):
        self.handler = handler
        self.transport: asyncio.Transport | None = None
        self.exchanges: dict[int, asyncio.Future] = {}
        self.loop = asyncio.get_running_loop()
        self.quiet_since_s = self.loop.time()
        self.heard_s = self.loop.time()
        self.retired = False
        self._pong: asyncio.Future | None = None
        self._next_stream = 0
        self._received = bytearray()
        self._outgoing: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is open."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio when the connection has ended."""
        self.end(PeerError("the peer closed the connection", sent=True))

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with received bytes."""
        self.heard_s = self.loop.time()
        self.quiet_since_s = self.heard_s
        self._received += data
        offset = 0
        try:
            while (frame_end := self._frame_end(offset)) is not None:
                start = offset + LENGTH.size
                frame = messages.decode_frame(self._received[start:frame_end])
                self.handler.traffic.frame_received(frame, frame_end - offset)
                offset = frame_end
                self._dispatch(frame)
        except (msgspec.DecodeError, ValueError) as error:
            self.handler.on_garbage(str(error))
            self.end(PeerError("the peer sent garbage", sent=True))
            return
        del self._received[:offset]

    def send(self, frame: messages.Frame) -> None:
        """Sends a frame; frames of one loop iteration leave together."""
        if self.transport is None or self.transport.is_closing():
            return
        if not self._outgoing:
            self.loop.call_soon(self._flush)
        data = messages.encode(frame)
        self.handler.traffic.frame_sent(frame, LENGTH.size + len(data))
        self._outgoing.append(LENGTH.pack(len(data)))
        self._outgoing.append(data)

    def open_exchange(self) -> tuple[int, asyncio.Future]:
        """Reserves a stream number and the future of its answer."""
        if not self.exchanges:
            # An idle connection owed nothing, so its silence meant nothing.
            self.quiet_since_s = self.loop.time()
        self._next_stream += 1
        future = self.loop.create_future()
        self.exchanges[self._next_stream] = future
        return self._next_stream, future

    def usable(self) -> bool:
        """Whether a new exchange may begin."""
        return (
            not self.retired
            and self.transport is not None
            and not self.transport.is_closing()
        )

    async def answers_ping(self, timeout_s: float) -> bool:
        """Asks the peer whether the connection still carries frames."""
        if self._pong is None:
            self._pong = self.loop.create_future()
            self.send(messages.Ping(0))
        done, _ = await asyncio.wait([self._pong], timeout=timeout_s)
        return bool(done)

    def _note_pong(self) -> None:
        if self._pong is not None:
            self._pong.set_result(None)
            self._pong = None

    def end(self, error: PeerError) -> None:
        """Closes the connection; waiting exchanges get `error`."""
        self.retired = True
        exchanges = self.exchanges
        self.exchanges = {}
        for future in exchanges.values():
            if not future.done():
                future.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
        self.handler.on_closed(self)

    def check_silence(self) -> None:
        """Pings a quiet connection in use; ends one that does not answer."""
        if not self.exchanges:
            return
        silence_s = self.loop.time() - self.quiet_since_s
        if silence_s > SILENT_AFTER_S:
            message = f"the peer was silent for {silence_s:.2f} s"
            self.end(PeerError(message, sent=True, silent=True))
        elif silence_s > PING_AFTER_SILENCE_S:
            self.send(messages.Ping(0))

    def _frame_end(self, offset: int) -> int | None:
        if len(self._received) - offset < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._received, offset)
        if length > LARGEST_FRAME_BYTES:
            raise ValueError(
                f"frame of {length} bytes, at most {LARGEST_FRAME_BYTES}"
            )
        frame_end = offset + LENGTH.size + length
        return frame_end if len(self._received) >= frame_end else None

    def _dispatch(self, frame: messages.Frame) -> None:
        match frame:
            case messages.Ping():
                self.send(messages.Pong(frame.sequence))
            case messages.Pong():
                self._note_pong()
            case (
                messages.Response()
                | messages.Refusal()
                | messages.Delta()
                | messages.Results()
                | messages.Figures()
            ):
                future = self.exchanges.pop(frame.stream, None)
                # An answer to an exchange that was given up is dropped here.
                if future is not None and not future.done():
                    future.set_result(frame)
            case _:
                self.handler.on_frame(self, frame)

    def _flush(self) -> None:
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


class PeerConnections:
    """Connections to the other nodes, one for each address.

    Attributes:
      handler: receives frames that are no answers.
      connections: the open connection of each host:port.
      retiring: connections with open exchanges that take no new one.
    """

    def __init__(self, handler: FrameHandler):
        self.handler = handler
        self.connections: dict[tuple[str, int], FrameConnection] = {}
        self.retiring: list[FrameConnection] = []
        self._opening: dict[tuple[str, int], asyncio.Task] = {}

    async def exchange(
        self,
        host: str,
        port: int,
        frame: messages.Request
        | messages.Pull
        | messages.PullResults
        | messages.Suspects
        | messages.PullFigures,
        timeout_s: float,
        fresh_connection: bool = False,
    ) -> messages.Frame:
        """Sends a frame and returns its answer; raises PeerError."""
        connection = self._connected(host, port)
        if connection is not None and _must_be_proven(connection, frame):
            fresh_connection |= not await connection.answers_ping(PROBE_S)
        if connection is None or fresh_connection:
            connection = await self._open(host, port, fresh_connection)
        stream, future = connection.open_exchange()
        frame.stream = stream
        connection.send(frame)
        timer = connection.loop.call_later(
            timeout_s, _expire, future, timeout_s
        )
        try:
            return await future
        finally:
            timer.cancel()
            if connection.exchanges.pop(stream, None) is not None:
                connection.send(messages.Cancel(stream))

    def check_silence(self) -> None:
        """Looks for silent connections; call it every 50 to 100 ms."""
        for connection in [*self.connections.values(), *self.retiring]:
            connection.check_silence()
        self.retiring = [
            connection for connection in self.retiring if connection.exchanges
        ]

    def close(self) -> None:
        """Closes all connections."""
        for connection in [*self.connections.values(), *self.retiring]:
            connection.end(PeerError("this node stops", sent=True))

    def _connected(self, host: str, port: int) -> FrameConnection | None:
        connection = self.connections.get((host, port))
        if connection is not None and connection.usable():
            return connection
        return None

    async def _open(self, host: str, port: int, fresh: bool) -> FrameConnection:
        address = (host, port)
        if fresh:
            previous = self.connections.pop(address, None)
            if previous is not None:
                previous.retired = True
                self.retiring.append(previous)
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.create_task(self._dial(host, port))
            self._opening[address] = opening
            opening.add_done_callback(
                lambda _task: self._opening.pop(address, None)
            )
        # One caller that goes away must not end the others' connection.
        return await asyncio.shield(opening)

    async def _dial(self, host: str, port: int) -> FrameConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: FrameConnection(self.handler), host, port
                )
        except (OSError, TimeoutError) as error:
            raise PeerError(
                f"cannot connect to {host}:{port}: {error or 'timeout'}",
                sent=False,
            ) from error
        self.connections[(host, port)] = connection
        return connection


def _must_be_proven(connection: FrameConnection, frame: messages.Frame) -> bool:
    """Whether a connection must answer a ping before it carries a frame.

    A request that must not be repeated is lost for good on a connection that
    has gone silent, so an idle one is probed first.
    """
    if not isinstance(frame, messages.Request) or frame.idempotent:
        return False
    idle_s = connection.loop.time() - connection.heard_s
    return idle_s > PROVEN_FOR_S


def _expire(future: asyncio.Future, timeout_s: float) -> None:
    if not future.done():
        future.set_exception(
            PeerError(f"no answer within {timeout_s:.2f} s", sent=True)
        )
