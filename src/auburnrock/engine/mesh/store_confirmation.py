"""The bound that the store sets to a lease, beside its witnesses.

A node grants keys only for a limited time after it has confirmed that its
record in the store is unchanged. So a survivor that has sealed the record and
waited for that time may reassign the node's keys, even if the node is lost
together with all of its witnesses. docs/design/lost-witnesses.md has the
argument.
"""

from collections.abc import Iterable, Mapping

from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model

CONFIRMATION_MS = 10_000.0
"""Time in milliseconds for which a confirmation lasts. Keys of lost machines
are served again within 15 s of the return of the others."""

CHECK_INTERVAL_MS = 3_000.0
"""Interval in milliseconds between two confirmations: two may fail."""

OUTAGE_EXTENSION_MS = 3_000.0
"""Time in milliseconds for which an outage that all nodes share extends a
confirmation. With the time in which the news of a cut or of the store's return
reaches all nodes, it is far below CONFIRMATION_MS."""

SEAL_ALONE_AFTER_MS = 3_000.0
"""Time in milliseconds without a sign of a node and of its witnesses, after
which its record is sealed without them. A killed process is back in 2 s."""

RETRY_INTERVAL_MS = CONFIRMATION_MS
"""Minimum time in milliseconds between two attempts to seal a node's record
without its witnesses. A node that has refuted the first one is cut off here."""


class StoreConfirmation:
    """Confirmations of this node's own record.

    Attributes:
      sent_ms: when the call of the latest confirmation was sent; 0 for none.
      extended_until_ms: end of the extension by an outage that all nodes share.
      due_ms: when to confirm the record next.
    """

    __slots__ = ("due_ms", "extended_until_ms", "sent_ms")

    def __init__(self):
        self.sent_ms = 0.0
        self.extended_until_ms = 0.0
        self.due_ms = 0.0

    def on_record_lost(self) -> None:
        """Ends the confirmation: the record is another one or removed."""
        self.sent_ms = 0.0
        self.extended_until_ms = 0.0
        self.due_ms = 0.0

    def on_confirmed(self, sent_ms: float) -> None:
        """Handles an answer by which the record was unchanged."""
        self.sent_ms = max(self.sent_ms, sent_ms)
        self.due_ms = max(self.due_ms, sent_ms + CHECK_INTERVAL_MS)

    def on_unanswered(self, now_ms: float, retry_ms: float) -> None:
        """Handles a failed attempt to confirm the record."""
        self.due_ms = now_ms + retry_ms

    def on_shared_outage(self, now_ms: float) -> None:
        """Extends a confirmation that lasts: no node reaches the store now."""
        if self.ends_ms() > now_ms:
            self.extended_until_ms = now_ms + OUTAGE_EXTENSION_MS

    def ends_ms(self) -> float:
        """Returns until when keys may be granted; 0 without a confirmation."""
        if not self.sent_ms:
            return 0.0
        confirmed_ms = CONFIRMATION_MS * (1.0 - 2.0 * lease_module.DRIFT)
        return max(self.sent_ms + confirmed_ms, self.extended_until_ms)


def is_shared_outage(
    own: str,
    members: Iterable[str],
    entries: Mapping[str, membership.Entry],
) -> bool:
    """Whether no node can seal a record, as the store answers nobody.

    Args:
      own: name of this node, which the store does not answer.
      members: names of all nodes with a record.
      entries: entries of the other nodes, by name.
    """
    for name in members:
        if name == own:
            continue
        entry = entries.get(name)
        if entry is None or entry.suspected or entry.reads_store:
            return False
    return True


def may_seal_alone(
    own: model.Member, other: model.Member, alive: set[str]
) -> bool:
    """Whether a silent node's record is sealed without its witnesses.

    Args:
      own: this node's record.
      other: record of the silent node.
      alive: names of the other nodes that are not suspected.
    """
    if not own.has_joined or not other.confirms or other.name in alive:
        return False
    present = sum(name in alive or name == own.name for name in other.witnesses)
    return present < lease_module.majority(len(other.witnesses))


def seal_wait_ms() -> float:
    """Returns the time from a seal until every confirmation has ended."""
    # Times are cut to milliseconds.
    return CONFIRMATION_MS * (1.0 + lease_module.DRIFT) + 2.0
