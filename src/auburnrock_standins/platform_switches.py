"""Failures of the platform stand-in, switched over HTTP.

`POST /auburnrock/switches` with PlatformSwitches as JSON replaces all
switches; a field left out is off. `GET` shows them.
"""

import asyncio
import enum
import random

from aiohttp import web
import msgspec

from auburnrock.store import http_messages
from auburnrock_standins import serving

NONSENSE = [
    (200, b"\xff\x00 not JSON"),
    (200, b'{"swapped": "perhaps", "value": 7, "values": 1}'),
    (200, b"[]"),
    (418, b"{}"),
]
_READS = frozenset({http_messages.GET_PATH, http_messages.LIST_PATH})


class Outage(str, enum.Enum):
    """NONE, or REFUSE with 503, or HANG: calls go on when it is over."""

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"


class PlatformSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong from now on.

    Attributes:
      outage: see Outage.
      slowness_ms: added before each call takes effect, in milliseconds.
      lose_answers: how many of the next writes lose their answer after they
        took effect.
      lose_share: share of all writes that lose it, 0 to 1.
      late_writes: how many of the next writes break the connection first and
        take effect `late_ms` later.
      late_ms: see above, in milliseconds.
      nonsense: how many of the next answers are nonsense; writes take effect.
    """

    outage: Outage = Outage.NONE
    slowness_ms: int = 0
    lose_answers: int = 0
    lose_share: float = 0.0
    late_writes: int = 0
    late_ms: int = 0
    nonsense: int = 0


def drop_connection(request: web.Request) -> None:
    """Resets the connection of a request, if it is still there."""
    if request.transport is not None:
        request.transport.abort()


class PlatformFailures:
    """Applies the switches to the calls that pass through `middleware`."""

    def __init__(self, counts: http_messages.Counts, seed: int = 0):
        self.counts = counts
        self.switches = PlatformSwitches()
        self.changed = asyncio.Event()
        self.random = random.Random(seed)
        self.late_tasks: set[asyncio.Task] = set()
        self.nonsense_sent = 0

    def routes(self) -> list[web.RouteDef]:
        """The routes of the switches."""
        return [
            web.post(serving.SWITCHES_PATH, self.set),
            web.get(serving.SWITCHES_PATH, self.show),
        ]

    async def set(self, request: web.Request) -> web.Response:
        """Replaces all switches."""
        self.switches = await serving.read(request, PlatformSwitches)
        self.changed.set()
        self.changed = asyncio.Event()
        return await self.show(request)

    async def show(self, request: web.Request) -> web.Response:
        """The present switches."""
        return serving.answer(self.switches)

    def count(self, path: str) -> bool:
        """Counts a call, also one that fails; True if it is a write."""
        if path in _READS:
            self.counts.reads += 1
            return False
        if path == http_messages.WATCH_PATH:
            self.counts.watches += 1
            return False
        self.counts.writes += 1
        return True

    @web.middleware
    async def middleware(self, request: web.Request, handler):
        """Counts a call and lets it fail as the switches say."""
        if request.method != "POST" or request.path == serving.SWITCHES_PATH:
            return await handler(request)
        is_write = self.count(request.path)
        await request.read()
        while self.switches.outage is Outage.HANG:
            await self.changed.wait()
        if self.switches.outage is Outage.REFUSE:
            raise web.HTTPServiceUnavailable()
        await asyncio.sleep(self.switches.slowness_ms / 1_000)
        if is_write and self.switches.late_writes > 0:
            return self.write_late(request, handler)
        response = await handler(request)
        if self.switches.outage is not Outage.NONE:
            # It began meanwhile; a write that took effect can't be refused.
            drop_connection(request)
        elif is_write and self.loses_answer():
            drop_connection(request)
        elif self.switches.nonsense > 0:
            return self.nonsense()
        return response

    def write_late(self, request: web.Request, handler) -> web.Response:
        """Breaks the connection now and lets the write take effect later."""
        self.switches.late_writes -= 1
        late_s = self.switches.late_ms / 1_000

        async def write() -> None:
            await asyncio.sleep(late_s)
            await handler(request)

        task = asyncio.create_task(write())
        self.late_tasks.add(task)
        task.add_done_callback(self.late_tasks.discard)
        drop_connection(request)
        return web.Response()

    def loses_answer(self) -> bool:
        """Whether this write's answer is lost."""
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            return True
        return self.random.random() < self.switches.lose_share

    def nonsense(self) -> web.Response:
        """The next nonsense answer."""
        self.switches.nonsense -= 1
        status, body = NONSENSE[self.nonsense_sent % len(NONSENSE)]
        self.nonsense_sent += 1
        return web.Response(status=status, body=body)
