"""Frames of MessagePack over a connection: length, then message."""

import asyncio
from collections.abc import Callable
import socket
import zlib

import msgspec

from auburnrock.engine.mesh import peer_messages

LENGTH_BYTES = 4

FRAME_MAX = 80 << 20
"""The longest body a caller may send, and room for its head."""

USER_TIMEOUT_MS = 2_000
"""Unacknowledged bytes end a connection after this: a lost peer is silent."""

PACKED_BYTES = 4_096
"""Longer items of the store are compressed: each change of a configuration goes
to all nodes, some of which have slow links."""

COMPRESSION_LEVEL = 1
"""Routes are alike; higher levels of zlib take longer for little."""

PACKED_KINDS = (peer_messages.StoreUpdate, peer_messages.Snapshot)
"""Messages that carry items of the store."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(peer_messages.AnyMessage)


class FrameConnection(asyncio.Protocol):
    """One end of a connection between nodes.

    Attributes:
      reject_reason: why this end has broken off the connection; empty if it
        has not.
      last_sent_versions: versions that this end last named.
      on_progress: called when a part of a message has come.
      sent_bytes: bytes written by kind of message, over all connections.
    """

    def __init__(
        self,
        on_message: Callable[["FrameConnection", peer_messages.Message], None],
        on_closed: Callable[["FrameConnection"], None],
        sent_bytes: dict[str, int],
        on_progress: Callable[[], None] = lambda: None,
    ):
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
        """Takes the open connection."""
        self.transport = transport
        wire = transport.get_extra_info("socket")
        if wire is not None:
            wire.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.closed = True
        self.on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Takes what came."""
        self.buffer += data
        while len(self.buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if size > FRAME_MAX:
                self.reject(f"a frame of {size} bytes")
                return
            end = LENGTH_BYTES + size
            if len(self.buffer) < end:
                self.on_progress()
                return
            frame = bytes(self.buffer[LENGTH_BYTES:end])
            del self.buffer[:end]
            try:
                message = _decode(frame)
            except (
                msgspec.DecodeError,
                UnicodeDecodeError,
                zlib.error,
            ) as error:
                self.reject(str(error))
                return
            self.on_message(self, message)

    def reject(self, reason: str) -> None:
        """Ends the connection of what is no node of this version."""
        self.reject_reason = reason
        self.abort()

    def send(self, message: peer_messages.Message) -> bool:
        """Sends a message; False if the connection has ended."""
        if self.closed or self.transport is None:
            return False
        data = _ENCODER.encode(message)
        kind = message.metric_kind
        if len(data) > PACKED_BYTES and isinstance(message, PACKED_KINDS):
            packed = zlib.compress(data, COMPRESSION_LEVEL)
            data = _ENCODER.encode(peer_messages.Packed(packed))
        size = LENGTH_BYTES + len(data)
        self.sent_bytes[kind] = self.sent_bytes.get(kind, 0) + size
        self.transport.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
        return True

    def has_unsent(self) -> bool:
        """Whether a part of a message is still in this process."""
        if self.closed or self.transport is None:
            return False
        return self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()


def _decode(frame: bytes) -> peer_messages.Message:
    """Decodes a message, also a packed one.

    Raises:
      msgspec.DecodeError, UnicodeDecodeError, zlib.error: it is none.
    """
    message = _DECODER.decode(frame)
    if not isinstance(message, peer_messages.Packed):
        return message
    reader = zlib.decompressobj()
    data = reader.decompress(message.data, FRAME_MAX)
    if not reader.eof:
        raise zlib.error(f"longer than {FRAME_MAX} bytes, or cut short")
    message = _DECODER.decode(data)
    if isinstance(message, peer_messages.Packed):
        raise msgspec.DecodeError("packed twice")
    return message
