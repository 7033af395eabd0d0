"""Stand-in of an upstream, as PROTOCOL.md describes a sound one."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import math
import time

import msgspec

from review.fleet2 import http

KEYS = 65_536
QUEUE = 72
ACK_S = 1.0
RELEASE_BEAT_S = 0.1
CLOCK_SLOW = 1.02
"""A clock that measures a hold may run 2% slow."""


@dataclasses.dataclass(slots=True)
class Run:
    """A request that the upstream has begun to work on."""

    attempt: str
    key: int
    caller: str
    began_s: float
    path: str


@dataclasses.dataclass(slots=True)
class Row:
    """A range of keys with its fencing token."""

    first: int
    last: int
    fence: int


class Upstream:
    """One incarnation of an upstream beside a node.

    Attributes:
      rows: ranges that it holds, in order.
      hold_until_s: end of the hold on its clock.
      leaving_rows: ranges that it no longer holds and still works on.
      freed: rows that it has released since the last acknowledged heartbeat.
      running: requests that it works on, by number.
      runs: all requests that it began to work on.
      arrived: ids of all requests that reached it.
      loses_answer: whether the answer of a run is lost.
      beating: held while a heartbeat has no answer.
      ended_s: when it ended.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        control: str,
        zone: str,
        sharded: bool,
        heartbeat_s: float,
        work_s: float,
        slots: int,
        record: Callable[[str], None],
    ):
        self.name = name
        self.service = service
        self.address = address
        self.control = control
        self.zone = zone
        self.sharded = sharded
        self.heartbeat_s = heartbeat_s
        self.work_s = work_s
        self.slots = slots
        self.record = record
        self.born_ms = time.time_ns() // 1_000_000
        self.state = "ready"
        self.sequence = 0
        self.rows: list[Row] = []
        self.hold_until_s = 0.0
        self.leaving_rows: list[Row] = []
        self.freed: list[list] = []
        self.seen = [0] * KEYS
        self.running: dict[int, Run] = {}
        self.numbers = 0
        self.runs: list[Run] = []
        self.arrived: set[str] = set()
        self.waiting = 0
        self.is_up = False
        self.loses_answer: Callable[[Run], bool] = lambda run: False
        self.room = asyncio.Semaphore(slots)
        self.server = http.Server(self.handle)
        self.beating = asyncio.Lock()
        self.ended_s = math.inf
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to accept requests and to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        await self.server.start(host, int(port))
        self.is_up = True
        self.record(f"upstream {self.name} starts at {self.address}")
        self.task = asyncio.create_task(self.send_heartbeats())

    def kill(self) -> None:
        """Ends at once."""
        if not self.is_up:
            return
        self.is_up = False
        self.ended_s = time.monotonic()
        if self.task is not None:
            self.task.cancel()
        self.server.stop()
        self.rows = []
        self.leaving_rows = []
        self.record(f"upstream {self.name} ends")

    def held_rows(self) -> list[Row]:
        """Returns the ranges that it holds now."""
        if self.rows and time.monotonic() >= self.hold_until_s:
            self.rows = []
            self.record(f"upstream {self.name}: its hold has run out")
        return self.rows

    def holds(self, key: int) -> bool:
        """Whether it holds a key now."""
        return any(row.first <= key <= row.last for row in self.held_rows())

    def held_keys(self) -> int:
        """Returns the number of keys that it holds now."""
        return sum(row.last - row.first + 1 for row in self.held_rows())

    async def send_heartbeats(self, delay_s: float = 0.0) -> None:
        """Sends heartbeats, the first one after a delay."""
        await asyncio.sleep(delay_s)
        while True:
            await self.send_heartbeat()
            is_busy = bool(self.freed or self.leaving_rows)
            await asyncio.sleep(RELEASE_BEAT_S if is_busy else self.heartbeat_s)

    def heartbeat(self) -> dict:
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        self._finish_releases()
        message = {
            "address": self.address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq_num": self.sequence,
                "cold_remaining": "0ms",
            },
        }
        if self.sharded:
            rows = [*self.held_rows(), *self.leaving_rows]
            message["holds"] = [[r.first, r.last, r.fence] for r in rows]
            message["freed"] = list(self.freed)
        return message

    async def send_heartbeat(self) -> bool:
        """Sends one heartbeat; returns whether it was acknowledged."""
        async with self.beating:
            return await self._send_heartbeat()

    async def _send_heartbeat(self) -> bool:
        sent_s = time.monotonic()
        message = self.heartbeat()
        freed = len(message.get("freed", ()))
        response, _ = await put_heartbeat(self.control, self.name, message)
        if response is None or not 200 <= response.status() < 300:
            return False
        del self.freed[:freed]
        if time.monotonic() - sent_s > ACK_S or not self.is_up:
            return False
        reply = msgspec.msgpack.decode(response.body)
        if reply.get("holds") is not None:
            self._apply(reply, sent_s)
        return True

    def _apply(self, reply: dict, sent_s: float) -> None:
        hold_s = float(reply["hold_time"].removesuffix("ms")) / 1_000
        before = self.held_rows()
        rows = []
        for first, last, fence, _ in sorted(reply["holds"]):
            if max(self.seen[first : last + 1]) > fence:
                continue
            self.seen[first : last + 1] = [fence] * (last - first + 1)
            rows.append(Row(first, last, fence))
        for row in before:
            for first, last in uncovered(row, rows):
                self.leaving_rows.append(Row(first, last, row.fence))
        self.rows = rows
        self.hold_until_s = sent_s + hold_s * CLOCK_SLOW
        self._finish_releases()
        count = self.held_keys()
        if [vars_of(row) for row in before] != [vars_of(row) for row in rows]:
            self.record(f"upstream {self.name} holds {count} keys")

    def _finish_releases(self) -> None:
        """Frees the ranges on whose keys nothing runs any more."""
        keys = {run.key for run in self.running.values()}
        kept = []
        for row in self.leaving_rows:
            if any(row.first <= key <= row.last for key in keys):
                kept.append(row)
                continue
            handover = f"{row.first:08x}{row.fence:08x}"
            self.freed.append([row.first, row.last, handover])
        self.leaving_rows = kept

    async def handle(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Handles one request."""
        attempt = request.headers.get("auburnrock-attempt-id", "")
        echo = {"Auburnrock-Attempt-Id": attempt, "Keep-Alive": "timeout=10"}
        refusal = echo | {"Auburnrock-Not-Executed": "1"}
        if not attempt:
            http.answer(writer, 400, {"Auburnrock-Not-Executed": "1"})
            return True
        self.arrived.add(attempt)
        wanted = request.headers.get("auburnrock-target-instance")
        if wanted not in (None, self.name):
            echo["Auburnrock-Instance-Id"] = self.name
            http.answer(writer, 421, echo)
            return True
        key = int(request.headers.get("auburnrock-shard-key", -1))
        if self.sharded and not self.holds(key):
            http.answer(writer, 421, refusal)
            return True
        if self.waiting >= QUEUE:
            http.answer(writer, 503, refusal)
            return True
        self.waiting += 1
        try:
            await self.room.acquire()
        finally:
            self.waiting -= 1
        self.numbers += 1
        number = self.numbers
        run = Run(
            attempt,
            key,
            request.headers.get("auburnrock-caller-service", ""),
            time.monotonic(),
            request.first[1],
        )
        self.running[number] = run
        self.runs.append(run)
        self.record(f"run {attempt} key {key} at {self.name}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.room.release()
            del self.running[number]
        if writer.is_closing():
            return False
        if self.loses_answer(run):
            self.record(f"the answer of {attempt} at {self.name} is lost")
            writer.transport.abort()
            return False
        body = f"{self.name} {request.first[1]}".encode()
        echo["Auburnrock-Response-Seal"] = f"{self.name}.{attempt}"
        http.answer(writer, 200, echo, body)
        return True


def vars_of(row: Row) -> tuple[int, int]:
    """Returns the keys of a row, for comparisons."""
    return row.first, row.last


def uncovered(row: Row, rows: list[Row]) -> list[tuple[int, int]]:
    """Returns the parts of a range that none of the sorted ranges contains."""
    parts = []
    first = row.first
    for other in rows:
        if other.last < first:
            continue
        if other.first > row.last:
            break
        if other.first > first:
            parts.append((first, other.first - 1))
        first = other.last + 1
    if first <= row.last:
        parts.append((first, row.last))
    return parts


async def put_heartbeat(
    control: str, name: str, message: dict
) -> tuple[http.Message | None, str]:
    """Sends a heartbeat to a node; returns its response, or why it has none."""
    body = msgspec.msgpack.encode(message)
    data = http.encode(
        f"PUT /auburnrock/instances/{name} HTTP/1.1",
        {"Host": control, "Content-Type": "application/msgpack"},
        body,
    )
    return await http.call(control, data, ACK_S)


async def send_farewell(control: str, name: str) -> bool:
    """Deregisters an upstream; returns whether that was acknowledged."""
    data = http.encode(
        f"DELETE /auburnrock/instances/{name} HTTP/1.1", {"Host": control}
    )
    response = None
    with contextlib.suppress(OSError):
        response, _ = await http.call(control, data, ACK_S)
    return response is not None and response.status() == 200
