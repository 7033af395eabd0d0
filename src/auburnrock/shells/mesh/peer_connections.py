"""Connections to other nodes, for requests, pings, leases, seals and gossip.

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
from auburnrock.engine.mesh import admission_queue
from auburnrock.engine.mesh import byte_budget
from auburnrock.engine.mesh import connection_state
from auburnrock.engine.mesh import crash_suspects
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import frames
from auburnrock.shells.mesh import peer_link
from auburnrock.shells.mesh import remote_request

RESULT_RETENTION_S = 3.0
"""Least time for which the outcome of a request is retained, so that it can be
sent again when its node has reconnected."""

RESEND_MARGIN_MS = 100.0
"""Time after a request's deadline until which its node may send it again; must
be longer than dispatcher.DEADLINE_GRACE_MS."""

CANCEL_RETENTION_S = 3.0
"""Time for which the cancel of an unknown request is retained; must be longer
than bytes can wait on an ended connection (frames.USER_TIMEOUT_MS)."""

ORPHAN_TIMEOUT_S = 1.5
"""Time after which all requests of a node that has not reconnected are
cancelled."""

IDEMPOTENT_ORPHAN_TIMEOUT_S = 0.35
"""Time after which idempotent requests of a node that has not reconnected are
cancelled if they are still queued, or if the node's process has ended; must be
shorter than ORPHAN_TIMEOUT_S."""

OFFSET_DRIFT_MS = 0.05
"""Upper bound of the drift of two hosts' clocks between two pings."""

LINK_TICK_MS = 50.0
"""Interval between two passes over all connections; entries to gossip are
batched for as long."""

NEIGHBOUR_CHOICE_INTERVAL_MS = 250.0
"""Least time between two choices of neighbours. All nodes of a starting fleet
register within a second, and each choice would open other connections."""

SWEEP_INTERVAL_MS = 1_000.0
"""Interval between two sweeps for connections whose openers no longer know
them."""

RECORDS_KNOWN_AFTER_MS = 1_500.0
"""Age at which a process knows the records of all nodes that started at the
same time."""

DIGEST_REQUEST_INTERVAL_MS = 1_500.0
"""Least time between two digest requests. While a whole fleet starts, all
directories differ, and the missing entries are already being gossiped."""

INCOMPLETE_DIGEST_INTERVAL_MS = 300.0
"""Least time between two digest requests while entries of some nodes are
missing. Entries gossiped before connections were open are found only so, and
until then no request is sent to the targets of these nodes."""

DIGEST_MISMATCHES_MIN = 3
"""Consecutive pings with a different digest before directories are compared, as
entries that are still being gossiped make digests differ for a moment."""


class Inbound:
    """A connection that another node has opened.

    Attributes:
      name: name of the other node.
      process_incarnation: distinguishes the other node's process from its
        earlier ones.
      number: sequence number of the connection, in the order of opening.
      mismatched_digests: consecutive pings whose digest differed from that of
        this node's directory.
      last_received_ms: time of the last message.
    """

    __slots__ = (
        "last_received_ms",
        "mismatched_digests",
        "name",
        "number",
        "process_incarnation",
    )

    def __init__(self, name: str, process_incarnation: str, number: int = 0):
        self.name = name
        self.process_incarnation = process_incarnation
        self.number = number
        # Changes before the connection was opened were not gossiped on it, so
        # the first mismatch suffices.
        self.mismatched_digests = DIGEST_MISMATCHES_MIN - 1
        self.last_received_ms = -math.inf

    def origin(self) -> tuple[str, str]:
        """Returns the name and process incarnation of the other node."""
        return self.name, self.process_incarnation


class PeerConnections(peer_link.LinkDelegate):
    """All connections of this node to other nodes.

    Attributes:
      name: name of this node.
      process_incarnation: distinguishes this process from earlier ones of this
        node.
      directory: membership entries of all nodes.
      members: records of all nodes.
      neighbours: nodes with which this node exchanges gossip.
      links: outgoing links by node name.
      retired: links to nodes whose record was removed or changed, while
        requests are pending on them.
      inbound: connections that other nodes have opened.
      inbound_numbers: source of the sequence numbers of inbound connections.
      remote_requests: requests of other nodes, by node name, process
        incarnation and number.
      cancelled: requests that were cancelled before they were received.
      stops_ms: when this process needs all answers, as it stops; infinite
        before.
      bounds: when other processes stop, by name and start of the process.
      on_bound_changed: called when another process begins to stop.
      budget: limit of the bytes that all connections of the process keep.
      sent_bytes: bytes written to other nodes, by kind of message.
      rng: random choice of the neighbour to query.
      assigned_witnesses: witnesses when duties were last assigned.
      started_ms: start time of this process.
      members_changed_ms: when a record was last added or removed.
      members_changed: whether records have changed since neighbours were
        chosen.
      neighbours_chosen_ms: when neighbours were last chosen.
      digest_requested_ms: when this node last sent a digest request.
      swept_ms: when inbound connections were last swept.
      offsets: least clock difference measured to each other process.
      execute: runs a request at the target; calls back before sending it.
      should_fail_over: whether a request at a silent node is sent to another
        target now.
      versions: returns the versions of the store's items known here.
      load_report: returns the load of this node's target.
      suspicions: returns the suspected requests that are known here.
      on_crash_report: handles crashes that a node reports.
      term_for: returns the lease term to renew at a witness; 0 for other
        nodes.
      witnesses: returns the nodes that renew this node's lease.
      on_ping: handles a ping, and returns the term that it renewed.
      on_pong: handles a pong.
      on_entries_changed: called when entries of the directory have changed.
      items: returns the store's items known here, for a snapshot.
      on_item_request: returns a long item, or its change, for a neighbour.
      has_read: whether this process has read the store.
      asks_for_snapshot: whether a connecting peer should send a snapshot.
      former_entry_is_due: whether peers may know an entry of this node's former
        process.
      on_snapshot: handles a snapshot.
      on_store_update: handles changes of the store from a node.
      on_table_update: handles a change of a key table from a node.
      on_item_available: handles a neighbour's announcement of a long item;
        returns whether the item is needed.
      on_peer_without_record: called when a node without a known record has
        connected.
      on_silence_query: returns how long a node has been silent, in ms.
      on_seal: seals the lease of a node; returns its remaining time in ms, or
        None if that is unknown.
      on_change_request: writes a change to the store for another node.
      on_limit: called with the name of a limit of the memory and the bytes that
        were refused or dropped because of it.
      tasks: background tasks that write such changes.
    """

    def __init__(
        self,
        name: str,
        process_incarnation: str,
        unix_ms: int,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
        budget: byte_budget.ByteBudget,
    ):
        self.name = name
        self.budget = budget
        self.process_incarnation = process_incarnation
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
        self.remote_requests: dict[
            tuple[str, str, int], remote_request.RemoteRequest
        ] = {}
        self.cancelled: set[tuple[str, str, int]] = set()
        self.stops_ms = math.inf
        self.bounds: dict[tuple[str, str], admission_queue.AnswerBound] = {}
        self.on_bound_changed: Callable[[], None] = lambda: None
        self.sent_bytes: dict[str, int] = {}
        self.offsets: dict[tuple[str, str], float] = {}
        self.ticked_ms = 0.0
        self.rng = random.Random()
        self.started_ms = now_ms()
        self.members_changed_ms = now_ms()
        self.members_changed = False
        self.neighbours_chosen_ms = now_ms()
        self.digest_requested_ms = 0.0
        self.swept_ms = now_ms()
        self.assigned_witnesses: set[str] | None = None
        self.execute: Callable[
            [
                peer_messages.RunRequest,
                Callable[[], None],
                admission_queue.AnswerBound,
            ],
            Awaitable[peer_messages.RunOutcome],
        ]
        self.should_fail_over: Callable[[peer_messages.RunRequest], bool]
        self.versions: Callable[[], peer_messages.Versions]
        self.load_report: Callable[[], target_selection.LoadReport]
        self.suspicions: Callable[[], list[crash_suspects.Suspicion]]
        self.on_crash_report: Callable[
            [str, list[crash_suspects.Suspicion]], None
        ]
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
        self.former_entry_is_due: Callable[[], bool]
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
        self.on_limit: Callable[[str, int], None] = lambda name, figure: None
        self.tasks: set[asyncio.Task] = set()
        self.listener: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Starts to accept connections."""
        host, _, port = address.rpartition(":")
        self.listener = await self.loop.create_server(
            lambda: frames.FrameConnection(
                self.on_message,
                self.on_closed,
                self.sent_bytes,
                budget=self.budget,
            ),
            host,
            int(port),
            backlog=512,
        )

    def hello(self, asks_for_snapshot: bool) -> peer_messages.Hello:
        """Returns the first message of a connection."""
        return peer_messages.Hello(
            self.name,
            self.process_incarnation,
            asks_for_snapshot,
            self.has_read(),
        )

    def versions_for(
        self, connection: frames.FrameConnection
    ) -> peer_messages.Versions | None:
        """Returns the versions known here, if the other end has older ones."""
        versions = self.versions()
        if versions == connection.last_sent_versions:
            return None
        connection.last_sent_versions = versions
        return versions

    def ping_for(self, link: peer_link.PeerLink) -> peer_messages.Ping:
        """Returns a ping with this node's load and other state for the peer."""
        name = link.member.name
        is_neighbour = name in self.neighbours
        return peer_messages.Ping(
            self.now_ms(),
            self.term_for(name),
            self.load_report(),
            self.versions_for(link.connection),
            self.directory.digest() if is_neighbour else 0,
            self.stops_in_ms(),
        )

    def stops_in_ms(self) -> int:
        """Returns the time until this process stops; 0 if it does not."""
        if math.isinf(self.stops_ms):
            return 0
        return max(1, int(self.stops_ms - self.now_ms()))

    def begin_stop(self, stops_ms: float) -> None:
        """Notifies all nodes by when this process needs their answers."""
        self.stops_ms = stops_ms
        for link in self.links.values():
            link.ping()

    def lacks_former_entry(self) -> bool:
        """Whether peers may know an entry of this node's former process."""
        return self.former_entry_is_due()

    async def confirm_own_entry(
        self, entry: membership.Entry, timeout_s: float
    ) -> bool:
        """Publishes this node's entry.

        Returns:
          Whether most of the connected neighbours have confirmed it, or this
          node is the only one.
        """
        self.publish_own_entry(entry)
        links = [
            link
            for name in self.neighbours
            if (link := self.links.get(name)) is not None and link.usable()
        ]
        if not links:
            return self.members.keys() == {self.name}
        update = peer_messages.MembershipUpdate([self.directory.own])
        confirmed = await asyncio.gather(
            *(link.confirm(update, timeout_s) for link in links)
        )
        return sum(confirmed) >= lease_module.majority(len(links))

    def on_handshake(self, link: peer_link.PeerLink) -> None:
        """Sends a neighbour the suspected requests that it may have missed.

        A process that stops tells so before it sends requests.
        """
        if self.stops_in_ms():
            link.ping()
        if link.member.name in self.neighbours:
            suspicions = self.suspicions()
            if suspicions:
                link.send(peer_messages.CrashReport(suspicions))

    def uses_full_mesh(self) -> bool:
        """Whether the fleet is small enough for a full mesh of connections."""
        return len(self.members) <= connection_state.FULL_MESH_NODES_MAX

    def set_members(self, members: dict[str, model.Member]) -> None:
        """Applies the records of all nodes."""
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
        """Chooses new neighbours after records have changed.

        Choices are at least NEIGHBOUR_CHOICE_INTERVAL_MS apart.
        """
        now_ms = self.now_ms()
        if now_ms - self.neighbours_chosen_ms < NEIGHBOUR_CHOICE_INTERVAL_MS:
            return
        self.neighbours_chosen_ms = now_ms
        self.members_changed = False
        is_young = now_ms - self.started_ms < RECORDS_KNOWN_AFTER_MS
        if self.uses_full_mesh() and not is_young:
            self.neighbours = self.members.keys() - {self.name}
        else:
            # Most records of a large fleet may not be known yet.
            self.neighbours = membership.neighbours(self.name, self.members)
            self.members_changed = is_young
        self.assigned_witnesses = None
        self.assign_duties()

    def assign_duties(self) -> None:
        """Opens links to neighbours and witnesses, and lets others close."""
        witnesses = self.witnesses()
        if witnesses == self.assigned_witnesses:
            return
        self.assigned_witnesses = witnesses
        duties = self.neighbours | (witnesses & self.members.keys())
        for name in duties - self.links.keys():
            self.links[name] = peer_link.PeerLink(self, self.members[name])
        is_small = self.uses_full_mesh()
        for name, link in self.links.items():
            link.state.keep_open = name in duties
            link.due_ms = 0.0
            link.state.ping_ms = connection_state.NEIGHBOUR_PING_MS
            if name in witnesses:
                link.state.ping_ms = connection_state.WITNESS_PING_MS
            elif is_small:
                link.state.ping_ms = connection_state.PING_MS

    def link_to(self, name: str) -> peer_link.PeerLink | None:
        """Returns the link to a member, and creates it if necessary."""
        link = self.links.get(name)
        if link is None and name in self.members and name != self.name:
            link = peer_link.PeerLink(self, self.members[name])
            self.links[name] = link
        return link

    def tick(self, at_once: bool = False) -> None:
        """Performs the due steps of all connections.

        Args:
          at_once: whether to do so even if LINK_TICK_MS have not passed.
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
        if now_ms - self.swept_ms >= SWEEP_INTERVAL_MS:
            self.swept_ms = now_ms
            self.sweep(now_ms)

    def sweep(self, now_ms: float) -> None:
        """Closes connections of nodes that were lost without closing them."""
        for connection, inbound in list(self.inbound.items()):
            if connection_state.is_inbound_idle(
                now_ms, inbound.last_received_ms
            ):
                connection.abort()

    def publish_own_entry(self, entry: membership.Entry) -> None:
        """Gossips this node's own entry if it has changed."""
        changed = self.directory.update_own(entry)
        if changed is not None:
            self.log.write(
                "entry_told",
                version=changed.version,
                target=changed.incarnation.target
                if changed.incarnation
                else "",
                slots=changed.slots,
                pace=round(changed.service_time_ratio, 3),
                draining=changed.draining,
                cold=changed.cold,
                leaving=changed.leaving,
                reads=changed.reads_store,
                limit_per_s=changed.limit_per_s,
            )
            self.queue_gossip([changed])

    def queue_gossip(
        self, entries: list[membership.Entry], source: str = ""
    ) -> None:
        """Queues entries for all neighbours except the one that sent them."""
        for name in self.neighbours:
            link = self.links.get(name)
            if link is None or name == source:
                continue
            for entry in entries:
                link.pending_entries[entry.name] = entry

    def on_membership_update(
        self, source: str, entries: list[membership.Entry]
    ) -> None:
        """Merges gossiped entries, and forwards those that were new."""
        link = self.links.get(source)
        if link is not None:
            for entry in entries:
                pending = link.pending_entries.get(entry.name)
                if (
                    pending is not None
                    and pending.version_key() <= entry.version_key()
                ):
                    del link.pending_entries[entry.name]
        changed = self.directory.merge(self.now_ms(), entries)
        if changed:
            self.queue_gossip(changed, source)
            self.on_entries_changed(changed)

    def on_digest_reply(
        self, source: str, entries: list[membership.Entry]
    ) -> None:
        """Merges differing entries, and queues those that the peer lacks."""
        link = self.links.get(source)
        if link is not None and source in self.neighbours:
            for entry in self.directory.later_than(entries):
                link.pending_entries[entry.name] = entry
        changed = self.directory.merge(self.now_ms(), entries)
        self.queue_gossip(self.directory.missed_by_others(changed), source)
        if changed:
            self.on_entries_changed(changed)

    def on_connect_failed(
        self, link: peer_link.PeerLink, refused: bool
    ) -> None:
        """Suspects a node to which a connection attempt has failed.

        An attempt that was not refused is ignored if this node keeps no
        permanent link to the other one, since only the path between the two
        may be cut, and also while messages of the other node are received.
        """
        if not (refused or link.state.keep_open):
            return
        if not refused and self.has_recent_message(link.member.name):
            return
        entry = self.directory.suspect(self.now_ms(), link.member.name)
        if entry is not None:
            self.log.write(
                "node_silent", node=entry.name, version=entry.version
            )
            self.queue_gossip([entry])
            self.on_entries_changed([entry])

    def has_recent_message(self, name: str) -> bool:
        """Whether a message of a node was received within the ping timeout."""
        since_ms = self.now_ms() - connection_state.PING_TIMEOUT_MS
        return any(
            inbound.name == name and inbound.last_received_ms > since_ms
            for inbound in self.inbound.values()
        )

    def broadcast(
        self, message: peer_messages.Message, source: str = ""
    ) -> None:
        """Sends a message to all neighbours except the one that sent it."""
        for name in self.neighbours:
            link = self.links.get(name)
            if link is not None and name != source:
                link.send(message)

    def send_to(self, name: str, message: peer_messages.Message) -> None:
        """Sends a message to a node if there is a connection to it."""
        link = self.links.get(name)
        if link is not None and link.usable():
            link.send(message)
            return
        for connection, inbound in self.inbound.items():
            if inbound.name == name:
                connection.send(message)
                return

    def send_to_random_neighbour(self, message: peer_messages.Message) -> None:
        """Sends a message to one neighbour chosen at random."""
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
        """Returns the items and entries that the connected node lacks."""
        if hello.has_read_store:
            return self.former_entry_of(hello.name)
        entries = list(self.directory.entries.values())
        return peer_messages.Snapshot(
            self.items(), [*entries, self.directory.own]
        )

    def former_entry_of(self, name: str) -> peer_messages.Snapshot:
        """Returns the entry that a node's former process has published."""
        former = self.directory.entries.get(name)
        return peer_messages.Snapshot([], [former] if former else [])

    def handle_outcome(
        self, link: peer_link.PeerLink, message: peer_messages.Message
    ) -> None:
        """Handles a message on a link that is neither outcome nor reply."""
        if isinstance(message, peer_messages.Pong):
            self.on_pong(link.member.name, message)
        elif isinstance(message, peer_messages.Snapshot):
            self.on_snapshot(message)
        elif isinstance(message, peer_messages.DigestRequest):
            entries = self.directory.differing(message.bucket_digests)
            if entries:
                link.send(peer_messages.DigestReply(entries))
        elif isinstance(message, peer_messages.ItemRequest):
            reply = self.on_item_request(message)
            if reply is not None:
                link.send(reply)
        elif isinstance(message, peer_messages.StoreUpdate):
            self.on_store_update(link.member.name, message)

    def announce_stop(self) -> None:
        """Notifies all nodes to send no more requests to this one."""
        for connection in self.inbound:
            connection.send(peer_messages.Bye())

    def unfinished_count(self) -> int:
        """Returns the number of remote requests whose outcome is not sent."""
        running = sum(
            1
            for request in self.remote_requests.values()
            if request.outcome is None
        )
        return running + sum(each.has_unsent() for each in self.inbound)

    def alive(self) -> set[str]:
        """Returns the members that are alive, as is_alive decides."""
        return set(filter(self.is_alive, self.directory.alive()))

    def is_alive(self, name: str) -> bool:
        """Whether a node is alive as seen from here and by its neighbours."""
        link = self.links.get(name)
        if link is not None and link.state.keep_open and link.state.failures:
            return False
        return self.directory.is_alive(name)

    def reachable(self, name: str) -> bool:
        """Whether a request can be sent to a node now, as far as known."""
        link = self.links.get(name)
        if link is None or (link.connection is None and not link.leaving):
            return self.directory.is_alive(name)
        return link.connection is not None and not link.leaving

    def on_message(
        self, connection: frames.FrameConnection, message: peer_messages.Message
    ) -> None:
        """Handles a message on an inbound connection."""
        if isinstance(message, peer_messages.Hello):
            inbound = Inbound(
                message.name, message.start, next(self.inbound_numbers)
            )
            inbound.last_received_ms = self.now_ms()
            self.inbound[connection] = inbound
            connection.send(self.hello(self.asks_for_snapshot()))
            if message.asks_for_snapshot:
                connection.send(self.former_entry_of(message.name))
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
        elif isinstance(message, peer_messages.CrashReport):
            self.on_crash_report(inbound.name, message.suspicions)
        elif isinstance(message, peer_messages.ItemRequest):
            reply = self.on_item_request(message)
            if reply is not None:
                connection.send(reply)
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
        """Writes a change to the store for another node, and replies."""
        connection.send(await self.on_change_request(asked))

    def run_in_background(self, coroutine: Coroutine) -> None:
        """Starts a background task."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_ping_message(
        self,
        connection: frames.FrameConnection,
        inbound: Inbound,
        ping: peer_messages.Ping,
    ) -> None:
        """Replies to a ping, and compares directory digests."""
        self.update_clock_offset(inbound.origin(), ping.sent_ms)
        if ping.stops_in_ms:
            bound = self.bound_of(inbound.origin())
            bound.until_ms = self.now_ms() + ping.stops_in_ms
            self.on_bound_changed()
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
        needed, interval_ms = DIGEST_MISMATCHES_MIN, DIGEST_REQUEST_INTERVAL_MS
        if self.directory.lacks_entries():
            needed, interval_ms = 1, INCOMPLETE_DIGEST_INTERVAL_MS
        is_due = now_ms - self.digest_requested_ms >= interval_ms
        if inbound.mismatched_digests >= needed and is_due:
            inbound.mismatched_digests = 0
            self.digest_requested_ms = now_ms
            connection.send(
                peer_messages.DigestRequest(self.directory.bucket_digests())
            )

    def bound_of(self, origin: tuple[str, str]) -> admission_queue.AnswerBound:
        """Returns the bound of another process."""
        bound = self.bounds.get(origin)
        if bound is None:
            bound = self.bounds[origin] = admission_queue.AnswerBound()
        return bound

    def on_closed(self, connection: frames.FrameConnection) -> None:
        """Handles the end of an inbound connection."""
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
            request.connection is connection
            for request in self.remote_requests.values()
        ):
            link = self.link_to(inbound.name)
            if link is not None:
                link.state.connect_requested = True
                link.due_ms = 0.0
        for wait_s, is_last in (
            (IDEMPOTENT_ORPHAN_TIMEOUT_S, False),
            (ORPHAN_TIMEOUT_S, True),
        ):
            self.loop.call_later(
                wait_s, self.cancel_orphans, connection, inbound.name, is_last
            )

    def cancel_orphans(
        self,
        connection: frames.FrameConnection,
        asker: str,
        is_last: bool,
    ) -> None:
        """Cancels the requests of a node that has not reconnected.

        Only the connection may have failed. Requests that are at the target
        therefore continue until the last check, unless the node's process has
        ended.
        """
        link = self.links.get(asker)
        is_gone = link is not None and link.state.is_gone()
        for request in list(self.remote_requests.values()):
            if request.connection is not connection or request.task is None:
                continue
            is_due = request.run.idempotent and (is_gone or not request.sent)
            if is_last or is_due:
                self.log.write(
                    "work_orphaned",
                    attempt=request.run.attempt,
                    asker=asker,
                    sent=request.sent,
                )
                request.orphaned = True
                request.task.cancel()

    def on_run(
        self,
        connection: frames.FrameConnection,
        origin: tuple[str, str],
        run: peer_messages.RunRequest,
    ) -> None:
        """Runs a request once, however often it is received."""
        request_id = (*origin, run.number)
        if request_id in self.cancelled:
            return
        request = self.remote_requests.get(request_id)
        if request is not None:
            if self.is_older(connection, request.connection):
                return
            request.connection = connection
            if request.outcome is not None:
                connection.send(request.outcome)
            return
        if self.budget.is_full():
            self.on_limit("peer_requests", len(run.body))
            connection.send(
                remote_request.refusal(run.number, self.load_report())
            )
            return
        request = remote_request.RemoteRequest(
            connection, run, self.now_ms() + run.left_ms + RESEND_MARGIN_MS
        )
        self.remote_requests[request_id] = request
        self.count(request, remote_request.kept_bytes(run), droppable=False)
        late_ms = self.transit_delay_ms(origin, run.sent_ms)
        run = msgspec.structs.replace(
            run,
            left_ms=run.left_ms - late_ms,
            objective_left_ms=run.objective_left_ms - late_ms,
        )
        request.task = self.loop.create_task(
            self.run_request(request_id, request, run)
        )
        request.task.add_done_callback(
            lambda _: self.on_run_ended(request_id, request, run.number)
        )

    def on_run_ended(
        self,
        request_id: tuple[str, str, int],
        request: remote_request.RemoteRequest,
        number: int,
    ) -> None:
        """Sends the outcome of a request that was cancelled."""
        if request.task is not None:
            self.send_outcome(request_id, request, number)

    def on_cancel(self, request_id: tuple[str, str, int]) -> None:
        """Cancels a request, also one that is received later."""
        if request_id in self.cancelled:
            return
        request = self.remote_requests.get(request_id)
        if request is None:
            self.cancelled.add(request_id)
            self.loop.call_later(
                CANCEL_RETENTION_S, self.cancelled.discard, request_id
            )
        elif request.task is not None:
            request.task.cancel()

    def is_older(
        self,
        connection: frames.FrameConnection,
        other: frames.FrameConnection,
    ) -> bool:
        """Whether a connection was opened before another that is still open.

        A request on it may arrive after its repetition on the newer one.
        """
        known = self.inbound.get(connection)
        latest = self.inbound.get(other)
        if known is None or latest is None:
            return False
        return known.number < latest.number

    def update_clock_offset(
        self, origin: tuple[str, str], sent_ms: float
    ) -> None:
        """Updates the clock offset to a process from a ping.

        The difference measured by a ping is an upper bound of the offset.
        """
        offset_ms = self.now_ms() - sent_ms
        known_ms = self.offsets.get(origin, offset_ms)
        self.offsets[origin] = min(known_ms + OFFSET_DRIFT_MS, offset_ms)

    def transit_delay_ms(
        self, origin: tuple[str, str], sent_ms: float
    ) -> float:
        """Returns a message's transit time beyond that of the fastest ping."""
        offset_ms = self.offsets.get(origin)
        if offset_ms is None:
            return 0.0
        return max(0.0, self.now_ms() - sent_ms - offset_ms)

    async def run_request(
        self,
        request_id: tuple[str, str, int],
        request: remote_request.RemoteRequest,
        run: peer_messages.RunRequest,
    ) -> None:
        """Runs one request, and sends its outcome."""
        try:
            request.outcome = await self.execute(
                run, request.mark_sent, self.bound_of(request_id[:2])
            )
        except Exception as error:
            self.log.write(
                "fault", where="execute", attempt=run.attempt, error=repr(error)
            )
            request.outcome = peer_messages.Lost(
                run.number,
                errors.ErrorKind.INTERNAL.value,
                target_selection.NO_TARGET,
            )
        # The callback of the task would run a pass of the event loop later.
        self.send_outcome(request_id, request, run.number)

    def send_outcome(
        self,
        request_id: tuple[str, str, int],
        request: remote_request.RemoteRequest,
        number: int,
    ) -> None:
        """Sends and retains the outcome of a request.

        A request that was cancelled before it began has an outcome as well.
        """
        request.task = None
        if request.outcome is None:
            # A request that is not idempotent is not aborted, so it may still
            # be sent to the target later.
            ended_unsent = request.run.idempotent and not request.sent
            if request.orphaned and ended_unsent:
                request.outcome = peer_link.unreachable_refusal(number)
            else:
                request.outcome = peer_messages.Lost(
                    number,
                    errors.ErrorKind.OUTCOME_UNKNOWN.value,
                    target_selection.NO_TARGET,
                )
        size = byte_budget.RESPONSE_BYTES
        if isinstance(request.outcome, peer_messages.Answered):
            size += len(request.outcome.body)
            # The other node does not take what it asked for.
            if (
                size >= byte_budget.COUNTED_MIN_BYTES
                and request.connection.has_unsent()
                and self.budget.is_full()
            ):
                self.on_limit("peer_responses", size)
                request.drop()
                size = byte_budget.RESPONSE_BYTES
        request.connection.send(request.outcome)
        # Only the outcome is sent again.
        request.run = msgspec.structs.replace(
            request.run, path=b"", headers=[], body=b""
        )
        self.count(request, size)
        kept_s = (request.resent_until_ms - self.now_ms()) / 1_000
        self.loop.call_later(
            max(RESULT_RETENTION_S, kept_s), self.forget_request, request_id
        )

    def count(
        self,
        request: remote_request.RemoteRequest,
        size: int,
        droppable: bool = True,
    ) -> None:
        """Counts the bytes kept for a request towards the budget."""
        for largest in self.budget.count(request, size, droppable):
            largest.drop()

    def forget_request(self, request_id: tuple[str, str, int]) -> None:
        """Ends the retention of an outcome."""
        request = self.remote_requests.pop(request_id, None)
        if request is not None:
            self.budget.count(request, 0)

    def stop(self) -> None:
        """Closes all inbound connections, and cancels the background tasks."""
        if self.listener is not None:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.inbound):
            connection.abort()
        for link in [*self.links.values(), *self.retired]:
            link.stop()
