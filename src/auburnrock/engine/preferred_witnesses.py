"""The witnesses that a node would have, from what it knows at the moment."""

from auburnrock import records
from auburnrock.engine import timing as timing_module
from auburnrock.engine import witness_choice

AVOIDED_MS = 10_000
"""How long a silent witness is not chosen again."""


class PreferredWitnesses:
    """Chooses among the known nodes and avoids those found silent.

    Attributes:
      nodes: all known records.
      avoided_until_ms: when each avoided node may be chosen again.
      gaps: what the latest choice cannot stand.
    """

    __slots__ = ("avoided_until_ms", "gaps", "nodes")

    def __init__(self, nodes: list[records.NodeRecord]):
        self.nodes = nodes
        self.avoided_until_ms: dict[int, int] = {}
        self.gaps: list[witness_choice.Gap] = []

    def choose(self, record: records.NodeRecord) -> list[records.Witness]:
        """The witnesses for a record; its own list if they are the same."""
        avoided = set(self.avoided_until_ms)
        choice = witness_choice.choose(record, self.nodes, avoided)
        self.gaps = choice.gaps
        known = {witness.incarnation for witness in record.witnesses}
        chosen = {witness.incarnation for witness in choice.witnesses}
        if not known and chosen <= avoided:
            # A node alone would lose its lease to a witness that is silent.
            self.gaps = [witness_choice.Gap.TAKEOVER]
            return record.witnesses
        return record.witnesses if chosen == known else choice.witnesses

    def avoid(self, now_ms: int, incarnation: int) -> None:
        """Avoids a node for a while."""
        self.avoided_until_ms[incarnation] = now_ms + AVOIDED_MS

    def readmit(self, now_ms: int) -> bool:
        """Forgets whom to avoid no longer; says whether there was any."""
        over = [
            incarnation
            for incarnation, until_ms in self.avoided_until_ms.items()
            if until_ms <= now_ms
        ]
        for incarnation in over:
            del self.avoided_until_ms[incarnation]
        return bool(over)

    def majority_is_fit(self, record: records.NodeRecord) -> bool:
        """Whether enough witnesses answer and are not about to leave."""
        active = {
            node.incarnation
            for node in self.nodes
            if node.state is records.NodeState.ACTIVE
        }
        fit = [
            witness
            for witness in record.witnesses
            if witness.incarnation in active
            and witness.incarnation not in self.avoided_until_ms
        ]
        needed = timing_module.majority_of(len(record.witnesses))
        return len(fit) >= needed
