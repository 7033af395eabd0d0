"""Assignment of hot keys to shards of their own, never with two owners.

Adding a hot key to a service's settings changes its shard from the hashed one
(its home) to a new one, and nodes receive the settings at different times. If
the new shard were assigned to any node at once, a node with older settings
that owns the home would still accept the key. Therefore:

1. The new shard begins without an owner, and no node can serve it.
2. A node that owns the home and knows the hot key hands the home over to
   itself, at the next epoch. The hand-over waits for all work on the home, and
   the same write records in the home's page the number of hot keys that a node
   must know to serve it from now on.
3. Only then the node claims the new shard. From then on no node accepts the
   key under its home: this node has the new settings, and a later owner of the
   home reads the required number before it serves.

Isolating a key in this way moves nothing: the key stays with its owner until
the new shard is moved. Hot keys are never removed or reordered (see
`configuration_rules.py`), so their number identifies the settings that a node
knows.
"""

import msgspec

from auburnrock import records
from auburnrock.engine import in_force as in_force_lib
from auburnrock.engine import keys
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import view as view_lib


class _OwnershipStart(msgspec.Struct, frozen=True):
    """The start of an owned shard's epoch.

    Attributes:
      epoch: the epoch.
      known: number of the service's hot keys that the node knew when the
        epoch began.
    """

    epoch: int
    known: int


class _Homes(msgspec.Struct):
    """The hot keys of a service by home shard.

    Attributes:
      settings: settings of the service.
      indexes: indexes of hot keys in the settings' list, by home shard.
    """

    settings: records.ServiceSettings
    indexes: dict[int, list[int]]


class HotKeys:
    """The hot keys whose homes a node owns."""

    def __init__(
        self,
        incarnation: int,
        view: view_lib.View,
        configuration: in_force_lib.InForce,
    ):
        self.incarnation = incarnation
        self.view = view
        self.configuration = configuration
        self._starts: dict[pages_lib.ServiceShard, _OwnershipStart] = {}
        self._homes: dict[str, _Homes] = {}

    def known_count(self, service: str) -> int:
        """Returns how many hot keys of a service this node knows."""
        settings = self.configuration.settings(service)
        return len(settings.hot_keys) if settings else 0

    def are_known(self, service: str, shard: int) -> bool:
        """Whether this node knows the hot keys that a shard requires."""
        settings = self.configuration.settings(service)
        if settings is None:
            return False
        required = self.view.pages.required_hot_keys(service, shard)
        return len(settings.hot_keys) >= required

    def is_shard_of(self, service: str, shard: int, key: str) -> bool:
        """Whether a key belongs to a shard by this node's settings."""
        settings = self.configuration.settings(service)
        if settings is None or not key:
            return True
        return keys.shard_of(settings, key) == shard

    def set_owned(self, owned: list[pages_lib.ServiceShard]) -> None:
        """Sets which shards this node owns now."""
        starts = {}
        for shard in owned:
            epoch = self.view.pages.owner(shard.service, shard.shard).epoch
            start = self._starts.get(shard)
            if start is None or start.epoch != epoch:
                start = _OwnershipStart(epoch, self.known_count(shard.service))
            starts[shard] = start
        self._starts = starts

    def needs_rotation(self, shard: pages_lib.ServiceShard) -> bool:
        """Whether this node is to hand an owned shard over to itself."""
        return any(
            not self._may_claim(shard, index)
            for index in self._unclaimed(shard)
        )

    def claims(self) -> dict[str, list[int]]:
        """Returns the hot keys' shards to claim now, by page key."""
        found: dict[str, list[int]] = {}
        for service in self.configuration.keyed():
            for home in self._indexes_by_home(service):
                shard = pages_lib.ServiceShard(service, home)
                if shard not in self._starts:
                    continue
                for index in self._unclaimed(shard):
                    if self._may_claim(shard, index):
                        number = self._shard_number(service, index)
                        page = self.view.pages.page_of(service, number)
                        found.setdefault(page.key, []).append(number)
        return found

    def _may_claim(self, home: pages_lib.ServiceShard, index: int) -> bool:
        required = self.view.pages.required_hot_keys(home.service, home.shard)
        start = self._starts.get(home)
        return required > index and start is not None and start.known > index

    def _unclaimed(self, home: pages_lib.ServiceShard) -> list[int]:
        """Returns the indexes of a home's hot keys whose shards are unowned."""
        return [
            index
            for index in self._indexes_by_home(home.service).get(home.shard, ())
            if self._is_unclaimed(home.service, index)
        ]

    def _is_unclaimed(self, service: str, index: int) -> bool:
        number = self._shard_number(service, index)
        entry = self.view.pages.owner(service, number)
        return entry is not None and entry.owner == records.NO_OWNER

    def _shard_number(self, service: str, index: int) -> int:
        return self._homes[service].settings.shards + index

    def _indexes_by_home(self, service: str) -> dict[int, list[int]]:
        settings = self.configuration.settings(service)
        if settings is None:
            return {}
        homes = self._homes.get(service)
        if homes is None or homes.settings is not settings:
            homes = _Homes(settings, {})
            for index, key in enumerate(settings.hot_keys):
                home = keys.hash_of(key) % settings.shards
                homes.indexes.setdefault(home, []).append(index)
            self._homes[service] = homes
        return homes.indexes
