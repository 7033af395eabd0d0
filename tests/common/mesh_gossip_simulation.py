"""Hundreds of directories that tell their neighbours, in virtual time."""

import heapq
import random

from auburnrock.engine.mesh import gossip_filter
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model

TICK_MS = 50.0
PING_MS = 1_000.0
HOP_MS = 1.4


def members(count: int, zones: int = 5) -> dict[str, model.Member]:
    """Records of so many nodes in some zones."""
    return {
        name: model.Member(name, name, f"{name}:1", f"z{place % zones}", "s")
        for place, name in enumerate(
            f"10.0.{n // 250}.{n % 250}" for n in range(count)
        )
    }


class Peer:
    """One node: its directory, its neighbours and what it will tell them."""

    def __init__(self, name: str, known: dict[str, model.Member]):
        self.name = name
        self.directory = membership.Directory(name, 1_000_000)
        self.directory.set_members(known)
        # In one order, so that a seed gives one schedule in every process.
        self.neighbours = sorted(membership.neighbours(name, known))
        self.spread = gossip_filter.GossipFilter()
        self.items: dict[str, int] = {}
        self.pending: dict[str, dict[str, membership.Entry]] = {
            other: {} for other in self.neighbours
        }
        self.sent = 0
        self.long_items_sent = 0


class GossipSimulation:
    """Peers, the messages between them, and what is wrong with some.

    Attributes:
      stopped: peers that neither take nor send anything.
      loss: share of messages that are lost.
    """

    def __init__(self, count: int, seed: int):
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.records = members(count)
        self.peers = {name: Peer(name, self.records) for name in self.records}
        self.stopped: set[str] = set()
        self.loss = 0.0
        self.events: list[tuple[float, int, object, tuple]] = []
        self.numbers = 0
        for peer in self.peers.values():
            self.at(self.rng.uniform(0, TICK_MS), self.tick, peer)
            self.at(self.rng.uniform(0, PING_MS), self.ping, peer)

    def start_all(self) -> None:
        """Each peer says something of itself, and all hear of it."""
        for peer in self.peers.values():
            entry = membership.Entry(peer.name, service="s", slots=6)
            self.queue_entries(peer, [peer.directory.update_own(entry)], "")
        self.run(3_000.0)

    def at(self, delay_ms: float, act, *values) -> None:
        """Does something later."""
        self.numbers += 1
        entry = (self.now_ms + delay_ms, self.numbers, act, values)
        heapq.heappush(self.events, entry)

    def run(self, for_ms: float) -> None:
        """Lets time pass."""
        end_ms = self.now_ms + for_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, act, values = heapq.heappop(self.events)
            act(*values)
        self.now_ms = end_ms

    def time_until(self, condition, limit_ms: float = 20_000.0) -> float:
        """How long it takes until something holds."""
        began_ms = self.now_ms
        while not condition():
            assert self.now_ms - began_ms < limit_ms, "not within the limit"
            self.run(20.0)
        return self.now_ms - began_ms

    def send(self, sender: Peer, name: str, act, *values) -> None:
        """Has another peer take something, unless it is lost."""
        if sender.name in self.stopped:
            return
        sender.sent += 1
        if self.rng.random() >= self.loss:
            self.at(HOP_MS, self.deliver, self.peers[name], act, values)

    def deliver(self, peer: Peer, act, values) -> None:
        """A message arrives."""
        if peer.name not in self.stopped:
            act(peer, *values)

    def queue_entries(
        self, peer: Peer, entries: list[membership.Entry], giver: str
    ) -> None:
        """Entries will be told to the neighbours at the next tick."""
        for other, pending in peer.pending.items():
            if other != giver:
                pending.update({entry.name: entry for entry in entries})

    def tick(self, peer: Peer) -> None:
        """Tells the neighbours what waits for them."""
        self.at(TICK_MS, self.tick, peer)
        for other, pending in peer.pending.items():
            if pending:
                entries = list(pending.values())
                pending.clear()
                self.send(
                    peer, other, self.on_membership_update, peer.name, entries
                )

    def on_membership_update(
        self, peer: Peer, giver: str, entries: list[membership.Entry]
    ) -> None:
        """Takes entries and passes on what is news."""
        self.queue_entries(
            peer, peer.directory.merge(self.now_ms, entries), giver
        )

    def ping(self, peer: Peer) -> None:
        """Compares sums with the neighbours."""
        self.at(PING_MS, self.ping, peer)
        total = peer.directory.digest()
        for other in peer.neighbours:
            self.send(peer, other, self.take_ping, peer.name, total)

    def take_ping(self, peer: Peer, giver: str, total: int) -> None:
        """Asks for the parts that differ."""
        if total != peer.directory.digest():
            sums = peer.directory.bucket_digests()
            self.send(peer, giver, self.take_sums, peer.name, sums)

    def take_sums(self, peer: Peer, giver: str, sums: list[int]) -> None:
        """Answers with the parts that differ."""
        entries = peer.directory.differing(sums)
        self.send(peer, giver, self.take_missed, peer.name, entries)

    def take_missed(
        self, peer: Peer, giver: str, entries: list[membership.Entry]
    ) -> None:
        """Takes what was missed, and tells what the giver has missed."""
        later = peer.directory.later_than(entries)
        if later:
            peer.pending[giver].update({entry.name: entry for entry in later})
        news = peer.directory.merge(self.now_ms, entries)
        self.queue_entries(peer, peer.directory.missed_by_others(news), giver)

    def announce(self, peer: Peer, key: str, revision: int) -> None:
        """A long item came; the neighbours are told that it is here."""
        peer.items[key] = revision
        if peer.spread.should_forward(key, revision):
            for other in peer.neighbours:
                self.send(peer, other, self.take_has, peer.name, key, revision)

    def take_has(self, peer: Peer, giver: str, key: str, revision: int) -> None:
        """Asks for a long item that is not here."""
        if peer.items.get(key, 0) >= revision:
            return
        if peer.spread.should_request(self.now_ms, key, revision):
            self.send(peer, giver, self.take_want, peer.name, key)

    def take_want(self, peer: Peer, giver: str, key: str) -> None:
        """Hands out a long item."""
        peer.long_items_sent += 1
        revision = peer.items[key]
        self.send(peer, giver, self.announce, key, revision)
