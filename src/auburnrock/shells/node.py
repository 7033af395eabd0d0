"""Wires the tasks of one node together."""

import secrets

import aiomisc

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import timing as timing_lib
from auburnrock.platform import base as platform_base
from auburnrock.shells import action_runner
from auburnrock.shells import assignment_task
from auburnrock.shells import clock
from auburnrock.shells import executor
from auburnrock.shells import frames
from auburnrock.shells import front
from auburnrock.shells import lease_task
from auburnrock.shells import logs
from auburnrock.shells import metrics as metrics_lib
from auburnrock.shells import peer_server
from auburnrock.shells import router
from auburnrock.shells import settings as settings_lib
from auburnrock.shells import store_sync
from auburnrock.shells import target_task

RANDOM_BITS = 20


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


class Node:
    """One node.

    Attributes:
      settings: its settings.
      event_log: its log and time line.
      metrics: where its metrics go.
      incarnation: number of this start.
      sync: owns the replica.
      lease: holds the lease.
      target: knows the target beside it.
      assignment: decides what it serves.
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
        self.metrics = metrics_lib.connect(settings.statsd, settings.name)
        self.incarnation = new_incarnation()
        self.peers = frames.PeerConnections(_NoRequests(event_log))
        self.sync = store_sync.StoreSync(
            platform, self.peers, self.incarnation, event_log
        )
        self.runner = action_runner.ActionRunner(
            platform, self.sync, event_log, self.incarnation
        )
        self.lease = lease_task.LeaseTask(
            self._record(), timing, self.sync, self.runner, event_log
        )
        self.target = target_task.TargetTask(self.lease, event_log)
        self.assignment = assignment_task.AssignmentTask(
            self.incarnation, self.lease, self.sync, self.runner, self.target
        )
        self.executor = executor.Executor(
            self.assignment, self.incarnation, event_log
        )
        self.entry_router = router.EntryRouter(
            self.sync.view, self.peers, self.incarnation, self.executor
        )
        node_router = NodeRouter(self.entry_router, self.assignment)
        self.front = front.Front(
            settings.address,
            settings.http_port,
            node_router,
            self.target,
            settings.largest_body_bytes,
        )
        handler = peer_server.PeerHandler(self.executor, self.sync, event_log)
        self.peer_server = peer_server.PeerServer(
            settings.address, settings.peer_port, handler, self.peers
        )
        self.sync.listeners += [self.assignment, node_router]
        self.lease.listeners.append(self.assignment)
        self.services: list[aiomisc.Service] = [
            self.front,
            self.sync,
            self.peer_server,
            self.lease,
            self.target,
        ]

    def _record(self) -> records.NodeRecord:
        settings = self.settings
        return records.NodeRecord(
            name=settings.name,
            incarnation=self.incarnation,
            region=settings.region,
            zone=settings.zone,
            address=settings.address,
            peer_port=settings.peer_port,
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
