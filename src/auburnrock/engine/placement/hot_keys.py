"""The hottest keys of a node, within a bounded memory.

Frequent items sketch of the datasketches library (D. Anderson et al., "A
high-performance algorithm for identifying frequent items in data streams",
IMC 2017). Two sketches take turns: one counts the current window, the other
holds the one before, and what is older is forgotten. A key that has become hot
is therefore found within one window, and one that has cooled is dropped within
two.

Error: a sketch of 2^LOG2_MAP_SIZE counters states each count with an error of
at most 3.5 / 2^LOG2_MAP_SIZE of the window's requests, 0.09% for 4,096. A node
counts only keys that it owns, so this is a share of its own requests.
"""

import datasketches
import msgspec

HOTTEST = 78
"""Keys that are reported."""
WINDOW_MS = 30_000
LOG2_MAP_SIZE = 12


class HotKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One key and how often it is asked for.

    Attributes:
      rate: requests a second as counted, or up to `error` more.
      error: how much too high `rate` may be, in requests a second.
      key: the key.
    """

    rate: float
    error: float
    key: str


class HotKeys:
    """Counts requests by key over the last one to two windows.

    Attributes:
      window_started_ms: when the current window began.
      current: counts of the current window.
      previous: counts of the window before, which was full.
    """

    __slots__ = ("current", "previous", "window_started_ms")

    def __init__(self, now_ms: int):
        self.window_started_ms = now_ms
        self.current = _sketch()
        self.previous = _sketch()

    def count(self, now_ms: int, key: str) -> None:
        """Counts one request."""
        self.roll(now_ms)
        self.current.update(key)

    def roll(self, now_ms: int) -> None:
        """Begins a new window if the current one is over."""
        windows = (now_ms - self.window_started_ms) // WINDOW_MS
        if windows <= 0:
            return
        self.previous = self.current if windows == 1 else _sketch()
        self.current = _sketch()
        self.window_started_ms += windows * WINDOW_MS

    def hottest(self, now_ms: int, limit: int = HOTTEST) -> list[HotKey]:
        """The keys asked for most, hottest first.

        The rate is the greater of the two windows', the current one's over at
        least half a window, so that a key that has just become hot shows.
        """
        self.roll(now_ms)
        elapsed_ms = max(WINDOW_MS // 2, now_ms - self.window_started_ms)
        found: dict[str, HotKey] = {}
        for sketch, span_ms in (
            (self.current, elapsed_ms),
            (self.previous, WINDOW_MS),
        ):
            for hot in _top(sketch, span_ms, limit):
                known = found.get(hot.key)
                if known is None or hot > known:
                    found[hot.key] = hot
        return sorted(found.values(), reverse=True)[:limit]


def merge(reports: list[list[HotKey]], limit: int = HOTTEST) -> list[HotKey]:
    """The hottest keys of all nodes; any order gives the same result.

    A key has one owner, so its rates are not added. After a move two nodes
    may still name it and the greater rate counts.
    """
    by_key: dict[str, HotKey] = {}
    for report in reports:
        for hot in report:
            by_key[hot.key] = max(hot, by_key.get(hot.key, hot))
    return sorted(by_key.values(), reverse=True)[:limit]


def _sketch() -> datasketches.frequent_strings_sketch:
    return datasketches.frequent_strings_sketch(LOG2_MAP_SIZE)


def _top(
    sketch: datasketches.frequent_strings_sketch, span_ms: int, limit: int
) -> list[HotKey]:
    """The most frequent items of one sketch as rates."""
    items = sketch.get_frequent_items(
        datasketches.frequent_items_error_type.NO_FALSE_NEGATIVES
    )
    per_second = 1000 / span_ms
    hot = [
        HotKey(upper * per_second, (upper - lower) * per_second, key)
        for key, _, lower, upper in items
    ]
    return sorted(hot, reverse=True)[:limit]
