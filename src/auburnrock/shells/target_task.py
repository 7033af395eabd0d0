"""The task that knows the target beside this node and grants it its shards."""

import abc
import asyncio

import aiomisc

from auburnrock import errors
from auburnrock import records
from auburnrock.engine import grants as grants_lib
from auburnrock.engine import timing as timing_lib
from auburnrock.shells import clock
from auburnrock.shells import end_prober
from auburnrock.shells import execution
from auburnrock.shells import front
from auburnrock.shells import lease_task
from auburnrock.shells import logs
from auburnrock.shells import target_slots
from auburnrock.targets import base as targets_base
from auburnrock.targets import http as http_target
from auburnrock.targets import protocol

CALM_LOOK_MS = 100
"""Time between looks while no shard is being released."""

SILENCE_LIMIT_MS = 2 * protocol.ANNOUNCE_INTERVAL_MS
SPREAD_TIMEOUT_S = 0.2
DEFAULTS = records.ServiceSettings()


class ShardSource(abc.ABC):
    """Knows what the target beside this node may serve."""

    @abc.abstractmethod
    def limits(self, service: str) -> records.ServiceSettings:
        """Settings that bound the use of a target of a service."""

    @abc.abstractmethod
    def grantable(self) -> list[targets_base.GrantedShard]:
        """The shards to grant now."""

    @abc.abstractmethod
    def is_moving(self) -> bool:
        """Whether a shard is being released."""

    @abc.abstractmethod
    def on_grant_answered(self) -> None:
        """The target has answered a grant."""

    @abc.abstractmethod
    def on_target_ended(self) -> list[records.QuarantineRecord]:
        """The target has surely ended; returns records of what it ran."""

    @abc.abstractmethod
    async def spread(self, crashed: list[records.QuarantineRecord]) -> None:
        """Returns once the records are spread, or after a short time."""


class TargetTask(
    aiomisc.Service,
    front.AnnouncementHandler,
    execution.CrashWatch,
    lease_task.TickListener,
):
    """Receives announcements, renews the grant, and notices crashes.

    Attributes:
      lease: holds this node's lease, which bounds each grant.
      event_log: where events go.
      grants: decides what to grant and reads the answers.
      client: client of the target; None while there is none.
      announced: the present target's latest announcement.
      slots: places at the target.
      shards: knows what to grant; set when the node is wired.
    """

    def __init__(
        self,
        lease: lease_task.LeaseTask,
        timing: timing_lib.Timing,
        event_log: logs.EventLog,
    ):
        super().__init__()
        self.lease = lease
        self.event_log = event_log
        self.grants = grants_lib.Grants(lease.record.incarnation, timing)
        self.client: http_target.HttpTarget | None = None
        self.announced: targets_base.Announcement | None = None
        self.slots = target_slots.TargetSlots(
            DEFAULTS.slots, DEFAULTS.connections
        )
        self.shards: ShardSource | None = None
        self._changed = asyncio.Event()
        self._probed_ms = 0
        self._look_at_ms = 0
        self._ending: asyncio.Task | None = None
        self._closing: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Renews the grant until cancelled."""
        self.start_event.set()
        while True:
            await self._grant_if_due()
            await self._probe_if_silent()
            self.slots.expire()
            await self._changed.wait()
            self._changed.clear()

    def on_tick(self, now_ms: int) -> None:
        """Looks at the grant regularly, more often while a shard moves."""
        is_moving = self.shards is not None and self.shards.is_moving()
        if is_moving or now_ms >= self._look_at_ms:
            self._look_at_ms = now_ms + CALM_LOOK_MS
            self.wake()

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the connections to the target."""
        if self.client is not None:
            await self.client.close()

    def wake(self) -> None:
        """Grants at once if something has changed."""
        self._changed.set()

    def on_announcement(
        self, announcement: targets_base.Announcement
    ) -> errors.Failure | None:
        """Takes in what the target says of itself; see the base class."""
        if self._is_another(announcement):
            return errors.Failure(
                errors.ErrorKind.CONFLICT,
                f"a target at {self.announced.address} is beside this node;"
                f" got an announcement of {announcement.address}",
            )
        now_ms = clock.now_ms()
        ended_before = self.grants.on_announced(announcement, now_ms)
        is_new = (
            self.announced is None
            or self.announced.incarnation != announcement.incarnation
        )
        self.announced = announcement
        if ended_before:
            self._note_end("a new incarnation was announced")
        if is_new:
            self._connect(announcement)
        self._tell_holder(announcement)
        return None

    def confirmed_target(self) -> targets_base.Target | None:
        """The target, once this node's record in the store names it.

        Before that, whoever ends this node does not know of the target.
        """
        if self.announced is None or self.lease.participant is None:
            return None
        record = self.lease.participant.holder.record
        if record.target_incarnation != self.announced.incarnation:
            return None
        return self.client

    async def after_lost_connection(self) -> None:
        """Finds out whether the target crashed; see execution.CrashWatch."""
        if self._ending is None and await self._refuses_connections():
            self.on_ended("its port refuses connections")
        if self._ending is not None:
            await asyncio.wait([self._ending], timeout=SPREAD_TIMEOUT_S)

    def on_ended(self, reason: str) -> None:
        """Takes in that the target has surely ended."""
        if self.announced is None:
            return
        self.announced = None
        self.grants.on_ended()
        self.lease.participant.holder.set_target("", "", "", True)
        self.lease.participant.holder.desired.target_draining = False
        self._note_end(reason)

    def _is_another(self, announcement: targets_base.Announcement) -> bool:
        """Whether it comes from a second target while the first may live.

        A target at the same address has taken the former one's place; one at
        another address proves nothing about the former.
        """
        known = self.announced
        if known is None or known.address == announcement.address:
            return False
        return not self.grants.has_surely_ended(clock.now_ms())

    def _connect(self, announcement: targets_base.Announcement) -> None:
        self.event_log.write(
            "target_announced",
            service=announcement.service,
            address=announcement.address,
            target=announcement.incarnation,
        )
        self._close_client()
        limits = self.shards.limits(announcement.service)
        self.slots = target_slots.TargetSlots(limits.slots, limits.connections)
        self.client = http_target.connect(
            announcement.address, limits.connections
        )

    def _tell_holder(self, announcement: targets_base.Announcement) -> None:
        participant = self.lease.participant
        if participant is None:
            return
        participant.holder.set_target(
            announcement.service,
            announcement.address,
            announcement.incarnation,
            announcement.checks_grants,
        )
        participant.holder.desired.target_draining = announcement.draining

    def _note_end(self, reason: str) -> None:
        self.event_log.write("target_ended", reason=reason)
        self.slots.refuse_waiting(
            errors.Failure(errors.ErrorKind.NO_TARGET, "the target has ended")
        )
        # At once, before a new target runs anything.
        crashed = self.shards.on_target_ended()
        self._ending = asyncio.create_task(self._spread(crashed))
        self.wake()

    async def _spread(self, crashed: list[records.QuarantineRecord]) -> None:
        await self.shards.spread(crashed)
        self._ending = None

    def _close_client(self) -> None:
        if self.client is None:
            return
        # The loop holds tasks only weakly.
        task = asyncio.create_task(self.client.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        self.client = None

    async def _grant_if_due(self) -> None:
        if self.confirmed_target() is None or self.shards is None:
            return
        grant = self.grants.next(
            self.shards.grantable(),
            self.lease.expires_at_ms(),
            clock.now_ms(),
        )
        if grant is None:
            return
        try:
            answer = await self.client.grant(grant)
        except targets_base.TargetError as error:
            await self._on_no_answer(error)
            return
        if self.grants.on_answer(answer, clock.now_ms()):
            self.on_ended("another incarnation answered")
        elif not answer.accepted:
            self.event_log.write("grant_refused")
        self.shards.on_grant_answered()

    async def _on_no_answer(self, error: targets_base.TargetError) -> None:
        self.grants.on_no_answer()
        self.event_log.write("grant_failed", reason=str(error))
        if await self._refuses_connections():
            self.on_ended("its port refuses connections")

    async def _refuses_connections(self) -> bool:
        """Whether nothing listens any more where the target was."""
        if self.announced is None:
            return False
        return await end_prober.refuses_connections(self.announced.address)

    async def _probe_if_silent(self) -> None:
        """Notices the end of a target that checks no grants, so gets none.

        It announces itself regularly as long as it lives.
        """
        seen = self.grants.target
        if self.announced is None or seen is None or seen.checks_grants:
            return
        now_ms = clock.now_ms()
        silent_ms = now_ms - max(seen.received_ms, self._probed_ms)
        if silent_ms < SILENCE_LIMIT_MS:
            return
        self._probed_ms = now_ms
        if await self._refuses_connections():
            self.on_ended("its port refuses connections")


SPREAD_TIMEOUT_S = 0.2
