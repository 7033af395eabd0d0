"""Measures the load of a node's own requests, window by window.

Requests are counted by shard when they arrive, so that requests that the
target has no free slot for count as load too. The time that requests spend in
the target is measured separately, to estimate its capacity (see capacity.py).
"""

import collections

import datasketches
import msgspec

from auburnrock.engine import pages as pages_lib
from auburnrock.engine.placement import capacity
from auburnrock.engine.placement import hot_keys

SMOOTHING = 0.4
"""Weight of the latest window in the exponential moving average of a rate."""
EFFECTIVE_WINDOWS = (2 - SMOOTHING) / SMOOTHING
"""Number of windows whose plain mean is as exact as a rate smoothed with
`SMOOTHING`."""
LOG2_SKETCH_SIZE = 10
"""Logarithm to base 2 of the size of the sketch that counts distinct keys,
whose standard error is about 3%."""


class Load(msgspec.Struct, frozen=True):
    """Load of one service at the end of the latest window.

    Attributes:
      rates: requests a second of each shard that the node owns.
      keys: estimated number of distinct keys in the latest window that had
        requests.
    """

    rates: dict[int, float]
    keys: int


_NO_LOAD = Load({}, 0)


class LoadMeter:
    """Measures the load of one node.

    Attributes:
      window_started_ms: when the current window began.
      loads: load of each service at the end of the latest window.
      hot: counter of the hottest keys of each service.
    """

    __slots__ = (
        "_ages",
        "_completed",
        "_counted_until_ms",
        "_counts",
        "_distinct",
        "_failed",
        "_in_flight",
        "_in_flight_ms",
        "hot",
        "loads",
        "window_started_ms",
    )

    def __init__(self, now_ms: int):
        self.window_started_ms = now_ms
        self.loads: dict[str, Load] = {}
        self.hot: dict[str, hot_keys.HotKeyCounter] = {}
        self._ages: dict[pages_lib.ServiceShard, int] = {}
        self._counts: collections.Counter = collections.Counter()
        self._distinct: dict[str, datasketches.hll_sketch] = {}
        self._in_flight = 0
        self._counted_until_ms = now_ms
        self._reset_window()

    def record_arrival(
        self, shard_id: pages_lib.ServiceShard, key: str, now_ms: int
    ):
        """Counts a request that arrived for a shard that this node owns."""
        self._counts[shard_id] += 1
        if not key:
            return
        hot = self.hot.get(shard_id.service)
        if hot is None:
            hot = self.hot[shard_id.service] = hot_keys.HotKeyCounter(now_ms)
            self._distinct[shard_id.service] = _new_distinct_sketch()
        hot.count(now_ms, key)
        self._distinct[shard_id.service].update(key)

    def record_send(self, now_ms: int) -> None:
        """Records that a request is sent to the target."""
        self._add_in_flight_time(now_ms)
        self._in_flight += 1

    def record_end(self, now_ms: int, completed: bool) -> None:
        """Records that a request ended at the target."""
        self._add_in_flight_time(now_ms)
        self._in_flight -= 1
        assert self._in_flight >= 0, "more requests ended than were sent"
        if completed:
            self._completed += 1
        else:
            self._failed += 1

    def load_of(self, service: str) -> Load:
        """Returns the load of a service at the end of the latest window."""
        return self.loads.get(service, _NO_LOAD)

    def roll(
        self, now_ms: int, owned: list[pages_lib.ServiceShard]
    ) -> capacity.OutcomeWindow:
        """Ends the window and begins the next one.

        Shards that are not in `owned` are removed, so that the node's next
        total already excludes a shard that moved away.

        Returns:
          The outcomes of the target's requests in the ended window.
        """
        self._add_in_flight_time(now_ms)
        duration_ms = max(1, now_ms - self.window_started_ms)
        window = capacity.OutcomeWindow(
            duration_ms=duration_ms,
            completed=self._completed,
            failed=self._failed,
            in_flight_ms=self._in_flight_ms,
        )
        before = self.loads
        self.loads = {}
        self._ages = {
            shard_id: self._ages.get(shard_id, 0) + 1 for shard_id in owned
        }
        for shard_id in owned:
            load = self.loads.get(shard_id.service)
            if load is None:
                load = Load({}, self._distinct_keys(shard_id.service, before))
                self.loads[shard_id.service] = load
            previous = before.get(shard_id.service, _NO_LOAD)
            latest = self._counts[shard_id] * 1000 / duration_ms
            load.rates[shard_id.shard] = self._smoothed(
                shard_id, previous, latest
            )
        self.window_started_ms = now_ms
        self._reset_window()
        return window

    def _smoothed(
        self, shard_id: pages_lib.ServiceShard, previous: Load, latest: float
    ) -> float:
        """Returns a shard's rate averaged over the windows since it arrived.

        The first window of a shard is incomplete, so the rate of the second
        window replaces its rate.
        """
        rate = previous.rates.get(shard_id.shard, latest)
        full_windows = self._ages[shard_id] - 1
        weight = max(SMOOTHING, 1 / max(1, full_windows))
        return rate + weight * (latest - rate)

    def _distinct_keys(self, service: str, before: dict[str, Load]) -> int:
        sketch = self._distinct.get(service)
        if sketch is None or sketch.is_empty():
            return before.get(service, _NO_LOAD).keys
        self._distinct[service] = _new_distinct_sketch()
        return max(1, round(sketch.get_estimate()))

    def _add_in_flight_time(self, now_ms: int) -> None:
        self._in_flight_ms += self._in_flight * (
            now_ms - self._counted_until_ms
        )
        self._counted_until_ms = now_ms

    def _reset_window(self) -> None:
        self._counts.clear()
        self._completed = 0
        self._failed = 0
        self._in_flight_ms = 0


def _new_distinct_sketch() -> datasketches.hll_sketch:
    """Returns an empty HyperLogLog sketch (P. Flajolet et al., AofA 2007)."""
    return datasketches.hll_sketch(LOG2_SKETCH_SIZE)
