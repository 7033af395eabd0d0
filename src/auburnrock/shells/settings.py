"""The daemon's settings: one JSON file, read once and checked as a whole."""

import ipaddress
import pathlib

import msgspec

LARGEST_PORT = 65_535


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
      platform: host:port of the platform's key-value service.
      statsd: host:port of the metrics' collector; empty for none.
      largest_body_bytes: longest request body that is accepted.
      drain_limit_ms: how long a planned stop waits for requests in progress.
      clock_margin_ms: how far callers' clocks may be off, for the birth time
        of idempotency keys.
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


def load(path: str) -> DaemonSettings:
    """Reads and checks a settings file; raises SettingsError."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(
            f"{path}: cannot be read ({error.strerror}); name a readable file"
        ) from error
    try:
        settings = msgspec.json.decode(data, type=DaemonSettings)
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    for problem in problems(settings):
        raise SettingsError(f"{path}: {problem}")
    return settings


def problems(settings: DaemonSettings) -> list[str]:
    """What is wrong with the values, one text for each field."""
    found = []
    for field in ("name", "region", "zone"):
        value = getattr(settings, field)
        if not value or "/" in value:
            found.append(
                f"field {field}: got {value!r}, expected a name without '/'"
            )
    found += _address_problems(settings.address)
    for field in ("http_port", "peer_port", "control_port"):
        found += _port_problems(field, getattr(settings, field))
    found += _endpoint_problems("platform", settings.platform)
    if settings.statsd:
        found += _endpoint_problems("statsd", settings.statsd)
    for field in ("largest_body_bytes", "drain_limit_ms"):
        value = getattr(settings, field)
        if value <= 0:
            found.append(f"field {field}: got {value}, expected more than 0")
    if settings.clock_margin_ms < 0:
        found.append(
            f"field clock_margin_ms: got {settings.clock_margin_ms},"
            " expected 0 or more"
        )
    return found


def _address_problems(address: str) -> list[str]:
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return [f"field address: got {address!r}, expected an IP number"]
    return []


def _port_problems(field: str, port: int) -> list[str]:
    if 0 < port <= LARGEST_PORT:
        return []
    return [f"field {field}: got {port}, expected 1 to {LARGEST_PORT}"]


def _endpoint_problems(field: str, endpoint: str) -> list[str]:
    host, _, port = endpoint.rpartition(":")
    if host and port.isdecimal() and 0 < int(port) <= LARGEST_PORT:
        return []
    return [f"field {field}: got {endpoint!r}, expected HOST:PORT"]
