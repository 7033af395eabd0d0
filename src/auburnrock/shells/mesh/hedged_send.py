"""Sends of requests that are hedged when they take long.

The first final outcome counts and the other send is cancelled. A failure or
refusal of one send does not end the request while the other is at work.
"""

import asyncio

from auburnrock import errors
from auburnrock.engine.mesh import hedging
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import dispatcher as dispatcher_module

TARGETS_MIN = 2
"""A hedge needs a second target that the route allows."""

_KINDS_WITHOUT_EXCLUSION = frozenset(
    {errors.ErrorKind.OVERLOADED.value, errors.ErrorKind.QUARANTINED.value}
)
"""Refusals that say nothing about whether the target serves other requests."""

SendTask = asyncio.Task[peer_messages.RunOutcome]


class HedgedSends:
    """Sends a node's requests to targets, and hedges late ones.

    Attributes:
      dispatcher: the dispatcher whose sends these are.
      hedging: decides which requests are hedged.
    """

    def __init__(self, dispatcher: dispatcher_module.Dispatcher, share: float):
        self.dispatcher = dispatcher
        self.hedging = hedging.Hedging(
            share, dispatcher.settings.bounds.retry_ratio
        )

    async def send(
        self,
        attempt: dispatcher_module.Attempt,
        candidate: target_selection.Candidate,
    ) -> peer_messages.RunOutcome:
        """Sends a request to a target, and to a second one if it is late.

        Returns:
          The final outcome, or if there is none the failure that says the most
          about whether the request has run.
        """
        dispatcher = self.dispatcher
        if attempt.keyed:
            return await dispatcher.try_target(attempt, candidate)
        sent_ms = dispatcher.now_ms()
        if attempt.tries == 0:
            self.hedging.on_request(sent_ms, attempt.service)
        route = attempt.route
        if (
            not route.idempotent
            or route.targets_max < TARGETS_MIN
            or attempt.reached > 0
        ):
            return await dispatcher.try_target(attempt, candidate)
        times = self.hedging.times_of(attempt.service, route.name)
        ratio = candidate.report.service_time_ratio
        delay_ms = times.delay_ms(ratio)
        if sent_ms + delay_ms >= attempt.deadline_ms:
            outcome = await dispatcher.try_target(attempt, candidate)
            self._add_time(times, outcome, candidate, ratio, sent_ms)
            return outcome
        loop = asyncio.get_running_loop()
        first = loop.create_task(dispatcher.try_target(attempt, candidate))
        second: SendTask | None = None
        try:
            done, _ = await asyncio.wait({first}, timeout=delay_ms / 1_000)
            found = None
            if done:
                times.count_late(False)
            else:
                found = self._hedge_target(attempt, times)
            if found is None:
                outcome = await first
                self._add_time(times, outcome, candidate, ratio, sent_ms)
                return outcome
            attempt.count_reached(candidate.name)
            second = loop.create_task(
                dispatcher.try_target(attempt, found, is_hedge=True)
            )
            outcomes = await self._race(
                attempt, {first: candidate, second: found}
            )
            if first in outcomes:
                self._add_time(
                    times, outcomes[first], candidate, ratio, sent_ms
                )
            return self._end_hedge(
                attempt,
                times,
                candidate,
                found,
                outcomes.get(first),
                outcomes.get(second),
                sent_ms,
            )
        finally:
            first.cancel()
            if second is not None:
                second.cancel()

    def _hedge_target(
        self,
        attempt: dispatcher_module.Attempt,
        times: hedging.ResponseTimes,
    ) -> target_selection.Candidate | None:
        """Returns the target of a late request's hedge; None for no hedge.

        The hedge is counted and charged to the retry budget.
        """
        dispatcher = self.dispatcher
        if attempt.fails_over:
            # The retry that is charged for takes the place of the hedge.
            return None
        now_ms = dispatcher.now_ms()
        denial = self.hedging.denial(
            now_ms,
            attempt.service,
            attempt.route.name,
            attempt.route.objective_ms,
            attempt.deadline_ms - now_ms,
            dispatcher.suspects.crash_count(now_ms, attempt.fingerprint),
            dispatcher.budget(attempt.service),
            len(dispatcher.members),
        )
        times.count_late(True)
        found = None
        if denial is None:
            found = dispatcher.choose_target(
                attempt, lambda each: hedging.has_room(now_ms, each)
            )
            if found is None:
                denial = hedging.Denial.NO_TARGET
            elif not dispatcher.spend_retry(attempt, "hedge"):
                denial = hedging.Denial.RETRY_BUDGET
        if denial is not None:
            dispatcher.metrics.hedges_denied.labels(denial.value).inc()
            return None
        self.hedging.on_hedge(now_ms, attempt.service)
        dispatcher.metrics.hedges.labels("sent").inc()
        return found

    async def _race(
        self,
        attempt: dispatcher_module.Attempt,
        sends: dict[SendTask, target_selection.Candidate],
    ) -> dict[SendTask, peer_messages.RunOutcome]:
        """Awaits a final outcome of one of two sends, or the end of both.

        Returns:
          The outcomes that there are by then.
        """
        outcomes: dict[SendTask, peer_messages.RunOutcome] = {}
        pending = set(sends)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                outcome = outcomes[task] = task.result()
                if isinstance(outcome, peer_messages.Refused):
                    self._apply_refusal(attempt, outcome, sends[task])
            if any(self._is_final(attempt, outcomes[task]) for task in done):
                break
        return outcomes

    def _is_final(
        self,
        attempt: dispatcher_module.Attempt,
        outcome: peer_messages.RunOutcome | None,
    ) -> bool:
        return isinstance(
            outcome, peer_messages.Answered
        ) and not self.dispatcher.is_retriable_failure(attempt, outcome)

    def _apply_refusal(
        self,
        attempt: dispatcher_module.Attempt,
        refused: peer_messages.Refused,
        candidate: target_selection.Candidate,
    ) -> None:
        """Applies the refusal of one of two sends.

        The dispatcher itself sees at most one outcome of the two.
        """
        attempt.retry_after_ms = max(
            attempt.retry_after_ms, refused.retry_after_ms
        )
        if refused.kind not in _KINDS_WITHOUT_EXCLUSION:
            candidate.excluded_until_ms = (
                self.dispatcher.now_ms() + dispatcher_module.EXCLUSION_MS
            )

    def _end_hedge(
        self,
        attempt: dispatcher_module.Attempt,
        times: hedging.ResponseTimes,
        first: target_selection.Candidate,
        second: target_selection.Candidate,
        first_outcome: peer_messages.RunOutcome | None,
        second_outcome: peer_messages.RunOutcome | None,
        sent_ms: float,
    ) -> peer_messages.RunOutcome:
        """Returns the outcome of two sends, and counts and logs the hedge.

        Args:
          attempt: the request.
          times: response times of its kind.
          first: target of the first send.
          second: target of the hedge.
          first_outcome: outcome of the first send; None if it is at work.
          second_outcome: outcome of the hedge; None if it is at work.
          sent_ms: time of the first send.
        """
        dispatcher = self.dispatcher
        took_ms = dispatcher.now_ms() - sent_ms
        winner = "none"
        if self._is_final(attempt, first_outcome):
            winner = "first"
            outcome = first_outcome
        elif self._is_final(attempt, second_outcome):
            winner = "hedge"
            outcome = second_outcome
            self.hedging.on_answer(second.name)
            dispatcher.metrics.hedges.labels("won").inc()
        else:
            outcome = _failure(attempt, first_outcome, second_outcome)
        if first_outcome is None or second_outcome is None:
            dispatcher.metrics.hedges.labels("cancelled").inc()
        if first_outcome is None:
            times.add(took_ms, first.report.service_time_ratio)
            if self.hedging.on_overtaken(first.name):
                attempt.overtaken = first.name
        dispatcher.log.write(
            "hedge",
            attempt=attempt.head.attempt,
            service=attempt.service,
            route=attempt.route.name,
            first=first.name,
            second=second.name,
            winner=winner,
            took_ms=int(took_ms),
        )
        return outcome

    def _add_time(
        self,
        times: hedging.ResponseTimes,
        outcome: peer_messages.RunOutcome,
        candidate: target_selection.Candidate,
        ratio: float,
        sent_ms: float,
    ) -> None:
        """Adds the response time of a first send, if it had a response.

        A send without a response until the deadline would have taken longer.
        """
        answered = (
            isinstance(outcome, peer_messages.Answered) and outcome.status < 500
        )
        expired = (
            isinstance(outcome, peer_messages.Lost)
            and outcome.kind == errors.ErrorKind.DEADLINE_EXCEEDED.value
        )
        if answered:
            self.hedging.on_answer(candidate.name)
        if answered or expired:
            times.add(self.dispatcher.now_ms() - sent_ms, ratio)


def _failure(
    attempt: dispatcher_module.Attempt,
    first: peer_messages.RunOutcome,
    second: peer_messages.RunOutcome,
) -> peer_messages.RunOutcome:
    """Returns the outcome of a request both of whose sends failed.

    If one of them may have run, a refusal of the other does not say that the
    request has not run. A target's own response goes before a lost one.
    """
    for kind in (peer_messages.Answered, peer_messages.Lost):
        for outcome in (first, second):
            if isinstance(outcome, kind):
                attempt.lost = True
                return outcome
    if second.kind == errors.ErrorKind.QUARANTINED.value:
        return second
    return first


def install(dispatcher: dispatcher_module.Dispatcher, share: float) -> None:
    """Hedges a dispatcher's requests, within a share of a service's requests.

    Without hedges, nothing is installed, and the dispatcher sends by itself.
    """
    if share > 0.0:
        dispatcher.send = HedgedSends(dispatcher, share).send
