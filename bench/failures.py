"""Requests under overload, a brown-out, silence and stops, on real processes.

python -m bench.failures [--json] [--seconds=5] [--seed=1]

Two targets of 20 slots and 125 ms are offered 0.5 to 4 times what they can
serve, by open-loop callers with a deadline of 1 s: once through their nodes,
once straight, round robin, without limits or repeats and with an unbounded
queue at the target (the plain baseline). A brown-out spoils 30% of the
answers. Then all connections go silent at once. Then every host of a fleet is
stopped and started in turn while callers go on. Executions are counted from
what the targets wrote.
"""

import asyncio
import collections
import pathlib
import random
import sys
import tempfile

from absl import app
from absl import flags
import aiohttp
import msgspec
import uuid_utils
import uvloop

from auburnrock.shells import wire
from auburnrock.targets import protocol
from auburnrock_standins import processes
from auburnrock_standins import target_switches
from tests.common import request_fleet
from tests.common import traffic as traffic_lib

AS_JSON = flags.DEFINE_bool("json", False, "print the report as JSON")
SECONDS = flags.DEFINE_float("seconds", 5.0, "measured time of each load")
SEED = flags.DEFINE_integer("seed", 1, "seed of the arrivals")

SLOTS = 20
SERVICE_MS = 125
TARGETS = 2
CAPACITY_PER_S = TARGETS * SLOTS * 1_000 // SERVICE_MS
LOADS = (0.5, 1.0, 2.0, 4.0)
DEADLINE_MS = 1_000
NON_IDEMPOTENT_SHARE = 0.2
RAMP_S = 2.0
BROWN_OUT_LOAD = 0.5
BROWN_OUT_SHARE = 0.3
SPOIL_EVERY_S = 0.1
SETTLE_S = 3.0
SILENCE_CALLERS = 20
SILENCE_SEEN_S = 8.0
SLOW_FACTOR = 3.0
TRAFFIC_CALLERS = 12


class Row(msgspec.Struct):
    """One load on one variant.

    Attributes:
      variant: "nodes" or "baseline".
      load: offered, in multiples of the capacity.
      goodput_per_s: answered within the deadline.
      p99_ms: 99th percentile of the latency of these.
      attempts: executions for each request offered.
      doubled: requests that must not repeat and ran more than once.
      failed: what the others were told, by kind.
    """

    variant: str
    load: float
    goodput_per_s: float
    p99_ms: float
    attempts: float
    doubled: int
    failed: dict[str, int]


class Silence(msgspec.Struct):
    """All connections to the targets go silent, with new ones working.

    Attributes:
      variant: "nodes" or "baseline".
      cost_for_s: from the silence to the end of the last request that failed
        or took SLOW_FACTOR times the usual p99.
      failed: requests that failed.
      slowest_ms: the slowest request that was answered.
    """

    variant: str
    cost_for_s: float
    failed: int
    slowest_ms: float


class Restarts(msgspec.Struct):
    """Every host of a fleet, daemon and target, is stopped and started."""

    hosts: int
    answered: int
    failed: int
    doubled: int


class Report(msgspec.Struct):
    """All measurements of a run."""

    seed: int
    capacity_per_s: int
    overload: list[Row]
    brown_out: list[Row]
    silence: list[Silence]
    restarts: Restarts


class Ended(msgspec.Struct):
    """One request; times on the loop's clock."""

    began_s: float
    ended_s: float
    kind: str


class Nodes:
    """Sends through the nodes."""

    name = "nodes"

    def __init__(self, fleet, callers: request_fleet.Callers):
        self.fleet = fleet
        self.callers = callers

    async def send(self, number: int, idempotent: bool) -> str:
        """Sends one request; the kind of its error, empty if answered."""
        host = self.fleet.hosts[number % TARGETS]
        if idempotent:
            seen = await self.callers.call(
                host, service=request_fleet.UNKEYED, deadline_ms=DEADLINE_MS
            )
        else:
            seen = await self.callers.unlock(host, deadline_ms=DEADLINE_MS)
        return seen.kind


class Baseline:
    """Sends straight to the targets, round robin."""

    name = "baseline"

    def __init__(self, fleet, session: aiohttp.ClientSession):
        self.fleet = fleet
        self.session = session

    async def send(self, number: int, idempotent: bool) -> str:
        """Sends one request; the kind of its error, empty if answered."""
        address = self.fleet.hosts[number % TARGETS].target_address()
        headers = {wire.REQUEST_ID: str(uuid_utils.uuid7())}
        if not idempotent:
            headers[wire.IDEMPOTENCY_KEY] = str(uuid_utils.uuid7())
        try:
            async with self.session.request(
                "GET" if idempotent else "POST",
                f"http://{address}/work",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1_000),
            ) as answer:
                await answer.read()
                return "" if answer.status == 200 else str(answer.status)
        except TimeoutError:
            return "timeout"
        except aiohttp.ClientError as error:
            return type(error).__name__


async def offer(variant, per_s: float, seconds: float) -> list[Ended]:
    """Open-loop callers with Poisson arrivals."""
    loop = asyncio.get_running_loop()
    chance = random.Random(SEED.value)
    ended: list[Ended] = []

    async def one(number: int, idempotent: bool) -> None:
        began_s = loop.time()
        kind = await variant.send(number, idempotent)
        ended.append(Ended(began_s, loop.time(), kind))

    tasks = []
    at_s = loop.time()
    end_s = at_s + seconds
    while at_s < end_s:
        at_s += chance.expovariate(per_s)
        await asyncio.sleep(at_s - loop.time())
        idempotent = chance.random() >= NON_IDEMPOTENT_SHARE
        task = asyncio.create_task(one(len(tasks), idempotent))
        tasks.append(task)
    await asyncio.gather(*tasks)
    return ended


async def measure_load(fleet, variant, load: float) -> Row:
    """One load, after a time in which limits and queues settle."""
    before = len(fleet.executions())
    began_s = asyncio.get_running_loop().time()
    ended = await offer(variant, load * CAPACITY_PER_S, RAMP_S + SECONDS.value)
    await asyncio.sleep(SETTLE_S)
    measured = [each for each in ended if each.began_s >= began_s + RAMP_S]
    good = [each for each in measured if not each.kind]
    failed = collections.Counter(each.kind for each in measured if each.kind)
    total = len(fleet.executions()) - before
    return Row(
        variant.name,
        load,
        round(len(good) / SECONDS.value, 1),
        round(percentile([_latency_ms(each) for each in good], 0.99), 1),
        round(total / max(1, len(ended)), 3),
        doubled(fleet),
        dict(failed),
    )


def doubled(fleet) -> int:
    """Idempotency keys that ran more than once so far."""
    counts = collections.Counter(key for _, key in fleet.executions() if key)
    return sum(count > 1 for count in counts.values())


def percentile(values: list[float], share: float) -> float:
    """A percentile of some values; 0 if there are none."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


def _latency_ms(each: Ended) -> float:
    return (each.ended_s - each.began_s) * 1_000


async def measure_brown_out(fleet, variant) -> Row:
    """Half the capacity is offered while 30% of the answers are cut short."""
    answers_per_s = BROWN_OUT_LOAD * CAPACITY_PER_S / TARGETS
    each_time = round(BROWN_OUT_SHARE * answers_per_s * SPOIL_EVERY_S)
    going_on = True

    async def spoil() -> None:
        while going_on:
            for host in fleet.hosts:
                await fleet.switch(host, truncate=each_time)
            await asyncio.sleep(SPOIL_EVERY_S)

    spoiling = asyncio.create_task(spoil())
    row = await measure_load(fleet, variant, BROWN_OUT_LOAD)
    going_on = False
    await spoiling
    for host in fleet.hosts:
        await fleet.switch(host)
    return row


async def measure_silence(fleet, variant) -> Silence:
    """Closed-loop callers; all open connections go silent in their midst."""
    loop = asyncio.get_running_loop()
    ended: list[Ended] = []
    end_s = loop.time() + RAMP_S + SILENCE_SEEN_S

    async def caller(number: int) -> None:
        while loop.time() < end_s:
            began_s = loop.time()
            kind = await variant.send(number, True)
            ended.append(Ended(began_s, loop.time(), kind))

    tasks = [asyncio.create_task(caller(n)) for n in range(SILENCE_CALLERS)]
    await asyncio.sleep(RAMP_S)
    silent_s = loop.time()
    for host in fleet.hosts:
        await processes.switch(
            host.target_address(),
            target_switches.TargetSwitches(silence_connections=True),
        )
    await asyncio.gather(*tasks)
    usual_ms = percentile(
        [_latency_ms(e) for e in ended if e.ended_s < silent_s], 0.99
    )
    after = [e for e in ended if e.ended_s >= silent_s]
    costly = [
        e for e in after if e.kind or _latency_ms(e) > SLOW_FACTOR * usual_ms
    ]
    answered = [_latency_ms(e) for e in after if not e.kind]
    return Silence(
        variant.name,
        round(max((e.ended_s - silent_s for e in costly), default=0.0), 2),
        sum(bool(e.kind) for e in after),
        round(max(answered, default=0.0), 1),
    )


async def measure_targets(folder: pathlib.Path, report: Report) -> None:
    """Overload, brown-out and silence on one small fleet."""
    fleet = request_fleet.RequestFleet(
        folder,
        request_fleet.spec_of([request_fleet.UNKEYED] * TARGETS),
        processes.TargetSpec(
            service_time_ms=SERVICE_MS, slots=SLOTS, queue=1_000_000
        ),
    )
    connector = aiohttp.TCPConnector(limit=0)
    with fleet.deployment:
        await fleet.start()
        callers = request_fleet.Callers()
        async with aiohttp.ClientSession(connector=connector) as session:
            variants = (Nodes(fleet, callers), Baseline(fleet, session))
            for variant in variants:
                for load in LOADS:
                    row = await measure_load(fleet, variant, load)
                    report.overload.append(row)
                    await _until_idle(fleet)
                row = await measure_brown_out(fleet, variant)
                report.brown_out.append(row)
                report.silence.append(await measure_silence(fleet, variant))
                await fleet.reset()
        await callers.close()


async def _until_idle(fleet) -> None:
    for host in fleet.hosts:
        while True:
            load = await processes.fetch(
                host.target_address(), protocol.LOAD_PATH, protocol.Load
            )
            if load.running + load.queued == 0:
                break
            await asyncio.sleep(0.2)


async def measure_restarts(folder: pathlib.Path) -> Restarts:
    """Stops and starts each host in turn under traffic."""
    services = [request_fleet.KEYED] * 4 + [request_fleet.UNKEYED] * 3
    fleet = request_fleet.RequestFleet(
        folder,
        request_fleet.spec_of(services),
        processes.TargetSpec(service_time_ms=20),
    )
    with fleet.deployment:
        await fleet.start()
        callers = request_fleet.Callers()
        traffic = traffic_lib.Traffic(fleet, callers, TRAFFIC_CALLERS)
        for host in fleet.hosts:
            await asyncio.gather(
                asyncio.to_thread(host.daemon.terminate, 30.0),
                asyncio.to_thread(host.target.terminate, 30.0),
            )
            await fleet.reset()
        await traffic.stop()
        await callers.close()
        for failed in traffic.failed:
            print(f"failed: {failed}", file=sys.stderr)
        return Restarts(
            len(services), traffic.answered, len(traffic.failed), doubled(fleet)
        )


async def run() -> Report:
    """All measurements."""
    empty = Restarts(0, 0, 0, 0)
    report = Report(SEED.value, CAPACITY_PER_S, [], [], [], empty)
    with tempfile.TemporaryDirectory() as scratch:
        await measure_targets(pathlib.Path(scratch), report)
    with tempfile.TemporaryDirectory() as scratch:
        report.restarts = await measure_restarts(pathlib.Path(scratch))
    return report


def print_table(report: Report) -> None:
    """Prints the report for people."""
    print(f"capacity {report.capacity_per_s}/s, seed {report.seed}")
    print("variant   load  goodput/s  p99 ms  executions/request  doubled")
    for row in [*report.overload, *report.brown_out]:
        print(
            f"{row.variant:9} {row.load:4}  {row.goodput_per_s:9}"
            f"  {row.p99_ms:6}  {row.attempts:18}  {row.doubled:7}"
            f"  {row.failed}"
        )
    print("(the last row of each variant at load 0.5 is the brown-out)")
    for silence in report.silence:
        print(silence)
    print(report.restarts)


def main(_arguments: list[str]) -> int:
    """Measures and prints."""
    report = uvloop.run(run())
    if AS_JSON.value:
        print(msgspec.json.encode(report).decode())
    else:
        print_table(report)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
