"""Directory of all nodes, spread between neighbours by gossip.

It is made for hundreds of nodes that start, stop, freeze and are cut off. Each
node is connected to a few neighbours only, whatever the size of the fleet. A
changed entry is forwarded from neighbour to neighbour; neighbours find entries
that they have missed by comparing digests.

The entries follow SWIM (Das, Gupta and Motivala, 2002): a node that does not
answer its neighbour is suspected, and refutes that with a later version of its
entry. The neighbours are the adjacent nodes on a few rings over all nodes: the
union of random rings has a small diameter and stays connected when nodes are
lost (Law and Siu, 2003). Safety does not depend on the entries: leases, seals
and the conditions of the store's transactions do not use them.
"""

import bisect
from collections.abc import Iterable

import msgspec
import xxhash

from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import service_time_ratio as ratio_module

RINGS = 3
"""Number of rings. Each adds two neighbours; with six, the fleet stays
connected after the loss of two hosts, which the deployments require, or of far
more."""

DIGEST_BUCKETS = 16
"""Number of buckets of nodes that have a digest of their own, so that a missed
entry costs the entries of one bucket and not those of all nodes."""

FORWARDED_MISSED_MAX = 24
"""Number of entries received after a comparison of digests up to which all are
forwarded to neighbours."""

RESUSPECT_DELAY_MS = 3_000.0
"""Time in milliseconds after a node has refuted a suspicion during which it is
not suspected here again, since the fault may be in this node's own link."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """State of a node and its target, as the node publishes it.

    Attributes:
      name: name of the node.
      version: version of the entry, which rises with each change, also from one
        process to the next; its first value is the Unix time of the node's
        start in milliseconds.
      suspected: whether a neighbour suspects the node to be lost.
      service: service of the target beside the node.
      incarnation: current incarnation of the target; None without a target.
      slots: number of requests that the target runs at once; 0 without one.
      service_time_ratio: service time of the target's requests as a share of
        their objective, as its capacity weight uses it.
      draining: whether the target accepts no new work.
      cold: whether the target has just started and is slow.
      leaving: whether the node is about to stop.
      reads_store: whether the store answers the node.
      named_leaving: whether a response of the target said that it leaves, which
        its heartbeats may not say.
      limit_per_s: requests per second that the target takes, without small
        changes; 0 for no limit.
      limited_share: part of its usual weight that the target has by the limit.
      evacuated: whether the target's zone is evacuated.
    """

    name: str
    version: int = 0
    suspected: bool = False
    service: str = ""
    incarnation: model.Incarnation | None = None
    slots: int = 0
    service_time_ratio: float = ratio_module.DEFAULT_SERVICE_TIME_RATIO
    draining: bool = False
    cold: bool = False
    leaving: bool = False
    reads_store: bool = False
    limit_per_s: float = 0.0
    limited_share: float = 1.0
    named_leaving: bool = False
    evacuated: bool = False

    def version_key(self) -> tuple[int, bool]:
        """Returns the key that orders entries of one node; higher is later."""
        return self.version, self.suspected

    def capacity_weight(self) -> float:
        """Returns the target's weight in sharing the keys of its service."""
        return self.limited_share * ratio_module.capacity_weight(
            self.slots, self.service_time_ratio
        )

    def refuses_new_work(self) -> bool:
        """Whether the target is draining or in an evacuated zone."""
        return self.draining or self.evacuated

    def may_own(self) -> bool:
        """Whether keys may be assigned to the target."""
        return self.incarnation is not None and not (
            self.refuses_new_work() or self.suspected
        )


class Directory:
    """Entries of all nodes as this node knows them.

    Attributes:
      own: this node's own entry as last published.
      entries: entries of the other nodes, by name.
      members: names of the nodes that have a record in the store.
      changes: number of changes so far, by which callers detect a change.
      silent_since_ms: when this node learned that another node is suspected, by
        name.
      refuted_ms: when this node last learned that a suspected node is alive, by
        name.
    """

    __slots__ = (
        "_bucket_digests",
        "changes",
        "entries",
        "members",
        "own",
        "refuted_ms",
        "silent_since_ms",
    )

    def __init__(self, name: str, unix_ms: int):
        self.own = Entry(name, unix_ms)
        self.entries: dict[str, Entry] = {}
        self.members: set[str] = set()
        self.changes = 0
        self.silent_since_ms: dict[str, float] = {}
        self.refuted_ms: dict[str, float] = {}
        self._bucket_digests: list[int] | None = None

    def set_members(self, names: Iterable[str]) -> None:
        """Sets which nodes have a record and removes entries of former ones."""
        members = set(names)
        for name in self.members - members:
            self.entries.pop(name, None)
            self.silent_since_ms.pop(name, None)
            self.refuted_ms.pop(name, None)
        self.members = members
        self._on_change()

    def update_own(self, entry: Entry) -> Entry | None:
        """Updates this node's own entry.

        Args:
          entry: the new state; its version is ignored.

        Returns:
          The entry to gossip, or None if nothing has changed.
        """
        current = msgspec.structs.replace(
            entry, version=self.own.version, suspected=False
        )
        if current == self.own:
            return None
        self.own = msgspec.structs.replace(
            current, version=self.own.version + 1
        )
        self._on_change()
        return self.own

    def merge(self, now_ms: float, entries: Iterable[Entry]) -> list[Entry]:
        """Merges entries from a neighbour; returns those to forward."""
        updates = []
        for entry in entries:
            if entry.name == self.own.name:
                if entry.version_key() > self.own.version_key() or (
                    entry.version == self.own.version and entry != self.own
                ):
                    # Another process of this node, or a node that suspects
                    # this one, has published a later entry.
                    self.own = msgspec.structs.replace(
                        self.own, version=entry.version + 1
                    )
                    updates.append(self.own)
                    self._on_change()
                continue
            known = self.entries.get(entry.name)
            if known is not None and known.version_key() >= entry.version_key():
                continue
            self._set_entry(now_ms, entry)
            updates.append(entry)
        return updates

    def missed_by_others(self, entries: list[Entry]) -> list[Entry]:
        """Returns those entries received by comparing digests to forward.

        A few entries may have been missed by other nodes too. If many are new,
        this process or the fleet has just started, and other nodes receive
        them anyway.
        """
        if len(entries) <= FORWARDED_MISSED_MAX:
            return entries
        return [entry for entry in entries if entry.name == self.own.name]

    def suspect(self, now_ms: float, name: str) -> Entry | None:
        """Suspects a node that does not answer this one.

        Returns:
          The entry to gossip; None if the node is unknown, already suspected,
          or has refuted a suspicion within RESUSPECT_DELAY_MS.
        """
        known = self.entries.get(name)
        if known is None or known.suspected:
            return None
        refuted_ms = self.refuted_ms.get(name)
        if refuted_ms is not None and now_ms - refuted_ms < RESUSPECT_DELAY_MS:
            return None
        entry = msgspec.structs.replace(known, suspected=True)
        self._set_entry(now_ms, entry)
        return entry

    def without_record(self) -> list[str]:
        """Returns the nodes that have an entry here and no known record."""
        return [name for name in self.entries if name not in self.members]

    def lacks_entries(self) -> bool:
        """Whether there are other nodes with a record and without an entry."""
        return any(
            name not in self.entries and name != self.own.name
            for name in self.members
        )

    def alive(self) -> set[str]:
        """Returns the members that are not suspected, except this node."""
        return {
            name
            for name, entry in self.entries.items()
            if not entry.suspected and name in self.members
        }

    def is_alive(self, name: str) -> bool:
        """Whether a node has an entry here and is not suspected."""
        entry = self.entries.get(name)
        return entry is not None and not entry.suspected

    def suspected_for_ms(self, now_ms: float, name: str) -> float:
        """Returns for how long a node has been suspected; 0 if it is not."""
        since_ms = self.silent_since_ms.get(name)
        return 0.0 if since_ms is None else now_ms - since_ms

    def bucket_digests(self) -> list[int]:
        """Returns a digest of the members' entries for each bucket."""
        if self._bucket_digests is None:
            digests = [0] * DIGEST_BUCKETS
            for entry in (self.own, *self.entries.values()):
                if entry.name in self.members:
                    digests[bucket_of(entry.name)] ^= _entry_digest(entry)
            self._bucket_digests = digests
        return self._bucket_digests

    def digest(self) -> int:
        """Returns one digest of all members' entries."""
        total = 0
        for bucket, bucket_digest in enumerate(self.bucket_digests()):
            total ^= bucket_digest * (2 * bucket + 1) & 0xFFFFFFFFFFFF
        return total

    def differing(self, digests: list[int]) -> list[Entry]:
        """Returns the entries of buckets in which a neighbour's digest differs.

        Args:
          digests: the neighbour's digest of each bucket.
        """
        own = self.bucket_digests()
        buckets = {
            bucket
            for bucket in range(DIGEST_BUCKETS)
            if bucket < len(digests) and digests[bucket] != own[bucket]
        }
        return [
            entry
            for entry in (self.own, *self.entries.values())
            if entry.name in self.members and bucket_of(entry.name) in buckets
        ]

    def later_than(self, entries: Iterable[Entry]) -> list[Entry]:
        """Returns this node's entries that are later than those received.

        Args:
          entries: the received entries; nodes that are not among them are left
            out.
        """
        later = []
        for entry in entries:
            known = self.entries.get(entry.name)
            if entry.name == self.own.name:
                known = self.own
            if known is not None and known.version_key() > entry.version_key():
                later.append(known)
        return later

    def _set_entry(self, now_ms: float, entry: Entry) -> None:
        self.entries[entry.name] = entry
        if entry.suspected:
            self.silent_since_ms[entry.name] = now_ms
        elif self.silent_since_ms.pop(entry.name, None) is not None:
            self.refuted_ms[entry.name] = now_ms
        self._on_change()

    def _on_change(self) -> None:
        self.changes += 1
        self._bucket_digests = None


def bucket_of(name: str) -> int:
    """Returns the index of the bucket of a node."""
    return xxhash.xxh32_intdigest(name.encode()) % DIGEST_BUCKETS


def neighbours(own: str, members: dict[str, model.Member]) -> set[str]:
    """Returns the neighbours of a node: those on both sides of it on each ring.

    The first ring is ordered by zone, so that some neighbours are near; the
    other rings are random.
    """
    others = {name for name in members if name != own}
    if len(others) <= 2 * RINGS:
        return others
    found = set()
    for ring in range(RINGS):

        def position(name: str, ring: int = ring) -> tuple:
            digest = xxhash.xxh64_intdigest(f"{ring} {name}".encode())
            zone = members[name].zone if ring == 0 and name in members else ""
            return zone, digest, name

        own_position = position(own)
        order = sorted(position(name) for name in others)
        after = bisect.bisect(order, own_position)
        found.add(order[after % len(order)][2])
        found.add(order[after - 1][2])
    return found


def _entry_digest(entry: Entry) -> int:
    text = f"{entry.name} {entry.version} {entry.suspected}"
    # 48 bits, so that a digest takes few bytes in MessagePack.
    return xxhash.xxh64_intdigest(text.encode()) & 0xFFFFFFFFFFFF
