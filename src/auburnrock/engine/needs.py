"""Finds the changes that assignment pages need, and since when.

Only pages that a change could have affected are checked again, so that an idle
node spends no time on checks.
"""

import msgspec

from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import page_change
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import view as view_lib


class Need(msgspec.Struct, frozen=True):
    """One change that a page needs.

    Attributes:
      kind: "create", "extend", "reassign" or "clear".
      subject: the incarnation or shard that the need concerns; 0 if neither.
    """

    kind: str
    subject: int = 0


_NEEDS_SERVING_NODE = frozenset({"create", "reassign"})
"""Kinds of need that can be met only if a node serves the service."""


class PageNeeds(msgspec.Struct):
    """The needs of one page.

    Attributes:
      service: service of the page.
      since_ms: when this node first observed each need.
    """

    service: str
    since_ms: dict[Need, int]

    def oldest_ms(self) -> int:
        """When the oldest need was first observed."""
        return min(self.since_ms.values())


class Needs:
    """The needs that the assigner has to meet.

    Attributes:
      pages: the pages with needs, by the store's key.
      keyed: settings of the services divided by key.
      removed: keys that are known to be deleted in the store, though the
        replica still contains them.
    """

    def __init__(self, view: view_lib.View):
        self.view = view
        self.pages: dict[str, PageNeeds] = {}
        self.keyed: dict[str, records.ServiceSettings] = {}
        self.removed: set[str] = set()
        self._unchecked: set[str] = set(view.pages.by_key)
        self._blocked: set[str] = set()
        self._ended_since_ms: dict[int, int] = {}
        self._new_members: set[int] = set(view.members.by_incarnation)

    def on_configuration(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Applies the configuration in force."""
        self.keyed = {
            name: settings
            for name, settings in configuration.services.items()
            if keys.has_shards(settings)
        }
        for service, settings in self.keyed.items():
            for number in range(page_change.page_count(settings)):
                self._unchecked.add(records.page_key(service, number))
        self.refresh(now_ms)

    def on_change(self, changed: list[str], now_ms: int) -> None:
        """Checks the pages that these changed replica keys may affect."""
        for key in changed:
            self.removed.discard(key)
            if key.startswith(records.PAGES_PREFIX):
                self._unchecked.add(key)
        for incarnation in self.view.members.changed(changed):
            self._new_members.add(incarnation)
            for page in self.view.pages.pages_naming(incarnation):
                self._unchecked.add(page.key)
        self.refresh(now_ms)

    def refresh(self, now_ms: int) -> None:
        """Checks again the pages that may have changed."""
        if self._new_members:
            self._unchecked |= self._blocked
            self._blocked.clear()
        for incarnation in self._new_members:
            self._update_member(incarnation, now_ms)
        self._new_members.clear()
        unchecked, self._unchecked = self._unchecked, set()
        for key in unchecked:
            self._check(key, now_ms)

    def restart(self, key: str, now_ms: int) -> None:
        """Restarts the rank delays of a page, as after a failed write.

        Otherwise all nodes would be due at the end of a long store outage.
        """
        page = self.pages.get(key)
        if page is not None:
            page.since_ms = dict.fromkeys(page.since_ms, now_ms)

    def removable(self, ended_by_ms: int) -> list[int]:
        """Incarnations that ended before a time and that no page names."""
        return [
            incarnation
            for incarnation, since_ms in self._ended_since_ms.items()
            if since_ms <= ended_by_ms
            and self._node_key(incarnation) not in self.removed
            and not self.view.pages.pages_naming(incarnation)
        ]

    def _node_key(self, incarnation: int) -> str:
        record = self.view.members.get(incarnation)
        return records.node_key(record.name, incarnation)

    def _update_member(self, incarnation: int, now_ms: int) -> None:
        record = self.view.members.get(incarnation)
        if record is None or record.state != records.NodeState.ENDED:
            self._ended_since_ms.pop(incarnation, None)
        else:
            self._ended_since_ms.setdefault(incarnation, now_ms)

    def _check(self, key: str, now_ms: int) -> None:
        parsed = parse_page_key(key)
        if parsed is None:
            return
        service, number = parsed
        found = self._find_needs(key, service, number)
        unmet = {need for need in found if need.kind in _NEEDS_SERVING_NODE}
        if unmet and not self.view.members.serving(service):
            # The rank delays of a need that no node can meet yet start when
            # a node appears; otherwise all ranks would act at that moment.
            self._blocked.add(key)
            found -= unmet
        if not found:
            self.pages.pop(key, None)
            return
        before = self.pages.get(key)
        known = before.since_ms if before else {}
        since_ms = {need: known.get(need, now_ms) for need in found}
        self.pages[key] = PageNeeds(service, since_ms)

    def _find_needs(self, key: str, service: str, number: int) -> set[Need]:
        settings = self.keyed.get(service)
        page = self.view.pages.by_key.get(key)
        size = page_change.page_size(settings, number) if settings else 0
        if page is None:
            return {Need("create")} if size else set()
        found = self._find_repairs(page)
        if len(page.record.entries) < size:
            found.add(Need("extend"))
        return found

    def _find_repairs(self, page: pages_lib.Page) -> set[Need]:
        members = self.view.members
        found = set()
        for owner in page.by_owner:
            if page_change.is_ended_owner(page, members, owner):
                found.add(Need("reassign", owner))
            elif owner and members.may_have_ended(owner):
                # Whether the owner has ended is known once the replica has
                # caught up, or once the node that now has its target can own
                # shards.
                self._unchecked.add(page.key)
        for shard, to in page.moving().items():
            if page_change.is_stuck_move(page, members, shard, to):
                found.add(Need("clear", shard))
            elif to not in members.listed:
                self._unchecked.add(page.key)
        return found


def parse_page_key(key: str) -> tuple[str, int] | None:
    """The service and number in a page's key; None if it is not one."""
    if not key.startswith(records.PAGES_PREFIX):
        return None
    service, _, digits = key.removeprefix(records.PAGES_PREFIX).rpartition("/")
    if not service or not digits.isdigit():
        return None
    return service, int(digits)
