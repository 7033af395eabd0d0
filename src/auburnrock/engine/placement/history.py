"""Limits how many shards may move, and how soon a shard may move again.

Every node records each change of owner that appears in its replica of the
store, whichever node made it, so that the limits still hold when another node
becomes the assigner.
"""

import collections

from auburnrock import records
from auburnrock.engine import members as members_lib
from auburnrock.engine import pages as pages_lib

BUDGET_WINDOW_MS = 60_000
"""Length of the sliding window in which planned moves count against the
service's churn limit per minute."""
REST_MS = 180_000
"""Time after a move during which the same shard is not moved again; longer
than `BUDGET_WINDOW_MS`."""


class MoveHistory:
    """Changes of owner of one service's shards within the last `REST_MS`.

    A node that has just started knows no history. It treats the budget of its
    first window as used up, so that a restart does not allow a second budget.

    Attributes:
      started_ms: when recording began.
      moved: time and shard of each change of owner, oldest first.
      planned_ms: times of the planned moves within the budget window, oldest
        first.
    """

    __slots__ = ("moved", "planned_ms", "started_ms")

    def __init__(self, started_ms: int):
        self.started_ms = started_ms
        self.moved: collections.deque[tuple[int, int]] = collections.deque()
        self.planned_ms: collections.deque[int] = collections.deque()

    def record(self, now_ms: int, shard: int, planned: bool = True) -> None:
        """Records a change of owner.

        Args:
          now_ms: when the change was observed.
          shard: number of the shard.
          planned: False if the former owner had ended or was draining; such a
            move does not count against the budget, but the shard still may
            not move again within `REST_MS`.
        """
        self.discard_expired(now_ms)
        self.moved.append((now_ms, shard))
        if planned:
            self.planned_ms.append(now_ms)

    def discard_expired(self, now_ms: int) -> None:
        """Discards the moves that no longer limit others."""
        while self.moved and self.moved[0][0] <= now_ms - REST_MS:
            self.moved.popleft()
        oldest_ms = now_ms - BUDGET_WINDOW_MS
        while self.planned_ms and self.planned_ms[0] <= oldest_ms:
            self.planned_ms.popleft()

    def budget(self, now_ms: int, churn_per_minute: int) -> int:
        """Returns how many shards may still move in the current window."""
        if now_ms - self.started_ms < BUDGET_WINDOW_MS:
            return 0
        self.discard_expired(now_ms)
        return max(0, churn_per_minute - len(self.planned_ms))

    def resting(self, now_ms: int) -> frozenset[int]:
        """Returns the shards that moved within the last `REST_MS`."""
        self.discard_expired(now_ms)
        return frozenset(shard for _, shard in self.moved)


class MoveHistories:
    """Move histories of all services, built from the pages of the replica.

    Attributes:
      started_ms: when recording began.
      by_service: history of each service by the service's name.
    """

    __slots__ = ("_last_entries", "by_service", "started_ms")

    def __init__(self, started_ms: int):
        self.started_ms = started_ms
        self.by_service: dict[str, MoveHistory] = {}
        self._last_entries: dict[str, list[records.ShardEntry]] = {}

    def for_service(self, service: str) -> MoveHistory:
        """Returns the history of a service; creates it if there is none."""
        if service not in self.by_service:
            self.by_service[service] = MoveHistory(self.started_ms)
        return self.by_service[service]

    def on_page(
        self, page: pages_lib.Page, members: members_lib.Members, now_ms: int
    ) -> None:
        """Records the changes of owner between two versions of a page.

        The first version of a page that the node reads counts as no change.
        """
        previous = self._last_entries.get(page.key, [])
        self._last_entries[page.key] = page.record.entries
        history = self.for_service(page.record.service)
        changes = zip(previous, page.record.entries, strict=False)
        for shard, (old, new) in enumerate(changes, page.first_shard):
            if old.owner not in (records.NO_OWNER, new.owner):
                planned = members.is_active(old.owner)
                history.record(now_ms, shard, planned)
