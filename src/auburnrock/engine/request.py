"""Lifecycle of one request at its entry, as a state machine.

The entry is the only layer that retries requests. The chart is in
request.json; `Lifecycle` holds the guards and steps that it names. The rules:

* A failure ends the request at once unless another attempt is known to be
  harmless: either nothing ran, or the request is idempotent and the retry
  budget allows it, now or well before the deadline.
* Requests whose attempt is silent get the retry budget in the order in which
  they claimed it.
* At most MAX_EXECUTIONS attempts of an idempotent request may have run, and
  at most one of any other request.
* The final failure is reported as "not run" only if no attempt can have run.
"""

import abc
import itertools

import msgspec

from auburnrock import errors
from auburnrock.engine import guarded_chart
from auburnrock.engine import request_events
from auburnrock.engine import retry

MAX_SENDS = 8
MAX_EXECUTIONS = 2
MAX_WAITING = 1_024
FIRST_PAUSE_MS = 50
LONGEST_PAUSE_MS = 400
UNKNOWN_RETRY_AFTER_MS = 500

MISROUTED_KINDS = frozenset(
    {
        errors.ErrorKind.NO_OWNER,
        errors.ErrorKind.NOT_OWNER,
        errors.ErrorKind.MOVING,
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.NO_TARGET,
        errors.ErrorKind.PEER_UNREACHABLE,
    }
)
"""Failures where nothing ran, and another node, or the same node a little
later, can serve the request."""

SHED_KINDS = frozenset(
    {errors.ErrorKind.OVERLOADED, errors.ErrorKind.TARGET_REFUSED}
)
"""Failures where nothing ran and only a retry at another target can help; the
retry costs retry budget."""

REPEATABLE_KINDS = frozenset(
    {errors.ErrorKind.OUTCOME_UNKNOWN, errors.ErrorKind.INTERNAL}
)
"""Failures where the request may have run; an idempotent request may be
retried within the retry budget."""


class Route(abc.ABC):
    """The nodes that the entry knows for the attempts of one request."""

    @abc.abstractmethod
    def choose(self, avoid: list[int]) -> int:
        """Returns the incarnation to send to, or 0 if none is known.

        Args:
          avoid: incarnations to choose only if there is no other.
        """

    @abc.abstractmethod
    def silent_after_ms(self, node: int) -> int:
        """Returns the time after which to hedge an unanswered attempt.

        Args:
          node: incarnation of the node that has the attempt.
        """


class Details(msgspec.Struct, frozen=True):
    """The properties of a request that its lifecycle depends on.

    Attributes:
      request_id: id that the answer must echo.
      deadline_at_ms: when the request fails if it has no answer, on the
        entry's clock.
      idempotent: whether running it twice is harmless.
      keyed: whether only the owner of its key can serve it.
      has_idempotency_key: whether the owner recognises a repeat by the caller.
    """

    request_id: str
    deadline_at_ms: int
    idempotent: bool
    keyed: bool
    has_idempotency_key: bool = False


class Entry:
    """State that all requests of one entry to one service share.

    Attributes:
      budget: the retry budget.
      waiting: number of requests that currently wait for an owner.
      saving: number of requests whose attempt is lost and that currently wait
        for retry budget.
      claims: requests with a silent attempt that wait for retry budget, oldest
        first; a dictionary, for its insertion order.
      sends: number of attempts sent to nodes so far, for the metrics.
      repeats: number of attempts that spent retry budget.
    """

    __slots__ = ("budget", "claims", "repeats", "saving", "sends", "waiting")

    def __init__(self, now_ms: int):
        self.budget = retry.RetryBudget(now_ms)
        self.claims: dict[Lifecycle, None] = {}
        self.waiting = 0
        self.saving = 0
        self.sends = 0
        self.repeats = 0

    def budget_covers(self, claimant: "Lifecycle") -> bool:
        """Whether the budget covers a claimant and all earlier claims."""
        retries = self.budget.available_retries()
        if len(self.claims) < retries:
            return True
        return claimant in itertools.islice(self.claims, retries)


Event = request_events.Event
Actions = list[request_events.Action]

_NO_ACTIONS: Actions = []


class Lifecycle:
    """One request at its entry.

    Attributes:
      details: the request.
      entry: state shared with the other requests.
      route: chooses nodes.
      random: a number in [0, 1) that spreads retry times.
      state: the current state of the chart.
      wake_at_ms: when to send a Tick; unused once the state is "ended".
      outstanding: node of each attempt that has neither answer nor failure,
        by attempt number.
      sends: number of attempts made.
      unknown: number of attempts that failed and may have run.
      failure: the latest failure.
      tried: node of each attempt that failed.
      avoid: nodes that refused since the table last advanced or a pause ended.
      node: the node found by the latest guard.
      hedge_at_ms: when the outstanding attempt counts as silent; None if it is
        not to be hedged.
      resume_at_ms: end of the pause in the states "waiting" and "saving".
      pauses: number of pauses made; each doubles the next.
    """

    __slots__ = (
        "avoid",
        "details",
        "entry",
        "failure",
        "hedge_at_ms",
        "node",
        "outstanding",
        "pauses",
        "random",
        "resume_at_ms",
        "route",
        "sends",
        "state",
        "tried",
        "unknown",
        "wake_at_ms",
    )

    table: guarded_chart.Table = {}

    def __init_subclass__(cls):
        """Resolves the chart's names against an overriding class."""
        cls.table = guarded_chart.compile_for(cls, _CHART)

    def __init__(
        self, details: Details, entry: Entry, route: Route, random: float
    ):
        self.details = details
        self.entry = entry
        self.route = route
        self.random = random
        self.state = _CHART.initial
        self.wake_at_ms = details.deadline_at_ms
        self.outstanding: dict[int, int] = {}
        self.sends = 0
        self.unknown = 0
        self.failure: errors.Failure | None = None
        self.tried: list[int] = []
        self.avoid: list[int] = []
        self.node = 0
        self.hedge_at_ms: int | None = None
        self.resume_at_ms: int | None = None
        self.pauses = 0

    def handle(self, now_ms: int, event: Event) -> Actions:
        """Handles one event; returns the actions to perform, in order."""
        name = type(event).__name__
        if name in _ATTEMPT_EVENTS:
            if event.attempt not in self.outstanding:
                return _NO_ACTIONS
            name = self._end_attempt(event)
        for row in self.table.get((self.state, name), ()):
            for guard in row.guards:
                if not guard(self, now_ms):
                    break
            else:
                return self._apply_row(now_ms, event, row)
        return _NO_ACTIONS

    def _apply_row(
        self, now_ms: int, event: Event, row: guarded_chart.CompiledRow
    ) -> Actions:
        if self.state == "waiting" and row.to != "waiting":
            self.entry.waiting -= 1
        if self.state == "saving" and row.to != "saving":
            self.entry.saving -= 1
        if row.to != "sent":
            self.entry.claims.pop(self, None)
        self.state = row.to
        return row.step(self, now_ms, event) if row.step else _NO_ACTIONS

    def _end_attempt(self, event: Event) -> str:
        """Records the end of an attempt; returns the event's chart name."""
        node = self.outstanding.pop(event.attempt)
        if isinstance(event, request_events.Answered):
            if event.response.request_id == self.details.request_id:
                return "Answered"
            self.failure = errors.Failure(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f"the answer was for request {event.response.request_id!r}, not"
                f" for request {self.details.request_id!r}, and was dropped",
            )
        elif isinstance(event, request_events.Refused):
            self.failure = event.failure
        elif isinstance(event, request_events.Lost) and event.bytes_left:
            self.failure = errors.Failure(
                errors.ErrorKind.OUTCOME_UNKNOWN, event.message
            )
        else:
            self.failure = errors.Failure(
                errors.ErrorKind.PEER_UNREACHABLE, event.message
            )
        self.tried.append(node)
        if errors.ANSWERS[self.failure.kind].ran is errors.Ran.NO:
            self.avoid.append(node)
        else:
            self.unknown += 1
        return "Failed"

    # Guards -----------------------------------------------------------------

    def expired(self, now_ms: int) -> bool:
        """The deadline has passed."""
        return now_ms >= self.details.deadline_at_ms

    def has_node(self, now_ms: int) -> bool:
        """A node has not refused since the table last advanced."""
        self.node = self.route.choose(self.avoid)
        return self.node != 0 and self.node not in self.avoid

    def has_node_after_news(self, now_ms: int) -> bool:
        """The route has a node after the table advanced."""
        self.avoid.clear()
        return self.has_node(now_ms)

    def has_node_after_pause(self, now_ms: int) -> bool:
        """The route has a node, even one that refused before the pause."""
        self.avoid.clear()
        return self.has_node(now_ms)

    def has_other_node(self, now_ms: int) -> bool:
        """The service has a node that has not refused this request."""
        return not self.details.keyed and self.has_node(now_ms)

    def has_repeat_node(self, now_ms: int) -> bool:
        """The route has a node for a retry; a key's owner may be the same."""
        used = [*self.tried, *self.outstanding.values()]
        self.node = self.route.choose(used)
        return self.node != 0 and self.node not in self.avoid

    def owner_changed(self, now_ms: int) -> bool:
        """The key's owner is not a node that has the request."""
        if not self.details.keyed:
            return False
        owner = self.route.choose([])
        return owner != 0 and owner not in self.outstanding.values()

    def may_wait(self, now_ms: int) -> bool:
        """The number of waiting requests is below its memory bound."""
        return self.entry.waiting < MAX_WAITING

    def pause_over(self, now_ms: int) -> bool:
        """The pause is over, so a retry needs no change of the table."""
        return self.resume_at_ms is not None and now_ms >= self.resume_at_ms

    def misrouted(self, now_ms: int) -> bool:
        """The latest failure is a misrouting: nothing ran there."""
        return self.failure.kind in MISROUTED_KINDS and self.sends < MAX_SENDS

    def shed(self, now_ms: int) -> bool:
        """The latest failure is a lack of capacity: nothing ran."""
        return self.failure.kind in SHED_KINDS and self.sends < MAX_SENDS

    def repeatable(self, now_ms: int) -> bool:
        """The attempt may have run, and running it again is harmless."""
        return self.failure.kind in REPEATABLE_KINDS and self.may_run_again()

    def hedgeable(self, now_ms: int) -> bool:
        """A second attempt beside the silent one is harmless."""
        return self.may_run_again()

    def silent(self, now_ms: int) -> bool:
        """The attempt is unanswered past the node's usual answer time."""
        return self.hedge_at_ms is not None and now_ms >= self.hedge_at_ms

    def in_budget(self, now_ms: int) -> bool:
        """The retry budget allows one more attempt."""
        return self.entry.budget.allows(now_ms)

    def in_turn(self, now_ms: int) -> bool:
        """The budget also covers the silent requests that claimed it earlier.

        Without this rule, later requests, whose attempts are often only
        slightly late, would use the deposits before an earlier request checks
        the budget again.
        """
        return self.entry.budget_covers(self)

    def has_time_to_claim(self, now_ms: int) -> bool:
        """A second attempt after the next pause would usually end in time."""
        usual_ms = self.route.silent_after_ms(self.node)
        ends_at_ms = now_ms + self._pause_ms() + usual_ms
        return ends_at_ms <= self.details.deadline_at_ms

    def budget_will_allow(self, now_ms: int) -> bool:
        """The budget is expected to cover this request too, in time.

        In time means LONGEST_PAUSE_MS before the request's deadline.
        """
        left_ms = self.details.deadline_at_ms - now_ms
        within_ms = max(0, left_ms - LONGEST_PAUSE_MS)
        expected = self.entry.budget.expected_retries(now_ms, within_ms)
        return self.entry.saving < min(expected, MAX_WAITING)

    def budget_may_still_allow(self, now_ms: int) -> bool:
        """The budget will cover all saving requests before the deadline."""
        within_ms = self.details.deadline_at_ms - now_ms
        return self.entry.saving <= self.entry.budget.expected_retries(
            now_ms, within_ms
        )

    def may_run_again(self) -> bool:
        """Whether one more attempt may run beside those that may have run."""
        executions = self.unknown + len(self.outstanding)
        return (
            self.details.idempotent
            and executions < MAX_EXECUTIONS
            and self.sends < MAX_SENDS
        )

    # Steps ------------------------------------------------------------------

    def send(self, now_ms: int, event: Event) -> Actions:
        """Sends to the node that the guard found."""
        may_have_run = self.unknown + len(self.outstanding) > 0
        assert not may_have_run or self.details.idempotent
        self.entry.claims.pop(self, None)
        self.sends += 1
        self.entry.sends += 1
        self.outstanding[self.sends] = self.node
        self.resume_at_ms = None
        self.hedge_at_ms = None
        if self.details.idempotent and not may_have_run:
            silence_ms = self.route.silent_after_ms(self.node)
            self.hedge_at_ms = now_ms + silence_ms
        self._set_wake(self.hedge_at_ms)
        left_ms = self.details.deadline_at_ms - now_ms
        action = request_events.Send(
            self.sends, self.node, left_ms, may_have_run
        )
        return [action]

    def retry(self, now_ms: int, event: Event) -> Actions:
        """Retries, or hedges a silent attempt, and spends retry budget."""
        self._spend()
        return self.send(now_ms, event)

    def wait(self, now_ms: int, event: Event) -> Actions:
        """Waits until the table advances or a pause ends."""
        self.entry.waiting += 1
        return self.pause_again(now_ms, event)

    def pause_again(self, now_ms: int, event: Event) -> Actions:
        """Starts another, longer pause."""
        self.resume_at_ms = now_ms + self._next_pause_ms()
        self._set_wake(self.resume_at_ms)
        return _NO_ACTIONS

    def _pause_ms(self) -> int:
        return retry.backoff_ms(self.pauses, FIRST_PAUSE_MS, LONGEST_PAUSE_MS)

    def _next_pause_ms(self) -> int:
        pause_ms = self._pause_ms()
        self.pauses += 1
        return pause_ms

    def wait_to_retry(self, now_ms: int, event: Event) -> Actions:
        """Spends retry budget and waits for a node to retry at."""
        self._spend()
        return self.wait(now_ms, event)

    def save(self, now_ms: int, event: Event) -> Actions:
        """Waits until the retry budget covers one more attempt."""
        self.entry.saving += 1
        return self.pause_again(now_ms, event)

    def claim(self, now_ms: int, event: Event) -> Actions:
        """Claims retry budget for hedging the silent attempt later."""
        self.entry.claims.setdefault(self)
        return self._schedule_recheck(now_ms)

    def wait_on(self, now_ms: int, event: Event) -> Actions:
        """Keeps waiting for the attempt without claiming retry budget."""
        self.entry.claims.pop(self, None)
        return self._schedule_recheck(now_ms)

    def _schedule_recheck(self, now_ms: int) -> Actions:
        self.avoid.clear()
        self.hedge_at_ms = now_ms + self._next_pause_ms()
        self._set_wake(self.hedge_at_ms)
        return _NO_ACTIONS

    def reply(self, now_ms: int, event: Event) -> Actions:
        """Answers the caller and cancels the other attempt."""
        if event.response.status < 500:
            self.entry.budget.record_success(now_ms)
        return [
            request_events.Reply(event.response),
            *self._cancel_outstanding(),
        ]

    def refuse(self, now_ms: int, event: Event) -> Actions:
        """Fails the request with the latest failure."""
        return self._refuse(self.failure)

    def refuse_expired(self, now_ms: int, event: Event) -> Actions:
        """Fails the request because its deadline has passed."""
        last_event = self.failure.message if self.failure else "not sent"
        if self.outstanding:
            last_event = "sent and not answered"
        failure = errors.Failure(
            errors.ErrorKind.DEADLINE_EXCEEDED,
            f"the deadline passed; last event: {last_event}",
        )
        return self._refuse(failure)

    def refuse_no_owner(self, now_ms: int, event: Event) -> Actions:
        """Fails the request because too many requests already wait."""
        failure = errors.Failure(
            errors.ErrorKind.NO_OWNER,
            f"no node is known and {MAX_WAITING} requests already wait",
        )
        return self._refuse(failure)

    def cancel(self, now_ms: int, event: Event) -> Actions:
        """Cancels the attempts of a caller that closed its connection."""
        return self._cancel_outstanding()

    def _refuse(self, failure: errors.Failure) -> Actions:
        final = self.final_failure(failure)
        return [request_events.Refuse(final), *self._cancel_outstanding()]

    def final_failure(self, failure: errors.Failure) -> errors.Failure:
        """Returns the failure to report to the caller.

        "Not run" becomes "outcome unknown" if any attempt may have run, and
        the retry-after time is spread so that callers do not all retry at the
        same time.
        """
        may_have_run = self.unknown > 0 or bool(self.outstanding)
        kind = failure.kind
        if may_have_run and errors.ANSWERS[kind].ran is errors.Ran.NO:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
            failure = errors.Failure(kind, failure.message)
        retry_after_ms = failure.answer().retry_after_ms
        safe_to_repeat = (
            self.details.idempotent or self.details.has_idempotency_key
        )
        if kind is errors.ErrorKind.OUTCOME_UNKNOWN and safe_to_repeat:
            retry_after_ms = retry_after_ms or UNKNOWN_RETRY_AFTER_MS
        if retry_after_ms is not None:
            # A quarantine ends at a known time; an earlier retry would fail.
            is_exact = kind is errors.ErrorKind.QUARANTINED
            spread = retry.jittered_later_ms if is_exact else retry.jittered_ms
            retry_after_ms = spread(retry_after_ms, self.random)
        return errors.Failure(kind, failure.message, retry_after_ms)

    def _cancel_outstanding(self) -> Actions:
        if not self.outstanding:
            return _NO_ACTIONS
        actions = [
            request_events.Cancel(attempt, node)
            for attempt, node in self.outstanding.items()
        ]
        self.outstanding.clear()
        return actions

    def _spend(self) -> None:
        self.entry.budget.spend()
        self.entry.repeats += 1

    def _set_wake(self, at_ms: int | None) -> None:
        deadline = self.details.deadline_at_ms
        self.wake_at_ms = deadline if at_ms is None else min(at_ms, deadline)


_ATTEMPT_EVENTS = frozenset({"Answered", "Refused", "NotSent", "Lost"})
_CHART = guarded_chart.load("request.json")
Lifecycle.table = guarded_chart.compile_for(Lifecycle, _CHART)
