"""Chooses the peers that witness a node's lease.

Candidates are ranked by rendezvous hashing (Thaler and Ravishankar, 1996) of
the pair of names. So the choices of all nodes are spread evenly over the
fleet, and a lost candidate changes only the choices that contain it.
"""

import enum

import msgspec

from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import timing

WITNESS_COUNT = 3


class Gap(str, enum.Enum):
    """A failure that a set from too few nodes or zones does not tolerate.

    TAKEOVER: there is no witness, so no other node can take the shards.
    WITNESS_LOSS: the loss of one witness ends the lease until it is replaced.
    ZONE_LOSS: a zone holds a majority of the witnesses.
    """

    TAKEOVER = "takeover"
    WITNESS_LOSS = "witness_loss"
    ZONE_LOSS = "zone_loss"


class Choice(msgspec.Struct, frozen=True):
    """A witness set.

    Attributes:
      witnesses: the witnesses in order of rank.
      gaps: failures that the set does not tolerate; empty for a full set.
    """

    witnesses: list[records.Witness]
    gaps: list[Gap]


def choose(
    holder: records.NodeRecord,
    nodes: list[records.NodeRecord],
    avoided: set[int] = frozenset(),
) -> Choice:
    """Chooses the witnesses of a node.

    Every witness is an ACTIVE other node, and present witnesses that still
    qualify are retained. While there are enough zones, each contributes at
    most one witness. Zones of the holder's own region are preferred, so that
    partitioned regions stay available. Two witnesses would be worse than one,
    since both would be needed, so a node has three, one or none.

    Args:
      holder: the node's record.
      nodes: the records of all known nodes.
      avoided: incarnations that are chosen only if there are no others, such
        as silent ones. A silent witness is better than none, since it may
        answer again.
    """
    ranked = _ranked(holder, nodes)
    size = (
        WITNESS_COUNT if len(ranked) >= WITNESS_COUNT else min(1, len(ranked))
    )
    present = {witness.incarnation for witness in holder.witnesses}
    preferred = [node for node in ranked if node.incarnation not in avoided]
    retained = [node for node in preferred if node.incarnation in present]
    chosen: list[records.NodeRecord] = []
    # Each pass is less strict: present witnesses in a new zone, other nodes in
    # a new zone, then the rest with the holder's own zone last. If one zone
    # must have a majority, the holder's own is the worst, since the majority
    # would then be lost together with the holder.
    _add_from_new_zones(chosen, retained, size)
    _add_from_new_zones(chosen, preferred, size)
    _add(chosen, _other_zones_first(holder, retained), size)
    _add(chosen, _other_zones_first(holder, preferred), size)
    present_nodes = [node for node in ranked if node.incarnation in present]
    _add(chosen, present_nodes, size)
    _add(chosen, ranked, size)
    # The first witness acts first, so it should not be in the holder's zone,
    # which can be lost together with the holder.
    chosen.sort(key=lambda node: (node.zone == holder.zone, node.name))
    witnesses = [
        records.Witness(node.name, node.incarnation) for node in chosen
    ]
    return Choice(witnesses, _gaps([node.zone for node in chosen]))


def _other_zones_first(
    holder: records.NodeRecord, nodes: list[records.NodeRecord]
) -> list[records.NodeRecord]:
    return sorted(nodes, key=lambda node: node.zone == holder.zone)


def _ranked(
    holder: records.NodeRecord, nodes: list[records.NodeRecord]
) -> list[records.NodeRecord]:
    """The candidates: those of the holder's region first, then by hash.

    Only the latest incarnation of each name is a candidate, since it has
    replaced the earlier ones.
    """
    latest: dict[str, records.NodeRecord] = {}
    for node in nodes:
        known = latest.get(node.name)
        if known is None or known.incarnation < node.incarnation:
            latest[node.name] = node
    candidates = [
        node
        for node in latest.values()
        if node.state is records.NodeState.ACTIVE and node.name != holder.name
    ]
    return sorted(
        candidates,
        key=lambda node: (
            node.region != holder.region,
            keys.hash_of(f"{holder.name}\0{node.name}"),
            node.name,
        ),
    )


def _add_from_new_zones(
    chosen: list[records.NodeRecord],
    candidates: list[records.NodeRecord],
    size: int,
) -> None:
    for node in candidates:
        zones = {known.zone for known in chosen}
        if node.zone not in zones:
            _add(chosen, [node], size)


def _add(
    chosen: list[records.NodeRecord],
    candidates: list[records.NodeRecord],
    size: int,
) -> None:
    for node in candidates:
        if len(chosen) < size and node not in chosen:
            chosen.append(node)


def _gaps(zones: list[str]) -> list[Gap]:
    if not zones:
        return [Gap.TAKEOVER]
    gaps = []
    if len(zones) < WITNESS_COUNT:
        gaps.append(Gap.WITNESS_LOSS)
    largest = max(zones.count(zone) for zone in zones)
    if largest >= timing.majority_of(len(zones)):
        gaps.append(Gap.ZONE_LOSS)
    return gaps
