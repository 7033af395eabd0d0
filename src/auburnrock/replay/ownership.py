"""An oracle for sole ownership: replays what targets ran and pages said.

It knows nothing of leases. From the record of a run it says which of the
promises were broken:

* On each shard no execution starts at a lower epoch after one has started at a
  higher epoch.
* One epoch of a shard is run by one host only. Two targets of that host may
  run it only one after the other: the second can serve at the address only
  once the first has ended.
* An epoch that a page gave to a node is run by a target beside that node, and
  not after the node's record was seen ENDED.
* An acknowledged assignment is never lost: an epoch never shrinks, one epoch
  never changes its owner, and no shard loses its entry.
"""

import collections

import msgspec

from auburnrock import records


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """The start of an execution.

    Attributes:
      service: service of the target.
      shard: shard of the key.
      epoch: epoch that the request carried.
      host: name of the host that the target runs on.
      target: incarnation of the target.
      at_ms: when it began, boot-time milliseconds.
    """

    service: str
    shard: int
    epoch: int
    host: str
    target: str
    at_ms: int


class PageSeen(msgspec.Struct, frozen=True):
    """An assignment page as a watch of the store showed it."""

    at_ms: int
    page: records.AssignmentPage


class NodeSeen(msgspec.Struct, frozen=True):
    """A node's record as a watch of the store showed it."""

    at_ms: int
    record: records.NodeRecord


class Run(msgspec.Struct):
    """What was recorded of a run; pages and nodes in the store's order."""

    starts: list[Start] = []
    pages: list[PageSeen] = []
    nodes: list[NodeSeen] = []


_Place = tuple[str, int]


def broken_promises(run: Run) -> list[str]:
    """What the run broke, one sentence each; empty if nothing."""
    by_shard: dict[_Place, list[Start]] = collections.defaultdict(list)
    for start in sorted(run.starts, key=lambda start: start.at_ms):
        by_shard[start.service, start.shard].append(start)
    found = []
    for starts in by_shard.values():
        found += _falling_epochs(starts)
        found += _shared_epochs(starts)
    return found + _lost_assignments(run) + _wrong_servers(run)


def _falling_epochs(starts: list[Start]) -> list[str]:
    found = []
    highest = starts[0]
    for start in starts:
        # Two starts in one millisecond have no known order.
        if start.epoch < highest.epoch and start.at_ms > highest.at_ms:
            found.append(f"{start} began after {highest}")
        if start.epoch > highest.epoch:
            highest = start
    return found


def _shared_epochs(starts: list[Start]) -> list[str]:
    found = []
    latest: dict[int, Start] = {}
    former: dict[int, set[str]] = collections.defaultdict(set)
    for start in starts:
        before = latest.get(start.epoch, start)
        latest[start.epoch] = start
        if start.host != before.host:
            found.append(f"{start} shares its epoch with {before}")
        if start.target != before.target:
            former[start.epoch].add(before.target)
        if start.target in former[start.epoch]:
            found.append(f"{start} began beside its successor")
    return found


def _lost_assignments(run: Run) -> list[str]:
    found = []
    entries: dict[_Place, records.ShardEntry] = {}
    for seen in run.pages:
        first = seen.page.page * records.SHARDS_PER_PAGE
        for shard, entry in enumerate(seen.page.entries, first):
            place = (seen.page.service, shard)
            before = entries.get(place, entry)
            entries[place] = entry
            if entry.epoch < before.epoch:
                found.append(f"{place} went from {before} to {entry}")
            if entry.epoch == before.epoch and entry.owner != before.owner:
                found.append(f"{place} changed from {before} to {entry}")
        known = [place for place in entries if _is_on(place, seen.page)]
        if len(known) > len(seen.page.entries):
            found.append(f"{seen.page.service}/{seen.page.page} lost entries")
    return found


def _is_on(place: _Place, page: records.AssignmentPage) -> bool:
    service, shard = place
    number = shard // records.SHARDS_PER_PAGE
    return (service, number) == (page.service, page.page)


def _wrong_servers(run: Run) -> list[str]:
    targets: dict[int, set[str]] = collections.defaultdict(set)
    ended_ms: dict[int, int] = {}
    for seen in run.nodes:
        record = seen.record
        targets[record.incarnation].add(record.target_incarnation)
        if record.state is records.NodeState.ENDED:
            ended_ms.setdefault(record.incarnation, seen.at_ms)
    owners = _owners(run)
    found = []
    for start in run.starts:
        owner = owners.get((start.service, start.shard, start.epoch))
        if owner is None:
            continue
        if start.target not in targets[owner]:
            found.append(f"{start} is not beside its owner {owner:x}")
        if start.at_ms > ended_ms.get(owner, start.at_ms):
            found.append(f"{start} began after the end of {owner:x}")
    return found


def _owners(run: Run) -> dict[tuple[str, int, int], int]:
    owners = {}
    for seen in run.pages:
        first = seen.page.page * records.SHARDS_PER_PAGE
        for shard, entry in enumerate(seen.page.entries, first):
            owners[seen.page.service, shard, entry.epoch] = entry.owner
    return owners
