"""Interface of the coordination store that the platform runs.

The store may be restored from an older copy. It then begins another era and
uses the numbers of lost revisions again. So a revision here combines an era and
the store's number in that era in one integer with the order of the pair: all
code that compares, stores or sends revisions thus distinguishes eras.
"""

import abc
from collections.abc import Callable

import msgspec

NUMBER_BITS = 40
"""Bits of a revision, below the era, for the store's number: enough for a
thousand changes a second over 34 years."""

ERA_MAX = (1 << 63 - NUMBER_BITS) - 1
"""Highest era with which a revision fits a signed 64-bit integer, as
MessagePack encodes it."""


def revision_of(era: int, number: int) -> int:
    """Returns the revision with this number in this era."""
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Returns the store's number of a revision in its era."""
    return revision & (1 << NUMBER_BITS) - 1


class Item(msgspec.Struct, frozen=True):
    """A key of the store with its value.

    Attributes:
      key: name of the key.
      value: value of the key; None if the key was removed.
      revision: the store's revision of the key's last change.
    """

    key: str
    value: bytes | None
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix, including every change up to `revision`."""

    items: list[Item]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes under a prefix up to `revision`, in the order they were made."""

    items: list[Item]
    revision: int


class StoreError(Exception):
    """A call to the store returned no usable answer."""


class StoreUnavailableError(StoreError):
    """A call had no effect: it was refused or did not reach the store."""


class StoreOutcomeUnknownError(StoreError):
    """The answer to a change was lost; it may have been or yet be made."""


class HistoryLostError(StoreError):
    """The store no longer keeps the changes that a watch requested."""


class StaleEraError(StoreUnavailableError):
    """A change was not sent, as it was decided in an earlier era."""


class Conflict(msgspec.Struct, frozen=True):
    """A condition of a change did not hold.

    Attributes:
      items: current items of the keys in the conditions.
    """

    items: list[Item]


class CoordinationStore(abc.ABC):
    """Client of the platform's store.

    Reads raise StoreUnavailableError; changes also raise
    StoreOutcomeUnknownError.

    Attributes:
      answered_ms: when the store last answered a call; 0 before.
      answered_call_sent_ms: when the latest call that the store has answered
        was sent; 0 before.
      era: latest era that an answer or a peer has named; 0 before.
      on_era: callback that receives the era whenever it rises.
    """

    answered_ms: float
    answered_call_sent_ms: float
    era: int
    on_era: Callable[[int], None]

    def can_relay_writes(self) -> bool:
        """Whether changes can be sent to the store through another node."""
        return False

    @abc.abstractmethod
    def observe_era(self, era: int) -> None:
        """Adopts the era that a peer has named, if it is later."""

    @abc.abstractmethod
    async def read(self, key: str) -> Item | None:
        """Reads one key; None if it does not exist."""

    @abc.abstractmethod
    async def list_all(self, prefix: str, stale: bool = False) -> Listing:
        """Reads all keys under a prefix.

        Args:
          prefix: prefix of the keys.
          stale: whether the answer may be seconds old, which costs less.
        """

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Waits up to `wait_ms` for changes under a prefix.

        Args:
          prefix: prefix of the keys.
          after: revision after which changes are returned.
          wait_ms: longest time to wait; without a change by then, no items are
            returned.

        Raises:
          HistoryLostError: the store no longer keeps these changes; the caller
            has to list the prefix again.
        """

    @abc.abstractmethod
    async def compare_and_swap(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removes: list[str],
    ) -> int | Conflict:
        """Makes all changes if every key has its expected revision.

        The expected revisions determine the era in which the change was
        decided. The change is not sent once another era is known. If it is
        nevertheless made in another era, StoreOutcomeUnknownError is raised.

        Args:
          expected: expected revision by key; 0 stands for a key that does not
            exist.
          puts: new value by key.
          removes: keys to remove.

        Returns:
          The revision of the change, or the conflict that prevented it.

        Raises:
          StaleEraError: the era has changed; the caller has to decide again on
            the store's current content.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the idle connections."""
