"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio

import msgspec


class Message(msgspec.Struct):
    """A request or a response.

    Attributes:
      start: words of the first line.
      headers: values by name in lower case.
      body: the complete body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read(reader: asyncio.StreamReader) -> Message:
    """Reads one message whose body is framed by its length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size)
    return Message(lines[0].split(" ", 2), headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message, framed by its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: str,
    start: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Sends a request on a new connection; None without a response in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{start} HTTP/1.1", headers, body))
            return await read(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
