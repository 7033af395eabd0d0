"""A deployment whose upstreams send some answers that do not end."""

import asyncio
import random

from harness import configuration
from harness import fleet as fleet_module
from harness import http1
from harness import script
from harness import upstream

MEMORY_MB = 300
"""Memory limit of a node, as sites/tihavoda-mesh.toml states it."""

FAULTY = 3
"""Faulty upstreams of the five: share = 0.6 in the sites."""

WAVE_S = 5.5
"""Length of one disruption, as in the sites; it comes several times."""

PAUSE_S = 2.0
"""Time between the end of a disruption and the next one."""

WAVES = 9
CHECK_S = 0.05
RESTART_S = 0.5
"""Delay after which the platform starts a killed process again."""

SENDS_PER_S = 65.0
"""Requests of each machine's clients; `sailing-lookup` has 326 at 10."""

KEYS = 65_536


class FaultyUpstream(upstream.Upstream):
    """An upstream that spoils a share of its answers.

    Attributes:
      spoils: whether it does so now.
      rng: chooses the answers.
      SHARE: share of the answers that are spoiled.
      BEGINNING: what follows the status line and the id.
      PIECE: what is sent without end after it.
    """

    SHARE = 0.0
    BEGINNING = b""
    PIECE = b""

    def __init__(self, *values):
        super().__init__(*values)
        self.spoils = False
        self.rng = random.Random(self.name)
        self.work_s = 0.1

    async def answer(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs one request; sends an endless answer to some."""
        if not self.spoils or self.rng.random() >= self.SHARE:
            return await super().answer(request, writer)
        attempt = request.headers.get("auburnrock-attempt-id", "")
        self.record.write("spoils", upstream=self.name, attempt=attempt)
        writer.write(
            b"HTTP/1.1 200 OK\r\nAuburnrock-Attempt-Id: "
            + attempt.encode()
            + b"\r\n"
            + self.BEGINNING
        )
        while True:
            writer.write(self.PIECE)
            await writer.drain()


async def send_steadily(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine
) -> None:
    """Sends requests as the clients of one machine, while it is ready."""
    running: set[asyncio.Task] = set()
    while True:
        if machine.process.poll() is not None:
            await asyncio.sleep(CHECK_S)
            continue
        task = asyncio.create_task(
            fleet.send(
                machine,
                configuration.HOST,
                "/lookup/1",
                key=fleet.rng.randrange(KEYS),
                deadline_ms=1_000,
            )
        )
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1.0 / SENDS_PER_S)


async def enforce_memory(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine, ends: list
) -> None:
    """Kills a node over its memory limit, and starts it again."""
    peak_mb = 0.0
    while True:
        used_mb = machine.memory_mb()
        if used_mb > peak_mb + 10:
            peak_mb = used_mb
            fleet.record.write(
                "memory", machine=machine.name, mb=round(used_mb)
            )
        if used_mb > MEMORY_MB:
            ends.append(machine.name)
            fleet.record.write(
                "over_memory", machine=machine.name, mb=round(used_mb)
            )
            machine.kill_node()
            await asyncio.sleep(RESTART_S)
            machine.start_node()
            peak_mb = 0.0
        await asyncio.sleep(CHECK_S)


async def play(
    fleet: fleet_module.Fleet, make_upstream: type[FaultyUpstream]
) -> str:
    """Plays a case; returns how the rule was broken, or nothing."""
    await fleet.start(
        ["portal"] * 5,
        configuration.configuration(
            [
                configuration.route(
                    "r-lookup",
                    "/lookup/",
                    "portal",
                    idempotent=True,
                    timeout_ms=1_000,
                    target_ms=400,
                )
            ],
            {"portal": True},
        ),
        make_upstream,
    )
    for machine in fleet.machines:
        await fleet.wait_until_served(
            machine, configuration.HOST, "/lookup/0", key=KEYS // 2
        )
    ends: list[str] = []
    tasks = []
    for machine in fleet.machines:
        tasks.append(asyncio.create_task(send_steadily(fleet, machine)))
        tasks.append(asyncio.create_task(enforce_memory(fleet, machine, ends)))
    for _ in range(WAVES):
        for machine in fleet.machines[:FAULTY]:
            machine.upstream.spoils = script.trouble()
        await asyncio.sleep(WAVE_S)
        for machine in fleet.machines[:FAULTY]:
            machine.upstream.spoils = False
        await asyncio.sleep(PAUSE_S)
    for task in tasks:
        task.cancel()
    for machine in fleet.machines:
        await machine.upstream.exit()
    often = {name for name in ends if ends.count(name) >= 3}
    if len(often) >= 2:
        return f"Fault: ended by themselves over the memory limit: {ends}"
    return ""
