"""A node's copy of the store's records, and deltas between copies.

The store numbers its writes, so one number, the watermark, is enough to
describe the state of a copy: it reflects every change up to the watermark. A
peer that is behind requests the changes after its own watermark. This is
anti-entropy with a single totally ordered version in place of a version
vector, which is enough because the store alone orders writes.
"""

from auburnrock import messages
from auburnrock.store import base as platform_base

TOMBSTONES_KEPT = 4096


class Replica:
    """A copy of the store's records that never returns to older values.

    Attributes:
      revision: the watermark.
      values: value of each key, including tombstones of deleted keys until
        they are dropped.
      oldest_delta: lowest revision after which a delta can be built; a peer
        at an earlier revision needs a full copy.
    """

    __slots__ = ("oldest_delta", "revision", "values")

    def __init__(self):
        self.revision = 0
        self.oldest_delta = 0
        self.values: dict[str, platform_base.Value] = {}

    def get(self, key: str) -> platform_base.Value | None:
        """The value of a key; None if it does not exist."""
        value = self.values.get(key)
        if value is None or value.data is None:
            return None
        return value

    def with_prefix(self, prefix: str) -> list[platform_base.Value]:
        """The existing values whose key begins with `prefix`, by key."""
        found = [
            value
            for key, value in self.values.items()
            if key.startswith(prefix) and value.data is not None
        ]
        return sorted(found, key=lambda value: value.key)

    def apply_snapshot(self, snapshot: platform_base.Snapshot) -> list[str]:
        """Applies what was read from the store; returns the changed keys."""
        if snapshot.complete:
            return self._apply_complete(snapshot.revision, snapshot.values)
        return self._apply(snapshot.revision, snapshot.values)

    def apply_value(self, value: platform_base.Value) -> list[str]:
        """Applies one value, such as the result of this node's own write.

        The watermark advances only to the next revision, since changes of
        other keys may lie in between.
        """
        is_next = value.revision == self.revision + 1
        revision = value.revision if is_next else self.revision
        return self._apply(revision, [value])

    def apply_delta(self, delta: messages.Delta) -> list[str]:
        """Applies a peer's delta; returns the changed keys.

        A delta that starts after this replica's watermark would leave a gap,
        so only its entries are applied and the watermark stays.
        """
        values = [
            platform_base.Value(entry.key, entry.data, entry.revision)
            for entry in delta.entries
        ]
        if delta.after_revision == 0:
            return self._apply_complete(delta.revision, values)
        if delta.after_revision > self.revision:
            return self._apply(self.revision, values)
        return self._apply(delta.revision, values)

    def delta_after(self, stream: int, revision: int) -> messages.Delta:
        """Builds the delta for a peer whose watermark is `revision`."""
        after = revision if revision >= self.oldest_delta else 0
        entries = [
            messages.Entry(value.key, value.data, value.revision)
            for value in self.values.values()
            if value.revision > after
        ]
        return messages.Delta(stream, after, self.revision, entries)

    def _apply(
        self, revision: int, values: list[platform_base.Value]
    ) -> list[str]:
        changed = []
        for value in values:
            known = self.values.get(value.key)
            if known is None or known.revision < value.revision:
                self.values[value.key] = value
                changed.append(value.key)
        self.revision = max(self.revision, revision)
        self._drop_old_tombstones()
        return changed

    def _apply_complete(
        self, revision: int, values: list[platform_base.Value]
    ) -> list[str]:
        if revision < self.revision:
            return self._apply(self.revision, values)
        changed = self._apply(revision, values)
        listed = {value.key for value in values}
        for key, value in list(self.values.items()):
            # A full copy contains no deleted keys: a key that is not in it was
            # deleted, unless it was written after the copy was made.
            if key not in listed and value.revision <= revision:
                del self.values[key]
                if value.data is not None:
                    changed.append(key)
        self.oldest_delta = max(self.oldest_delta, revision)
        return changed

    def _drop_old_tombstones(self) -> None:
        tombstones = [
            value for value in self.values.values() if value.data is None
        ]
        excess = len(tombstones) - TOMBSTONES_KEPT
        if excess <= 0:
            return
        tombstones.sort(key=lambda value: value.revision)
        for value in tombstones[:excess]:
            del self.values[value.key]
            self.oldest_delta = max(self.oldest_delta, value.revision)
