"""The owner's side of a request: checks, then the target beside this node."""

import asyncio
import collections
import itertools
import random

import msgspec

from auburnrock import errors
from auburnrock import messages
from auburnrock import records
from auburnrock.engine import concurrency_limit
from auburnrock.engine import connections
from auburnrock.engine import idempotency
from auburnrock.engine import limits
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import quarantine as quarantine_lib
from auburnrock.engine import release
from auburnrock.engine import response_status
from auburnrock.engine.placement import meter as meter_lib
from auburnrock.shells import clock
from auburnrock.shells import execution
from auburnrock.shells import logs
from auburnrock.shells import router
from auburnrock.shells import target_slots
from auburnrock.shells import target_work
from auburnrock.targets import base as targets_base

MILLISECONDS_PER_SECOND = 1_000
_WITHOUT_SHARD = errors.Failure(
    errors.ErrorKind.MISSING_IDEMPOTENCY_KEY,
    "work that must not repeat came without the shard that its key names",
)


class Sent(msgspec.Struct, frozen=True):
    """How a request at the target ended.

    Attributes:
      answer: what its sender is told.
      outcome: what it says about the target.
    """

    answer: messages.Response | messages.Refusal
    outcome: concurrency_limit.Outcome


class Running:
    """One request at the target.

    Attributes:
      ticket: its place.
      mark: its fingerprint.
      slots: where it has its place; a new target has others.
    """

    __slots__ = ("mark", "slots", "ticket")

    def __init__(
        self,
        ticket: limits.Ticket,
        mark: str,
        slots: target_slots.TargetSlots,
    ):
        self.ticket = ticket
        self.mark = mark
        self.slots = slots


class Executor(release.WorkCount, router.LocalExecutor):
    """Runs requests at the target beside this node.

    Attributes:
      admission: says what may run here.
      crash_watch: tells crashes from lost connections.
      incarnation: this node's incarnation.
      event_log: where events go.
      results: results of non-idempotent work.
      results_source: fills `results` when a shard is moved here; set when the
        node is wired.
      quarantine: requests that crashed targets.
      meter: counts requests for the placement.
      running: requests at the target, by request id.
      counts: requests sent to the target and not ended, by service and shard.
      lost: requests given up without a whole answer, by service and shard.
      answer_time: how long the target usually takes.
      tasks: non-idempotent work that goes on without its caller.
    """

    def __init__(
        self,
        admission: execution.Admission,
        crash_watch: execution.CrashWatch,
        incarnation: int,
        event_log: logs.EventLog,
        clock_margin_ms: int,
    ):
        self.admission = admission
        self.crash_watch = crash_watch
        self.incarnation = incarnation
        self.event_log = event_log
        self.results = idempotency.ResultWindow(clock_margin_ms)
        self.results_source: execution.ResultsSource | None = None
        self.quarantine = quarantine_lib.Quarantine()
        self.meter = meter_lib.LoadMeter(clock.now_ms())
        self.running: dict[str, Running] = {}
        self.counts: collections.Counter = collections.Counter()
        self.lost: collections.Counter = collections.Counter()
        self.tasks: set[asyncio.Task] = set()
        self.answer_time = connections.AnswerTime()
        self._numbers = itertools.count(1)

    async def execute(
        self, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Runs one request, or refuses it with the true reason."""
        began_ms = clock.now_ms()
        epoch = await self.admission.admit_after_move(
            request.service,
            request.shard,
            target_work.owned_by(request),
            request.deadline_ms,
        )
        if isinstance(epoch, int) and not request.idempotent:
            epoch = await self._admit_with_results(request)
        if isinstance(epoch, errors.Failure):
            return self.refuse(request, epoch)
        request.deadline_ms -= clock.now_ms() - began_ms
        if request.shard >= 0:
            place = pages_lib.ServiceShard(request.service, request.shard)
            self.meter.record_arrival(place, request.key, clock.now_ms())
        if request.idempotent:
            return await self._run_with_place(request)
        if request.shard < 0:
            return self.refuse(request, _WITHOUT_SHARD)
        return await self._run_at_most_once(request, epoch)

    async def _admit_with_results(
        self, request: messages.Request
    ) -> int | errors.Failure:
        """Admits at-most-once work when what ran before is known."""
        if self.results_source is not None:
            await self.results_source.wait_for(request.service, request.shard)
        return self._admit(request)

    def _admit(self, request: messages.Request) -> int | errors.Failure:
        return self.admission.admit(
            request.service, request.shard, target_work.owned_by(request)
        )

    def refuse(
        self, request: messages.Request, failure: errors.Failure
    ) -> messages.Refusal:
        """Builds the refusal of a request and logs it."""
        self.event_log.write(
            "request_refused",
            request_id=request.request_id,
            kind=failure.kind.value,
            message=failure.message,
        )
        return messages.Refusal(
            stream=request.stream,
            request_id=request.request_id,
            kind=failure.kind,
            message=failure.message,
            retry_after_ms=failure.retry_after_ms,
            watermark=self.admission.watermark(),
        )

    def in_flight(self, service: str, shard: int) -> int:
        """Admitted requests that wait for the target's answer."""
        return self.counts[service, shard]

    def unanswered(self, service: str, shard: int) -> int:
        """Requests given up without a whole answer of the target."""
        return self.lost[service, shard]

    def on_target_ended(self) -> list[records.QuarantineRecord]:
        """The target has ended; returns the records of what it ran."""
        self.lost.clear()
        return self.quarantine.crashed(clock.wall_ms())

    async def _run_at_most_once(
        self, request: messages.Request, epoch: int
    ) -> messages.Response | messages.Refusal:
        """Runs work under its idempotency key.

        The work goes on if its caller leaves: its answer is kept for the
        repeat that may come.
        """
        self.results.own(request.service, request.shard, epoch, clock.wall_ms())
        name = idempotency.WorkName(
            request.service, request.key, "", request.idempotency_key
        )
        verdict = self.results.begin(
            clock.wall_ms(),
            request.shard,
            name,
            target_work.fingerprint_of(request),
            request.first_try,
        )
        if isinstance(verdict, idempotency.Decline):
            return self.refuse(request, verdict.failure)
        if isinstance(verdict, idempotency.Replay):
            return self._replay(request, verdict.response)
        task = asyncio.create_task(self._run_and_keep(request, name))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)

    async def _run_and_keep(
        self, request: messages.Request, name: idempotency.WorkName
    ) -> messages.Response | messages.Refusal:
        answer = None
        try:
            answer = await self._run_with_place(request)
        finally:
            self._keep(request, name, answer)
        return answer

    def _keep(
        self,
        request: messages.Request,
        name: idempotency.WorkName,
        answer: messages.Response | messages.Refusal | None,
    ) -> None:
        if isinstance(answer, messages.Response):
            self.results.done(request.shard, name, answer)
        elif (
            answer is not None
            and errors.ANSWERS[answer.kind].ran is errors.Ran.NO
        ):
            self.results.not_run(request.shard, name)
        else:
            self.results.lost(request.shard, name)

    def _replay(
        self, request: messages.Request, kept: messages.Response
    ) -> messages.Response | messages.Refusal:
        """Answers with a kept result, which another node may have kept."""
        fault = response_status.fault_of(kept.status, bool(kept.body))
        if fault:
            failure = errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, fault)
            return self.refuse(request, failure)
        return messages.Response(
            request.stream,
            request.request_id,
            kept.status,
            kept.headers,
            kept.body,
            kept.owner,
            kept.epoch,
        )

    async def _run_with_place(
        self, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Waits for a place at the target, checks again and runs."""
        deadline_at_ms = clock.now_ms() + request.deadline_ms
        mark = target_work.fingerprint_of(request)
        verdict = self.quarantine.check(clock.wall_ms(), mark)
        if isinstance(verdict, errors.Failure):
            return self.refuse(request, verdict)
        self._note_second_attempt(request)
        ticket = limits.Ticket(
            next(self._numbers),
            request.caller,
            deadline_at_ms,
            request.idempotent,
            verdict is quarantine_lib.Verdict.ALONE,
            random.random(),
        )
        slots = self.admission.slots()
        failure = await slots.acquire(ticket)
        if failure is not None:
            return self.refuse(request, failure)
        return await self._run(request, Running(ticket, mark, slots))

    def _note_second_attempt(self, request: messages.Request) -> None:
        """Notes that the entry sends again what runs here in silence."""
        first = self.running.get(request.request_id)
        target = self.admission.target()
        if first is not None and target is not None:
            self._on_silence(request.request_id, first, target)

    def _on_silence(
        self, request_id: str, running: Running, target: targets_base.Target
    ) -> None:
        """The connection of a request that runs says nothing any more."""
        self.event_log.write("target_connection_silent", request_id=request_id)
        running.slots.gone_silent(running.ticket)
        target.retire_idle()

    def _watch_silence(
        self,
        request: messages.Request,
        running: Running,
        target: targets_base.Target,
        fresh: bool,
    ) -> list[asyncio.TimerHandle]:
        """Acts on an idempotent request that gets silent.

        Past the usual time the entry may send it again to another node, whose
        answer ends this attempt: what its silence says of the idle connections
        must be used by then. Later its place is taken back: the other node
        would wait for a place that such a request has there, and so on in a
        circle.
        """
        if not request.idempotent:
            return []
        loop = asyncio.get_running_loop()
        silent_ms = self.answer_time.silent_after_ms()
        silent_s = silent_ms / MILLISECONDS_PER_SECOND
        timers = [
            loop.call_later(
                connections.RETIRE_FACTOR * silent_s,
                self._on_silence,
                request.request_id,
                running,
                target,
            )
        ]
        if not fresh:
            timers.append(
                loop.call_later(silent_s, target.retire_if_silent, silent_ms)
            )
        return timers

    async def _run(
        self,
        request: messages.Request,
        running: Running,
    ) -> messages.Response | messages.Refusal:
        """Runs a request that has its place; gives the place back."""
        began_ms = clock.exact_ms()
        outcome = concurrency_limit.Outcome.ABANDONED
        self.quarantine.started(
            running.ticket.number, running.mark, running.ticket.alone
        )
        self.running.setdefault(request.request_id, running)
        try:
            sent = await self._send(request, running)
            outcome = sent.outcome
        finally:
            if self.running.get(request.request_id) is running:
                del self.running[request.request_id]
            survived = outcome is concurrency_limit.Outcome.DONE
            self.quarantine.finished(
                clock.wall_ms(), running.ticket.number, survived
            )
            running.slots.release(
                running.ticket, outcome, clock.exact_ms() - began_ms
            )
        return sent.answer

    async def _send(self, request: messages.Request, running: Running) -> Sent:
        """Sends to the target; the ownership is checked just before."""
        epoch = self._admit(request)
        if isinstance(epoch, errors.Failure):
            return self._not_sent(request, epoch)
        target = self.admission.target()
        if target is None:
            failure = errors.Failure(
                errors.ErrorKind.NO_TARGET,
                f"no target of {request.service} beside this node",
            )
            return self._not_sent(request, failure)
        deadline_ms = running.ticket.deadline_at_ms - clock.now_ms()
        if deadline_ms <= 0:
            failure = errors.Failure(
                errors.ErrorKind.DEADLINE_EXCEEDED, "its time was over here"
            )
            return self._not_sent(request, failure)
        work = target_work.work_of(request, epoch, deadline_ms)
        # A connection that has gone silent costs a non-idempotent request its
        # outcome, and a repeat its last attempt, so they never meet an older
        # one.
        fresh = request.is_repeat or not request.idempotent
        sent_ms = clock.now_ms()
        silence = self._watch_silence(request, running, target, fresh)
        place = (request.service, request.shard)
        self.counts[place] += 1
        self.meter.record_send(clock.now_ms())
        is_done = False
        try:
            answer = await target.run(work, fresh)
            is_done = True
            self.answer_time.observe(clock.now_ms() - sent_ms)
        except targets_base.TargetError as error:
            return await self._failed(request, error)
        except asyncio.CancelledError:
            self.lost[place] += 1
            self._cancel_at_target(target, request.request_id)
            raise
        finally:
            for timer in silence:
                timer.cancel()
            self.counts[place] -= 1
            self.meter.record_end(clock.now_ms(), is_done)
            if not self.counts[place]:
                self.admission.on_idle(*place)
        response = messages.Response(
            stream=request.stream,
            request_id=request.request_id,
            status=answer.status,
            headers=target_work.without_own_headers(answer.headers),
            body=answer.body,
            owner=self.incarnation,
            epoch=epoch,
        )
        return Sent(response, concurrency_limit.Outcome.DONE)

    async def _failed(
        self, request: messages.Request, error: targets_base.TargetError
    ) -> Sent:
        if isinstance(error, targets_base.LostError):
            self.lost[request.service, request.shard] += 1
            if error.connection_ended:
                await self.crash_watch.after_lost_connection()
        refusal = self.refuse(request, error.failure)
        return Sent(refusal, target_work.outcome_of(error))

    def _not_sent(
        self, request: messages.Request, failure: errors.Failure
    ) -> Sent:
        refusal = self.refuse(request, failure)
        return Sent(refusal, concurrency_limit.Outcome.ABANDONED)

    def _cancel_at_target(
        self, target: targets_base.Target, request_id: str
    ) -> None:
        task = asyncio.create_task(_cancel(target, request_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


async def _cancel(target: targets_base.Target, request_id: str) -> None:
    try:
        await target.cancel(request_id)
    except targets_base.TargetError:
        # The work ends with its deadline; nobody waits for it.
        return
