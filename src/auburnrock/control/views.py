"""Results of the control calls: the state of a node and of the fleet.

Each class has a message of the same name and fields in control.proto.
"""

import enum

import msgspec

from auburnrock import records


class LeaseState(str, enum.Enum):
    """Validity of a lease.

    LIVE: the replying node's own lease is valid.
    ENDED: the lease has expired, or its node's record is sealed or ended.
    UNKNOWN: the lease belongs to another node; only its holder knows whether
      it is valid.
    """

    LIVE = "live"
    ENDED = "ended"
    UNKNOWN = "unknown"


class Lease(msgspec.Struct, frozen=True):
    """The lease of the replying node.

    Attributes:
      state: whether the lease is valid.
      left_ms: time until the lease expires unless renewed, in milliseconds.
    """

    state: LeaseState
    left_ms: int = 0


class Witness(msgspec.Struct, frozen=True):
    """A peer that renews the lease of the replying node."""

    name: str
    incarnation: int
    zone: str = ""


class Target(msgspec.Struct, frozen=True):
    """The target beside the node.

    Attributes:
      service: service that the target implements.
      address: host:port of the target.
      incarnation: incarnation that the target announced.
      checks_grants: whether the target refuses work without a valid grant.
      state: state of the target as recorded by the node, such as `ready`,
        `draining`, `silent`.
      running: number of this node's requests in progress at the target.
    """

    service: str
    address: str
    incarnation: str
    checks_grants: bool = True
    state: str = ""
    running: int = 0


class Member(msgspec.Struct, frozen=True):
    """One node as recorded in the store.

    Attributes:
      name: name of the host's daemon.
      incarnation: incarnation of the record.
      zone: availability zone of the host.
      state: state of the record.
      service: service of the target beside the node; empty without a target.
      shards_owned: number of shards that the node owns.
      control_address: host:port of the node's control port; with it auburnctl
        discovers the other nodes while the store is unavailable.
    """

    name: str
    incarnation: int
    zone: str
    state: records.NodeState
    service: str = ""
    shards_owned: int = 0
    control_address: str = ""


class Leader(msgspec.Struct, frozen=True):
    """The first candidate to write the ownership pages of a service."""

    service: str
    name: str
    incarnation: int


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one node and its view of the fleet.

    Attributes:
      name: name of the host's daemon.
      incarnation: current incarnation of the node.
      region: region of the host.
      zone: availability zone of the host.
      state: state of the node's record.
      lease: lease of the node.
      witnesses: peers that renew the lease.
      not_tolerated: losses that the deployment would not survive at present,
        one sentence each; empty if it survives every loss that it is designed
        for.
      target: the target beside the node; None until one has announced itself.
      store_reachable: whether the last call to the store was answered.
      replica_revision: store revision up to which the replica is complete.
      configuration_revision: revision of the configuration in force at the
        node.
      members: nodes recorded in the store.
      leaders: one leader for each service with owners.
    """

    name: str
    incarnation: int
    region: str
    zone: str
    state: records.NodeState
    lease: Lease
    witnesses: list[Witness] = []
    not_tolerated: list[str] = []
    target: Target | None = None
    store_reachable: bool = False
    replica_revision: int = 0
    configuration_revision: int = 0
    members: list[Member] = []
    leaders: list[Leader] = []


class ShardReason(str, enum.Enum):
    """How the shard of a key is determined."""

    HASHED = "hashed"
    HOT = "hot"


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a key and how it was determined.

    Attributes:
      service: service that the key belongs to.
      key: key that was queried.
      shard: shard of the key.
      why: whether the key is hashed or a hot key with a shard of its own.
      page_key: key of the page in the store that names the owner.
      owner: incarnation of the owning node; 0 if the shard has no owner yet.
      owner_name: name of the owning node; empty if the node has no record.
      owner_state: state of the owner's record; None without a record.
      epoch: epoch of the shard under this owner.
      lease_state: validity of the owner's lease as known to this node.
      moving_to: incarnation of the next owner; 0 if no move is planned.
    """

    service: str
    key: str
    shard: int
    why: ShardReason
    page_key: str
    owner: int = records.NO_OWNER
    owner_name: str = ""
    owner_state: records.NodeState | None = None
    epoch: int = 0
    lease_state: LeaseState = LeaseState.UNKNOWN
    moving_to: int = 0


class Field(msgspec.Struct, frozen=True):
    """One field of a logged event, as a key with its value."""

    key: str
    value: str


class Event(msgspec.Struct, frozen=True):
    """One logged event of a node; see logs.Event."""

    wall_ms: int
    process: str
    event: str
    fields: list[Field] = []


class EventList(msgspec.Struct, frozen=True):
    """The recent events of one node, oldest first."""

    events: list[Event] = []


class Done(msgspec.Struct, frozen=True):
    """Confirmation that a change was accepted.

    Attributes:
      note: text for the operator that says what happens next.
    """

    note: str = ""
