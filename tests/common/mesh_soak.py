"""A randomized soak of real node processes under faults injected from outside.

Usage: python -m tests.common.mesh_soak FIRST LAST [restores] [targets] [load]

Runs the seeds from FIRST to LAST, with restores of the store, with faulty
targets and with evacuated zones and cold targets if requested.
Exits with 1 if a guarantee was violated; the output of the nodes is then in the
folder of the seed.

A seed determines the schedule of faults. The store and the targets are
stand-ins in this process; each node is connected to the store by a link that
can be cut. The guarantees are checked during the run, from what callers and
targets observe.
"""

import asyncio
import copy
import math
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
"""The deployments' limit, after the last fault, until all nodes serve again."""

RESTART_S = 0.4
"""Delay after which an ended node is restarted, as on the platform."""

SETTLE_S = 2.0
"""Time, in seconds, after a node was killed or resumed in which requests may
still be on their way from it to its target."""

MAX_SKEW_S = 5.0
"""Time, in seconds, by which a disruption of the store extends the bound of an
evacuation. A disruption that ended so long before has no effect."""

TOKENS_SHOWN = 5
"""Maximum number of reported token violations; one fault affects many keys."""

PROGRAM = pathlib.Path(__file__).resolve().parents[2] / "src" / "mesh_node.py"
"""The program that the platform starts."""

CALLERS = 12
DEADLINE_MS = 1_500


class Attempt(msgspec.Struct):
    """A request of a caller and its response.

    Attributes:
      name: attempt id of the request.
      path: path of the request.
      idempotent: whether the request may be executed more than once.
      host: index of the host to which the request was sent.
      status: status of the response; 0 if no complete response was received.
      body: body of the response.
      took_s: time until the request ended, in seconds; 0 before.
      cut: whether the connection ended without a complete response, while the
        host was neither killed nor frozen.
    """

    name: str
    path: str
    idempotent: bool
    host: int
    status: int = 0
    body: bytes = b""
    took_s: float = 0.0
    cut: bool = False

    def kind(self) -> str:
        """Returns the start of the path, which determines the route."""
        return self.path.split("/")[1].partition("-")[0]


class Soak(mesh_soak_faults.SoakContext):
    """One run of the soak.

    Attributes:
      seed: seed of the schedule of faults.
      program: arguments of `python` that start a node.
      restores: whether the store is restored from older copies.
      faulty_targets: whether targets name limits, repeat refusals and crash.
      hard_load: whether targets start cold and zones are evacuated.
      lost_machines: whether machines lose power, and another writer sends
        heartbeats.
      evacuated_s: times at which the store acknowledged the present
        evacuations, by zone; infinite after a reported violation.
      store_disrupted_s: when the latest disruption of the whole store ended.
      broken: descriptions of the violated guarantees.
      attempts: all requests of callers.
      targets: all incarnations of targets.
      oracle: checks the fencing tokens that targets accept.
    """

    def __init__(
        self,
        seed: int,
        deployment: processes.Deployment,
        program: tuple[str, ...] = (str(PROGRAM),),
        restores: bool = False,
        faulty_targets: bool = False,
        hard_load: bool = False,
        lost_machines: bool = False,
    ):
        self.seed = seed
        self.deployment = deployment
        self.program = list(program)
        self.restores = restores
        self.faulty_targets = faulty_targets
        self.hard_load = hard_load
        self.lost_machines = lost_machines
        self.evacuated_s: dict[str, float] = {}
        self.store_disrupted_s = 0.0
        self.rng = random.Random(seed)
        self.broken: list[str] = []
        self.attempts: list[Attempt] = []
        self.targets: list[mesh_target.MeshTarget] = []
        self.hosts: list[mesh_soak_faults.Host] = []
        self.oracle = mesh_grant_oracle.GrantOracle()
        self.version = 7
        self.began_s = 0.0

    async def run(self) -> list[str]:
        """Runs the soak; returns the violated guarantees."""
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
            await self.wait_until_served("at the start")
            self.began_s = time.monotonic()
            callers = [
                asyncio.create_task(self.send_requests())
                for _ in range(CALLERS)
            ]
            watchers = [
                asyncio.create_task(self.restart_on_exit(host))
                for host in self.hosts
            ]
            await self.inject_faults()
            await self.wait_until_served("after the last fault")
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
        """Connects a host to the store by a link of its own."""
        listen = forwarder.parse_address(host.addresses["store"])
        pair = forwarder.Pair(listen, forwarder.Address(store, port))
        host.link = forwarder.Link(pair)
        await self.open_link(host)

    async def open_link(self, host: mesh_soak_faults.Host) -> None:
        """Starts to accept TCP connections for the store, unless started."""
        address, port = host.addresses["store"].split(":")
        # Two faults of one host may end at the same time.
        async with host.opening:
            server = host.link.server
            if server is None or not server.is_serving():
                host.link.server = await asyncio.start_server(
                    host.link.accept, address, int(port)
                )

    def configure(self) -> None:
        """Writes a configuration, with a route for each version so far."""
        configuration = copy.deepcopy(mesh_fleet.CONFIGURATION)
        configuration["version"] = self.version
        for cluster in configuration["clusters"] if self.hard_load else ():
            cluster["cold_per_s"] = mesh_soak_faults.COLD_PER_S
        for version in range(7, self.version + 1):
            rule = copy.deepcopy(configuration["listeners"][0]["rule_set"][2])
            rule["name"] = f"r-since-{version}"
            rule["match"]["path_prefix"] = f"/since-{version}/"
            configuration["listeners"][0]["rule_set"].append(rule)
        self.store.put("op/config", msgspec.msgpack.encode(configuration))

    # Faults -----------------------------------------------------------------

    async def inject_faults(self) -> None:
        """Injects all faults of the schedule."""
        async with asyncio.TaskGroup() as faults:
            for fault in mesh_soak_faults.schedule(
                self.seed,
                self.restores,
                self.faulty_targets,
                self.hard_load,
                self.lost_machines,
            ):
                faults.create_task(self.inject_fault(fault))

    async def inject_fault(self, fault: mesh_soak_faults.Fault) -> None:
        """Waits for the time of a fault, begins it and ends it."""
        await asyncio.sleep(fault.at_s)
        host = self.hosts[fault.host]
        switches = self.store.switches
        if fault.kind == "kill":
            self.kill(host)
        elif fault.kind == "terminate":
            host.ends_expected.add(host.process.popen.pid)
            host.process.send(signal.SIGTERM)
        elif fault.kind == "reload":
            host.process.send(signal.SIGHUP)
        elif fault.kind == "freeze":
            frozen = host.process
            host.disturbances += 1
            host.disturbed_s = math.inf
            frozen.freeze()
            await asyncio.sleep(fault.for_s)
            frozen.thaw()
            host.disturbed_s = time.monotonic()
        elif fault.kind == "store_down":
            switches.down = True
            await asyncio.sleep(fault.for_s)
            switches.down = False
        elif fault.kind == "store_busy":
            switches.busy = True
            await asyncio.sleep(fault.for_s)
            switches.busy = False
        elif fault.kind == "store_refuses":
            # New connections only; open ones continue.
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
            if not (host.target.server.is_serving() or host.is_lost):
                await host.start_target()
        elif fault.kind == "lose_answers":
            host.target.behaviour.lose += 3
        elif fault.kind == "limit":
            behaviour = host.target.behaviour
            behaviour.limit = "5.5"
            await asyncio.sleep(fault.for_s)
            behaviour.limit = ""
        elif fault.kind == "repeat_refusal":
            host.target.behaviour.names_refused = False
            host.target.behaviour.repeats_refusal = True
            host.target.behaviour.refuse += 3
        elif fault.kind == "crash_request":
            behaviour = host.target.behaviour
            behaviour.crash_path = "/check/"
            await asyncio.sleep(fault.for_s)
            behaviour.crash_path = ""
            if not (host.target.server.is_serving() or host.is_lost):
                await host.start_target()
        elif fault.kind == mesh_soak_faults.STORE_RESTORED:
            for each in self.hosts if fault.kills_all_nodes else ():
                self.kill(each)
            await self.store.run_restore_outage(fault.age_s, fault.for_s)
        elif fault.kind == "configure":
            self.version += 1
            self.configure()
        elif fault.kind == mesh_soak_faults.POWER_OFF:
            await self.lose_machine(host, fault.for_s)
        elif fault.kind == mesh_soak_faults.FOREIGN_HEARTBEAT:
            await host.put_foreign_heartbeat(int(fault.at_s * 1_000))
        elif fault.kind == mesh_soak_faults.EVACUATE:
            await self.evacuate(host, fault.for_s)
        if fault.kind in mesh_soak_faults.STORE_DISRUPTIONS:
            self.store_disrupted_s = time.monotonic()

    def is_store_disrupted(self) -> bool:
        """Whether the store acknowledges no change now."""
        switches = self.store.switches
        return switches.down or switches.busy or self.store.is_unavailable

    async def evacuate(self, host: mesh_soak_faults.Host, for_s: float) -> None:
        """Evacuates the zone of a host for a while, as the operator does."""
        key = f"op/evacuate/{host.zone}"
        while self.is_store_disrupted():
            await asyncio.sleep(0.02)
        self.store.put(key, b"{}")
        self.evacuated_s.setdefault(host.zone, time.monotonic())
        await asyncio.sleep(for_s)
        while self.is_store_disrupted():
            await asyncio.sleep(0.02)
        # Another evacuation of the zone may have ended both.
        if self.evacuated_s.pop(host.zone, None) is None:
            return
        now_s = time.monotonic()
        cold_s = mesh_soak_faults.COLD_S
        if not host.received_s or now_s - host.received_s[-1] >= cold_s:
            host.target.cold_until_s = now_s + cold_s
        self.store.apply([], [key])

    async def lose_machine(
        self, host: mesh_soak_faults.Host, for_s: float
    ) -> None:
        """Ends a node and its target at once, and for good if so requested."""
        host.is_lost = True
        self.kill(host)
        await host.target.crash()
        if math.isinf(for_s):
            return
        await asyncio.sleep(for_s)
        host.is_lost = False
        await host.start_node()
        await host.start_target()

    def kill(self, host: mesh_soak_faults.Host) -> None:
        """Kills the node of a host."""
        host.ends_expected.add(host.process.popen.pid)
        host.disturbances += 1
        host.disturbed_s = time.monotonic()
        host.process.kill()

    async def restart_on_exit(self, host: mesh_soak_faults.Host) -> None:
        """Restarts a node whenever it has ended, as the platform does."""
        while True:
            process = host.process.popen
            if process.poll() is not None and not host.is_lost:
                if process.pid not in host.ends_expected:
                    self.fail(
                        f"{host.ip} ended by itself, status"
                        f" {process.returncode}"
                    )
                await asyncio.sleep(RESTART_S)
                if host.process.popen is process and not host.is_lost:
                    await host.start_node()
            await asyncio.sleep(0.05)

    # Callers ----------------------------------------------------------------

    async def send_requests(self) -> None:
        """Sends one request after another to random hosts."""
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
        """Sends one request; a broken connection leaves the status 0."""
        host = self.hosts[attempt.host]
        start = host.node_starts
        known = host.latest_served_version
        disturbances = host.disturbances
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
        except TimeoutError:
            await asyncio.sleep(0.1)
            return
        except aiohttp.ClientError:
            attempt.cut = host.disturbances == disturbances
            await asyncio.sleep(0.1)
            return
        self.check_answer(attempt, host, start, known)
        if attempt.status != 200:
            await asyncio.sleep(0.05)

    # Guarantees -------------------------------------------------------------

    def fail(self, text: str) -> None:
        """Records a violated guarantee with its time."""
        at_s = time.monotonic() - self.began_s
        self.broken.append(f"{at_s:.2f} s: {text}")

    def check_holds(self, target: mesh_target.MeshTarget) -> None:
        """Checks that no other running target holds a key of this one."""
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

    def check_received(self, host: mesh_soak_faults.Host) -> None:
        """Checks that a target was not too cold or evacuated for a request.

        All requests to a target pass the node beside it, so that only the
        disturbances of that node excuse a request in an evacuated zone. Faults
        of its link to the store do not: its neighbours tell it.
        """
        now_s = time.monotonic()
        received_s = host.received_s
        received_s.append(now_s)
        while received_s[0] <= now_s - 1.0:
            received_s.popleft()
        count = len(received_s)
        is_cold = now_s < host.target.cold_until_s
        if is_cold and count > mesh_soak_faults.COLD_RECEIVED_MAX:
            self.fail(f"{host.target.name} received {count}/s while cold")
            received_s.clear()
        began_s = self.evacuated_s.get(host.zone, math.inf)
        bound_s = mesh_soak_faults.EVACUATE_S
        if (
            self.is_store_disrupted()
            or self.store_disrupted_s > began_s - MAX_SKEW_S
        ):
            bound_s += MAX_SKEW_S
        if now_s > max(began_s + bound_s, host.disturbed_s + SETTLE_S):
            self.fail(
                f"{host.target.name} received a request"
                f" {now_s - began_s:.2f} s after {host.zone} was evacuated"
            )
            self.evacuated_s[host.zone] = math.inf

    def check_answer(
        self,
        attempt: Attempt,
        host: mesh_soak_faults.Host,
        start: int,
        known: int,
    ) -> None:
        """Checks that a response belongs to its attempt and configuration.

        A host must not go back to an older configuration while it runs.

        Args:
          attempt: the request and its response.
          host: the host that responded.
          start: number of node starts of the host when the request was sent.
          known: latest version served by the host when the request was sent.
        """
        is_own = attempt.body.endswith(attempt.path.encode())
        if attempt.status == 200 and not is_own:
            self.fail(f"{attempt.name} received another request's response")
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
            self.fail(f"{host.ip} returned to a version before {version}")

    def check_requests(self) -> None:
        """Checks the executions of requests.

        None that was executed ends without a response. One that is not
        idempotent was executed at most once, and never if it was refused.
        """
        runs: dict[str, int] = {}
        for target in self.targets:
            for run in target.executed_requests:
                runs[run.attempt] = runs.get(run.attempt, 0) + 1
        for attempt in self.attempts:
            count = runs.get(attempt.name, 0)
            if attempt.cut and count:
                self.fail(f"{attempt.name} was executed and not answered")
            if attempt.idempotent:
                continue
            if count > 1:
                self.fail(f"{attempt.name} was executed {count} times")
            if count and attempt.status in (408, 421, 429, 503):
                self.fail(
                    f"{attempt.name} was executed in spite of {attempt.status}"
                )

    async def wait_until_served(self, when: str) -> None:
        """Waits until every node serves all parts of the keys, or fails."""
        waits = [
            self.wait_until_host_serves(host)
            for host in self.hosts
            if not host.is_lost
        ]
        try:
            async with asyncio.timeout(RECOVER_S):
                await asyncio.gather(*waits)
        except TimeoutError:
            self.fail(f"not all nodes served within {RECOVER_S} s {when}")

    async def wait_until_host_serves(self, host: mesh_soak_faults.Host) -> None:
        """Waits until a node has served a key of each sixteenth of the keys."""
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
                # The node is starting or frozen; the caller has a timeout.
                pass
            await asyncio.sleep(0.05)


async def run(
    seed: int,
    folder: pathlib.Path,
    program: tuple[str, ...] | None = None,
    restores: bool = False,
    faulty_targets: bool = False,
    hard_load: bool = False,
    lost_machines: bool = False,
) -> list[str]:
    """Runs one seed; returns the violated guarantees."""
    with processes.Deployment(folder) as deployment:
        options = {"program": program} if program else {}
        soak = Soak(
            seed,
            deployment,
            restores=restores,
            faulty_targets=faulty_targets,
            hard_load=hard_load,
            lost_machines=lost_machines,
            **options,
        )
        return await soak.run()


def main(first: int, last: int, **options: bool) -> int:
    """Runs seeds and prints a line for each; returns the exit status."""
    code = 0
    for seed in range(first, last + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        began_s = time.monotonic()
        broken = asyncio.run(run(seed, folder, **options))
        took_s = time.monotonic() - began_s
        print(f"seed={seed} took_s={took_s:.1f} broken={len(broken)}")
        for text in broken:
            print(f"  {text} (logs in {folder})")
            code = 1
    return code


if __name__ == "__main__":
    sys.exit(
        main(
            int(sys.argv[1]),
            int(sys.argv[2]),
            restores="restores" in sys.argv[3:],
            faulty_targets="targets" in sys.argv[3:],
            hard_load="load" in sys.argv[3:],
            lost_machines="machines" in sys.argv[3:],
        )
    )
