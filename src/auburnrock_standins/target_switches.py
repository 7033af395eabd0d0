"""Failures of the target stand-in, switched over HTTP.

`POST /auburnrock/switches` with TargetSwitches as JSON replaces all switches;
a field left out is off. `GET` shows them.
"""

import asyncio
import os
import time

from aiohttp import web
import msgspec

from auburnrock.shells import clock
from auburnrock.targets import protocol
from auburnrock_standins import serving

CRASH_EXIT_CODE = 70
CROSS_WAIT_S = 5.0
FREEZE_DELAY_S = 0.01


class TargetSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong from now on; times in milliseconds.

    Attributes:
      freeze_ms: once, at once: neither reads nor answers for this long.
      crash_marker: work whose headers or body contain it ends the process.
      silence_connections: once, at once: the connections that are open never
        answer again.
      late_ms: answers to work leave this much after it ended.
      cross_pairs: how many of the next pairs of answers to work are swapped,
        request identifiers included.
      truncate: how many of the next answers to work end in their middle.
      shed: refuses all work as overloaded.
      healthy: what health says whatever is true; None for the truth.
      report_lag_ms: how old the health and load reports may be.
    """

    freeze_ms: int = 0
    crash_marker: str = ""
    silence_connections: bool = False
    late_ms: int = 0
    cross_pairs: int = 0
    truncate: int = 0
    shed: bool = False
    healthy: bool | None = None
    report_lag_ms: int = 0


class TargetFailures:
    """Applies the switches.

    Attributes:
      switches: the present ones.
      silent: connections that never answer again.
      server: aiohttp's server, which knows the open connections; set once it
        serves.
    """

    def __init__(self):
        self.switches = TargetSwitches()
        self.silent: set[web.RequestHandler] = set()
        self.server: web.Server | None = None
        self.crossing: asyncio.Future | None = None
        self.crossing_response: web.Response | None = None
        self.reports: dict[str, tuple[int, msgspec.Struct]] = {}

    def routes(self) -> list[web.RouteDef]:
        """The routes of the switches."""
        return [
            web.post(serving.SWITCHES_PATH, self.set),
            web.get(serving.SWITCHES_PATH, self.show),
        ]

    async def set(self, request: web.Request) -> web.Response:
        """Replaces all switches."""
        self.switches = await serving.read(request, TargetSwitches)
        if self.switches.silence_connections:
            self.silent.update(self.server.connections)
            self.silent.discard(request.protocol)
        if self.switches.freeze_ms > 0:
            asyncio.get_running_loop().call_later(
                FREEZE_DELAY_S, time.sleep, self.switches.freeze_ms / 1_000
            )
        return await self.show(request)

    async def show(self, request: web.Request) -> web.Response:
        """The present switches."""
        return serving.answer(self.switches)

    @web.middleware
    async def middleware(self, request: web.Request, handler):
        """Lets a silent connection swallow requests and answers."""
        await self.stay_silent(request)
        response = await handler(request)
        await self.stay_silent(request)
        return response

    async def stay_silent(self, request: web.Request) -> None:
        """Never returns on a silent connection."""
        if request.protocol in self.silent:
            await asyncio.Event().wait()

    def crash_if_marked(self, request: web.Request, body: bytes) -> None:
        """Ends the process on a request with the marker."""
        marker = self.switches.crash_marker
        if not marker:
            return
        in_headers = any(marker in v for v in request.headers.values())
        if in_headers or marker.encode() in body:
            os._exit(CRASH_EXIT_CODE)

    async def spoil(
        self, request: web.Request, response: web.Response
    ) -> web.StreamResponse:
        """The answer to work that leaves in place of the right one."""
        await asyncio.sleep(self.switches.late_ms / 1_000)
        if self.switches.cross_pairs > 0 or self.crossing is not None:
            response = await self.cross(response)
        if self.switches.truncate > 0:
            self.switches.truncate -= 1
            return await self.truncate(request, response)
        return response

    async def cross(self, response: web.Response) -> web.Response:
        """Waits for a second answer and swaps the two."""
        if self.crossing is not None:
            other, self.crossing_response = self.crossing_response, None
            self.crossing.set_result(response)
            self.crossing = None
            return other
        self.switches.cross_pairs -= 1
        self.crossing = asyncio.get_running_loop().create_future()
        self.crossing_response = response
        return await asyncio.wait_for(self.crossing, CROSS_WAIT_S)

    async def truncate(
        self, request: web.Request, response: web.Response
    ) -> web.StreamResponse:
        """Sends half of the declared body and closes the connection."""
        body = response.body
        short = web.StreamResponse(
            status=response.status, headers=response.headers
        )
        short.content_length = len(body)
        await short.prepare(request)
        await short.write(body[: len(body) // 2])
        request.transport.close()
        return short

    def report(self, name: str, present: msgspec.Struct) -> msgspec.Struct:
        """The report to give: an older one within the switched lag."""
        now_ms = clock.now_ms()
        taken_ms, report = self.reports.get(name, (0, present))
        if now_ms - taken_ms >= self.switches.report_lag_ms:
            taken_ms, report = now_ms, present
            self.reports[name] = (taken_ms, report)
        if isinstance(report, protocol.Health) and (
            self.switches.healthy is not None
        ):
            return msgspec.structs.replace(
                report, healthy=self.switches.healthy
            )
        return report
