"""Clients that ignore all limits, and node processes that must survive them.

The store and the targets are stand-ins in this process. The nodes run as
processes of their own, with little memory and few descriptors in their
settings, so that a small crowd of clients reaches the limits.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import contextlib
import copy
import json
import os
import pathlib
import socket
import threading
import time

import aiohttp
import msgspec
import psutil

from auburnrock_standins import mesh_store
from auburnrock_standins import mesh_target
from auburnrock_standins import processes
from tests.common import mesh_fleet
from tests.common import mesh_soak_faults

PROGRAM = pathlib.Path(__file__).resolve().parents[2] / "src" / "mesh_node.py"
MEMORY_MB = 128
"""Memory limit in the settings of each node."""

DESCRIPTORS_MAX = 600
"""Descriptor limit in the settings of each node."""

HEADER_BYTES = 16_384
BODY_BYTES = 1 << 20
LONG_RESPONSE_BYTES = 1 << 20
CROWD_S = 3.0
"""Longest time for which a crowd is active."""

SAMPLE_S = 0.02
SERVED_TIMEOUT_S = 20.0
TARGET_SERVICE = "booker"
ENTRY_SERVICE = "portal"

LONG_REQUEST = (
    b"GET /check/long HTTP/1.1\r\nhost: a.example\r\n"
    b"auburnrock-attempt-id: at-long\r\n\r\n"
)
CHUNKED_HEAD = (
    b"POST /check/x HTTP/1.1\r\nhost: a.example\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)

Client = Callable[[], Awaitable[None]]


class Target(mesh_target.MeshTarget):
    """A target whose responses to requests for `long` are long.

    Attributes:
      received_bytes: size of the body of the last request.
    """

    received_bytes = 0

    def answer(
        self, writer: asyncio.StreamWriter, attempt: str, path: str
    ) -> bool:
        """Writes a response; long paths have a long one."""
        if self.executed_requests:
            # Another response may have cleared it.
            self.received_bytes = len(self.executed_requests[-1].body)
            self.executed_requests.clear()
        if not path.endswith("long"):
            return super().answer(writer, attempt, path)
        writer.write(
            f"HTTP/1.1 200 S\r\nAuburnrock-Attempt-Id: {attempt}\r\n"
            f"Auburnrock-Response-Seal: {self.name}.{attempt}\r\n"
            f"Content-Length: {LONG_RESPONSE_BYTES}\r\n\r\n".encode()
            + bytes(LONG_RESPONSE_BYTES)
        )
        return True


class Node:
    """A node process with its target, and the most that it has used.

    Attributes:
      caller: address for callers.
      rss_bytes: highest resident memory that was sampled.
      descriptors: highest number of open descriptors that was sampled.
    """

    def __init__(self, number: int, service: str, store: str, memory_mb: int):
        self.service = service
        self.memory_mb = memory_mb
        self.ip = f"127.0.{10 + os.getpid() % 200}.{number}"
        names = ("caller", "ready", "control", "target", "peer")
        self.addresses = {
            name: f"{self.ip}:{port}"
            for name, port in zip(
                names, mesh_fleet.free_ports(self.ip, 5), strict=True
            )
        }
        self.addresses["store"] = store
        self.caller = self.addresses["caller"]
        self.process: processes.Process | None = None
        self.target: Target | None = None
        self.pid = 0
        self.rss_bytes = 0
        self.descriptors = 0

    async def start(self, deployment: processes.Deployment) -> None:
        """Starts the process and the target beside it."""
        settings = json.loads(
            mesh_soak_faults.settings_text(
                self.ip, self.service, self.addresses
            )
        )
        limits = settings["self_node"]["limits"]
        limits["memory_mb"] = self.memory_mb
        limits["max_fds"] = DESCRIPTORS_MAX
        path = deployment.folder / f"{self.ip}.json"
        path.write_text(json.dumps(settings))
        self.process = deployment.start(
            [str(PROGRAM)], {"AUBURNROCK_CONFIG": str(path)}
        )
        self.pid = self.process.pid
        self.target = Target(
            f"t-{self.ip}",
            self.service,
            self.addresses["target"],
            self.addresses["control"],
            False,
        )
        self.target.zone = settings["self_node"]["zone"]
        await self.target.start()

    def sample(self) -> None:
        """Measures the process; does nothing once it has ended."""
        with contextlib.suppress(psutil.Error):
            process = psutil.Process(self.pid)
            self.rss_bytes = max(self.rss_bytes, process.memory_info().rss)
            self.descriptors = max(self.descriptors, process.num_fds())

    def figures(self) -> str:
        """Returns the most that the process has used, for messages."""
        return (
            f"{self.service}: {self.rss_bytes / (1 << 20):.0f} MB,"
            f" {self.descriptors} descriptors"
        )


class World:
    """A store, a node beside its target, and possibly an entry node.

    Attributes:
      nodes: the node beside the requested target, then the entry node.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        with_entry: bool = False,
        memory_mb: int = MEMORY_MB,
        body_bytes: int = BODY_BYTES,
    ):
        self.memory_mb = memory_mb
        self.body_bytes = body_bytes
        self.deployment = processes.Deployment(folder)
        self.with_entry = with_entry
        self.nodes: list[Node] = []
        self.runner = None
        self.sampling = threading.Event()
        self.sampler = threading.Thread(target=self._sample, daemon=True)

    async def __aenter__(self) -> "World":
        self.deployment.__enter__()
        store, self.runner = await mesh_store.start()
        host, port = self.runner.addresses[0][:2]
        configuration = copy.deepcopy(mesh_fleet.CONFIGURATION)
        configuration["limits"]["max_header_bytes"] = HEADER_BYTES
        configuration["limits"]["max_body_bytes"] = self.body_bytes
        rules = configuration["listeners"][0]["rule_set"]
        rules.append(copy.deepcopy(rules[-1]))
        rules[-1]["name"] = "r-upload"
        rules[-1]["target_latency"] = "20s"
        rules[-1]["match"]["path_prefix"] = "/upload/"
        rules[-1]["action"]["timeout"] = "20s"
        configuration["clusters"][0]["sharded"] = False
        store.put("op/config", msgspec.msgpack.encode(configuration))
        services = [TARGET_SERVICE]
        if self.with_entry:
            services.append(ENTRY_SERVICE)
        for number, service in enumerate(services, 1):
            node = Node(number, service, f"{host}:{port}", self.memory_mb)
            self.nodes.append(node)
            await node.start(self.deployment)
        await self.wait_until_served()
        self.sampler.start()
        return self

    async def __aexit__(self, *exception) -> None:
        self.sampling.set()
        for node in self.nodes:
            if node.target is not None:
                await node.target.crash()
        self.deployment.__exit__()
        if self.runner is not None:
            await self.runner.cleanup()

    def _sample(self) -> None:
        while not self.sampling.wait(SAMPLE_S):
            for node in self.nodes:
                node.sample()

    async def wait_until_served(self) -> None:
        """Waits until each node answers one ordinary request."""
        async with aiohttp.ClientSession() as session:
            for node in self.nodes:
                async with asyncio.timeout(SERVED_TIMEOUT_S):
                    while not await is_served(session, node.caller):
                        await asyncio.sleep(0.05)

    async def attack(self, clients: list[Client]) -> None:
        """Runs all clients at once, for CROWD_S at most, and checks after it.

        Clients whose connection is closed have ended. All have left when one
        ordinary request must be answered.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CROWD_S):
                await asyncio.gather(*(run(client) for client in clients))
        figures = "; ".join(node.figures() for node in self.nodes)
        for node in self.nodes:
            assert node.process.popen.poll() is None, figures
        try:
            await self.wait_until_served()
        except TimeoutError:
            raise AssertionError(f"nothing served: {figures}") from None
        self.check_limits()

    def check_limits(self) -> None:
        """Checks that the processes live and stayed within their settings."""
        for node in self.nodes:
            # All clients may have ended before the first sample.
            node.sample()
        figures = "; ".join(node.figures() for node in self.nodes)
        print(figures)
        for node in self.nodes:
            assert node.process.popen.poll() is None, figures
            assert node.process.pid == node.pid
            assert node.rss_bytes <= self.memory_mb << 20, figures
            assert node.descriptors <= DESCRIPTORS_MAX, figures

    async def upload(self, address: str, size: int) -> tuple[int, int]:
        """Sends one request with a long body, while nothing else goes on.

        Returns:
          The status, and the size of the body as the target received it.
        """
        headers = {
            "Host": "a.example",
            "Auburnrock-Attempt-Id": "at-upload",
            "Auburnrock-Deadline-Ms": "20000",
        }
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{address}/upload/x", headers=headers, data=bytes(size)
            ) as response,
        ):
            await response.read()
            return response.status, self.nodes[0].target.received_bytes


async def is_served(session: aiohttp.ClientSession, address: str) -> bool:
    """Sends one ordinary request; returns whether the target answered it."""
    headers = {
        "Host": "a.example",
        "Auburnrock-Attempt-Id": f"at-{time.monotonic_ns()}",
        "Auburnrock-Deadline-Ms": "1000",
    }
    try:
        async with session.get(
            f"http://{address}/check/x",
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=3.0),
        ) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def run(client: Client) -> None:
    """Runs a client until it ends or its connection is closed."""
    with contextlib.suppress(OSError):
        await client()


@contextlib.asynccontextmanager
async def connection(address: str, receive_bytes: int = 0):
    """A connection of a client; its receive buffer may be small."""
    host, _, port = address.rpartition(":")
    with socket.socket() as wire:
        wire.setblocking(False)
        if receive_bytes:
            wire.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(wire, (host, int(port)))
        yield wire


def sender(
    address: str, first: bytes, chunk: bytes, total_bytes: int
) -> Client:
    """Returns a client that sends a chunk again and again.

    Args:
      address: address for callers.
      first: bytes sent first.
      chunk: bytes sent repeatedly after them.
      total_bytes: bytes after which it only keeps its connection open.
    """

    async def send() -> None:
        loop = asyncio.get_running_loop()
        async with connection(address) as wire:
            await loop.sock_sendall(wire, first)
            for _ in range(total_bytes // len(chunk)):
                await loop.sock_sendall(wire, chunk)
                await asyncio.sleep(0)
            await asyncio.sleep(CROWD_S)

    return send


def slow_reader(
    address: str, requests: int, read_bytes: int, pause_s: float
) -> Client:
    """Returns a client that requests long responses and reads them slowly.

    Args:
      address: address for callers.
      requests: number of pipelined requests, one every `pause_s`.
      read_bytes: bytes read in each pause; 0 to read nothing.
      pause_s: pause between two requests, and between two reads.
    """

    async def read() -> None:
        loop = asyncio.get_running_loop()
        async with connection(address, 4_096) as wire:
            for _ in range(requests):
                await loop.sock_sendall(wire, LONG_REQUEST)
                if read_bytes:
                    await loop.sock_recv(wire, read_bytes)
                await asyncio.sleep(pause_s)
            while True:
                if read_bytes and not await loop.sock_recv(wire, read_bytes):
                    return
                await asyncio.sleep(pause_s)

    return read


def silent(address: str) -> Client:
    """Returns a client that connects and sends nothing."""

    async def stay() -> None:
        async with connection(address):
            await asyncio.sleep(CROWD_S)

    return stay


def passing(address: str, times: int) -> Client:
    """Returns a client that connects and leaves, a number of times."""

    async def come_and_go() -> None:
        for _ in range(times):
            async with connection(address):
                await asyncio.sleep(0.01)

    return come_and_go


def several(count: int, make: Callable[..., Client], *args) -> list[Client]:
    """Returns a number of equal clients."""
    return [make(*args) for _ in range(count)]


def small_headers(size: int) -> bytes:
    """Returns header lines of about a total size, as many as possible."""
    return b"a:\r\n" * (size // 4)


def pipelined_request(header_bytes: int) -> bytes:
    """Returns a request whose head is mostly many small headers."""
    return (
        b"GET /check/x HTTP/1.1\r\nhost: a.example\r\n"
        + small_headers(header_bytes)
        + b"\r\n"
    )


def mixed_crowd(address: str) -> Iterator[Client]:
    """Yields clients of every shape, a few of each."""
    size = 8 << 20
    chunk = 1 << 16
    yield from several(15, slow_reader, address, 4, 0, 0.2)
    yield from several(15, slow_reader, address, 4, 1_024, 0.1)
    yield from several(
        10, sender, address, b"GET / HTTP/1.1\r\nx: ", b"a" * chunk, size
    )
    yield from several(10, sender, address, b"\r\n", b"\r\n" * 8_192, size)
    yield from several(
        10, sender, address, CHUNKED_HEAD + b"0\r\nx", b"a" * chunk, size
    )
    yield from several(
        10, sender, address, b"", pipelined_request(12_000) * 4, size
    )
    yield from several(
        15,
        sender,
        address,
        CHUNKED_HEAD + b"%x\r\n" % (BODY_BYTES - 1),
        bytes(chunk),
        BODY_BYTES - chunk,
    )
    yield from several(100, silent, address)
    yield from several(20, passing, address, 20)
