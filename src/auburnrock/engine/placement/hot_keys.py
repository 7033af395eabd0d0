"""Finds the hottest keys of a node in bounded memory.

Uses the frequent items sketch of the datasketches library (D. Anderson et al.,
"A high-performance algorithm for identifying frequent items in data streams",
IMC 2017). Two sketches are used alternately: one counts the current window, the
other holds the previous window, and older counts are discarded. A key that
becomes hot is therefore found within one window, and a key that is no longer
requested is dropped within two.

Error: a sketch of 2^LOG2_MAP_SIZE counters gives each count with an error of at
most 3.5 / 2^LOG2_MAP_SIZE of the window's requests, which is 0.09% for 4,096. A
node counts only keys that it owns, so this is a share of its own requests.
"""

import datasketches
import msgspec

MAX_HOT_KEYS = 78
"""Maximum number of keys that a list of the hottest keys has, and maximum
number of keys of a service with a shard of their own."""
WINDOW_MS = 30_000
"""Length of a counting window."""
LOG2_MAP_SIZE = 12
"""Logarithm to base 2 of the number of counters of a sketch."""


class HotKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A key and its request rate.

    Attributes:
      rate: upper bound of the key's requests a second.
      error: difference between the upper and the lower bound, in requests a
        second.
      key: the key.
    """

    rate: float
    error: float
    key: str


class HotKeyCounter:
    """Counts requests by key over the last one to two windows.

    Attributes:
      window_started_ms: when the current window began.
      current: counts of the current window.
      previous: counts of the previous window, which is complete.
    """

    __slots__ = ("current", "previous", "window_started_ms")

    def __init__(self, now_ms: int):
        self.window_started_ms = now_ms
        self.current = _new_sketch()
        self.previous = _new_sketch()

    def count(self, now_ms: int, key: str) -> None:
        """Counts one request for a key."""
        self.roll(now_ms)
        self.current.update(key)

    def roll(self, now_ms: int) -> None:
        """Begins a new window if the current one has ended."""
        windows = (now_ms - self.window_started_ms) // WINDOW_MS
        if windows <= 0:
            return
        self.previous = self.current if windows == 1 else _new_sketch()
        self.current = _new_sketch()
        self.window_started_ms += windows * WINDOW_MS

    def hottest(self, now_ms: int, limit: int = MAX_HOT_KEYS) -> list[HotKey]:
        """Returns the keys with the highest request rates, hottest first.

        The rate of a key is the greater of its rates in the two windows, so
        that a key that has just become hot is listed. The rate in the current
        window is taken over at least half a window.
        """
        self.roll(now_ms)
        elapsed_ms = max(WINDOW_MS // 2, now_ms - self.window_started_ms)
        by_key: dict[str, HotKey] = {}
        for sketch, span_ms in (
            (self.current, elapsed_ms),
            (self.previous, WINDOW_MS),
        ):
            for hot in _most_frequent(sketch, span_ms, limit):
                existing = by_key.get(hot.key)
                if existing is None or hot > existing:
                    by_key[hot.key] = hot
        return sorted(by_key.values(), reverse=True)[:limit]


def merge(
    reports: list[list[HotKey]], limit: int = MAX_HOT_KEYS
) -> list[HotKey]:
    """Returns the hottest keys of all nodes, whatever the order of `reports`.

    A key has one owner, so rates of the same key are not added. After a move
    two nodes may both report the key; the greater rate is used.
    """
    by_key: dict[str, HotKey] = {}
    for report in reports:
        for hot in report:
            by_key[hot.key] = max(hot, by_key.get(hot.key, hot))
    return sorted(by_key.values(), reverse=True)[:limit]


def _new_sketch() -> datasketches.frequent_strings_sketch:
    return datasketches.frequent_strings_sketch(LOG2_MAP_SIZE)


def _most_frequent(
    sketch: datasketches.frequent_strings_sketch, span_ms: int, limit: int
) -> list[HotKey]:
    """Returns the most frequent keys of one sketch with their rates."""
    items = sketch.get_frequent_items(
        datasketches.frequent_items_error_type.NO_FALSE_NEGATIVES
    )
    per_second = 1000 / span_ms
    hot = [
        HotKey(upper * per_second, (upper - lower) * per_second, key)
        for key, _, lower, upper in items
    ]
    return sorted(hot, reverse=True)[:limit]
