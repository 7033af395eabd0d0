"""Tests of the store client with slow responses."""

import asyncio
import contextlib

import pytest

from auburnrock.engine.mesh import coordination_store
from auburnrock.platform import codec
from auburnrock.platform import store_client as platform_store
from auburnrock.shells import clock

PART_S = 0.1


@contextlib.asynccontextmanager
async def _served(parts: int, stall_after: int | None = None):
    """Yields a client of a store that sends a listing in parts.

    Args:
      parts: number of parts.
      stall_after: index of the part before which the store stalls.
    """
    message = {"items": [], "store_revision": 7, "more_pages": False}
    body = codec.encode(message | {"padding": "x" * 4_000})

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        step = -(-len(body) // parts)
        with contextlib.suppress(ConnectionError):
            for number in range(parts):
                await asyncio.sleep(PART_S if number != stall_after else 30.0)
                writer.write(body[number * step : (number + 1) * step])
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    client = platform_store.StoreClient(f"{host}:{port}", now_ms=clock.exact_ms)
    try:
        yield client
    finally:
        client.close()
        server.close()


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 3 * PART_S)


async def test_a_listing_that_comes_slowly_is_read_to_its_end():
    """The timeout of a call restarts with each part of its response.

    On a saturated link, a restarted node of the grown Hint Delivery Mesh failed
    for seconds to read the configuration: its 260 KB took longer than the
    timeout of a call.
    """
    async with _served(parts=16) as client:
        listing = await client.list_all("op/")
    assert listing.revision == 7


async def test_a_listing_that_stalls_is_given_up():
    loop = asyncio.get_running_loop()
    async with _served(parts=8, stall_after=3) as client:
        began_s = loop.time()
        with pytest.raises(coordination_store.StoreUnavailableError):
            await client.list_all("op/")
        assert loop.time() - began_s < 10 * PART_S


async def test_a_listing_that_never_ends_is_given_up(monkeypatch):
    monkeypatch.setattr(platform_store, "CALL_MAX_S", 6 * PART_S, raising=False)
    loop = asyncio.get_running_loop()
    async with _served(parts=30) as client:
        began_s = loop.time()
        with pytest.raises(coordination_store.StoreUnavailableError):
            await client.list_all("op/")
        assert loop.time() - began_s < 9 * PART_S
