"""Recorded traces of callers' requests: one JSON object a line."""

import pathlib

import msgspec


class TracedRequest(msgspec.Struct, kw_only=True):
    """One request of a trace.

    Attributes:
      at_ms: when it is sent, from the beginning of the trace.
      service: name of the service.
      method: HTTP method.
      path: path below the service's name.
      key: the key; empty for a service not divided by key.
      body: body as text.
      at_most_once: whether it needs an idempotency key.
    """

    at_ms: int
    service: str
    method: str
    path: str
    key: str = ""
    body: str = ""
    at_most_once: bool = False


def read(path: pathlib.Path) -> list[TracedRequest]:
    """Reads a trace; raises msgspec.DecodeError on a malformed line."""
    decoder = msgspec.json.Decoder(TracedRequest)
    return decoder.decode_lines(path.read_bytes())


def write(path: pathlib.Path, requests: list[TracedRequest]) -> None:
    """Writes a trace."""
    path.write_bytes(msgspec.json.Encoder().encode_lines(requests))
