"""Decoding of targets' heartbeats and encoding of the replies with grants."""

import msgspec

from auburnrock.engine.mesh import model
from auburnrock.platform import codec


class _Info(msgspec.Struct):
    service: str
    version: str
    zone: str
    slots: int


class _Status(msgspec.Struct):
    state: str
    # Counts the heartbeats of one incarnation; a lower number arrived late.
    seq_num: int
    # Time until the target is no longer slow from its start.
    cold_remaining: str = "0ms"


class _Beat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Start of the target, not of the host, in Unix milliseconds.
    born: int = 0
    # Rows of first key, last key and fencing token. Includes ranges for which
    # the target only completes running requests.
    holds: list[tuple[int, int, int]] = []
    # Rows of first key, last key and handover.
    freed: list[tuple[int, int, str]] = []


class _Reply(msgspec.Struct, omit_defaults=True):
    # Rows of first key, last key, fencing token and handover: all ranges that
    # the target may hold. It releases any other.
    holds: list[tuple[int, int, int, str]] | None = None
    # Duration of the holds from the time at which the heartbeat was sent.
    hold_time: str | None = None


def decode(target: str, data: bytes) -> model.Heartbeat:
    """Decodes a heartbeat.

    Raises:
      PlatformDecodeError: the data is no valid heartbeat, its state is unknown,
        or its address, a number or a key range is out of range.
    """
    wire = codec.decode(_Beat, data)
    try:
        state = model.TargetState(wire.status.state)
    except ValueError as error:
        raise codec.PlatformDecodeError(str(error)) from error
    _check_numbers(wire)
    if not model.is_address(wire.address):
        raise codec.PlatformDecodeError(
            "expected a host and a port from 1 to 65535, got"
            f" {wire.address[:64]!r}"
        )
    rows = [*wire.holds, *wire.freed]
    if not all(0 <= row[0] <= row[1] < model.KEYS for row in rows):
        raise codec.PlatformDecodeError("a row has keys out of range")
    return model.Heartbeat(
        target=target,
        started_ms=wire.born,
        service=wire.info.service,
        address=wire.address,
        zone=wire.info.zone,
        version=wire.info.version,
        slots=wire.info.slots,
        state=state,
        sequence=wire.status.seq_num,
        cold_ms=codec.parse_duration_ms(wire.status.cold_remaining),
        held_ranges=[model.HeldRange(*row) for row in wire.holds],
        freed_ranges=[model.FreedRange(*row) for row in wire.freed],
    )


def _check_numbers(wire: _Beat) -> None:
    """Checks the numbers that are stored, compared or sent on.

    Raises:
      PlatformDecodeError: one is out of range.
    """
    numbers = [wire.born, wire.status.seq_num, *(row[2] for row in wire.holds)]
    if not all(0 <= number <= model.NUMBER_MAX for number in numbers):
        raise codec.PlatformDecodeError("a number is out of range")
    if not 0 < wire.info.slots <= model.SLOTS_MAX:
        raise codec.PlatformDecodeError(
            f"expected 1 to {model.SLOTS_MAX} slots, got {wire.info.slots}"
        )


def encode_reply(reply: model.HeartbeatReply) -> bytes:
    """Encodes the reply to a heartbeat."""
    if reply.granted_ranges is None:
        return codec.encode({})
    rows = [
        (row.first, row.last, row.fence, row.handover)
        for row in reply.granted_ranges
    ]
    return codec.encode(_Reply(rows, codec.format_duration_ms(reply.hold_ms)))
