"""Test oracle for exclusive ownership: checks the record of a run.

It does not use leases. From the executions of the targets and the versions of
pages and node records, it reports which of these guarantees were violated:

* On each shard, no execution starts at a lower epoch after one has started at
  a higher epoch.
* Executions of one epoch of a shard run on one host only. Two targets of that
  host may run them only one after the other: the second can listen on the
  address only after the first has ended.
* Executions of an epoch that a page assigned to a node run on a target beside
  that node, and none starts after the node's record became ENDED.
* An acknowledged assignment is never lost: an epoch never decreases, an epoch
  never changes its owner, and no shard loses its entry.
"""

import collections

import msgspec

from auburnrock import records


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """The start of an execution.

    Attributes:
      service: service of the target.
      shard: shard of the request's key.
      epoch: epoch that the request carried.
      host: name of the host that the target runs on.
      target: incarnation of the target.
      at_ms: when the execution began, in milliseconds of boot time.
    """

    service: str
    shard: int
    epoch: int
    host: str
    target: str
    at_ms: int


class ObservedPage(msgspec.Struct, frozen=True):
    """A version of an assignment page that a watch of the store delivered.

    Attributes:
      at_ms: when it was delivered, in milliseconds of boot time.
      page: the page.
    """

    at_ms: int
    page: records.AssignmentPage


class ObservedNode(msgspec.Struct, frozen=True):
    """A version of a node's record that a watch of the store delivered.

    Attributes:
      at_ms: when it was delivered, in milliseconds of boot time.
      record: the record.
    """

    at_ms: int
    record: records.NodeRecord


class Run(msgspec.Struct):
    """The record of a run; pages and nodes are in the order of the store."""

    starts: list[Start] = []
    pages: list[ObservedPage] = []
    nodes: list[ObservedNode] = []


_ShardId = tuple[str, int]


def find_violations(run: Run) -> list[str]:
    """Returns one sentence for each violation that the run contains."""
    by_shard: dict[_ShardId, list[Start]] = collections.defaultdict(list)
    for start in sorted(run.starts, key=lambda start: start.at_ms):
        by_shard[start.service, start.shard].append(start)
    found = []
    for starts in by_shard.values():
        found += _epoch_regressions(starts)
        found += _shared_epochs(starts)
    return found + _lost_assignments(run) + _wrong_targets(run)


def _epoch_regressions(starts: list[Start]) -> list[str]:
    found = []
    highest = starts[0]
    for start in starts:
        # The order of two starts in the same millisecond is unknown.
        if start.epoch < highest.epoch and start.at_ms > highest.at_ms:
            found.append(f"{start} started after the higher epoch of {highest}")
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
            found.append(f"{start} has the same epoch as {before}")
        if start.target != before.target:
            former[start.epoch].add(before.target)
        if start.target in former[start.epoch]:
            found.append(f"{start} started after its target's successor ran")
    return found


def _lost_assignments(run: Run) -> list[str]:
    found = []
    entries: dict[_ShardId, records.ShardEntry] = {}
    for observed in run.pages:
        first = observed.page.page * records.SHARDS_PER_PAGE
        for shard, entry in enumerate(observed.page.entries, first):
            shard_id = (observed.page.service, shard)
            before = entries.get(shard_id, entry)
            entries[shard_id] = entry
            if entry.epoch < before.epoch:
                found.append(f"{shard_id} regressed from {before} to {entry}")
            if entry.epoch == before.epoch and entry.owner != before.owner:
                found.append(f"{shard_id} changed owner: {before}, {entry}")
        known = [
            shard_id
            for shard_id in entries
            if _is_in_page(shard_id, observed.page)
        ]
        if len(known) > len(observed.page.entries):
            found.append(
                f"{observed.page.service}/{observed.page.page} lost entries"
            )
    return found


def _is_in_page(shard_id: _ShardId, page: records.AssignmentPage) -> bool:
    service, shard = shard_id
    number = shard // records.SHARDS_PER_PAGE
    return (service, number) == (page.service, page.page)


def _wrong_targets(run: Run) -> list[str]:
    targets: dict[int, set[str]] = collections.defaultdict(set)
    ended_ms: dict[int, int] = {}
    for observed in run.nodes:
        record = observed.record
        targets[record.incarnation].add(record.target_incarnation)
        if record.state is records.NodeState.ENDED:
            ended_ms.setdefault(record.incarnation, observed.at_ms)
    owners = _owners(run)
    found = []
    for start in run.starts:
        owner = owners.get((start.service, start.shard, start.epoch))
        if owner is None:
            continue
        if start.target not in targets[owner]:
            found.append(
                f"{start} did not run on a target of its owner {owner:x}"
            )
        if start.at_ms > ended_ms.get(owner, start.at_ms):
            found.append(f"{start} started after the end of owner {owner:x}")
    return found


def _owners(run: Run) -> dict[tuple[str, int, int], int]:
    owners = {}
    for observed in run.pages:
        first = observed.page.page * records.SHARDS_PER_PAGE
        for shard, entry in enumerate(observed.page.entries, first):
            owners[observed.page.service, shard, entry.epoch] = entry.owner
    return owners
