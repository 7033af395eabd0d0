"""Stand-in of an application upstream, as PROTOCOL.md describes it."""

import asyncio
import time

import msgspec

from harness import http1
from harness import record as record_module

HEARTBEAT_S = 0.87
"""Interval between heartbeats, as the example settings state it."""

RELEASE_BEAT_S = 0.1
"""Delay of the next heartbeat while released keys are not yet reported."""

CALL_RETRY_S = 0.05
"""Delay before a call to the node that found no listener is repeated."""


class Upstream:
    """One incarnation of an upstream.

    Attributes:
      name: its id.
      work_s: execution time of a request.
      held: rows of first key, last key, fencing token and end of the hold.
      freed: rows of first key, last key and handover, not yet acknowledged.
      releasing: rows that a reply left out and on which work still runs; they
        are reported as held until it has ended.
      working: key and start of each running request, by attempt.
      beats: whether heartbeats are sent.
      running: number of requests at work.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        control: str,
        keyed: bool,
        record: record_module.Record,
        slots: int = 18,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.keyed = keyed
        self.record = record
        self.slots = slots
        self.work_s = 0.02
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.held: list[tuple[int, int, int, float]] = []
        self.freed: list[list] = []
        self.releasing: list[tuple[int, int, int, float]] = []
        self.working: dict[str, tuple[int, float]] = {}
        self.beats = True
        self.running = 0
        self.server: asyncio.Server | None = None
        self.beating: asyncio.Task | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to serve requests and to send heartbeats."""
        self.server = await http1.serve(self.address, self.serve)
        self.beating = asyncio.create_task(self._beat_forever())

    async def exit(self) -> None:
        """Ends the process: its port closes and its connections end."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write("upstream_exits", upstream=self.name)

    async def leave(self, limit_s: float) -> float | None:
        """Sends DELETE until it is acknowledged, as one that leaves does.

        Returns:
          The time of the acknowledgement; None if there was none.
        """
        self.beats = False
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            try:
                answer = await http1.call(
                    self.control,
                    "DELETE",
                    f"/auburnrock/instances/{self.name}",
                    {"Host": self.control},
                )
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(CALL_RETRY_S)
                continue
            if answer.status() < 300:
                at_s = time.monotonic()
                self.record.write("leave_acknowledged", upstream=self.name)
                return at_s
            await asyncio.sleep(CALL_RETRY_S)
        self.record.write("leave_not_acknowledged", upstream=self.name)
        return None

    async def _beat_forever(self) -> None:
        while True:
            if self.beats:
                try:
                    await self._beat()
                except (OSError, asyncio.IncompleteReadError, TimeoutError):
                    await asyncio.sleep(CALL_RETRY_S)
                    continue
            releases = self.freed or self.releasing
            await asyncio.sleep(RELEASE_BEAT_S if releases else HEARTBEAT_S)

    async def _beat(self) -> None:
        self.sequence += 1
        sent_s = time.monotonic()
        self.held = [row for row in self.held if row[3] > sent_s]
        self._release(sent_s)
        freed = list(self.freed)
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
        if self.keyed:
            rows = [*self.held, *self.releasing]
            message["holds"] = [list(row[:3]) for row in rows]
            message["freed"] = freed
        answer = await http1.call(
            self.control,
            "PUT",
            f"/auburnrock/instances/{self.name}",
            {"Host": self.control, "Content-Type": "application/msgpack"},
            msgspec.msgpack.encode(message),
        )
        reply = msgspec.msgpack.decode(answer.body) if answer.body else {}
        del self.freed[: len(freed)]
        if "holds" in reply:
            self._apply(reply, sent_s)

    def _apply(self, reply: dict, sent_s: float) -> None:
        until_s = sent_s + float(reply["hold_time"].removesuffix("ms")) / 1_000
        rows = [(row[0], row[1], row[2], until_s) for row in reply["holds"]]
        for first, last, fence, end_s in self.held:
            for low, high in _uncovered(first, last, rows):
                self.releasing.append((low, high, fence, end_s))
        self.held = rows
        self._release(time.monotonic())

    def _release(self, now_s: float) -> None:
        """Frees the rows without work; one that has expired is not reported."""
        busy = {key for key, _ in self.working.values()}
        kept = []
        for row in self.releasing:
            if any(row[0] <= key <= row[1] for key in busy):
                kept.append(row)
            elif row[3] > now_s:
                self.freed.append([row[0], row[1], f"{self.name}-{row[0]}"])
        self.releasing = kept

    def holds_key(self, key: int) -> bool:
        """Whether the upstream holds a key now."""
        now_s = time.monotonic()
        return any(
            row[0] <= key <= row[1] and now_s < row[3] for row in self.held
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection, one at a time."""
        self.writers.add(writer)
        try:
            while True:
                request = await http1.read_message(reader)
                if not await self.answer(request, writer):
                    return
        finally:
            self.writers.discard(writer)

    async def answer(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs one request; returns False to end the connection."""
        attempt = request.headers.get("auburnrock-attempt-id", "")
        named = request.headers.get("auburnrock-target-instance", self.name)
        key = int(request.headers.get("auburnrock-shard-key", -1))
        if named != self.name or (self.keyed and not self.holds_key(key)):
            writer.write(
                http1.encode_response(
                    421,
                    b"",
                    {
                        "Auburnrock-Attempt-Id": attempt,
                        "Auburnrock-Not-Executed": "1",
                        "Auburnrock-Instance-Id": self.name,
                    },
                )
            )
            return True
        self.record.write("runs", upstream=self.name, attempt=attempt)
        self.running += 1
        self.working[attempt] = (key, time.monotonic())
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            del self.working[attempt]
        writer.write(self.response(request, attempt))
        await writer.drain()
        return True

    def response(self, request: http1.Message, attempt: str) -> bytes:
        """Returns the answer to a request that was run."""
        body = f"{self.name} ran {attempt} {request.start[1]}".encode()
        return http1.encode_response(
            200,
            body,
            {
                "Auburnrock-Attempt-Id": attempt,
                "Auburnrock-Response-Seal": f"{self.name}.{attempt}",
            },
        )


def _uncovered(
    first: int, last: int, rows: list[tuple[int, int, int, float]]
) -> list[tuple[int, int]]:
    """Returns the parts of a range that no row contains."""
    parts = []
    for row in sorted(rows):
        if row[1] < first:
            continue
        if row[0] > last:
            break
        if row[0] > first:
            parts.append((first, row[0] - 1))
        first = row[1] + 1
    if first <= last:
        parts.append((first, last))
    return parts
