"""Limit of the bytes that a process keeps for messages of all connections.

Each message has a limit of its own. Many messages at once would still exceed
the memory of the process, so what they hold is added up here. If the sum
exceeds the limit, the largest holders that can be dropped are: a sender that
does not stop grows largest, and other messages continue.
"""

from collections.abc import Hashable
import math

MEMORY_SHARE = 0.2
"""Share of the process's memory limit that the holders may use. A message is
copied up to three times on its way."""

COUNTED_MIN_BYTES = 16 << 10
"""Size from which a holder is counted. Most messages are smaller, and need no
work here."""

HEADER_OVERHEAD_BYTES = 200
"""Memory that a header uses in addition to its name and value."""


class ByteBudget:
    """The bytes that each holder keeps.

    Attributes:
      limit_bytes: limit of the sum.
      used_bytes: bytes of all holders.
      droppable: bytes of the holders that can be dropped.
      fixed: bytes of the holders that cannot.
    """

    __slots__ = ("droppable", "fixed", "limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: float):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.droppable: dict[Hashable, int] = {}
        self.fixed: dict[Hashable, int] = {}

    def hold(
        self, holder: Hashable, size: int, droppable: bool = True
    ) -> list[Hashable]:
        """Sets the bytes of a holder.

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
        dropped = []
        while self.used_bytes > self.limit_bytes and self.droppable:
            largest = max(self.droppable, key=self.droppable.__getitem__)
            self.release(largest)
            dropped.append(largest)
        return dropped

    def release(self, holder: Hashable) -> None:
        """Removes a holder, if it is counted."""
        self.used_bytes -= self.droppable.pop(holder, 0)
        self.used_bytes -= self.fixed.pop(holder, 0)


def budget_of(memory_bytes: int) -> ByteBudget:
    """Returns the budget of a process with a memory limit."""
    return ByteBudget(MEMORY_SHARE * memory_bytes)


def unlimited() -> ByteBudget:
    """Returns a budget without a limit."""
    return ByteBudget(math.inf)
