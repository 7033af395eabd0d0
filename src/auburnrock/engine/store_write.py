"""One change of one record by compare-and-swap, until its outcome is known.

The store's answer can be lost after the write took effect, and a write whose
answer was lost may still be in flight. Reading the old value back therefore
proves nothing. Two facts determine the outcome:

* Revisions never repeat. Once the record has another revision than the
  expected one, no copy of the write can take effect any more.
* The record contains a writer that no other write has, so its content shows
  whether this write took effect.

The same write may be repeated, since at most one copy can match the expected
revision. Before the write is abandoned, the old value is written with another
writer (the fence). That changes the revision, so a late copy of the write
fails its compare.
"""

import enum

import msgspec

from auburnrock.engine import actions
from auburnrock.engine import backoff
from auburnrock.engine import chart
from auburnrock.store import base as platform_base

RETRY_MS = 100
REPEATS = 2

_CHART = chart.load("store_write.json")


class OutcomeKind(str, enum.Enum):
    """How a change ended.

    WON: the record contains the change.
    LOST: the record has another value, and the change cannot take effect any
      more. It may have been in effect for a while before it was replaced.
    GIVEN_UP: the record has the old value with a new writer, and the change
      cannot take effect any more.
    NOT_WRITTEN: the store was unavailable; the change had no effect and never
      will.
    """

    WON = "won"
    LOST = "lost"
    GIVEN_UP = "given_up"
    NOT_WRITTEN = "not_written"


class Outcome(msgspec.Struct, frozen=True):
    """The result of a change.

    Attributes:
      kind: how the change ended.
      current: the record in the store's last answer; None if it does not
        exist or, for NOT_WRITTEN, was not read.
    """

    kind: OutcomeKind
    current: platform_base.Value | None


class Change(msgspec.Struct, frozen=True):
    """A change of one record.

    Attributes:
      key: the record's key in the store.
      data: the new record; it contains `writer`.
      writer: text that no other write of any process has.
      expected_revision: revision of the value to replace; 0 to create.
      fence: the old record with another unique writer, written before the
        change is abandoned; None to repeat the change until its outcome is
        known.
    """

    key: str
    data: bytes
    writer: str
    expected_revision: int
    fence: bytes | None = None


class StoreWrite:
    """Writes one change to the store.

    `retry_ms` is the first wait after a failed call. `repeats` limits how
    often the change is repeated before the fence is written.

    The caller calls `start` once, `on_result` with each result whose token
    `owns` accepts, and `tick` at least every retry interval.

    Attributes:
      change: the change to write.
      state: state of the chart in store_write.json.
      outcome: the result of the change; None until it is known.
      backoff: delays after failed calls.
      repeats_left: how many repeats remain before the fence is written.
      retry_at_ms: when `tick` next calls the store; None if not waiting.
      call_count: number of store calls made; makes their tokens unique.
    """

    __slots__ = (
        "backoff",
        "call_count",
        "change",
        "outcome",
        "repeats_left",
        "retry_at_ms",
        "state",
    )

    def __init__(
        self,
        change: Change,
        retry_ms: int = RETRY_MS,
        repeats: int = REPEATS,
    ):
        assert change.writer.encode() in change.data, (
            f"the record for {change.key} does not hold its writer"
            f" {change.writer!r}; set the record's writer field"
        )
        assert change.fence != change.data, (
            "the fence needs a writer other than the change's"
        )
        self.change = change
        self.state = _CHART.initial
        self.outcome: Outcome | None = None
        self.backoff = backoff.Backoff(retry_ms, change.writer)
        self.repeats_left = repeats
        self.retry_at_ms: int | None = None
        self.call_count = 0

    def start(self, now_ms: int) -> list[actions.Action]:
        """Sends the first write."""
        return self._apply(now_ms, "start")

    def owns(self, token: str) -> bool:
        """Whether the token of a store result belongs to this change."""
        return token.rpartition("#")[0] == self.change.writer

    def on_result(
        self, now_ms: int, result: actions.StoreResult
    ) -> tuple[list[actions.Action], Outcome | None]:
        """Handles the result of the latest call; others are ignored.

        Returns:
          The next actions, and the outcome or None until it is known.
        """
        is_latest = result.token == self._token()
        if not is_latest or _CHART.is_final(self.state):
            return [], self.outcome
        event = self._event(result)
        if not _CHART.accepts(self.state, event):
            # This requires a contradictory answer of the store, such as a
            # swap refused although the expected revision is the current one.
            event = "unknown"
        issued = self._apply(now_ms, event)
        if _CHART.is_final(self.state):
            self.outcome = Outcome(OutcomeKind(self.state), result.current)
        return issued, self.outcome

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Calls the store again when the wait is over."""
        if self.retry_at_ms is None or now_ms < self.retry_at_ms:
            return []
        self.retry_at_ms = None
        return self._apply(now_ms, "due")

    def _apply(self, now_ms: int, event: str) -> list[actions.Action]:
        transition = _CHART.next(self.state, event)
        self.state = transition.to
        if transition.do == "wait":
            self.retry_at_ms = now_ms + self.backoff.delay_ms()
            return []
        if transition.do == "send_write":
            return [self._swap(self.change.data)]
        if transition.do == "send_fence":
            assert self.change.fence is not None
            return [self._swap(self.change.fence)]
        if transition.do == "send_read":
            self.call_count += 1
            return [actions.Read(self._token(), self.change.key)]
        return []

    def _event(self, result: actions.StoreResult) -> str:
        if result.outcome is actions.StoreOutcome.UNAVAILABLE:
            return "refused"
        if result.outcome is actions.StoreOutcome.UNKNOWN:
            return "unknown"
        was_read = self.state == "reading"
        if result.outcome is actions.StoreOutcome.DONE and not was_read:
            return "taken"
        return self._event_for_value(result.current)

    def _event_for_value(self, current: platform_base.Value | None) -> str:
        """The chart's event for the record's current value."""
        data = None if current is None else current.data
        if data == self.change.data:
            return "ours"
        if data is not None and data == self.change.fence:
            return "fence"
        revision = 0 if data is None else current.revision
        if revision != self.change.expected_revision:
            return "replaced"
        if self.repeats_left == 0 and self.change.fence is not None:
            return "old_again"
        if self.repeats_left > 0:
            self.repeats_left -= 1
        return "old"

    def _swap(self, data: bytes) -> actions.Swap:
        self.call_count += 1
        return actions.Swap(
            self._token(), self.change.key, data, self.change.expected_revision
        )

    def _token(self) -> str:
        return f"{self.change.writer}#{self.call_count}"
