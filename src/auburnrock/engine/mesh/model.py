"""Types shared by the modules that make the decisions of a mesh node.

Times are in milliseconds on the boot-time clock unless stated otherwise.
"""

import enum
import re

import msgspec

KEYS = 65_536
"""Number of keys of a service that is divided by key."""

NO_KEY = -1

NUMBER_MAX = 2**53
"""Upper bound of versions, fencing tokens, sequence numbers and times in
milliseconds: above any real one, and far below what MessagePack can encode."""

SLOTS_MAX = 1 << 20
"""Upper bound of the requests that a target runs at once."""


_ADDRESS = re.compile(r"[A-Za-z0-9-]{1,63}(\.[A-Za-z0-9-]{1,63})*:([0-9]{1,5})")


def is_address(text: str) -> bool:
    """Whether a text is a host and a port that can be connected to."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[2]) < 65_536


class TargetState(enum.Enum):
    """Whether a target accepts new work, as it reports."""

    READY = "ready"
    DRAINING = "draining"


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One start of a target beside a node.

    Attributes:
      node: name of the node.
      target: name of the target.
      started_ms: Unix time of the target's start, in milliseconds.
    """

    node: str
    target: str
    started_ms: int


class HeldRange(msgspec.Struct, frozen=True):
    """A range of keys that a target holds or is granted.

    Attributes:
      first: lowest key.
      last: highest key.
      fence: fencing token of the grant.
      handover: handover of the keys' previous holder; empty if unknown.
    """

    first: int
    last: int
    fence: int
    handover: str = ""


class FreedRange(msgspec.Struct, frozen=True):
    """A range of keys that a target has freed.

    Attributes:
      first: lowest key.
      last: highest key.
      handover: value that the target leaves for the keys' next holder.
    """

    first: int
    last: int
    handover: str


class Heartbeat(msgspec.Struct, frozen=True):
    """State that a target reports to the node beside it.

    Attributes:
      target: name of the target.
      started_ms: Unix time of the target's start, in milliseconds.
      service: service that the target belongs to.
      address: address at which the target accepts requests.
      zone: availability zone of the target.
      version: version of the target's software.
      slots: number of requests that the target runs at once.
      state: whether the target accepts new work.
      sequence: sequence number, which rises with each heartbeat of this start.
      cold_ms: time for which the target remains slow after its start.
      held_ranges: keys that the target holds or works on.
      freed_ranges: keys that the target has freed since the last acknowledged
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
    """A node's answer to a heartbeat.

    Attributes:
      granted_ranges: all keys that the target may hold; None renews nothing.
      hold_ms: duration of the grant, from the sending of the heartbeat.
    """

    granted_ranges: list[HeldRange] | None = None
    hold_ms: int = 0


class Limits(msgspec.Struct, frozen=True):
    """Limits of a caller's requests and of its connection's idle time."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class WeightedService(msgspec.Struct, frozen=True):
    """A service with its share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Routing of the requests for a host under a prefix of the path.

    Attributes:
      name: name of the route in the configuration.
      prefix: prefix of the paths.
      idempotent: whether a request may run more than once.
      objective_ms: time within which an answer has its full value.
      priority: priority of the requests; 0 is the highest.
      parts: services that share the requests.
      timeout_ms: longest time that a caller waits for an answer.
      targets_max: maximum number of targets that one attempt is sent to.
      is_download: whether responses are long.
    """

    name: str
    prefix: bytes
    idempotent: bool
    objective_ms: float
    priority: int
    parts: list[WeightedService]
    timeout_ms: float
    targets_max: int
    is_download: bool = False


class Service(msgspec.Struct, frozen=True):
    """A service as the configuration describes it.

    Attributes:
      name: name of the service.
      connections_max: maximum number of connections that one target accepts.
      keyed: whether the service is divided by key.
      cold_per_s: requests per second that one target tolerates while it is
        cold; 0 for no limit.
      health_path: path at which a target says which one it is; empty if it is
        not stated.
    """

    name: str
    connections_max: int
    keyed: bool
    cold_per_s: float = 0.0
    health_path: str = ""


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
      version: version number, which rises with each change.
      limits: limits of callers' requests.
      routes_by_host: routes of each host, longest prefix first.
      services: services by name.
    """

    version: int
    limits: Limits
    routes_by_host: dict[bytes, list[Route]]
    services: dict[str, Service]


SLOW_LINK_MBPS = 20.0
"""Speed of a link in Mbit/s below which messages between one node and many
others saturate it: 60 KB for each of 80 nodes take 2 s at 20 Mbit/s."""


class RouteEntry(msgspec.Struct, frozen=True):
    """A route as it stands in the operator's file.

    Attributes:
      host: host as it is written.
      route: the route, with the services whose weight is 0.
      kind: kind of the route as it is written.
      is_kind_known: whether nodes know the kind.
    """

    host: str
    route: Route
    kind: str
    is_kind_known: bool


class IgnoredField(msgspec.Struct, frozen=True):
    """A field of the operator's file that nodes do not use.

    Attributes:
      place: path of the field within the file.
      name: name of the field.
      missing: optional fields of the same entry that it does not have.
    """

    place: str
    name: str
    missing: list[str]


class ConfigurationEntries(msgspec.Struct, frozen=True):
    """The entries of a configuration in the order of the operator's file.

    `Configuration` merges and sorts them, and leaves out what has no effect.

    Attributes:
      version: version number.
      limits: limits of callers' requests.
      hosts: all hosts, also those that are listed again.
      routes: all routes.
      services: all services, also those that are described again.
    """

    version: int
    limits: Limits
    hosts: list[str]
    routes: list[RouteEntry]
    services: list[Service]


class MemberState(enum.IntEnum):
    """State of a node's record in the store."""

    ACTIVE = 0
    SEALING = 1


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A node's record in the store.

    Attributes:
      name: IP address of the node's host, which no two hosts share at one time.
      host: name of the node's host, for human readers.
      address: address at which other nodes reach the node.
      zone: availability zone of the node.
      service: service of the target beside the node.
      state: whether the node's keys are being taken over.
      witnesses: names of the nodes that renew the node's lease.
      link_mbps: speed of the host's link in Mbit/s; 0 if unknown.
      confirms: whether the node grants keys only for a limited time after it
        has confirmed this record in the store.
      has_joined: whether the node was there when no record said so, or has been
        connected to such a node, so that all nodes know it.
    """

    name: str
    host: str
    address: str
    zone: str
    service: str
    state: int = MemberState.ACTIVE
    witnesses: tuple[str, ...] = ()
    link_mbps: float = 0.0
    confirms: bool = False
    has_joined: bool = False

    def has_slow_link(self) -> bool:
        """Whether the node's link is too slow to serve many other nodes."""
        return 0.0 < self.link_mbps < SLOW_LINK_MBPS


class Bounds(msgspec.Struct, frozen=True):
    """Time limits and retry limits that the deployment guarantees.

    Attributes:
      drain_ms: time after which a draining target receives no more requests.
      grace_ms: time between the request to stop and the end of the process by
        force.
      apply_ms: time within which a configuration is applied.
      hold_max_ms: longest time for which a target may hold keys without a
        renewal.
      retry_ratio: number of retries allowed for each request.
      retry_extra: number of retries allowed in addition, over all nodes.
      retry_window_ms: time span over which retries are counted.
      cold_over: factor by which the requests per second to a cold target may
        exceed what it tolerates.
      cold_extra: requests that a cold target may receive in addition in any one
        second.
      evacuate_ms: time after which no request reaches a target in an evacuated
        zone.
    """

    drain_ms: float
    grace_ms: float
    apply_ms: float
    hold_max_ms: float
    retry_ratio: float
    retry_extra: float
    retry_window_ms: float
    cold_over: float = 1.0
    cold_extra: float = 0.0
    evacuate_ms: float = 5_000.0


class Settings(msgspec.Struct, frozen=True):
    """Settings that a node reads at its start.

    Attributes:
      host: name of this host.
      ip: IP address of this host.
      zone: availability zone of this host.
      zones: region of each availability zone.
      service: service of the target beside this node.
      target_address: address at which the target accepts requests.
      caller_address: address to which callers on this host send requests.
      ready_address: address at which the platform checks whether this node is
        ready.
      control_address: address to which the target sends its heartbeats.
      peer_address: address at which other nodes reach this node.
      metrics_address: address at which metrics are served.
      store_address: address of the platform's store.
      heartbeat_ms: usual interval between heartbeats.
      memory_bytes: memory that this process may use.
      link_mbps: speed of this host's link in Mbit/s; 0 if unknown.
      bounds: limits that the deployment guarantees.
      is_bootstrap: whether the whole system starts for the first time, so that
        no target can hold keys granted before.
      reserves_slots: whether targets keep slots for more urgent kinds of
        request, since there is too little room at times.
      descriptors_max: descriptors that this process may open; 0 if unknown.
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
    reserves_slots: bool = False
    descriptors_max: int = 0


class RequestHead(msgspec.Struct, frozen=True):
    """The parsed headers of a caller's request.

    Attributes:
      attempt: the caller's id of the attempt.
      host: requested host, in lower case and without a port.
      caller_timeout_ms: how long the caller waits; None if it is not stated.
      key: key of the request, NO_KEY if it has none, or INVALID_KEY.
      headers: headers to forward to the target.
    """

    attempt: str
    host: bytes
    caller_timeout_ms: float | None
    key: int
    headers: list[tuple[bytes, bytes]]


INVALID_KEY = -2
"""Stands for a key that cannot be parsed."""


class TargetVerdict(enum.Enum):
    """Classification of a target's answer to a request.

    ANSWER: the target's own complete answer, whatever its status.
    NOT_RUN: the target states that it did not run the request.
    OTHER_TARGET: another target has the address and did not run the request.
    UNUSABLE: there is no answer of this target; the request may have run.
    """

    ANSWER = enum.auto()
    NOT_RUN = enum.auto()
    OTHER_TARGET = enum.auto()
    UNUSABLE = enum.auto()


class TargetNotice(msgspec.Struct, frozen=True):
    """What a target says of itself in a response to a request.

    Attributes:
      limit_per_s: requests per second that it takes; None for no limit.
      leaving: whether it leaves.
      unreadable: value of a limit that cannot be parsed; empty for none.
      host_percent: time that work takes on the target's host at this moment, in
        percent of the usual time; None if it is not stated.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    unreadable: str = ""
    host_percent: int | None = None
