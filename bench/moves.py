"""Unavailable time of keys that are moved as planned, seen by callers.

A real fleet on loopback serves steady traffic on every shard while planned
moves are written, a few at a time. Each moved key has one caller that asks
at a fixed pace through an entry of its own, so a hole in its answers is what a
caller sees. Some of the requests must run at most once.

Unavailable time of a move: from the last answer of the old owner to the first
of the new one, less the usual gap between two answers of that key (the pace,
or the key's median gap if that is longer), and not below 0.

Usage: ./task bench moves [--moves=240] [--json]
"""

import asyncio
import collections
import itertools
import pathlib
import statistics
import sys
import tempfile

from absl import app
from absl import flags
import aiohttp
import msgspec
import uuid_utils
import uvloop

from auburnrock import records
from auburnrock.engine import assigner
from auburnrock.engine import keys as keys_lib
from auburnrock.shells import wire
from auburnrock.store import http as http_platform
from auburnrock_standins import fleet as fleet_lib
from auburnrock_standins import journal as journal_lib
from auburnrock_standins import preparation
from auburnrock_standins import processes
from auburnrock_standins import target_server

MOVES = flags.DEFINE_integer("moves", 240, "planned moves to make")
NODES = flags.DEFINE_integer("nodes", 4, "nodes of the fleet")
PACE_MS = flags.DEFINE_integer("pace_ms", 30, "time between a key's requests")
AT_ONCE = flags.DEFINE_integer(
    "at_once",
    assigner.MAX_RELEASING_OWNERS,
    "moves written together, each of an owner",
)
PAUSE_MS = flags.DEFINE_integer("pause_ms", 200, "time between two writes")
SERVICE_MS = flags.DEFINE_integer("service_ms", 5, "time of one request")
AT_MOST_ONCE = flags.DEFINE_integer(
    "at_most_once", 4, "one request in so many must run at most once"
)
AS_JSON = flags.DEFINE_bool("json", False, "print JSON")

SERVICE = "moved"
SHARDS = 16
LOAD_PATH = "/work"
ONCE_PATH = "/once"
REPEATED = 16
REPEAT_AFTER_S = 0.8
SETTLE_S = 2.0
ATTEMPTS = 4


class Answer(msgspec.Struct, frozen=True):
    """One answer to a caller: when it came, and who ran it."""

    at_s: float
    owner: str
    epoch: int


class Report(msgspec.Struct, kw_only=True):
    """What the callers saw; times in milliseconds.

    Attributes:
      moves: moves that were seen by a caller.
      requests: requests that were made.
      failed: requests without a good answer, by kind.
      retried: tries that the caller had to repeat, by kind.
      repeats: what repeats of done at-most-once work got, 0.8 s later.
      doubled: idempotency keys that ran more than once.
      p50_ms, p99_ms, worst_ms: unavailable time of a moved key.
      gap_ms: usual gap between two answers, median over the keys.
    """

    moves: int
    requests: int
    failed: dict[str, int]
    retried: dict[str, int]
    repeats: dict[str, int]
    doubled: int
    p50_ms: float
    p99_ms: float
    worst_ms: float
    gap_ms: float


class Caller:
    """Asks for one key at a fixed pace.

    Attributes:
      key: the key.
      answers: the good answers, by time.
      requests: requests made.
      retried: kinds of the failures after which it tried again.
      failed: kinds of the failures that stayed.
      repeats: answers to repeats of at-most-once work that was done.
    """

    def __init__(self, key: str, address: str, session: aiohttp.ClientSession):
        self.key = key
        self.url = f"http://{address}/{SERVICE}"
        self.session = session
        self.answers: list[Answer] = []
        self.requests = 0
        self.retried: collections.Counter = collections.Counter()
        self.failed: collections.Counter = collections.Counter()
        self.repeats: collections.Counter = collections.Counter()

    async def run(self, stop: asyncio.Event) -> None:
        """Sends requests until told to stop; one that is late delays none."""
        loop = asyncio.get_running_loop()
        tasks = []
        next_s = loop.time()
        while not stop.is_set():
            self.requests += 1
            tasks.append(asyncio.create_task(self._ask(self.requests)))
            next_s += PACE_MS.value / 1_000
            await asyncio.sleep(max(0.0, next_s - loop.time()))
        await asyncio.gather(*tasks)

    async def _ask(self, number: int) -> None:
        once = number % AT_MOST_ONCE.value == 0
        headers = {wire.KEY: self.key}
        if once:
            headers[wire.IDEMPOTENCY_KEY] = str(uuid_utils.uuid7())
        method, path = ("POST", ONCE_PATH) if once else ("GET", LOAD_PATH)
        kind = ""
        for attempt in range(ATTEMPTS):
            headers[wire.FIRST_TRY] = "yes" if attempt == 0 else "no"
            async with self.session.request(
                method, self.url + path, headers=headers
            ) as response:
                body = await response.read()
                if response.status == 200:
                    self._note(response)
                    break
                kind = response.headers.get(wire.ERROR, str(response.status))
                self.retried[kind] += 1
                retry_ms = int(response.headers.get(wire.RETRY_AFTER_MS, 100))
            await asyncio.sleep(retry_ms / 1_000)
        else:
            self.failed[kind] += 1
            return
        if once and number % REPEATED == 0:
            await self._repeat(headers, body)

    async def _repeat(self, headers: dict[str, str], first: bytes) -> None:
        """Asks again for work that is done, perhaps at the next owner."""
        await asyncio.sleep(REPEAT_AFTER_S)
        headers[wire.FIRST_TRY] = "no"
        async with self.session.post(
            self.url + ONCE_PATH, headers=headers
        ) as response:
            same = await response.read() == first
            kind = response.headers.get(wire.ERROR, "another answer")
        self.repeats["same answer" if same else kind] += 1

    def _note(self, response: aiohttp.ClientResponse) -> None:
        self.answers.append(
            Answer(
                asyncio.get_running_loop().time(),
                response.headers[wire.OWNER],
                int(response.headers[wire.EPOCH]),
            )
        )

    def usual_gap_ms(self) -> float:
        """The usual time between two answers."""
        times = sorted(answer.at_s for answer in self.answers)
        gaps = [b - a for a, b in itertools.pairwise(times)]
        return max(PACE_MS.value, statistics.median(gaps) * 1_000)

    def unavailable_ms(self) -> list[float]:
        """Unavailable time of each move of the key."""
        first: dict[int, float] = {}
        last: dict[int, float] = {}
        for answer in self.answers:
            first.setdefault(answer.epoch, answer.at_s)
            last[answer.epoch] = answer.at_s
        epochs = sorted(first)
        usual_ms = self.usual_gap_ms()
        return [
            max(0.0, (first[new] - last[old]) * 1_000 - usual_ms)
            for old, new in itertools.pairwise(epochs)
        ]


async def run() -> Report:
    """Measures one fleet."""
    hosts = [
        fleet_lib.HostSpec(name=f"n{n}", zone=f"z{n % 3}", service=SERVICE)
        for n in range(NODES.value)
    ]
    options = processes.TargetSpec(service_time_ms=SERVICE_MS.value)
    with (
        tempfile.TemporaryDirectory() as scratch,
        processes.Deployment(pathlib.Path(scratch)) as deployment,
    ):
        spec = fleet_lib.DeploymentSpec(region="r", hosts=hosts)
        fleet = fleet_lib.Fleet(deployment, spec, options)
        await fleet.start()
        platform = http_platform.connect(fleet.platform_address())
        folder = pathlib.Path(scratch) / "files"
        folder.mkdir()
        settings = _settings()
        file = {"services": {SERVICE: msgspec.to_builtins(settings)}}
        (folder / "10.json").write_bytes(msgspec.json.encode(file))
        await preparation.accept_files(platform, folder)
        await preparation.wait_until_owned(platform, spec)
        callers = await _drive(fleet, platform, settings)
        report = _report(callers)
        report.doubled = await _doubled(fleet)
        await platform.close()
    return report


def _settings() -> records.ServiceSettings:
    # No moves but those that are written here.
    return records.ServiceSettings(
        divided_by_key=True,
        shards=SHARDS,
        churn_per_minute=0,
        non_idempotent=[
            records.RouteRule(method="POST", path_prefix=ONCE_PATH)
        ],
    )


async def _drive(
    fleet: fleet_lib.Fleet,
    platform: http_platform.HttpPlatform,
    settings: records.ServiceSettings,
) -> list[Caller]:
    hosts = list(fleet.hosts.values())
    stop = asyncio.Event()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            Caller(
                _key_of(shard, settings),
                hosts[shard % len(hosts)].http_address(),
                session,
            )
            for shard in range(SHARDS)
        ]
        tasks = [asyncio.create_task(caller.run(stop)) for caller in callers]
        await asyncio.sleep(SETTLE_S)
        await _move(platform)
        await asyncio.sleep(SETTLE_S)
        stop.set()
        await asyncio.gather(*tasks)
    return callers


def _key_of(shard: int, settings: records.ServiceSettings) -> str:
    number = 0
    while keys_lib.shard_of(settings, f"key-{number}") != shard:
        number += 1
    return f"key-{number}"


async def _move(platform: http_platform.HttpPlatform) -> None:
    """Writes planned moves as an assigner does, each shard in its turn."""
    nodes = await platform.list(records.NODES_PREFIX)
    incarnations = sorted(
        records.decode_node(value.data).incarnation for value in nodes.values
    )
    key = records.page_key(SERVICE, 0)
    begun = 0
    while begun < MOVES.value:
        value = await platform.get(key)
        page = records.decode_page(value.data)
        for shard in range(begun, begun + AT_ONCE.value):
            shard %= SHARDS
            place = incarnations.index(page.entries[shard].owner)
            to = incarnations[(place + 1) % len(incarnations)]
            page.moving[shard] = to
        page.writer = f"bench/{begun}"
        result = await platform.compare_and_swap(
            key, records.encode_page(page), value.revision
        )
        if result.swapped:
            begun += AT_ONCE.value
        await asyncio.sleep(PAUSE_MS.value / 1_000)


def _report(callers: list[Caller]) -> Report:
    times_ms = sorted(
        time_ms for caller in callers for time_ms in caller.unavailable_ms()
    )
    failed: collections.Counter = collections.Counter()
    retried: collections.Counter = collections.Counter()
    repeats: collections.Counter = collections.Counter()
    for caller in callers:
        failed.update(caller.failed)
        retried.update(caller.retried)
        repeats.update(caller.repeats)
    return Report(
        moves=len(times_ms),
        requests=sum(caller.requests for caller in callers),
        failed=dict(failed),
        retried=dict(retried),
        repeats=dict(repeats),
        doubled=0,
        p50_ms=round(_percentile(times_ms, 0.5), 1),
        p99_ms=round(_percentile(times_ms, 0.99), 1),
        worst_ms=round(times_ms[-1], 1),
        gap_ms=round(
            statistics.median(caller.usual_gap_ms() for caller in callers), 1
        ),
    )


def _percentile(ordered: list[float], share: float) -> float:
    """The smallest value that so large a share does not exceed."""
    return ordered[max(0, -int(-share * len(ordered) // 1) - 1)]


async def _doubled(fleet: fleet_lib.Fleet) -> int:
    runs: collections.Counter = collections.Counter()
    for host in fleet.hosts.values():
        journal = await processes.fetch(
            host.target_address(),
            target_server.JOURNAL_PATH,
            journal_lib.Journal,
        )
        runs.update(
            execution.idempotency_key
            for execution in journal.executions
            if execution.idempotency_key
        )
    return sum(count > 1 for count in runs.values())


def main(_arguments: list[str]) -> int:
    """Runs the benchmark and prints its report."""
    report = uvloop.run(run())
    if AS_JSON.value:
        print(msgspec.json.encode(report).decode())
        return 0
    for field in report.__struct_fields__:
        print(f"{field:<12} {getattr(report, field)}")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
