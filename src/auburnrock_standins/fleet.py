"""A whole deployment on loopback: platform, targets and daemons."""

import asyncio
import dataclasses
import pathlib
import re

import msgspec

from auburnrock.shells import settings as settings_lib
from auburnrock_standins import forwarder as forwarder_lib
from auburnrock_standins import processes

ADDRESS = "127.0.0.1"
PORTS_PER_HOST = 4
LINKS_PER_HOST = 2
"""Links of a host that is reached through the forwarder."""
_INCARNATION = re.compile(r"event=started incarnation=(\w+)")


class HostSpec(msgspec.Struct, kw_only=True):
    """One host of a deployment.

    Attributes:
      name: name of the host's daemon.
      zone: availability zone.
      service: service of the target on it.
    """

    name: str
    zone: str
    service: str


class DeploymentSpec(msgspec.Struct, kw_only=True):
    """A deployment as its file describes it."""

    region: str
    hosts: list[HostSpec]


class Host:
    """One host: a daemon and a target with ports of their own.

    Attributes:
      spec: the host's description.
      settings: settings of the daemon.
      settings_path: the daemon's settings file.
      target_port: port of the target.
      daemon: the daemon's process; None before it is started.
      target: the target's process; None before it is started.
    """

    __slots__ = (
        "daemon",
        "settings",
        "settings_path",
        "spec",
        "target",
        "target_port",
    )

    def __init__(
        self,
        spec: HostSpec,
        settings: settings_lib.DaemonSettings,
        settings_path: pathlib.Path,
        target_port: int,
    ):
        self.spec = spec
        self.settings = settings
        self.settings_path = settings_path
        self.target_port = target_port
        self.daemon: processes.Process | None = None
        self.target: processes.Process | None = None

    def http_address(self) -> str:
        """host:port for callers."""
        return f"{self.settings.address}:{self.settings.http_port}"

    def peer_address(self) -> str:
        """host:port for other nodes and for the client library."""
        return f"{self.settings.address}:{self.settings.peer_port}"

    def output_incarnation(self) -> str:
        """Incarnation of the daemon's latest start, as its log says."""
        return _INCARNATION.findall(self.daemon.output())[-1]

    def control_address(self) -> str:
        """host:port for the operators' tool."""
        return f"{self.settings.address}:{self.settings.control_port}"

    def target_address(self) -> str:
        """host:port of the target."""
        return f"{self.settings.address}:{self.target_port}"


class Fleet:
    """Starts and stops the processes of a deployment.

    Attributes:
      deployment: owns the processes.
      hosts: the hosts by name.
      platform: the platform's process; None before it is started.
      target_options: what the targets are started with.
      forwarder: carries the links that can be cut: from the other nodes to
        each daemon's peer port, and from it to the platform; None if the
        nodes meet directly.
      statsd: host:port of a metrics' collector; empty for none.
    """

    def __init__(
        self,
        deployment: processes.Deployment,
        spec: DeploymentSpec,
        target_options: processes.TargetSpec | None = None,
        statsd: str = "",
        has_forwarder: bool = False,
    ):
        self.deployment = deployment
        self.has_forwarder = has_forwarder
        self.forwarder: processes.Process | None = None
        self.target_options = target_options or processes.TargetSpec()
        self.statsd = statsd
        self.platform: processes.Process | None = None
        links = LINKS_PER_HOST if has_forwarder else 0
        count = (PORTS_PER_HOST + links) * len(spec.hosts) + 1
        ports = processes.free_ports(count)
        self.platform_port = ports.pop()
        self.hosts: dict[str, Host] = {}
        for host_spec in spec.hosts:
            host_ports = [ports.pop() for _ in range(PORTS_PER_HOST)]
            link_ports = [ports.pop() for _ in range(links)]
            host = self._host(spec.region, host_spec, host_ports, link_ports)
            self.hosts[host_spec.name] = host

    def platform_address(self) -> str:
        """host:port of the platform."""
        return f"{ADDRESS}:{self.platform_port}"

    async def start(self) -> None:
        """Starts everything; returns when all processes serve."""
        await self.start_platform()
        if self.has_forwarder:
            await self.start_forwarder()
        await asyncio.gather(
            *(self.start_daemon(host) for host in self.hosts.values())
        )
        await asyncio.gather(
            *(self.start_target(host) for host in self.hosts.values())
        )

    async def start_platform(self) -> None:
        """Starts the platform."""
        self.platform = await self.deployment.start_platform(
            processes.PlatformSpec(port=self.platform_port)
        )

    async def start_forwarder(self) -> None:
        """Starts the forwarder with the links of all hosts."""
        pairs = []
        for host in self.hosts.values():
            settings = host.settings
            listen = f"{ADDRESS}:{settings.advertised_peer_port}"
            pairs.append(f"{listen}={host.peer_address()}")
            pairs.append(f"{settings.platform}={self.platform_address()}")
        self.forwarder = await self.deployment.start_forwarder(
            processes.ForwarderSpec(pairs)
        )

    async def cut(self, cuts: list[forwarder_lib.Cut]) -> None:
        """Replaces all cuts of links."""
        await processes.switch(self.forwarder.address, forwarder_lib.Cuts(cuts))

    def cut_from_platform(self, host: Host) -> forwarder_lib.Cut:
        """The cut between a daemon and the platform."""
        return forwarder_lib.Cut(self._first_link(host) + 1)

    def cut_from_nodes(self, host: Host) -> list[forwarder_lib.Cut]:
        """The cuts that no lease and no request of a daemon gets through.

        Only its own connections to other nodes stay.
        """
        port = host.settings.peer_port
        cuts = [forwarder_lib.Cut(self._first_link(host))]
        cuts += [
            forwarder_lib.Cut(self._first_link(other), sender_port=port)
            for other in self.hosts.values()
            if other is not host
        ]
        return cuts

    def _first_link(self, host: Host) -> int:
        return LINKS_PER_HOST * list(self.hosts).index(host.spec.name)

    async def start_daemon(self, host: Host) -> None:
        """Starts a host's daemon."""
        spec = processes.DaemonSpec(host.settings_path, host.http_address())
        host.daemon = await self.deployment.start_daemon(spec)

    async def start_target(self, host: Host) -> None:
        """Starts a host's target."""
        spec = dataclasses.replace(
            self.target_options,
            port=host.target_port,
            node=host.http_address(),
            service=host.spec.service,
        )
        host.target = await self.deployment.start_target(spec)

    def _host(
        self,
        region: str,
        spec: HostSpec,
        ports: list[int],
        link_ports: list[int],
    ) -> Host:
        http_port, peer_port, control_port, target_port = ports
        advertised_port, platform_port = link_ports or (0, self.platform_port)
        settings = settings_lib.DaemonSettings(
            name=spec.name,
            region=region,
            zone=spec.zone,
            address=ADDRESS,
            http_port=http_port,
            peer_port=peer_port,
            control_port=control_port,
            platform=f"{ADDRESS}:{platform_port}",
            advertised_peer_port=advertised_port,
            statsd=self.statsd,
        )
        path = self.deployment.folder / f"{spec.name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return Host(spec, settings, path, target_port)


def read_spec(path: pathlib.Path) -> DeploymentSpec:
    """Reads a deployment's file; raises msgspec.DecodeError."""
    return msgspec.json.decode(path.read_bytes(), type=DeploymentSpec)
