"""A small fleet of nodes in one event loop, with stand-ins for the rest."""

import asyncio
import copy
import functools
import os
import socket

import aiohttp
import msgspec

from auburnrock.engine.mesh import model
from auburnrock.platform import protocol
from auburnrock.platform import store_client as platform_store
from auburnrock.shells import clock
from auburnrock.shells.mesh import node as node_module
from auburnrock_standins import mesh_store
from auburnrock_standins import mesh_target

HEARTBEAT_S = 0.2
CONFIGURATION = {
    "version": 7,
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "listeners": [
        {
            "host": "a.example",
            "rule_set": [
                {
                    "name": "r-lookup",
                    "route_kind": "idempotent",
                    "target_latency": "400ms",
                    "priority": 2,
                    "match": {"path_prefix": "/lookup/"},
                    "action": {
                        "service": "portal",
                        "timeout": "1000ms",
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "r-book",
                    "route_kind": "non_idempotent",
                    "target_latency": "500ms",
                    "priority": 1,
                    "match": {"path_prefix": "/book/"},
                    "action": {
                        "service": "booker",
                        "timeout": "1200ms",
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "r-check",
                    "route_kind": "idempotent",
                    "target_latency": "120ms",
                    "priority": 1,
                    "match": {"path_prefix": "/check/"},
                    "action": {
                        "service": "booker",
                        "timeout": "1000ms",
                        "max_attempts": 2,
                    },
                },
            ],
        }
    ],
    "clusters": [
        {
            "name": "portal",
            "max_connections": 120,
            "sharded": True,
            "health_path": "/health",
        },
        {
            "name": "booker",
            "max_connections": 120,
            "health_path": "/health",
        },
    ],
}


RUNS = 120
"""Number of concurrent test runs on a machine that use separate ports."""

PORTS_OF_RUN = 100
"""Ports of one test run. The ports of all runs are below the range that the
system uses for outgoing connections."""


def free_ports(address: str, count: int) -> list[int]:
    """Returns free ports, outside the range for outgoing connections."""
    found = []
    # A restarted target binds its port again, so that no other run may bind it
    # meanwhile.
    port = 20_000 + os.getpid() % RUNS * PORTS_OF_RUN
    while len(found) < count:
        port += 1
        with socket.socket() as wire:
            wire.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                wire.bind((address, port))
            except OSError:
                continue
        found.append(port)
    return found


class Host:
    """A host: its node, its target and its addresses."""

    def __init__(
        self,
        fleet: "Fleet",
        number: int,
        service: str,
        zone: str = "piran",
    ):
        self.fleet = fleet
        self.ip = f"127.0.1.{number}"
        self.service = service
        self.zone = zone
        # Address of a separate link to the store, if any.
        self.store_address = ""
        ports = free_ports(self.ip, 7)
        names = ("peer", "caller", "ready", "control", "target", "metrics")
        self.addresses = {
            name: f"{self.ip}:{port}"
            for name, port in zip(names, ports, strict=False)
        }
        self.node: node_module.Node | None = None
        self.target: mesh_target.MeshTarget | None = None
        self.starts = 0
        self.node_starts = 0

    def settings(self) -> model.Settings:
        """Returns the settings of the host's node."""
        return model.Settings(
            host=f"host-{self.ip}",
            ip=self.ip,
            zone=self.zone,
            zones={self.zone: "primorska"},
            service=self.service,
            target_address=self.addresses["target"],
            caller_address=self.addresses["caller"],
            ready_address=self.addresses["ready"],
            control_address=self.addresses["control"],
            peer_address=self.addresses["peer"],
            metrics_address=self.addresses["metrics"],
            store_address=self.store_address or self.fleet.store_address,
            heartbeat_ms=HEARTBEAT_S * 1_000,
            memory_bytes=300 << 20,
            link_mbps=1_000.0,
            bounds=model.Bounds(
                2_000.0, 6_000.0, 2_000.0, 10_000.0, 0.2, 60.0, 10_000.0
            ),
            is_bootstrap=self.node_starts <= 1,
        )

    async def start_node(self) -> None:
        """Starts the node."""
        self.node_starts += 1
        self.node = node_module.Node(
            self.settings(),
            protocol.PlatformProtocol(),
            functools.partial(
                platform_store.StoreClient, now_ms=clock.exact_ms
            ),
        )
        await self.node.start()

    async def kill_node(self) -> None:
        """Stops the node at once, without deregistration."""
        await self.node.abort()
        self.node = None

    async def start_target(self) -> mesh_target.MeshTarget:
        """Starts a new incarnation of the target."""
        self.starts += 1
        self.target = self.make_target(mesh_target.MeshTarget)
        await self.target.start()
        return self.target

    def make_target(
        self, kind: type[mesh_target.MeshTarget]
    ) -> mesh_target.MeshTarget:
        """Returns a target of this host that is not started yet."""
        made = kind(
            f"t-{self.ip}-{self.starts}",
            self.service,
            self.addresses["target"],
            self.addresses["control"],
            self.service == "portal",
            HEARTBEAT_S,
        )
        made.zone = self.zone
        return made


class Fleet:
    """Hosts with one common store.

    Attributes:
      store: the stand-in of the store.
      hosts: hosts in the order of their addresses.
      session: HTTP session of the callers.
    """

    def __init__(self):
        self.store: mesh_store.MeshStore | None = None
        self.runner = None
        self.hosts: list[Host] = []
        self.session: aiohttp.ClientSession | None = None
        self.store_address = ""
        self.attempts = 0

    async def start(
        self, *services: str, zones: tuple[str, ...] = ("piran",)
    ) -> None:
        """Starts the store and a host for each service, in zones by turns."""
        self.store, self.runner = await mesh_store.start()
        host, port = self.runner.addresses[0][:2]
        self.store_address = f"{host}:{port}"
        self.configure()
        self.session = aiohttp.ClientSession()
        for number, service in enumerate(services, 1):
            zone = zones[(number - 1) % len(zones)]
            self.hosts.append(Host(self, number, service, zone))
        for each in self.hosts:
            await each.start_node()
            await each.start_target()
        await self.wait_until(self.is_settled)

    def configure(self, **changes) -> None:
        """Writes a configuration, with changed fields, as the operator does."""
        configuration = copy.deepcopy(CONFIGURATION) | changes
        self.store.put("op/config", msgspec.msgpack.encode(configuration))

    def is_settled(self) -> bool:
        """Whether all keys are held and every node knows all targets' loads."""
        portals = [h for h in self.hosts if h.service == "portal"]
        if sum(host.target.held_key_count() for host in portals) < model.KEYS:
            return False
        for host in self.hosts:
            known = host.node.dispatcher.groups
            known_count = sum(
                1
                for group in known.values()
                for candidate in group.by_name.values()
                if candidate.report.slots
            )
            if known_count < len(self.hosts):
                return False
        return True

    async def wait_until(self, condition, limit_s: float = 15.0) -> None:
        """Waits for a condition; raises TimeoutError after `limit_s`."""
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def send_request(
        self,
        host: Host,
        path: str,
        *,
        key: int | None = None,
        deadline_ms: int = 1_000,
        method: str = "GET",
        **options,
    ) -> tuple[int, bytes, dict]:
        """Sends a caller's request; returns status, body and headers."""
        self.attempts += 1
        headers = {
            "Host": "a.example",
            "Auburnrock-Attempt-Id": f"at-{self.attempts}",
            "Auburnrock-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["Auburnrock-Shard-Key"] = str(key)
        async with self.session.request(
            method,
            f"http://{host.addresses['caller']}{path}",
            headers=headers | options.pop("headers", {}),
            **options,
        ) as response:
            return (
                response.status,
                await response.read(),
                {name.lower(): v for name, v in response.headers.items()},
            )

    def execution_count(self, attempt: str) -> int:
        """Returns how often targets began to execute an attempt."""
        return sum(
            1
            for host in self.hosts
            for run in host.target.executed_requests
            if run.attempt == attempt
        )

    async def stop(self) -> None:
        """Stops all targets, nodes and the store."""
        await self.session.close()
        for host in self.hosts:
            if host.target is not None:
                await host.target.crash()
            if host.node is not None:
                await host.kill_node()
        await self.runner.cleanup()
