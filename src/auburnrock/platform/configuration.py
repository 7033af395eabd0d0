"""Decoding of the operator's configuration."""

import types
import typing

import msgspec

from auburnrock.engine.mesh import model
from auburnrock.platform import codec

# Has a long response, and may be executed more than once.
_DOWNLOAD = "download"
_IDEMPOTENT_KINDS = frozenset({"idempotent", _DOWNLOAD})
_KINDS = _IDEMPOTENT_KINDS | {"non_idempotent"}

# First bytes of a map in MessagePack.
_MAP_BYTES = frozenset(
    bytes([first]) for first in (*range(0x80, 0x90), 0xDE, 0xDF)
)


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Weighted(msgspec.Struct):
    service: str
    weight: float


class _Action(msgspec.Struct):
    timeout: str
    # Number of different targets that one attempt may be sent to, not of tries.
    max_attempts: int
    service: str | None = None
    weighted_services: list[_Weighted] | None = None


class _Match(msgspec.Struct):
    path_prefix: str


class _Rule(msgspec.Struct):
    name: str
    # One of _IDEMPOTENT_KINDS if a request may be executed more than once.
    route_kind: str
    # Latency objective: later responses are worth less. It is not a timeout.
    target_latency: str
    priority: int
    match: _Match
    action: _Action


class _Listener(msgspec.Struct):
    # Value of the Host header, not the name of a machine.
    host: str
    rule_set: list[_Rule]


class _Cluster(msgspec.Struct):
    name: str
    # Limit at one target, for all callers together.
    max_connections: int
    sharded: bool = False
    # Requests per second that one target tolerates while it is cold.
    cold_per_s: float = 0.0
    # Path at which a target reports its health and its id.
    health_path: str = ""


class _Configuration(msgspec.Struct):
    version: int
    limits: _Limits
    listeners: list[_Listener]
    clusters: list[_Cluster]


def decode(data: bytes) -> model.Configuration:
    """Decodes a configuration.

    Raises:
      PlatformDecodeError: the data is no valid configuration.
    """
    wire = codec.decode(_Configuration, data)
    hosts: dict[bytes, list[model.Route]] = {}
    for listener in wire.listeners:
        routes = hosts.setdefault(listener.host.encode().lower(), [])
        routes.extend(_route(rule) for rule in listener.rule_set)
    for routes in hosts.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    services = {cluster.name: _service(cluster) for cluster in wire.clusters}
    return model.Configuration(
        wire.version, _limits(wire.limits), hosts, services
    )


def decode_entries(data: bytes) -> model.ConfigurationEntries:
    """Decodes the entries of a configuration in the order of the file.

    It accepts what `decode` rejects for its meaning: routes without a service,
    or without one whose weight is above 0.

    Raises:
      PlatformDecodeError: fields are missing, or have other types or invalid
        durations.
    """
    wire = codec.decode(_Configuration, data)
    routes = []
    for listener in wire.listeners:
        for rule in listener.rule_set:
            try:
                route = _route_with(rule, _parts(rule.action))
            except codec.PlatformDecodeError as error:
                raise codec.PlatformDecodeError(
                    f"host {listener.host}, prefix {rule.match.path_prefix}"
                    f" ({rule.name}): {error}"
                ) from error
            is_known = rule.route_kind in _KINDS
            routes.append(
                model.RouteEntry(
                    listener.host, route, rule.route_kind, is_known
                )
            )
    try:
        limits = _limits(wire.limits)
    except codec.PlatformDecodeError as error:
        raise codec.PlatformDecodeError(f"limits: {error}") from error
    return model.ConfigurationEntries(
        wire.version,
        limits,
        [listener.host for listener in wire.listeners],
        routes,
        [_service(cluster) for cluster in wire.clusters],
    )


def pack_file(data: bytes) -> bytes:
    """Returns the value of the operator's key for the content of a file.

    Args:
      data: the configuration as JSON, or the value itself, as MessagePack.

    Raises:
      PlatformDecodeError: the data is neither JSON nor a MessagePack map.
    """
    # Some editors write a byte order mark before the text.
    text = data.removeprefix(b"\xef\xbb\xbf")
    if text.lstrip()[:1] in (b"{", b"["):
        return codec.encode(codec.decode_file(object, text))
    if data[:1] not in _MAP_BYTES:
        raise codec.PlatformDecodeError(
            f"expected a JSON object or a MessagePack map, got {data[:16]!r}"
        )
    return data


def ignored_fields(data: bytes) -> list[model.IgnoredField]:
    """Returns the fields that nodes do not use, in the order of the file.

    Raises:
      PlatformDecodeError: the data is no valid message.
    """
    return _ignored_fields(_Configuration, codec.decode(object, data), "")


def _ignored_fields(
    kind: object, value: object, place: str
) -> list[model.IgnoredField]:
    found: list[model.IgnoredField] = []
    arguments = typing.get_args(kind)
    if isinstance(kind, types.UnionType):
        for each in arguments:
            found += _ignored_fields(each, value, place)
    elif typing.get_origin(kind) is list and isinstance(value, list):
        for number, item in enumerate(value):
            found += _ignored_fields(arguments[0], item, f"{place}[{number}]")
    elif isinstance(value, dict) and _is_struct(kind):
        fields = {each.name: each for each in msgspec.structs.fields(kind)}
        missing = [
            name
            for name, each in fields.items()
            if not each.required and name not in value
        ]
        for name, part in value.items():
            part_place = f"{place}.{name}" if place else str(name)
            if name in fields:
                found += _ignored_fields(fields[name].type, part, part_place)
            else:
                found.append(model.IgnoredField(part_place, str(name), missing))
    return found


def _is_struct(kind: object) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _limits(limits: _Limits) -> model.Limits:
    return model.Limits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_ms=codec.parse_duration_ms(limits.header_timeout),
        idle_timeout_ms=codec.parse_duration_ms(limits.idle_timeout),
    )


def _service(cluster: _Cluster) -> model.Service:
    return model.Service(
        cluster.name,
        cluster.max_connections,
        cluster.sharded,
        cluster.cold_per_s,
        cluster.health_path,
    )


def _parts(action: _Action) -> list[model.WeightedService]:
    """Returns the services of a route, also those whose weight is 0."""
    if action.weighted_services:
        return [
            model.WeightedService(part.service, part.weight)
            for part in action.weighted_services
        ]
    if action.service is not None:
        return [model.WeightedService(action.service, 1.0)]
    return []


def _route(rule: _Rule) -> model.Route:
    listed = _parts(rule.action)
    if not listed:
        raise codec.PlatformDecodeError(f"route {rule.name} names no service")
    parts = [part for part in listed if part.weight > 0]
    if not parts:
        raise codec.PlatformDecodeError(
            f"route {rule.name} has no part with a weight"
        )
    return _route_with(rule, parts)


def _route_with(rule: _Rule, parts: list[model.WeightedService]) -> model.Route:
    action = rule.action
    return model.Route(
        name=rule.name,
        prefix=rule.match.path_prefix.encode(),
        idempotent=rule.route_kind in _IDEMPOTENT_KINDS,
        objective_ms=codec.parse_duration_ms(rule.target_latency),
        priority=rule.priority,
        parts=parts,
        timeout_ms=codec.parse_duration_ms(action.timeout),
        targets_max=action.max_attempts,
        is_download=rule.route_kind == _DOWNLOAD,
    )
