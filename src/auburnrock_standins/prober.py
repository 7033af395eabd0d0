"""Asks for keys again and again, and notes when they were served."""

import asyncio
import random

import aiohttp
import msgspec

from auburnrock.shells import clock
from auburnrock.shells import wire
from auburnrock_standins import fleet as fleet_lib

INTERVAL_S = 0.02
DEADLINE_MS = 3_000
NOT_REACHED = "not_reached"


class Probe(msgspec.Struct, frozen=True):
    """One request and how it ended.

    Attributes:
      key: key that was asked for.
      sent_ms: when it was sent, boot-time milliseconds.
      ended_ms: when its answer was there.
      error: kind of error; empty if it was served.
      owner: incarnation that served it, as the answer names it.
    """

    key: str
    sent_ms: int
    ended_ms: int
    error: str
    owner: str


class Prober:
    """Sends one request for each key every INTERVAL_S, through living nodes.

    Attributes:
      service: service of the keys.
      keys: what is asked for; may be replaced at any time.
      lost: names of hosts whose daemon is not asked.
      probes: all requests that ended.
      interval_s: time between two requests for a key.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        session: aiohttp.ClientSession,
        service: str,
        keys: list[str],
    ):
        self.fleet = fleet
        self.session = session
        self.service = service
        self.keys = keys
        self.lost: set[str] = set()
        self.probes: list[Probe] = []
        self.interval_s = INTERVAL_S
        self._random = random.Random(0)
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            for key in self.keys:
                task = asyncio.create_task(self.ask(key))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.interval_s)

    async def ask(self, key: str) -> Probe:
        """Sends one request and notes its end."""
        sent_ms = clock.now_ms()
        error, owner = await self._ask(key)
        probe = Probe(key, sent_ms, clock.now_ms(), error, owner)
        self.probes.append(probe)
        return probe

    async def finish(self) -> None:
        """Waits for the requests under way."""
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    def served_again_ms(self, key: str, since_ms: int) -> int | None:
        """Time from a moment to the first answer to a later request."""
        answered = [
            probe.ended_ms
            for probe in self.probes
            if probe.key == key and probe.sent_ms >= since_ms
            if not probe.error
        ]
        return min(answered) - since_ms if answered else None

    async def wait_until_served(self, since_ms: int, limit_s: float) -> None:
        """Returns when all keys were served; raises TimeoutError."""
        async with asyncio.timeout(limit_s):
            while any(
                self.served_again_ms(key, since_ms) is None for key in self.keys
            ):
                await asyncio.sleep(INTERVAL_S)

    async def _ask(self, key: str) -> tuple[str, str]:
        hosts = [
            host
            for name, host in self.fleet.hosts.items()
            if name not in self.lost
        ]
        address = self._random.choice(hosts).http_address()
        headers = {wire.KEY: key, wire.DEADLINE_MS: str(DEADLINE_MS)}
        try:
            async with self.session.get(
                f"http://{address}/{self.service}/probe", headers=headers
            ) as response:
                await response.read()
                answer = response.headers
                return answer.get(wire.ERROR, ""), answer.get(wire.OWNER, "")
        except (aiohttp.ClientError, TimeoutError):
            return NOT_REACHED, ""
