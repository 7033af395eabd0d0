"""A randomized soak: real nodes as processes, faults from outside them.

Usage: python -m tests.common.mesh_soak FIRST LAST [restores]

Plays the seeds from FIRST to LAST, with restores of the store if asked for;
ends with 1 if a promise broke. The folder of a broken seed keeps what the nodes
wrote.

One seed gives one schedule of faults. Nodes meet their store and target as
stand-ins in this process; each node's way to the store is a link that can be
cut. The promises are checked while it runs, from what callers and targets see.
"""

import asyncio
import copy
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp
import msgspec

from auburnrock.engine.mesh import model
from auburnrock_standins import forwarder
from auburnrock_standins import mesh_store
from auburnrock_standins import mesh_target
from auburnrock_standins import processes
from tests.common import mesh_fleet
from tests.common import mesh_grant_oracle
from tests.common import mesh_soak_faults

RECOVER_S = 15.0
"""The deployments' bound for service after the last fault."""

RESTART_S = 0.4
"""The platform starts an ended process again after a short delay."""

TOKENS_SHOWN = 5
"""One fault concerns many keys."""

CALLERS = 12
DEADLINE_MS = 1_500


class Attempt(msgspec.Struct):
    """What a caller sent and got; status 0 stands for no whole answer.

    Attributes:
      took_s: time to its end; 0 while it has none.
    """

    name: str
    path: str
    idempotent: bool
    host: int
    status: int = 0
    body: bytes = b""
    took_s: float = 0.0

    def kind(self) -> str:
        """Begin of its path, which says its route."""
        return self.path.split("/")[1].partition("-")[0]


class Soak(mesh_soak_faults.SoakContext):
    """One run.

    Attributes:
      seed: of its schedule.
      program: arguments of `python` that start a node.
      restores: whether the store is restored from older copies.
      broken: broken promises, in words.
      attempts: everything that callers sent.
      targets: every start of a target.
      oracle: checks the tokens of what they hold.
    """

    def __init__(
        self,
        seed: int,
        deployment: processes.Deployment,
        program: tuple[str, ...] = ("-m", "auburnrock.programs.mesh_node"),
        restores: bool = False,
    ):
        self.seed = seed
        self.deployment = deployment
        self.program = list(program)
        self.restores = restores
        self.rng = random.Random(seed)
        self.broken: list[str] = []
        self.attempts: list[Attempt] = []
        self.targets: list[mesh_target.MeshTarget] = []
        self.hosts: list[mesh_soak_faults.Host] = []
        self.oracle = mesh_grant_oracle.GrantOracle()
        self.version = 7
        self.began_s = 0.0

    async def run(self) -> list[str]:
        """Runs to the end; returns the broken promises."""
        self.store, runner = await mesh_store.start()
        host, port = runner.addresses[0][:2]
        self.configure()
        async with aiohttp.ClientSession() as self.session:
            for number, service in enumerate(mesh_soak_faults.SERVICES, 1):
                each = mesh_soak_faults.Host(self, number, service)
                self.hosts.append(each)
                await self.start_link(each, host, port)
                await each.start_node()
                await each.start_target()
            await self.until_served("at the start")
            self.began_s = time.monotonic()
            callers = [
                asyncio.create_task(self.call_always()) for _ in range(CALLERS)
            ]
            watchers = [
                asyncio.create_task(self.keep_running(host))
                for host in self.hosts
            ]
            await self.play()
            await self.until_served("after the last fault")
            for task in (*callers, *watchers):
                task.cancel()
            await asyncio.gather(*callers, *watchers, return_exceptions=True)
        self.check_requests()
        for text in self.oracle.stale_tokens[:TOKENS_SHOWN]:
            self.fail(text)
        for each in self.hosts:
            each.process.kill()
            each.link.server.close()
            await each.target.crash()
        await runner.cleanup()
        await asyncio.sleep(0.1)
        return self.broken

    async def start_link(
        self, host: mesh_soak_faults.Host, store: str, port: int
    ) -> None:
        """Gives a host a way to the store of its own."""
        listen = forwarder.parse_address(host.addresses["store"])
        pair = forwarder.Pair(listen, forwarder.Address(store, port))
        host.link = forwarder.Link(pair)
        await self.open_link(host)

    async def open_link(self, host: mesh_soak_faults.Host) -> None:
        """Takes connections for the store, if it does not yet; TCP only."""
        address, port = host.addresses["store"].split(":")
        # Faults of one host may end at one time.
        async with host.opening:
            server = host.link.server
            if server is None or not server.is_serving():
                host.link.server = await asyncio.start_server(
                    host.link.accept, address, int(port)
                )

    def configure(self) -> None:
        """Writes a version with a route that only later ones have."""
        wanted = copy.deepcopy(mesh_fleet.CONFIGURATION)
        wanted["version"] = self.version
        for version in range(7, self.version + 1):
            rule = copy.deepcopy(wanted["listeners"][0]["rule_set"][2])
            rule["name"] = f"r-since-{version}"
            rule["match"]["path_prefix"] = f"/since-{version}/"
            wanted["listeners"][0]["rule_set"].append(rule)
        self.store.put("op/config", msgspec.msgpack.encode(wanted))

    # Faults -----------------------------------------------------------------

    async def play(self) -> None:
        """Brings about all faults of the schedule."""
        async with asyncio.TaskGroup() as faults:
            for fault in mesh_soak_faults.schedule(self.seed, self.restores):
                faults.create_task(self.bring_about(fault))

    async def bring_about(self, fault: mesh_soak_faults.Fault) -> None:
        """Waits for a fault's time, begins it and ends it."""
        await asyncio.sleep(fault.at_s)
        host = self.hosts[fault.host]
        switches = self.store.switches
        if fault.kind == "kill":
            host.process.kill()
        elif fault.kind == "terminate":
            host.process.send(signal.SIGTERM)
        elif fault.kind == "reload":
            host.process.send(signal.SIGHUP)
        elif fault.kind == "freeze":
            frozen = host.process
            frozen.freeze()
            await asyncio.sleep(fault.for_s)
            frozen.thaw()
        elif fault.kind == "store_down":
            switches.down = True
            await asyncio.sleep(fault.for_s)
            switches.down = False
        elif fault.kind == "store_busy":
            switches.busy = True
            await asyncio.sleep(fault.for_s)
            switches.busy = False
        elif fault.kind == "store_refuses":
            # New connections only; those that are open go on.
            host.link.server.close()
            await asyncio.sleep(fault.for_s)
            await self.open_link(host)
        elif fault.kind == "store_loses_answers":
            switches.lose_changes += 3
        elif fault.kind == "store_forgets":
            self.store.compact_history()
        elif fault.kind in ("cut_store_forward", "cut_store_both"):
            host.link.forward.set_cut(True)
            host.link.backward.set_cut(fault.kind == "cut_store_both")
            await asyncio.sleep(fault.for_s)
            host.link.forward.set_cut(False)
            host.link.backward.set_cut(False)
        elif fault.kind == "crash_target":
            await host.target.crash()
            await asyncio.sleep(fault.for_s)
            if not host.target.server.is_serving():
                await host.start_target()
        elif fault.kind == "lose_answers":
            host.target.behaviour.lose += 3
        elif fault.kind == mesh_soak_faults.STORE_RESTORED:
            for each in self.hosts if fault.kills_all_nodes else ():
                each.process.kill()
            await self.store.run_restore_outage(fault.age_s, fault.for_s)
        elif fault.kind == "configure":
            self.version += 1
            self.configure()

    async def keep_running(self, host: mesh_soak_faults.Host) -> None:
        """Starts a node again after it has ended, as the platform does."""
        while True:
            if host.process.popen.poll() is not None:
                await asyncio.sleep(RESTART_S)
                await host.start_node()
            await asyncio.sleep(0.05)

    # Callers ----------------------------------------------------------------

    async def call_always(self) -> None:
        """Sends one request after the other to any host."""
        while True:
            number = len(self.attempts)
            kind = self.rng.choice(("lookup", "book", "check", "since"))
            path = f"/{kind}/{number}"
            if kind == "since":
                path = f"/since-{self.version}/{number}"
            attempt = Attempt(
                f"soak-{number}",
                path,
                kind != "book",
                self.rng.randrange(len(self.hosts)),
            )
            self.attempts.append(attempt)
            began_s = time.monotonic()
            await self.call(attempt)
            attempt.took_s = time.monotonic() - began_s

    async def call(self, attempt: Attempt) -> None:
        """Sends one request; a broken connection leaves its status 0."""
        host = self.hosts[attempt.host]
        start = host.node_starts
        known = host.latest_served_version
        headers = {
            "Host": "a.example",
            "Auburnrock-Attempt-Id": attempt.name,
            "Auburnrock-Deadline-Ms": str(DEADLINE_MS),
        }
        if attempt.path.startswith("/lookup/"):
            headers["Auburnrock-Shard-Key"] = str(
                self.rng.randrange(model.KEYS)
            )
        try:
            async with self.session.request(
                "GET" if attempt.idempotent else "POST",
                f"http://{host.addresses['caller']}{attempt.path}",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=2 * DEADLINE_MS / 1_000),
            ) as response:
                attempt.body = await response.read()
                attempt.status = response.status
        except (aiohttp.ClientError, TimeoutError):
            await asyncio.sleep(0.1)
            return
        self.check_answer(attempt, host, start, known)
        if attempt.status != 200:
            await asyncio.sleep(0.05)

    # Promises ---------------------------------------------------------------

    def fail(self, text: str) -> None:
        """Notes a broken promise with its time."""
        at_s = time.monotonic() - self.began_s
        self.broken.append(f"{at_s:.2f} s: {text}")

    def check_holds(self, target: mesh_target.MeshTarget) -> None:
        """No other target that is up holds a key of this one."""
        now_s = time.monotonic()
        target.expire(now_s)
        own = sorted((h.first, h.last) for h in target.holds.values())
        for host in self.hosts:
            other = host.target
            if other is target or other is None:
                continue
            other.expire(now_s)
            theirs = [(h.first, h.last) for h in other.holds.values()]
            last = -1
            for first, end in sorted([*own, *theirs]):
                if first <= last:
                    self.fail(
                        f"{target.name} and {other.name} both hold {first}"
                    )
                    return
                last = end

    def check_answer(
        self,
        attempt: Attempt,
        host: mesh_soak_faults.Host,
        start: int,
        known: int,
    ) -> None:
        """An answer is the attempt's own, by no older configuration."""
        is_own = attempt.body.endswith(attempt.path.encode())
        if attempt.status == 200 and not is_own:
            self.fail(f"{attempt.name} got another's answer")
        if not attempt.path.startswith("/since-"):
            return
        version = int(attempt.path.split("/")[1].removeprefix("since-"))
        if start != host.node_starts:
            return
        if attempt.status == 200:
            host.latest_served_version = max(
                host.latest_served_version, version
            )
        elif attempt.status == 404 and known >= version:
            self.fail(f"{host.ip} went back behind version {version}")

    def check_requests(self) -> None:
        """At most once, and refusals that are true."""
        runs: dict[str, int] = {}
        for target in self.targets:
            for run in target.executed_requests:
                runs[run.attempt] = runs.get(run.attempt, 0) + 1
        for attempt in self.attempts:
            count = runs.get(attempt.name, 0)
            if attempt.idempotent:
                continue
            if count > 1:
                self.fail(f"{attempt.name} ran {count} times")
            if count and attempt.status in (408, 421, 429, 503):
                self.fail(f"{attempt.name} ran in spite of {attempt.status}")

    async def until_served(self, when: str) -> None:
        """Every node serves keys of all parts within the bound."""
        waits = [self.serves(host) for host in self.hosts]
        try:
            async with asyncio.timeout(RECOVER_S):
                await asyncio.gather(*waits)
        except TimeoutError:
            self.fail(f"not served by all nodes {RECOVER_S} s {when}")

    async def serves(self, host: mesh_soak_faults.Host) -> None:
        """Waits until a node has served a key of each sixteenth of them."""
        missing = set(range(0, model.KEYS, model.KEYS // 16))
        while missing:
            key = min(missing)
            headers = {
                "Host": "a.example",
                "Auburnrock-Attempt-Id": f"serves-{self.rng.random()}",
                "Auburnrock-Deadline-Ms": "500",
                "Auburnrock-Shard-Key": str(key),
            }
            url = f"http://{host.addresses['caller']}/lookup/x"
            try:
                async with self.session.get(
                    url,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=1.0),
                ) as response:
                    if response.status == 200:
                        missing.discard(key)
                        continue
            except (aiohttp.ClientError, TimeoutError):
                # Not up yet, or frozen; the bound tells.
                pass
            await asyncio.sleep(0.05)


async def run(
    seed: int,
    folder: pathlib.Path,
    program: tuple[str, ...] | None = None,
    restores: bool = False,
) -> list[str]:
    """Runs one seed; returns the broken promises."""
    with processes.Deployment(folder) as deployment:
        options = {"program": program} if program else {}
        soak = Soak(seed, deployment, restores=restores, **options)
        return await soak.run()


def main(first: int, last: int, restores: bool) -> int:
    """Plays seeds; prints a line for each."""
    code = 0
    for seed in range(first, last + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        began_s = time.monotonic()
        broken = asyncio.run(run(seed, folder, restores=restores))
        took_s = time.monotonic() - began_s
        print(f"seed={seed} took_s={took_s:.1f} broken={len(broken)}")
        for text in broken:
            print(f"  {text} (logs in {folder})")
            code = 1
    return code


if __name__ == "__main__":
    sys.exit(
        main(int(sys.argv[1]), int(sys.argv[2]), "restores" in sys.argv[3:])
    )
