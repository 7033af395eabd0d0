"""A minimal HTTP/1.1 codec over asyncio streams, for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable


class Message:
    """A request or response that was read completely.

    Attributes:
      start: words of the start line.
      headers: header values by name in lower case; the last one counts.
      body: the body.
    """

    __slots__ = ("body", "headers", "start")

    def __init__(self, start: list[str], headers: dict[str, str], body: bytes):
        self.start = start
        self.headers = headers
        self.body = body

    def status(self) -> int:
        """Returns the status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message that is framed by its length.

    Raises:
      asyncio.IncompleteReadError, ConnectionError: the connection has ended.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0].split(" ", 2), headers, body)


def encode_response(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Encodes a response that is framed by its length."""
    lines = [f"HTTP/1.1 {status} S"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encodes a request; one with a body is framed by its length."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message:
    """Sends one request on a connection of its own; returns the response.

    Raises:
      OSError, asyncio.IncompleteReadError, TimeoutError: no response.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode_request(method, path, headers, body))
            return await read_message(reader)
        finally:
            writer.transport.abort()


async def serve(
    address: str,
    handler: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
) -> asyncio.Server:
    """Listens at an address; a handler serves each connection to its end."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await handler(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(run, host, int(port), backlog=512)
