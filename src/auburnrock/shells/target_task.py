"""The task that knows the target beside this node and grants it its shards."""

import asyncio

import aiomisc

from auburnrock.shells import clock
from auburnrock.shells import front
from auburnrock.shells import lease_task
from auburnrock.shells import logs
from auburnrock.targets import base as targets_base
from auburnrock.targets import http as http_target

GRANT_INTERVAL_MS = 300
IDLE_S = 0.05


class TargetTask(aiomisc.Service, front.AnnouncementHandler):
    """Receives announcements and renews the target's grant.

    Attributes:
      lease: holds this node's lease, which bounds each grant.
      event_log: where events go.
      client: client of the target; None before it has announced itself.
      announced: its latest announcement.
      heard_ms: when `clock_ms` was received, on this node's clock.
      clock_ms: the latest reading of the target's clock.
      shards: the shards to grant.
    """

    def __init__(self, lease: lease_task.LeaseTask, event_log: logs.EventLog):
        super().__init__()
        self.lease = lease
        self.event_log = event_log
        self.client: http_target.HttpTarget | None = None
        self.announced: targets_base.Announcement | None = None
        self.heard_ms = 0
        self.clock_ms = 0
        self.shards: list[targets_base.GrantedShard] = []
        self._next_grant_ms = 0
        self._changed = asyncio.Event()
        self._closing: asyncio.Task | None = None

    async def start(self) -> None:
        """Renews the grant until cancelled."""
        self.start_event.set()
        while True:
            await self._wait()
            if self.confirmed_target() is not None and self.lease.live():
                await self._grant()

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the connections to the target."""
        if self.client is not None:
            await self.client.close()

    def on_announcement(self, announcement: targets_base.Announcement) -> None:
        """Takes in what the target says of itself."""
        known = self.announced
        self.announced = announcement
        self._read_clock(announcement.clock_ms)
        if known is None or known.incarnation != announcement.incarnation:
            self._replace_client(announcement)
        if self.lease.member is not None:
            self.lease.member.holder.set_target(
                announcement.service,
                announcement.address,
                announcement.incarnation,
                announcement.checks_grants,
            )

    def confirmed_target(self) -> targets_base.Target | None:
        """The target, once this node's record in the store names it."""
        if self.announced is None or self.lease.member is None:
            return None
        record = self.lease.member.holder.record
        if record.target_incarnation != self.announced.incarnation:
            return None
        return self.client

    def set_shards(self, shards: list[targets_base.GrantedShard]) -> None:
        """Takes the shards to grant; a change is granted at once."""
        if shards != self.shards:
            self.shards = shards
            self._next_grant_ms = 0
            self._changed.set()

    def _replace_client(self, announcement: targets_base.Announcement) -> None:
        self.event_log.write(
            "target_announced",
            service=announcement.service,
            address=announcement.address,
            target=announcement.incarnation,
        )
        previous = self.client
        self.client = http_target.connect(announcement.address)
        if previous is not None:
            # Kept in an attribute, as the loop holds tasks only weakly.
            self._closing = asyncio.create_task(previous.close())

    def _read_clock(self, clock_ms: int) -> None:
        self.clock_ms = clock_ms
        self.heard_ms = clock.now_ms()

    async def _wait(self) -> None:
        delay_ms = self._next_grant_ms - clock.now_ms()
        self._changed.clear()
        try:
            async with asyncio.timeout(max(delay_ms / 1_000, IDLE_S)):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def _grant(self) -> None:
        left_ms = self.lease.left_ms(self.heard_ms)
        grant = targets_base.Grant(
            node=self.lease.record.incarnation,
            target_incarnation=self.announced.incarnation,
            valid_until_ms=self.clock_ms + left_ms,
            shards=self.shards,
        )
        self._next_grant_ms = clock.now_ms() + GRANT_INTERVAL_MS
        try:
            answer = await self.client.grant(grant)
        except targets_base.TargetError as error:
            self.event_log.write("grant_failed", reason=str(error))
            return
        if answer.incarnation == self.announced.incarnation:
            self._read_clock(answer.clock_ms)
