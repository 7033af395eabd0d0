"""A small running deployment with one keyed service, for trials of failures."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib
import tempfile

import aiohttp
import msgspec

from auburnrock import records
from auburnrock.engine import configuration
from auburnrock.engine import keys as keys_lib
from auburnrock.engine import owner_choice
from auburnrock.replay import ownership
from auburnrock.store import base as platform_base
from auburnrock.store import http as http_platform
from auburnrock_standins import fleet as fleet_lib
from auburnrock_standins import preparation
from auburnrock_standins import prober as prober_lib
from auburnrock_standins import processes
from auburnrock_standins import recording

SERVICE = "ledger"
ZONES = ("zone-a", "zone-b", "zone-c")
SHARDS = 32
FILE_NAME = "10-ledger.json"
POLL_S = 0.05


class Trial:
    """A deployment, what is asked of it, and what it records.

    Attributes:
      fleet: the processes.
      platform: client of the store.
      settings: settings of the service.
      prober: asks for keys; idle while its list of keys is empty.
      recorder: records the store for the oracle.
      keys: one key for each shard.
      targets: every target process that ran, with its host.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        platform: http_platform.HttpPlatform,
        session: aiohttp.ClientSession,
        settings: records.ServiceSettings,
    ):
        self.fleet = fleet
        self.platform = platform
        self.settings = settings
        self.prober = prober_lib.Prober(fleet, session, SERVICE, [])
        self.recorder = recording.StoreRecorder(platform)
        self.keys = one_key_for_each_shard(settings)
        self.targets: list[tuple[fleet_lib.Host, processes.Process]] = []

    def host(self, incarnation: int) -> fleet_lib.Host:
        """The host whose daemon's latest start has this incarnation."""
        for host in self.fleet.hosts.values():
            if int(host.output_incarnation(), 16) == incarnation:
                return host
        raise LookupError(f"no host runs {incarnation:x}")

    def incarnation(self, host: fleet_lib.Host) -> int:
        """Incarnation of a host's daemon."""
        return int(host.output_incarnation(), 16)

    def keys_of(self, owners: dict, incarnation: int) -> list[str]:
        """A key for each shard of an owner."""
        return [
            self.keys[shard]
            for (_, shard), owner in sorted(owners.items())
            if owner == incarnation
        ]

    async def owners(self) -> dict:
        """The owner of each shard, by service and shard."""
        return await preparation.owners(self.platform)

    async def nodes(self) -> list[records.NodeRecord]:
        """The records of all nodes."""
        snapshot = await self.platform.list(records.NODES_PREFIX)
        return [records.decode_node(value.data) for value in snapshot.values]

    async def leader(self) -> fleet_lib.Host:
        """The node that assigns the service's shards first."""
        active = [
            node.incarnation
            for node in await self.nodes()
            if node.state is records.NodeState.ACTIVE
        ]
        first = owner_choice.first_candidates(SERVICE, active, 1)[0]
        return self.host(first)

    async def wait_until_settled(self, limit_s: float = 30.0) -> dict:
        """Waits until nothing is left to do; returns the owners.

        Settled: each running daemon's record is ACTIVE, names a target and
        as many witnesses as there can be, all ACTIVE; no other record is
        unfinished; and each shard is owned by one of these nodes.
        """
        async with asyncio.timeout(limit_s):
            while True:
                with contextlib.suppress(platform_base.StoreError):
                    owners = await self.owners()
                    if self._is_settled(await self.nodes(), owners):
                        return owners
                await asyncio.sleep(POLL_S)

    def kill_daemon(self, host: fleet_lib.Host) -> None:
        """Ends a daemon without warning."""
        self.prober.lost.add(host.spec.name)
        host.daemon.kill()

    def kill_host(self, host: fleet_lib.Host) -> None:
        """Ends a daemon and its target without warning."""
        self.kill_daemon(host)
        host.target.kill()

    async def restart(self, host: fleet_lib.Host) -> None:
        """Starts what of a host does not run."""
        if not is_running(host.daemon):
            await self.fleet.start_daemon(host)
            self.prober.lost.discard(host.spec.name)
        if not is_running(host.target):
            await self.start_target(host)

    async def start_target(self, host: fleet_lib.Host) -> None:
        """Starts a host's target."""
        await self.fleet.start_target(host)
        self.targets.append((host, host.target))

    async def broken_promises(self) -> list[str]:
        """What the oracle finds in all that was recorded so far."""
        await self.prober.finish()
        await self.recorder.read(0.0)
        run = self.recorder.run
        run.starts = [
            start
            for host, target in self.targets
            for start in recording.starts_of(host, target)
        ]
        return ownership.find_violations(run)

    def _is_settled(
        self, nodes: list[records.NodeRecord], owners: dict
    ) -> bool:
        running = {
            self.incarnation(host)
            for host in self.fleet.hosts.values()
            if is_running(host.daemon)
        }
        active = {
            node.incarnation
            for node in nodes
            if node.state is records.NodeState.ACTIVE
        }
        if active != running or len(owners) < len(self.keys):
            return False
        if not set(owners.values()) <= active:
            return False
        witnesses = witness_count(len(active))
        return all(
            node.state is records.NodeState.ENDED
            or _is_whole(node, active, witnesses)
            for node in nodes
        )


def witness_count(nodes: int) -> int:
    """How many witnesses each of so many nodes has, spread over the zones."""
    return 3 if nodes > 3 else min(1, nodes - 1)


def _is_whole(
    node: records.NodeRecord, active: set[int], witness_count: int
) -> bool:
    witnesses = {witness.incarnation for witness in node.witnesses}
    if not node.target_incarnation or len(witnesses) < witness_count:
        return False
    return witnesses <= active


def is_running(process: processes.Process | None) -> bool:
    """Whether a process was started and has not ended."""
    return process is not None and process.popen.poll() is None


def one_key_for_each_shard(settings: records.ServiceSettings) -> list[str]:
    """Keys whose position is their shard."""
    found: dict[int, str] = {}
    number = 0
    while len(found) < settings.shards:
        key = f"account-{number}"
        found.setdefault(keys_lib.shard_of(settings, key), key)
        number += 1
    return [found[shard] for shard in range(settings.shards)]


async def wait_until_announced(
    platform: http_platform.HttpPlatform, hosts: int, limit_s: float = 30.0
) -> None:
    """Returns when so many nodes' records name a target."""
    async with asyncio.timeout(limit_s):
        while True:
            snapshot = await platform.list(records.NODES_PREFIX)
            nodes = [records.decode_node(each.data) for each in snapshot.values]
            if sum(bool(node.target_incarnation) for node in nodes) == hosts:
                return
            await asyncio.sleep(POLL_S)


async def accept_file(
    platform: http_platform.HttpPlatform, name: str, content: str
) -> int:
    """Puts one operators' file into force; returns the revision.

    Raises:
      RuntimeError: the file was refused, or another operator was first.
    """
    value = await platform.get(records.CONFIGURATION_KEY)
    base = None if value is None else records.decode_configuration(value.data)
    before = None if base is None else base.files.get(name)
    change = configuration.FileChange(
        name, content, configuration.content_hash(before)
    )
    proposed = configuration.propose(
        base, configuration.ChangeSet([change], "trial")
    ).unwrap()
    swap = await platform.compare_and_swap(
        records.CONFIGURATION_KEY,
        records.encode_json(proposed),
        0 if value is None else value.revision,
    )
    if not swap.swapped:
        raise RuntimeError(f"{name}: another change was accepted first")
    return proposed.revision


def spec_of(hosts: int) -> fleet_lib.DeploymentSpec:
    """A deployment of so many hosts, spread over the zones."""
    return fleet_lib.DeploymentSpec(
        region="region",
        hosts=[
            fleet_lib.HostSpec(
                name=f"node-{number}",
                zone=ZONES[number % len(ZONES)],
                service=SERVICE,
            )
            for number in range(hosts)
        ],
    )


@contextlib.asynccontextmanager
async def running(
    hosts: int,
    checks_grants: bool = True,
    settings: records.ServiceSettings | None = None,
    has_forwarder: bool = False,
) -> AsyncIterator[Trial]:
    """Runs a settled deployment; ends all of it at the end."""
    settings = settings or records.ServiceSettings(
        divided_by_key=True, shards=SHARDS, checks_grants=checks_grants
    )
    options = processes.TargetSpec(
        checks_grants=checks_grants, print_executions=True
    )
    with (
        tempfile.TemporaryDirectory() as scratch,
        processes.Deployment(pathlib.Path(scratch)) as deployment,
    ):
        fleet = fleet_lib.Fleet(
            deployment,
            spec_of(hosts),
            options,
            has_forwarder=has_forwarder,
        )
        await fleet.start()
        platform = http_platform.connect(fleet.platform_address())
        # Else the first nodes to be ready get all shards.
        await wait_until_announced(platform, hosts)
        content = msgspec.json.encode({"services": {SERVICE: settings}})
        await accept_file(platform, FILE_NAME, content.decode())
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            trial = Trial(fleet, platform, session, settings)
            for host in fleet.hosts.values():
                trial.targets.append((host, host.target))
            tasks = [
                asyncio.create_task(trial.recorder.follow()),
                asyncio.create_task(trial.prober.run()),
            ]
            try:
                await trial.wait_until_settled()
                yield trial
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.wait(tasks)
                await trial.prober.finish()
                await platform.close()
