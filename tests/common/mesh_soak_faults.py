"""Schedules of faults for the soak, and the hosts that they meet."""

import abc
import asyncio
import json
import os
import random

import msgspec

from auburnrock_standins import forwarder
from auburnrock_standins import mesh_target
from auburnrock_standins import processes
from tests.common import mesh_fleet
from tests.common import mesh_grant_oracle

SERVICES = ("portal", "portal", "portal", "booker", "booker")
FAULTS_S = 9.0
"""Faults begin within this; most last less than three seconds."""

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


STORE_RESTORED = "store_restored"
"""A fault that only schedules with restores have, beside those of KINDS."""

AGES_S = (0.1, 1.0, 5.0, 20.0)
"""Ages of the copies that the store is restored from."""

AWAY_S = (0.1, 1.0, 5.0)
"""For how long it is away then."""

ENDS_ALL = 0.4
"""Part of the restores in which all nodes end."""


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


def schedule(seed: int, restores: bool = False) -> list[Fault]:
    """The faults of a seed, in the order of their times.

    Args:
      seed: of the schedule.
      restores: whether the store is restored once or twice besides.
    """
    chance = random.Random(seed)
    faults = []
    for _ in range(chance.randint(4, 9)):
        fault = Fault(
            chance.uniform(0.0, FAULTS_S),
            chance.choice(KINDS),
            chance.randrange(len(SERVICES)),
            chance.choice((0.2, 0.8, 1.5, 3.0, 6.0)),
        )
        # Some come in series.
        faults += [
            msgspec.structs.replace(fault, at_s=fault.at_s + 1.2 * again)
            for again in range(chance.choice((1, 1, 2, 3)))
        ]
    for _ in range(chance.choice((1, 1, 2)) if restores else 0):
        faults.append(
            Fault(
                chance.uniform(0.0, FAULTS_S),
                STORE_RESTORED,
                0,
                chance.choice(AWAY_S),
                chance.choice(AGES_S),
                chance.random() < ENDS_ALL,
            )
        )
    return sorted(faults, key=lambda fault: fault.at_s)


class Target(mesh_target.MeshTarget):
    """A target that shows its holds to the oracle whenever they change."""

    def apply_reply(self, reply: dict, sent_s: float) -> None:
        """Takes what it is to hold."""
        super().apply_reply(reply, sent_s)
        self.on_taken(self)


class SoakContext(abc.ABC):
    """What a host needs of the soak that it belongs to.

    Attributes:
      deployment: starts its node.
      program: arguments of `python` that start a node.
      targets: every start of a target.
      oracle: checks the tokens of what they hold.
    """

    deployment: processes.Deployment
    program: list[str]
    targets: list[mesh_target.MeshTarget]
    oracle: mesh_grant_oracle.GrantOracle

    @abc.abstractmethod
    def check_holds(self, target: mesh_target.MeshTarget) -> None:
        """Called whenever a target has taken what it is to hold."""


class Host(mesh_fleet.Host):
    """A host whose node is a process of its own."""

    def __init__(self, soak: SoakContext, number: int, service: str):
        super().__init__(soak, number, service)
        # The port of the metrics is fixed, and other soaks may run beside.
        self.ip = f"127.0.{10 + os.getpid() % 200}.{number}"
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

    def settings_text(self) -> str:
        """The settings file as the platform writes it."""
        at = self.addresses
        peer = int(at["peer"].rpartition(":")[2])
        return json.dumps(
            {
                "self_node": {
                    "node_id": f"host-{self.ip}",
                    "ip": self.ip,
                    "zone": f"zone-{self.ip[-1]}",
                    "limits": {"memory_mb": 300, "link_mbps": 1000.0},
                    "app_address": at["target"],
                    "service": self.service,
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
                    }
                },
            }
        )

    async def start_node(self) -> None:
        """Starts the node; callers find out when it serves."""
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
        """Starts another start of the target."""
        self.starts += 1
        self.target = self.make_target(Target)
        self.target.on_taken = self.fleet.check_holds
        self.target.behaviour.work_s = 0.02
        self.fleet.targets.append(self.target)
        self.fleet.oracle.watch(self.target)
        await self.target.start()
        return self.target
