"""How a hot key gets a shard of its own without ever having two owners.

Adding a hot key to a service's settings changes its shard, from the hashed
one (its home) to a new one, and nodes learn the settings at different times.
If the new shard went to any node at once, a node with older settings that
owns the home would still accept the key. So:

1. The new shard begins without an owner, and nobody can serve it.
2. A node that owns the home and knows the hot key hands the home over to
   itself, at the next epoch. That waits for all work on the home, and the
   same write marks the home's page: only nodes that know so many hot keys
   may serve it from now on.
3. Only then it claims the new shard. From here on no node accepts the key
   under its home: this one knows better, and a later owner of the home reads
   the mark before it serves.

Isolating a key so moves nothing: it stays with its owner until the new shard
is moved. Hot keys are never removed nor reordered, see
`configuration_rules.py`, so their number says which settings a node knows.
"""

import msgspec

from auburnrock import records
from auburnrock.engine import in_force as in_force_lib
from auburnrock.engine import keys
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import view as view_lib


class _Start(msgspec.Struct, frozen=True):
    """The epoch of an owned shard, and the hot keys known when it began."""

    epoch: int
    known: int


class _Homes(msgspec.Struct):
    """The hot keys of a service by home shard, as places in their list."""

    settings: records.ServiceSettings
    places: dict[int, list[int]]


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
        self._starts: dict[pages_lib.ServiceShard, _Start] = {}
        self._homes: dict[str, _Homes] = {}

    def known(self, service: str) -> int:
        """How many hot keys of a service this node knows."""
        settings = self.configuration.settings(service)
        return len(settings.hot_keys) if settings else 0

    def are_known(self, service: str, shard: int) -> bool:
        """Whether this node knows the hot keys that a shard calls for."""
        settings = self.configuration.settings(service)
        if settings is None:
            return False
        required = self.view.pages.required_hot_keys(service, shard)
        return len(settings.hot_keys) >= required

    def is_shard_of(self, service: str, shard: int, key: str) -> bool:
        """Whether a key has this shard by this node's own settings."""
        settings = self.configuration.settings(service)
        if settings is None or not key:
            return True
        return keys.shard_of(settings, key) == shard

    def note_owned(self, owned: list[pages_lib.ServiceShard]) -> None:
        """Takes in which shards this node owns now."""
        starts = {}
        for shard in owned:
            epoch = self.view.pages.owner(shard.service, shard.shard).epoch
            start = self._starts.get(shard)
            if start is None or start.epoch != epoch:
                start = _Start(epoch, self.known(shard.service))
            starts[shard] = start
        self._starts = starts

    def needs_rotation(self, shard: pages_lib.ServiceShard) -> bool:
        """Whether an owned shard is to be handed over to this node itself."""
        return any(
            not self._may_claim(shard, place)
            for place in self._unclaimed(shard)
        )

    def claims(self) -> dict[str, list[int]]:
        """The shards of hot keys to claim now, by the store's key of a page."""
        found: dict[str, list[int]] = {}
        for service in self.configuration.keyed():
            for home in self._places(service):
                shard = pages_lib.ServiceShard(service, home)
                if shard not in self._starts:
                    continue
                for place in self._unclaimed(shard):
                    if self._may_claim(shard, place):
                        number = self._number(service, place)
                        page = self.view.pages.page_of(service, number)
                        found.setdefault(page.key, []).append(number)
        return found

    def _may_claim(self, home: pages_lib.ServiceShard, place: int) -> bool:
        required = self.view.pages.required_hot_keys(home.service, home.shard)
        start = self._starts.get(home)
        return required > place and start is not None and start.known > place

    def _unclaimed(self, home: pages_lib.ServiceShard) -> list[int]:
        """Places of the hot keys of a home whose shards nobody owns."""
        return [
            place
            for place in self._places(home.service).get(home.shard, ())
            if self._is_unclaimed(home.service, place)
        ]

    def _is_unclaimed(self, service: str, place: int) -> bool:
        number = self._number(service, place)
        entry = self.view.pages.owner(service, number)
        return entry is not None and entry.owner == records.NO_OWNER

    def _number(self, service: str, place: int) -> int:
        return self._homes[service].settings.shards + place

    def _places(self, service: str) -> dict[int, list[int]]:
        settings = self.configuration.settings(service)
        if settings is None:
            return {}
        homes = self._homes.get(service)
        if homes is None or homes.settings is not settings:
            homes = _Homes(settings, {})
            for place, key in enumerate(settings.hot_keys):
                home = keys.hash_of(key) % settings.shards
                homes.places.setdefault(home, []).append(place)
            self._homes[service] = homes
        return homes.places
