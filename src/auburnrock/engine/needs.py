"""What the assignment pages lack, and since when this node has seen it.

Only pages that a change could have touched are looked at again, so that a
node with nothing to do spends nothing on it.
"""

import msgspec

from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import page_change
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import view as view_lib


class Need(msgspec.Struct, frozen=True):
    """One thing that a page lacks.

    Attributes:
      kind: "create", "extend", "reassign" or "clear".
      subject: the incarnation or shard that it is about; 0 if neither.
    """

    kind: str
    subject: int = 0


_GIVING = frozenset({"create", "reassign"})
"""The kinds of need that only a node that serves the service can meet."""


class PageNeeds(msgspec.Struct):
    """What one page lacks.

    Attributes:
      service: service of the page.
      since_ms: when each need was first seen.
    """

    service: str
    since_ms: dict[Need, int]

    def oldest_ms(self) -> int:
        """When the need that has waited longest was first seen."""
        return min(self.since_ms.values())


class Needs:
    """What the assigner has to do.

    Attributes:
      pages: the pages that lack something, by the store's key.
      keyed: settings of the services divided by key.
      removed: records that are known to be deleted in the store, though the
        replica still shows them.
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
        """Takes in the configuration in force."""
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
        """Takes in keys of the replica that changed."""
        for key in changed:
            self.removed.discard(key)
            if key.startswith(records.PAGES_PREFIX):
                self._unchecked.add(key)
        for incarnation in self.view.members.changed(changed):
            self._new_members.add(incarnation)
            for page in self.view.pages.names(incarnation):
                self._unchecked.add(page.key)
        self.refresh(now_ms)

    def refresh(self, now_ms: int) -> None:
        """Looks again at what has changed."""
        if self._new_members:
            self._unchecked |= self._blocked
            self._blocked.clear()
        for incarnation in self._new_members:
            self._note_member(incarnation, now_ms)
        self._new_members.clear()
        unchecked, self._unchecked = self._unchecked, set()
        for key in unchecked:
            self._check(key, now_ms)

    def restart(self, key: str, now_ms: int) -> None:
        """Counts the rank delays of a page anew, as after a failed write.

        Else all nodes would be due at the end of a long outage of the store.
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
            and not self.view.pages.names(incarnation)
        ]

    def _node_key(self, incarnation: int) -> str:
        record = self.view.members.get(incarnation)
        return records.node_key(record.name, incarnation)

    def _note_member(self, incarnation: int, now_ms: int) -> None:
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
        found = self._lacking(key, service, number)
        givers = {need for need in found if need.kind in _GIVING}
        if givers and not self.view.members.serving(service):
            # A need that nobody can meet yet starts to count when a node
            # appears; else all ranks would act at once on its arrival.
            self._blocked.add(key)
            found -= givers
        if not found:
            self.pages.pop(key, None)
            return
        before = self.pages.get(key)
        known = before.since_ms if before else {}
        since_ms = {need: known.get(need, now_ms) for need in found}
        self.pages[key] = PageNeeds(service, since_ms)

    def _lacking(self, key: str, service: str, number: int) -> set[Need]:
        settings = self.keyed.get(service)
        page = self.view.pages.by_key.get(key)
        size = page_change.page_size(settings, number) if settings else 0
        if page is None:
            return {Need("create")} if size else set()
        found = self._broken(page)
        if len(page.record.entries) < size:
            found.add(Need("extend"))
        return found

    def _broken(self, page: pages_lib.Page) -> set[Need]:
        members = self.view.members
        found = set()
        for owner in page.by_owner:
            if page_change.is_ended_owner(page, members, owner):
                found.add(Need("reassign", owner))
            elif owner and members.may_have_ended(owner):
                # Whether it has ended shows once the replica has caught up,
                # or once the node that has its target now can own shards.
                self._unchecked.add(page.key)
        for shard, to in page.moving().items():
            if page_change.is_stuck_move(page, members, shard, to):
                found.add(Need("clear", shard))
            elif to not in members.listed:
                self._unchecked.add(page.key)
        return found


def parse_page_key(key: str) -> tuple[str, int] | None:
    """The service and number that a page's key names; None if it is none."""
    if not key.startswith(records.PAGES_PREFIX):
        return None
    service, _, digits = key.removeprefix(records.PAGES_PREFIX).rpartition("/")
    if not service or not digits.isdigit():
        return None
    return service, int(digits)
