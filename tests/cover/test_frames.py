import asyncio

import pytest

from auburnrock import messages
from auburnrock.shells import frames

ADDRESS = "127.0.0.1"


class RecordingHandler(frames.FrameHandler):
    def __init__(self):
        self.received = []
        self.garbage = []

    def on_frame(self, connection, frame):
        self.received.append(frame)
        if isinstance(frame, messages.Pull):
            connection.send(messages.Delta(frame.stream, 0, 7, []))

    def on_garbage(self, reason):
        self.garbage.append(reason)


async def serve(handler):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: frames.FrameConnection(handler), ADDRESS, 0
    )
    return server, server.sockets[0].getsockname()[1]


async def test_an_exchange_gets_its_own_answer():
    server, port = await serve(RecordingHandler())
    peers = frames.PeerConnections(RecordingHandler())
    answers = await asyncio.gather(
        *(
            peers.exchange(ADDRESS, port, messages.Pull(0, n), 1.0)
            for n in range(20)
        )
    )
    assert sorted(answer.stream for answer in answers) == list(range(1, 21))
    peers.close()
    server.close()


async def test_garbage_ends_only_its_connection():
    handler = RecordingHandler()
    server, port = await serve(handler)
    _, writer = await asyncio.open_connection(ADDRESS, port)
    writer.write(b"\x00\x00\x00\x03abc")
    await writer.drain()
    peers = frames.PeerConnections(RecordingHandler())
    answer = await peers.exchange(ADDRESS, port, messages.Pull(0, 1), 1.0)
    assert isinstance(answer, messages.Delta)
    assert handler.garbage
    peers.close()
    writer.close()
    server.close()


async def test_a_frame_longer_than_allowed_is_garbage():
    handler = RecordingHandler()
    server, port = await serve(handler)
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    writer.write(frames.LENGTH.pack(frames.LARGEST_FRAME_BYTES + 1))
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    assert "at most" in handler.garbage[0]
    writer.close()
    server.close()


async def test_a_refused_connection_sent_nothing():
    server, port = await serve(RecordingHandler())
    server.close()
    await server.wait_closed()
    peers = frames.PeerConnections(RecordingHandler())
    with pytest.raises(frames.PeerError) as caught:
        await peers.exchange(ADDRESS, port, messages.Pull(0, 1), 1.0)
    assert not caught.value.sent


async def test_an_idle_connection_is_not_silent():
    server, port = await serve(RecordingHandler())
    peers = frames.PeerConnections(RecordingHandler())
    await peers.exchange(ADDRESS, port, messages.Pull(0, 1), 1.0)
    (connection,) = peers.connections.values()
    connection.quiet_since_s -= 10 * frames.SILENT_AFTER_S
    connection.open_exchange()
    peers.check_silence()
    assert connection.usable()
    peers.close()
    server.close()


async def test_a_silent_connection_in_use_is_ended():
    server, port = await serve(RecordingHandler())
    peers = frames.PeerConnections(RecordingHandler())
    await peers.exchange(ADDRESS, port, messages.Pull(0, 1), 1.0)
    (connection,) = peers.connections.values()
    _, future = connection.open_exchange()
    connection.quiet_since_s -= 2 * frames.SILENT_AFTER_S
    peers.check_silence()
    with pytest.raises(frames.PeerError) as caught:
        await future
    assert caught.value.silent
    assert not connection.usable()
    server.close()
