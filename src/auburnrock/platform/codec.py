"""Forms that several of the platform's messages share.

Bodies are MessagePack, as `deploy/wire.toml` asks for: a grant takes half of
the bytes that it takes in JSON, and a reply has room for only so many.
"""

from collections.abc import Callable

import msgspec

from auburnrock.shells.mesh import wire_protocol

BODY_HEADERS = [(b"content-type", b"application/msgpack")]


class PlatformDecodeError(wire_protocol.DecodeError):
    """A message of the platform that cannot be read."""


def parse_duration_ms(text: object) -> float:
    """Decodes a duration such as `1500ms` or `2.5s`.

    Raises:
      FormError: it is no duration.
    """
    if isinstance(text, str):
        for unit, factor in (("ms", 1.0), ("s", 1_000.0)):
            number = text.removesuffix(unit)
            if number != text:
                try:
                    value = float(number) * factor
                except ValueError:
                    break
                if 0.0 <= value < 1e12:
                    return value
                break
    raise PlatformDecodeError(
        f"expected a duration such as 1500ms or 2s, got {text!r}"
    )


def format_duration_ms(time_ms: float) -> str:
    """Encodes a duration in whole milliseconds."""
    return f"{int(time_ms)}ms"


def decode(kind: type, data: bytes) -> object:
    """Decodes a body strictly.

    Raises:
      FormError: fields are missing or have other types.
    """
    return _decoded(msgspec.msgpack.decode, kind, data)


def decode_file(kind: type, data: bytes) -> object:
    """Decodes the settings file, which is JSON, strictly.

    Raises:
      FormError: fields are missing or have other types.
    """
    return _decoded(msgspec.json.decode, kind, data)


def encode(message: object) -> bytes:
    """Encodes a body."""
    return msgspec.msgpack.encode(message)


def _decoded(decoder: Callable, kind: type, data: bytes) -> object:
    try:
        return decoder(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformDecodeError(str(error)) from error
