"""Stand-in of a target that obtains its keys by heartbeats.

It times its holds on its own clock, frees ranges that a reply leaves out, and
records every request that it executes for the checks of tests.
"""

import asyncio
from collections.abc import Callable
import contextlib
import time

import aiohttp
import msgspec

HEALTH_PATH = "/health"
"""Path at which a target names itself."""


class Hold(msgspec.Struct):
    """A range of keys that the target holds.

    Attributes:
      first: lowest key of the range.
      last: highest key of the range.
      fence: fencing token of the range.
      until_s: end of the hold on the target's monotonic clock, in seconds.
    """

    first: int
    last: int
    fence: int
    until_s: float


class ExecutedRequest(msgspec.Struct):
    """A request that the target began to execute."""

    attempt: str
    key: int
    deadline_ms: int
    caller: str
    body: bytes
    at_s: float


class Behaviour(msgspec.Struct):
    """How the target responds to requests.

    Attributes:
      work_s: execution time of a request, in seconds.
      lose: number of further requests that are executed without a response.
      extra: whether each response is sent twice.
      unframed: whether responses have no length.
      cut: whether responses are cut off within the body.
      status: HTTP status of the responses.
      crash_path: prefix of the paths of requests that crash the target; empty
        for none.
      limit: value of the limit that responses name; empty for none.
      leaving: whether responses say that the target leaves.
      refuse: number of further requests that are refused.
      names_refused: whether a refusal echoes the attempt.
      repeats_refusal: whether the last refusal on a connection is sent again
        before the response to the next request.
      head_bytes: number of bytes of the response after which the connection is
        closed; 0 for all.
    """

    work_s: float = 0.0
    lose: int = 0
    extra: bool = False
    unframed: bool = False
    cut: bool = False
    status: int = 200
    crash_path: str = ""
    limit: str = ""
    leaving: bool = False
    refuse: int = 0
    names_refused: bool = True
    repeats_refusal: bool = False
    head_bytes: int = 0


class MeshTarget:
    """One incarnation of a target.

    Attributes:
      name: name of the target.
      executed_requests: requests that the target began to execute.
      acknowledged: number of acknowledged heartbeats.
      holds: held ranges by first key.
      behaviour: how the target responds.
      replies_without_holds: number of heartbeat replies without holds.
      cold_until_s: end of the cold start, which heartbeats report.
      on_request_received: called with every request that is not answered
        with 421.
      on_hold_accepted: called with every accepted range, for an oracle.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        control: str,
        keyed: bool,
        heartbeat_s: float = 0.2,
        slots: int = 18,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.control = control
        self.keyed = keyed
        self.heartbeat_s = heartbeat_s
        self.slots = slots
        self.started_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.acknowledged = 0
        self.state = "ready"
        self.zone = "piran"
        self.executed_requests: list[ExecutedRequest] = []
        self.holds: dict[int, Hold] = {}
        self.freed: list[list] = []
        self.behaviour = Behaviour()
        self.replies_without_holds = 0
        self.on_hold_accepted: Callable[[Hold], None] = lambda hold: None
        self.cold_until_s = 0.0
        self.on_request_received: Callable[[], None] = lambda: None
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.refusals: dict[asyncio.StreamWriter, bytes] = {}
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to accept requests and to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.task = asyncio.create_task(self.send_heartbeats())

    async def crash(self) -> None:
        """Stops at once: connections are reset and heartbeats end."""
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.holds.clear()

    async def send_heartbeats(self) -> None:
        """Sends heartbeats, more often while freed ranges are unreported."""
        async with aiohttp.ClientSession() as session:
            while True:
                # The next heartbeat contains all that a lost one contained.
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await self.send_heartbeat(session)
                await asyncio.sleep(0.05 if self.freed else self.heartbeat_s)

    async def send_heartbeat(self, session: aiohttp.ClientSession) -> None:
        """Sends one heartbeat and applies its reply."""
        self.sequence += 1
        sent_s = time.monotonic()
        self.expire(sent_s)
        cold_ms = int(1_000 * max(0.0, self.cold_until_s - sent_s))
        message = {
            "address": self.address,
            "born": self.started_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq_num": self.sequence,
                "cold_remaining": f"{cold_ms}ms",
            },
        }
        freed = list(self.freed)
        if self.keyed:
            message["holds"] = [
                [hold.first, hold.last, hold.fence]
                for hold in self.holds.values()
            ]
            message["freed"] = freed
        async with session.put(
            f"http://{self.control}/auburnrock/instances/{self.name}",
            data=msgspec.msgpack.encode(message),
            timeout=aiohttp.ClientTimeout(total=1.0),
        ) as response:
            if response.status != 200:
                # Not acknowledged; the next heartbeat repeats it.
                return
            self.acknowledged += 1
            reply = msgspec.msgpack.decode(await response.read())
        del self.freed[: len(freed)]
        if "holds" in reply:
            self.apply_reply(reply, sent_s)
        else:
            self.replies_without_holds += 1

    async def send_one_heartbeat(self) -> bool:
        """Sends a heartbeat; returns if it is acknowledged."""
        before = self.acknowledged
        async with aiohttp.ClientSession() as session:
            await self.send_heartbeat(session)
        return self.acknowledged > before

    async def say_farewell(self) -> bool:
        """Ends the heartbeats and deregisters; returns if it is acknowledged.

        The target continues to serve.
        """
        self.task.cancel()
        url = f"http://{self.control}/auburnrock/instances/{self.name}"
        async with (
            aiohttp.ClientSession() as session,
            session.delete(url) as response,
        ):
            return response.status == 200

    def apply_reply(self, reply: dict, sent_s: float) -> None:
        """Holds the ranges of a reply and frees all others.

        Args:
          reply: the reply to a heartbeat.
          sent_s: when the heartbeat was sent; the holds are timed from then.
        """
        hold_s = float(reply["hold_time"].removesuffix("ms")) / 1_000
        rows = sorted(reply["holds"])
        for hold in self.holds.values():
            for first, last in _uncovered_parts(hold, rows):
                handover = f"h-{self.name}-{first}"
                self.freed.append([first, last, handover])
        self.holds.clear()
        for first, last, fence, _ in rows:
            hold = Hold(first, last, fence, sent_s + hold_s)
            self.holds[first] = hold
            self.on_hold_accepted(hold)

    def expire(self, now_s: float) -> None:
        """Removes the holds that have expired."""
        for first, hold in list(self.holds.items()):
            if hold.until_s <= now_s:
                del self.holds[first]

    def holds_key(self, key: int) -> bool:
        """Whether the target holds a key now."""
        return self.holds_any_in(key, key)

    def holds_any_in(self, first: int, last: int) -> bool:
        """Whether the target holds a key from `first` to `last` now."""
        self.expire(time.monotonic())
        return any(
            hold.first <= last and first <= hold.last
            for hold in self.holds.values()
        )

    def held_key_count(self) -> int:
        """Returns the number of held keys, including unnoticed expiries."""
        return sum(hold.last - hold.first + 1 for hold in self.holds.values())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.refusals.pop(writer, None)
            writer.close()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns False to end the connection."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {}
        for line in head[1:-2]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size)
        attempt = headers.get("auburnrock-attempt-id", "")
        key = int(headers.get("auburnrock-shard-key", -1))
        if head[0].split()[1] == HEALTH_PATH:
            writer.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                f"Auburnrock-Instance-Id: {self.name}\r\n\r\n".encode()
            )
            return True
        addressed_target = headers.get("auburnrock-target-instance")
        if addressed_target not in (None, self.name) or (
            self.keyed and key >= 0 and not self.holds_key(key)
        ):
            writer.write(
                "HTTP/1.1 421 M\r\nAuburnrock-Not-Executed: 1\r\n"
                f"Auburnrock-Attempt-Id: {attempt}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        self.on_request_received()
        if self.behaviour.repeats_refusal and writer in self.refusals:
            writer.write(self.refusals[writer])
            await writer.drain()
        if self.behaviour.refuse > 0:
            self.behaviour.refuse -= 1
            named = f"Auburnrock-Attempt-Id: {attempt}\r\n"
            refusal = (
                "HTTP/1.1 503 R\r\nAuburnrock-Not-Executed: 1\r\n"
                f"{named if self.behaviour.names_refused else ''}"
                "Content-Length: 0\r\n\r\n"
            ).encode()
            self.refusals[writer] = refusal
            writer.write(refusal)
            return True
        self.executed_requests.append(
            ExecutedRequest(
                attempt,
                key,
                int(headers.get("auburnrock-deadline-ms", 0)),
                headers.get("auburnrock-caller-service", ""),
                body,
                time.monotonic(),
            )
        )
        await asyncio.sleep(self.behaviour.work_s)
        path = head[0].split(" ")[1]
        crash_path = self.behaviour.crash_path
        if crash_path and path.startswith(crash_path):
            await self.crash()
            return False
        return self.answer(writer, attempt, path)

    def answer(
        self, writer: asyncio.StreamWriter, attempt: str, path: str
    ) -> bool:
        """Writes a response according to the behaviour.

        Returns False to end the connection.
        """
        behaviour = self.behaviour
        if behaviour.lose > 0:
            behaviour.lose -= 1
            writer.transport.abort()
            return False
        body = f"{self.name} {path}".encode()
        head = (
            f"HTTP/1.1 {behaviour.status} S\r\n"
            f"Auburnrock-Attempt-Id: {attempt}\r\n"
            f"Auburnrock-Response-Seal: {self.name}.{attempt}\r\n"
        )
        if behaviour.limit:
            head += f"Server-Limit: {behaviour.limit}\r\n"
        if behaviour.leaving:
            head += "Server-Leaving: 1\r\n"
        head = head.encode()
        if behaviour.unframed:
            writer.write(head + b"Connection: close\r\n\r\n" + body)
            return False
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        if behaviour.head_bytes:
            writer.write((head + length + body)[: behaviour.head_bytes])
            return False
        if behaviour.cut:
            writer.write(head + length + body[:3])
            return False
        writer.write(head + length + body)
        if behaviour.extra:
            writer.write(head + length + body)
        return True


def _uncovered_parts(hold: Hold, rows: list[list]) -> list[tuple[int, int]]:
    """Returns the parts of a hold that none of the sorted rows contains."""
    parts = []
    first = hold.first
    for row in rows:
        if row[0] > hold.last:
            break
        if row[1] < first:
            continue
        if row[0] > first:
            parts.append((first, row[0] - 1))
        first = row[1] + 1
    if first <= hold.last:
        parts.append((first, hold.last))
    return parts
