"""Takes callers' requests and sees each to its one final answer."""

import asyncio
from collections.abc import Awaitable, Callable
import random

from auburnrock import errors
from auburnrock.engine.mesh import crash_suspects as suspects_module
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
"""For callers that state none; their route's timeout ends them sooner."""

OVERTIME_MS = 60.0
"""How long after the deadline the target's own answer is still awaited."""

LEAST_LEFT_MS = 5.0
"""With less time than a round trip, no target is asked any more."""

MOVE_POLL_S = 0.02
"""How often a request looks for the new owner of its key."""

MOVE_PATIENCE = 0.5
"""Part of the objective that a request waits for a key that moves: a planned
move takes two heartbeats' replies, and an answer after it is in time."""

CLOSED_FOR_MS = 250.0
"""A target that is gone or leaves is not chosen for this long; its node's
next ping tells more."""

NOT_READY_RETRY_MS = 300.0
"""Return time before a configuration is known: one read of the store."""

NO_OWNER_RETRY_MS = 400.0
"""Return time for a key whose owner is lost."""

ELSEWHERE_MAX = 3
"""Nodes that are asked in vain before a request is refused."""

_FINAL_FOR_KEYS = frozenset(
    {errors.ErrorKind.OVERLOADED, errors.ErrorKind.PEER_UNREACHABLE}
)
"""Refusals that no short wait changes while the key stays where it is."""

Execute = Callable[
    [str, peer_messages.RunRequest], Awaitable[peer_messages.RunOutcome]
]


class Attempt:
    """One caller's request on its way.

    Attributes:
      keyed: whether only the owner of its key may run it.
      asked: nodes that were asked.
      candidate: the one that is asked now.
      leaves: whether that one is silent and the repeat elsewhere is paid for.
      counted: whether it counts as reached already.
      failure: the last answer, a failure of its target's own; None if what
        was asked later may have run.
      impatient: those that declined only to have it wait.
      tries: how often a node was asked.
      targets: nodes whose target may have begun to run it.
    """

    __slots__ = (
        "asked",
        "body",
        "candidate",
        "closes_ms",
        "counted",
        "deadline_ms",
        "failure",
        "head",
        "impatient",
        "keyed",
        "leaves",
        "lost",
        "mark",
        "method",
        "moving_ms",
        "objective_ms",
        "path",
        "reached",
        "retry_after_ms",
        "route",
        "service",
        "started_ms",
        "targets",
        "tries",
    )

    def __init__(self, head: model.RequestHead, started_ms: float):
        self.head = head
        self.started_ms = started_ms
        self.asked: set[str] = set()
        self.targets: set[str] = set()
        self.impatient: set[str] = set()
        self.tries = 0
        self.reached = 0
        self.lost = False
        self.failure: peer_messages.Answered | None = None
        self.candidate: target_selection.Candidate | None = None
        self.leaves = False
        self.counted = False
        self.moving_ms = 0.0
        self.retry_after_ms = 0.0

    def count_reached(self) -> None:
        """The target that is asked now may have begun to run the request."""
        if not self.counted:
            self.counted = True
            self.reached += 1
            self.targets.add(self.candidate.name)


class Dispatcher:
    """The callers' side of a node.

    Attributes:
      configuration: the newest one known; None before.
      tables: key table by service.
      members: records of all nodes.
      entries: what is known of all nodes, by name.
      groups: targets by service.
      retry_budgets: repeats by service.
      under_way: requests that a node is asked to run now, by number.
      execute: has a node's target run a request.
      reachable: whether a node can be asked.
    """

    def __init__(
        self,
        settings: model.Settings,
        dialect: wire_protocol.WireProtocol,
        suspects: suspects_module.CrashSuspects,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        now_ms: Callable[[], float],
        execute: Execute,
    ):
        self.settings = settings
        self.protocol = dialect
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
        self.shares = routing.WeightedRoundRobin()
        self.usual_waits_ms: dict[str, float] = {}
        self.numbers = 0
        self.under_way: dict[int, Attempt] = {}
        self.rng = random.Random()

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Puts a newer configuration in force."""
        self.configuration = configuration
        self.shares.drop_removed_routes(configuration)

    def update_members(self, members: dict[str, model.Member]) -> None:
        """Takes the records of all nodes."""
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
        """Takes what the directory says of targets."""
        for entry in entries:
            group = self.groups.get(entry.service)
            if group is not None and entry.name in group.by_name:
                group.by_name[entry.name].update_from_entry(entry)

    def update_load(
        self, name: str, report: target_selection.LoadReport
    ) -> None:
        """Takes a target's load from the node beside it."""
        member = self.members.get(name)
        if member is None:
            return
        group = self.groups.get(member.service)
        if group is not None and name in group.by_name:
            group.by_name[name].update_from_report(self.now_ms(), report)

    async def handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers a caller's request."""
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
        service = self.configuration.services.get(attempt.service)
        attempt.keyed = service is not None and service.keyed
        if attempt.keyed and head.key < 0:
            return self._refuse_early(head, errors.ErrorKind.BAD_REQUEST, 0.0)
        self._budget(attempt.service).on_request(self.now_ms())
        outcome = await self._see_through(attempt)
        if (
            isinstance(outcome, peer_messages.Refused)
            and attempt.failure is not None
        ):
            outcome = attempt.failure
        return self._answer(attempt, outcome)

    def _attempt(
        self,
        request: http_server.Request,
        head: model.RequestHead,
        route: model.Route,
    ) -> Attempt:
        attempt = Attempt(head, request.came_ms)
        attempt.method = request.method
        attempt.path = request.path
        attempt.body = request.body
        attempt.route = route
        attempt.service = self.shares.next_service(route)
        wait_ms = (
            NO_DEADLINE_MS
            if head.caller_timeout_ms is None
            else head.caller_timeout_ms
        )
        attempt.deadline_ms = request.came_ms + min(wait_ms, route.timeout_ms)
        attempt.closes_ms = attempt.deadline_ms + OVERTIME_MS
        attempt.objective_ms = (
            request.came_ms + route.objective_ms - self._used_ms(route, wait_ms)
        )
        attempt.mark = suspects_module.fingerprint(
            request.method,
            head.host,
            request.path,
            self.settings.service,
            request.body,
        )
        return attempt

    def _used_ms(self, route: model.Route, wait_ms: float) -> float:
        """Time that the caller spent on earlier attempts, as far as known.

        Callers of a route wait equally long; one that waits less has tried
        before, and its objective has run since.
        """
        usual_ms = self.usual_waits_ms.get(route.name, 0.0)
        if wait_ms >= usual_ms:
            self.usual_waits_ms[route.name] = wait_ms
            return 0.0
        return min(usual_ms - wait_ms, 0.75 * route.objective_ms)

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = retry_budget.RetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_ms
            )
            self.retry_budgets[service] = budget
        return budget

    async def _see_through(self, attempt: Attempt) -> peer_messages.RunOutcome:
        """Asks targets until there is an outcome that is final."""
        while True:
            now_ms = self.now_ms()
            if attempt.deadline_ms - now_ms < LEAST_LEFT_MS:
                return self._given_up(
                    attempt, errors.ErrorKind.DEADLINE_EXCEEDED
                )
            candidate = self._find(attempt)
            if candidate is None:
                kind = errors.ErrorKind.NO_OWNER
                if not attempt.keyed:
                    kind = errors.ErrorKind.OVERLOADED
                return self._given_up(attempt, kind)
            outcome = await self._ask(attempt, candidate)
            if isinstance(outcome, peer_messages.Answered):
                if not self._improvable(attempt, outcome):
                    return outcome
                attempt.lost = True
                attempt.failure = outcome
                if not self._may_repeat(attempt, "bad_answer"):
                    return outcome
            elif isinstance(outcome, peer_messages.Lost):
                attempt.lost = True
                attempt.failure = None
                if not attempt.leaves and not self._may_repeat(attempt, "lost"):
                    return outcome
            elif not await self._goes_on(attempt, outcome, candidate):
                return outcome

    def _find(self, attempt: Attempt) -> target_selection.Candidate | None:
        """The target to ask next."""
        if attempt.keyed:
            return self._owner(attempt)
        return self._choose(attempt)

    def _owner(self, attempt: Attempt) -> target_selection.Candidate | None:
        """The target that owns the request's key, if it can be asked."""
        table = self.tables.get(attempt.service)
        if table is None:
            return None
        life = table.owner_of(attempt.head.key)
        group = self.groups.get(attempt.service)
        return group.by_name.get(life.node) if group else None

    def _choose(self, attempt: Attempt) -> target_selection.Candidate | None:
        """A target for a request that any target may run."""
        group = self.groups.get(attempt.service)
        if group is None or attempt.tries > ELSEWHERE_MAX:
            return None

        def is_open(candidate: target_selection.Candidate) -> bool:
            name = candidate.name
            return name not in attempt.asked and self.reachable(name)

        # Who would not take it without a wait may still be the best to wait at.
        again = []
        if attempt.tries >= target_selection.BOUNDED_WAIT_TRIES_MAX:
            again = [
                group.by_name[name]
                for name in attempt.impatient
                if name in group.by_name and self.reachable(name)
            ]
        return target_selection.choose_target(
            self.now_ms(),
            group,
            is_open,
            attempt.route.objective_ms,
            self.rng,
            again,
        )

    async def _ask(
        self, attempt: Attempt, candidate: target_selection.Candidate
    ) -> peer_messages.RunOutcome:
        """Asks one target."""
        now_ms = self.now_ms()
        self.numbers += 1
        attempt.candidate = candidate
        attempt.leaves = attempt.counted = False
        attempt.asked.add(candidate.name)
        attempt.impatient.discard(candidate.name)
        patience_ms = -1.0
        if not attempt.keyed:
            patience_ms = target_selection.max_queue_wait_ms(
                now_ms, candidate, attempt.route.objective_ms, attempt.tries
            )
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
            attempt.mark,
            now_ms,
            patience_ms,
        )
        candidate.on_request_sent()
        self.under_way[run.number] = attempt
        outcome: peer_messages.RunOutcome | None = None
        try:
            async with asyncio.timeout((attempt.closes_ms - now_ms) / 1_000):
                outcome = await self.execute(candidate.name, run)
        except TimeoutError:
            outcome = peer_messages.Lost(
                run.number,
                errors.ErrorKind.DEADLINE_EXCEEDED.value,
                target_selection.NO_TARGET,
            )
        finally:
            del self.under_way[run.number]
            candidate.on_request_ended(_is_failure(outcome))
        if outcome.report.slots:
            candidate.update_from_report(self.now_ms(), outcome.report)
        reached = (
            not isinstance(outcome, peer_messages.Refused) or outcome.reached
        )
        if patience_ms >= 0.0 and _is_overloaded(outcome):
            attempt.impatient.add(candidate.name)
        if reached:
            attempt.count_reached()
        return outcome

    def should_fail_over(self, run: peer_messages.RunRequest) -> bool:
        """Whether a request at a silent node is asked of another target now.

        If so, the repeat is paid for. Else its outcome is awaited until the
        deadline: the target may be at work on it.
        """
        attempt = self.under_way.get(run.number)
        if attempt is None or not attempt.route.idempotent:
            return False
        found = self._find(attempt)
        if found is None or found.name == attempt.candidate.name:
            return False
        attempt.count_reached()
        attempt.leaves = self._may_repeat(attempt, "silent")
        return attempt.leaves

    def _improvable(
        self, attempt: Attempt, outcome: peer_messages.Answered
    ) -> bool:
        """Whether another target may do better than this failure."""
        return outcome.status >= 500 and attempt.route.idempotent

    def _may_repeat(self, attempt: Attempt, cause: str) -> bool:
        """Whether a request that may have run is sent once more."""
        now_ms = self.now_ms()
        if not attempt.route.idempotent:
            return False
        left_ms = attempt.deadline_ms - now_ms
        if left_ms < 0.15 * attempt.route.objective_ms:
            return False
        crashes = self.suspects.crash_count(now_ms, attempt.mark)
        if crashes > suspects_module.RETRY_CRASHES_MAX:
            return False
        return self._spend(attempt, cause)

    def _spend(self, attempt: Attempt, cause: str) -> bool:
        """Takes one repeat from the budget, if there is one."""
        now_ms = self.now_ms()
        budget = self._budget(attempt.service)
        if (
            not attempt.keyed
            and len(attempt.targets) >= attempt.route.targets_max
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

    async def _goes_on(
        self,
        attempt: Attempt,
        refused: peer_messages.Refused,
        candidate: target_selection.Candidate,
    ) -> bool:
        """Whether a refused request is offered once more, and waits for it."""
        now_ms = self.now_ms()
        kind = errors.ErrorKind(refused.kind)
        attempt.retry_after_ms = max(
            attempt.retry_after_ms, refused.retry_after_ms
        )
        if kind is errors.ErrorKind.QUARANTINED:
            return False
        if refused.reached and not self._spend(attempt, kind.value):
            return False
        if not attempt.keyed:
            if kind is not errors.ErrorKind.OVERLOADED:
                candidate.excluded_until_ms = now_ms + CLOSED_FOR_MS
            return True
        if kind in _FINAL_FOR_KEYS:
            return False
        attempt.asked.discard(candidate.name)
        return await self._owner_changes(attempt, candidate)

    async def _owner_changes(
        self, attempt: Attempt, asked: target_selection.Candidate
    ) -> bool:
        """Waits a moment for the owner of a key that moves.

        A request may have waited in the queue of the former owner; its
        patience counts from when it was told that the key moves.
        """
        now_ms = self.now_ms()
        owner = self._owner(attempt)
        if owner is not None and owner is not asked:
            return attempt.deadline_ms > now_ms
        if not attempt.moving_ms:
            attempt.moving_ms = now_ms
        patience_ms = MOVE_PATIENCE * attempt.route.objective_ms
        until_ms = min(attempt.moving_ms + patience_ms, attempt.deadline_ms)
        if now_ms >= until_ms:
            return False
        await asyncio.sleep(MOVE_POLL_S)
        return True

    def _given_up(
        self, attempt: Attempt, kind: errors.ErrorKind
    ) -> peer_messages.RunOutcome:
        """The outcome for a request that no further target is asked for."""
        if attempt.lost:
            return peer_messages.Lost(0, kind.value, target_selection.NO_TARGET)
        retry_ms = attempt.retry_after_ms or NO_OWNER_RETRY_MS
        return peer_messages.Refused(
            0, kind.value, retry_ms, False, target_selection.NO_TARGET
        )

    def _answer(
        self, attempt: Attempt, outcome: peer_messages.RunOutcome
    ) -> http_server.Response:
        """The caller's answer, with its line in the log if it is bad."""
        now_ms = self.now_ms()
        took_ms = now_ms - attempt.started_ms
        self.metrics.answer_s.labels(attempt.service).observe(took_ms / 1_000)
        label = type(outcome).__name__.lower()
        self.metrics.requests.labels(attempt.service, label).inc()
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
        # After a loss, a refusal by another target is no promise any more.
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
            asked=",".join(sorted(attempt.asked)),
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
        """Answers a request for which no target is asked at all."""
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
        self.metrics.requests.labels("", kind.value).inc()
        return http_server.Response(
            status, self.protocol.refusal_headers(head.attempt, retry_after_ms)
        )


def _is_overloaded(outcome: peer_messages.RunOutcome) -> bool:
    """Whether a target was too busy for a request."""
    kind = errors.ErrorKind.OVERLOADED.value
    return isinstance(outcome, peer_messages.Refused) and outcome.kind == kind


def _is_failure(outcome: peer_messages.RunOutcome | None) -> bool:
    """Whether an outcome speaks against its target."""
    if isinstance(outcome, peer_messages.Lost):
        return True
    if isinstance(outcome, peer_messages.Refused):
        return outcome.reached
    return outcome is not None and outcome.status >= 500
