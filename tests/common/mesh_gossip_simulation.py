"""Simulation, in virtual time, of gossip between hundreds of directories."""

import heapq
import random

from auburnrock.engine.mesh import gossip_filter
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model

TICK_MS = 50.0
PING_MS = 1_000.0
HOP_MS = 1.4


def members(count: int, zones: int = 5) -> dict[str, model.Member]:
    """Returns records of `count` nodes spread over zones."""
    return {
        name: model.Member(name, name, f"{name}:1", f"z{place % zones}", "s")
        for place, name in enumerate(
            f"10.0.{n // 250}.{n % 250}" for n in range(count)
        )
    }


class Peer:
    """A node: its directory, its neighbours and the entries to send to them.

    Attributes:
      sent: number of sent messages.
      long_items_sent: number of long items sent.
    """

    def __init__(self, name: str, known: dict[str, model.Member]):
        self.name = name
        self.directory = membership.Directory(name, 1_000_000)
        self.directory.set_members(known)
        # Sorted, so that a seed gives the same schedule in every process.
        self.neighbours = sorted(membership.neighbours(name, known))
        self.spread = gossip_filter.GossipFilter()
        self.items: dict[str, int] = {}
        self.pending: dict[str, dict[str, membership.Entry]] = {
            other: {} for other in self.neighbours
        }
        self.sent = 0
        self.long_items_sent = 0


class GossipSimulation:
    """Peers, the messages between them, and failures.

    Attributes:
      stopped: peers that neither receive nor send messages.
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
        self.event_count = 0
        for peer in self.peers.values():
            self.at(self.rng.uniform(0, TICK_MS), self.tick, peer)
            self.at(self.rng.uniform(0, PING_MS), self.ping, peer)

    def start_all(self) -> None:
        """Spreads an entry of each peer to all others."""
        for peer in self.peers.values():
            entry = membership.Entry(peer.name, service="s", slots=6)
            self.queue_entries(peer, [peer.directory.update_own(entry)], "")
        self.run(3_000.0)

    def at(self, delay_ms: float, act, *values) -> None:
        """Schedules a call."""
        self.event_count += 1
        entry = (self.now_ms + delay_ms, self.event_count, act, values)
        heapq.heappush(self.events, entry)

    def run(self, for_ms: float) -> None:
        """Advances the virtual time."""
        end_ms = self.now_ms + for_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, act, values = heapq.heappop(self.events)
            act(*values)
        self.now_ms = end_ms

    def time_until(self, condition, limit_ms: float = 20_000.0) -> float:
        """Returns the time in ms until a condition holds.

        Raises:
          AssertionError: it does not hold within the limit.
        """
        began_ms = self.now_ms
        while not condition():
            assert self.now_ms - began_ms < limit_ms, (
                f"condition did not hold within {limit_ms} ms"
            )
            self.run(20.0)
        return self.now_ms - began_ms

    def send(self, sender: Peer, name: str, act, *values) -> None:
        """Sends a message to another peer, unless it is lost."""
        if sender.name in self.stopped:
            return
        sender.sent += 1
        if self.rng.random() >= self.loss:
            self.at(HOP_MS, self.deliver, self.peers[name], act, values)

    def deliver(self, peer: Peer, act, values) -> None:
        """Delivers a message, unless the peer is stopped."""
        if peer.name not in self.stopped:
            act(peer, *values)

    def queue_entries(
        self, peer: Peer, entries: list[membership.Entry], source: str
    ) -> None:
        """Queues entries for all neighbours but one until the next tick."""
        for other, pending in peer.pending.items():
            if other != source:
                pending.update({entry.name: entry for entry in entries})

    def tick(self, peer: Peer) -> None:
        """Sends the queued entries to the neighbours."""
        self.at(TICK_MS, self.tick, peer)
        for other, pending in peer.pending.items():
            if pending:
                entries = list(pending.values())
                pending.clear()
                self.send(
                    peer, other, self.on_membership_update, peer.name, entries
                )

    def on_membership_update(
        self, peer: Peer, source: str, entries: list[membership.Entry]
    ) -> None:
        """Merges entries and forwards those that were new."""
        self.queue_entries(
            peer, peer.directory.merge(self.now_ms, entries), source
        )

    def ping(self, peer: Peer) -> None:
        """Sends the digest of the directory to the neighbours."""
        self.at(PING_MS, self.ping, peer)
        total = peer.directory.digest()
        for other in peer.neighbours:
            self.send(peer, other, self.on_digest, peer.name, total)

    def on_digest(self, peer: Peer, source: str, total: int) -> None:
        """Requests the entries that differ, if the digests do."""
        if total != peer.directory.digest():
            digests = peer.directory.bucket_digests()
            self.send(peer, source, self.on_bucket_digests, peer.name, digests)

    def on_bucket_digests(
        self, peer: Peer, source: str, digests: list[int]
    ) -> None:
        """Responds with the entries of the buckets that differ."""
        entries = peer.directory.differing(digests)
        self.send(peer, source, self.on_missed_entries, peer.name, entries)

    def on_missed_entries(
        self, peer: Peer, source: str, entries: list[membership.Entry]
    ) -> None:
        """Merges missed entries and sends those that the peer has missed."""
        later = peer.directory.later_than(entries)
        if later:
            peer.pending[source].update({entry.name: entry for entry in later})
        new_entries = peer.directory.merge(self.now_ms, entries)
        self.queue_entries(
            peer, peer.directory.missed_by_others(new_entries), source
        )

    def announce_item(self, peer: Peer, key: str, revision: int) -> None:
        """Stores a long item and announces it to the neighbours."""
        peer.items[key] = revision
        if peer.spread.should_forward(key, revision):
            for other in peer.neighbours:
                self.send(
                    peer,
                    other,
                    self.on_item_available,
                    peer.name,
                    key,
                    revision,
                )

    def on_item_available(
        self, peer: Peer, source: str, key: str, revision: int
    ) -> None:
        """Requests a long item that the peer does not have."""
        if peer.items.get(key, 0) >= revision:
            return
        if peer.spread.should_request(self.now_ms, key, revision):
            self.send(peer, source, self.on_item_request, peer.name, key)

    def on_item_request(self, peer: Peer, source: str, key: str) -> None:
        """Sends a long item to the peer that requested it."""
        peer.long_items_sent += 1
        revision = peer.items[key]
        self.send(peer, source, self.announce_item, key, revision)
