"""Connections to other nodes: requests, pings, renewals, seals and news.

A node keeps connections to its neighbours and to its witnesses, and opens
others for the requests that it sends; `engine.mesh.connection_state` decides
when.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import itertools
import math
import random

import msgspec

from auburnrock import errors
from auburnrock.engine.mesh import connection_state
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import frames
from auburnrock.shells.mesh import peer_link

RESULT_KEPT_S = 3.0
"""Results wait so long for a connection to be made anew, or until their
requests are not sent again."""

RESENT_MS = 100.0
"""Longer than a request is sent again after its deadline
(dispatcher.OVERTIME_MS)."""

CANCEL_KEPT_S = 3.0
"""Longer than bytes wait on an ended connection (frames.USER_TIMEOUT_MS)."""

ORPHAN_S = 1.5
"""Work of a node that does not come back is cancelled after this."""

IDEMPOTENT_ORPHAN_S = 0.35
"""The same for idempotent work that waits, or whose node has ended."""

OFFSET_DRIFT_MS = 0.05
"""Clocks of two hosts drift apart by less than this between two pings."""

LINK_TICK_MS = 50.0
"""Between two looks at all connections; news waits so long for other news."""

NEIGHBOURS_EVERY_MS = 250.0
"""Least time between two choices of neighbours: a fleet that starts registers
within a second, and each choice would open other connections."""

SWEEP_EVERY_MS = 1_000.0
"""Between two looks for connections that their openers no longer know."""

YOUNG_MS = 1_500.0
"""A process of this age knows the records of all nodes that started with it."""

SUMS_EVERY_MS = 1_500.0
"""A node asks for what differs this often at most: while a whole fleet starts
everything differs, and the news is on its way already."""

SUMS_DIFFER = 3
"""Pings in a row with another sum before entries are compared: news that is
still on its way makes the sums differ for a moment."""


class RemoteRequest:
    """A request of another node that runs here.

    Attributes:
      connection: where its outcome goes.
      run: the request.
      sent: whether the target may have begun to run it.
      orphaned: whether it was broken off because its node had not come back.
      resent_until_ms: when its node has given it up.
      task: runs it; None once it has an outcome.
      outcome: its outcome; None before.
    """

    __slots__ = (
        "connection",
        "orphaned",
        "outcome",
        "resent_until_ms",
        "run",
        "sent",
        "task",
    )

    def __init__(
        self,
        connection: frames.FrameConnection,
        run: peer_messages.RunRequest,
        resent_until_ms: float,
    ):
        self.connection = connection
        self.run = run
        self.resent_until_ms = resent_until_ms
        self.sent = False
        self.orphaned = False
        self.task: asyncio.Task | None = None
        self.outcome: peer_messages.RunOutcome | None = None

    def note_sent(self) -> None:
        """The target gets the request now."""
        self.sent = True


class Inbound:
    """A connection that another node has opened.

    Attributes:
      name: the other node.
      process_incarnation: tells its process from earlier ones.
      number: orders the connections to this process by their opening.
      mismatched_digests: pings in a row whose sum was another than here.
      last_received_ms: when the last message came.
    """

    __slots__ = (
        "last_received_ms",
        "mismatched_digests",
        "name",
        "number",
        "process_incarnation",
    )

    def __init__(self, name: str, start: str, number: int = 0):
        self.name = name
        self.process_incarnation = start
        self.number = number
        # What has changed before the connection was opened was not told on it.
        self.mismatched_digests = SUMS_DIFFER - 1
        self.last_received_ms = -math.inf

    def origin(self) -> tuple[str, str]:
        """The other process."""
        return self.name, self.process_incarnation


class PeerConnections(peer_link.LinkDelegate):
    """All connections of a node to others.

    Attributes:
      name: this node.
      process_incarnation: tells this process from earlier ones of this node.
      directory: what is known of all nodes.
      members: records of all nodes.
      neighbours: nodes with which this one compares its directory.
      links: connections that this node has opened or opens, by name.
      retired: links to nodes whose record has gone or changed, while requests
        wait on them.
      inbound: connections that others have opened.
      inbound_numbers: numbers for these.
      remote_requests: requests of other nodes, by node, its start and number.
      cancelled: requests that were cancelled and are not known here.
      sent_bytes: bytes written to other nodes, by kind of message.
      rng: chooses whom to ask.
      assigned: witnesses for which duties were last assigned.
      started_ms: start of this process.
      members_changed_ms: when a record was last added or removed.
      members_changed: whether records have changed since neighbours were
        chosen.
      chosen_ms: when they were.
      compared_ms: when it last asked a neighbour for what differs.
      swept_ms: when it last looked for connections that are no longer known at
        their other end.
      offsets: least difference of clocks seen to each other process.
      execute: runs a request at the target, and says when it gets it.
      should_fail_over: whether a request at a silent node is sent to another
        now.
      versions: versions of the store's items known here.
      load_report: load of this node's target.
      suspects: counts to tell peers.
      term_for: term to renew at a witness; 0 for other nodes.
      witnesses: nodes that renew this one's lease.
      on_ping: takes a ping, and returns the term it renewed.
      on_pong: takes a pong.
      on_entries_changed: entries of the directory have changed.
      items: the store's items as known here, for a snapshot.
      on_item_request: returns a long item, or its change, for a neighbour.
      has_read: whether the store was read since the start.
      asks_for_snapshot: whether a connecting peer should tell all it knows.
      on_snapshot: takes a snapshot.
      on_store_update: takes changes of the store from a node.
      on_table_update: takes a change of a key table from a node.
      on_item_available: a neighbour has a long item; says whether it is needed.
      on_peer_without_record: a node without a known record has connected.
      on_silence_query: says how long a node has been silent.
      on_seal: seals; returns what is left, or None if it cannot tell.
      on_change_request: makes a change of the store for another node.
      tasks: such changes that are under way.
    """

    def __init__(
        self,
        name: str,
        start: str,
        unix_ms: int,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
    ):
        self.name = name
        self.process_incarnation = start
        self.log = log
        self.now_ms = now_ms
        self.loop = asyncio.get_running_loop()
        self.directory = membership.Directory(name, unix_ms)
        self.members: dict[str, model.Member] = {}
        self.neighbours: set[str] = set()
        self.links: dict[str, peer_link.PeerLink] = {}
        self.retired: list[peer_link.PeerLink] = []
        self.inbound: dict[frames.FrameConnection, Inbound] = {}
        self.inbound_numbers = itertools.count(1)
        self.remote_requests: dict[tuple[str, str, int], RemoteRequest] = {}
        self.cancelled: set[tuple[str, str, int]] = set()
        self.sent_bytes: dict[str, int] = {}
        self.offsets: dict[tuple[str, str], float] = {}
        self.ticked_ms = 0.0
        self.rng = random.Random()
        self.started_ms = now_ms()
        self.members_changed_ms = now_ms()
        self.members_changed = False
        self.chosen_ms = now_ms()
        self.compared_ms = 0.0
        self.swept_ms = now_ms()
        self.assigned: set[str] | None = None
        self.execute: Callable[
            [peer_messages.RunRequest, Callable[[], None]],
            Awaitable[peer_messages.RunOutcome],
        ]
        self.should_fail_over: Callable[[peer_messages.RunRequest], bool]
        self.versions: Callable[[], peer_messages.Versions]
        self.load_report: Callable[[], target_selection.LoadReport]
        self.suspects: Callable[[], list[tuple[str, int]]]
        self.term_for: Callable[[str], int]
        self.witnesses: Callable[[], set[str]]
        self.on_pong: Callable[[str, peer_messages.Pong], None]
        self.on_ping: Callable[[str, peer_messages.Ping], int]
        self.on_entries_changed: Callable[[list[membership.Entry]], None]
        self.items: Callable[[], list[tuple[str, bytes, int]]]
        self.on_item_request: Callable[
            [peer_messages.ItemRequest], peer_messages.Message | None
        ]
        self.has_read: Callable[[], bool]
        self.asks_for_snapshot: Callable[[], bool]
        self.on_store_update: Callable[[str, peer_messages.StoreUpdate], None]
        self.on_table_update: Callable[[str, peer_messages.TableUpdate], None]
        self.on_item_available: Callable[[peer_messages.ItemAvailable], bool]
        self.on_snapshot: Callable[[peer_messages.Snapshot], None]
        self.on_peer_without_record: Callable[
            [str, frames.FrameConnection], None
        ]
        self.on_silence_query: Callable[[str], float]
        self.on_seal: Callable[[str, int], float | None]
        self.on_change_request: Callable[
            [peer_messages.ChangeRequest], Awaitable[peer_messages.ChangeReply]
        ]
        self.tasks: set[asyncio.Task] = set()
        self.listener: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Begins to take connections."""
        host, _, port = address.rpartition(":")
        self.listener = await self.loop.create_server(
            lambda: frames.FrameConnection(
                self.on_message, self.on_closed, self.sent_bytes
            ),
            host,
            int(port),
            backlog=512,
        )

    def hello(self, asks_for_snapshot: bool) -> peer_messages.Hello:
        """The first message on a connection."""
        return peer_messages.Hello(
            self.name,
            self.process_incarnation,
            asks_for_snapshot,
            self.has_read(),
        )

    def versions_for(
        self, connection: frames.FrameConnection
    ) -> peer_messages.Versions | None:
        """Versions known here, if a connection's other end has older ones."""
        versions = self.versions()
        if versions == connection.last_sent_versions:
            return None
        connection.last_sent_versions = versions
        return versions

    def ping_for(self, link: peer_link.PeerLink) -> peer_messages.Ping:
        """A ping with this node's load and what the other must know."""
        name = link.member.name
        is_neighbour = name in self.neighbours
        return peer_messages.Ping(
            self.now_ms(),
            self.term_for(name),
            self.load_report(),
            self.versions_for(link.connection),
            self.suspects(),
            self.directory.digest() if is_neighbour else 0,
        )

    def is_small(self) -> bool:
        """Whether all nodes keep in touch with all others."""
        return len(self.members) <= connection_state.FULL_MESH_NODES_MAX

    def set_members(self, members: dict[str, model.Member]) -> None:
        """Takes the records of all nodes."""
        if members.keys() != self.members.keys():
            self.members_changed_ms = self.now_ms()
        self.members = members
        self.directory.set_members(members)
        for name, link in list(self.links.items()):
            member = members.get(name)
            if member is None or member.address != link.member.address:
                link.retire()
                self.retired.append(link)
                del self.links[name]
            else:
                link.member = member
        self.members_changed = True
        self.choose_neighbours()

    def choose_neighbours(self) -> None:
        """Chooses neighbours anew some time after the records have changed."""
        now_ms = self.now_ms()
        if now_ms - self.chosen_ms < NEIGHBOURS_EVERY_MS:
            return
        self.chosen_ms = now_ms
        self.members_changed = False
        is_young = now_ms - self.started_ms < YOUNG_MS
        if self.is_small() and not is_young:
            self.neighbours = self.members.keys() - {self.name}
        else:
            # Most records of a large fleet may not be known yet.
            self.neighbours = membership.neighbours(self.name, self.members)
            self.members_changed = is_young
        self.assigned = None
        self.assign_duties()

    def assign_duties(self) -> None:
        """Sees to it that duties have links, and others none for long."""
        witnesses = self.witnesses()
        if witnesses == self.assigned:
            return
        self.assigned = witnesses
        duties = self.neighbours | (witnesses & self.members.keys())
        for name in duties - self.links.keys():
            self.links[name] = peer_link.PeerLink(self, self.members[name])
        is_small = self.is_small()
        for name, link in self.links.items():
            link.state.keep_open = name in duties
            link.due_ms = 0.0
            link.state.ping_ms = connection_state.NEIGHBOUR_PING_MS
            if name in witnesses:
                link.state.ping_ms = connection_state.WITNESS_PING_MS
            elif is_small:
                link.state.ping_ms = connection_state.PING_MS

    def link_to(self, name: str) -> peer_link.PeerLink | None:
        """The link to a member, made if need be."""
        link = self.links.get(name)
        if link is None and name in self.members and name != self.name:
            link = peer_link.PeerLink(self, self.members[name])
            self.links[name] = link
        return link

    def tick(self, at_once: bool = False) -> None:
        """Looks after all connections; call it often.

        Args:
          at_once: whether there is news, so that the next look is due now.
        """
        now_ms = self.now_ms()
        late_ms = now_ms - self.ticked_ms
        if late_ms < LINK_TICK_MS and not at_once:
            return
        self.ticked_ms = now_ms
        if late_ms > connection_state.STALL_THRESHOLD_MS:
            for link in (*self.links.values(), *self.retired):
                link.state.on_stall(now_ms, late_ms)
        if self.members_changed:
            self.choose_neighbours()
        self.assign_duties()
        for name, link in list(self.links.items()):
            if (
                link.pending_entries
                and link.handshake_done
                and link.connection is not None
            ):
                link.send(
                    peer_messages.MembershipUpdate(
                        list(link.pending_entries.values())
                    )
                )
                link.pending_entries.clear()
            if now_ms >= link.due_ms and not link.step():
                link.stop()
                del self.links[name]
        for link in list(self.retired):
            if not link.step():
                link.stop()
                self.retired.remove(link)
        if now_ms - self.swept_ms >= SWEEP_EVERY_MS:
            self.swept_ms = now_ms
            self.sweep(now_ms)

    def sweep(self, now_ms: float) -> None:
        """Closes connections of nodes that were lost without a farewell."""
        for connection, inbound in list(self.inbound.items()):
            if connection_state.is_inbound_idle(
                now_ms, inbound.last_received_ms
            ):
                connection.abort()

    def publish_own_entry(self, entry: membership.Entry) -> None:
        """Spreads what this node says of itself, if it has changed."""
        told = self.directory.update_own(entry)
        if told is not None:
            self.log.write(
                "entry_told",
                version=told.version,
                target=told.incarnation.target if told.incarnation else "",
                slots=told.slots,
                pace=round(told.service_time_ratio, 3),
                draining=told.draining,
                cold=told.cold,
                leaving=told.leaving,
                reads=told.reads_store,
            )
            self.queue_gossip([told])

    def queue_gossip(
        self, entries: list[membership.Entry], giver: str = ""
    ) -> None:
        """Tells the neighbours entries soon, but not who has told them."""
        for name in self.neighbours:
            link = self.links.get(name)
            if link is None or name == giver:
                continue
            for entry in entries:
                link.pending_entries[entry.name] = entry

    def on_membership_update(
        self, giver: str, entries: list[membership.Entry]
    ) -> None:
        """Takes entries, and passes on what is news."""
        link = self.links.get(giver)
        if link is not None:
            for entry in entries:
                pending = link.pending_entries.get(entry.name)
                if (
                    pending is not None
                    and pending.version_key() <= entry.version_key()
                ):
                    del link.pending_entries[entry.name]
        news = self.directory.merge(self.now_ms(), entries)
        if news:
            self.queue_gossip(news, giver)
            self.on_entries_changed(news)

    def on_digest_reply(
        self, giver: str, entries: list[membership.Entry]
    ) -> None:
        """Takes entries that were missed here, and tells those missed there."""
        link = self.links.get(giver)
        if link is not None and giver in self.neighbours:
            for entry in self.directory.later_than(entries):
                link.pending_entries[entry.name] = entry
        news = self.directory.merge(self.now_ms(), entries)
        self.queue_gossip(self.directory.missed_by_others(news), giver)
        if news:
            self.on_entries_changed(news)

    def on_connect_failed(
        self, link: peer_link.PeerLink, refused: bool
    ) -> None:
        """Calls a node silent that cannot be connected to.

        A failed attempt says little to a node without a duty towards it, which
        may be cut off from it alone, and nothing to one that hears its pings.
        """
        if not (refused or link.state.keep_open):
            return
        if not refused and self.hears(link.member.name):
            return
        entry = self.directory.suspect(self.now_ms(), link.member.name)
        if entry is not None:
            self.log.write(
                "node_silent", node=entry.name, version=entry.version
            )
            self.queue_gossip([entry])
            self.on_entries_changed([entry])

    def hears(self, name: str) -> bool:
        """Whether a node has asked something lately."""
        since_ms = self.now_ms() - connection_state.PING_TIMEOUT_MS
        return any(
            inbound.name == name and inbound.last_received_ms > since_ms
            for inbound in self.inbound.values()
        )

    def broadcast(
        self, message: peer_messages.Message, source: str = ""
    ) -> None:
        """Tells the neighbours at once, but not who has told it."""
        for name in self.neighbours:
            link = self.links.get(name)
            if link is not None and name != source:
                link.send(message)

    def send_to_random_neighbour(self, message: peer_messages.Message) -> None:
        """Asks one neighbour, another one each time."""
        links = [
            link
            for name in self.neighbours
            if (link := self.links.get(name)) is not None and link.usable()
        ]
        if links:
            self.rng.choice(links).send(message)

    def snapshot_for(
        self, hello: peer_messages.Hello
    ) -> peer_messages.Snapshot:
        """What this node knows and the other one lacks."""
        former = self.directory.entries.get(hello.name)
        if hello.has_read_store:
            return peer_messages.Snapshot([], [former] if former else [])
        entries = list(self.directory.entries.values())
        return peer_messages.Snapshot(
            self.items(), [*entries, self.directory.own]
        )

    def handle_outcome(
        self, link: peer_link.PeerLink, message: peer_messages.Message
    ) -> None:
        """Takes what a link's other node says beside outcomes."""
        if isinstance(message, peer_messages.Pong):
            self.on_pong(link.member.name, message)
        elif isinstance(message, peer_messages.DigestRequest):
            entries = self.directory.differing(message.bucket_digests)
            if entries:
                link.send(peer_messages.DigestReply(entries))
        elif isinstance(message, peer_messages.ItemRequest):
            told = self.on_item_request(message)
            if told is not None:
                link.send(told)
        elif isinstance(message, peer_messages.StoreUpdate):
            self.on_store_update(link.member.name, message)

    def announce_stop(self) -> None:
        """Tells all nodes to send no more requests here."""
        for connection in self.inbound:
            connection.send(peer_messages.Bye())

    def unfinished_count(self) -> int:
        """Requests of other nodes whose outcomes are not on their way yet."""
        running = sum(
            1 for work in self.remote_requests.values() if work.outcome is None
        )
        return running + sum(each.has_unsent() for each in self.inbound)

    def alive(self) -> set[str]:
        """Members that are heard, here and by their neighbours."""
        return set(filter(self.is_alive, self.directory.alive()))

    def is_alive(self, name: str) -> bool:
        """Whether a node is heard, here and by its neighbours."""
        link = self.links.get(name)
        if link is not None and link.state.keep_open and link.state.failures:
            return False
        return self.directory.is_alive(name)

    def reachable(self, name: str) -> bool:
        """Whether a node can be asked now, as far as known."""
        link = self.links.get(name)
        if link is None or (link.connection is None and not link.leaving):
            return self.directory.is_alive(name)
        return link.connection is not None and not link.leaving

    def on_message(
        self, connection: frames.FrameConnection, message: peer_messages.Message
    ) -> None:
        """Takes what another node asks."""
        if isinstance(message, peer_messages.Hello):
            inbound = Inbound(
                message.name, message.start, next(self.inbound_numbers)
            )
            inbound.last_received_ms = self.now_ms()
            self.inbound[connection] = inbound
            connection.send(self.hello(self.asks_for_snapshot()))
            if message.name not in self.members:
                self.on_peer_without_record(message.name, connection)
            return
        inbound = self.inbound.get(connection)
        if inbound is None:
            connection.abort()
            return
        inbound.last_received_ms = self.now_ms()
        origin = inbound.origin()
        if isinstance(message, peer_messages.Ping):
            self.on_ping_message(connection, inbound, message)
        elif isinstance(message, peer_messages.MembershipUpdate):
            self.on_membership_update(inbound.name, message.entries)
        elif isinstance(message, peer_messages.DigestReply):
            self.on_digest_reply(inbound.name, message.entries)
        elif isinstance(message, peer_messages.Snapshot):
            self.on_snapshot(message)
        elif isinstance(message, peer_messages.StoreUpdate):
            self.on_store_update(inbound.name, message)
        elif isinstance(message, peer_messages.TableUpdate):
            self.on_table_update(inbound.name, message)
        elif isinstance(message, peer_messages.ItemRequest):
            told = self.on_item_request(message)
            if told is not None:
                connection.send(told)
        elif isinstance(message, peer_messages.ItemAvailable):
            if self.on_item_available(message):
                connection.send(
                    peer_messages.ItemRequest(message.key, message.revision)
                )
        elif isinstance(message, peer_messages.RunRequest):
            self.on_run(connection, origin, message)
        elif isinstance(message, peer_messages.Cancel):
            self.on_cancel((*origin, message.number))
        elif isinstance(message, peer_messages.SilenceQuery):
            silent_ms = self.on_silence_query(message.name)
            connection.send(peer_messages.SilenceReply(message.name, silent_ms))
        elif isinstance(message, peer_messages.ChangeRequest):
            self.run_in_background(self.answer_change(connection, message))
        elif isinstance(message, peer_messages.SealRequest):
            left_ms = self.on_seal(message.name, message.revision)
            if left_ms is not None:
                connection.send(
                    peer_messages.SealReply(
                        message.name, message.revision, left_ms
                    )
                )

    async def answer_change(
        self,
        connection: frames.FrameConnection,
        asked: peer_messages.ChangeRequest,
    ) -> None:
        """Makes a change of the store for another node."""
        connection.send(await self.on_change_request(asked))

    def run_in_background(self, work: Coroutine) -> None:
        """Runs work that nobody waits for."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_ping_message(
        self,
        connection: frames.FrameConnection,
        inbound: Inbound,
        ping: peer_messages.Ping,
    ) -> None:
        """Answers a ping, and compares directories."""
        self.update_clock_offset(inbound.origin(), ping.sent_ms)
        term = self.on_ping(inbound.name, ping)
        connection.send(
            peer_messages.Pong(
                ping.sent_ms,
                term,
                self.load_report(),
                self.versions_for(connection),
            )
        )
        if not ping.digest or ping.digest == self.directory.digest():
            inbound.mismatched_digests = 0
            return
        inbound.mismatched_digests += 1
        now_ms = self.now_ms()
        is_due = now_ms - self.compared_ms >= SUMS_EVERY_MS
        if inbound.mismatched_digests >= SUMS_DIFFER and is_due:
            inbound.mismatched_digests = 0
            self.compared_ms = now_ms
            connection.send(
                peer_messages.DigestRequest(self.directory.bucket_digests())
            )

    def on_closed(self, connection: frames.FrameConnection) -> None:
        """A connection of another node has ended."""
        inbound = self.inbound.pop(connection, None)
        if connection.reject_reason:
            self.log.write(
                "frame_unreadable",
                peer=inbound.name if inbound else "",
                reason=connection.reject_reason,
            )
        if inbound is None:
            return
        if any(
            work.connection is connection
            for work in self.remote_requests.values()
        ):
            link = self.link_to(inbound.name)
            if link is not None:
                link.state.connect_requested = True
                link.due_ms = 0.0
        for wait_s, is_last in ((IDEMPOTENT_ORPHAN_S, False), (ORPHAN_S, True)):
            self.loop.call_later(
                wait_s, self.cancel_orphans, connection, inbound.name, is_last
            )

    def cancel_orphans(
        self,
        connection: frames.FrameConnection,
        asker: str,
        is_last: bool,
    ) -> None:
        """Ends the work of a node that has not come back for it.

        Its connection may have been silent only: what the target works at is
        left to it until the last look, unless its process has ended.
        """
        link = self.links.get(asker)
        is_gone = link is not None and link.state.is_gone()
        for work in list(self.remote_requests.values()):
            if work.connection is not connection or work.task is None:
                continue
            is_due = work.run.idempotent and (is_gone or not work.sent)
            if is_last or is_due:
                self.log.write(
                    "work_orphaned",
                    attempt=work.run.attempt,
                    asker=asker,
                    sent=work.sent,
                )
                work.orphaned = True
                work.task.cancel()

    def on_run(
        self,
        connection: frames.FrameConnection,
        origin: tuple[str, str],
        run: peer_messages.RunRequest,
    ) -> None:
        """Runs a request once, however often it is sent."""
        mark = (*origin, run.number)
        if mark in self.cancelled:
            return
        work = self.remote_requests.get(mark)
        if work is not None:
            if self.is_older(connection, work.connection):
                return
            work.connection = connection
            if work.outcome is not None:
                connection.send(work.outcome)
            return
        work = RemoteRequest(
            connection, run, self.now_ms() + run.left_ms + RESENT_MS
        )
        self.remote_requests[mark] = work
        late_ms = self.transit_delay_ms(origin, run.sent_ms)
        run = msgspec.structs.replace(
            run,
            left_ms=run.left_ms - late_ms,
            objective_left_ms=run.objective_left_ms - late_ms,
        )
        work.task = self.loop.create_task(self.do(work, run))
        work.task.add_done_callback(
            lambda _: self.send_outcome(mark, work, run.number)
        )

    def on_cancel(self, mark: tuple[str, str, int]) -> None:
        """Ends a request, also one that is still on its way."""
        if mark in self.cancelled:
            return
        work = self.remote_requests.get(mark)
        if work is None:
            self.cancelled.add(mark)
            self.loop.call_later(CANCEL_KEPT_S, self.cancelled.discard, mark)
        elif work.task is not None:
            work.task.cancel()

    def is_older(
        self,
        connection: frames.FrameConnection,
        other: frames.FrameConnection,
    ) -> bool:
        """Whether a connection was opened before another that is still open.

        What was sent on it may come after what was sent again on the other.
        """
        known = self.inbound.get(connection)
        latest = self.inbound.get(other)
        if known is None or latest is None:
            return False
        return known.number < latest.number

    def update_clock_offset(
        self, origin: tuple[str, str], sent_ms: float
    ) -> None:
        """Takes the difference of clocks that a ping shows at most."""
        offset_ms = self.now_ms() - sent_ms
        known_ms = self.offsets.get(origin, offset_ms)
        self.offsets[origin] = min(known_ms + OFFSET_DRIFT_MS, offset_ms)

    def transit_delay_ms(
        self, origin: tuple[str, str], sent_ms: float
    ) -> float:
        """How long a message was held up, beside the quickest ping."""
        offset_ms = self.offsets.get(origin)
        if offset_ms is None:
            return 0.0
        return max(0.0, self.now_ms() - sent_ms - offset_ms)

    async def do(
        self, work: RemoteRequest, run: peer_messages.RunRequest
    ) -> None:
        """Runs one request."""
        try:
            work.outcome = await self.execute(run, work.note_sent)
        except Exception as error:
            self.log.write(
                "fault", where="execute", attempt=run.attempt, error=repr(error)
            )
            work.outcome = peer_messages.Lost(
                run.number,
                errors.ErrorKind.INTERNAL.value,
                target_selection.NO_TARGET,
            )

    def send_outcome(
        self, mark: tuple[str, str, int], work: RemoteRequest, number: int
    ) -> None:
        """Sends the outcome, also of work cancelled before it began."""
        work.task = None
        if work.outcome is None:
            # What must not be broken off may be sent at any later moment.
            ended_unsent = work.run.idempotent and not work.sent
            if work.orphaned and ended_unsent:
                work.outcome = peer_link.unreachable_refusal(number)
            else:
                work.outcome = peer_messages.Lost(
                    number,
                    errors.ErrorKind.OUTCOME_UNKNOWN.value,
                    target_selection.NO_TARGET,
                )
        work.connection.send(work.outcome)
        kept_s = (work.resent_until_ms - self.now_ms()) / 1_000
        self.loop.call_later(
            max(RESULT_KEPT_S, kept_s), self.remote_requests.pop, mark, None
        )

    def stop(self) -> None:
        """Ends all connections."""
        if self.listener is not None:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.inbound):
            connection.abort()
        for link in [*self.links.values(), *self.retired]:
            link.stop()
