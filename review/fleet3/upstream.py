"""Stand-in of an upstream: it serves requests, and holds keys if divided."""

import asyncio
from collections.abc import Callable
import time

import msgspec

from review.fleet3 import http1

BACK_AFTER_S = 2.0
"""Time after which an upstream that has crashed is back."""


class Hold(msgspec.Struct):
    """A range of keys that the upstream holds.

    Attributes:
      first: lowest key of the range.
      last: highest key of the range.
      fence: fencing token of the range.
      until_s: end of the hold on the upstream's clock.
    """

    first: int
    last: int
    fence: int
    until_s: float


class Upstream:
    """One incarnation of an upstream.

    Attributes:
      name: its id.
      heartbeat_s: interval between the starts of two heartbeats.
      hears: whether its heartbeats reach the node, and the replies it.
      holds: the ranges that it holds.
      answered_s: when the last heartbeat that was answered with holds was sent.
      runs: attempt, path and time of each request that it began to run.
      work_s: time that a request takes.
      crash_path: path of a request that crashes the upstream; empty for none.
      crash_after_s: time from the begin of such a request to the crash.
      crashes: times of the crashes.
      writers: open connections.
      on_event: called with a line for the record.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        control: str,
        keyed: bool,
        heartbeat_s: float,
        on_event: Callable[[str], None],
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.keyed = keyed
        self.heartbeat_s = heartbeat_s
        self.on_event = on_event
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.hears = True
        self.work_s = 0.02
        self.crash_path = ""
        self.crash_after_s = 0.0
        self.crashes: list[float] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.holds: list[Hold] = []
        self.freed: list[list] = []
        self.answered_s = 0.0
        self.runs: list[tuple[str, str, float]] = []
        self.server: asyncio.Server | None = None
        self.task: asyncio.Task | None = None
        self.revival: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens, and begins to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.task = asyncio.create_task(self.send_heartbeats())

    def stop(self) -> None:
        """Ends the upstream."""
        self.task.cancel()
        self.server.close()

    def crash(self) -> None:
        """Ends at once, and starts again as a new incarnation."""
        self.crashes.append(time.monotonic())
        self.on_event(f"{self.name} crashes")
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()
        self.holds = []
        self.freed = []
        self.revival = asyncio.create_task(self.revive())

    async def revive(self) -> None:
        """Starts again after BACK_AFTER_S, under another id."""
        await asyncio.sleep(BACK_AFTER_S)
        self.name = f"{self.name.partition('.')[0]}.{len(self.crashes)}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        await self.start()
        self.on_event(f"{self.name} starts")

    async def send_heartbeats(self) -> None:
        """Sends heartbeats, and at once again while released rows wait."""
        while True:
            began_s = time.monotonic()
            if self.hears:
                await self.send_heartbeat()
            pause_s = 0.05 if self.freed else self.heartbeat_s
            await asyncio.sleep(max(0.0, began_s + pause_s - time.monotonic()))

    async def send_heartbeat(self) -> None:
        """Sends one heartbeat and applies the reply."""
        self.sequence += 1
        sent_s = time.monotonic()
        message = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": 18,
            },
            "status": {
                "state": self.state,
                "seq_num": self.sequence,
                "cold_remaining": "0ms",
            },
        }
        freed = list(self.freed)
        if self.keyed:
            held = self.held(sent_s)
            message["holds"] = [[h.first, h.last, h.fence] for h in held]
            message["freed"] = freed
        answer = await http1.call(
            self.control,
            f"PUT /auburnrock/instances/{self.name}",
            {"Host": self.control, "Content-Type": "application/msgpack"},
            msgspec.msgpack.encode(message),
        )
        if answer is None or answer.start[1] != "200":
            return
        del self.freed[: len(freed)]
        reply = msgspec.msgpack.decode(answer.body)
        if "holds" in reply:
            self.answered_s = sent_s
            self.apply(reply, sent_s)

    def apply(self, reply: dict, sent_s: float) -> None:
        """Holds exactly the rows of a reply, counted from the heartbeat."""
        rows = sorted(reply["holds"])
        for hold in self.held(time.monotonic()):
            if not any(
                row[0] <= hold.first and hold.last <= row[1] for row in rows
            ):
                # Parts that stay are granted anew by their rows.
                for first, last in _left_out(hold, rows):
                    self.freed.append([first, last, f"h{self.name}-{first}"])
        until_s = sent_s + float(reply["hold_time"].removesuffix("ms")) / 1_000
        before = [(h.first, h.last) for h in self.holds]
        self.holds = [Hold(*row[:3], until_s) for row in rows]
        after = [(h.first, h.last) for h in self.holds]
        if before != after:
            self.on_event(
                f"{self.name} holds {after} hold_time {reply['hold_time']}"
            )

    def held(self, now_s: float) -> list[Hold]:
        """Returns the holds that have not expired."""
        return [hold for hold in self.holds if hold.until_s > now_s]

    def holds_key(self, key: int) -> bool:
        """Whether the upstream holds a key now."""
        return any(
            hold.first <= key <= hold.last
            for hold in self.held(time.monotonic())
        )

    def key_count(self) -> int:
        """Returns the number of keys that the upstream holds now."""
        return sum(
            hold.last - hold.first + 1 for hold in self.held(time.monotonic())
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                request = await http1.read(reader)
                writer.write(await self.answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: http1.Message) -> bytes:
        """Runs a request, unless it is for another upstream or key."""
        headers = request.headers
        if request.start[1] == "/health":
            return http1.encode(
                "HTTP/1.1 200 OK", {"Auburnrock-Instance-Id": self.name}
            )
        attempt = headers.get("auburnrock-attempt-id", "")
        named = headers.get("auburnrock-target-instance", self.name)
        key = int(headers.get("auburnrock-shard-key", -1))
        shown = {"Auburnrock-Attempt-Id": attempt}
        if named != self.name or (self.keyed and not self.holds_key(key)):
            return http1.encode(
                "HTTP/1.1 421 M", shown | {"Auburnrock-Not-Executed": "1"}
            )
        self.runs.append((attempt, request.start[1], time.monotonic()))
        self.on_event(f"{self.name} runs {attempt} key {key}")
        if self.crash_path and request.start[1] == self.crash_path:
            # It does not notice that the connection was closed meanwhile.
            await asyncio.sleep(self.crash_after_s)
            self.crash()
            raise ConnectionResetError
        await asyncio.sleep(self.work_s)
        shown["Auburnrock-Response-Seal"] = f"{self.name}.{attempt}"
        return http1.encode("HTTP/1.1 200 OK", shown, b"ok")


def _left_out(hold: Hold, rows: list[list]) -> list[tuple[int, int]]:
    """Returns the parts of a hold that none of the sorted rows has."""
    parts = []
    first = hold.first
    for row in rows:
        if row[1] < first:
            continue
        if row[0] > hold.last:
            break
        if row[0] > first:
            parts.append((first, row[0] - 1))
        first = row[1] + 1
    if first <= hold.last:
        parts.append((first, hold.last))
    return parts
