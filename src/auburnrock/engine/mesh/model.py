"""Types that the decisions of a mesh node share.

Times are milliseconds of the boot-time clock unless a name says otherwise.
"""

import enum

import msgspec

KEYS = 65_536
"""Number of keys of a service that is divided by key."""

NO_KEY = -1


class TargetState(enum.Enum):
    """What a target says about taking new work."""

    READY = "ready"
    DRAINING = "draining"


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One start of one target, and the node beside it.

    Attributes:
      node: name of the node.
      target: name of the target.
      started_ms: Unix time of the target's start.
    """

    node: str
    target: str
    started_ms: int


class HeldRange(msgspec.Struct, frozen=True):
    """Keys that a target holds or is to hold.

    Attributes:
      first: lowest key.
      last: highest key.
      fence: fencing token of the grant.
      handover: what the last holder gave for them; empty if unknown.
    """

    first: int
    last: int
    fence: int
    handover: str = ""


class FreedRange(msgspec.Struct, frozen=True):
    """Keys that a target has let go.

    Attributes:
      first: lowest key.
      last: highest key.
      handover: passes what it knows of the keys to their next holder.
    """

    first: int
    last: int
    handover: str


class Heartbeat(msgspec.Struct, frozen=True):
    """What a target says of itself.

    Attributes:
      target: its name.
      started_ms: Unix time of its start.
      service: the service that it belongs to.
      address: where it takes requests.
      zone: its availability zone.
      version: version of its software.
      slots: how many requests it runs at once.
      state: whether it takes new work.
      sequence: grows with each heartbeat of this start.
      cold_ms: how much longer it is slow after its start.
      held_ranges: keys that it holds or works on; None where it names none.
      freed_ranges: keys that it has let go since the last acknowledged
        heartbeat.
    """

    target: str
    started_ms: int
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: TargetState
    sequence: int
    cold_ms: float
    held_ranges: list[HeldRange]
    freed_ranges: list[FreedRange]


class HeartbeatReply(msgspec.Struct, frozen=True):
    """What a node answers to a heartbeat.

    Attributes:
      granted_ranges: everything that the target is to hold; None renews
        nothing.
      hold_ms: for how long, counted from the sending of the heartbeat.
    """

    granted_ranges: list[HeldRange] | None = None
    hold_ms: int = 0


class Limits(msgspec.Struct, frozen=True):
    """What a caller may send and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class WeightedService(msgspec.Struct, frozen=True):
    """A service's share of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests under a prefix of a host go, and how.

    Attributes:
      name: name in the configuration.
      prefix: beginning of the paths.
      idempotent: whether a request may run more than once.
      objective_ms: time within which an answer is worth most.
      priority: priority; 0 is the highest.
      parts: services that share the requests.
      timeout_ms: longest time a caller is kept waiting.
      targets_max: how many targets one attempt may be sent to.
    """

    name: str
    prefix: bytes
    idempotent: bool
    objective_ms: float
    priority: int
    parts: list[WeightedService]
    timeout_ms: float
    targets_max: int


class Service(msgspec.Struct, frozen=True):
    """What the configuration says of a service.

    Attributes:
      name: its name.
      connections_max: connections that one target takes in all.
      keyed: whether it is divided by key.
    """

    name: str
    connections_max: int
    keyed: bool


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
      version: grows with each change.
      limits: bounds for callers.
      routes_by_host: routes of each host, longest prefix first.
      services: by name.
    """

    version: int
    limits: Limits
    routes_by_host: dict[bytes, list[Route]]
    services: dict[str, Service]


SLOW_LINK_MBPS = 20.0
"""Below this, what many nodes ask of one or are told by one fills its link:
60 KB for 80 nodes take 2 s at 20 Mbit/s."""


class MemberState(enum.IntEnum):
    """State of a node's record in the store."""

    ACTIVE = 0
    SEALING = 1


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A node's record in the store.

    Attributes:
      name: IP address of its host, which no two hosts share at one time.
      host: name of its host, for people.
      address: where its peers reach it.
      zone: its availability zone.
      service: service of its target.
      state: whether its keys are being taken from it.
      witnesses: names of the nodes that renew its lease.
      link_mbps: speed of its host's link; 0 if unknown.
    """

    name: str
    host: str
    address: str
    zone: str
    service: str
    state: int = MemberState.ACTIVE
    witnesses: tuple[str, ...] = ()
    link_mbps: float = 0.0

    def has_slow_link(self) -> bool:
        """Whether others should serve the whole fleet rather than this one."""
        return 0.0 < self.link_mbps < SLOW_LINK_MBPS


class Bounds(msgspec.Struct, frozen=True):
    """Times and rates that the deployment promises its users.

    Attributes:
      drain_ms: a leaving target gets no request later than this.
      grace_ms: from a request to stop until the process is killed.
      apply_ms: time for a configuration to be in force.
      hold_max_ms: longest time a target may hold keys without a renewal.
      retry_ratio: repeats allowed for each request.
      retry_extra: repeats allowed besides, over all nodes.
      retry_window_ms: span in which repeats are counted.
    """

    drain_ms: float
    grace_ms: float
    apply_ms: float
    hold_max_ms: float
    retry_ratio: float
    retry_extra: float
    retry_window_ms: float


class Settings(msgspec.Struct, frozen=True):
    """What a node learns at its start.

    Attributes:
      host: name of this host.
      ip: its IP address.
      zone: its availability zone.
      zones: region of each availability zone.
      service: service of the target beside it.
      target_address: where that target takes requests.
      caller_address: where callers on this host send requests.
      ready_address: where the platform asks whether this node is ready.
      control_address: where the target sends its heartbeats.
      peer_address: where other nodes reach this one.
      metrics_address: where metrics are served.
      store_address: the platform's store.
      heartbeat_ms: usual time between heartbeats.
      memory_bytes: memory that this process may use.
      link_mbps: speed of this host's link; 0 if unknown.
      bounds: promises of the deployment.
      is_bootstrap: whether the whole system starts for the first time, so
        that no target holds keys of an earlier one.
    """

    host: str
    ip: str
    zone: str
    zones: dict[str, str]
    service: str
    target_address: str
    caller_address: str
    ready_address: str
    control_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    heartbeat_ms: float
    memory_bytes: int
    link_mbps: float
    bounds: Bounds
    is_bootstrap: bool = False


class RequestHead(msgspec.Struct, frozen=True):
    """What a caller's request says besides its method, path and body.

    Attributes:
      attempt: the caller's id of the attempt.
      host: host that it asks for, in lower case and without a port.
      caller_timeout_ms: how long the caller waits; None if it does not say.
      key: its key, NO_KEY if it names none, or BAD_KEY.
      headers: those to pass on to the target.
    """

    attempt: str
    host: bytes
    caller_timeout_ms: float | None
    key: int
    headers: list[tuple[bytes, bytes]]


INVALID_KEY = -2
"""Stands for a key that cannot be read."""


class TargetVerdict(enum.Enum):
    """What a target's answer to a request is worth.

    ANSWER: the target's own whole answer, good or bad.
    NOT_RUN: the target says that it did not run the request.
    OTHER_TARGET: another target has the address; it did not run it either.
    UNUSABLE: no answer of this target's, though something may have run.
    """

    ANSWER = enum.auto()
    NOT_RUN = enum.auto()
    OTHER_TARGET = enum.auto()
    UNUSABLE = enum.auto()
