"""The server of the target stand-in: it runs work for a fixed time."""

import asyncio
import contextlib
import uuid

import aiohttp
from aiohttp import web
import msgspec

from auburnrock import errors
from auburnrock.shells import clock
from auburnrock.targets import base
from auburnrock.targets import protocol
from auburnrock_standins import grants
from auburnrock_standins import journal
from auburnrock_standins import serving
from auburnrock_standins import target_switches

ANNOUNCE_TIMEOUT_S = 0.5
REFUSED_PAUSE_S = 0.05
SHORTEST_PAUSE_S = 0.02
FINISH_LIMIT_S = 10.0
RELEASED_FOR_S = 1.0
DEFAULT_DEADLINE_MS = 2_000
JOURNAL_PATH = "/auburnrock/journal"
MAX_BODY_BYTES = 8_000_000


class TargetSettings(msgspec.Struct, kw_only=True):
    """The settings of a stand-in target; see the flags."""

    service: str
    slots: int = 20
    queue: int = 100
    checks_grants: bool = True
    service_time_ms: int = 5
    cold_start_ms: int = 0
    cold_service_time_ms: int = 50
    print_executions: bool = False


class Call(msgspec.Struct):
    """A request for work as its headers name it."""

    request_id: str
    idempotency_key: str
    key: str
    shard: int
    epoch: int
    ends_at_ms: int


def parse_call(request: web.Request, now_ms: int) -> Call:
    """Reads the headers; raises ValueError on a number that is none."""
    headers = request.headers
    deadline_ms = headers.get(protocol.DEADLINE_HEADER, DEFAULT_DEADLINE_MS)
    return Call(
        request_id=headers.get(protocol.REQUEST_ID_HEADER, ""),
        idempotency_key=headers.get(protocol.IDEMPOTENCY_KEY_HEADER, ""),
        key=headers.get(protocol.KEY_HEADER, ""),
        shard=int(headers.get(protocol.SHARD_HEADER, -1)),
        epoch=int(headers.get(protocol.EPOCH_HEADER, 0)),
        ends_at_ms=now_ms + int(deadline_ms),
    )


class TargetServer:
    """Accepts grants and orders, and runs work.

    Attributes:
      settings: see TargetSettings.
      incarnation: unique name of this start.
      holder: the grant it has.
      executions: everything that it began.
      running: executions under way, by request.
      queued: requests that wait for a slot.
      draining: whether it takes nothing new.
    """

    def __init__(self, settings: TargetSettings):
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self.holder = grants.GrantHolder(self.incarnation)
        self.executions: list[journal.Execution] = []
        self.running: dict[int, journal.Execution] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.queued = 0
        self.draining = False
        self.slots = asyncio.Semaphore(settings.slots)
        self.announce_now = asyncio.Event()
        self.failures = target_switches.TargetFailures()
        self.started_ms = clock.now_ms()

    def routes(self) -> list[web.RouteDef]:
        """Orders have paths of their own; every other path is work."""
        return [
            web.put(protocol.GRANT_PATH, self.grant),
            web.post(protocol.CANCEL_PATH, self.cancel),
            web.post(protocol.DRAIN_PATH, self.drain),
            web.get(protocol.HEALTH_PATH, self.health),
            web.get(protocol.LOAD_PATH, self.load),
            web.get(JOURNAL_PATH, self.show_journal),
            *self.failures.routes(),
            web.route("*", "/{path:.*}", self.work),
        ]

    async def grant(self, request: web.Request) -> web.Response:
        """Accepts or refuses a grant and says what still runs."""
        grant = await serving.read(request, base.Grant)
        refusal = self.holder.refusal(grant, clock.now_ms())
        if refusal is None:
            self.holder.accept(grant)
        else:
            print(f'event=grant_refused reason="{refusal}"', flush=True)
            self.announce_now.set()
        answer = base.GrantAnswer(
            accepted=refusal is None,
            incarnation=self.incarnation,
            clock_ms=clock.now_ms(),
            running=self.running_released(),
        )
        return serving.answer(answer)

    def running_released(self) -> dict[int, int]:
        """Requests that still run on shards that are not granted."""
        running: dict[int, int] = {}
        for execution in self.running.values():
            shard = execution.shard
            if shard >= 0 and shard not in self.holder.epochs:
                running[shard] = running.get(shard, 0) + 1
        return running

    async def cancel(self, request: web.Request) -> web.Response:
        """Ends a waiting or running request."""
        order = await serving.read(request, protocol.CancelOrder)
        task = self.tasks.get(order.request_id)
        if task is not None:
            task.cancel()
        return web.Response()

    async def drain(self, request: web.Request) -> web.Response:
        """Takes nothing new from now on."""
        self.draining = True
        return web.Response()

    async def health(self, request: web.Request) -> web.Response:
        """Its health."""
        health = protocol.Health(True, self.incarnation, self.draining)
        return serving.answer(self.failures.report("health", health))

    async def load(self, request: web.Request) -> web.Response:
        """Its load."""
        load = protocol.Load(
            len(self.running), self.queued, self.settings.slots
        )
        return serving.answer(self.failures.report("load", load))

    async def show_journal(self, request: web.Request) -> web.Response:
        """Everything that it ran."""
        return serving.answer(
            journal.Journal(self.incarnation, self.executions)
        )

    async def work(self, request: web.Request) -> web.Response:
        """Runs a request in a task of its own, which an order can cancel."""
        body = await request.read()
        try:
            call = parse_call(request, clock.now_ms())
        except ValueError as error:
            request_id = request.headers.get(protocol.REQUEST_ID_HEADER, "")
            kind = errors.ErrorKind.BAD_REQUEST
            return self.refuse(request_id, kind, str(error))
        self.failures.crash_if_marked(request, body)
        task = asyncio.ensure_future(self.queue_and_run(call, body))
        self.tasks[call.request_id] = task
        try:
            response = await asyncio.shield(task)
            return await self.failures.spoil(request, response)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            return web.Response(status=499, headers=self.echo(call.request_id))
        finally:
            if self.tasks.get(call.request_id) is task:
                del self.tasks[call.request_id]

    async def queue_and_run(self, call: Call, body: bytes) -> web.Response:
        """Waits for a slot, checks again at the start, and runs."""
        if self.draining:
            return self.refuse(
                call.request_id, errors.ErrorKind.DRAINING, "draining"
            )
        full = self.slots.locked() and self.queued >= self.settings.queue
        if full or self.failures.switches.shed:
            return self.refuse(
                call.request_id, errors.ErrorKind.OVERLOADED, "queue full"
            )
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        try:
            refused = self.refusal_at_start(call, clock.now_ms())
            return refused or await self.run(call, body)
        finally:
            self.slots.release()

    def refusal_at_start(self, call: Call, now_ms: int) -> web.Response | None:
        """The refusal of work that may not begin; None if it may."""
        if now_ms >= call.ends_at_ms:
            kind = errors.ErrorKind.DEADLINE_EXCEEDED
            return self.refuse(
                call.request_id, kind, "its time was over in the queue"
            )
        if not self.settings.checks_grants or call.shard < 0:
            return None
        if self.holder.allows(call.shard, call.epoch, now_ms):
            return None
        message = f"no valid grant for shard {call.shard} epoch {call.epoch}"
        return self.refuse(call.request_id, errors.ErrorKind.NOT_OWNER, message)

    async def run(self, call: Call, body: bytes) -> web.Response:
        """Runs the work and journals it."""
        execution = journal.Execution(
            request_id=call.request_id,
            idempotency_key=call.idempotency_key,
            key=call.key,
            shard=call.shard,
            epoch=call.epoch,
            incarnation=self.incarnation,
            started_ms=clock.now_ms(),
        )
        self.executions.append(execution)
        if self.settings.print_executions:
            # Outlives a kill, unlike the journal.
            line = msgspec.json.encode(execution).decode()
            print(f"{journal.LINE_PREFIX}{line}", flush=True)
        number = len(self.executions)
        self.running[number] = execution
        try:
            await asyncio.sleep(self.run_time_ms() / 1_000)
        except asyncio.CancelledError:
            execution.cancelled = True
            raise
        finally:
            execution.ended_ms = clock.now_ms()
            del self.running[number]
        result = journal.WorkResult(
            call.key, self.incarnation, number, len(body)
        )
        return serving.answer(result, headers=self.echo(call.request_id))

    def run_time_ms(self) -> int:
        """How long work that starts now runs: longer just after the start."""
        age_ms = clock.now_ms() - self.started_ms
        if age_ms < self.settings.cold_start_ms:
            return self.settings.cold_service_time_ms
        return self.settings.service_time_ms

    def echo(self, request_id: str) -> dict[str, str]:
        """The headers that name the request answered."""
        return {protocol.REQUEST_ID_HEADER: request_id}

    def refuse(
        self, request_id: str, kind: errors.ErrorKind, message: str
    ) -> web.Response:
        """An answer that says that nothing ran."""
        status = errors.ANSWERS[kind].status
        if kind is errors.ErrorKind.NOT_OWNER:
            status = 409
        headers = self.echo(request_id)
        headers[protocol.RAN_HEADER] = errors.Ran.NO.value
        headers[protocol.ERROR_HEADER] = kind.value
        return serving.answer(
            journal.Refusal(kind.value, message), status, headers
        )

    def announcement(self, address: str) -> base.Announcement:
        """What it tells the node now."""
        return base.Announcement(
            service=self.settings.service,
            address=address,
            incarnation=self.incarnation,
            clock_ms=clock.now_ms(),
            checks_grants=self.settings.checks_grants,
            draining=self.draining,
        )

    async def finish(self) -> None:
        """Takes nothing new, ends what runs and waits to be let go.

        It stays until its node has taken back all shards, so that requests
        already on their way are refused and not lost.
        """
        self.draining = True
        self.announce_now.set()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FINISH_LIMIT_S
        busy_s = loop.time()
        while loop.time() < min(end_s, busy_s + RELEASED_FOR_S):
            if self.holder.epochs or self.tasks:
                busy_s = loop.time()
            await asyncio.sleep(SHORTEST_PAUSE_S)

    async def announce_forever(self, node: str, address: str) -> None:
        """Announces itself; sooner again after a refused one or a failure.

        After a refused grant too: the node may lack this incarnation, or have
        a reading of the clock that is too old.
        """
        regular_s = protocol.ANNOUNCE_INTERVAL_MS / 1_000
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self.announce_now.clear()
                accepted = await self.announce(session, node, address)
                pause_s = regular_s if accepted else REFUSED_PAUSE_S
                await asyncio.sleep(SHORTEST_PAUSE_S)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.announce_now.wait(), pause_s)

    async def announce(
        self, session: aiohttp.ClientSession, node: str, address: str
    ) -> bool:
        """Announces itself once; whether the node took it."""
        url = f"http://{node}{protocol.ANNOUNCE_PATH}"
        body = msgspec.json.encode(self.announcement(address))
        try:
            async with session.post(url, data=body) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


async def start(
    settings: TargetSettings, address: str, port: int
) -> tuple[TargetServer, web.AppRunner]:
    """Begins to serve; the caller announces it and cleans up."""
    server = TargetServer(settings)
    application = web.Application(
        client_max_size=MAX_BODY_BYTES,
        middlewares=[server.failures.middleware],
    )
    application.add_routes(server.routes())
    runner = await serving.start(application, address, port)
    server.failures.server = runner.server
    return server, runner
