"""The key-value store of the platform stand-in, without any input or output.

Times are milliseconds of a monotonic clock, passed in.
"""

import collections
import dataclasses

from auburnrock.store import base

HISTORY_LIMIT = 10_000


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease: keys attached to it go when it ends."""

    ttl_ms: int
    ends_at_ms: int


class Store:
    """Keys with one revision over the whole store, leases and a history.

    Attributes:
      revision: revision of the latest write.
      values: the present values by key.
      history: the latest changes, oldest first.
      trimmed_revision: changes up to this revision left the history.
    """

    def __init__(self, history_limit: int = HISTORY_LIMIT):
        self.history_limit = history_limit
        self.revision = 0
        self.trimmed_revision = 0
        self.values: dict[str, base.Value] = {}
        self.history: collections.deque[base.Value] = collections.deque()
        self.leases: dict[str, Lease] = {}
        self.lease_of_key: dict[str, str] = {}
        self.leases_made = 0

    def list(self, prefix: str) -> base.Snapshot:
        """All values whose keys begin with a prefix."""
        found = [v for k, v in self.values.items() if k.startswith(prefix)]
        found.sort(key=lambda value: value.key)
        return base.Snapshot(self.revision, found, complete=True)

    def changes(self, prefix: str, after_revision: int) -> base.Snapshot | None:
        """What changed after a revision; None if nothing under the prefix.

        The snapshot is complete if the history no longer reaches back, or if
        the revision is one that this store never had.
        """
        if not self.trimmed_revision <= after_revision <= self.revision:
            return self.list(prefix)
        latest: dict[str, base.Value] = {}
        for change in reversed(self.history):
            if change.revision <= after_revision:
                break
            if change.key.startswith(prefix):
                latest.setdefault(change.key, change)
        if not latest:
            return None
        found = sorted(latest.values(), key=lambda value: value.key)
        return base.Snapshot(self.revision, found, complete=False)

    def swap(
        self,
        key: str,
        data: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> base.Swap:
        """Writes if the key's revision is the expected one (0: no key)."""
        current = self.values.get(key)
        revision = current.revision if current else 0
        lease_ended = lease_id is not None and lease_id not in self.leases
        if revision != expected_revision or lease_ended:
            return base.Swap(False, current)
        if data is None and current is None:
            return base.Swap(True, None)
        self._write(key, data, lease_id)
        return base.Swap(True, self.values.get(key))

    def grant_lease(self, ttl_ms: int, now_ms: int) -> str:
        """Makes a lease and returns its identifier."""
        self.leases_made += 1
        lease_id = f"lease-{self.leases_made}"
        self.leases[lease_id] = Lease(ttl_ms, now_ms + ttl_ms)
        return lease_id

    def renew_lease(self, lease_id: str, now_ms: int) -> bool:
        """Renews a lease; False if it has ended."""
        self.end_leases(now_ms)
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        lease.ends_at_ms = now_ms + lease.ttl_ms
        return True

    def end_leases(self, now_ms: int) -> bool:
        """Ends the leases that are over; True if a key went with one."""
        ended = [i for i, x in self.leases.items() if x.ends_at_ms <= now_ms]
        for lease_id in ended:
            del self.leases[lease_id]
        gone = [k for k, i in self.lease_of_key.items() if i in ended]
        for key in gone:
            self._write(key, None, None)
        return bool(gone)

    def _write(
        self, key: str, data: bytes | None, lease_id: str | None
    ) -> None:
        self.revision += 1
        value = base.Value(key, data, self.revision)
        self.lease_of_key.pop(key, None)
        if data is None:
            self.values.pop(key, None)
        else:
            self.values[key] = value
            if lease_id is not None:
                self.lease_of_key[key] = lease_id
        self.history.append(value)
        if len(self.history) > self.history_limit:
            self.trimmed_revision = self.history.popleft().revision
