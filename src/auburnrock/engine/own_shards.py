"""The shards that a node owns, and the epochs that it has released."""

from auburnrock import records
from auburnrock.engine import hot_keys
from auburnrock.engine import in_force as in_force_lib
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import view as view_lib
from auburnrock.targets import base as targets_base


class OwnShards:
    """The shards that this node owns according to its own replica.

    They are cached until a page or the configuration changes.

    Attributes:
      incarnation: incarnation of this node.
      view: the replica and its views.
      configuration: the configuration in force.
      hot_keys: the hot keys whose homes this node owns.
      owned: every owned shard, released ones included.
      to_hand_over: the owned shards that have to move or to be handed over to
        this node itself.
      claims: shards of hot keys to claim, by the store's key of their page.
      released: the highest epoch of each shard that this node released. It
        is never deleted, since the page may show the epoch for any time.
    """

    def __init__(
        self,
        incarnation: int,
        view: view_lib.View,
        configuration: in_force_lib.InForce,
    ):
        self.incarnation = incarnation
        self.view = view
        self.configuration = configuration
        self.hot_keys = hot_keys.HotKeys(incarnation, view, configuration)
        self.owned: list[pages_lib.ServiceShard] = []
        self.to_hand_over: list[pages_lib.ServiceShard] = []
        self.claims: dict[str, list[int]] = {}
        self.released: dict[str, dict[int, int]] = {}
        self._grantable: dict[str, list[targets_base.GrantedShard]] = {}
        self._revision = 0
        self.refresh()

    def refresh(self) -> None:
        """Recomputes everything after a page has changed."""
        self.owned = self.view.pages.shards_of(self.incarnation)
        self.hot_keys.set_owned(self.owned)
        self._revision = self.configuration.revision
        self._grantable.clear()
        self.claims = self.hot_keys.claims()
        self.to_hand_over = [
            shard
            for shard in self.owned
            if self.move_of(shard) is not None
            or self.hot_keys.needs_rotation(shard)
        ]

    def check_configuration(self) -> None:
        """Recomputes everything if the configuration has changed."""
        if self._revision != self.configuration.revision:
            self.refresh()

    def entry(self, shard: pages_lib.ServiceShard) -> records.ShardEntry:
        """The entry of an owned shard."""
        return self.view.pages.owner(shard.service, shard.shard)

    def move_of(self, shard: pages_lib.ServiceShard) -> int | None:
        """The next owner that the page names for a shard; None if none."""
        page = self.view.pages.page_of(shard.service, shard.shard)
        return page.record.moving.get(shard.shard)

    def released_epoch(self, service: str, shard: int) -> int:
        """The highest epoch at which a shard was released; 0 for none."""
        return self.released.get(service, {}).get(shard, 0)

    def record_release(self, shard: pages_lib.ServiceShard, epoch: int) -> None:
        """Records the irrevocable release of a shard at an epoch."""
        known = self.released_epoch(shard.service, shard.shard)
        assert known < epoch, f"{shard} was already released at epoch {known}"
        self.released.setdefault(shard.service, {})[shard.shard] = epoch
        self._grantable.clear()

    def is_held(self, shard: pages_lib.ServiceShard) -> bool:
        """Whether an owned shard has not been released at its epoch."""
        released = self.released_epoch(shard.service, shard.shard)
        return self.entry(shard).epoch > released

    def grantable(self, service: str) -> list[targets_base.GrantedShard]:
        """The shards that a target of a service may serve, in order."""
        self.check_configuration()
        if service not in self._grantable:
            self._grantable[service] = [
                targets_base.GrantedShard(each.shard, self.entry(each).epoch)
                for each in self.owned
                if each.service == service
                and self.is_held(each)
                and self.hot_keys.are_known(service, each.shard)
            ]
        return self._grantable[service]
