"""Wires the tasks of one node together."""

import asyncio
import secrets

import aiomisc

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import timing as timing_lib
from auburnrock.shells import action_runner
from auburnrock.shells import assignment_task
from auburnrock.shells import clock
from auburnrock.shells import end_prober
from auburnrock.shells import executor
from auburnrock.shells import frames
from auburnrock.shells import front
from auburnrock.shells import lease_task
from auburnrock.shells import logs
from auburnrock.shells import peer_server
from auburnrock.shells import quarantine_task
from auburnrock.shells import rebalance_task
from auburnrock.shells import request_tally
from auburnrock.shells import results_task
from auburnrock.shells import router
from auburnrock.shells import settings as settings_lib
from auburnrock.shells import store_sync
from auburnrock.shells import target_task
from auburnrock.store import base as platform_base
from auburnrock.targets import base as targets_base

RANDOM_BITS = 20
UPKEEP_INTERVAL_MS = 200


def new_incarnation() -> int:
    """A number for this start of a node, greater than earlier ones.

    Milliseconds since 1970, then random bits that keep two hosts started in
    the same millisecond apart.
    """
    return clock.wall_ms() << RANDOM_BITS | secrets.randbits(RANDOM_BITS)


class NodeRouter(front.Router, store_sync.ChangeListener):
    """Routes the requests that callers send to this node."""

    def __init__(
        self,
        entry_router: router.EntryRouter,
        assignment: assignment_task.AssignmentTask,
    ):
        self.entry_router = entry_router
        self.assignment = assignment

    def configuration(self) -> records.Configuration | None:
        """The configuration in force at this node."""
        return self.assignment.in_force.configuration

    async def route(
        self, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Returns the request's final answer, by its deadline."""
        return await self.entry_router.route(request)

    def on_replica_changed(self, changed: list[str]) -> None:
        """Tells waiting requests that the owner table may have changed."""
        self.entry_router.on_table_advanced()


class TargetEvents(target_task.ShardSource):
    """Passes what happens to the target on to the parts concerned."""

    def __init__(
        self,
        assignment: assignment_task.AssignmentTask,
        request_executor: executor.Executor,
        quarantine: quarantine_task.QuarantineTask,
    ):
        self.assignment = assignment
        self.executor = request_executor
        self.quarantine = quarantine

    def limits(self, service: str) -> records.ServiceSettings:
        """Settings that bound the use of a target of a service."""
        settings = self.assignment.in_force.settings(service)
        return settings or records.ServiceSettings()

    def grantable(self) -> list[targets_base.GrantedShard]:
        """The shards to grant now."""
        return self.assignment.releases.grantable()

    def is_moving(self) -> bool:
        """Whether a shard is being released."""
        return any(self.assignment.releases.releases.values())

    def on_grant_answered(self) -> None:
        """Goes on with releases."""
        self.assignment.on_grant_answered()

    def on_target_ended(self) -> list[records.QuarantineRecord]:
        """Notes what the target ran; see the base class."""
        return self.executor.on_target_ended()

    async def spread(self, crashed: list[records.QuarantineRecord]) -> None:
        """Spreads the suspects of the crash."""
        await self.quarantine.spread(crashed)


class Upkeep(lease_task.TickListener):
    """Does a node's regular small jobs."""

    def __init__(self, node: "Node"):
        self.node = node
        self.next_ms = 0

    def on_tick(self, now_ms: int) -> None:
        """Writes open quarantine records and forgets old state."""
        self.node.note_end()
        self.node.peers.check_silence()
        if now_ms < self.next_ms:
            return
        self.next_ms = now_ms + UPKEEP_INTERVAL_MS
        self.node.quarantine.tick(now_ms)
        self.node.executor.results.expire(clock.wall_ms())
        self.node.results.tick(now_ms)
        self.node.entry_router.forget_ended()


class Node:
    """One node.

    Attributes:
      settings: its settings.
      event_log: its log and time line.
      incarnation: number of this start.
      ended: set once other nodes have ended this incarnation, as after a
        long freeze; the process goes on with a new one.
      sync: owns the replica.
      lease: holds the lease.
      target: knows the target beside it.
      assignment: decides what it serves.
      router: routes and counts the callers' requests.
      front: serves callers.
      services: the tasks to start, in order.
    """

    def __init__(
        self,
        settings: settings_lib.DaemonSettings,
        platform: platform_base.Platform,
        event_log: logs.EventLog,
        timing: timing_lib.Timing,
    ):
        self.settings = settings
        self.platform = platform
        self.event_log = event_log
        self.incarnation = new_incarnation()
        self.ended = asyncio.Event()
        self.peers = frames.PeerConnections(_NoRequests(event_log))
        self.sync = store_sync.StoreSync(
            platform, self.peers, self.incarnation, event_log
        )
        self.runner = action_runner.ActionRunner(
            platform, self.sync, event_log, self.incarnation
        )
        self.lease = lease_task.LeaseTask(
            self._record(),
            timing,
            self.sync,
            self.runner,
            event_log,
            settings.peer_port,
        )
        self.target = target_task.TargetTask(self.lease, timing, event_log)
        self.assignment = assignment_task.AssignmentTask(
            self.incarnation, self.lease, self.sync, self.runner, self.target
        )
        self.executor = executor.Executor(
            self.assignment,
            self.target,
            self.incarnation,
            event_log,
            settings.clock_margin_ms,
        )
        self.assignment.set_work_count(self.executor)
        self.quarantine = quarantine_task.QuarantineTask(
            self.executor.quarantine,
            self.incarnation,
            self.sync,
            self.runner,
            self.peers,
            event_log,
        )
        self.results = results_task.ResultsTask(
            self.incarnation,
            self.executor.results,
            self.sync,
            self.peers,
            event_log,
        )
        self.executor.results_source = self.results
        self.rebalance = rebalance_task.RebalanceTask(
            settings,
            self.assignment,
            self.peers,
            self.executor.meter,
            event_log,
        )
        self.lease.totals = self.rebalance
        self.target.shards = TargetEvents(
            self.assignment, self.executor, self.quarantine
        )
        self.entry_router = router.EntryRouter(
            self.sync.view,
            self.peers,
            settings.zone,
            self.incarnation,
            self.executor,
        )
        self.entry_router.table = self.sync
        node_router = NodeRouter(self.entry_router, self.assignment)
        self.router = request_tally.CountingRouter(node_router)
        self.front = front.Front(
            settings.address,
            settings.http_port,
            self.router,
            self.target,
            settings.largest_body_bytes,
        )
        handler = peer_server.PeerHandler(
            self.executor,
            self.sync,
            self.results,
            self.quarantine,
            event_log,
        )
        handler.figures = self.rebalance
        handler.traffic = self.runner.traffic
        self.peers.handler.traffic = self.runner.traffic
        self.peer_server = peer_server.PeerServer(
            settings.address, settings.peer_port, handler, self.peers
        )
        self.sync.listeners += [
            self.assignment,
            self.results,
            self.rebalance,
            self.quarantine,
            node_router,
        ]
        self.lease.listeners += [
            self.assignment,
            end_prober.EndProber(self.lease),
            self.rebalance,
            self.target,
            Upkeep(self),
        ]
        self.services: list[aiomisc.Service] = [
            self.front,
            self.sync,
            self.peer_server,
            self.lease,
            self.target,
        ]

    def note_end(self) -> None:
        """Notes when this incarnation was ended by other nodes."""
        participant = self.lease.participant
        if participant is None or self.ended.is_set():
            return
        if participant.holder.ended and not participant.holder.leaving:
            self.event_log.write("incarnation_ended")
            self.ended.set()

    def begin_drain(self) -> None:
        """Begins to give away all that this node owns."""
        if self.lease.participant is not None:
            self.lease.participant.holder.drain()
        self.assignment.releases.leave()

    def _record(self) -> records.NodeRecord:
        settings = self.settings
        return records.NodeRecord(
            name=settings.name,
            incarnation=self.incarnation,
            region=settings.region,
            zone=settings.zone,
            address=settings.address,
            peer_port=settings.advertised_peer_port or settings.peer_port,
            http_port=settings.http_port,
            control_port=settings.control_port,
        )


class _NoRequests(frames.FrameHandler):
    """For connections that this node opened: peers only answer on them."""

    def __init__(self, event_log: logs.EventLog):
        self.event_log = event_log

    def on_frame(
        self, connection: frames.FrameConnection, frame: messages.Frame
    ) -> None:
        """Notes a frame that does not belong on such a connection."""
        self.on_garbage(f"unexpected frame {type(frame).__name__}")

    def on_garbage(self, reason: str) -> None:
        """Notes that a peer sent bytes that are no frame."""
        self.event_log.write("peer_garbage", reason=reason)
