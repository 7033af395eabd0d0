"""Time until a key is served again after a loss, on real processes.

python -m bench.failover [--json] [--runs=20] [--hosts=6] [--seed=1]
  [--kinds=target,daemon,leader,host,leader_and_host]
  [--outage_s=60] [--outage_mode=hang|refuse] [--revisions=20]
  [--nochecks_grants]

Each run kills the named processes with SIGKILL at a random moment and asks
for keys of the lost owners every 20 ms through the nodes that live. The time
is that from the kill to the first whole answer to a later request, for the
key that waits longest. Then the lost processes are started again, and the
next run begins once the deployment has settled. At the end of all runs the
record is replayed through the oracle of sole ownership.
"""

import asyncio
import collections
import os
import random
import re
import statistics
import sys

from absl import app
from absl import flags
import msgspec

from auburnrock.shells import clock
from auburnrock_standins import fleet as fleet_lib
from auburnrock_standins import platform_switches
from auburnrock_standins import processes
from auburnrock_standins import trial as trial_lib

KINDS = ["target", "daemon", "leader", "host", "leader_and_host"]
AS_JSON = flags.DEFINE_bool("json", False, "print the report as JSON")
RUNS = flags.DEFINE_integer("runs", 20, "runs of each kind")
HOSTS = flags.DEFINE_integer("hosts", 6, "hosts of the deployment")
SEED = flags.DEFINE_integer("seed", 1, "seed of victims and moments")
KINDS_FLAG = flags.DEFINE_list("kinds", KINDS, "what to kill")
OUTAGE_S = flags.DEFINE_integer(
    "outage_s", 60, "length of the store's outages; 0 for none"
)
OUTAGE_MODE = flags.DEFINE_enum_class(
    "outage_mode",
    platform_switches.Outage.HANG,
    platform_switches.Outage,
    "whether the store refuses calls in an outage or leaves them hanging",
)
CHECKS_GRANTS = flags.DEFINE_bool(
    "checks_grants", True, "whether the targets check grants"
)
REVISIONS = flags.DEFINE_integer(
    "revisions", 20, "revisions whose spread is timed; 0 for none"
)
TIMELINES = flags.DEFINE_string(
    "timelines", "", "file that gets the time line of runs above the target"
)

KEYS_ASKED = 3
SERVED_LIMIT_S = 20.0
LONGEST_PHASE_S = 0.6
TARGET_MS = 2_000
LOSS_AFTER_SHARE = 0.25
IN_FORCE_LIMIT_S = 20.0
WARM_UP_S = 0.3
LEADER_WAIT_S = 2.0
_IN_FORCE = re.compile(
    r"time_ms=(\d+) .*event=configuration_in_force .*"
    r"revision=(\d+)"
)
_EVENT = re.compile(r"time_ms=(\d+) (.*)")


class KillTimes(msgspec.Struct, kw_only=True):
    """Times until the slowest asked key was served again, one kind."""

    kind: str
    runs: int
    p50_ms: float
    worst_ms: int
    not_served: int
    all_ms: list[int]


class Outage(msgspec.Struct, kw_only=True):
    """What was served during an outage of the store.

    Attributes:
      loss: what was lost in it.
      requests: requests sent during the outage, for keys of all nodes.
      served: those that were answered.
      kept_requests: the part of them for keys whose owner lived.
      kept_served: those of them that were answered.
      kept_errors: the errors of the others, by kind. A request on its way
        through a host that is killed ends with `not_reached`.
      served_again_ms: from the end of the outage until the lost keys were
        served; 0 if none were lost.
    """

    loss: str
    seconds: int
    requests: int
    served: int
    kept_requests: int
    kept_served: int
    kept_errors: dict[str, int]
    served_again_ms: int


class Report(msgspec.Struct, kw_only=True):
    """All results."""

    hosts: int
    cores: int
    load_before: float
    load_after: float
    kills: list[KillTimes] = []
    outages: list[Outage] = []
    revision_p50_ms: float = 0.0
    revision_worst_ms: int = 0
    executions: int = 0
    broken_promises: list[str] = []


def victims(
    kind: str, leader: fleet_lib.Host, other: fleet_lib.Host
) -> list[fleet_lib.Host]:
    """The hosts whose keys are lost."""
    if kind == "leader":
        return [leader]
    if kind == "leader_and_host":
        return [leader, other]
    return [other]


def kill(kind: str, trial: trial_lib.Trial, lost: list[fleet_lib.Host]):
    """Kills what the kind names."""
    if kind == "target":
        lost[0].target.kill()
    elif kind in ("daemon", "leader"):
        trial.kill_daemon(lost[0])
    elif kind == "host":
        trial.kill_host(lost[0])
    else:
        trial.kill_daemon(lost[0])
        trial.kill_host(lost[1])


def choose_other(
    trial: trial_lib.Trial, leader, owners, chance: random.Random
) -> fleet_lib.Host:
    """A host other than the leader that owns shards, at random."""
    owning = {trial.host(owner).spec.name for owner in owners.values()}
    owning.discard(leader.spec.name)
    return trial.fleet.hosts[chance.choice(sorted(owning))]


async def one_kill(
    trial: trial_lib.Trial, kind: str, chance: random.Random
) -> list[int | None]:
    """One run: no time if the leader owned nothing, None if not served."""
    owners = await trial.wait_until_settled()
    leader = await trial.leader()
    other = choose_other(trial, leader, owners, chance)
    if kind == "leader" and trial.incarnation(leader) not in owners.values():
        # Lets the shards of another go to those that own none.
        trial.kill_daemon(other)
        await asyncio.sleep(LEADER_WAIT_S)
        await trial.restart(other)
        return []
    lost = victims(kind, leader, other)
    keys = []
    for host in lost:
        owned = trial.keys_of(owners, trial.incarnation(host))
        keys += chance.sample(owned, min(KEYS_ASKED, len(owned)))
    trial.prober.keys = keys
    await asyncio.sleep(WARM_UP_S + chance.random() * LONGEST_PHASE_S)
    since_ms, wall_ms = clock.now_ms(), clock.wall_ms()
    kill(kind, trial, lost)
    try:
        await trial.prober.wait_until_served(since_ms, SERVED_LIMIT_S)
        times = [trial.prober.served_again_ms(key, since_ms) for key in keys]
        slowest_ms = max(times, default=0)
    except TimeoutError:
        slowest_ms = None
    trial.prober.keys = []
    await trial.prober.finish()
    if slowest_ms is None or slowest_ms > TARGET_MS:
        write_timeline(trial, kind, wall_ms, slowest_ms)
    trial.prober.probes.clear()
    for host in lost:
        await trial.restart(host)
    return [slowest_ms]


def write_timeline(trial, kind, wall_ms, slowest_ms) -> None:
    """Appends the events of all daemons since the kill."""
    if not TIMELINES.value:
        return
    events = []
    for process in trial.fleet.deployment.processes:
        for line in process.output().splitlines():
            if "request_refused" in line:
                continue
            found = _EVENT.match(line)
            if found and int(found[1]) >= wall_ms - 1_000:
                events.append((int(found[1]) - wall_ms, found[2]))
    with open(TIMELINES.value, "a") as file:
        print(f"== {kind} {slowest_ms} ms", file=file)
        for at_ms, text in sorted(events):
            print(at_ms, text, file=file)


async def kill_times(trial, kind: str, chance) -> KillTimes:
    """All runs of one kind."""
    times: list[int | None] = []
    while len(times) < RUNS.value:
        times += await one_kill(trial, kind, chance)
    served = [time for time in times if time is not None]
    return KillTimes(
        kind=kind,
        runs=len(times),
        p50_ms=statistics.median(served) if served else 0.0,
        worst_ms=max(served, default=0),
        not_served=len(times) - len(served),
        all_ms=served,
    )


async def outage(trial, loss: str, chance) -> Outage:
    """One outage of the store, with a host lost in it or without."""
    owners = await trial.wait_until_settled()
    leader = await trial.leader()
    other = choose_other(trial, leader, owners, chance)
    lost_keys = set()
    if loss != "none":
        lost_keys = set(trial.keys_of(owners, trial.incarnation(other)))
    trial.prober.interval_s = 0.25
    trial.prober.keys = trial.keys
    await asyncio.sleep(1.0)
    switches = platform_switches.PlatformSwitches(outage=OUTAGE_MODE.value)
    await processes.switch(trial.fleet.platform_address(), switches)
    began_ms = clock.now_ms()
    await asyncio.sleep(OUTAGE_S.value * LOSS_AFTER_SHARE)
    if loss != "none":
        trial.kill_host(other)
    await asyncio.sleep(OUTAGE_S.value * (1 - LOSS_AFTER_SHARE))
    ended_ms = clock.now_ms()
    await processes.switch(
        trial.fleet.platform_address(), platform_switches.PlatformSwitches()
    )
    await trial.prober.wait_until_served(ended_ms, SERVED_LIMIT_S)
    again = [trial.prober.served_again_ms(key, ended_ms) for key in lost_keys]
    trial.prober.keys = []
    await trial.prober.finish()
    probes = [
        probe
        for probe in trial.prober.probes
        if began_ms <= probe.sent_ms < ended_ms - 3_000
    ]
    kept = [probe for probe in probes if probe.key not in lost_keys]
    trial.prober.probes.clear()
    if loss != "none":
        await trial.restart(other)
    return Outage(
        loss=loss,
        seconds=OUTAGE_S.value,
        requests=len(probes),
        served=sum(not probe.error for probe in probes),
        kept_requests=len(kept),
        kept_served=sum(not probe.error for probe in kept),
        kept_errors=collections.Counter(
            probe.error for probe in kept if probe.error
        ),
        served_again_ms=max(again, default=0),
    )


async def revision_ms(trial, number: int) -> int:
    """Time from the write of a revision until it is in force on all nodes."""
    settings = msgspec.structs.replace(
        trial.settings, timeout_ms=2_000 + number
    )
    content = msgspec.json.encode({"services": {trial_lib.SERVICE: settings}})
    began_ms = clock.wall_ms()
    revision = await trial_lib.accept_file(
        trial.platform, trial_lib.FILE_NAME, content.decode()
    )
    times = []
    async with asyncio.timeout(IN_FORCE_LIMIT_S):
        for host in trial.fleet.hosts.values():
            while (at_ms := in_force_ms(host, revision)) is None:
                await asyncio.sleep(0.05)
            times.append(at_ms - began_ms)
    return max(times)


def in_force_ms(host: fleet_lib.Host, revision: int) -> int | None:
    """When a daemon's log says that a revision came into force."""
    for at_ms, number in _IN_FORCE.findall(host.daemon.output()):
        if int(number) >= revision:
            return int(at_ms)
    return None


async def time_revisions(trial, chance, report: Report) -> None:
    """Times the spread of revisions."""
    if not REVISIONS.value:
        return
    await trial.wait_until_settled()
    times = []
    for number in range(REVISIONS.value):
        times.append(await revision_ms(trial, number))
        await asyncio.sleep(chance.random())
    report.revision_p50_ms = statistics.median(times)
    report.revision_worst_ms = max(times)


async def run() -> Report:
    """Measures everything that the flags ask for."""
    chance = random.Random(SEED.value)
    report = Report(
        hosts=HOSTS.value,
        cores=os.cpu_count() or 0,
        load_before=os.getloadavg()[0],
        load_after=0.0,
    )
    async with trial_lib.running(HOSTS.value, CHECKS_GRANTS.value) as trial:
        for kind in KINDS_FLAG.value:
            report.kills.append(await kill_times(trial, kind, chance))
            print(report.kills[-1], file=sys.stderr, flush=True)
        await time_revisions(trial, chance, report)
        if OUTAGE_S.value:
            for loss in ("none", "host"):
                report.outages.append(await outage(trial, loss, chance))
                print(report.outages[-1], file=sys.stderr, flush=True)
        await trial.wait_until_settled()
        report.broken_promises = await trial.broken_promises()
        report.executions = len(trial.recorder.run.starts)
    report.load_after = os.getloadavg()[0]
    return report


def print_table(report: Report) -> None:
    """Prints the report for people."""
    print(
        f"{report.hosts} hosts, {report.cores} cores, load"
        f" {report.load_before:.1f} to {report.load_after:.1f}"
    )
    print("| killed | runs | p50 ms | worst ms | not served |")
    print("| --- | --- | --- | --- | --- |")
    for kill_report in report.kills:
        print(
            f"| {kill_report.kind} | {kill_report.runs}"
            f" | {kill_report.p50_ms:.0f} | {kill_report.worst_ms}"
            f" | {kill_report.not_served} |"
        )
    for each in report.outages:
        print(
            f"outage of {each.seconds} s, lost: {each.loss}: served"
            f" {each.served} of {each.requests}; keys of living owners"
            f" {each.kept_served} of {each.kept_requests}"
            f" {each.kept_errors or ''}; lost keys served"
            f" {each.served_again_ms} ms after its end"
        )
    print(
        f"a revision is in force on all nodes after"
        f" {report.revision_p50_ms:.0f} ms (median),"
        f" {report.revision_worst_ms} ms (worst)"
    )
    print(
        f"oracle: {report.executions} executions,"
        f" {len(report.broken_promises)} broken promises"
    )
    for promise in report.broken_promises:
        print(promise)


def main(_arguments: list[str]) -> int:
    """Runs the benchmark."""
    report = asyncio.run(run())
    if AS_JSON.value:
        print(msgspec.json.encode(report).decode())
    else:
        print_table(report)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
