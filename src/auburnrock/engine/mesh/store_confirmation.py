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

CHECK_INTERVAL_MS = 2_500.0
"""Interval in milliseconds between two confirmations: three may fail."""

EXTENSION_MS = 6_000.0
"""Time in milliseconds for which a confirmation lasts while this node hears of
all others. With the time in which all nodes learn of a cut, it is below
SEAL_ALONE_AFTER_MS and CONFIRMATION_MS together."""

EXTENSION_CHECK_MS = 250.0
"""Interval in milliseconds between two checks whether this node hears of all
others. It takes time for each node of the fleet."""

NEWS_DELAY_MAX_MS = 4_000.0
"""Time in milliseconds after a pause of this process before which it may not
have learned of a cut."""

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
      extended_until_ms: end of the extension by the news of all other nodes.
      hears_all: whether this node heard of all others at the last check.
      due_ms: when to confirm the record next.
    """

    __slots__ = ("due_ms", "extended_until_ms", "hears_all", "sent_ms")

    def __init__(self):
        self.sent_ms = 0.0
        self.extended_until_ms = 0.0
        self.hears_all = False
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

    def on_news_checked(self, now_ms: float, hears_all: bool) -> None:
        """Extends a confirmation that lasts while nobody can seal the record.

        Args:
          now_ms: the current time.
          hears_all: whether this node hears of all others.
        """
        self.hears_all = hears_all and self.ends_ms() > now_ms
        if self.hears_all:
            self.extended_until_ms = now_ms + EXTENSION_MS

    def is_due(self, now_ms: float) -> bool:
        """Whether to confirm the record in the store now."""
        return not self.hears_all and now_ms >= self.due_ms

    def ends_ms(self) -> float:
        """Returns until when keys may be granted; 0 without a confirmation."""
        if not self.sent_ms:
            return 0.0
        confirmed_ms = CONFIRMATION_MS * (1.0 - 2.0 * lease_module.DRIFT)
        return max(self.sent_ms + confirmed_ms, self.extended_until_ms)


def hears_all(
    own: str,
    members: Iterable[str],
    entries: Mapping[str, membership.Entry],
) -> bool:
    """Whether no node is cut off from this one or lost.

    A node seals a record only if it has not heard of the other node for
    SEAL_ALONE_AFTER_MS.

    Args:
      own: name of this node.
      members: names of all nodes with a record.
      entries: entries of the other nodes, by name.
    """
    for name in members:
        if name == own:
            continue
        entry = entries.get(name)
        if entry is None or entry.suspected:
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
