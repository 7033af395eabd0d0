"""Farewells of targets, also of those that a restarted node does not know yet.

A farewell names a target but not its start. It is acknowledged once, and no
heartbeat follows it, so a node that has just started must remember it until it
learns of the target from elsewhere.
"""

from auburnrock.engine.mesh import model

TARGETS_MAX = 16
"""Number of targets whose farewells are remembered; a host has few."""


class Farewells:
    """The latest farewell of each target beside a node.

    Attributes:
      received_unix_ms: Unix time of the latest farewell, by target.
    """

    __slots__ = ("received_unix_ms",)

    def __init__(self):
        self.received_unix_ms: dict[str, int] = {}

    def record(self, unix_ms: int, target: str) -> None:
        """Records a farewell, and forgets the oldest beyond the limit."""
        self.received_unix_ms.pop(target, None)
        self.received_unix_ms[target] = unix_ms
        if len(self.received_unix_ms) > TARGETS_MAX:
            del self.received_unix_ms[next(iter(self.received_unix_ms))]

    def forget(self, target: str) -> None:
        """Forgets a farewell that was not the target's own."""
        self.received_unix_ms.pop(target, None)

    def has_left(self, target: str) -> bool:
        """Whether a start of a target before this process has ended."""
        return target in self.received_unix_ms

    def includes(self, incarnation: model.Incarnation) -> bool:
        """Whether a farewell was that of this start, and not of an earlier."""
        received_unix_ms = self.received_unix_ms.get(incarnation.target, -1)
        return received_unix_ms >= incarnation.started_ms
