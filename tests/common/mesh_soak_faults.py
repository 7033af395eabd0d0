"""Schedules of faults for the soak, and the hosts that they affect."""

import abc
import asyncio
import collections
import contextlib
import json
import os
import random
import time

import aiohttp
import msgspec

from auburnrock_standins import forwarder
from auburnrock_standins import mesh_target
from auburnrock_standins import processes
from tests.common import mesh_fleet
from tests.common import mesh_grant_oracle

SERVICES = ("portal", "portal", "portal", "booker", "booker")
FAULTS_S = 9.0
"""Time within which all faults begin; most last less than three seconds."""

KINDS = (
    "kill",
    "freeze",
    "terminate",
    "reload",
    "store_down",
    "store_busy",
    "store_refuses",
    "store_loses_answers",
    "store_forgets",
    "cut_store_forward",
    "cut_store_both",
    "crash_target",
    "lose_answers",
    "configure",
)


TARGET_KINDS = ("limit", "repeat_refusal", "crash_request")
"""Kinds of faults of targets, in addition to KINDS, of schedules with faulty
targets only."""

EVACUATE = "evacuate"
"""Kind of fault, in addition to KINDS, of schedules with hard load only. These
schedules also have further faults of the kind `crash_target`, as a target is
cold after its start."""

EVACUATED_S = (0.0, 2.0, 7.0, 12.0, 12.0)
"""Durations of evacuations, in seconds: cancelled at once and before the bound,
and ended after the bound without and with a disruption of the store. Most
schedules disrupt the store, so the longest is more frequent."""

NEXT_ZONE_S = 1.0
"""Time, in seconds, after which a second zone is evacuated as well."""

EVACUATE_S = 5.0
"""Bound of the settings, in seconds, from which no request reaches a target of
an evacuated zone."""

COLD_S = 3.0
"""Duration of a cold start, and time without a request after which a target
counts as cold when the evacuation of its zone ends."""

COLD_PER_S = 5.5
COLD_OVER = 1.5
COLD_SLACK = 8.0
COLD_RECEIVED_MAX = COLD_PER_S * COLD_OVER + COLD_SLACK
"""Limit of the requests that a cold target receives in any one second. The
callers exceed it by far: without the limit, a cold target of the service
`booker` received 17 requests within 0.1 s."""

POWER_OFF = "power_off"
FOREIGN_HEARTBEAT = "foreign_heartbeat"
"""Kinds of faults, in addition to KINDS, of schedules with lost machines only:
nodes and targets end together; another writer reports a target."""

LOST_MACHINES_MAX = 4
LOST_FOR_S = (0.8, 3.0, 8.0, float("inf"))
"""Durations in seconds for which lost machines are away."""

LOST_IN_TURN_S = 1.2
"""Time in seconds between the losses of machines, if not at once."""

STORE_RESTORED = "store_restored"
"""Kind of fault, in addition to KINDS, of schedules with restores only."""

STORE_DISRUPTIONS = ("store_down", "store_busy", STORE_RESTORED)
"""Kinds of faults during which the store acknowledges no change to anyone."""

AGES_S = (0.1, 1.0, 5.0, 20.0)
"""Ages of the copies from which the store is restored, in seconds."""

AWAY_S = (0.1, 1.0, 5.0)
"""Durations of the outage of the store before a restore, in seconds."""

KILLS_ALL_SHARE = 0.4
"""Share of the restores in which all nodes are killed."""


class Fault(msgspec.Struct, frozen=True):
    """One fault of a schedule.

    Attributes:
      at_s: time in the run at which the fault is injected.
      kind: one of KINDS.
      host: index of the affected host, for faults of a single host.
      for_s: duration, for faults that end.
      age_s: age of the copy that a restore goes back to.
      kills_all_nodes: whether a restore also kills all nodes, so that no node
        knows what the store has lost.
    """

    at_s: float
    kind: str
    host: int
    for_s: float
    age_s: float = 0.0
    kills_all_nodes: bool = False


def schedule(
    seed: int,
    restores: bool = False,
    faulty_targets: bool = False,
    hard_load: bool = False,
    lost_machines: bool = False,
) -> list[Fault]:
    """Returns the faults of a seed, in the order of their times.

    Args:
      seed: seed of the schedule.
      restores: whether the store is also restored, once or twice.
      faulty_targets: whether targets also have faults of TARGET_KINDS.
      hard_load: whether zones are also evacuated and more targets restarted.
      lost_machines: whether machines are also lost, some for good, and another
        writer sends heartbeats.
    """
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(4, 9)):
        fault = Fault(
            rng.uniform(0.0, FAULTS_S),
            rng.choice(KINDS),
            rng.randrange(len(SERVICES)),
            rng.choice((0.2, 0.8, 1.5, 3.0, 6.0)),
        )
        # Some faults are repeated.
        faults += [
            msgspec.structs.replace(fault, at_s=fault.at_s + 1.2 * again)
            for again in range(rng.choice((1, 1, 2, 3)))
        ]
    for _ in range(rng.choice((1, 1, 2)) if restores else 0):
        faults.append(
            Fault(
                rng.uniform(0.0, FAULTS_S),
                STORE_RESTORED,
                0,
                rng.choice(AWAY_S),
                rng.choice(AGES_S),
                rng.random() < KILLS_ALL_SHARE,
            )
        )
    for _ in range(rng.randint(2, 4) if faulty_targets else 0):
        faults.append(
            Fault(
                rng.uniform(0.0, FAULTS_S),
                rng.choice(TARGET_KINDS),
                rng.randrange(len(SERVICES)),
                rng.choice((0.8, 1.5, 3.0)),
            )
        )
    for _ in range(rng.randint(1, 2) if hard_load else 0):
        fault = Fault(
            rng.uniform(0.0, FAULTS_S),
            EVACUATE,
            rng.randrange(len(SERVICES)),
            rng.choice(EVACUATED_S),
        )
        faults.append(fault)
        if rng.random() < 0.5:
            following = msgspec.structs.replace(
                fault,
                at_s=fault.at_s + NEXT_ZONE_S,
                host=(fault.host + 1) % len(SERVICES),
            )
            faults.append(following)
        restarted = rng.randrange(len(SERVICES))
        at_s = rng.uniform(0.0, FAULTS_S)
        faults.append(Fault(at_s, "crash_target", restarted, 0.8))
    if lost_machines:
        faults += _losses(rng)
    return sorted(faults, key=lambda fault: fault.at_s)


def _losses(rng: random.Random) -> list[Fault]:
    """Returns losses of machines, all but one at most, and odd heartbeats."""
    hosts = list(range(len(SERVICES)))
    # One target that may hold keys remains.
    hosts.remove(rng.randrange(SERVICES.count("portal")))
    lost = rng.sample(hosts, rng.randint(1, LOST_MACHINES_MAX))
    at_s = rng.uniform(0.0, FAULTS_S / 2)
    step_s = rng.choice((0.0, LOST_IN_TURN_S))
    faults = [
        Fault(at_s + place * step_s, POWER_OFF, host, rng.choice(LOST_FOR_S))
        for place, host in enumerate(lost)
    ]
    faults += [
        Fault(
            rng.uniform(0.0, FAULTS_S),
            FOREIGN_HEARTBEAT,
            rng.randrange(len(SERVICES)),
            0.0,
        )
        for _ in range(3)
    ]
    return faults


class Target(mesh_target.MeshTarget):
    """A target that calls the oracle whenever its holds change."""

    def apply_reply(self, reply: dict, sent_s: float) -> None:
        """Applies a reply and calls the oracle."""
        super().apply_reply(reply, sent_s)
        self.on_reply_applied(self)


class SoakContext(abc.ABC):
    """The interface that a host needs of the soak to which it belongs.

    Attributes:
      deployment: starts the node processes.
      program: arguments of `python` that start a node.
      targets: all incarnations of targets.
      oracle: checks the fencing tokens that targets accept.
      hard_load: whether targets start cold and zones are evacuated.
    """

    deployment: processes.Deployment
    program: list[str]
    targets: list[mesh_target.MeshTarget]
    oracle: mesh_grant_oracle.GrantOracle
    hard_load: bool

    @abc.abstractmethod
    def check_holds(self, target: mesh_target.MeshTarget) -> None:
        """Checks the holds of a target that has just applied a reply."""

    @abc.abstractmethod
    def check_received(self, host: "Host") -> None:
        """Checks a request that the target of a host has just received."""


def settings_text(ip: str, service: str, at: dict[str, str]) -> str:
    """Returns a settings file as the platform writes it.

    Args:
      ip: address of the host.
      service: service of the target beside the node.
      at: addresses of the host by kind.
    """
    peer = int(at["peer"].rpartition(":")[2])
    return json.dumps(
        {
            "self_node": {
                "node_id": f"host-{ip}",
                "ip": ip,
                "zone": f"zone-{ip[-1]}",
                "limits": {"memory_mb": 300, "link_mbps": 1000.0},
                "app_address": at["target"],
                "service": service,
            },
            "network": {
                "listen": {
                    "outbound": at["caller"],
                    "ready": at["ready"],
                    "control": at["control"],
                },
                "internal_port_range": [peer, peer + 1],
                "zones": {},
            },
            "platform": {
                "heartbeat": f"{int(mesh_fleet.HEARTBEAT_S * 1_000)}ms",
                "platform": {"address": at["store"]},
            },
            "terms": {
                "bounds": {
                    "drain": "2000ms",
                    "grace": "6s",
                    "config_apply": "2000ms",
                    "hold_max": "10000ms",
                    "retry_budget_ratio": 0.2,
                    "budget_extra_tries": 60,
                    "budget_window": "10s",
                    "evacuate": f"{int(EVACUATE_S)}s",
                    "cold_over": COLD_OVER,
                    "cold_slack": COLD_SLACK,
                }
            },
        }
    )


class Host(mesh_fleet.Host):
    """A host whose node runs as a separate process.

    Attributes:
      ends_expected: identifiers of the processes that were told to end.
      disturbances: how often a process was killed or frozen.
      disturbed_s: when a process was last killed or resumed; infinite while
        one is frozen.
      is_lost: whether the machine has no power.
      received_s: times of the requests that the present target has received,
        back to one second before the latest.
    """

    def __init__(self, soak: SoakContext, number: int, service: str):
        super().__init__(soak, number, service)
        # The metrics port is fixed: concurrent soaks need different addresses.
        self.ip = f"127.0.{10 + os.getpid() % 200}.{number}"
        self.zone = f"zone-{number}"
        names = ("caller", "ready", "control", "target", "store", "peer")
        ports = mesh_fleet.free_ports(self.ip, len(names))
        self.addresses = {
            name: f"{self.ip}:{port}"
            for name, port in zip(names, ports, strict=True)
        }
        self.process: processes.Process | None = None
        self.link: forwarder.Link | None = None
        self.opening = asyncio.Lock()
        self.node_starts = 0
        self.latest_served_version = 0
        self.ends_expected: set[int] = set()
        self.disturbances = 0
        self.is_lost = False
        self.disturbed_s = 0.0
        self.received_s: collections.deque[float] = collections.deque()

    async def put_foreign_heartbeat(self, number: int) -> None:
        """Sends a heartbeat of another writer to the node."""
        odd = {
            "born": self.target.started_ms + 1,
            "service": "not-a-service",
            "zone": "elsewhere",
            "address": "127.0.0.1:9",
        }
        name, value = list(odd.items())[number % len(odd)]
        message = {
            "address": self.addresses["target"],
            "born": self.target.started_ms + 1,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": 18,
            },
            "status": {
                "state": "draining",
                "seq_num": 1,
                "cold_remaining": "0ms",
            },
        }
        place = message if name in message else message["info"]
        place[name] = value
        url = f"http://{self.addresses['control']}/auburnrock/instances/other"
        # The node may have ended.
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession() as session,
                session.put(
                    url,
                    data=msgspec.msgpack.encode(message),
                    timeout=aiohttp.ClientTimeout(total=1.0),
                ) as response,
            ):
                await response.read()

    def settings_text(self) -> str:
        """Returns the settings file as the platform writes it."""
        return settings_text(self.ip, self.service, self.addresses)

    async def start_node(self) -> None:
        """Starts the node, without waiting until it serves."""
        folder = self.fleet.deployment.folder
        path = folder / f"{self.ip}.json"
        path.write_text(self.settings_text())
        self.node_starts += 1
        self.latest_served_version = 0
        program = self.fleet.program
        self.process = self.fleet.deployment.start(
            program, {"AUBURNROCK_CONFIG": str(path)}
        )

    async def start_target(self) -> mesh_target.MeshTarget:
        """Starts a new incarnation of the target."""
        self.starts += 1
        self.target = self.make_target(Target)
        self.target.on_reply_applied = self.fleet.check_holds
        self.target.on_request_received = lambda: self.fleet.check_received(
            self
        )
        self.received_s.clear()
        if self.fleet.hard_load:
            self.target.cold_until_s = time.monotonic() + COLD_S
        self.target.behaviour.work_s = 0.02
        self.fleet.targets.append(self.target)
        self.fleet.oracle.watch(self.target)
        await self.target.start()
        return self.target
