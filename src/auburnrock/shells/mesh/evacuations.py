"""Applies the evacuation of zones to the components of a node."""

from collections.abc import Callable
import math

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import evacuation
from auburnrock.engine.mesh import model
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import executor as executor_module
from auburnrock.shells.mesh import ownership as ownership_module
from auburnrock.shells.mesh import prefix_sync


class ZoneEvacuations:
    """Passes the operator's evacuations to the components of a node.

    Attributes:
      zones: the evacuated zones.
      sync: synchronises the operator's keys.
      has_read: whether the operator's keys were read from the store or from a
        peer's snapshot.
      early_items: the operator's items that gossip has delivered before that.
      reports_end: whether the log still has to say that the own target stops
        being used.
    """

    def __init__(
        self,
        settings: model.Settings,
        zones: evacuation.Evacuations,
        executor: executor_module.Executor,
        ownership: ownership_module.Ownership,
        sync: prefix_sync.PrefixSync,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
    ):
        self.settings = settings
        self.zones = zones
        self.executor = executor
        self.ownership = ownership
        self.sync = sync
        self.log = log
        self.now_ms = now_ms
        self.has_read = False
        self.early_items: list[coordination_store.Item] = []
        self.reports_end = False

    def admit(
        self, items: list[coordination_store.Item], revision: int
    ) -> list[coordination_store.Item]:
        """Applies the evacuations among the operator's items.

        Args:
          items: items of the operator that are new here.
          revision: revision up to which this node has read the operator's
            keys; 0 before the first listing.

        Returns:
          The items whose configuration may be applied. Before the keys were
          read there is none, so that a node serves no request while it does not
          know which zones are evacuated.
        """
        if not self.has_read and not revision:
            self.early_items += items
            return []
        self.has_read = True
        items = self.early_items + items
        self.early_items = []
        self._apply(items, self.sync.unread_ms)
        return items

    def on_snapshot(self, items: list[coordination_store.Item]) -> None:
        """Applies the evacuations of a peer's snapshot, whose age is unknown.

        They are ignored once this node has listed the operator's keys. That
        listing removes those that it lacks.
        """
        if self.sync.revision:
            return
        for item in items:
            if item.key.startswith(self.zones.prefix):
                self.sync.advance_revision(item.key, item.revision)
        self.has_read = True
        self._apply(items, math.inf)

    def present_items(self) -> list[coordination_store.Item]:
        """Returns the evacuations for a snapshot."""
        items = self.zones.items.values()
        return [item for item in items if item.value is not None]

    def _apply(
        self, items: list[coordination_store.Item], unread_ms: float
    ) -> None:
        for change in self.zones.apply(self.now_ms(), items, unread_ms):
            is_own = change.zone == self.settings.zone
            self.log.write(
                "zone_evacuated" if change.is_evacuated else "zone_returned",
                zone=change.zone,
                own=is_own,
                left_ms=int(change.left_ms),
            )
            if not is_own:
                continue
            self.reports_end = change.is_evacuated
            if not change.is_evacuated:
                # It may have restarted while it received no request.
                self.executor.queue.cold_start.on_possible_restart()
            self.ownership.grants_changed.set()
        self.tick()

    def tick(self) -> None:
        """Ends the use of the own target when its zone is evacuated."""
        if not self.reports_end:
            return
        keys_left = len(self.ownership.holder.own_stripes())
        is_keyed = self.ownership.keyed and keys_left > 0
        if self.zones.may_send(self.now_ms(), self.settings.zone, is_keyed):
            return
        self.reports_end = False
        self.executor.refuse_queued()
        target = self.executor.target
        self.log.write(
            "target_evacuated",
            target=target.target if target is not None else "",
            zone=self.settings.zone,
            stripes_left=keys_left,
            running=len(self.executor.queue.running),
        )
