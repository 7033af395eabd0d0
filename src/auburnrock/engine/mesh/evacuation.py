"""Zones that the operator evacuates, and whether requests may be sent there.

Every node decides for itself from the operator's keys in the store. Requests
that any target may run stop at once. Requests for a key are sent to the key's
owner until the key has moved to another zone, and at the latest until a margin
before the bound.

The bound counts from the store's acknowledgement to the operator, which is
earlier than a node's knowledge of the key. The difference is assumed to be at
most LEARN_DELAY_MS for a change that arrives by a watch or by gossip. A change
that is learned later, for example at a restart, may be of any age, so no
request for a key is sent any more.
"""

from collections.abc import Iterable
import math

import msgspec

from auburnrock.engine.mesh import coordination_store

LEARN_DELAY_MS = 1_000.0
"""Assumed longest time, in milliseconds, between the store's acknowledgement of
a change and this node's knowledge of it: a store response that is delayed, and
gossip over a few nodes."""

SEND_MARGIN_MS = 600.0
"""Time, in milliseconds, before the bound from which requests for a key are
refused. A request that an entry sends earlier must pass the link between two
nodes and wait for a slot before it reaches the target."""

REMOVED_MAX = 64
"""Limit of the removed keys that are kept for peers that missed the removal.
Deployments have at most 8 zones."""


class Change(msgspec.Struct, frozen=True):
    """The beginning or the end of a zone's evacuation.

    Attributes:
      zone: the zone.
      is_evacuated: whether the evacuation has begun.
      left_ms: time for which requests for a key may still be sent, in
        milliseconds.
    """

    zone: str
    is_evacuated: bool
    left_ms: float = 0.0


class Evacuations:
    """The evacuated zones as this node knows them.

    Attributes:
      prefix: prefix of the operator's keys; the zone's name follows it.
      bound_ms: time after the acknowledgement from which no request may reach a
        target in the zone.
      items: latest item of each key, including removed keys.
      ends_ms: time from which requests for a key are refused, by zone.
      late_revision: changes up to this revision were known to a peer for so
        long that their age is unknown.
      changes: number of changes so far, by which callers detect a change.
    """

    __slots__ = (
        "bound_ms",
        "changes",
        "ends_ms",
        "items",
        "late_revision",
        "prefix",
    )

    def __init__(self, prefix: str = "", bound_ms: float = 0.0):
        self.prefix = prefix
        self.bound_ms = bound_ms
        self.items: dict[str, coordination_store.Item] = {}
        self.ends_ms: dict[str, float] = {}
        self.late_revision = 0
        self.changes = 0

    def apply(
        self,
        now_ms: float,
        items: Iterable[coordination_store.Item],
        unread_ms: float = 0.0,
    ) -> list[Change]:
        """Applies the operator's items; other keys and older ones are ignored.

        Args:
          now_ms: the time.
          items: items of the store.
          unread_ms: time for which this node could have missed the change;
            infinite if it is unknown.

        Returns:
          The evacuations that have begun or ended, in their order.
        """
        changes = []
        for item in items:
            zone = item.key.removeprefix(self.prefix)
            if not item.key.startswith(self.prefix) or not zone:
                continue
            known = self.items.pop(item.key, None)
            if known is not None and known.revision >= item.revision:
                self.items[item.key] = known
                continue
            self.items[item.key] = item
            if item.value is None:
                if self.ends_ms.pop(zone, None) is not None:
                    changes.append(Change(zone, is_evacuated=False))
            elif zone not in self.ends_ms:
                age_ms = max(LEARN_DELAY_MS, unread_ms)
                if item.revision <= self.late_revision:
                    age_ms = math.inf
                left_ms = max(0.0, self.bound_ms - age_ms - SEND_MARGIN_MS)
                self.ends_ms[zone] = now_ms + left_ms
                changes.append(Change(zone, is_evacuated=True, left_ms=left_ms))
        self._limit_removed()
        self.changes += len(changes)
        return changes

    def on_missed(self, version: int) -> None:
        """Records that a peer has known this version for a while."""
        self.late_revision = max(self.late_revision, version)

    def version(self) -> int:
        """Returns the latest revision of the known items; 0 without any."""
        return max((item.revision for item in self.items.values()), default=0)

    def is_evacuated(self, zone: str) -> bool:
        """Whether a zone is evacuated."""
        return zone in self.ends_ms

    def may_send(self, now_ms: float, zone: str, is_keyed: bool) -> bool:
        """Whether a request may be sent to a target in a zone now.

        Args:
          now_ms: the time.
          zone: zone of the target.
          is_keyed: whether only the owner of its key may run the request.
        """
        ends_ms = self.ends_ms.get(zone)
        return ends_ms is None or (is_keyed and now_ms < ends_ms)

    def _limit_removed(self) -> None:
        removed = [
            key for key, item in self.items.items() if item.value is None
        ]
        for key in removed[: max(0, len(removed) - REMOVED_MAX)]:
            del self.items[key]
