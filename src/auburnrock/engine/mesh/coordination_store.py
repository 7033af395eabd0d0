"""What a node needs of the store that the platform runs.

The store may be restored from an older copy. It begins another era then, and
gives the numbers of lost revisions out again. So a revision here is an era and
the store's number in it, as one integer that orders as the pair does: all that
compares revisions, keeps them or sends them to peers tells eras apart.
"""

import abc
from collections.abc import Callable

import msgspec

NUMBER_BITS = 40
"""Room for the store's number of a revision, below the era: the store may make
a thousand changes a second for 34 years."""

ERA_MAX = (1 << 63 - NUMBER_BITS) - 1
"""A revision fits a signed integer of 64 bits, as MessagePack has it."""


def revision_of(era: int, number: int) -> int:
    """The revision with this number in this era."""
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """The era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """The store's number of a revision in its era."""
    return revision & (1 << NUMBER_BITS) - 1


class Item(msgspec.Struct, frozen=True):
    """A key's value.

    Attributes:
      key: its name.
      value: its content; None stands for a removed key.
      revision: the store's revision of the last change.
    """

    key: str
    value: bytes | None
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix; every change up to `revision` is in it."""

    items: list[Item]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes under a prefix up to `revision`, in their order."""

    items: list[Item]
    revision: int


class StoreError(Exception):
    """A call to the store that gave no usable answer."""


class StoreUnavailableError(StoreError):
    """The call had no effect: refused, or it never reached the store."""


class StoreOutcomeUnknownError(StoreError):
    """The answer was lost: a change may have been made, or may be yet."""


class HistoryLostError(StoreError):
    """The changes that a watch asked for are no longer kept."""


class StaleEraError(StoreUnavailableError):
    """A change was not sent: it was decided on an era that has passed."""


class Conflict(msgspec.Struct, frozen=True):
    """A condition of a change did not hold.

    Attributes:
      items: the keys of the conditions as they are.
    """

    items: list[Item]


class CoordinationStore(abc.ABC):
    """The platform's store.

    Reads raise StoreUnavailableError; changes also StoreUnknownError.

    Attributes:
      answered_ms: when it last answered a call; 0 before.
      answered_call_sent_ms: when the latest call that it has answered was sent;
        0 before.
      era: the latest era that an answer or a peer has named; 0 before.
      on_era: takes the era whenever it rises.
    """

    answered_ms: float
    answered_call_sent_ms: float
    era: int
    on_era: Callable[[int], None]

    def can_relay_writes(self) -> bool:
        """Whether changes can be made by way of another node."""
        return False

    @abc.abstractmethod
    def observe_era(self, era: int) -> None:
        """Takes the era that a peer has named, if it is a later one."""

    @abc.abstractmethod
    async def read(self, key: str) -> Item | None:
        """Reads one key; None if it does not exist."""

    @abc.abstractmethod
    async def list_all(self, prefix: str, stale: bool = False) -> Listing:
        """Reads all keys under a prefix.

        Args:
          prefix: which keys.
          stale: whether an answer that is seconds old will do; it costs less.
        """

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Waits for changes after a revision; none after `wait_ms`.

        Raises:
          HistoryLostError: list the prefix again.
        """

    @abc.abstractmethod
    async def compare_and_swap(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removes: list[str],
    ) -> int | Conflict:
        """Makes all changes if every key has the revision expected of it.

        The revisions say in which era the change was decided. It is not sent
        once another is known; one that is made in another all the same raises
        StoreUnknownError.

        Args:
          expected: revision by key; 0 stands for a key that does not exist.
          puts: new value by key.
          removes: keys to remove.

        Returns:
          The revision of the change, or the conflict that prevented it.

        Raises:
          EraPassedError: decide again on what the store says now.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the idle connections."""
