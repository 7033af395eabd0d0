"""What the platform's key-value service keeps, and under which names.

All records are small and change by compare-and-swap only. Values are JSON so
that operators can read them with the platform's own tools; assignment pages
are msgpack, as they are the only records that grow with the fleet.
"""

import enum

import msgspec

FILES_PREFIX = "files/"
NONSENSE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""What decoding a record raises if it is none."""

CONFIGURATION_KEY = "configuration"
NODES_PREFIX = "nodes/"
PAGES_PREFIX = "pages/"
QUARANTINE_PREFIX = "quarantine/"

SHARDS_PER_PAGE = 128
NO_OWNER = 0
"""The incarnation that stands for "no owner yet" in an assignment page."""


class NodeState(str, enum.Enum):
    """The state of a node's record.

    ACTIVE: may hold a lease and own shards.
    DRAINING: may hold a lease; its shards are being moved away.
    SEALING: its witness set is fixed; no witness that sealed renews it again.
    ENDED: its lease has ended for good; it owns nothing.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    SEALING = "sealing"
    ENDED = "ended"


class Witness(msgspec.Struct, frozen=True):
    """A peer that renews a node's lease, named by incarnation."""

    name: str
    incarnation: int


class NodeRecord(msgspec.Struct, kw_only=True):
    """One node: a daemon beside one target.

    Attributes:
      name: stable name of the host's daemon, from its settings.
      incarnation: unique number of this start of the daemon; it is what owns
        shards and what a witness renews. Greater for a later start.
      region: region of the host.
      zone: availability zone of the host.
      address: IP number of the daemon.
      peer_port: port of the peer protocols (UDP for leases, TCP for frames).
      http_port: port for callers.
      control_port: port for the operators' tool.
      service: service of the target beside it; empty while no target has
        announced itself.
      target_address: host:port of the target.
      target_incarnation: incarnation that the target announced.
      checks_grants: whether the target refuses work without a valid grant.
      target_draining: whether the target wants no new work.
      witnesses: the peers that renew its lease.
      witness_version: grows with each change of `witnesses`.
      state: see NodeState.
      writer: identifies the write, so that a lost answer can be resolved.
    """

    name: str
    incarnation: int
    region: str
    zone: str
    address: str
    peer_port: int
    http_port: int
    control_port: int = 0
    service: str = ""
    target_address: str = ""
    target_incarnation: str = ""
    checks_grants: bool = True
    target_draining: bool = False
    witnesses: list[Witness] = []
    witness_version: int = 0
    state: NodeState = NodeState.ACTIVE
    writer: str = ""

    def takes_work(self, service: str) -> bool:
        """Whether the node may be given shards and requests of a service."""
        return (
            self.state is NodeState.ACTIVE
            and self.service == service
            and bool(self.target_incarnation)
            and not self.target_draining
        )


class ShardEntry(msgspec.Struct, array_like=True):
    """Owner of one shard.

    Attributes:
      owner: incarnation of the owning node, or NO_OWNER.
      epoch: grows by one with each change of owner; fences grants.
    """

    owner: int
    epoch: int


class AssignmentPage(msgspec.Struct, kw_only=True):
    """Owners of up to SHARDS_PER_PAGE consecutive shards of one service.

    Attributes:
      service: the service.
      page: number of the page; it holds shards from page * SHARDS_PER_PAGE.
      entries: one for each shard, in order.
      moving: shards that their owner was told to release, and the incarnation
        of the next owner.
      hot_keys: a node serves these shards only if its configuration names at
        least so many hot keys of the service.
      writer: identifies the write, so that a lost answer can be resolved.
    """

    service: str
    page: int
    entries: list[ShardEntry]
    moving: dict[int, int] = {}
    hot_keys: int = 0
    writer: str = ""


class RouteRule(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Marks the requests of a service that are not idempotent.

    Attributes:
      method: HTTP method in capitals.
      path_prefix: prefix of the path below the service's name.
    """

    method: str
    path_prefix: str = "/"


class PlacementWeights(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True
):
    """How much each measure counts when owners are chosen (not negative)."""

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable_time: float = 1.0


class ServiceSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One service as its operators describe it.

    Attributes:
      divided_by_key: whether each key is owned by one target.
      shards: number of shards of a service divided by key; fixed for its
        life.
      hot_keys: keys that are shards of their own.
      checks_grants: whether its targets check who gives them an order.
      slots: requests that one target runs at a time.
      connections: connections that one target accepts.
      timeout_ms: deadline of a request whose caller named none.
      non_idempotent: the routes that must run at most once.
      weights: weights of the placement measures.
      churn_per_minute: most shards that rebalancing moves in a minute.
    """

    divided_by_key: bool = False
    shards: int = 64
    hot_keys: list[str] = []
    checks_grants: bool = True
    slots: int = 20
    connections: int = 120
    timeout_ms: int = 2_000
    non_idempotent: list[RouteRule] = []
    weights: PlacementWeights = msgspec.field(default_factory=PlacementWeights)
    churn_per_minute: int = 8


class KeyLayout(msgspec.Struct, kw_only=True):
    """What maps the keys of a service to shards, kept for its name's life.

    Attributes:
      divided_by_key: as in ServiceSettings.
      shards: as in ServiceSettings.
      hot_keys: as in ServiceSettings; it only grows at its end.
    """

    divided_by_key: bool
    shards: int
    hot_keys: list[str] = []


class Configuration(msgspec.Struct, kw_only=True):
    """The accepted configuration: all files merged in the order of names.

    Attributes:
      revision: grows by one with each accepted change.
      services: settings of each service by name.
      files: accepted content of each file by name; what `services` was
        merged from.
      layouts: layout of each service that there ever was.
      writer: identifies the write, so that a lost answer can be resolved.
    """

    revision: int
    services: dict[str, ServiceSettings]
    files: dict[str, str] = {}
    layouts: dict[str, KeyLayout] = {}
    writer: str = ""


class QuarantineRecord(msgspec.Struct, kw_only=True):
    """A request fingerprint that crashed targets.

    Attributes:
      fingerprint: hash of service, method, path, key and body.
      crashes: how many targets ended while they ran it.
      expires_at_ms: wall-clock time in Unix milliseconds at which it ends.
    """

    fingerprint: str
    crashes: int
    expires_at_ms: int


def node_key(name: str, incarnation: int) -> str:
    """The store's key of the record of one incarnation of a node."""
    return f"{NODES_PREFIX}{name}/{incarnation:016x}"


def parse_node_key(key: str) -> tuple[str, int] | None:
    """The name and incarnation that a node's key names; None if none."""
    name, _, digits = key.removeprefix(NODES_PREFIX).rpartition("/")
    try:
        incarnation = int(digits, 16)
    except ValueError:
        return None
    if not name or node_key(name, incarnation) != key:
        return None
    return name, incarnation


def page_key(service: str, page: int) -> str:
    """The store's key of an assignment page."""
    return f"{PAGES_PREFIX}{service}/{page:05d}"


def encode_json(record: msgspec.Struct) -> bytes:
    """Encodes a record that operators may read."""
    return msgspec.json.encode(record)


def encode_page(page: AssignmentPage) -> bytes:
    """Encodes an assignment page."""
    return msgspec.msgpack.encode(page)


def decode_page(data: bytes) -> AssignmentPage:
    """Decodes an assignment page; raises msgspec.DecodeError on nonsense."""
    return msgspec.msgpack.decode(data, type=AssignmentPage)


def decode_node(data: bytes) -> NodeRecord:
    """Decodes a node's record; raises msgspec.DecodeError on nonsense."""
    return msgspec.json.decode(data, type=NodeRecord)


def try_decode_node(data: bytes | None) -> NodeRecord | None:
    """Decodes a node's record; None if there is none or it is nonsense."""
    if data is None:
        return None
    try:
        return decode_node(data)
    except NONSENSE:
        return None


def decode_configuration(data: bytes) -> Configuration:
    """Decodes the configuration; raises msgspec.DecodeError on nonsense."""
    return msgspec.json.decode(data, type=Configuration)
