"""Encodings that several of the platform's messages share.

Bodies are MessagePack, as `deploy/wire.toml` configures: a grant takes half of
the bytes that it takes in JSON, and the size of a reply is limited.
"""

from collections.abc import Callable

import msgspec

from auburnrock.shells.mesh import wire_protocol

BODY_HEADERS = [(b"content-type", b"application/msgpack")]


class PlatformDecodeError(wire_protocol.DecodeError):
    """A message of the platform cannot be decoded."""


def parse_duration_ms(text: object) -> float:
    """Parses a duration such as `1500ms` or `2.5s`.

    Raises:
      PlatformDecodeError: the text is not a duration.
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
    """Formats a duration, cut to whole milliseconds."""
    return f"{int(time_ms)}ms"


def decode(kind: type, data: bytes) -> object:
    """Decodes the MessagePack body of a message strictly.

    Raises:
      PlatformDecodeError: fields are missing or have other types.
    """
    return _decode_with(msgspec.msgpack.decode, kind, data)


def decode_file(kind: type, data: bytes) -> object:
    """Decodes the settings file, which is JSON, strictly.

    Raises:
      PlatformDecodeError: fields are missing or have other types.
    """
    return _decode_with(msgspec.json.decode, kind, data)


def encode(message: object) -> bytes:
    """Encodes the MessagePack body of a message."""
    return msgspec.msgpack.encode(message)


def _decode_with(decoder: Callable, kind: type, data: bytes) -> object:
    try:
        return decoder(data, type=kind)
    except wire_protocol.DECODER_ERRORS as error:
        raise PlatformDecodeError(str(error)) from error
