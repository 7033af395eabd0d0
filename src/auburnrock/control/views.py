"""What a node tells operators about itself and the fleet.

Each class has a message of the same name and fields in control.proto.
"""

import enum

import msgspec

from auburnrock import records


class LeaseState(str, enum.Enum):
    """How a lease stands.

    LIVE: the node knows its own lease to be valid.
    ENDED: it has run out, or its record is sealed or ended.
    UNKNOWN: another node's lease, which only its holder can know.
    """

    LIVE = "live"
    ENDED = "ended"
    UNKNOWN = "unknown"


class Lease(msgspec.Struct, frozen=True):
    """A node's own lease.

    Attributes:
      state: how it stands.
      left_ms: how long it still lasts without a renewal, in milliseconds.
    """

    state: LeaseState
    left_ms: int = 0


class Witness(msgspec.Struct, frozen=True):
    """A peer that renews the node's lease."""

    name: str
    incarnation: int
    zone: str = ""


class Target(msgspec.Struct, frozen=True):
    """The target beside the node.

    Attributes:
      service: what it serves.
      address: host:port.
      incarnation: incarnation that it announced.
      checks_grants: whether it refuses work without a valid grant.
      state: how the node judges it, such as `ready`, `draining`, `silent`.
      running: requests that it runs for this node.
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
      service: service of the target beside it; empty without a target.
      shards_owned: shards whose owner it is.
      control_address: host:port for operators' calls; it lets the tool find
        the other nodes while the store is down.
    """

    name: str
    incarnation: int
    zone: str
    state: records.NodeState
    service: str = ""
    shards_owned: int = 0
    control_address: str = ""


class Leader(msgspec.Struct, frozen=True):
    """The first candidate to write the pages of a service."""

    service: str
    name: str
    incarnation: int


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """One node and what it knows of the fleet.

    Attributes:
      name: name of the host's daemon.
      incarnation: this start of the daemon.
      region: region of the host.
      zone: availability zone of the host.
      state: state of the own record.
      lease: the own lease.
      witnesses: who renews it.
      not_tolerated: losses that the deployment does not survive as it is,
        one sentence each; empty when it survives all that it is made for.
      target: the target beside the node; None while none announced itself.
      store_reachable: whether the last call to the store was answered.
      replica_revision: store revision up to which the replica is complete.
      configuration_revision: revision of the configuration in force here.
      members: every node recorded in the store.
      leaders: one for each service with owners.
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
    """Why a key belongs to its shard."""

    HASHED = "hashed"
    HOT = "hot"


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Who owns a key and why.

    Attributes:
      service: the service.
      key: the key.
      shard: shard of the key.
      why: whether the key is hashed or a hot key with a shard of its own.
      page_key: key of the page in the store that names the owner.
      owner: incarnation of the owning node; 0 if there is none yet.
      owner_name: name of the owning node; empty if it has no record.
      owner_state: state of the owner's record; None if it has none.
      epoch: number of this owner of the shard.
      lease_state: how the owner's lease stands, as far as this node knows.
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
    """One detail of an event."""

    key: str
    value: str


class Event(msgspec.Struct, frozen=True):
    """One event of a node's time line; see logs.Event."""

    wall_ms: int
    process: str
    event: str
    fields: list[Field] = []


class EventList(msgspec.Struct, frozen=True):
    """Recent events of one node, oldest first."""

    events: list[Event] = []


class Done(msgspec.Struct, frozen=True):
    """A change was accepted.

    Attributes:
      note: what happens next, for people.
    """

    note: str = ""
