"""Closed-loop callers that go elsewhere when a node says so, and only then."""

import asyncio
import random

import uuid_utils

from tests.common import request_fleet

PAUSE_S = 0.01
KEYS = 40


class Traffic:
    """Callers of both services.

    They honour `Connection: close`, and try the next node on a refused
    connection. Everything else that is no answer counts as failed.

    Attributes:
      failed: what failed.
      answered: requests that were answered.
    """

    def __init__(
        self,
        fleet: request_fleet.RequestFleet,
        callers: request_fleet.Callers,
        count: int,
    ):
        self.fleet = fleet
        self.callers = callers
        self.failed: list = []
        self.answered = 0
        self.going_on = True
        self.tasks = [
            asyncio.create_task(self._caller(number)) for number in range(count)
        ]

    async def stop(self) -> None:
        self.going_on = False
        await asyncio.gather(*self.tasks)

    async def _caller(self, number: int) -> None:
        chance = random.Random(number)
        at = number
        while self.going_on:
            send = self._request(chance)
            at = await self._send(at, send)
            if send.may_be_repeated and chance.random() < 0.5:
                at = await self._send(at + 1, send.repeat())
            await asyncio.sleep(PAUSE_S)

    async def _send(self, at: int, send: "Send") -> int:
        """Sends until a node takes it; returns the node to go on with."""
        while True:
            host = self.fleet.hosts[at % len(self.fleet.hosts)]
            try:
                seen = await send.method(host, **send.options)
            except Exception as error:
                if request_fleet.is_refused_connection(error):
                    at += 1
                    continue
                self.failed.append((host.spec.name, repr(error)))
                return at + 1
            if seen.status == 200:
                self.answered += 1
            else:
                self.failed.append((host.spec.name, seen))
            return at + 1 if seen.closes else at

    def _request(self, chance: random.Random) -> "Send":
        key = f"key-{chance.randrange(KEYS)}"
        work = {"idempotency_key": str(uuid_utils.uuid7())}
        unkeyed = {"service": request_fleet.UNKEYED}
        return chance.choice(
            [
                Send(self.callers.call, {"key": key}, False),
                Send(self.callers.deposit, {"key": key, **work}, True),
                Send(self.callers.unlock, work, True),
                Send(self.callers.call, unkeyed, False),
            ]
        )


class Send:
    """One request: the caller's method and its options."""

    def __init__(self, method, options: dict, may_be_repeated: bool):
        self.method = method
        self.options = options
        self.may_be_repeated = may_be_repeated

    def repeat(self) -> "Send":
        """The same work, as its caller sends it again."""
        return Send(self.method, {**self.options, "first_try": False}, False)
