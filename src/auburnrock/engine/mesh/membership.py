"""What nodes know of each other: entries that spread between neighbours.

Load answered: hundreds of nodes that start, stop, freeze and are cut off. Each
node keeps in touch with a few neighbours only, whatever the size of the fleet.
A change of an entry goes from neighbour to neighbour; neighbours that have
missed one find it by comparing sums.

The entries follow SWIM (Das, Gupta and Motivala, 2002): a node that its
neighbour no longer hears is called silent, and contradicts with a later
version of its entry. The neighbours are those on a few rings over all nodes;
the union of random rings has a small diameter and stays in one piece when
nodes are lost (Law and Siu, 2003). Nothing that must be safe hangs on an
entry: leases, seals and the store's conditions do not look at them.
"""

import bisect
from collections.abc import Iterable

import msgspec
import xxhash

from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import service_time_ratio as pace_module

RINGS = 3
"""Each adds two neighbours; six stay connected when two hosts, which the
deployments ask for, or far more are lost."""

DIGEST_BUCKETS = 16
"""Sums are compared for parts of the fleet, so that one missed entry does not
cost the entries of all."""

MISSED_PASSED_ON = 24
"""Up to so many entries got by comparing sums are passed on."""

RESUSPECT_DELAY_MS = 3_000.0
"""A node whose neighbour was contradicted does not call it silent again for so
long: it may be its own link that is lost."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """What a node says of itself to all others.

    Attributes:
      name: the node.
      version: grows with each change, also from one process to the next; it
        begins at the Unix time in milliseconds of the start.
      suspected: whether a neighbour no longer hears it.
      service: service of the target beside it.
      incarnation: that target's start; None without a target.
      slots: requests that the target runs at once; 0 without one.
      service_time_ratio: how fast the target works, in the steps of its share.
      draining: whether the target takes no new work.
      cold: whether the target has just started and is slow.
      leaving: whether the node is about to stop.
      reads_store: whether the store answers it.
    """

    name: str
    version: int = 0
    suspected: bool = False
    service: str = ""
    incarnation: model.Incarnation | None = None
    slots: int = 0
    service_time_ratio: float = pace_module.DEFAULT_SERVICE_TIME_RATIO
    draining: bool = False
    cold: bool = False
    leaving: bool = False
    reads_store: bool = False

    def version_key(self) -> tuple[int, bool]:
        """Orders what is known of one node; the higher is later."""
        return self.version, self.suspected

    def capacity_weight(self) -> float:
        """The target's share of the keys beside others of its service."""
        return pace_module.capacity_weight(self.slots, self.service_time_ratio)

    def may_own(self) -> bool:
        """Whether the target may be given keys."""
        return self.incarnation is not None and not (
            self.draining or self.suspected
        )


class Directory:
    """Entries of all nodes as this one knows them.

    Attributes:
      own: this node's entry as it was last told.
      entries: of the other nodes, by name.
      members: names of the nodes that have a record in the store.
      changes: counts changes, so that others see whether there was one.
      silent_since_ms: when this node learnt that another is silent, by name.
      refuted_ms: when a silent node was last heard of again, by name.
    """

    __slots__ = (
        "_sums",
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
        self._sums: list[int] | None = None

    def set_members(self, names: Iterable[str]) -> None:
        """Takes which nodes have a record; entries of others are dropped."""
        members = set(names)
        for name in self.members - members:
            self.entries.pop(name, None)
            self.silent_since_ms.pop(name, None)
            self.refuted_ms.pop(name, None)
        self.members = members
        self._change()

    def update_own(self, entry: Entry) -> Entry | None:
        """Takes what this node says of itself; the entry to spread if new.

        Args:
          entry: with any version, which is not looked at.
        """
        same = msgspec.structs.replace(
            entry, version=self.own.version, suspected=False
        )
        if same == self.own:
            return None
        self.own = msgspec.structs.replace(same, version=self.own.version + 1)
        self._change()
        return self.own

    def merge(self, now_ms: float, entries: Iterable[Entry]) -> list[Entry]:
        """Takes what a neighbour tells; returns what is to be passed on."""
        news = []
        for entry in entries:
            if entry.name == self.own.name:
                if entry.version_key() > self.own.version_key() or (
                    entry.version == self.own.version and entry != self.own
                ):
                    # Another process of this node, or a node that does not
                    # hear this one, said something later.
                    self.own = msgspec.structs.replace(
                        self.own, version=entry.version + 1
                    )
                    news.append(self.own)
                    self._change()
                continue
            known = self.entries.get(entry.name)
            if known is not None and known.version_key() >= entry.version_key():
                continue
            self._put(now_ms, entry)
            news.append(entry)
        return news

    def missed_by_others(self, news: list[Entry]) -> list[Entry]:
        """Which entries, got by comparing sums, are to be passed on.

        A few may have been missed by others too. Where many are new, this
        process or the fleet has just started, and they are on their way.
        """
        if len(news) <= MISSED_PASSED_ON:
            return news
        return [entry for entry in news if entry.name == self.own.name]

    def suspect(self, now_ms: float, name: str) -> Entry | None:
        """A node is no longer heard here; the entry to spread if it is news."""
        known = self.entries.get(name)
        if known is None or known.suspected:
            return None
        contradicted_ms = self.refuted_ms.get(name)
        if (
            contradicted_ms is not None
            and now_ms - contradicted_ms < RESUSPECT_DELAY_MS
        ):
            return None
        entry = msgspec.structs.replace(known, suspected=True)
        self._put(now_ms, entry)
        return entry

    def without_record(self) -> list[str]:
        """Nodes with an entry whose record is not known."""
        return [name for name in self.entries if name not in self.members]

    def alive(self) -> set[str]:
        """Members that nobody has called silent, without this node."""
        return {
            name
            for name, entry in self.entries.items()
            if not entry.suspected and name in self.members
        }

    def is_alive(self, name: str) -> bool:
        """Whether a member is known and not silent."""
        entry = self.entries.get(name)
        return entry is not None and not entry.suspected

    def suspected_for_ms(self, now_ms: float, name: str) -> float:
        """For how long a node has been known to be silent."""
        since_ms = self.silent_since_ms.get(name)
        return 0.0 if since_ms is None else now_ms - since_ms

    def bucket_digests(self) -> list[int]:
        """A sum for each part of the members' entries."""
        if self._sums is None:
            sums = [0] * DIGEST_BUCKETS
            for entry in (self.own, *self.entries.values()):
                if entry.name in self.members:
                    sums[bucket_of(entry.name)] ^= _fingerprint(entry)
            self._sums = sums
        return self._sums

    def digest(self) -> int:
        """One sum of all members' entries."""
        total = 0
        for place, part in enumerate(self.bucket_digests()):
            total ^= part * (2 * place + 1) & 0xFFFFFFFFFFFF
        return total

    def differing(self, sums: list[int]) -> list[Entry]:
        """Entries of the parts in which a neighbour has another sum."""
        own = self.bucket_digests()
        places = {
            place
            for place in range(DIGEST_BUCKETS)
            if place < len(sums) and sums[place] != own[place]
        }
        return [
            entry
            for entry in (self.own, *self.entries.values())
            if entry.name in self.members and bucket_of(entry.name) in places
        ]

    def later_than(self, entries: Iterable[Entry]) -> list[Entry]:
        """Of the nodes told of, those entries that are later here."""
        later = []
        for entry in entries:
            known = self.entries.get(entry.name)
            if entry.name == self.own.name:
                known = self.own
            if known is not None and known.version_key() > entry.version_key():
                later.append(known)
        return later

    def _put(self, now_ms: float, entry: Entry) -> None:
        self.entries[entry.name] = entry
        if entry.suspected:
            self.silent_since_ms[entry.name] = now_ms
        elif self.silent_since_ms.pop(entry.name, None) is not None:
            self.refuted_ms[entry.name] = now_ms
        self._change()

    def _change(self) -> None:
        self.changes += 1
        self._sums = None


def bucket_of(name: str) -> int:
    """The part of the fleet that a node belongs to."""
    return xxhash.xxh32_intdigest(name.encode()) % DIGEST_BUCKETS


def neighbours(own: str, members: dict[str, model.Member]) -> set[str]:
    """Nodes that a node keeps in touch with: both sides on each ring.

    The first ring goes through the zones one by one, so that some neighbours
    are near; the others are random.
    """
    others = {name for name in members if name != own}
    if len(others) <= 2 * RINGS:
        return others
    found = set()
    for ring in range(RINGS):

        def place(name: str, ring: int = ring) -> tuple:
            digest = xxhash.xxh64_intdigest(f"{ring} {name}".encode())
            zone = members[name].zone if ring == 0 and name in members else ""
            return zone, digest, name

        own_place = place(own)
        order = sorted(place(name) for name in others)
        after = bisect.bisect(order, own_place)
        found.add(order[after % len(order)][2])
        found.add(order[after - 1][2])
    return found


def _fingerprint(entry: Entry) -> int:
    text = f"{entry.name} {entry.version} {entry.suspected}"
    # 48 bits, so that a sum takes few bytes in MessagePack.
    return xxhash.xxh64_intdigest(text.encode()) & 0xFFFFFFFFFFFF
