"""Limit of the bytes that a process keeps for messages of all connections.

Each message has a limit of its own. Many messages at once would still exceed
the memory of the process, so what they hold is added up here. If the sum
exceeds the limit, the largest holders that can be dropped are: a sender that
does not stop grows largest, and other messages continue. If none can be
dropped, new requests are refused before they run.
"""

import abc
from collections.abc import Hashable
import math

MEMORY_SHARE = 0.2
"""Share of the process's memory limit that the holders may use. A message is
copied up to three times on its way."""

COPIES_MAX = 3
"""Largest number of copies of a message on its way."""

BASE_BYTES = 64 << 20
"""Memory that a process uses besides messages: 34 MB at its start, the rest for
the items of a large fleet and for the allocator."""

LONE_COPIES_MAX = 2
"""Largest number of copies of a long message at any moment. All copies of one
message do not exist at once."""

COUNTED_MIN_BYTES = 4 << 10
"""Size from which a holder is counted by itself and can be dropped. Smaller
ones are only added up, in `small_bytes`."""

FIXED_MIN_BYTES = 64 << 10
"""Size from which a holder that cannot be dropped is counted by itself."""

DROP_SHARE = 0.9
"""Share of the limit down to which holders are dropped once it is exceeded, so
that the holders are not sorted for each received part."""

LONG_SHARE = 0.25
"""Share of the limit above which a message is long."""

LONE_REST_SHARE = 0.125
"""Share of the limit that everything else may use beside a lone long message:
heartbeats, checks and calls of the store go on."""

SHORT_SHARE = 0.5
"""Share of the limit above which the process is short of memory."""

HEADER_OVERHEAD_BYTES = 200
"""Memory that a header uses in addition to its name and value."""

REQUEST_BYTES = 8 << 10
"""Memory of a running request besides its head and body: its task, its timers
and its metrics."""

RESPONSE_BYTES = 1 << 10
"""Memory of a waiting response besides its body."""

CONNECTION_BYTES = 8 << 10
"""Memory of a connection without a request: 900 of them used 3 MB, and the
operating system keeps about as much."""

CONNECTIONS_MEMORY_SHARE = 1 / 8
"""Share of the process's memory limit that callers' connections may use."""

RESERVED_DESCRIPTORS = 200
"""Descriptors of files, which connections do not use."""

CALLERS_DESCRIPTORS_SHARE = 0.75
"""Share of the other descriptors that callers' connections may use. The rest is
for the target, the store, other nodes, the other servers and connections that
are accepted and refused."""

INTERNAL_CONNECTIONS_SHARE = 1 / 16
"""Connections of each other server, such as that of the metrics, in proportion
to those of callers."""


class Holder:
    """Base of holders whose bytes `ByteBudget.count` adds up.

    Attributes:
      counted_bytes: bytes that are counted for the holder.
      is_listed: whether it is counted by itself, unless it was dropped since.
    """

    __slots__ = ("counted_bytes", "is_listed")

    def __init__(self):
        self.counted_bytes = 0
        self.is_listed = False


class DroppableHolder(Holder, abc.ABC):
    """Base of holders that free their bytes if the process is short of them."""

    __slots__ = ()

    @abc.abstractmethod
    def drop(self) -> None:
        """Frees what the holder keeps."""


class ByteBudget:
    """The bytes that each holder keeps.

    Attributes:
      limit_bytes: limit of the sum.
      lone_limit_bytes: limit of one long message while all else is little.
      used_bytes: bytes of all holders that are counted by themselves.
      small_bytes: bytes of all others, and of connections.
      droppable: bytes of the holders that can be dropped.
      fixed: bytes of the holders that cannot.
      long: bytes of the holders with more than LONG_SHARE of the limit.
    """

    __slots__ = (
        "droppable",
        "fixed",
        "limit_bytes",
        "lone_limit_bytes",
        "long",
        "small_bytes",
        "used_bytes",
    )

    def __init__(self, limit_bytes: float, lone_limit_bytes: float = 0.0):
        self.limit_bytes = limit_bytes
        self.lone_limit_bytes = lone_limit_bytes
        self.used_bytes = 0
        self.small_bytes = 0
        self.droppable: dict[Hashable, int] = {}
        self.fixed: dict[Hashable, int] = {}
        self.long: dict[Hashable, int] = {}

    def count(
        self, holder: Holder, size: int, droppable: bool = True
    ) -> list[Holder]:
        """Sets the bytes of a holder of any size; 0 releases it.

        Returns:
          Holders to drop, the largest first. They are no longer counted.
        """
        if holder.is_listed:
            holder.is_listed = False
            self.release(holder)
        else:
            self.small_bytes -= holder.counted_bytes
        holder.counted_bytes = size
        if size < (COUNTED_MIN_BYTES if droppable else FIXED_MIN_BYTES):
            self.small_bytes += size
            return []
        holder.is_listed = True
        return self.hold(holder, size, droppable)

    def hold(
        self, holder: Hashable, size: int, droppable: bool = True
    ) -> list[Hashable]:
        """Sets the bytes of a holder, if it has COUNTED_MIN_BYTES or more.

        Args:
          holder: the holder.
          size: bytes that it keeps now.
          droppable: whether the holder can be dropped.

        Returns:
          Holders to drop, the largest first. They are no longer counted.
        """
        self.release(holder)
        if size < COUNTED_MIN_BYTES:
            return []
        (self.droppable if droppable else self.fixed)[holder] = size
        self.used_bytes += size
        if size > LONG_SHARE * self.limit_bytes:
            self.long[holder] = size
        if self.fits(1.0):
            return []
        return self._take_largest()

    def _take_largest(self) -> list[Hashable]:
        """Removes the largest holders until the sum fits again."""
        dropped = []
        for largest in sorted(
            self.droppable, key=self.droppable.__getitem__, reverse=True
        ):
            if self.fits(DROP_SHARE):
                break
            self.release(largest)
            dropped.append(largest)
        return dropped

    def fits(self, share: float) -> bool:
        """Whether the sum is within a share of the limit.

        One long message may exceed it while all else is little.
        """
        total = self.used_bytes + self.small_bytes
        if total <= share * self.limit_bytes:
            return True
        if len(self.long) != 1:
            return False
        (size,) = self.long.values()
        rest_limit_bytes = share * LONE_REST_SHARE * self.limit_bytes
        return size <= self.lone_limit_bytes and total - size <= (
            rest_limit_bytes
        )

    def kept_bytes(self) -> int:
        """Returns the sum of all that is counted."""
        return self.used_bytes + self.small_bytes

    def is_full(self) -> bool:
        """Whether there is no memory for another request."""
        return not self.fits(1.0)

    def is_short(self) -> bool:
        """Whether readers that stand still are disconnected."""
        total = self.used_bytes + self.small_bytes
        return total > SHORT_SHARE * self.limit_bytes

    def release(self, holder: Hashable) -> None:
        """Removes a holder, if it is counted by itself."""
        size = self.droppable.pop(holder, 0) or self.fixed.pop(holder, 0)
        self.used_bytes -= size
        if size > LONG_SHARE * self.limit_bytes:
            del self.long[holder]


def budget_of(memory_bytes: int) -> ByteBudget:
    """Returns the budget of a process with a memory limit."""
    # Half of the share where the limit hardly exceeds the usual use.
    free_bytes = memory_bytes - BASE_BYTES
    share_bytes = MEMORY_SHARE * memory_bytes
    limit_bytes = max(
        min(share_bytes, free_bytes / COPIES_MAX), share_bytes / 2
    )
    return ByteBudget(limit_bytes, free_bytes / LONE_COPIES_MAX)


def connections_max(memory_bytes: int, descriptors: int) -> int:
    """Returns the limit of callers' connections of a process."""
    by_memory = CONNECTIONS_MEMORY_SHARE * memory_bytes / CONNECTION_BYTES
    by_descriptors = CALLERS_DESCRIPTORS_SHARE * (
        descriptors - RESERVED_DESCRIPTORS
    )
    return max(1, int(min(by_memory, by_descriptors)))


def internal_connections_max(callers_max: int) -> int:
    """Returns the limit of the connections of each other server."""
    return max(4, int(INTERNAL_CONNECTIONS_SHARE * callers_max))


def unlimited() -> ByteBudget:
    """Returns a budget without a limit."""
    return ByteBudget(math.inf)
