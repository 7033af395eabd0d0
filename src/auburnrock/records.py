"""The records in the platform's key-value service and their keys.

All records are small and are written by compare-and-swap only. Their values
are JSON, so that operators can read them with the platform's own tools.
Assignment pages are msgpack, because only they grow with the fleet.
"""

import enum

import msgspec

FILES_PREFIX = "files/"
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""The exceptions that the decoders of records raise for invalid data."""

CONFIGURATION_KEY = "configuration"
NODES_PREFIX = "nodes/"
PAGES_PREFIX = "pages/"
QUARANTINE_PREFIX = "quarantine/"

SHARDS_PER_PAGE = 128
NO_OWNER = 0
"""The incarnation that an assignment page has for a shard without an owner."""


class NodeState(str, enum.Enum):
    """The state of a node's record.

    ACTIVE: the node may hold a lease and own shards.
    DRAINING: the node may hold a lease; its shards are being moved to other
      nodes.
    SEALING: the node's witness set is fixed; a witness that has sealed the
      incarnation does not renew its lease again.
    ENDED: the node's lease has ended permanently; it owns no shards.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    SEALING = "sealing"
    ENDED = "ended"


class Witness(msgspec.Struct, frozen=True):
    """One incarnation of a peer that renews a node's lease."""

    name: str
    incarnation: int


class NodeRecord(msgspec.Struct, kw_only=True):
    """One start of a node, which is a daemon beside one target.

    Attributes:
      name: stable name of the host's daemon, from its settings.
      incarnation: unique number of this start of the daemon, greater for a
        later start. Shards are owned by, and leases renewed for, an
        incarnation.
      region: region of the host.
      zone: availability zone of the host.
      address: IP address of the daemon.
      peer_port: port of the peer protocols (UDP for leases, TCP for frames).
      http_port: port for callers.
      control_port: port for the operators' tool.
      service: service of the node's target; empty until a target has
        announced itself.
      target_address: host:port of the target.
      target_incarnation: incarnation that the target announced.
      checks_grants: whether the target refuses work without a valid grant.
      target_draining: whether the target accepts no new work.
      witnesses: the peers that renew the node's lease.
      witness_version: increases with each change of `witnesses`.
      state: state of the node.
      writer: identifies the write, so that its outcome can be determined
        after the store's answer was lost.
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

    def accepts_work(self, service: str) -> bool:
        """Whether the node may receive shards and requests of a service."""
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
      epoch: fencing token of the shard's grants; increases by one with each
        change of owner.
    """

    owner: int
    epoch: int


class AssignmentPage(msgspec.Struct, kw_only=True):
    """Owners of up to SHARDS_PER_PAGE consecutive shards of one service.

    Attributes:
      service: name of the service.
      page: number of the page, whose first shard is page * SHARDS_PER_PAGE.
      entries: one entry for each shard, in the order of shard numbers.
      moving: incarnation of the next owner of each shard that its owner was
        ordered to release, by shard number.
      hot_keys: number of hot keys of the service that a node's configuration
        must have at least for the node to serve the page's shards.
      writer: identifies the write, so that its outcome can be determined
        after the store's answer was lost.
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
    """Weights of the measures by which owners are chosen, all at least 0."""

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable_time: float = 1.0


class ServiceSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of one service, from its operators' files.

    Attributes:
      divided_by_key: whether each key is owned by one target.
      shards: number of shards of a service that is divided by key; it cannot
        be changed.
      hot_keys: keys that each have a shard of their own.
      checks_grants: whether the service's targets refuse work without a
        valid grant.
      slots: number of requests that one target executes concurrently.
      connections: number of connections that one target accepts.
      timeout_ms: time until the deadline of a request whose caller set no
        deadline, in milliseconds.
      non_idempotent: routes whose requests must be executed at most once.
      weights: weights of the placement measures.
      churn_per_minute: maximum number of shards that rebalancing moves per
        minute.
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
    """The mapping of a service's keys to shards.

    A layout is stored permanently under the service's name, also after the
    service has been removed.

    Attributes:
      divided_by_key: whether each key is owned by one target.
      shards: number of shards of a service that is divided by key.
      hot_keys: keys that each have a shard of their own; new keys are only
        appended.
    """

    divided_by_key: bool
    shards: int
    hot_keys: list[str] = []


class Configuration(msgspec.Struct, kw_only=True):
    """The accepted configuration: all files merged in the order of names.

    Attributes:
      revision: increases by one with each accepted change.
      services: settings of each service, by name.
      files: accepted content of each file, by name; `services` is merged
        from these files.
      layouts: layout of each service that has ever existed, by name.
      writer: identifies the write, so that its outcome can be determined
        after the store's answer was lost.
    """

    revision: int
    services: dict[str, ServiceSettings]
    files: dict[str, str] = {}
    layouts: dict[str, KeyLayout] = {}
    writer: str = ""


class QuarantineRecord(msgspec.Struct, kw_only=True):
    """A request fingerprint that crashed targets.

    Attributes:
      fingerprint: hash of the request's service, method, path, key and body.
      crashes: number of targets that ended while they executed the request.
      expires_at_ms: wall-clock time at which the quarantine ends, in Unix
        milliseconds.
    """

    fingerprint: str
    crashes: int
    expires_at_ms: int


def node_key(name: str, incarnation: int) -> str:
    """Returns the store key of one incarnation's node record."""
    return f"{NODES_PREFIX}{name}/{incarnation:016x}"


def parse_node_key(key: str) -> tuple[str, int] | None:
    """Returns the name and incarnation in a node record's key.

    Returns None if the key is not the key of a node record.
    """
    name, _, digits = key.removeprefix(NODES_PREFIX).rpartition("/")
    try:
        incarnation = int(digits, 16)
    except ValueError:
        return None
    if not name or node_key(name, incarnation) != key:
        return None
    return name, incarnation


def page_key(service: str, page: int) -> str:
    """Returns the store key of an assignment page."""
    return f"{PAGES_PREFIX}{service}/{page:05d}"


def encode_json(record: msgspec.Struct) -> bytes:
    """Encodes a record as JSON, which operators can read."""
    return msgspec.json.encode(record)


def encode_page(page: AssignmentPage) -> bytes:
    """Encodes an assignment page as msgpack."""
    return msgspec.msgpack.encode(page)


def decode_page(data: bytes) -> AssignmentPage:
    """Decodes an assignment page; raises one of DECODE_ERRORS if invalid."""
    return msgspec.msgpack.decode(data, type=AssignmentPage)


def decode_node(data: bytes) -> NodeRecord:
    """Decodes a node record; raises one of DECODE_ERRORS if it is invalid."""
    return msgspec.json.decode(data, type=NodeRecord)


def try_decode_node(data: bytes | None) -> NodeRecord | None:
    """Decodes a node record; returns None if it is missing or invalid."""
    if data is None:
        return None
    try:
        return decode_node(data)
    except DECODE_ERRORS:
        return None


def decode_configuration(data: bytes) -> Configuration:
    """Decodes the configuration; raises one of DECODE_ERRORS if invalid."""
    return msgspec.json.decode(data, type=Configuration)
