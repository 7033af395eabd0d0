"""What the executor needs of the node's other parts."""

import abc

from auburnrock import errors
from auburnrock.shells import target_slots
from auburnrock.targets import base as targets_base


class Admission(abc.ABC):
    """Says whether this node may run work on a shard now."""

    @abc.abstractmethod
    def admit(self, service: str, shard: int, key: str) -> int | errors.Failure:
        """The epoch to run at, 0 for a service not divided by key."""

    @abc.abstractmethod
    async def admit_after_move(
        self, service: str, shard: int, key: str, deadline_ms: int
    ) -> int | errors.Failure:
        """As `admit`, once a move of the shard has gone on."""

    @abc.abstractmethod
    def target(self) -> targets_base.Target | None:
        """The target beside this node; None while there is none."""

    @abc.abstractmethod
    def slots(self) -> target_slots.TargetSlots:
        """The places at that target."""

    @abc.abstractmethod
    def watermark(self) -> int:
        """The replica's watermark."""

    @abc.abstractmethod
    def on_idle(self, service: str, shard: int) -> None:
        """Notes that no request of a shard waits for the target any more."""


class CrashWatch(abc.ABC):
    """Finds out whether a lost connection was a crash of the target."""

    @abc.abstractmethod
    async def after_lost_connection(self) -> None:
        """Returns once a crash is known, and its suspects, or ruled out."""


class ResultsSource(abc.ABC):
    """Brings along what a shard's former owner remembers."""

    @abc.abstractmethod
    async def wait_for(self, service: str, shard: int) -> None:
        """Returns when a shard's results are there or given up."""
