"""Admission to one target and its learnt concurrency limit.

Guards against a limit that misjudges congestion, callers that starve others,
and requests that are started although they cannot end in time.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from auburnrock import errors
from auburnrock.engine import concurrency_limit
from auburnrock.engine import connections
from auburnrock.engine import limits

DONE = concurrency_limit.Outcome.DONE
LOST = concurrency_limit.Outcome.LOST
TIMED_OUT = concurrency_limit.Outcome.TIMED_OUT
REFUSED = concurrency_limit.Outcome.REFUSED
FAR_MS = 1_000_000


def ticket(number, caller="a", deadline_at_ms=FAR_MS, idempotent=True, **more):
    return limits.Ticket(number, caller, deadline_at_ms, idempotent, **more)


def warm(limit):
    """Raises a limit to its slots, with a long-run latency of 10 ms."""
    for _ in range(int(2 / concurrency_limit.LONG_RUN_WEIGHT)):
        limit.observe(DONE, 10.0, True)
    return limit


def full_target(slots=1, latency_ms=10.0):
    """Returns a warm target at its limit, and its running requests."""
    target = limits.TargetLimits(slots, slots + 5)
    warm(target.limit)
    target.limit.recent_ms = target.limit.long_run_ms = latency_ms
    running = [ticket(1_000 + number) for number in range(slots)]
    for each in running:
        assert isinstance(target.admit(0, each), limits.Admitted)
    return target, running


def started(target, running):
    """Returns the waiting requests' numbers in their starting order."""
    order = []
    while running:
        following = target.finished(0, running.pop(0), DONE, 10.0)
        running += following.start
        order += [each.number for each in following.start]
    return order


def test_a_cold_target_starts_slowly_and_reaches_its_slots():
    limit = concurrency_limit.ConcurrencyLimit(20)
    assert limit.allowed() == concurrency_limit.COLD_LIMIT
    rounds = 0
    while limit.allowed() < 20:
        for _ in range(limit.allowed()):
            limit.observe(DONE, 10.0, True)
        rounds += 1
    assert 3 <= rounds <= 5


@pytest.mark.parametrize("outcome", [REFUSED, TIMED_OUT])
def test_a_target_that_fails_is_given_less_down_to_one(outcome):
    limit = warm(concurrency_limit.ConcurrencyLimit(20))
    for _ in range(500):
        limit.observe(outcome, 10.0, True)
    assert limit.allowed() == 1


def test_a_target_that_slows_down_is_given_less_and_recovers():
    limit = warm(concurrency_limit.ConcurrencyLimit(20))
    for _ in range(60):
        limit.observe(DONE, 100.0, True)
    assert limit.allowed() < 15
    for _ in range(2_000):
        limit.observe(DONE, 10.0, True)
    assert limit.allowed() == 20


def test_a_mix_of_quick_and_slow_requests_is_no_congestion():
    limit = warm(concurrency_limit.ConcurrencyLimit(20))
    limit.recent_ms = limit.long_run_ms = 20.0
    for number in range(2_000):
        limit.observe(DONE, 60.0 if number % 5 == 0 else 10.0, True)
    assert limit.allowed() >= 18


def test_answers_lost_at_random_do_not_take_the_limit_down():
    limit = warm(concurrency_limit.ConcurrencyLimit(20))
    for number in range(2_000):
        limit.observe(LOST if number % 3 == 0 else DONE, 10.0, True)
    assert limit.allowed() == 20


def test_an_odd_first_latency_is_no_congestion():
    limit = concurrency_limit.ConcurrencyLimit(20)
    limit.observe(DONE, 1.0, True)
    for _ in range(100):
        limit.observe(DONE, 50.0, True)
    assert limit.allowed() == 20


def test_one_congestion_counts_once():
    limit = warm(concurrency_limit.ConcurrencyLimit(20))
    for _ in range(20):
        limit.observe(REFUSED, 10.0, True)
    assert limit.allowed() == 18


def test_a_request_that_cannot_end_in_time_is_refused_at_once():
    target, _ = full_target(latency_ms=50.0)
    admission = target.admit(0, ticket(1, deadline_at_ms=40))
    assert admission.failure.kind is errors.ErrorKind.OVERLOADED
    assert admission.failure.answer().ran is errors.Ran.NO
    assert admission.failure.retry_after_ms > 0


def test_a_waiting_request_is_refused_when_its_time_runs_out():
    target, _ = full_target(latency_ms=50.0)
    assert isinstance(
        target.admit(0, ticket(1, deadline_at_ms=200)), limits.Queued
    )
    assert target.expire(140).refuse == []
    assert [r.ticket.number for r in target.expire(160).refuse] == [1]


def test_non_idempotent_work_needs_more_time_than_idempotent():
    target, _ = full_target(latency_ms=50.0)
    late = {"deadline_at_ms": 80}
    assert target.can_finish(0, ticket(1, **late))
    assert not target.can_finish(0, ticket(2, idempotent=False, **late))


def test_an_idle_target_is_tried_whatever_its_latency_was():
    target, running = full_target(latency_ms=5_000.0)
    soon = ticket(1, deadline_at_ms=2_000)
    assert isinstance(target.admit(0, soon), limits.RefusedTicket)
    target.finished(0, running[0], DONE, 10.0)
    assert isinstance(target.admit(0, soon), limits.Admitted)


def test_a_caller_that_floods_does_not_delay_another():
    target, running = full_target(slots=10)
    for number in range(15):
        target.admit(0, ticket(number, "flood"))
    target.admit(0, ticket(100, "other"))
    target.admit(0, ticket(101, "other"))
    order = started(target, running)
    assert order.index(100) <= 1
    assert order.index(101) <= 3


def test_a_full_queue_drops_from_the_caller_that_has_most_in_it():
    target, _ = full_target(slots=4)
    for number in range(8):
        target.admit(0, ticket(number, "flood"))
    admission = target.admit(0, ticket(100, "other"))
    assert admission.displaced.ticket.number == 7
    assert isinstance(target.admit(0, ticket(8, "flood")), limits.RefusedTicket)


def test_of_one_caller_idempotent_requests_are_dropped_first():
    target, _ = full_target(slots=2)
    for number, idempotent in enumerate([True, False, True, False]):
        target.admit(0, ticket(number, idempotent=idempotent))
    admission = target.admit(0, ticket(9, idempotent=False))
    assert admission.displaced.ticket.number == 2
    assert isinstance(target.admit(0, ticket(10)), limits.RefusedTicket)


def test_a_request_that_runs_alone_runs_beside_nothing():
    target, running = full_target(slots=3)
    target.admit(0, ticket(1, alone=True))
    target.admit(0, ticket(2))
    while 1 not in target.running:
        following = target.finished(0, running.pop(0), DONE, 10.0)
        running += following.start
    assert list(target.running) == [1]
    assert isinstance(target.admit(0, ticket(3)), limits.Queued)
    following = target.finished(0, target.running[1], DONE, 10.0)
    assert [each.number for each in following.start] == [2, 3]


def test_requests_that_run_alone_do_not_starve_the_others():
    target, running = full_target(slots=2)
    for number in range(2):
        target.admit(0, ticket(number, alone=True))
        target.admit(0, ticket(100 + number))
    order = started(target, running)
    assert set(order) == {0, 1, 100, 101}
    assert order.index(100) < order.index(1)


def test_timed_out_requests_hold_their_connections_for_a_while():
    target = limits.TargetLimits(slots=2, connections=3)
    warm(target.limit)
    for number in range(3):
        late = ticket(number)
        assert isinstance(target.admit(0, late), limits.Admitted)
        target.finished(0, late, TIMED_OUT, 10.0)
    assert isinstance(target.admit(0, ticket(9)), limits.Queued)
    later_ms = limits.ABANDONED_HOLDS_CONNECTION_MS
    assert [each.number for each in target.expire(later_ms).start] == [9]


def test_a_silent_request_does_not_block_its_second_attempt():
    target, running = full_target(slots=1)
    target.admit(0, ticket(1))
    following = target.gone_silent(0, running[0])
    assert [each.number for each in following.start] == [1]
    assert target.finished(0, running[0], LOST, 10.0) == limits.Next([], [])


def test_a_connection_is_retired_only_when_it_owes_an_answer():
    answer_time = connections.AnswerTime()
    for _ in range(50):
        answer_time.observe(10.0)
    watch = connections.ConnectionWatch(0, answer_time)
    assert not watch.is_lost(1_000_000)
    watch.sent(1_000_000)
    silence_ms = connections.RETIRE_FACTOR * answer_time.silent_after_ms()
    assert not watch.is_lost(1_000_000 + silence_ms - 1)
    assert watch.is_lost(1_000_000 + silence_ms)
    watch.received(1_000_000 + silence_ms)
    assert not watch.is_lost(1_000_000 + silence_ms)


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Every request is started or refused once, within the bounds."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.target = limits.TargetLimits(slots=4, connections=8)
        self.waiting = []
        self.running = []
        self.number = 0

    @stateful.rule(
        caller=st.sampled_from("abc"),
        left_ms=st.integers(1, 400),
        idempotent=st.booleans(),
        alone=st.integers(0, 9).map(lambda number: number == 0),
    )
    def arrive(self, caller, left_ms, idempotent, alone):
        self.number += 1
        arrived = ticket(
            self.number, caller, self.now_ms + left_ms, idempotent, alone=alone
        )
        admission = self.target.admit(self.now_ms, arrived)
        if isinstance(admission, limits.Admitted):
            self.running.append(arrived)
        elif isinstance(admission, limits.Queued):
            self.waiting.append(arrived)
            if admission.displaced is not None:
                self.waiting.remove(admission.displaced.ticket)
                assert admission.displaced.ticket is not arrived

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        pick=st.integers(0, 3),
        outcome=st.sampled_from(list(concurrency_limit.Outcome)),
        latency_ms=st.integers(1, 200),
    )
    def finish(self, pick, outcome, latency_ms):
        ended = self.running.pop(pick % len(self.running))
        self.take(self.target.finished(self.now_ms, ended, outcome, latency_ms))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule()
    def go_silent(self):
        self.take(self.target.gone_silent(self.now_ms, self.running[0]))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule()
    def cancel(self):
        assert self.target.cancelled(self.waiting.pop())

    @stateful.rule(duration_ms=st.integers(1, 100))
    def pass_time(self, duration_ms):
        self.now_ms += duration_ms
        self.take(self.target.expire(self.now_ms))

    def take(self, following):
        for refused in following.refuse:
            self.waiting.remove(refused.ticket)
        for each in following.start:
            self.waiting.remove(each)
            self.running.append(each)

    @stateful.invariant()
    def bounds_hold(self):
        target = self.target
        assert len(target.running) + len(target.silent) == len(self.running)
        assert 1 <= target.limit.allowed() <= 4
        assert len(target.running) <= 4
        assert len(self.running) <= 8
        assert target.queued + len(target.alone) == len(self.waiting)
        assert target.queued <= limits.QUEUE_PER_SLOT * 4
        if any(each.alone for each in target.running.values()):
            assert len(self.running) == 1

    def teardown(self):
        # Nothing waits at a target that runs nothing.
        while self.running:
            ended = self.running.pop()
            self.take(self.target.finished(self.now_ms, ended, DONE, 1.0))
        self.now_ms += limits.ABANDONED_HOLDS_CONNECTION_MS
        self.take(self.target.expire(self.now_ms))
        assert self.running or not self.waiting


LimitsMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
TestLimits = LimitsMachine.TestCase


def test_jitter_of_a_millisecond_is_no_congestion():
    limit = concurrency_limit.ConcurrencyLimit(20)
    done = concurrency_limit.Outcome.DONE
    for _ in range(200):
        for latency_ms in [0.0] * 120 + [1.0] * 20:
            limit.observe(done, latency_ms, True)
    assert limit.allowed() == 20
