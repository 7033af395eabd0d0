"""A typed view of the node records in a replica."""

import msgspec

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import replica as replica_lib


class Member(msgspec.Struct, frozen=True):
    """A node's record and its revision in the store.

    Attributes:
      record: the decoded record of the node.
      revision: the store's revision of the record.
    """

    record: records.NodeRecord
    revision: int


class Members:
    """The nodes whose records are in the replica.

    A record that cannot be decoded is logged and skipped, and the last one
    that could be decoded stays in use. Its node still counts as having a
    record, so that no node takes its shards because of invalid data in the
    store.

    Attributes:
      by_incarnation: the decoded records, by incarnation.
      by_name: the incarnations of each name.
      listed: incarnations that have a record, decodable or not.
      version: increases with each change; callers use it to cache derived
        data.
    """

    __slots__ = (
        "_active",
        "_replica",
        "_serving",
        "by_incarnation",
        "by_name",
        "listed",
        "version",
    )

    def __init__(self, replica: replica_lib.Replica):
        self._replica = replica
        self._active: list[records.NodeRecord] | None = None
        self._serving: dict[str, list[records.NodeRecord]] = {}
        self.by_incarnation: dict[int, Member] = {}
        self.by_name: dict[str, set[int]] = {}
        self.listed: set[int] = set()
        self.version = 0

    def update(self, changed: list[str]) -> list[actions.LogEvent]:
        """Updates the node records among the replica's changed keys."""
        events = []
        for key in changed:
            if _is_node(key):
                events += self._update_key(key)
        return events

    def get(self, incarnation: int) -> records.NodeRecord | None:
        """The decoded record of an incarnation; None if there is none."""
        member = self.by_incarnation.get(incarnation)
        return member.record if member else None

    def is_active(self, incarnation: int) -> bool:
        """Whether shards may be assigned to a node."""
        record = self.get(incarnation)
        return record is not None and record.state == records.NodeState.ACTIVE

    def has_ended(self, incarnation: int, as_of_revision: int) -> bool:
        """Whether an incarnation can never serve again.

        A missing record proves the end only if the replica contains every
        change up to the revision that names the incarnation: before that, the
        record may exist without having been replicated. After that, a missing
        record was removed, and only records of ended nodes are removed.

        Args:
          incarnation: the incarnation of the node.
          as_of_revision: revision of the page that names the incarnation.
        """
        if incarnation == records.NO_OWNER:
            return True
        record = self.get(incarnation)
        if record is not None:
            if record.state is not records.NodeState.ENDED:
                return False
            # If the target checks no grants, the changes before the end must
            # be known too, since the target may now be beside a successor.
            known_up_to = self._replica.revision
            return record.checks_grants or (
                known_up_to >= self.revision(incarnation)
            )
        if incarnation in self.listed:
            return False
        return self._replica.revision >= as_of_revision

    def may_have_ended(self, incarnation: int) -> bool:
        """Whether a newer replica without a new record could prove the end."""
        record = self.get(incarnation)
        if record is None:
            return incarnation not in self.listed
        return record.state is records.NodeState.ENDED

    def changed(self, keys: list[str]) -> list[int]:
        """The incarnations whose records are among these keys."""
        named = [records.parse_node_key(key) for key in keys if _is_node(key)]
        return [pair[1] for pair in named if pair is not None]

    def revision(self, incarnation: int) -> int:
        """The store's revision of a decoded record; 0 if there is none."""
        member = self.by_incarnation.get(incarnation)
        return member.revision if member else 0

    def active(self) -> list[records.NodeRecord]:
        """The ACTIVE nodes in order of incarnation.

        The list is cached; callers must not change it.
        """
        if self._active is None:
            self._active = [
                member.record
                for _, member in sorted(self.by_incarnation.items())
                if member.record.state == records.NodeState.ACTIVE
            ]
        return self._active

    def serving(self, service: str) -> list[records.NodeRecord]:
        """The nodes that accept work of a service, in order of incarnation.

        The list is cached; callers must not change it.
        """
        if service not in self._serving:
            self._serving[service] = [
                record
                for record in self.active()
                if record.accepts_work(service)
            ]
        return self._serving[service]

    def successor(self, incarnation: int) -> records.NodeRecord | None:
        """The latest ACTIVE node of the same name, if it started later."""
        record = self.get(incarnation)
        if record is None:
            return None
        latest = max(self.by_name[record.name])
        if latest <= incarnation or not self.is_active(latest):
            return None
        return self.get(latest)

    def live_target_node(self, incarnation: int) -> records.NodeRecord | None:
        """The present node of a target that outlived an ended incarnation.

        Such a target checks no grants and may still work on the shards of the
        ended incarnation, so only its present node may own them.

        Returns:
          The node's record; None if the target checks grants or has ended.
        """
        former = self.get(incarnation)
        if former is None or former.checks_grants:
            return None
        if not former.target_incarnation:
            return None
        for other in sorted(self.by_name[former.name], reverse=True):
            record = self.get(other)
            is_later = other > incarnation
            if is_later and _target_lives_on_at(former, record):
                return record
        return None

    def _update_key(self, key: str) -> list[actions.LogEvent]:
        named = records.parse_node_key(key)
        if named is None:
            return [_undecodable(key, "its key names no incarnation")]
        name, incarnation = named
        self.version += 1
        self._active = None
        self._serving.clear()
        value = self._replica.get(key)
        if value is None:
            self._remove(name, incarnation)
            return []
        self.listed.add(incarnation)
        try:
            record = records.decode_node(value.data)
        except records.DECODE_ERRORS as error:
            return [_undecodable(key, str(error))]
        if (record.name, record.incarnation) != (name, incarnation):
            return [_undecodable(key, "it names another node than its key")]
        self.by_incarnation[incarnation] = Member(record, value.revision)
        self.by_name.setdefault(name, set()).add(incarnation)
        return []

    def _remove(self, name: str, incarnation: int) -> None:
        self.listed.discard(incarnation)
        self.by_incarnation.pop(incarnation, None)
        known = self.by_name.get(name)
        if known is None:
            return
        known.discard(incarnation)
        if not known:
            del self.by_name[name]


def _target_lives_on_at(
    former: records.NodeRecord, later: records.NodeRecord
) -> bool:
    """Whether the target of a former node is now beside a later live node."""
    return (
        later.target_incarnation == former.target_incarnation
        and later.state is not records.NodeState.ENDED
    )


def _is_node(key: str) -> bool:
    return key.startswith(records.NODES_PREFIX)


def _undecodable(key: str, problem: str) -> actions.LogEvent:
    return actions.LogEvent(
        "record_undecodable", [("key", key), ("problem", problem)]
    )
