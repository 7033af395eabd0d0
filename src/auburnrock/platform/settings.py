"""Decoding of a node's settings file."""

import msgspec

from auburnrock.engine.mesh import model
from auburnrock.platform import codec

PEER_PORT_OFFSET = 0
"""Index in `internal_port_range` of the port for connections between nodes.
The other ports of the range are not used."""

METRICS_PORT = 9464
"""Port of the metrics endpoint, which the settings file does not name. It must
equal `metrics` in deploy/system.toml."""


class _HostLimits(msgspec.Struct):
    # Decoded as float, so that 4.0 in place of 4 does not keep nodes from
    # starting.
    memory_mb: float
    link_mbps: float | None = None
    max_fds: float | None = None


class _SelfNode(msgspec.Struct):
    # Name of the host; the node has no name of its own.
    node_id: str
    ip: str
    zone: str
    limits: _HostLimits
    # Address at which the target on this host accepts requests.
    app_address: str
    service: str
    # Whether the whole system is starting for the first time.
    bootstrap: bool = False


class _Listen(msgspec.Struct):
    # Address for callers on this host, including the target itself.
    outbound: str
    # Address of the readiness check of the node, not of the target.
    ready: str
    # Address for the target's heartbeats.
    control: str


class _Network(msgspec.Struct):
    listen: _Listen
    internal_port_range: tuple[float, float]
    zones: dict[str, str]


class _Store(msgspec.Struct):
    address: str


class _Platform(msgspec.Struct):
    # Usual interval between a target's heartbeats, not a limit.
    heartbeat: str
    platform: _Store


class _Bounds(msgspec.Struct):
    # A bound of a contract that is not in force may be missing. The defaults
    # are the strictest bounds of the deployments: no retries without a budget.
    drain: str = "2000ms"
    grace: str = "6s"
    config_apply: str = "2000ms"
    hold_max: str = "10000ms"
    retry_budget_ratio: float = 0.0
    retry_extra: float = msgspec.field(name="budget_extra_tries", default=0.0)
    budget_window: str = "10s"
    cold_over: float = 1.0
    cold_slack: float = 0.0
    evacuate: str = "5000ms"


# The contract of deployments whose callers compete for too little room.
_PRESSURE = "pressure"


class _Terms(msgspec.Struct):
    bounds: _Bounds
    contracts: list[str] = []


class _Settings(msgspec.Struct):
    self_node: _SelfNode
    network: _Network
    platform: _Platform
    terms: _Terms


def decode(data: bytes) -> model.Settings:
    """Decodes the settings file.

    Raises:
      PlatformDecodeError: the data is no valid settings file.
    """
    wire = codec.decode_file(_Settings, data)
    own = wire.self_node
    bounds = wire.terms.bounds
    first_port = int(wire.network.internal_port_range[0])
    return model.Settings(
        host=own.node_id,
        ip=own.ip,
        zone=own.zone,
        zones=wire.network.zones,
        service=own.service,
        target_address=own.app_address,
        caller_address=wire.network.listen.outbound,
        ready_address=wire.network.listen.ready,
        control_address=wire.network.listen.control,
        peer_address=f"{own.ip}:{first_port + PEER_PORT_OFFSET}",
        metrics_address=f"{own.ip}:{METRICS_PORT}",
        store_address=wire.platform.platform.address,
        heartbeat_ms=codec.parse_duration_ms(wire.platform.heartbeat),
        memory_bytes=int(own.limits.memory_mb * (1 << 20)),
        link_mbps=own.limits.link_mbps or 0.0,
        bounds=model.Bounds(
            drain_ms=codec.parse_duration_ms(bounds.drain),
            grace_ms=codec.parse_duration_ms(bounds.grace),
            apply_ms=codec.parse_duration_ms(bounds.config_apply),
            hold_max_ms=codec.parse_duration_ms(bounds.hold_max),
            retry_ratio=bounds.retry_budget_ratio,
            retry_extra=bounds.retry_extra,
            retry_window_ms=codec.parse_duration_ms(bounds.budget_window),
            cold_over=bounds.cold_over,
            cold_extra=bounds.cold_slack,
            evacuate_ms=codec.parse_duration_ms(bounds.evacuate),
        ),
        is_bootstrap=own.bootstrap,
        reserves_slots=_PRESSURE in wire.terms.contracts,
        descriptors_max=int(own.limits.max_fds or 0),
    )
