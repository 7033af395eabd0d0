"""Real processes on loopback: started, frozen, killed by pid, always ended."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time

import aiohttp
import msgspec

from auburnrock_standins import serving

START_LIMIT_S = 20.0
POLL_S = 0.02
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
_SERVING = re.compile(r"event=serving address=(\S+)")


@dataclasses.dataclass(slots=True)
class PlatformSpec:
    """A platform stand-in; port 0 picks one."""

    port: int = 0
    history: int = 10_000


@dataclasses.dataclass(slots=True)
class TargetSpec:
    """A target stand-in; see the flags of auburnrock_standins.target."""

    port: int = 0
    node: str = ""
    service: str = "demo"
    slots: int = 20
    queue: int = 100
    checks_grants: bool = True
    service_time_ms: int = 5
    cold_start_ms: int = 0
    cold_service_time_ms: int = 50
    print_executions: bool = False


@dataclasses.dataclass(slots=True)
class ForwarderSpec:
    """A forwarder; pairs as "listen host:port=to host:port"."""

    pairs: list[str]


@dataclasses.dataclass(slots=True)
class DaemonSpec:
    """A daemon: its settings file and the host:port where it serves."""

    settings: pathlib.Path
    address: str


class Process:
    """One program under its own pid, with its output in a file.

    Attributes:
      address: host:port where it serves; empty until it is ready.
      output_path: file with what it wrote.
    """

    def __init__(
        self,
        command: list[str],
        output_path: pathlib.Path,
        variables: dict[str, str] | None = None,
    ):
        self.command = command
        self.output_path = output_path
        self.address = ""
        environment = dict(os.environ) | (variables or {})
        environment["PYTHONPATH"] = f"{REPOSITORY / 'src'}:{REPOSITORY}"
        with output_path.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, *command],
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    @property
    def pid(self) -> int:
        """Its process identifier."""
        return self.popen.pid

    def output(self) -> str:
        """What it wrote so far."""
        return self.output_path.read_text(errors="replace")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if it still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def freeze(self) -> None:
        """Stops it as a frozen host would."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets it go on."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Ends it without warning, also when frozen."""
        self.send(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, limit_s: float = 10.0) -> int:
        """Asks it to end; its exit code. Raises subprocess.TimeoutExpired."""
        self.send(signal.SIGTERM)
        return self.popen.wait(limit_s)

    def _fail_if_ended(self, waited_s: float) -> None:
        code = self.popen.poll()
        if code is not None or waited_s > START_LIMIT_S:
            raise RuntimeError(
                f"{' '.join(self.command)} not ready after {waited_s:.1f} s,"
                f" exit code {code}; it wrote:\n{self.output()}"
            )

    async def ready(self, accepts_at: str = "") -> None:
        """Waits until it names its address, or accepts at a given one."""
        began_s = time.monotonic()
        while not self.address:
            if accepts_at and await accepts(accepts_at):
                self.address = accepts_at
            elif match := _SERVING.search(self.output()):
                self.address = match[1]
            else:
                self._fail_if_ended(time.monotonic() - began_s)
                await asyncio.sleep(POLL_S)


class Deployment:
    """Starts processes; ends every one when its `with` block is left."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.processes: list[Process] = []

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *exception) -> None:
        for process in self.processes:
            process.kill()

    def start(
        self, command: list[str], variables: dict[str, str] | None = None
    ) -> Process:
        """Starts `python` with arguments; does not wait for it."""
        path = self.folder / f"process-{len(self.processes)}.log"
        process = Process(command, path, variables)
        self.processes.append(process)
        return process

    async def start_program(self, module: str, spec) -> Process:
        """Starts a stand-in whose flags are the fields of its spec."""
        flags = [f"--{n}={v}" for n, v in dataclasses.asdict(spec).items()]
        process = self.start(["-m", module, *flags])
        await process.ready()
        return process

    async def start_platform(self, spec: PlatformSpec) -> Process:
        """Starts a platform stand-in that serves."""
        return await self.start_program("auburnrock_standins.platform", spec)

    async def start_target(self, spec: TargetSpec) -> Process:
        """Starts a target stand-in that serves."""
        return await self.start_program("auburnrock_standins.target", spec)

    async def start_forwarder(self, spec: ForwarderSpec) -> Process:
        """Starts a forwarder; its address takes the cuts."""
        pairs = [f"--pair={pair}" for pair in spec.pairs]
        module = "auburnrock_standins.forwarder"
        process = self.start(["-m", module, *pairs])
        await process.ready()
        return process

    async def start_daemon(self, spec: DaemonSpec) -> Process:
        """Starts a daemon that accepts connections at its address."""
        module = "auburnrock.programs.auburnrockd"
        process = self.start(["-m", module, "--settings", str(spec.settings)])
        await process.ready(spec.address)
        return process


async def accepts(address: str) -> bool:
    """Whether something accepts connections at host:port."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()
        return True
    return False


def free_ports(count: int) -> list[int]:
    """Ports that are free for both TCP and UDP now.

    Below the range that systems give to outgoing connections: one of those
    could take a port before a process that starts later binds it.
    """
    with contextlib.ExitStack() as sockets:
        ports = []
        while len(ports) < count:
            port = random.randrange(LOWEST_PORT, HIGHEST_PORT)
            with contextlib.suppress(OSError):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    opened = socket.socket(socket.AF_INET, kind)
                    sockets.enter_context(opened).bind(("127.0.0.1", port))
                ports.append(port)
    return ports


async def switch(address: str, switches: msgspec.Struct) -> None:
    """Replaces the switches of a stand-in at host:port."""
    async with aiohttp.request(
        "POST",
        f"http://{address}{serving.SWITCHES_PATH}",
        data=msgspec.json.encode(switches),
        raise_for_status=True,
    ):
        pass


async def fetch(address: str, path: str, answer_type):
    """Reads a JSON report from host:port."""
    async with aiohttp.request(
        "GET", f"http://{address}{path}", raise_for_status=True
    ) as response:
        return msgspec.json.decode(await response.read(), type=answer_type)
