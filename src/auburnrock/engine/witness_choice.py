"""Which peers witness a node's lease.

Candidates are ranked by rendezvous hashing (Thaler and Ravishankar, 1996) of
the pair of names, so that every node spreads its choice evenly over the fleet
and a lost candidate changes only the choices that named it.
"""

import enum

import msgspec

from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import timing

WITNESSES = 3


class Gap(str, enum.Enum):
    """What a witness set cannot stand, with too few nodes or zones.

    TAKEOVER: there is no witness, so nobody can take the node's shards.
    WITNESS_LOSS: the loss of one witness ends the lease until it is replaced.
    ZONE_LOSS: a zone holds a majority of the witnesses.
    """

    TAKEOVER = "takeover"
    WITNESS_LOSS = "witness_loss"
    ZONE_LOSS = "zone_loss"


class Choice(msgspec.Struct, frozen=True):
    """A witness set.

    Attributes:
      witnesses: in order of rank.
      gaps: what it cannot stand; empty for a full set.
    """

    witnesses: list[records.Witness]
    gaps: list[Gap]


def choose(
    holder: records.NodeRecord,
    nodes: list[records.NodeRecord],
    avoided: set[int] = frozenset(),
) -> Choice:
    """Chooses the witnesses of a node.

    Present witnesses that are still fit stay. A witness is an ACTIVE other
    node. Each zone gives at most one as long as there are zones enough; zones
    of the holder's own region go first, so that regions cut from each other
    go on. Two witnesses would be worse than one, as both would be needed, so
    there are three, one or none.

    Args:
      holder: the node's record.
      nodes: all known records.
      avoided: incarnations that are chosen only if there are no others, such
        as silent ones. A silent witness is better than none: it may answer
        again.
    """
    ranked = _ranked(holder, nodes)
    size = WITNESSES if len(ranked) >= WITNESSES else min(1, len(ranked))
    present = {witness.incarnation for witness in holder.witnesses}
    wanted = [node for node in ranked if node.incarnation not in avoided]
    kept = [node for node in wanted if node.incarnation in present]
    chosen: list[records.NodeRecord] = []
    # Each pass is less strict: kept ones of a new zone, others of a new zone,
    # then whatever is left, from foreign zones first: if a zone must hold a
    # majority, the holder's own is the worst, since it is lost with it.
    _add_from_new_zones(chosen, kept, size)
    _add_from_new_zones(chosen, wanted, size)
    _add(chosen, _foreign_first(holder, kept), size)
    _add(chosen, _foreign_first(holder, wanted), size)
    silent = [node for node in ranked if node.incarnation in present]
    _add(chosen, silent, size)
    _add(chosen, ranked, size)
    # The first of the list acts first, so it should not be lost together with
    # the holder.
    chosen.sort(key=lambda node: (node.zone == holder.zone, node.name))
    witnesses = [
        records.Witness(node.name, node.incarnation) for node in chosen
    ]
    return Choice(witnesses, _gaps([node.zone for node in chosen]))


def _foreign_first(
    holder: records.NodeRecord, nodes: list[records.NodeRecord]
) -> list[records.NodeRecord]:
    return sorted(nodes, key=lambda node: node.zone == holder.zone)


def _ranked(
    holder: records.NodeRecord, nodes: list[records.NodeRecord]
) -> list[records.NodeRecord]:
    """The candidates: own region first, then by hash.

    Of two incarnations of one name, the earlier has been replaced.
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
    if len(zones) < WITNESSES:
        gaps.append(Gap.WITNESS_LOSS)
    largest = max(zones.count(zone) for zone in zones)
    if largest >= timing.majority_of(len(zones)):
        gaps.append(Gap.ZONE_LOSS)
    return gaps
