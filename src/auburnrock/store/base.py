"""Abstract client of a platform's key-value service.

Support for another platform is one module with one subclass of `Platform`.
The service must assign each write a revision that increases across the whole
store, as etcd's revision, Consul's index and ZooKeeper's zxid do.
"""

import abc

import msgspec


class Value(msgspec.Struct, frozen=True):
    """The value of a key at one revision.

    Attributes:
      key: name of the key.
      data: content of the key; None for a deleted key.
      revision: store revision of the write that set or deleted the key.
    """

    key: str
    data: bytes | None
    revision: int


class Snapshot(msgspec.Struct, frozen=True):
    """Values of keys at one store revision.

    Attributes:
      revision: store revision up to which every change is included.
      values: values of the keys, sorted by key.
      complete: True for a full listing; False if `values` has only the keys
        that changed after the requested revision.
    """

    revision: int
    values: list[Value]
    complete: bool


class Swap(msgspec.Struct, frozen=True):
    """The store's answer to a compare-and-swap.

    Attributes:
      swapped: whether the write took effect.
      current: value of the key after the call; None if the key does not
        exist.
    """

    swapped: bool
    current: Value | None


class StoreError(Exception):
    """A call to the store returned no usable answer."""


class StoreUnavailableError(StoreError):
    """The call did not reach the store or was refused, so had no effect."""


class StoreUnknownError(StoreError):
    """The answer was lost: a write may have taken effect or may do so later."""


class Platform(abc.ABC):
    """Client of the platform's key-value service.

    Every method raises StoreUnavailableError or StoreUnknownError if the store
    does not answer; reads never raise StoreUnknownError. Each call counts
    towards the store's rate limits, and a waiting watch counts as one call.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Value | None:
        """Returns the value of a key; None if the key does not exist."""

    @abc.abstractmethod
    async def list(self, prefix: str) -> Snapshot:
        """Returns the values of all keys that begin with `prefix`."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Snapshot:
        """Waits up to `timeout_s` seconds for changes after a revision.

        Returns a complete snapshot if the store's history no longer reaches
        back to the revision.
        """

    @abc.abstractmethod
    async def compare_and_swap(
        self,
        key: str,
        data: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> Swap:
        """Writes `data` if the key's revision is the expected one.

        Args:
          key: the key.
          data: the new content; None deletes the key.
          expected_revision: revision of the value to replace; 0 if the key
            must not exist.
          lease_id: lease at whose end the store deletes the key, if any.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> str:
        """Creates a lease that ends `ttl_s` seconds after its last renewal."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> bool:
        """Renews a lease; returns False if it has ended."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connections to the store."""
