"""Chooses a node's witnesses from the nodes that it currently knows."""

from auburnrock import records
from auburnrock.engine import timing as timing_module
from auburnrock.engine import witness_choice

AVOIDANCE_MS = 10_000
"""Time in milliseconds for which a silent witness is not chosen again."""


class PreferredWitnesses:
    """Chooses witnesses from the known nodes and avoids silent ones.

    Attributes:
      nodes: the records of all known nodes.
      avoided_until_ms: when each avoided node may be chosen again, by its
        incarnation.
      gaps: failures that the latest choice does not tolerate.
    """

    __slots__ = ("avoided_until_ms", "gaps", "nodes")

    def __init__(self, nodes: list[records.NodeRecord]):
        self.nodes = nodes
        self.avoided_until_ms: dict[int, int] = {}
        self.gaps: list[witness_choice.Gap] = []

    def choose(self, record: records.NodeRecord) -> list[records.Witness]:
        """The witnesses for a record; the record's own list if unchanged."""
        avoided = set(self.avoided_until_ms)
        choice = witness_choice.choose(record, self.nodes, avoided)
        self.gaps = choice.gaps
        known = {witness.incarnation for witness in record.witnesses}
        chosen = {witness.incarnation for witness in choice.witnesses}
        if not known and chosen <= avoided:
            # With only a silent witness, a node that had none would lose its
            # lease.
            self.gaps = [witness_choice.Gap.TAKEOVER]
            return record.witnesses
        return record.witnesses if chosen == known else choice.witnesses

    def avoid(self, now_ms: int, incarnation: int) -> None:
        """Excludes a node from the choice for `AVOIDANCE_MS` if possible."""
        self.avoided_until_ms[incarnation] = now_ms + AVOIDANCE_MS

    def expire_avoided(self, now_ms: int) -> bool:
        """Removes nodes whose avoidance has ended; returns whether any was."""
        expired = [
            incarnation
            for incarnation, until_ms in self.avoided_until_ms.items()
            if until_ms <= now_ms
        ]
        for incarnation in expired:
            del self.avoided_until_ms[incarnation]
        return bool(expired)

    def majority_is_usable(self, record: records.NodeRecord) -> bool:
        """Whether a majority of the witnesses is ACTIVE and not avoided."""
        active = {
            node.incarnation
            for node in self.nodes
            if node.state is records.NodeState.ACTIVE
        }
        usable = [
            witness
            for witness in record.witnesses
            if witness.incarnation in active
            and witness.incarnation not in self.avoided_until_ms
        ]
        needed = timing_module.majority_of(len(record.witnesses))
        return len(usable) >= needed
