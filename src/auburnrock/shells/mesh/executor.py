"""Runs requests at the target beside this node.

Every request to the target passes here, whoever took it from a caller. So
slots, queue, keys held and leaving are decided here, last, when the request is
about to be sent.
"""

import asyncio
from collections.abc import Callable

from auburnrock import errors
from auburnrock.engine.mesh import choice
from auburnrock.engine.mesh import heat as heat_module
from auburnrock.engine.mesh import holder as holder_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import pace as pace_module
from auburnrock.engine.mesh import peering
from auburnrock.engine.mesh import suspects as suspects_module
from auburnrock.engine.mesh import waiting
from auburnrock.shells.mesh import dialect as dialect_module
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import http_client
from auburnrock.shells.mesh import metrics as metrics_module

FRESH_IDLE_MS = 500.0
"""A request that must not run twice uses no connection idle for longer: a
target may forget an idle one, and what is sent next is lost."""

IDLE_MAX_MS = 8_000.0
"""A connection idle for longer is not used again: the target may be about to
close it."""

ANSWER_GRACE_MS = 30.0
"""A target answers at the deadline itself; its answer needs this much."""

DRAIN_MARGIN_MS = 250.0
"""Work is taken so long before the end of the drain time, for the way."""

OVERDUE_EVERY_S = 0.02
"""How often waiting requests are checked against their deadlines."""

CRASH_WINDOW_MS = 400.0
"""Connections that break within this time of a target's end broke by it."""

CRASH_CHECK_MS = 15.0
"""How long after a connection broke the target's port is tried."""

LONG_WAIT_MS = 50.0
"""A wait in the queue is logged beyond this."""


class Executor:
    """The target beside this node and the queue before it.

    Attributes:
      holder: the target's keys.
      room: the queue.
      heat: work that comes for the target's keys.
      client: connections to the target.
      target: its latest heartbeat; None before the first.
      drain_since_ms: when its leaving was acknowledged; None if it stays.
      pace: how fast the target works.
      keyed: whether its service is divided by key.
      closing: this process ends as soon as what runs has ended.
      resumed: the target as the former process knew it, before the first
        heartbeat here; None after.
      broken: time and fingerprint of requests whose connection broke.
    """

    def __init__(
        self,
        settings: model.Settings,
        dialect: dialect_module.Dialect,
        holder: holder_module.Holder,
        suspects: suspects_module.Suspects,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        now_ms: Callable[[], float],
    ):
        self.settings = settings
        self.dialect = dialect
        self.holder = holder
        self.suspects = suspects
        self.log = log
        self.metrics = metrics
        self.now_ms = now_ms
        self.room = waiting.WaitingRoom(1)
        self.heat = heat_module.Heat(now_ms())
        self.client = http_client.Client(settings.target_address, now_ms)
        self.target: model.Heartbeat | None = None
        self.drain_since_ms: float | None = None
        self.cold_until_ms = 0.0
        self.pace = pace_module.Pace(now_ms())
        self.keyed = False
        self.closing = False
        self.resumed: model.Life | None = None
        self.numbers = 0
        self.starts: dict[int, asyncio.Future] = {}
        self.broken: list[tuple[float, str]] = []
        self.on_crash: Callable[[], None] = lambda: None
        self.checking = False
        self.loop = asyncio.get_running_loop()

    def take_target(self, beat: model.Heartbeat) -> None:
        """Takes a heartbeat that is news."""
        now_ms = self.now_ms()
        known = self.target
        is_new = known is None or (
            (known.target, known.started_ms) != (beat.target, beat.started_ms)
        )
        if is_new:
            self.client.close()
            self.drain_since_ms = None
            self.pace = pace_module.Pace(now_ms)
            self.log.write(
                "target_started",
                target=beat.target,
                started_ms=beat.started_ms,
                service=beat.service,
                slots=beat.slots,
                cold_ms=int(beat.cold_ms),
            )
        self.target = beat
        self.resumed = None
        self.room.slots = beat.slots
        self.cold_until_ms = now_ms + beat.cold_ms
        if beat.state is model.TargetState.DRAINING:
            self.begin_drain("heartbeat")
        self.go_on(self.room.fill(now_ms))

    def resume_target(self, life: model.Life, slots: int, pace: float) -> None:
        """Goes on with the target that the former process knew.

        Until its first heartbeat here, which may take seconds. It is named in
        each request, so that another target at its address runs none; keys
        are checked by the target alone.
        """
        if self.holder.life == life:
            self.pace.resume(pace)
        heard = self.holder.life is not None or self.holder.ended is not None
        if self.target is not None or heard or slots <= 0:
            return
        self.resumed = life
        self.pace.resume(pace)
        self.target = model.Heartbeat(
            target=life.target,
            started_ms=life.started_ms,
            service=self.settings.service,
            address=self.settings.target_address,
            zone=self.settings.zone,
            version="",
            slots=slots,
            state=model.TargetState.READY,
            sequence=-1,
            cold_ms=0.0,
            holds=[],
            freed=[],
        )
        self.room.slots = slots
        self.log.write("target_resumed", target=life.target, slots=slots)

    def begin_drain(self, cause: str) -> None:
        """The target leaves; it gets no new work after the drain time."""
        if self.drain_since_ms is None and self.target is not None:
            self.drain_since_ms = self.now_ms()
            self.holder.on_leaving()
            self.log.write(
                "target_draining", target=self.target.target, cause=cause
            )

    def end_target(self, cause: str) -> None:
        """This start of the target has ended for certain."""
        if self.target is None:
            return
        self.log.write(
            "target_ended",
            target=self.target.target,
            cause=cause,
            running=len(self.room.running),
        )
        self.target = None
        self.resumed = None
        self.client.close()
        self.holder.on_target_ended()
        for number in list(self.room.waiting_now):
            self.room.finish(self.now_ms(), number, False)
            self._decide(number, None)
        self.on_crash()

    def report(self) -> choice.Report:
        """What peers may know of the target's load."""
        if self.target is None:
            return choice.NO_TARGET
        now_ms = self.now_ms()
        return choice.Report(
            self.room.slots,
            len(self.room.running),
            len(self.room.waiting_now),
            # Whole numbers take a few bytes, and a peer gets many of these.
            round(self.room.wait_ms(now_ms)),
            self.pace.mean * self.room.slowness(now_ms),
            self.drain_since_ms is not None,
            round(max(0.0, self.cold_until_ms - now_ms)),
            self.pace.weight(self.room.slots),
            round(100 * self.heat.total(now_ms, self.room.slots)),
        )

    async def run(
        self, run: peering.Run, note_sent: Callable[[], None] = lambda: None
    ) -> peering.Outcome:
        """Runs a request at the target, or says why not.

        If it is cancelled, the request no longer waits; one that is at the
        target is broken off if it is idempotent, and ends unheard otherwise.

        Args:
          run: the request.
          note_sent: called before the target gets it.
        """
        came_ms = self.now_ms()
        refusal = self._barred(run)
        if refusal is not None:
            return refusal
        if run.key != model.NO_KEY:
            self._count(came_ms, run)
        self.numbers += 1
        number = self.numbers
        ticket = waiting.Ticket(
            number,
            run.kind,
            run.rank,
            came_ms + run.objective_left_ms,
            came_ms + run.left_ms,
            run.objective_ms,
            patience_ms=run.patience_ms,
        )
        decision = self.room.offer(came_ms, ticket)
        if isinstance(decision, waiting.Wait):
            decision = await self._wait(ticket)
        if decision is None:
            return self._refused(run, errors.ErrorKind.NO_TARGET, 100.0)
        if isinstance(decision, waiting.Refuse):
            return self._overloaded(run, decision, came_ms)
        work = self.loop.create_task(self._work(run, ticket, note_sent))
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            if run.idempotent:
                work.cancel()
            raise

    def _count(self, now_ms: float, run: peering.Run) -> None:
        """Counts what comes for a key, once it is known how long it takes."""
        work_ms = self.room.work.means.get(run.kind)
        if work_ms is not None and self.holder.table is not None:
            stripe = self.holder.table.stripe_of(run.key)
            self.heat.add(now_ms, stripe, work_ms)

    async def _wait(
        self, ticket: waiting.Ticket
    ) -> waiting.Start | waiting.Refuse | None:
        future = self.loop.create_future()
        self.starts[ticket.number] = future
        try:
            return await future
        except asyncio.CancelledError:
            self.go_on(self.room.finish(self.now_ms(), ticket.number, False))
            raise
        finally:
            self.starts.pop(ticket.number, None)

    async def _work(
        self,
        run: peering.Run,
        ticket: waiting.Ticket,
        note_sent: Callable[[], None],
    ) -> peering.Outcome:
        """Sends a request that has a slot and gives the slot back."""
        completed = False
        end = "cancelled"
        started_ms = ticket.started_ms
        try:
            waited_ms = self.now_ms() - (ticket.deadline_at_ms - run.left_ms)
            self.metrics.wait_s.observe(waited_ms / 1_000)
            if waited_ms > LONG_WAIT_MS:
                self.log.write(
                    "waited",
                    attempt=run.attempt,
                    waited_ms=int(waited_ms),
                    running=len(self.room.running),
                    waiting=len(self.room.waiting_now),
                )
            refusal = self._barred(run)
            if refusal is not None:
                end = "barred"
                return refusal
            outcome = await self._send(run, ticket, note_sent)
            completed = isinstance(outcome, peering.Answered)
            end = type(outcome).__name__.lower()
            return outcome
        finally:
            now_ms = self.now_ms()
            self.metrics.work_s.labels(end).observe(
                (now_ms - started_ms) / 1_000
            )
            self.go_on(self.room.finish(now_ms, ticket.number, completed))

    async def _send(
        self,
        run: peering.Run,
        ticket: waiting.Ticket,
        note_sent: Callable[[], None],
    ) -> peering.Outcome:
        idle_ms = IDLE_MAX_MS if run.idempotent else FRESH_IDLE_MS
        target = self.target
        try:
            connection = await self.client.connect(idle_ms)
        except http_client.RefusedError as error:
            if error.nobody and self.target is target:
                self._note_crash()
                self.end_target("connection_refused")
            return self._refused(
                run, errors.ErrorKind.TARGET_REFUSED, 100.0, str(error)
            )
        if self.target is not target:
            self.client.give_back(connection)
            return self._refused(run, errors.ErrorKind.NO_TARGET, 100.0)
        now_ms = self.now_ms()
        left_ms = ticket.deadline_at_ms - now_ms
        if left_ms < 1.0:
            self.client.give_back(connection)
            return self._refused(run, errors.ErrorKind.DEADLINE_EXCEEDED, 0.0)
        data = self.dialect.target_request(run, target.target, left_ms)
        note_sent()
        try:
            async with asyncio.timeout((left_ms + ANSWER_GRACE_MS) / 1_000):
                answer = await connection.exchange(
                    data,
                    lambda answer: self.dialect.belongs_to(answer, run.attempt),
                )
        except TimeoutError:
            connection.abort()
            return self._lost(run, errors.ErrorKind.DEADLINE_EXCEEDED, now_ms)
        except http_client.BrokenError as error:
            connection.abort()
            self._note_broken(run.mark)
            return self._lost(
                run, errors.ErrorKind.OUTCOME_UNKNOWN, now_ms, str(error)
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        self.client.give_back(connection)
        return self._judge(run, answer, now_ms)

    def _judge(
        self, run: peering.Run, answer: http_client.Answer, sent_ms: float
    ) -> peering.Outcome:
        verdict = self.dialect.judge(answer, run.attempt)
        if verdict is model.TargetVerdict.NOT_RUN:
            return self._refused(
                run,
                errors.ErrorKind.TARGET_REFUSED,
                50.0,
                f"status {answer.status}",
                reached=True,
            )
        if verdict is model.TargetVerdict.OTHER_TARGET:
            return self._refused(
                run,
                errors.ErrorKind.NOT_OWNER,
                50.0,
                f"status {answer.status}",
                reached=True,
            )
        if verdict is model.TargetVerdict.UNUSABLE:
            return self._lost(
                run,
                errors.ErrorKind.OUTCOME_UNKNOWN,
                sent_ms,
                f"status {answer.status} is no answer of the target's",
            )
        now_ms = self.now_ms()
        work_ms = now_ms - sent_ms
        self.suspects.on_answer(run.mark)
        if answer.status < 300 and run.objective_ms > 0:
            self.pace.add(now_ms, work_ms, run.objective_ms)
        return peering.Answered(
            run.number,
            answer.status,
            self.dialect.passed_on(answer.headers),
            answer.body,
            self.report(),
            work_ms,
        )

    def go_on(self, decided: list) -> None:
        """Tells waiting requests what was decided on them."""
        for decision in decided:
            self._decide(decision.ticket.number, decision)

    def tick(self) -> None:
        """Turns away what waits past its time; call every OVERDUE_EVERY_S."""
        if self.room.waiting_now:
            self.go_on(self.room.overdue(self.now_ms()))

    def _decide(
        self, number: int, decision: waiting.Start | waiting.Refuse | None
    ) -> None:
        future = self.starts.get(number)
        if future is not None and not future.done():
            future.set_result(decision)
        elif isinstance(decision, waiting.Start):
            # Its caller has left; the slot is free again.
            self.go_on(self.room.finish(self.now_ms(), number, False))

    def _barred(self, run: peering.Run) -> peering.Refused | None:
        """A refusal if the target must not get this request now."""
        now_ms = self.now_ms()
        if self.closing:
            return self._refused(run, errors.ErrorKind.DRAINING, 300.0)
        if self.target is None:
            return self._refused(run, errors.ErrorKind.NO_TARGET, 200.0)
        if run.service != self.target.service:
            return self._refused(run, errors.ErrorKind.NOT_OWNER, 0.0)
        if self.drain_since_ms is not None:
            allowed_ms = self.settings.bounds.drain_ms - DRAIN_MARGIN_MS
            is_over = now_ms - self.drain_since_ms > allowed_ms
            if is_over or run.key == model.NO_KEY:
                return self._refused(run, errors.ErrorKind.DRAINING, 50.0)
        if run.key != model.NO_KEY and not self._has_key(now_ms, run.key):
            return self._refused(run, errors.ErrorKind.MOVING, 100.0)
        crashes = self.suspects.count(now_ms, run.mark)
        if crashes >= suspects_module.CRASHES_MAX:
            return self._refused(run, errors.ErrorKind.QUARANTINED, 0.0)
        return None

    def _has_key(self, now_ms: float, key: int) -> bool:
        """Whether the target may be asked for a key."""
        table = self.holder.table
        if self.resumed is not None and table is not None:
            return table.owner_of(key) == self.resumed
        return self.holder.may_run(now_ms, key)

    def _refused(
        self,
        run: peering.Run,
        kind: errors.ErrorKind,
        retry_after_ms: float,
        reason: str = "",
        reached: bool = False,
    ) -> peering.Refused:
        self.log.write(
            "target_declined",
            attempt=run.attempt,
            kind=kind.value,
            reached=reached,
            reason=reason,
            key=run.key,
            table=self.holder.table.version if self.holder.table else 0,
        )
        return peering.Refused(
            run.number, kind.value, retry_after_ms, reached, self.report()
        )

    def _overloaded(
        self, run: peering.Run, refusal: waiting.Refuse, came_ms: float
    ) -> peering.Refused:
        self.log.write(
            "turned_away",
            attempt=run.attempt,
            route=run.kind,
            wait_ms=int(refusal.expected_wait_ms),
            held_ms=int(self.now_ms() - came_ms),
            running=len(self.room.running),
            waiting=len(self.room.waiting_now),
            retry_after_ms=int(refusal.retry_after_ms),
        )
        return peering.Refused(
            run.number,
            errors.ErrorKind.OVERLOADED.value,
            refusal.retry_after_ms,
            False,
            self.report(),
        )

    def _lost(
        self,
        run: peering.Run,
        kind: errors.ErrorKind,
        sent_ms: float,
        reason: str = "",
    ) -> peering.Lost:
        self.log.write(
            "answer_lost",
            attempt=run.attempt,
            kind=kind.value,
            target=self.target.target if self.target else "",
            sent_ago_ms=int(self.now_ms() - sent_ms),
            reason=reason,
        )
        return peering.Lost(run.number, kind.value, self.report())

    def _note_broken(self, mark: str) -> None:
        """Remembers a broken connection and checks the target's port."""
        self.broken.append((self.now_ms(), mark))
        if not self.checking:
            self.checking = True
            self.loop.call_later(CRASH_CHECK_MS / 1_000, self._check_port)

    def _check_port(self) -> None:
        self.loop.create_task(self._check_crash())

    async def _check_crash(self) -> None:
        """Tells a crash of the target from a lost connection."""
        target = self.target
        try:
            self.client.give_back(await self.client.open())
        except http_client.RefusedError as error:
            if error.nobody and self.target is target:
                self._note_crash()
                self.end_target("crash")
        finally:
            self.checking = False
            self.broken.clear()

    def _note_crash(self) -> None:
        now_ms = self.now_ms()
        marks = {
            mark
            for broken_ms, mark in self.broken
            if now_ms - broken_ms < CRASH_WINDOW_MS
        }
        for mark, count in self.suspects.on_crash(now_ms, marks):
            self.log.write("crash_suspect", mark=mark, crashes=count)
