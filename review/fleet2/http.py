"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses

HEAD_MAX_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
      first: first line, split at spaces.
      headers: headers, with names in lower case.
      body: complete body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes

    def status(self) -> int:
        """Returns the status of a response."""
        return int(self.first[1])


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message; None at the regular end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if "transfer-encoding" in headers:
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0].split(" "), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            break
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message that is framed by its length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> None:
    """Writes a response."""
    writer.write(encode(f"HTTP/1.1 {status} S", headers or {}, body))


class Server:
    """A server that passes each request to a handler, one at a time.

    The handler returns whether the connection stays open.
    """

    def __init__(self, handler: Handler):
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts to accept connections."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=HEAD_MAX_BYTES, backlog=512
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if not await self.handler(request, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stops at once, as the end of the process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(
    address: str, data: bytes, timeout_s: float
) -> tuple[Message | None, str]:
    """Sends a request on a new connection.

    Returns:
      The response, or None and why there is none.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=HEAD_MAX_BYTES
            )
            writer.write(data)
            response = await read_message(reader)
            return response, "" if response else "closed without an answer"
    except TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, f"broken: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.2):
                    await writer.wait_closed()
