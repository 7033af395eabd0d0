"""A node: creates, starts and stops the tasks of its process."""

import asyncio
from collections.abc import Callable
import resource
import secrets

from auburnrock.engine.mesh import byte_budget
from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import crash_suspects as suspects_module
from auburnrock.engine.mesh import evacuation
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import service_time_ratio
from auburnrock.engine.mesh import target_grants as holder_module
from auburnrock.engine.mesh import target_selection
from auburnrock.shells import clock
from auburnrock.shells.mesh import dispatcher
from auburnrock.shells.mesh import evacuations
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import executor
from auburnrock.shells.mesh import hedged_send
from auburnrock.shells.mesh import http_server
from auburnrock.shells.mesh import metrics as metrics_module
from auburnrock.shells.mesh import ownership
from auburnrock.shells.mesh import ownership_context
from auburnrock.shells.mesh import peer_connections
from auburnrock.shells.mesh import peer_link
from auburnrock.shells.mesh import prefix_sync
from auburnrock.shells.mesh import relayed_store
from auburnrock.shells.mesh import store_gossip
from auburnrock.shells.mesh import target_registration
from auburnrock.shells.mesh import tick_timers
from auburnrock.shells.mesh import wire_protocol

GRANT_HEARTBEATS = 2.0
"""Heartbeat intervals in the length of a grant: it must outlast the next
heartbeat and one that is lost."""

GRANT_EXTRA_MS = 1_800.0
"""Time added to the length of a grant, in milliseconds. A restart of this
process takes about as long."""

TERM_EXTRA_MS = 900.0
"""Time by which a lease is longer than a grant, in milliseconds. It is the time
of three renewals, so that no reply has to shorten a grant."""

CONFIGURATION_WATCH_TIMEOUT_MS = 2_500
"""Time-out of the watch of the configuration, in milliseconds, after which a
lost connection is noticed. A configuration must be in force within 2 s after
the 3 s that follow such a loss."""

SYSTEM_WATCH_TIMEOUT_MS = 8_000
"""Time-out of the watch of the nodes' items, in milliseconds. It may be longer
than CONFIGURATION_WATCH_TIMEOUT_MS, as peers report later tables."""

SYSTEM_WATCH_BATCH_DELAY_S = 0.05
"""Delay, in seconds, between two watches of the nodes' items, so that changes
at nearly the same time are read by one call. It stays short, since records of
nodes, unlike tables, reach other nodes by watches only."""

LOG_FLUSH_INTERVAL_MS = 100.0
"""Longest delay, in milliseconds, before log lines are written."""

STATE_LOG_INTERVAL_MS = 5_000.0
"""Interval, in milliseconds, between log lines on open connections and sent
bytes."""

IDLE_TICK_S = 0.05
"""Interval, in seconds, between two ticks while no request waits. Each tick
wakes the process."""

STOP_SERVING_S = 2.3
"""Time, in seconds, for which a stopping process still accepts requests. Two
readiness checks of the callers, a second apart, direct them to other nodes."""

STOP_NOTICE_DELAY_S = 0.1
"""Time, in seconds, within which requests arrive that other nodes sent before
they received the notice of the stop."""

STOP_CHECK_INTERVAL_S = 0.02
"""Interval, in seconds, at which a stopping process checks for requests in
progress."""

STOP_MARGIN_S = 0.7
"""Time, in seconds, before the end of the grace period at which a process stops
even if requests are in progress."""

STOP_ANSWER_MARGIN_MS = 150.0
"""Time, in milliseconds, before the end of the process by which an answer must
leave its target, so that it reaches the caller."""

STOP_LAST_ANSWERS_MS = 200.0
"""Longest time, in milliseconds, in which a stopping process answers requests
whose outcome it can no longer await. It ends within STOP_MARGIN_S."""

LOAD_REPORT_MAX_AGE_MS = 3_000.0
"""Age, in milliseconds, up to which a report of a target's load is used. An
older one does not show its present load."""

DESCRIPTORS_DEFAULT = 4_096
"""Descriptors of a process for which neither the settings nor the operating
system name a limit."""

SUSPECTS_PER_REPORT_MAX = 256
"""Limit of the suspected requests that are sent to a neighbour at once."""

SELF_ENTRY_DELAY_MS = 1_000.0
"""Time, in milliseconds, for which a new process does not gossip its own entry
unless it knows its target and that of its former process. The peers' entry of
its former process identifies the target."""


def descriptors_max(settings: model.Settings) -> int:
    """Returns how many descriptors this process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return settings.descriptors_max or DESCRIPTORS_DEFAULT
    return min(limit, settings.descriptors_max or limit)


class Node:
    """Creates and connects all components of one process.

    Attributes:
      settings: settings of this node, as read at its start.
      stopping: whether a graceful shutdown has begun.
      configuration: newest version in force.
      budget: limit of the bytes that all connections keep.
      timers: timers that run at the ticks.
      has_former_entry: whether a peer has sent the entry that the former
        process of this node published.
      resumes_speed: whether the target's speed may still have to be taken from
        its share of the keys.
      peers_without_former_entry: number of snapshots without that entry.
    """

    def __init__(
        self,
        settings: model.Settings,
        protocol: wire_protocol.WireProtocol,
        connect_store: Callable[..., coordination_store.CoordinationStore],
        hedge_share: float = 0.0,
    ):
        self.settings = settings
        self.protocol = protocol
        self.now_ms = clock.exact_ms
        self.log = event_log.event_log(settings.host)
        self.metrics = metrics_module.Metrics()
        self.stopping = False
        self.stopped = asyncio.Event()
        self.budget = byte_budget.budget_of(settings.memory_bytes)
        self.store = connect_store(settings.store_address, budget=self.budget)
        bounds = settings.bounds
        hold_ms = min(
            bounds.hold_max_ms,
            GRANT_HEARTBEATS * settings.heartbeat_ms + GRANT_EXTRA_MS,
        )
        term_ms = hold_ms * holder_module.CLOCK_DRIFT_FACTOR + TERM_EXTRA_MS
        now_ms = self.now_ms()
        self.suspects = suspects_module.CrashSuspects()
        self.holder = holder_module.TargetGrants(
            settings.ip,
            hold_ms,
            now_ms,
            settings.heartbeat_ms
            + target_registration.HEARTBEAT_REPLY_DELAY_S * 1_000,
        )
        self.executor = executor.Executor(
            settings,
            protocol,
            self.holder,
            self.suspects,
            self.log,
            self.metrics,
            self.now_ms,
            self.budget,
        )
        self.started_ms = now_ms
        self.flushed_ms = self.records_checked_ms = self.state_logged_ms = (
            now_ms
        )
        self.peers = peer_connections.PeerConnections(
            settings.ip,
            secrets.token_hex(6),
            clock.wall_ms(),
            self.log,
            self.now_ms,
            self.budget,
        )
        self.dispatcher = dispatcher.Dispatcher(
            settings,
            protocol,
            self.suspects,
            self.log,
            self.metrics,
            self.now_ms,
            self.execute,
        )
        hedged_send.install(self.dispatcher, hedge_share)
        self.ownership = ownership.Ownership(
            ownership_context.OwnershipContext(
                settings,
                relayed_store.RelayedStore(
                    self.store, self.peers, self.log, self.now_ms
                ),
                protocol.own_prefix,
                self.holder,
                self.peers,
                self.log,
                self.metrics,
                self.now_ms,
                term_ms,
            )
        )
        self.store_gossip = store_gossip.StoreGossip(
            settings, self.peers, self.ownership, self.log, self.now_ms
        )
        self.configuration_sync = prefix_sync.PrefixSync(
            self.store,
            protocol.operator_prefix,
            CONFIGURATION_WATCH_TIMEOUT_MS,
            0.0,
            self.log,
            self.now_ms,
            self.on_operator_items,
            self.store_gossip.is_store_watcher,
            self.store_gossip.broadcast_changes,
        )
        self.system_sync = prefix_sync.PrefixSync(
            self.store,
            protocol.own_prefix,
            SYSTEM_WATCH_TIMEOUT_MS,
            SYSTEM_WATCH_BATCH_DELAY_S,
            self.log,
            self.now_ms,
            self.ownership.on_store_items,
            self.store_gossip.is_store_watcher,
            self.store_gossip.broadcast_changes,
        )
        zones = evacuation.Evacuations(
            protocol.evacuation_prefix, bounds.evacuate_ms
        )
        self.executor.evacuations = self.dispatcher.evacuations = zones
        self.ownership.context.evacuations = zones
        self.store_gossip.evacuations = zones
        self.evacuations = evacuations.ZoneEvacuations(
            settings,
            zones,
            self.executor,
            self.ownership,
            self.configuration_sync,
            self.log,
            self.now_ms,
        )
        self.timers = tick_timers.TickTimers()
        self.configuration_sync.sleep = self.timers.sleep
        self.system_sync.sleep = self.timers.sleep
        self.ownership.sleep = self.timers.sleep
        callers_max = byte_budget.connections_max(
            settings.memory_bytes, descriptors_max(settings)
        )
        internal_max = byte_budget.internal_connections_max(callers_max)
        self.registration = target_registration.TargetRegistration(
            settings,
            protocol,
            self.executor,
            self.ownership,
            self.peers,
            self.own_entry,
            self.log,
            self.now_ms,
        )
        self.callers = self.server(self.dispatcher.handle, callers_max, True)
        self.ready = self.server(self.answer_ready, internal_max)
        self.control = self.server(self.registration.answer, internal_max)
        self.scrapes = self.server(self.answer_scrape, internal_max)
        self.configuration_item: coordination_store.Item | None = None
        self.has_former_entry = False
        self.resumes_speed = not settings.is_bootstrap
        self.peers_without_former_entry = 0
        self.tasks: list[asyncio.Task] = []
        self._connect_parts()

    def server(
        self,
        handler: http_server.Handler,
        connections_max: int,
        refuses_when_full: bool = False,
    ) -> http_server.Server:
        """Creates an HTTP server whose unexpected exceptions are logged."""
        server = http_server.Server(
            handler,
            self.now_ms,
            self.on_fault,
            self.budget,
            self.on_request_dropped,
            self.on_limit,
            connections_max,
            refuses_when_full,
        )
        server.call_later = self.timers.call_later
        return server

    def _connect_parts(self) -> None:
        self.store_gossip.system_sync = self.system_sync
        self.store_gossip.configuration_sync = self.configuration_sync
        self.store_gossip.store = self.store
        self.store.on_era = self.on_era
        self.store_gossip.configuration_version = self.configuration_version
        self.store_gossip.is_bootstrapping = self.is_bootstrapping
        self.peers.execute = self.executor.run
        self.peers.on_bound_changed = self.executor.on_bound_changed
        self.peers.on_limit = self.on_limit
        self.peers.should_fail_over = self.dispatcher.should_fail_over
        self.peers.versions = self.store_gossip.versions
        self.peers.load_report = self.executor.load_report
        self.peers.suspicions = self.suspicions
        self.peers.on_crash_report = self.on_crash_report
        self.executor.on_suspicion = self.broadcast_crashes
        self.peers.term_for = self.ownership.renewal_term_for
        self.peers.witnesses = self.ownership.lease.all_witnesses
        self.peers.on_entries_changed = self.dispatcher.update_entries
        self.peers.on_item_request = self.store_gossip.on_item_request
        self.store_gossip.store_item = self.store_item
        self.peers.on_item_available = self.store_gossip.on_item_available
        self.peers.on_pong = self.on_pong
        self.peers.on_ping = self.on_ping
        self.peers.items = self.items
        self.peers.has_read = self.has_read
        self.peers.asks_for_snapshot = self.asks_for_snapshot
        self.peers.former_entry_is_due = self.lacks_former_entry
        self.peers.on_store_update = self.store_gossip.on_store_update
        self.peers.on_table_update = self.store_gossip.on_table_update
        self.peers.on_peer_without_record = (
            self.store_gossip.on_peer_without_record
        )
        self.peers.on_snapshot = self.on_snapshot
        self.peers.on_silence_query = self.ownership.on_silence_query
        self.peers.on_seal = self.ownership.takeover.on_seal
        self.ownership.context.on_members = self.dispatcher.update_members
        self.ownership.context.broadcast_changes = (
            self.store_gossip.broadcast_changes
        )
        self.ownership.on_table_changed = self.on_table_changed
        self.ownership.context.reads_store = self.store_gossip.store_reachable
        self.system_sync.is_store_in_doubt = self.is_store_in_doubt
        self.ownership.context.weight_of_self = self.weight
        self.ownership.context.stripe_load = self.executor.stripe_load
        self.ownership.context.slots = lambda: self.executor.queue.slots
        self.ownership.context.peer_utilisation = self.loads
        self.ownership.on_lease_not_live = self.system_sync.request_relist
        self.dispatcher.reachable = self.reachable
        self.dispatcher.entries = self.peers.directory.entries
        self.executor.on_grants_end = self.ownership.grants_changed.set

    async def start(self) -> None:
        """Listens at the addresses and starts the synchronisation."""
        settings = self.settings
        self.log.write(
            "start",
            start=self.peers.process_incarnation,
            host=settings.host,
            zone=settings.zone,
            service=settings.service,
            hold_ms=int(self.holder.hold_ms),
            term_ms=int(self.ownership.lease.term_ms),
        )
        self.configuration_sync.start()
        self.system_sync.start()
        await self.peers.listen(settings.peer_address)
        await self.control.listen(settings.control_address)
        await self.callers.listen(settings.caller_address)
        await self.ready.listen(settings.ready_address)
        await self.scrapes.listen(settings.metrics_address)
        self.ownership.start()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.run_tick_loop())]
        self.log.flush()

    async def run_tick_loop(self) -> None:
        """Calls `tick` at every interval, for as long as the process runs."""
        while True:
            try:
                self.tick()
            except Exception as error:
                # Without ticks this node would reach no other node.
                self.on_fault(error, "tick")
            self.timers.run_due()
            pause_s = IDLE_TICK_S
            if self.executor.queue.queued:
                pause_s = executor.EXPIRY_INTERVAL_S
            await asyncio.sleep(pause_s)

    def tick(self) -> None:
        """Checks waiting requests and connections, gossips, and logs."""
        now_ms = self.now_ms()
        self.executor.expire_overdue()
        self.evacuations.tick()
        self.peers.tick()
        if self.resumes_speed and not self.lacks_former_entry():
            # Before the own entry is published, from which others plan.
            self.resumes_speed = not self.executor.resume_speed()
        is_complete = not (self.is_bootstrapping() or self.lacks_former_entry())
        if is_complete or now_ms - self.started_ms > SELF_ENTRY_DELAY_MS:
            self.peers.publish_own_entry(self.own_entry())
        if now_ms - self.flushed_ms >= LOG_FLUSH_INTERVAL_MS:
            self.flushed_ms = now_ms
            self.log.flush()
            self.dispatcher.update_load(
                self.settings.ip, self.executor.load_report()
            )
        self.store_gossip.request_new_era_items()
        if (
            now_ms - self.records_checked_ms
            >= store_gossip.MISSING_MEMBER_INTERVAL_MS
        ):
            self.records_checked_ms = now_ms
            self.store_gossip.request_missing_records()
        if now_ms - self.state_logged_ms >= STATE_LOG_INTERVAL_MS:
            self.state_logged_ms = now_ms
            self.log_state()

    def log_state(self) -> None:
        """Logs the number of open connections and the bytes sent."""
        hub = self.peers
        self.log.write(
            "node_state",
            members=len(hub.members),
            alive=len(hub.directory.alive()),
            links=len(hub.links),
            inbound=len(hub.inbound),
            store_calls=self.store.call_count,
            reader=self.store_gossip.is_store_watcher(),
            configuration=self.configuration_version(),
            **{
                f"store_{kind}": n
                for kind, n in self.store.calls_by_kind.items()
            },
            **{f"sent_{kind}": size for kind, size in hub.sent_bytes.items()},
        )

    async def execute(
        self, name: str, run: peer_messages.RunRequest
    ) -> peer_messages.RunOutcome:
        """Executes a request at the target of a node."""
        if name == self.settings.ip:
            return await self.executor.run(run)
        link = self.peers.link_to(name)
        if link is None:
            return peer_link.unreachable_refusal(run.number)
        return await link.run(run)

    def reachable(self, name: str) -> bool:
        """Whether a request can be sent to a node now."""
        return name == self.settings.ip or self.peers.reachable(name)

    def weight(self) -> float:
        """Returns the weight of this target among those of its service."""
        return self.executor.queue.rate_limit.share * (
            service_time_ratio.capacity_weight(
                self.executor.queue.slots, self.own_service_time_ratio()
            )
        )

    def own_service_time_ratio(self) -> float:
        """Returns the target's service time ratio without its hottest keys."""
        reserved = self.ownership.context.hot_stripe_reservation.reserved_share
        return self.executor.service_time_ratio.applied_mean / (1.0 - reserved)

    def loads(self) -> dict[str, float]:
        """Returns the utilisation of the service's other targets by node.

        Only targets with a recent report are included.
        """
        group = self.dispatcher.groups.get(self.settings.service)
        if group is None:
            return {}
        since_ms = self.now_ms() - LOAD_REPORT_MAX_AGE_MS
        return {
            name: candidate.report.utilisation_percent / 100
            for name, candidate in group.by_name.items()
            if candidate.reported_ms > since_ms
        }

    def own_entry(self) -> membership.Entry:
        """Returns the entry of this node that is gossiped to all others."""
        executor = self.executor
        limit = executor.queue.rate_limit
        return membership.Entry(
            self.settings.ip,
            service=self.settings.service,
            incarnation=self.holder.incarnation,
            slots=executor.queue.slots if executor.target else 0,
            service_time_ratio=self.own_service_time_ratio(),
            draining=executor.drain_since_ms is not None,
            cold=executor.queue.cold_start.is_cold(self.now_ms()),
            leaving=self.stopping,
            reads_store=self.store_gossip.store_reachable(),
            limit_per_s=limit.shared_per_s,
            limited_share=limit.share,
            named_leaving=executor.leaving is not None
            and executor.leaving == self.holder.incarnation,
            evacuated=executor.evacuations.is_evacuated(self.settings.zone),
        )

    def is_store_in_doubt(self) -> bool:
        """Whether another node says that the store does not answer it."""
        entries = self.peers.directory.entries.values()
        return any(
            not (entry.reads_store or entry.suspected) for entry in entries
        )

    def has_read(self) -> bool:
        """Whether this process has read the store.

        The configuration may still be missing: the operator may not have
        written the first one.
        """
        has_listed = self.configuration_sync.last_answer_ms > 0.0
        return has_listed and self.ownership.witness.has_read_records

    def is_bootstrapping(self) -> bool:
        """Whether this process knows less than its peers do."""
        known = self.dispatcher.configuration is not None
        has_all = known and self.ownership.witness.has_read_records
        return not has_all or self.executor.target is None

    def lacks_former_entry(self) -> bool:
        """Whether peers may know an entry of this node's former process.

        The entry of this process replaces that one, so it is read before. It is
        missing if most neighbours do not know it either.
        """
        if self.settings.is_bootstrap or self.has_former_entry:
            return False
        if self.peers_without_former_entry > len(self.peers.neighbours) // 2:
            return False
        return self.now_ms() - self.started_ms <= SELF_ENTRY_DELAY_MS

    def items(self) -> list[tuple[str, bytes, int]]:
        """Returns the store's items as known on this node."""
        items = self.ownership.cache.items() + self.evacuations.present_items()
        if self.configuration_item is not None:
            items.append(self.configuration_item)
        return [(item.key, item.value, item.revision) for item in items]

    def store_item(self, key: str) -> tuple[str, bytes, int] | None:
        """Returns one item of the store as known here; None if it is not."""
        item = self.ownership.cache.item(key)
        if item is None and key == self.protocol.configuration_key:
            item = self.configuration_item
        if item is None:
            return None
        return item.key, item.value, item.revision

    def asks_for_snapshot(self) -> bool:
        """Whether a peer that has just connected should send a snapshot."""
        is_due = self.store_gossip.should_request_snapshot()
        # A peer sends only the former entry to a process that has read the
        # store.
        return is_due or (self.has_read() and self.lacks_former_entry())

    def on_snapshot(self, snapshot: peer_messages.Snapshot) -> None:
        """Applies those items of a peer's snapshot not yet read from the store.

        The snapshot may also identify the target that a former process of this
        node served.
        """
        items = [coordination_store.Item(*item) for item in snapshot.items]
        if self.protocol.configuration_key in {item.key for item in items}:
            self.evacuations.on_snapshot(items)
            if self.dispatcher.configuration is None:
                self.on_operator_items(items, 0)
        if not self.ownership.witness.has_read_records:
            prefix = self.protocol.own_prefix
            self.store_gossip.apply_snapshot(
                [item for item in items if item.key.startswith(prefix)]
            )
        self.peers.on_digest_reply("", snapshot.entries)
        names = {entry.name for entry in snapshot.entries}
        if self.settings.ip not in names:
            self.peers_without_former_entry += 1
        for entry in snapshot.entries:
            if entry.name != self.settings.ip:
                continue
            self.has_former_entry = True
            if entry.incarnation is None:
                continue
            if entry.named_leaving:
                self.executor.resume_drain(entry.incarnation)
            if entry.draining:
                self.executor.resume_heartbeat_drain(entry.incarnation)
                continue
            self.executor.resume_target(
                entry.incarnation,
                entry.slots,
                entry.service_time_ratio,
                entry.limit_per_s,
                entry.limited_share,
                entry.cold,
            )

    def suspicions(self) -> list[suspects_module.Suspicion]:
        """Returns the suspected requests for a new neighbour."""
        return self.suspects.known(self.now_ms(), SUSPECTS_PER_REPORT_MAX)

    def broadcast_crashes(
        self, suspicions: list[suspects_module.Suspicion], source: str = ""
    ) -> None:
        """Reports crashes to all neighbours except the one that sent them.

        An empty list is not sent.
        """
        if suspicions:
            report = peer_messages.CrashReport(suspicions)
            self.peers.broadcast(report, source)

    def on_crash_report(
        self, peer: str, suspicions: list[suspects_module.Suspicion]
    ) -> None:
        """Merges the crashes that a peer reports, and forwards new ones."""
        now_ms = self.now_ms()
        forwarded = []
        for suspicion in suspicions:
            news = self.suspects.merge(now_ms, suspicion)
            if news is None:
                continue
            forwarded.append(news)
            mark = suspicion.fingerprint
            self.log.write(
                "crash_reported",
                mark=mark,
                crashes=self.suspects.crash_count(now_ms, mark),
                peer=peer,
            )
        self.broadcast_crashes(forwarded, peer)

    def on_pong(self, name: str, pong: peer_messages.Pong) -> None:
        """Handles a pong: the peer's load, versions and renewal."""
        self.ownership.on_pong(name, pong)
        self.apply_load_report(name, pong.report, pong.versions)

    def on_ping(self, name: str, ping: peer_messages.Ping) -> int:
        """Handles a ping: a peer's load and versions.

        Returns:
          The lease term that is renewed for the peer; 0 for none.
        """
        self.apply_load_report(name, ping.report, ping.versions)
        return self.ownership.on_ping(name, ping)

    def apply_load_report(
        self,
        name: str,
        report: target_selection.LoadReport,
        versions: peer_messages.Versions | None,
    ) -> None:
        """Records a peer's load, and its versions if it reports them."""
        self.dispatcher.update_load(name, report)
        if versions is not None:
            self.store_gossip.on_versions(name, versions)

    def configuration_version(self) -> int:
        """Returns the version of the configuration in force; 0 for none."""
        configuration = self.dispatcher.configuration
        return configuration.version if configuration else 0

    def on_era(self, era: int) -> None:
        """Handles a new era: a store restore, or the first known era."""
        before = max(self.system_sync.era, self.configuration_sync.era)
        if self.has_read():
            self.log.write("store_era", before=before, after=era)
        self.ownership.on_era(era, is_restored=self.has_read())
        # Items that this node wrote itself, or received from peers, may also
        # be missing in the restored store.
        for key, revision in self.ownership.cache.revisions().items():
            self.system_sync.advance_revision(key, revision)
        self.system_sync.begin_era(era)
        self.configuration_sync.begin_era(era)

    def on_operator_items(
        self, items: list[coordination_store.Item], revision: int
    ) -> None:
        """Applies the operator's configuration and evacuated zones."""
        for item in self.evacuations.admit(items, revision):
            if item.key != self.protocol.configuration_key or not item.value:
                continue
            try:
                configuration = self.protocol.decode_configuration(item.value)
            except wire_protocol.DecodeError as error:
                self.log.write(
                    "configuration_unreadable",
                    revision=item.revision,
                    error=str(error),
                )
                continue
            self.configuration_item = item
            self.apply_configuration(configuration, item.revision)

    def apply_configuration(
        self, configuration: model.Configuration, revision: int
    ) -> None:
        """Applies a configuration if it is newer than the current one."""
        known = self.dispatcher.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.dispatcher.apply_configuration(configuration)
        limits = configuration.limits
        bounds = self.callers.limits
        bounds.header_bytes = limits.header_bytes
        bounds.body_bytes = limits.body_bytes
        bounds.header_timeout_ms = limits.header_timeout_ms
        bounds.idle_timeout_ms = limits.idle_timeout_ms
        service = configuration.services.get(self.settings.service)
        self.ownership.keyed = service is not None and service.keyed
        self.executor.keyed = self.ownership.keyed
        self.executor.health_path = service.health_path if service else ""
        self.executor.queue.cold_start.configure(
            service.cold_per_s if service is not None else 0.0,
            self.settings.bounds.cold_over,
            self.settings.bounds.cold_extra,
        )
        self.log.write(
            "configuration_in_force",
            version=configuration.version,
            revision=revision,
            before=known.version if known else 0,
        )

    def on_table_changed(self, service: str, table) -> None:
        """Passes a new version of a service's key table to the dispatcher."""
        self.dispatcher.tables[service] = table

    def on_fault(self, error: Exception, where: str = "request") -> None:
        """Logs an unexpected exception of this program."""
        self.log.write("fault", where=where, error=repr(error))

    def on_request_dropped(self, body_bytes: int) -> None:
        """Logs that a request is rejected to stay within the memory."""
        self.metrics.limits.labels("memory").inc()
        self.log.write(
            "request_dropped",
            body_bytes=body_bytes,
            limit_bytes=int(self.budget.limit_bytes),
        )

    def on_limit(self, limit: str, figure: int) -> None:
        """Logs that a limit was reached, and counts it."""
        self.metrics.limits.labels(limit).inc()
        self.log.write(
            "limit_reached",
            limit=limit,
            figure=figure,
            kept_bytes=self.budget.kept_bytes(),
            connections=len(self.callers.connections),
        )

    async def answer_ready(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers a readiness check: whether callers may be sent here."""
        if not self.protocol.is_readiness(request):
            return http_server.Response(404, [])
        known = self.dispatcher.configuration is not None
        is_ready = known and not self.stopping
        return http_server.Response(200 if is_ready else 503, [])

    async def answer_scrape(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Serves the metrics."""
        if not self.protocol.is_metrics(request):
            return http_server.Response(404, [])
        for event, count in self.log.counts.items():
            self.metrics.events.labels(event).set(count)
        self.metrics.store_calls.set(self.store.call_count)
        self.metrics.kept_bytes.set(self.budget.kept_bytes())
        self.metrics.caller_connections.set(len(self.callers.connections))
        self.metrics.target_limit.set(
            self.executor.queue.rate_limit.per_s or 0.0
        )
        self.metrics.target_leaving.set(
            self.executor.drain_since_ms is not None
        )
        for kind, size in self.peers.sent_bytes.items():
            self.metrics.peer_bytes.labels(kind).set(size)
        return http_server.Response(
            200,
            [(b"content-type", b"text/plain; version=0.0.4")],
            self.metrics.text(),
        )

    def reload(self) -> None:
        """Reads the settings file again and logs whether it has changed.

        Changed addresses take effect at a restart only.
        """
        try:
            settings = self.protocol.load_settings()
        except wire_protocol.DecodeError as error:
            self.log.write("reload_failed", error=str(error))
            return
        self.log.write("reload", changed=settings != self.settings)

    def begin_stop(self) -> None:
        """Begins a graceful shutdown."""
        if self.stopping:
            return
        self.stopping = True
        self.callers.closing = True
        self.log.write("stop", busy=self.callers.unfinished_count())
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self.stop()))

    async def abort(self) -> None:
        """Stops all tasks and connections at once, as a kill would."""
        self.configuration_sync.stop()
        self.system_sync.stop()
        self.ownership.stop()
        for task in self.tasks:
            task.cancel()
        self.peers.stop()
        for server in (self.callers, self.ready, self.control, self.scrapes):
            server.stop()
            for connection in list(server.connections):
                connection.transport.abort()
        self.executor.client.close()
        self.store.close()
        await asyncio.sleep(0)
        self.log.flush()

    async def _wait_for_answers(self) -> None:
        """Waits until callers have their last answers, for a short time."""
        until_ms = self.now_ms() + STOP_LAST_ANSWERS_MS
        while self.callers.unfinished_count() and self.now_ms() < until_ms:
            await asyncio.sleep(STOP_CHECK_INTERVAL_S / 4)

    async def stop(self) -> None:
        """Serves requests until callers use other nodes, then stops."""
        began_ms = self.now_ms()
        limit_ms = self.settings.bounds.grace_ms - STOP_MARGIN_S * 1_000
        # What waits and cannot be answered in time is refused from here on.
        self.dispatcher.stops_ms = began_ms + limit_ms
        answer_by_ms = began_ms + limit_ms - STOP_ANSWER_MARGIN_MS
        self.executor.bound.until_ms = answer_by_ms
        self.executor.on_bound_changed()
        self.peers.begin_stop(answer_by_ms)
        await asyncio.sleep(STOP_SERVING_S)
        # New requests are refused from here on, as the end would interrupt
        # them.
        self.executor.closing = True
        self.dispatcher.ends_ms = began_ms + limit_ms
        self.peers.announce_stop()
        self.callers.stop()
        await asyncio.sleep(STOP_NOTICE_DELAY_S)
        while self.now_ms() - began_ms < limit_ms:
            self.callers.close_idle()
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
            if (
                not self.callers.unfinished_count()
                and not self.peers.unfinished_count()
            ):
                break
        if self.callers.unfinished_count():
            self.dispatcher.end_sends()
            await self._wait_for_answers()
        self.callers.close_idle()
        self.log.write(
            "stopped",
            busy=self.callers.unfinished_count(),
            ms=int(self.now_ms() - began_ms),
        )
        self.log.flush()
        self.stopped.set()
