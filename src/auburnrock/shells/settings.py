"""The daemon's settings: one JSON file, read once and checked as a whole."""

import ipaddress
import pathlib
import re

import msgspec

from auburnrock import strict_json

LARGEST_PORT = 65_535
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
RANGES: dict[str, tuple[int, int]] = {
    "http_port": (1, LARGEST_PORT),
    "peer_port": (1, LARGEST_PORT),
    "control_port": (1, LARGEST_PORT),
    "advertised_peer_port": (0, LARGEST_PORT),
    "largest_body_bytes": (1, 15_000_000),
    "drain_limit_ms": (1, 600_000),
    "clock_margin_ms": (0, 60_000),
    "rebalance_interval_ms": (200, 600_000),
    "rebalance_after_ms": (0, 600_000),
}
"""Smallest and largest value of each number; a body must fit in a frame."""


class SettingsError(Exception):
    """Settings that are not accepted; says file, field, got and accepted."""


class DaemonSettings(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True
):
    """Settings of one daemon.

    Attributes:
      name: stable name of this host's daemon, unique in the deployment.
      region: region of the host.
      zone: availability zone of the host.
      address: IP number that the other nodes and callers reach it by.
      http_port: port for callers and for the target beside it.
      peer_port: port for the other nodes, UDP and TCP.
      control_port: port for the operators' tool.
      advertised_peer_port: where the other nodes find `peer_port`, if
        something forwards to it; 0 for `peer_port` itself.
      platform: host:port of the platform's key-value service.
      statsd: host:port of the metrics' collector; empty for none.
      largest_body_bytes: longest request body that is accepted.
      drain_limit_ms: how long a planned stop waits for requests in progress.
      clock_margin_ms: how far callers' clocks may be off, for the birth time
        of idempotency keys.
      rebalance_interval_ms: time between two load reports, and between two
        decisions on planned moves.
      rebalance_after_ms: how long after its start this node leaves shards
        where they are; as it does not know what moved before, less than the
        minute of `churn_per_minute` lets a restart give a second budget.
    """

    name: str
    region: str
    zone: str
    address: str
    http_port: int
    peer_port: int
    control_port: int
    platform: str
    statsd: str = ""
    largest_body_bytes: int = 1_000_000
    drain_limit_ms: int = 10_000
    clock_margin_ms: int = 500
    advertised_peer_port: int = 0
    rebalance_interval_ms: int = 10_000
    rebalance_after_ms: int = 60_000


def load(path: str) -> DaemonSettings:
    """Reads and checks a settings file; raises SettingsError."""
    try:
        data = pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        raise SettingsError(
            f"{path}: cannot be read ({error}); name a readable file"
        ) from error
    try:
        settings = strict_json.decode(data, DaemonSettings)
    except strict_json.FieldError as error:
        raise SettingsError(f"{path}: {error}") from error
    found = problems(settings)
    if found:
        raise SettingsError(f"{path}: " + "; ".join(map(str, found)))
    return settings


def problems(settings: DaemonSettings) -> list[strict_json.FieldError]:
    """What is wrong with the values, one error for each field."""
    found = []
    for field in ("name", "region", "zone"):
        value = getattr(settings, field)
        if not NAME.fullmatch(value):
            accepted = "1 to 64 letters, digits, dots, - and _"
            found.append(strict_json.FieldError(field, repr(value), accepted))
    if not _is_ip_number(settings.address):
        got = repr(settings.address)
        found.append(strict_json.FieldError("address", got, "an IP number"))
    for field, (least, most) in RANGES.items():
        value = getattr(settings, field)
        if not least <= value <= most:
            accepted = f"an integer from {least} to {most}"
            found.append(strict_json.FieldError(field, str(value), accepted))
    found += _port_clashes(settings)
    for field in ("platform", "statsd"):
        value = getattr(settings, field)
        is_absent = field == "statsd" and not value
        if not is_absent and not is_endpoint(value):
            found.append(
                strict_json.FieldError(field, repr(value), "HOST:PORT")
            )
    return found


def is_endpoint(text: str) -> bool:
    """Whether a text is HOST:PORT."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    return bool(host) and is_number and 0 < int(port) <= LARGEST_PORT


def _is_ip_number(address: str) -> bool:
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return True


def _port_clashes(
    settings: DaemonSettings,
) -> list[strict_json.FieldError]:
    ports = (settings.http_port, settings.peer_port, settings.control_port)
    if len(set(ports)) == len(ports):
        return []
    got = ", ".join(map(str, ports))
    field = "http_port, peer_port, control_port"
    return [strict_json.FieldError(field, got, "three different ports")]
