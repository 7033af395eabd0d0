"""The other nodes as a process in virtual time knows them.

Connections are modelled: messages are sent at once, and may be lost or come
late. Every node is in touch with all others, or with its neighbours only.
"""

import asyncio
from collections.abc import Callable
import math

from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages

PING_S = 0.3
UNHEARD_MS = 1_200.0
"""A node that has not answered for so long is called silent."""

ALL_NEIGHBOURS = 24
"""Up to so many nodes all are neighbours."""


class Link:
    """The way to another node."""

    def __init__(self, hub: "PeerConnections", name: str):
        self.peers = hub
        self.name = name
        self.heard_ms = hub.now_ms()
        self.pinged_ms = -math.inf

    def usable(self) -> bool:
        """Whether the node has answered lately."""
        return self.peers.now_ms() - self.heard_ms < UNHEARD_MS

    def was_pinged(self) -> bool:
        """Whether it was pinged a moment ago."""
        return self.peers.now_ms() - self.pinged_ms < 0.5 * PING_S * 1_000.0

    def ping(self) -> None:
        """Asks for life, and for a renewal."""
        self.pinged_ms = self.peers.now_ms()
        self.peers.process.ping(self)

    async def query(
        self, message: peer_messages.Message, mark: tuple, limit_s: float
    ) -> object:
        """Asks a question; None without an answer in time."""
        del mark
        loop = asyncio.get_running_loop()
        answered = loop.create_future()
        process = self.peers.process

        def take(answer: object) -> None:
            if not answered.done():
                answered.set_result(answer)

        process.world.send(
            process, self.name, "on_question", message, process, take
        )
        try:
            async with asyncio.timeout(limit_s):
                return await answered
        except TimeoutError:
            return None


class PeerConnections:
    """The other nodes, as this one knows them."""

    def __init__(self, process):
        self.process = process
        self.name = process.name
        self.now_ms = process.now_ms
        self.members: dict[str, model.Member] = {}
        self.members_changed_ms = process.now_ms()
        self.directory = membership.Directory(
            self.name, int(self.members_changed_ms)
        )
        self.links: dict[str, Link] = {}
        self.neighbours: set[str] = set()
        self.rng = process.rng
        self.on_change_request: Callable

    def set_members(self, members: dict[str, model.Member]) -> None:
        """Takes the nodes' records."""
        if members.keys() != self.members.keys():
            self.members_changed_ms = self.now_ms()
        self.members = members
        self.directory.set_members(members)
        for name in self.links.keys() - members.keys():
            del self.links[name]
        if len(members) <= ALL_NEIGHBOURS:
            self.neighbours = members.keys() - {self.name}
        else:
            self.neighbours = membership.neighbours(self.name, members)

    def link_to(self, name: str) -> Link | None:
        """The link to a member, made if need be."""
        if name in self.members and name != self.name:
            return self.links.setdefault(name, Link(self, name))
        return None

    def tick(self, at_once: bool = False) -> None:
        """Pings the neighbours and the witnesses."""
        del at_once
        lease = self.process.ownership.lease
        for name in sorted(self.neighbours | lease.all_witnesses()):
            link = self.link_to(name)
            if link is not None and not link.was_pinged():
                link.ping()
        for name in sorted(self.neighbours & self.links.keys()):
            if not self.links[name].usable():
                self.directory.suspect(self.now_ms(), name)

    def is_alive(self, name: str) -> bool:
        """Whether a node is heard, here and by its neighbours."""
        link = self.links.get(name)
        if link is not None and name in self.neighbours and not link.usable():
            return False
        return self.directory.is_alive(name)

    def alive(self) -> set[str]:
        """Members that are heard."""
        return set(filter(self.is_alive, self.directory.alive()))

    def broadcast(
        self, message: peer_messages.Message, source: str = ""
    ) -> None:
        """Tells all neighbours but one."""
        for name in sorted(self.neighbours):
            if name != source:
                self.process.send(name, "on_news", self.name, message)

    def send_to_random_neighbour(self, message: peer_messages.Message) -> None:
        """Asks one neighbour for an item."""
        known = sorted(self.neighbours & self.links.keys())
        if known:
            name = self.rng.choice(known)
            self.process.send(name, "on_news", self.name, message)
