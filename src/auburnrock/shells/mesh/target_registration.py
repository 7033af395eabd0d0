"""Answers the heartbeats of the target beside this node, and its farewell."""

import asyncio
from collections.abc import Callable

from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.shells import clock
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import executor as executor_module
from auburnrock.shells.mesh import http_server
from auburnrock.shells.mesh import ownership as ownership_module
from auburnrock.shells.mesh import peer_connections
from auburnrock.shells.mesh import wire_protocol

HEARTBEAT_REPLY_DELAY_S = 0.6
"""Longest delay, in seconds, of the reply to a heartbeat while the grants do
not change. A heartbeat must be acknowledged within a second, and a change in
this time reaches the target at once."""

LEAVE_CONFIRM_TIMEOUT_S = 0.4
"""Time, in seconds, in which peers confirm that they know that the target
leaves. Its call must be acknowledged within a second."""

LEAVE_CONFIRM_MAX_MS = 2_000.0
"""Time, in milliseconds, after which a leaving target is acknowledged without
the confirmation of peers."""


IDENTIFY_INTERVAL_MS = 400.0
"""Minimum interval, in milliseconds, between two questions to the target which
one it is."""


class TargetRegistration:
    """Answers the calls with which a target reports itself.

    Attributes:
      holder: grants of keys to the target.
      own_entry: returns the entry of this node that is gossiped to all others.
      leave_heard: the target that last said that it leaves, and when this
        process first heard so.
      acknowledged_leaving: incarnation of the target whose draining heartbeat
        was acknowledged; None before.
      identified_ms: when the target was last asked which one it is.
    """

    def __init__(
        self,
        settings: model.Settings,
        protocol: wire_protocol.WireProtocol,
        executor: executor_module.Executor,
        ownership: ownership_module.Ownership,
        peers: peer_connections.PeerConnections,
        own_entry: Callable[[], membership.Entry],
        log: event_log.EventLog,
        now_ms: Callable[[], float],
    ):
        self.settings = settings
        self.protocol = protocol
        self.executor = executor
        self.holder = executor.holder
        self.ownership = ownership
        self.peers = peers
        self.own_entry = own_entry
        self.log = log
        self.now_ms = now_ms
        self.leave_heard = ("", 0.0)
        self.acknowledged_leaving: model.Incarnation | None = None
        self.identified_ms = -IDENTIFY_INTERVAL_MS

    async def answer(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers the target's heartbeats and its farewell message."""
        call = self.protocol.decode_registration_call(request)
        if call is None:
            return http_server.Response(404, [])
        if call.deregisters:
            self.executor.on_farewell(clock.wall_ms(), call.target)
            if not await self.confirm_leaving(call.target):
                return http_server.Response(503, [])
            return self.protocol.encode_heartbeat_reply(model.HeartbeatReply())
        try:
            beat = self.protocol.decode_heartbeat(call.target, request.body)
        except wire_protocol.DecodeError as error:
            self.log.write(
                "heartbeat_unreadable", target=call.target, error=str(error)
            )
            return http_server.Response(400, [])
        return await self.answer_heartbeat(request, beat)

    async def confirm_leaving(self, target: str) -> bool:
        """Tells peers that the target leaves, before it is acknowledged.

        This process may be killed right after the acknowledgement; peers then
        tell the next one. An isolated node acknowledges after
        LEAVE_CONFIRM_MAX_MS, as the target leaves in any case.

        Returns:
          Whether to acknowledge.
        """
        now_ms = self.now_ms()
        if self.leave_heard[0] != target:
            self.leave_heard = (target, now_ms)
        confirmed = await self.peers.confirm_own_entry(
            self.own_entry(), LEAVE_CONFIRM_TIMEOUT_S
        )
        waited_ms = self.now_ms() - self.leave_heard[1]
        acknowledged = confirmed or waited_ms >= LEAVE_CONFIRM_MAX_MS
        self.log.write(
            "leave_acknowledged" if acknowledged else "leave_withheld",
            target=target,
            confirmed=confirmed,
            waited_ms=int(waited_ms),
        )
        return acknowledged

    async def answer_heartbeat(
        self, request: http_server.Request, beat: model.Heartbeat
    ) -> http_server.Response:
        """Answers one heartbeat with the grants of the target.

        While the grants do not change and last, the reply is delayed by up to
        HEARTBEAT_REPLY_DELAY_S.
        """
        field = self.foreign_field(beat)
        if field:
            self.log.write(
                "heartbeat_elsewhere",
                target=beat.target,
                address=beat.address,
                field=field,
            )
            return http_server.Response(400, [])
        rivals = self.holder.rivals_of(beat)
        if rivals and not await self.succeeds(beat, rivals):
            return self.protocol.encode_heartbeat_reply(model.HeartbeatReply())
        if not self.holder.on_heartbeat(request.received_ms, beat):
            self.log.write(
                "heartbeat_late",
                target=beat.target,
                sequence=beat.sequence,
                started_ms=beat.started_ms,
                known_sequence=self.holder.sequence,
            )
            return self.protocol.encode_heartbeat_reply(model.HeartbeatReply())
        self.executor.apply_heartbeat(beat)
        is_leaving = beat.state is model.TargetState.DRAINING
        if is_leaving and self.acknowledged_leaving != self.holder.incarnation:
            incarnation = self.holder.incarnation
            if not await self.confirm_leaving(beat.target):
                return http_server.Response(503, [])
            self.acknowledged_leaving = incarnation
        elif not is_leaving and self.executor.drain_since_ms is None:
            self.acknowledged_leaving = None
        if not self.ownership.keyed:
            return self.protocol.encode_heartbeat_reply(model.HeartbeatReply())
        # Replies that wait for an earlier heartbeat are not due any more.
        self.ownership.grants_changed.set()
        await self._wait_until_due(beat)
        if self.holder.sequence != beat.sequence:
            return self.protocol.encode_heartbeat_reply(model.HeartbeatReply())
        reply = self.holder.reply(
            self.now_ms(), request.received_ms, self.ownership.grants_until_ms()
        )
        return self.protocol.encode_heartbeat_reply(reply)

    def foreign_field(self, beat: model.Heartbeat) -> str:
        """Returns the field that shows a heartbeat of another writer, or ""."""
        settings = self.settings
        if not beat.target:
            return "id"
        if beat.address != settings.target_address:
            return "address"
        if beat.service != settings.service:
            return "service"
        return "" if beat.zone == settings.zone else "zone"

    async def succeeds(self, beat: model.Heartbeat, rivals: set[str]) -> bool:
        """Asks the target which one it is, as a heartbeat names another one.

        Returns:
          Whether the heartbeat may be that of a new target: the target's own
          answer does not name one that was known before.
        """
        now_ms = self.now_ms()
        if now_ms - self.identified_ms < IDENTIFY_INTERVAL_MS:
            return True
        self.identified_ms = now_ms
        found = await self.executor.identify_target()
        self.log.write(
            "target_identified",
            claimed=beat.target,
            known=",".join(sorted(rivals)),
            found=found,
        )
        if found == beat.target:
            self.executor.on_target_replaced(beat)
        return found not in rivals

    async def _wait_until_due(self, beat: model.Heartbeat) -> None:
        """Waits until the reply is due, or another heartbeat came."""
        if self.holder.draining:
            return
        changed = self.ownership.grants_changed
        changed.clear()
        try:
            async with asyncio.timeout(HEARTBEAT_REPLY_DELAY_S):
                while not self.is_reply_due():
                    await changed.wait()
                    changed.clear()
                    if self.holder.sequence != beat.sequence:
                        return
        except TimeoutError:
            pass

    def is_reply_due(self) -> bool:
        """Whether a reply now would change or must renew the target's grants.

        After a start the grants change before the lease is live: a reply that
        grants nothing then would delay them by a whole heartbeat.
        """
        now_ms = self.now_ms()
        if self.ownership.grants_until_ms() <= now_ms:
            return False
        return (
            self.holder.latest_is_older
            or self.holder.has_grant_changes()
            or self.holder.must_renew(now_ms)
        )
