"""Receives callers' requests and sends each exactly one final response."""

import asyncio
from collections.abc import Awaitable, Callable
import math
import random

from auburnrock import errors
from auburnrock.engine.mesh import crash_suspects as suspects_module
from auburnrock.engine.mesh import evacuation
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import retry_budget
from auburnrock.engine.mesh import routing
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import http_server
from auburnrock.shells.mesh import metrics as metrics_module
from auburnrock.shells.mesh import wire_protocol

NO_DEADLINE_MS = 30_000.0
"""Deadline of requests whose caller states none; the route's timeout is
shorter."""

DEADLINE_GRACE_MS = 60.0
"""Time after the deadline for which the target's own response is awaited."""

ATTEMPT_TIME_MIN_MS = 5.0
"""Least time before the deadline to send a request to a target: about a round
trip."""

MOVE_POLL_S = 0.02
"""Interval at which a request polls for the new owner of its key."""

MOVE_WAIT_SHARE = 0.5
"""Share of the latency objective for which a request waits while its key moves.
A planned move takes two heartbeat replies; a response after it is in time."""

EXCLUSION_MS = 250.0
"""Time for which a target that is gone or draining is not chosen; the next
ping of its node brings its state."""

NOT_READY_RETRY_MS = 300.0
"""Retry delay sent to callers until a configuration is known: the time of one
read of the store."""

NO_OWNER_RETRY_MS = 400.0
"""Retry delay sent to callers when the owner of their key is lost."""

STOPPING_RETRY_MS = 50.0
"""Retry delay sent to callers of a node that stops; other nodes serve them."""

DECLINED_NODES_MAX = 3
"""A request without a key is refused once it was sent more often than this."""

_FINAL_KEYED_REFUSALS = frozenset(
    {errors.ErrorKind.OVERLOADED, errors.ErrorKind.PEER_UNREACHABLE}
)
"""Refusals of a keyed request that a short wait does not change while the key
keeps its owner."""

Execute = Callable[
    [str, peer_messages.RunRequest], Awaitable[peer_messages.RunOutcome]
]

Send = Callable[
    ["Attempt", target_selection.Candidate],
    Awaitable[peer_messages.RunOutcome],
]


class Attempt:
    """A caller's request until its final outcome.

    Attributes:
      keyed: whether only the owner of its key may run the request.
      tried_nodes: nodes to which the request was sent.
      fails_over: whether the target's node is silent and a retry at another
        target has been charged to the retry budget.
      counted: targets whose present send is already counted as reached.
      open_sends: number of sends that have no outcome yet.
      overtaken: target whose cancelled send counts as a failure, since sends to
        it have lost to hedges; empty for none.
      failure: the last response that reports a failure of the target itself;
        None if a later attempt may have run.
      wait_declined: nodes that declined only because the request would have
        had to wait in their queue.
      tries: number of times that the request was sent to a node.
      reached_targets: nodes whose target may have begun to run the request.
    """

    __slots__ = (
        "body",
        "counted",
        "deadline_ms",
        "fails_over",
        "failure",
        "fingerprint",
        "head",
        "keyed",
        "lost",
        "method",
        "moving_since_ms",
        "objective_ms",
        "open_sends",
        "outcome_until_ms",
        "overtaken",
        "path",
        "reached",
        "reached_targets",
        "retry_after_ms",
        "route",
        "service",
        "started_ms",
        "tried_nodes",
        "tries",
        "wait_declined",
    )

    def __init__(self, head: model.RequestHead, started_ms: float):
        self.head = head
        self.started_ms = started_ms
        self.tried_nodes: set[str] = set()
        self.reached_targets: set[str] = set()
        self.wait_declined: set[str] = set()
        self.tries = 0
        self.reached = 0
        self.lost = False
        self.failure: peer_messages.Answered | None = None
        self.fails_over = False
        self.counted: set[str] = set()
        self.open_sends = 0
        self.overtaken = ""
        self.moving_since_ms = 0.0
        self.retry_after_ms = 0.0

    def count_reached(self, target: str) -> None:
        """Records that a target may have begun to run the request."""
        if target not in self.counted:
            self.counted.add(target)
            self.reached += 1
            self.reached_targets.add(target)


class Dispatcher:
    """The part of a node that serves callers.

    Attributes:
      configuration: the newest configuration known; None before the first.
      tables: key table by service.
      members: records of all nodes.
      entries: directory entries of all nodes, by name.
      groups: targets by service.
      retry_budgets: retry budgets by service.
      evacuations: zones whose targets must receive no requests.
      ends_ms: when this process stops, once it refuses what may outlast it.
      stops_ms: when this process stops, from the beginning of its stop.
      sends: time-outs of the sends that have no outcome, by number.
      in_flight: requests that were sent to a node and have no outcome, with
        the target, by number.
      send: sends a request to one target, and perhaps to a second one while
        the first has not answered.
      execute: runs a request at the target of the named node.
      reachable: whether a request can be sent to the named node.
    """

    def __init__(
        self,
        settings: model.Settings,
        protocol: wire_protocol.WireProtocol,
        suspects: suspects_module.CrashSuspects,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        now_ms: Callable[[], float],
        execute: Execute,
    ):
        self.settings = settings
        self.protocol = protocol
        self.suspects = suspects
        self.log = log
        self.metrics = metrics
        self.now_ms = now_ms
        self.execute = execute
        self.reachable: Callable[[str], bool] = lambda name: True
        self.configuration: model.Configuration | None = None
        self.tables: dict[str, table_module.KeyTable] = {}
        self.members: dict[str, model.Member] = {}
        self.entries: dict[str, membership.Entry] = {}
        self.groups: dict[str, target_selection.TargetGroup] = {}
        self.retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self.evacuations = evacuation.Evacuations()
        self.round_robin = routing.WeightedRoundRobin()
        self.usual_waits_ms: dict[str, float] = {}
        self.started_ms = now_ms()
        self.ends_ms = math.inf
        self.stops_ms = math.inf
        self.sends: dict[int, asyncio.Timeout] = {}
        self.numbers = 0
        self.in_flight: dict[
            int, tuple[Attempt, target_selection.Candidate]
        ] = {}
        self.send: Send = self.try_target
        self.rng = random.Random()

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Applies a newer configuration."""
        self.configuration = configuration
        self.round_robin.drop_removed_routes(configuration)

    def update_members(self, members: dict[str, model.Member]) -> None:
        """Applies the records of all nodes."""
        self.members = members
        for service, group in self.groups.items():
            for name in list(group.by_name):
                member = members.get(name)
                if member is None or member.service != service:
                    group.remove(name)
        for name, member in members.items():
            group = self.groups.get(member.service)
            if group is None:
                group = target_selection.TargetGroup(self.settings.zone)
                self.groups[member.service] = group
            if name not in group.by_name:
                candidate = target_selection.Candidate(name, member.zone)
                group.add(candidate)
                entry = self.entries.get(name)
                if entry is not None:
                    candidate.update_from_entry(entry)

    def update_entries(self, entries: list[membership.Entry]) -> None:
        """Applies changed directory entries to the targets."""
        for entry in entries:
            group = self.groups.get(entry.service)
            if group is not None and entry.name in group.by_name:
                group.by_name[entry.name].update_from_entry(entry)

    def update_load(
        self, name: str, report: target_selection.LoadReport
    ) -> None:
        """Applies a target's load report, which the node beside it has sent."""
        member = self.members.get(name)
        if member is None:
            return
        group = self.groups.get(member.service)
        if group is not None and name in group.by_name:
            group.by_name[name].update_from_report(self.now_ms(), report)

    async def handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Returns the final response to a caller's request."""
        head = self.protocol.decode_request_head(request, self.settings.service)
        if self.configuration is None:
            return self._refuse_early(
                head, errors.ErrorKind.STORE_UNAVAILABLE, NOT_READY_RETRY_MS
            )
        path = request.path.split(b"?", 1)[0]
        route = routing.match_route(self.configuration, head.host, path)
        if route is None:
            return self._refuse_early(
                head, errors.ErrorKind.UNKNOWN_SERVICE, 0.0
            )
        attempt = self._attempt(request, head, route)
        if attempt.outcome_until_ms > self.ends_ms:
            # Another node can serve it; here it might be cut.
            return self._refuse_early(
                head, errors.ErrorKind.DRAINING, STOPPING_RETRY_MS
            )
        service = self.configuration.services.get(attempt.service)
        attempt.keyed = service is not None and service.keyed
        if attempt.keyed and head.key < 0:
            return self._refuse_early(head, errors.ErrorKind.BAD_REQUEST, 0.0)
        self.budget(attempt.service).on_request(self.now_ms())
        outcome = await self._run_to_outcome(attempt)
        if (
            isinstance(outcome, peer_messages.Refused)
            and attempt.failure is not None
        ):
            outcome = attempt.failure
        return self._response(attempt, outcome)

    def _attempt(
        self,
        request: http_server.Request,
        head: model.RequestHead,
        route: model.Route,
    ) -> Attempt:
        attempt = Attempt(head, request.received_ms)
        attempt.method = request.method
        attempt.path = request.path
        attempt.body = request.body
        attempt.route = route
        attempt.service = self.round_robin.next_service(route)
        wait_ms = (
            NO_DEADLINE_MS
            if head.caller_timeout_ms is None
            else head.caller_timeout_ms
        )
        attempt.deadline_ms = request.received_ms + min(
            wait_ms, route.timeout_ms
        )
        attempt.outcome_until_ms = attempt.deadline_ms + DEADLINE_GRACE_MS
        attempt.objective_ms = (
            request.received_ms
            + route.objective_ms
            - self._spent_ms(route, wait_ms)
        )
        attempt.fingerprint = suspects_module.fingerprint(
            request.method,
            head.host,
            request.path,
            self.settings.service,
            request.body,
        )
        return attempt

    def _spent_ms(self, route: model.Route, wait_ms: float) -> float:
        """Estimates the time that the caller spent on earlier attempts.

        All callers of a route use the same timeout. One with a shorter timeout
        has tried before, and its latency objective has been running since.
        """
        usual_ms = self.usual_waits_ms.get(route.name, 0.0)
        if wait_ms >= usual_ms:
            self.usual_waits_ms[route.name] = wait_ms
            return 0.0
        return min(usual_ms - wait_ms, 0.75 * route.objective_ms)

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns this node's part of the retry budget of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = retry_budget.RetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_ms
            )
            if not self.settings.is_bootstrap:
                # The former process may have used the node's part just before.
                budget.extra_from_ms = self.started_ms + bounds.retry_window_ms
            self.retry_budgets[service] = budget
        return budget

    async def _run_to_outcome(
        self, attempt: Attempt
    ) -> peer_messages.RunOutcome:
        """Sends a request to targets until there is a final outcome."""
        while True:
            now_ms = self.now_ms()
            if attempt.deadline_ms - now_ms < ATTEMPT_TIME_MIN_MS:
                return self._final_outcome(
                    attempt, errors.ErrorKind.DEADLINE_EXCEEDED
                )
            if self.stops_ms - now_ms < ATTEMPT_TIME_MIN_MS:
                return self._final_outcome(attempt, errors.ErrorKind.DRAINING)
            refused_ms = self.suspects.refused_for_ms(
                now_ms, attempt.fingerprint
            )
            if refused_ms > 0.0:
                attempt.retry_after_ms = refused_ms
                return self._final_outcome(
                    attempt, errors.ErrorKind.QUARANTINED
                )
            candidate = self._next_target(attempt)
            if candidate is None:
                kind = errors.ErrorKind.NO_OWNER
                if not attempt.keyed:
                    kind = errors.ErrorKind.OVERLOADED
                return self._final_outcome(attempt, kind)
            outcome = await self.send(attempt, candidate)
            if isinstance(outcome, peer_messages.Answered):
                if not self.is_retriable_failure(attempt, outcome):
                    return outcome
                attempt.lost = True
                attempt.failure = outcome
                if not self._may_retry(attempt, "bad_answer"):
                    return outcome
            elif isinstance(outcome, peer_messages.Lost):
                attempt.lost = True
                attempt.failure = None
                if not attempt.fails_over and not self._may_retry(
                    attempt, "lost"
                ):
                    return outcome
            elif not await self._should_offer_again(
                attempt, outcome, candidate
            ):
                return outcome

    def _next_target(
        self, attempt: Attempt
    ) -> target_selection.Candidate | None:
        """Returns the target for the next attempt, or None."""
        if attempt.keyed:
            owner = self._owner(attempt)
            is_barred = owner is not None and not self.evacuations.may_send(
                self.now_ms(), owner.zone, is_keyed=True
            )
            return None if is_barred else owner
        return self.choose_target(attempt)

    def _owner(self, attempt: Attempt) -> target_selection.Candidate | None:
        """Returns the target that owns the request's key; None if unknown."""
        table = self.tables.get(attempt.service)
        if table is None:
            return None
        incarnation = table.owner_of(attempt.head.key)
        group = self.groups.get(attempt.service)
        return group.by_name.get(incarnation.node) if group else None

    def choose_target(
        self,
        attempt: Attempt,
        has_room: Callable[[target_selection.Candidate], bool] | None = None,
    ) -> target_selection.Candidate | None:
        """Chooses a target for a request that any target may run.

        Args:
          attempt: the request.
          has_room: whether a target has room for a hedge; None for a send that
            is not a hedge.
        """
        group = self.groups.get(attempt.service)
        if group is None or attempt.tries > DECLINED_NODES_MAX:
            return None

        def is_usable(candidate: target_selection.Candidate) -> bool:
            is_evacuated = self.evacuations.is_evacuated(candidate.zone)
            return not is_evacuated and self.reachable(candidate.name)

        def is_open(candidate: target_selection.Candidate) -> bool:
            name = candidate.name
            if name in attempt.tried_nodes or not is_usable(candidate):
                return False
            return has_room is None or has_room(candidate)

        # A target that declined to queue the request may still be the best one
        # to wait at.
        declined = []
        is_last = attempt.tries >= target_selection.BOUNDED_WAIT_TRIES_MAX
        if is_last and has_room is None:
            declined = [
                group.by_name[name]
                for name in attempt.wait_declined
                if name in group.by_name and is_usable(group.by_name[name])
            ]
        return target_selection.choose_target(
            self.now_ms(),
            group,
            is_open,
            attempt.route.objective_ms,
            self.rng,
            declined,
        )

    async def try_target(
        self,
        attempt: Attempt,
        candidate: target_selection.Candidate,
        is_hedge: bool = False,
    ) -> peer_messages.RunOutcome:
        """Sends a request to one target and returns its outcome.

        A hedge accepts no wait in a queue, and is not one of the request's
        tries, whose number is limited.
        """
        now_ms = self.now_ms()
        self.numbers += 1
        attempt.fails_over = False
        attempt.counted.discard(candidate.name)
        attempt.tried_nodes.add(candidate.name)
        attempt.wait_declined.discard(candidate.name)
        max_wait_ms = 0.0 if is_hedge else -1.0
        if not attempt.keyed and not is_hedge:
            max_wait_ms = target_selection.max_queue_wait_ms(
                now_ms, candidate, attempt.route.objective_ms, attempt.tries
            )
        if not is_hedge:
            attempt.tries += 1
        run = peer_messages.RunRequest(
            self.numbers,
            attempt.head.attempt,
            attempt.service,
            attempt.route.name,
            attempt.route.priority,
            attempt.head.key if attempt.keyed else model.NO_KEY,
            attempt.route.idempotent,
            attempt.deadline_ms - now_ms,
            attempt.objective_ms - now_ms,
            attempt.route.objective_ms,
            attempt.method,
            attempt.path,
            attempt.head.headers,
            attempt.body,
            attempt.fingerprint,
            now_ms,
            max_wait_ms,
            attempt.route.is_download,
        )
        candidate.on_request_sent()
        self.in_flight[run.number] = (attempt, candidate)
        attempt.open_sends += 1
        outcome: peer_messages.RunOutcome | None = None
        try:
            async with asyncio.timeout(
                (attempt.outcome_until_ms - now_ms) / 1_000
            ) as timeout:
                self.sends[run.number] = timeout
                outcome = await self.execute(candidate.name, run)
        except TimeoutError:
            outcome = peer_messages.Lost(
                run.number,
                errors.ErrorKind.DEADLINE_EXCEEDED.value,
                target_selection.NO_TARGET,
            )
        finally:
            del self.in_flight[run.number]
            self.sends.pop(run.number, None)
            attempt.open_sends -= 1
            candidate.on_request_ended(
                _is_failure(outcome) or attempt.overtaken == candidate.name
            )
        if outcome.report.slots:
            candidate.update_from_report(self.now_ms(), outcome.report)
        reached = (
            not isinstance(outcome, peer_messages.Refused) or outcome.reached
        )
        if max_wait_ms >= 0.0 and _is_overloaded(outcome):
            attempt.wait_declined.add(candidate.name)
        if reached:
            attempt.count_reached(candidate.name)
        return outcome

    def end_sends(self) -> None:
        """Ends all sends, as this process ends: their outcome is unknown."""
        for timeout in list(self.sends.values()):
            timeout.reschedule(asyncio.get_running_loop().time())

    def should_fail_over(self, run: peer_messages.RunRequest) -> bool:
        """Whether a request at a silent node is sent to another target now.

        If so, the retry is charged to the budget. Otherwise the outcome is
        awaited until the deadline: the target may be running the request. A
        hedge that is still at work takes the place of the retry.
        """
        if run.number not in self.in_flight or not run.idempotent:
            return False
        attempt, candidate = self.in_flight[run.number]
        if attempt.open_sends > 1:
            attempt.count_reached(candidate.name)
            return True
        found = self._next_target(attempt)
        if found is None or found.name == candidate.name:
            return False
        attempt.count_reached(candidate.name)
        attempt.fails_over = self._may_retry(attempt, "silent")
        return attempt.fails_over

    def is_retriable_failure(
        self, attempt: Attempt, outcome: peer_messages.Answered
    ) -> bool:
        """Whether a retry at another target may succeed after this response."""
        return outcome.status >= 500 and attempt.route.idempotent

    def _may_retry(self, attempt: Attempt, cause: str) -> bool:
        """Whether a request that may have run is sent again."""
        now_ms = self.now_ms()
        if not attempt.route.idempotent:
            return False
        left_ms = attempt.deadline_ms - now_ms
        if left_ms < 0.15 * attempt.route.objective_ms:
            return False
        crashes = self.suspects.crash_count(now_ms, attempt.fingerprint)
        if crashes > suspects_module.RETRY_CRASHES_MAX:
            return False
        return self.spend_retry(attempt, cause)

    def spend_retry(self, attempt: Attempt, cause: str) -> bool:
        """Charges one retry to the budget; False if it does not allow one."""
        now_ms = self.now_ms()
        budget = self.budget(attempt.service)
        if (
            not attempt.keyed
            and len(attempt.reached_targets) >= attempt.route.targets_max
        ):
            return False
        if attempt.reached >= 1 + attempt.route.targets_max:
            return False
        allowed = budget.allows_retry(now_ms, len(self.members))
        self.log.write(
            "repeat" if allowed else "no_repeat",
            attempt=attempt.head.attempt,
            service=attempt.service,
            cause=cause,
            reached=attempt.reached,
            repeats=int(budget.retries.count(now_ms)),
            requests=int(budget.requests.count(now_ms)),
        )
        if allowed:
            budget.record_retry(now_ms)
            self.metrics.retries.labels(cause).inc()
        return allowed

    async def _should_offer_again(
        self,
        attempt: Attempt,
        refused: peer_messages.Refused,
        candidate: target_selection.Candidate,
    ) -> bool:
        """Decides whether a refused request is sent again.

        If its key is moving, this waits for a moment first.
        """
        now_ms = self.now_ms()
        kind = errors.ErrorKind(refused.kind)
        attempt.retry_after_ms = max(
            attempt.retry_after_ms, refused.retry_after_ms
        )
        if kind is errors.ErrorKind.QUARANTINED:
            return False
        if refused.reached and not self.spend_retry(attempt, kind.value):
            return False
        if not attempt.keyed:
            if kind is not errors.ErrorKind.OVERLOADED:
                candidate.excluded_until_ms = now_ms + EXCLUSION_MS
            return True
        if kind in _FINAL_KEYED_REFUSALS:
            return False
        attempt.tried_nodes.discard(candidate.name)
        return await self._wait_for_new_owner(attempt, candidate)

    async def _wait_for_new_owner(
        self, attempt: Attempt, asked: target_selection.Candidate
    ) -> bool:
        """Waits for one poll interval for the new owner of a moving key.

        The wait is limited from the first refusal because the key moves, since
        a request may have waited in the queue of the former owner before.

        Returns:
          Whether to send the request again.
        """
        now_ms = self.now_ms()
        owner = self._owner(attempt)
        if owner is not None and owner is not asked:
            return attempt.deadline_ms > now_ms
        if not attempt.moving_since_ms:
            attempt.moving_since_ms = now_ms
        max_wait_ms = MOVE_WAIT_SHARE * attempt.route.objective_ms
        until_ms = min(
            attempt.moving_since_ms + max_wait_ms, attempt.deadline_ms
        )
        if now_ms >= until_ms:
            return False
        await asyncio.sleep(MOVE_POLL_S)
        return True

    def _final_outcome(
        self, attempt: Attempt, kind: errors.ErrorKind
    ) -> peer_messages.RunOutcome:
        """Returns the outcome of a request that is not sent again."""
        if attempt.lost:
            return peer_messages.Lost(0, kind.value, target_selection.NO_TARGET)
        retry_ms = attempt.retry_after_ms or NO_OWNER_RETRY_MS
        return peer_messages.Refused(
            0, kind.value, retry_ms, False, target_selection.NO_TARGET
        )

    def _response(
        self, attempt: Attempt, outcome: peer_messages.RunOutcome
    ) -> http_server.Response:
        """Returns the caller's response; logs it if it failed or was late."""
        now_ms = self.now_ms()
        took_ms = now_ms - attempt.started_ms
        self.metrics.observe_answer(attempt.service, took_ms / 1_000)
        label = type(outcome).__name__.lower()
        self.metrics.count_request(attempt.service, label)
        if isinstance(outcome, peer_messages.Answered):
            if outcome.status >= 500:
                self._log_end(attempt, "failed", outcome.status, "target")
            elif now_ms > attempt.objective_ms:
                work_ms = int(outcome.work_ms)
                self._log_end(
                    attempt, "late", outcome.status, f"work_{work_ms}"
                )
            return http_server.Response(
                outcome.status, outcome.headers, outcome.body
            )
        # After a lost outcome, a refusal by another target does not guarantee
        # that the request has not run.
        may_have_run = attempt.lost or isinstance(outcome, peer_messages.Lost)
        if not may_have_run:
            retry_ms = outcome.retry_after_ms
            self._log_end(attempt, "refused", 503, outcome.kind, retry_ms)
            return http_server.Response(
                503,
                self.protocol.refusal_headers(attempt.head.attempt, retry_ms),
            )
        late = outcome.kind == errors.ErrorKind.DEADLINE_EXCEEDED.value
        status = 504 if late else 502
        self._log_end(attempt, "unknown", status, outcome.kind)
        return http_server.Response(
            status, self.protocol.refusal_headers(attempt.head.attempt, 0.0)
        )

    def _log_end(
        self,
        attempt: Attempt,
        outcome: str,
        status: int,
        kind: str,
        retry_after_ms: float = 0.0,
    ) -> None:
        table = self.tables.get(attempt.service)
        self.log.write(
            "request_" + outcome,
            attempt=attempt.head.attempt,
            route=attempt.route.name,
            service=attempt.service,
            status=status,
            kind=kind,
            key=attempt.head.key,
            asked=",".join(sorted(attempt.tried_nodes)),
            reached=attempt.reached,
            took_ms=int(self.now_ms() - attempt.started_ms),
            retry_after_ms=int(retry_after_ms),
            configuration=self.configuration.version,
            table=table.version if table else 0,
        )

    def _refuse_early(
        self,
        head: model.RequestHead,
        kind: errors.ErrorKind,
        retry_after_ms: float,
    ) -> http_server.Response:
        """Responds to a request that is sent to no target."""
        status = errors.ANSWERS[kind].status
        self.log.write(
            "request_rejected",
            attempt=head.attempt,
            status=status,
            kind=kind.value,
            configuration=(
                self.configuration.version if self.configuration else 0
            ),
        )
        self.metrics.count_request("", kind.value)
        return http_server.Response(
            status, self.protocol.refusal_headers(head.attempt, retry_after_ms)
        )


def _is_overloaded(outcome: peer_messages.RunOutcome) -> bool:
    """Whether a target refused a request because it is overloaded."""
    kind = errors.ErrorKind.OVERLOADED.value
    return isinstance(outcome, peer_messages.Refused) and outcome.kind == kind


def _is_failure(outcome: peer_messages.RunOutcome | None) -> bool:
    """Whether an outcome counts as a failure of its target."""
    if isinstance(outcome, peer_messages.Lost):
        return True
    if isinstance(outcome, peer_messages.Refused):
        return outcome.reached
    return outcome is not None and outcome.status >= 500
