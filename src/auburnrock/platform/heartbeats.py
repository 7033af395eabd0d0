"""Heartbeats of targets, and the grants in their replies."""

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
    # Counts the heartbeats of one start; a lower one came late.
    seq_num: int
    # How much longer it stays slow after its start.
    cold_remaining: str = "0ms"


class _Beat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Unix milliseconds of the target's start, not of the host's.
    born: int = 0
    # Rows of first key, last key and fencing token; also those that it only
    # still works on.
    holds: list[tuple[int, int, int]] = []
    # Rows of first key, last key and handover.
    freed: list[tuple[int, int, str]] = []


class _Reply(msgspec.Struct, omit_defaults=True):
    # Everything that the target is to hold; it lets go of the rest.
    holds: list[tuple[int, int, int, str]] | None = None
    # Counted from the sending of the heartbeat.
    hold_time: str | None = None


def decode(target: str, data: bytes) -> model.Heartbeat:
    """Decodes a heartbeat.

    Raises:
      FormError: it cannot be read, or says what this page does not know.
    """
    wire = codec.decode(_Beat, data)
    try:
        state = model.TargetState(wire.status.state)
    except ValueError as error:
        raise codec.PlatformDecodeError(str(error)) from error
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
        slots=max(1, wire.info.slots),
        state=state,
        sequence=wire.status.seq_num,
        cold_ms=codec.parse_duration_ms(wire.status.cold_remaining),
        held_ranges=[model.HeldRange(*row) for row in wire.holds],
        freed_ranges=[model.FreedRange(*row) for row in wire.freed],
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
