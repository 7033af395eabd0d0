"""What a node counts of its own requests, window by window.

Requests are counted by shard when they arrive, so that those that the target
has no room for count as load too. The time in the target is counted apart, for
the capacity (see capacity.py).
"""

import collections

import datasketches
import msgspec

from auburnrock.engine import pages as pages_lib
from auburnrock.engine.placement import capacity
from auburnrock.engine.placement import hot_keys

SMOOTHING = 0.4
"""Weight of the latest window in a rate."""
WINDOWS = (2 - SMOOTHING) / SMOOTHING
"""Equal windows that a rate smoothed so is as exact as."""
LOG2_DISTINCT = 10
"""Size of the sketch of distinct keys; its standard error is about 3%."""


class Load(msgspec.Struct, frozen=True):
    """What was seen of one service until the end of the latest window.

    Attributes:
      rates: requests a second of each shard that the node owns.
      keys: estimate of the distinct keys in the latest window with requests.
    """

    rates: dict[int, float]
    keys: int


_NOTHING = Load({}, 0)


class LoadMeter:
    """Counts the requests of one node.

    Attributes:
      window_started_ms: when the current window began.
      loads: what was seen of each service.
      hot: hottest keys of each service.
    """

    __slots__ = (
        "_ages",
        "_completed",
        "_counts",
        "_distinct",
        "_failed",
        "_in_flight",
        "_in_flight_ms",
        "_noted_ms",
        "hot",
        "loads",
        "window_started_ms",
    )

    def __init__(self, now_ms: int):
        self.window_started_ms = now_ms
        self.loads: dict[str, Load] = {}
        self.hot: dict[str, hot_keys.HotKeys] = {}
        self._ages: dict[pages_lib.ServiceShard, int] = {}
        self._counts: collections.Counter = collections.Counter()
        self._distinct: dict[str, datasketches.hll_sketch] = {}
        self._in_flight = 0
        self._noted_ms = now_ms
        self._forget_window()

    def arrived(self, place: pages_lib.ServiceShard, key: str, now_ms: int):
        """Counts a request that this node may run."""
        self._counts[place] += 1
        if not key:
            return
        hot = self.hot.get(place.service)
        if hot is None:
            hot = self.hot[place.service] = hot_keys.HotKeys(now_ms)
            self._distinct[place.service] = _distinct_sketch()
        hot.count(now_ms, key)
        self._distinct[place.service].update(key)

    def sent(self, now_ms: int) -> None:
        """Counts a request that goes to the target."""
        self._pass_time(now_ms)
        self._in_flight += 1

    def ended(self, now_ms: int, completed: bool) -> None:
        """Counts the end of a request at the target."""
        self._pass_time(now_ms)
        self._in_flight -= 1
        assert self._in_flight >= 0, "more requests ended than were sent"
        if completed:
            self._completed += 1
        else:
            self._failed += 1

    def of(self, service: str) -> Load:
        """What was seen of a service."""
        return self.loads.get(service, _NOTHING)

    def roll(
        self, now_ms: int, owned: list[pages_lib.ServiceShard]
    ) -> capacity.OutcomeWindow:
        """Ends the window; returns what it says about the target.

        Shards that are not owned any more are forgotten, so that a move shows
        in the node's next total.
        """
        self._pass_time(now_ms)
        duration_ms = max(1, now_ms - self.window_started_ms)
        window = capacity.OutcomeWindow(
            duration_ms=duration_ms,
            completed=self._completed,
            failed=self._failed,
            in_flight_ms=self._in_flight_ms,
        )
        before = self.loads
        self.loads = {}
        self._ages = {place: self._ages.get(place, 0) + 1 for place in owned}
        for place in owned:
            load = self.loads.get(place.service)
            if load is None:
                load = Load({}, self._keys(place.service, before))
                self.loads[place.service] = load
            known = before.get(place.service, _NOTHING)
            latest = self._counts[place] * 1000 / duration_ms
            load.rates[place.shard] = self._smoothed(place, known, latest)
        self.window_started_ms = now_ms
        self._forget_window()
        return window

    def _smoothed(
        self, place: pages_lib.ServiceShard, known: Load, latest: float
    ) -> float:
        """A shard's rate; its first window was cut, so the second replaces."""
        rate = known.rates.get(place.shard, latest)
        full_windows = self._ages[place] - 1
        weight = max(SMOOTHING, 1 / max(1, full_windows))
        return rate + weight * (latest - rate)

    def _keys(self, service: str, before: dict[str, Load]) -> int:
        sketch = self._distinct.get(service)
        if sketch is None or sketch.is_empty():
            return before.get(service, _NOTHING).keys
        self._distinct[service] = _distinct_sketch()
        return max(1, round(sketch.get_estimate()))

    def _pass_time(self, now_ms: int) -> None:
        self._in_flight_ms += self._in_flight * (now_ms - self._noted_ms)
        self._noted_ms = now_ms

    def _forget_window(self) -> None:
        self._counts.clear()
        self._completed = 0
        self._failed = 0
        self._in_flight_ms = 0


def _distinct_sketch() -> datasketches.hll_sketch:
    """HyperLogLog (P. Flajolet et al., AofA 2007)."""
    return datasketches.hll_sketch(LOG2_DISTINCT)
