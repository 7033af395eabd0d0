"""The replica together with its typed views, updated together."""

import msgspec

from auburnrock import messages
from auburnrock.engine import actions
from auburnrock.engine import members as members_lib
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import replica as replica_lib
from auburnrock.store import base as platform_base


class Change(msgspec.Struct, frozen=True):
    """The changes made by a new value, snapshot or delta.

    Attributes:
      keys: the store's keys whose values changed.
      log: events for the log, one for each undecodable record.
    """

    keys: list[str]
    log: list[actions.LogEvent]


class View:
    """A replica, its node records and its assignment pages.

    Attributes:
      replica: the values as read from the store.
      members: the node records.
      pages: the assignment pages.
    """

    __slots__ = ("members", "pages", "replica")

    def __init__(self, replica: replica_lib.Replica):
        self.replica = replica
        self.members = members_lib.Members(replica)
        self.pages = pages_lib.Pages(replica)
        self._update_views(list(replica.values))

    def apply_value(self, value: platform_base.Value) -> Change:
        """Applies one value, as from the result of a swap."""
        return self._update_views(self.replica.apply_value(value))

    def apply_snapshot(self, snapshot: platform_base.Snapshot) -> Change:
        """Applies what was read from the store."""
        return self._update_views(self.replica.apply_snapshot(snapshot))

    def apply_delta(self, delta: messages.Delta) -> Change:
        """Applies a peer's delta."""
        return self._update_views(self.replica.apply_delta(delta))

    def _update_views(self, keys: list[str]) -> Change:
        log = self.members.update(keys) + self.pages.update(keys)
        return Change(keys, log)
