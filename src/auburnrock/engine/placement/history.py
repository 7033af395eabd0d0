"""Which shards moved lately, and how many more may move.

Every node records each change of owner that its replica shows, whoever made
it, so that the limits hold when the assigner changes.
"""

import collections

from auburnrock import records
from auburnrock.engine import members as members_lib
from auburnrock.engine import pages as pages_lib

BUDGET_WINDOW_MS = 60_000
REST_MS = 180_000
"""A shard that moved is left where it is for this long."""


class MoveHistory:
    """The changes of owner within the last `REST_MS` of one service.

    A node that has just started knows no history. It counts its first window
    as spent, so that a restart gives no second budget.

    Attributes:
      started_ms: when recording began.
      moved: time and shard of each change, oldest first.
      planned_ms: times of the planned moves, oldest first.
    """

    __slots__ = ("moved", "planned_ms", "started_ms")

    def __init__(self, started_ms: int):
        self.started_ms = started_ms
        self.moved: collections.deque[tuple[int, int]] = collections.deque()
        self.planned_ms: collections.deque[int] = collections.deque()

    def record(self, now_ms: int, shard: int, planned: bool = True) -> None:
        """Notes a change of owner.

        Args:
          now_ms: when it was seen.
          shard: the shard.
          planned: False if the former owner had ended or was draining: the
            shard rests, but the budget is not used.
        """
        self.forget(now_ms)
        self.moved.append((now_ms, shard))
        if planned:
            self.planned_ms.append(now_ms)

    def forget(self, now_ms: int) -> None:
        """Drops what no longer limits anything."""
        while self.moved and self.moved[0][0] <= now_ms - REST_MS:
            self.moved.popleft()
        oldest_ms = now_ms - BUDGET_WINDOW_MS
        while self.planned_ms and self.planned_ms[0] <= oldest_ms:
            self.planned_ms.popleft()

    def budget(self, now_ms: int, churn_per_minute: int) -> int:
        """How many shards may still move in the current window."""
        if now_ms - self.started_ms < BUDGET_WINDOW_MS:
            return 0
        self.forget(now_ms)
        return max(0, churn_per_minute - len(self.planned_ms))

    def resting(self, now_ms: int) -> frozenset[int]:
        """The shards that moved within the last `REST_MS`."""
        self.forget(now_ms)
        return frozenset(shard for _, shard in self.moved)


class Histories:
    """The history of each service, from the pages that the replica shows.

    Attributes:
      started_ms: see MoveHistory.
      by_service: the histories.
    """

    __slots__ = ("_entries", "by_service", "started_ms")

    def __init__(self, started_ms: int):
        self.started_ms = started_ms
        self.by_service: dict[str, MoveHistory] = {}
        self._entries: dict[str, list[records.ShardEntry]] = {}

    def of(self, service: str) -> MoveHistory:
        """The history of a service."""
        if service not in self.by_service:
            self.by_service[service] = MoveHistory(self.started_ms)
        return self.by_service[service]

    def on_page(
        self, page: pages_lib.Page, members: members_lib.Members, now_ms: int
    ) -> None:
        """Records the owners that a page changes; the first look is none."""
        before = self._entries.get(page.key, [])
        self._entries[page.key] = page.record.entries
        history = self.of(page.record.service)
        changes = zip(before, page.record.entries, strict=False)
        for shard, (old, new) in enumerate(changes, page.first_shard):
            if old.owner not in (records.NO_OWNER, new.owner):
                planned = members.is_active(old.owner)
                history.record(now_ms, shard, planned)
