"""Runs requests at the target beside this node.

All requests to the target pass through this module, whichever node received
them from a caller. The checks of slots, queue, owned keys and draining are made
here, immediately before the request is sent.
"""

import asyncio
from collections.abc import Callable

from auburnrock import errors
from auburnrock.engine.mesh import admission_queue
from auburnrock.engine.mesh import byte_budget
from auburnrock.engine.mesh import crash_suspects as suspects_module
from auburnrock.engine.mesh import evacuation
from auburnrock.engine.mesh import farewells as farewells_module
from auburnrock.engine.mesh import hot_stripes as heat_module
from auburnrock.engine.mesh import link_share
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import rank_reservation
from auburnrock.engine.mesh import reported_load
from auburnrock.engine.mesh import service_time_ratio as ratio_module
from auburnrock.engine.mesh import target_grants as holder_module
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import http_client
from auburnrock.shells.mesh import metrics as metrics_module
from auburnrock.shells.mesh import target_identity
from auburnrock.shells.mesh import wire_protocol

NON_IDEMPOTENT_IDLE_MAX_MS = 500.0
"""Longest idle time of a connection used for a request that is not idempotent.
A target may drop an idle connection, and a request sent on it would be lost."""

IDLE_MAX_MS = 8_000.0
"""Longest idle time of a connection used for an idempotent request; the target
may be about to close an older one."""

ANSWER_GRACE_MS = 30.0
"""Time after the deadline for which the response is awaited: a target may
respond at the deadline itself."""

DRAIN_MARGIN_MS = 250.0
"""Time before the end of the drain period at which requests are no longer
accepted, as they take time to reach the target."""

EXPIRY_INTERVAL_S = 0.02
"""Interval at which queued requests are checked against their deadlines."""

CRASH_WINDOW_MS = 400.0
"""Connections that break within this time before a target's end are attributed
to its crash."""

CRASH_CHECK_MS = 15.0
"""Delay between the break of a connection and the check of the target's
port."""

LONG_WAIT_MS = 50.0
"""Waits in the queue longer than this are logged."""

READY_HEARTBEATS_MIN = {"heartbeat": 2, "farewell": 3}
"""Number of heartbeats that say that the target accepts work, after which a
drain ends, by the drain's cause. A response says certainly that its target
leaves."""

_OWN_RESPONSES = frozenset(
    {model.TargetVerdict.ANSWER, model.TargetVerdict.NOT_RUN}
)
"""Verdicts on responses that certainly come from the target itself."""


class BrokenConnection:
    """A connection that broke before the response to a request.

    Attributes:
      broken_ms: when it broke.
      target: the target's heartbeat when the request was sent.
      fingerprint: fingerprint of the request.
    """

    __slots__ = ("broken_ms", "fingerprint", "target")

    def __init__(
        self, broken_ms: float, target: model.Heartbeat, fingerprint: str
    ):
        self.broken_ms = broken_ms
        self.target = target
        self.fingerprint = fingerprint


class Executor:
    """Runs requests at the target beside this node, through a queue.

    Attributes:
      holder: grants of keys to the target.
      queue: admission queue before the target.
      stripe_load: offered work per stripe of the target's keys.
      client: connections to the target.
      target: the target's latest heartbeat; None before the first and after
        the target has ended.
      drain_since_ms: when the target's drain began; None if it does not drain.
      service_time_ratio: estimate of the target's speed.
      host_speed: speed of the target's host as the target reports it.
      keyed: whether the target's service is divided by key.
      leaving: incarnation of the target that has said in a response or in a
        farewell, to this process or a former one of this node, that it leaves;
        None without one.
      farewells: farewells that this process has received.
      former_drain: incarnation of the target whose heartbeats told the former
        process of this node that it drains; None without one.
      evacuations: zones whose targets must receive no requests.
      closing: whether new requests are refused, as this process stops.
      bound: when this process stops.
      resumed: incarnation of the target that the former process of this node
        knew, until the first heartbeat is received here; None after.
      drain_cause: what began the drain.
      ready_heartbeats: heartbeats since the drain began that say that the
        target accepts work.
      health_path: path at which the target says which one it is; empty if it
        is unknown.
      broken_connections: connections to the target that broke lately.
    """

    def __init__(
        self,
        settings: model.Settings,
        protocol: wire_protocol.WireProtocol,
        holder: holder_module.TargetGrants,
        suspects: suspects_module.CrashSuspects,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        now_ms: Callable[[], float],
        budget: byte_budget.ByteBudget,
    ):
        self.settings = settings
        self.protocol = protocol
        self.holder = holder
        self.suspects = suspects
        self.log = log
        self.metrics = metrics
        self.now_ms = now_ms
        self.queue = admission_queue.AdmissionQueue(1)
        if settings.reserves_slots:
            self.queue.reservation = rank_reservation.RankReservation()
        self.stripe_load = heat_module.StripeLoad(now_ms())
        self.client = http_client.ConnectionPool(
            settings.target_address, now_ms, budget
        )
        self.target: model.Heartbeat | None = None
        self.drain_since_ms: float | None = None
        self.drain_cause = ""
        self.ready_heartbeats = 0
        self.health_path = ""
        self.service_time_ratio = ratio_module.ServiceTimeRatio(now_ms())
        self.host_speed = reported_load.HostSpeed()
        self.keyed = False
        self.evacuations = evacuation.Evacuations()
        self.closing = False
        self.bound = admission_queue.AnswerBound()
        self.resumed: model.Incarnation | None = None
        self.leaving: model.Incarnation | None = None
        self.farewells = farewells_module.Farewells()
        self.former_drain: model.Incarnation | None = None
        self.last_number = 0
        self.decision_futures: dict[int, asyncio.Future] = {}
        self.broken_connections: list[BrokenConnection] = []
        self.on_grants_end: Callable[[], None] = lambda: None
        self.on_suspicion: Callable[[list[suspects_module.Suspicion]], None]
        self.on_suspicion = lambda suspicions: None
        self.checking_port = False
        self.loop = asyncio.get_running_loop()

    def apply_heartbeat(self, beat: model.Heartbeat) -> None:
        """Applies a heartbeat that differs from the last one."""
        now_ms = self.now_ms()
        known = self.target
        is_new = known is None or (
            (known.target, known.started_ms) != (beat.target, beat.started_ms)
        )
        if is_new:
            if known is not None:
                # It ended without notice, and its port is open again.
                self._record_crash(known)
            self.client.close()
            self.drain_since_ms = None
            self.queue.rate_limit.set(now_ms, None)
            self.service_time_ratio = ratio_module.ServiceTimeRatio(now_ms)
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
        self.queue.slots = beat.slots
        self._apply_cold_start(now_ms, beat)
        if beat.state is model.TargetState.DRAINING:
            self.ready_heartbeats = 0
            self.begin_drain("heartbeat")
            self._count_former_drain()
        elif self.drain_since_ms is not None:
            self._count_ready_heartbeat(beat)
        if is_new:
            self._resume_drain()
        self.dispatch_decisions(self.queue.start_queued(now_ms))

    def _apply_cold_start(self, now_ms: float, beat: model.Heartbeat) -> None:
        """Applies what a heartbeat says of the target's cold start."""
        cold_start = self.queue.cold_start
        was_limited = cold_start.is_limited(now_ms)
        cold_start.on_heartbeat(now_ms, beat.cold_ms)
        is_limited = cold_start.is_limited(now_ms)
        if is_limited != was_limited:
            self.log.write(
                "target_cold" if is_limited else "target_warm",
                target=beat.target,
                cold_ms=int(beat.cold_ms),
                limit_per_s=cold_start.per_s,
            )

    def resume_target(
        self,
        incarnation: model.Incarnation,
        slots: int,
        ratio: float,
        limit_per_s: float,
        limited_share: float,
        is_cold: bool = False,
    ) -> None:
        """Resumes the target that the former process of this node knew.

        This holds until the target's first heartbeat is received here, which
        may take seconds. Each request names the target, so that another target
        at its address runs none; keys are checked by the target alone.
        """
        limit = self.queue.rate_limit
        if self.holder.incarnation == incarnation:
            self._restore_speed(ratio)
            limit.restore(self.now_ms(), limit_per_s, limited_share)
        is_known = (
            self.holder.incarnation is not None
            or self.holder.last_ended is not None
        )
        if self.target is not None or is_known or slots <= 0:
            return
        if self.farewells.has_left(incarnation.target):
            self.log.write("target_not_resumed", target=incarnation.target)
            return
        self.resumed = incarnation
        if is_cold:
            self.queue.cold_start.on_possible_restart()
        self._restore_speed(ratio)
        limit.restore(self.now_ms(), limit_per_s, limited_share)
        self.target = model.Heartbeat(
            target=incarnation.target,
            started_ms=incarnation.started_ms,
            service=self.settings.service,
            address=self.settings.target_address,
            zone=self.settings.zone,
            version="",
            slots=slots,
            state=model.TargetState.READY,
            sequence=-1,
            cold_ms=0.0,
            held_ranges=[],
            freed_ranges=[],
        )
        self.queue.slots = slots
        self.log.write("target_resumed", target=incarnation.target, slots=slots)

    def _restore_speed(self, ratio: float) -> None:
        """Restores a speed that a peer tells, unless it is the default."""
        if ratio != ratio_module.DEFAULT_SERVICE_TIME_RATIO:
            self.service_time_ratio.restore(ratio)

    def resume_speed(self) -> bool:
        """Takes the target's speed from its share of the keys, if unmeasured.

        Returns:
          Whether the target and its share are known.
        """
        table = self.holder.table
        if table is None or self.holder.incarnation is None:
            return False
        share = table.relative_share(self.settings.ip)
        if share > 0.0:
            self.service_time_ratio.restore(ratio_module.ratio_of_share(share))
            self.log.write(
                "speed_resumed",
                share=round(share, 3),
                pace=round(self.service_time_ratio.mean, 3),
            )
        return True

    def resume_drain(self, incarnation: model.Incarnation) -> None:
        """Resumes the drain of a target whose response said that it leaves.

        The former process of this node received it. The drain period counts as
        over, since its beginning is not known.
        """
        self.leaving = incarnation
        self._resume_drain()

    def _resume_drain(self) -> None:
        if self.target is None or self.drain_since_ms is not None:
            return
        incarnation = self._incarnation(self.target)
        if self.farewells.includes(incarnation):
            self.leaving = incarnation
        if incarnation == self.leaving:
            self.begin_drain("resumed")
            self.drain_since_ms -= self.settings.bounds.drain_ms

    def resume_heartbeat_drain(self, incarnation: model.Incarnation) -> None:
        """Resumes the drain of a target whose heartbeats said that it leaves.

        The next heartbeat says whether it still does. Until then the target is
        not used, also if an older entry made it known.
        """
        self.former_drain = incarnation
        if self.resumed == incarnation:
            self.target = None
            self.resumed = None
            self.refuse_queued()
            self.log.write("target_not_resumed", target=incarnation.target)
        self._count_former_drain()

    def _count_former_drain(self) -> None:
        """Counts the drain period as over if the former process began it."""
        if self.target is None or self.drain_since_ms is None:
            return
        if self._incarnation(self.target) == self.former_drain:
            self.former_drain = None
            self.drain_since_ms -= self.settings.bounds.drain_ms

    def on_farewell(self, unix_ms: int, target: str) -> None:
        """Handles a farewell, whether or not the target is known here."""
        self.farewells.record(unix_ms, target)
        if self.target is not None and self.target.target == target:
            self.leaving = self._incarnation(self.target)
            self.begin_drain("farewell")

    def _incarnation(self, beat: model.Heartbeat) -> model.Incarnation:
        return model.Incarnation(self.settings.ip, beat.target, beat.started_ms)

    def begin_drain(self, cause: str) -> None:
        """Begins the drain; the target receives no new requests after it."""
        if self.drain_since_ms is None and self.target is not None:
            self.drain_since_ms = self.now_ms()
            self.drain_cause = cause
            self.ready_heartbeats = 0
            self.holder.on_leaving()
            self.on_grants_end()
            self.log.write(
                "target_draining", target=self.target.target, cause=cause
            )

    def _count_ready_heartbeat(self, beat: model.Heartbeat) -> None:
        """Ends a drain that the target's later heartbeats contradict.

        Another writer said then that it leaves. A target that leaves sends no
        such heartbeat; a few late ones may follow its farewell.
        """
        self.ready_heartbeats += 1
        needed = READY_HEARTBEATS_MIN.get(self.drain_cause)
        if needed is None or self.ready_heartbeats < needed:
            return
        self.log.write(
            "drain_revoked", target=beat.target, cause=self.drain_cause
        )
        self.drain_since_ms = None
        self.leaving = None
        self.farewells.forget(beat.target)
        self.holder.on_drain_revoked()
        self.on_grants_end()

    async def identify_target(self) -> str:
        """Asks the target's address for the target's id; empty if unknown."""
        try:
            return await target_identity.identify(
                self.client,
                self.settings.target_address,
                self.health_path,
                self.protocol,
                self.log,
            )
        except http_client.ConnectError as error:
            if error.no_listener and self.target is not None:
                self._record_crash(self.target)
                self.mark_target_ended("connection_refused")
            return ""

    def on_target_replaced(self, beat: model.Heartbeat) -> None:
        """Handles that the target's address is that of another target now."""
        known = self.target
        is_known = known is not None and self.resumed is None
        if is_known and known.target != beat.target:
            self._record_crash(known)
            self.mark_target_ended("replaced")
        self.holder.on_former_ended()

    def mark_target_ended(self, cause: str) -> None:
        """Records that this incarnation of the target has certainly ended."""
        if self.target is None:
            return
        self.log.write(
            "target_ended",
            target=self.target.target,
            cause=cause,
            running=len(self.queue.running),
        )
        self.target = None
        self.resumed = None
        self.client.close()
        self.holder.on_target_ended()
        self.refuse_queued()
        self.on_grants_end()

    def on_bound_changed(self) -> None:
        """Refuses the queued requests whose answer would come too late."""
        self.dispatch_decisions(self.queue.shed_overdue(self.now_ms()))

    def refuse_queued(self) -> None:
        """Refuses all queued requests, as there is no target to use."""
        for number in list(self.queue.queued):
            self.queue.on_request_ended(self.now_ms(), number, False)
            self._deliver_decision(number, None)

    def load_report(self) -> target_selection.LoadReport:
        """Returns the target's load for peers."""
        if self.target is None:
            return target_selection.NO_TARGET
        now_ms = self.now_ms()
        return target_selection.LoadReport(
            self.queue.slots,
            len(self.queue.running),
            len(self.queue.queued),
            # Integers are shorter on the wire, and peers receive many reports.
            round(self.queue.expected_wait_ms(now_ms)),
            self.service_time_ratio.mean * self.queue.slowness(now_ms),
            self.drain_since_ms is not None
            or self.evacuations.is_evacuated(self.settings.zone),
            round(self.queue.cold_start.left_ms(now_ms)),
            self.service_time_ratio.capacity_weight(self.queue.slots)
            * self.queue.rate_limit.share,
            round(100 * self.stripe_load.utilisation(now_ms, self.queue.slots)),
            self.host_speed.present_percent(now_ms),
        )

    async def run(
        self,
        run: peer_messages.RunRequest,
        on_sent: Callable[[], None] = lambda: None,
        sender_bound: admission_queue.AnswerBound | None = None,
    ) -> peer_messages.RunOutcome:
        """Runs a request at the target, or refuses it.

        If this call is cancelled, a queued request leaves the queue. A request
        at the target is aborted if it is idempotent; otherwise it runs to its
        end, and its response is discarded.

        Args:
          run: the request.
          on_sent: called before the request is sent to the target.
          sender_bound: when the process that sent the request stops; None for
            this process.
        """
        received_ms = self.now_ms()
        refusal = self._admission_refusal(run)
        if refusal is not None:
            return refusal
        if run.key != model.NO_KEY:
            self._record_arrival(received_ms, run)
        if run.is_download and self.queue.link_share is None:
            self.queue.link_share = link_share.of_link(
                self.settings.link_mbps, received_ms
            )
        self.last_number += 1
        number = self.last_number
        ticket = admission_queue.QueuedRequest(
            number,
            run.kind,
            run.priority,
            received_ms + run.objective_left_ms,
            received_ms + run.left_ms,
            run.objective_ms,
            max_queue_wait_ms=run.max_queue_wait_ms,
            is_download=run.is_download,
            bounds=(self.bound, sender_bound or self.bound),
        )
        decision = self.queue.offer(received_ms, ticket)
        if isinstance(decision, admission_queue.Queued):
            decision = await self._wait(ticket)
        if decision is None:
            return self._refused(run, errors.ErrorKind.NO_TARGET, 100.0)
        if isinstance(decision, admission_queue.Rejected):
            return self._overloaded(run, decision, received_ms)
        work = self._run_admitted(run, ticket, on_sent)
        if run.idempotent:
            return await work
        # A task of its own runs to its end if this call is cancelled.
        return await asyncio.shield(self.loop.create_task(work))

    def _record_arrival(
        self, now_ms: float, run: peer_messages.RunRequest
    ) -> None:
        """Records the work of a keyed request if its service time is known."""
        work_ms = self.queue.work_times.means.get(run.kind)
        if work_ms is not None and self.holder.table is not None:
            stripe = self.holder.table.stripe_of(run.key)
            self.stripe_load.record_arrival(now_ms, stripe, work_ms)

    async def _wait(
        self, ticket: admission_queue.QueuedRequest
    ) -> admission_queue.Admitted | admission_queue.Rejected | None:
        future = self.loop.create_future()
        self.decision_futures[ticket.number] = future
        try:
            return await future
        except asyncio.CancelledError:
            self.dispatch_decisions(
                self.queue.on_request_ended(self.now_ms(), ticket.number, False)
            )
            raise
        finally:
            self.decision_futures.pop(ticket.number, None)

    async def _run_admitted(
        self,
        run: peer_messages.RunRequest,
        ticket: admission_queue.QueuedRequest,
        note_sent: Callable[[], None],
    ) -> peer_messages.RunOutcome:
        """Sends a request that has a slot, and releases the slot."""
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
                    running=len(self.queue.running),
                    waiting=len(self.queue.queued),
                )
            refusal = self._target_refusal(run)
            if refusal is not None:
                end = "barred"
                return refusal
            outcome = await self._send(run, ticket, note_sent)
            completed = isinstance(outcome, peer_messages.Answered)
            end = type(outcome).__name__.lower()
            return outcome
        finally:
            now_ms = self.now_ms()
            self.metrics.observe_service_time(
                end, (now_ms - started_ms) / 1_000
            )
            self.dispatch_decisions(
                self.queue.on_request_ended(now_ms, ticket.number, completed)
            )

    async def _send(
        self,
        run: peer_messages.RunRequest,
        ticket: admission_queue.QueuedRequest,
        on_sent: Callable[[], None],
    ) -> peer_messages.RunOutcome:
        idle_ms = IDLE_MAX_MS if run.idempotent else NON_IDEMPOTENT_IDLE_MAX_MS
        target = self.target
        try:
            connection = await self.client.acquire(idle_ms)
        except http_client.ConnectError as error:
            if error.no_listener and self._is_current(target):
                self._record_crash(target)
                self.mark_target_ended("connection_refused")
            else:
                self.queue.cold_start.on_possible_restart()
            return self._refused(
                run, errors.ErrorKind.TARGET_REFUSED, 100.0, str(error)
            )
        if not self._is_current(target):
            self.client.release(connection)
            return self._refused(run, errors.ErrorKind.NO_TARGET, 100.0)
        now_ms = self.now_ms()
        if self._is_evacuated(now_ms, run):
            # The zone was evacuated while the connection was opened.
            self.client.release(connection)
            return self._refused(run, errors.ErrorKind.DRAINING, 50.0)
        left_ms = ticket.deadline_at_ms - now_ms
        if left_ms < 1.0:
            self.client.release(connection)
            return self._refused(run, errors.ErrorKind.DEADLINE_EXCEEDED, 0.0)
        data = self.protocol.encode_target_request(run, target.target, left_ms)
        on_sent()
        try:
            async with asyncio.timeout((left_ms + ANSWER_GRACE_MS) / 1_000):
                response = await connection.exchange(
                    data,
                    lambda response: self.protocol.matches_attempt(
                        response, run.attempt
                    ),
                )
        except TimeoutError:
            connection.abort()
            return self._lost(run, errors.ErrorKind.DEADLINE_EXCEEDED, now_ms)
        except http_client.ConnectionBrokenError as error:
            connection.abort()
            self._record_broken_connection(target, run.fingerprint)
            return self._lost(
                run, errors.ErrorKind.OUTCOME_UNKNOWN, now_ms, str(error)
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        verdict = self.protocol.classify_response(response, run.attempt)
        names_attempt = self.protocol.names_attempt(response, run.attempt)
        if not names_attempt and connection.exchange_count > 1:
            # It may belong to an earlier request on this connection.
            verdict = model.TargetVerdict.UNUSABLE
        if verdict is model.TargetVerdict.ANSWER:
            self.client.release(connection)
        else:
            # A faulty target may send the same refusal again.
            connection.abort()
        return self._outcome_of(run, target, response, verdict, now_ms)

    def _is_current(self, target: model.Heartbeat) -> bool:
        """Whether this incarnation of the target is still the current one."""
        now = self.target
        return now is not None and (
            (now.target, now.started_ms) == (target.target, target.started_ms)
        )

    def _outcome_of(
        self,
        run: peer_messages.RunRequest,
        target: model.Heartbeat,
        response: http_client.Response,
        verdict: model.TargetVerdict,
        sent_ms: float,
    ) -> peer_messages.RunOutcome:
        if verdict in _OWN_RESPONSES:
            ends_limit = verdict is model.TargetVerdict.ANSWER
            self._apply_notice(run, target, response, ends_limit)
        if verdict is model.TargetVerdict.NOT_RUN:
            return self._refused(
                run,
                errors.ErrorKind.TARGET_REFUSED,
                50.0,
                f"status {response.status}",
                reached=True,
            )
        if verdict is model.TargetVerdict.OTHER_TARGET:
            return self._refused(
                run,
                errors.ErrorKind.NOT_OWNER,
                50.0,
                f"status {response.status}",
                reached=True,
            )
        if verdict is model.TargetVerdict.UNUSABLE:
            return self._lost(
                run,
                errors.ErrorKind.OUTCOME_UNKNOWN,
                sent_ms,
                f"status {response.status} is not a response of the target",
            )
        if run.is_download and self.queue.link_share is not None:
            self.queue.link_share.on_response(len(response.body))
        now_ms = self.now_ms()
        work_ms = now_ms - sent_ms
        if response.status < 500:
            self._clear_suspect(now_ms, run)
        if response.status < 300 and run.objective_ms > 0:
            # The share of the keys follows the usual speed: a host that is slow
            # for a moment would move keys away and back.
            usual_ms = work_ms * 100 / self.host_speed.present_percent(now_ms)
            self.service_time_ratio.add(now_ms, usual_ms, run.objective_ms)
        return peer_messages.Answered(
            run.number,
            response.status,
            self.protocol.forwarded_headers(response.headers),
            response.body,
            self.load_report(),
            work_ms,
        )

    def _apply_notice(
        self,
        run: peer_messages.RunRequest,
        target: model.Heartbeat,
        response: http_client.Response,
        ends_limit: bool,
    ) -> None:
        """Applies what the target says of itself in a response.

        Args:
          run: the request.
          target: the target's heartbeat when the request was sent.
          response: the response.
          ends_limit: whether a response that names no limit ends one.
        """
        if not self._is_current(target):
            return
        notice = self.protocol.decode_notice(response)
        self.host_speed.on_figure(self.now_ms(), notice.host_percent)
        if notice.leaving:
            self.leaving = self._incarnation(target)
            self.begin_drain("response")
        if notice.unreadable:
            self.log.write(
                "limit_unreadable",
                attempt=run.attempt,
                target=target.target,
                value=notice.unreadable,
            )
            return
        if notice.limit_per_s is None and not ends_limit:
            return
        limit = self.queue.rate_limit
        if limit.set(self.now_ms(), notice.limit_per_s):
            self.log.write(
                "target_limited",
                attempt=run.attempt,
                target=target.target,
                limit_per_s="" if limit.per_s is None else limit.per_s,
                arrivals_per_s=round(limit.arrivals.at(self.now_ms()), 1),
                share=round(limit.share, 3),
            )

    def _clear_suspect(
        self, now_ms: float, run: peer_messages.RunRequest
    ) -> None:
        """Ends the suspicion of a request that the target has completed."""
        cleared = self.suspects.on_answer(now_ms, run.fingerprint)
        if cleared is None:
            return
        self.log.write(
            "suspect_cleared",
            attempt=run.attempt,
            mark=run.fingerprint,
            crashes=len(cleared.crashes),
        )
        self.on_suspicion([cleared])

    def dispatch_decisions(self, decided: list) -> None:
        """Delivers the queue's decisions to the waiting requests."""
        for decision in decided:
            self._deliver_decision(decision.request.number, decision)

    def expire_overdue(self) -> None:
        """Refuses requests queued past their deadline.

        It also starts those that the target's limit allows by now. It is called
        every EXPIRY_INTERVAL_S.
        """
        if self.queue.queued:
            now_ms = self.now_ms()
            self.dispatch_decisions(self.queue.shed_overdue(now_ms))
            if self.queue.is_limited(now_ms):
                self.dispatch_decisions(self.queue.start_queued(now_ms))

    def _deliver_decision(
        self,
        number: int,
        decision: admission_queue.Admitted | admission_queue.Rejected | None,
    ) -> None:
        future = self.decision_futures.get(number)
        if future is not None and not future.done():
            future.set_result(decision)
        elif isinstance(decision, admission_queue.Admitted):
            # The request was cancelled; its slot is released.
            self.dispatch_decisions(
                self.queue.on_request_ended(self.now_ms(), number, False)
            )

    def _admission_refusal(
        self, run: peer_messages.RunRequest
    ) -> peer_messages.Refused | None:
        """Returns a refusal if a new request must not be queued now."""
        if self.closing:
            return self._refused(run, errors.ErrorKind.DRAINING, 300.0)
        return self._target_refusal(run)

    def _target_refusal(
        self, run: peer_messages.RunRequest
    ) -> peer_messages.Refused | None:
        """Returns a refusal if the target must not receive this request now."""
        now_ms = self.now_ms()
        if self.target is None:
            return self._refused(run, errors.ErrorKind.NO_TARGET, 200.0)
        if run.service != self.target.service:
            return self._refused(run, errors.ErrorKind.NOT_OWNER, 0.0)
        if self.drain_since_ms is not None:
            allowed_ms = self.settings.bounds.drain_ms - DRAIN_MARGIN_MS
            is_over = now_ms - self.drain_since_ms > allowed_ms
            if is_over or run.key == model.NO_KEY:
                return self._refused(run, errors.ErrorKind.DRAINING, 50.0)
        if self._is_evacuated(now_ms, run):
            return self._refused(
                run, errors.ErrorKind.DRAINING, 50.0, "zone evacuated"
            )
        if run.key != model.NO_KEY and not self._has_key(now_ms, run.key):
            return self._refused(run, errors.ErrorKind.MOVING, 100.0)
        refused_ms = self.suspects.refused_for_ms(now_ms, run.fingerprint)
        if refused_ms > 0.0:
            return self._refused(run, errors.ErrorKind.QUARANTINED, refused_ms)
        return None

    def _is_evacuated(
        self, now_ms: float, run: peer_messages.RunRequest
    ) -> bool:
        """Whether the evacuation of the target's zone bars a request now."""
        is_keyed = run.key != model.NO_KEY
        return not self.evacuations.may_send(
            now_ms, self.settings.zone, is_keyed
        )

    def _is_drained(self) -> bool:
        """Whether the target has been draining for the whole drain period."""
        if self.drain_since_ms is None:
            return False
        drained_ms = self.now_ms() - self.drain_since_ms
        return drained_ms >= self.settings.bounds.drain_ms

    def _has_key(self, now_ms: float, key: int) -> bool:
        """Whether the target may serve a key now."""
        table = self.holder.table
        if self.resumed is not None and table is not None:
            return table.owner_of(key) == self.resumed
        return self.holder.may_serve(now_ms, key)

    def _refused(
        self,
        run: peer_messages.RunRequest,
        kind: errors.ErrorKind,
        retry_after_ms: float,
        reason: str = "",
        reached: bool = False,
    ) -> peer_messages.Refused:
        self.log.write(
            "target_declined",
            attempt=run.attempt,
            kind=kind.value,
            reached=reached,
            reason=reason,
            mark=run.fingerprint,
            key=run.key,
            table=self.holder.table.version if self.holder.table else 0,
        )
        return peer_messages.Refused(
            run.number, kind.value, retry_after_ms, reached, self.load_report()
        )

    def _overloaded(
        self,
        run: peer_messages.RunRequest,
        refusal: admission_queue.Rejected,
        received_ms: float,
    ) -> peer_messages.Refused:
        self.log.write(
            "turned_away",
            attempt=run.attempt,
            route=run.kind,
            wait_ms=int(refusal.expected_wait_ms),
            held_ms=int(self.now_ms() - received_ms),
            running=len(self.queue.running),
            waiting=len(self.queue.queued),
            retry_after_ms=int(refusal.retry_after_ms),
        )
        return peer_messages.Refused(
            run.number,
            errors.ErrorKind.OVERLOADED.value,
            refusal.retry_after_ms,
            False,
            self.load_report(),
        )

    def _lost(
        self,
        run: peer_messages.RunRequest,
        kind: errors.ErrorKind,
        sent_ms: float,
        reason: str = "",
    ) -> peer_messages.Lost:
        self.log.write(
            "answer_lost",
            attempt=run.attempt,
            kind=kind.value,
            target=self.target.target if self.target else "",
            sent_ago_ms=int(self.now_ms() - sent_ms),
            mark=run.fingerprint,
            reason=reason,
        )
        return peer_messages.Lost(run.number, kind.value, self.load_report())

    def _record_broken_connection(
        self, target: model.Heartbeat, fingerprint: str
    ) -> None:
        """Records a broken connection, and schedules a check of the port.

        A target that ends after its drain interrupts requests without a crash.
        """
        now_ms = self.now_ms()
        self.broken_connections = [
            broken
            for broken in self.broken_connections
            if now_ms - broken.broken_ms < CRASH_WINDOW_MS
        ]
        if not (self._is_current(target) and self._is_drained()):
            self.broken_connections.append(
                BrokenConnection(now_ms, target, fingerprint)
            )
        if not self.checking_port:
            self.checking_port = True
            self.loop.call_later(CRASH_CHECK_MS / 1_000, self._check_port)

    def _check_port(self) -> None:
        self.loop.create_task(self._check_crash())

    async def _check_crash(self) -> None:
        """Distinguishes a crash of the target from a lost connection."""
        known = self.target
        try:
            self.client.release(await self.client.open())
        except http_client.ConnectError as error:
            if error.no_listener:
                for broken in list(self.broken_connections):
                    self._record_crash(broken.target)
                if known is not None and self._is_current(known):
                    self.mark_target_ended("crash")
        finally:
            self.checking_port = False

    def _record_crash(self, target: model.Heartbeat) -> None:
        """Suspects the requests that a target was running when it crashed."""
        now_ms = self.now_ms()
        incarnation = self._incarnation(target)
        fingerprints = {
            broken.fingerprint
            for broken in self.broken_connections
            if now_ms - broken.broken_ms < CRASH_WINDOW_MS
            and broken.target.target == target.target
            and broken.target.started_ms == target.started_ms
        }
        news = self.suspects.on_crash(now_ms, incarnation, fingerprints)
        for suspicion in news:
            mark = suspicion.fingerprint
            self.log.write(
                "crash_suspect",
                mark=mark,
                crashes=self.suspects.crash_count(now_ms, mark),
                target=target.target,
            )
        self.on_suspicion(news)
