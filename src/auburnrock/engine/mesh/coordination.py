"""What a node needs of the store that the platform runs."""

import abc

import msgspec


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


class StoreUnknownError(StoreError):
    """The answer was lost: a change may have been made, or may be yet."""


class HistoryLostError(StoreError):
    """The changes that a watch asked for are no longer kept."""


class Conflict(msgspec.Struct, frozen=True):
    """A condition of a change did not hold.

    Attributes:
      items: the keys of the conditions as they are.
    """

    items: list[Item]


class Store(abc.ABC):
    """The platform's store.

    Reads raise StoreUnavailableError; changes also StoreUnknownError.

    Attributes:
      answered_ms: when it last answered a call; 0 before.
    """

    answered_ms: float

    def has_helper(self) -> bool:
        """Whether changes can be made by way of another node."""
        return False

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
    async def change(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removes: list[str],
    ) -> int | Conflict:
        """Makes all changes if every key has the revision expected of it.

        Args:
          expected: revision by key; 0 stands for a key that does not exist.
          puts: new value by key.
          removes: keys to remove.

        Returns:
          The revision of the change, or the conflict that prevented it.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the idle connections."""
