"""Framing of MessagePack messages between nodes: a length, then the message."""

import asyncio
from collections.abc import Callable
import socket
import zlib

import msgspec

from auburnrock.engine.mesh import byte_budget
from auburnrock.engine.mesh import peer_messages
from auburnrock.shells.mesh import wire_protocol

LENGTH_BYTES = 4

FRAME_MAX = 80 << 20
"""Longest frame: the longest body that a caller may send, and its head."""

USER_TIMEOUT_MS = 2_000
"""Time after which unacknowledged bytes end a connection; a lost peer sends no
reset."""

COMPRESSION_MIN_BYTES = 4_096
"""Encoded size above which messages with items of the store are compressed.
Each change of the configuration is sent to all nodes, some of which have slow
links."""

COMPRESSION_LEVEL = 1
"""Level of zlib. Routes are similar, so higher levels take longer for little
gain."""

COMPRESSED_KINDS = (peer_messages.StoreUpdate, peer_messages.Snapshot)
"""Kinds of messages that carry items of the store, and are compressed."""

JOINED_BYTES = 64 << 10
"""Size of a message up to which it is copied behind its length."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(peer_messages.AnyMessage)


class FrameConnection(asyncio.Protocol):
    """One end of a connection between nodes.

    Attributes:
      budget: limit of the bytes that all connections of the process keep.
      received: holds the bytes of an incomplete message in the budget.
      unsent: holds the bytes of the write buffer in the budget.
      paused: whether the write buffer is full.
      reject_reason: why this end has aborted the connection because of invalid
        data; empty if it has not.
      last_sent_versions: versions that this end last sent; None before.
      on_progress: called when part of a message was received.
      sent_bytes: bytes written over all connections, by kind of message.
    """

    def __init__(
        self,
        on_message: Callable[["FrameConnection", peer_messages.Message], None],
        on_closed: Callable[["FrameConnection"], None],
        sent_bytes: dict[str, int],
        on_progress: Callable[[], None] = lambda: None,
        budget: byte_budget.ByteBudget | None = None,
    ):
        self.budget = budget or byte_budget.unlimited()
        self.received = byte_budget.Holder()
        self.unsent = byte_budget.Holder()
        self.paused = False
        self.on_message = on_message
        self.on_progress = on_progress
        self.on_closed = on_closed
        self.sent_bytes = sent_bytes
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.closed = False
        self.reject_reason = ""
        self.last_sent_versions: peer_messages.Versions | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport, and sets the socket's timeout."""
        self.transport = transport
        wire = transport.get_extra_info("socket")
        if wire is not None:
            wire.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection."""
        self.closed = True
        self.buffer.clear()
        self.count(self.received, 0)
        self.count(self.unsent, 0)
        self.on_closed(self)

    def count(self, holder: byte_budget.Holder, size: int) -> None:
        """Counts bytes, which are not dropped, as other messages follow."""
        if size == holder.counted_bytes:
            return
        for largest in self.budget.count(holder, size, droppable=False):
            # This may be within a call of the holder or of its transport.
            asyncio.get_running_loop().call_soon(largest.drop)

    def pause_writing(self) -> None:
        """Counts the write buffer, which is full."""
        self.paused = True
        self.count(self.unsent, self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Releases the write buffer, which has room again."""
        self.paused = False
        self.count(self.unsent, 0)

    def data_received(self, data: bytes) -> None:
        """Decodes and delivers the messages that are complete."""
        self.buffer += data
        while len(self.buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if size > FRAME_MAX:
                self.reject(f"frame of {size} bytes is too long")
                return
            end = LENGTH_BYTES + size
            if len(self.buffer) < end:
                self.count(self.received, len(self.buffer))
                self.on_progress()
                return
            try:
                # A copy of a long frame would exist beside its message.
                with (
                    memoryview(self.buffer) as view,
                    view[LENGTH_BYTES:end] as frame,
                ):
                    message = _decode(frame)
            except (*wire_protocol.DECODER_ERRORS, zlib.error) as error:
                self.reject(str(error))
                return
            del self.buffer[:end]
            self.count(self.received, 0)
            self.on_message(self, message)

    def reject(self, reason: str) -> None:
        """Aborts the connection: the peer is no node of this version."""
        self.reject_reason = reason
        self.buffer.clear()
        self.abort()

    def send(self, message: peer_messages.Message) -> bool:
        """Sends a message; False if the connection has ended."""
        if self.closed or self.transport is None:
            return False
        data = _ENCODER.encode(message)
        kind = message.metric_kind
        if len(data) > COMPRESSION_MIN_BYTES and isinstance(
            message, COMPRESSED_KINDS
        ):
            packed = zlib.compress(data, COMPRESSION_LEVEL)
            data = _ENCODER.encode(peer_messages.Packed(packed))
        size = LENGTH_BYTES + len(data)
        self.sent_bytes[kind] = self.sent_bytes.get(kind, 0) + size
        length = len(data).to_bytes(LENGTH_BYTES, "big")
        if len(data) <= JOINED_BYTES:
            self.transport.write(length + data)
        else:
            self.transport.write(length)
            self.transport.write(data)
        if self.paused:
            self.count(self.unsent, self.transport.get_write_buffer_size())
        return True

    def has_unsent(self) -> bool:
        """Whether part of a message is still in the write buffer."""
        if self.closed or self.transport is None:
            return False
        return self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()


def _decode(frame: bytes | memoryview) -> peer_messages.Message:
    """Decodes a message, and decompresses it if necessary.

    Raises:
      msgspec.DecodeError, UnicodeDecodeError, RecursionError, zlib.error: the
        frame is not a valid message.
    """
    message = _DECODER.decode(frame)
    if not isinstance(message, peer_messages.Packed):
        return message
    reader = zlib.decompressobj()
    data = reader.decompress(message.data, FRAME_MAX)
    if not reader.eof:
        raise zlib.error(
            f"compressed message longer than {FRAME_MAX} bytes, or truncated"
        )
    message = _DECODER.decode(data)
    if isinstance(message, peer_messages.Packed):
        raise msgspec.DecodeError("message compressed twice")
    return message
