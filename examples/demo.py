"""The demonstration: a deployment on loopback serves a recorded trace.

Starts the platform's stand-in, the targets and the daemons of an example
deployment, accepts its configuration, serves the trace to the nodes in turn,
kills one target and one whole host on the way, and prints what callers saw.

Usage: ./task demo [--deployment=tiha-voda|korsordshjalpen] [--json]
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
from hdrh import histogram
import msgspec
import uuid_utils

from auburnrock.shells import wire
from auburnrock.store import http as http_platform
from auburnrock_standins import fleet as fleet_lib
from auburnrock_standins import journal as journal_lib
from auburnrock_standins import preparation
from auburnrock_standins import processes
from auburnrock_standins import request_trace
from auburnrock_standins import target_server

DEPLOYMENT = flags.DEFINE_enum(
    "deployment",
    "tiha-voda",
    ["tiha-voda", "korsordshjalpen"],
    "example deployment to run",
)
AS_JSON = flags.DEFINE_bool("json", False, "print the report as JSON")
KILL = flags.DEFINE_bool("kill", True, "kill a target and a host on the way")

ROOT = pathlib.Path(__file__).resolve().parents[1]
SEED = 20261204
KILL_TARGET_AT_MS = 4_000
KILL_HOST_AT_MS = 8_000
ATTEMPTS = 5
DEFAULT_RETRY_MS = 200
HIGHEST_LATENCY_US = 60_000_000
MICROSECONDS_PER_SECOND = 1_000_000


class Report(msgspec.Struct, kw_only=True):
    """What the callers saw.

    Attributes:
      requests: requests of the trace.
      first_try: answered at the first try.
      after_retry: answered after the caller came back as it was told.
      not_answered: errors that stayed, by kind.
      p50_ms: median latency of answered requests, retries included.
      p99_ms: its 99th percentile.
      keys_unavailable: keys that had a failed try.
      unavailable_max_s: longest time from a key's first failed try to its
        next answer.
      unavailable_total_s: sum of these times over the keys.
      churn: shards that changed owner after the start.
      shards: shards of all services.
      imbalance: most requests run by one target of a keyed service, divided
        by the mean of its targets.
      executions_doubled: idempotency keys that ran more than once.
    """

    requests: int = 0
    first_try: int = 0
    after_retry: int = 0
    not_answered: dict[str, int] = {}
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    keys_unavailable: int = 0
    unavailable_max_s: float = 0.0
    unavailable_total_s: float = 0.0
    churn: int = 0
    shards: int = 0
    imbalance: float = 0.0
    executions_doubled: int = 0


class Callers:
    """Sends the requests of a trace and notes what comes back."""

    def __init__(self, fleet: fleet_lib.Fleet, session: aiohttp.ClientSession):
        self.fleet = fleet
        self.session = session
        self.random = random.Random(SEED)
        self.report = Report()
        self.latencies = histogram.HdrHistogram(1, HIGHEST_LATENCY_US, 3)
        self.failed_since_s: dict[str, float] = {}
        self.unavailable_s: dict[str, float] = collections.defaultdict(float)
        self.run_by_owner: collections.Counter = collections.Counter()

    async def send(self, traced: request_trace.TracedRequest) -> None:
        """Sends one request, coming back when told to."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        headers = _headers(traced)
        kind = "unreachable"
        for attempt in range(ATTEMPTS):
            headers[wire.FIRST_TRY] = "yes" if attempt == 0 else "no"
            status, answer_headers = await self._try(traced, headers)
            kind = answer_headers.get(wire.ERROR, "unreachable")
            if status and wire.ERROR not in answer_headers:
                self._answered(traced, attempt, began_s, answer_headers)
                return
            self.failed_since_s.setdefault(traced.key, loop.time())
            retry_ms = answer_headers.get(wire.RETRY_AFTER_MS)
            if kind == "outcome_unknown" and retry_ms is None:
                break
            await asyncio.sleep(int(retry_ms or DEFAULT_RETRY_MS) / 1_000)
        counts = self.report.not_answered
        counts[kind] = counts.get(kind, 0) + 1

    async def _try(self, traced, headers):
        hosts = [h for h in self.fleet.hosts.values() if h.daemon is not None]
        address = self.random.choice(hosts).http_address()
        try:
            async with self.session.request(
                traced.method,
                f"http://{address}/{traced.service}{traced.path}",
                headers=headers,
                data=traced.body or None,
            ) as response:
                await response.read()
                return response.status, response.headers
        except (aiohttp.ClientError, TimeoutError):
            return 0, {}

    def _answered(self, traced, attempt, began_s, answer_headers) -> None:
        now_s = asyncio.get_running_loop().time()
        latency_us = int((now_s - began_s) * MICROSECONDS_PER_SECOND)
        self.latencies.record_value(max(1, latency_us))
        if attempt == 0:
            self.report.first_try += 1
        else:
            self.report.after_retry += 1
        since_s = self.failed_since_s.pop(traced.key, None)
        if since_s is not None:
            self.unavailable_s[traced.key] += now_s - since_s
        owner = answer_headers.get(wire.OWNER, "")
        if traced.key:
            self.run_by_owner[owner] += 1


async def run(name: str) -> Report:
    """Runs the demonstration of one deployment."""
    folder = ROOT / "deploy" / name
    spec = fleet_lib.read_spec(folder / "deployment.json")
    trace = request_trace.read(ROOT / "traces/requests" / f"{name}.jsonl")
    with (
        tempfile.TemporaryDirectory() as scratch,
        processes.Deployment(pathlib.Path(scratch)) as deployment,
    ):
        fleet = fleet_lib.Fleet(deployment, spec)
        await fleet.start()
        platform = http_platform.connect(fleet.platform_address())
        await preparation.accept_files(platform, folder / "files")
        before = await preparation.wait_until_owned(platform, spec)
        timeout = aiohttp.ClientTimeout(total=10)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            callers = Callers(fleet, session)
            await _play(callers, trace, fleet)
        after = await preparation.owners(platform)
        report = _finish(callers, len(trace), before, after)
        report.executions_doubled = await doubled_executions(fleet)
        await platform.close()
    return report


async def doubled_executions(fleet: fleet_lib.Fleet) -> int:
    """Idempotency keys that ran more than once, by the living journals."""
    runs: collections.Counter = collections.Counter()
    for host in fleet.hosts.values():
        if host.target is None or host.target.popen.poll() is not None:
            continue
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


async def _play(callers: Callers, trace, fleet: fleet_lib.Fleet) -> None:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    sends = []
    faults = _faults(fleet) if KILL.value else []
    for traced in trace:
        while faults and traced.at_ms >= faults[0][0]:
            faults.pop(0)[1]()
        await asyncio.sleep(began_s + traced.at_ms / 1_000 - loop.time())
        sends.append(asyncio.create_task(callers.send(traced)))
    await asyncio.gather(*sends)


def _faults(fleet: fleet_lib.Fleet) -> list:
    first, second = list(fleet.hosts.values())[:2]

    def kill_host() -> None:
        second.daemon.kill()
        second.target.kill()
        second.daemon = None

    return [
        (KILL_TARGET_AT_MS, first.target.kill),
        (KILL_HOST_AT_MS, kill_host),
    ]


def _headers(traced: request_trace.TracedRequest) -> dict[str, str]:
    headers = {wire.REQUEST_ID: str(uuid_utils.uuid7())}
    if traced.key:
        headers[wire.KEY] = traced.key
    if traced.at_most_once:
        headers[wire.IDEMPOTENCY_KEY] = str(uuid_utils.uuid7())
    return headers


def _finish(callers: Callers, requests: int, before, after) -> Report:
    report = callers.report
    report.requests = requests
    latencies = callers.latencies
    report.p50_ms = latencies.get_value_at_percentile(50) / 1_000
    report.p99_ms = latencies.get_value_at_percentile(99) / 1_000
    report.keys_unavailable = len(callers.unavailable_s)
    times_s = callers.unavailable_s.values()
    report.unavailable_max_s = round(max(times_s, default=0.0), 3)
    report.unavailable_total_s = round(sum(times_s), 3)
    report.shards = len(after)
    report.churn = sum(after[key] != owner for key, owner in before.items())
    counts = callers.run_by_owner.values()
    if counts:
        report.imbalance = round(max(counts) * len(counts) / sum(counts), 2)
    return report


def main(_arguments: list[str]) -> int:
    """Runs the demonstration and prints the report."""
    report = asyncio.run(run(DEPLOYMENT.value))
    if AS_JSON.value:
        print(msgspec.json.encode(report).decode())
    else:
        print(f"deployment: {DEPLOYMENT.value}")
        for field in report.__struct_fields__:
            print(f"{field}: {getattr(report, field)}")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
