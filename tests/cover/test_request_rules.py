"""Rules of a request's lifecycle, each with a promise that needs it.

Each scenario runs with the lifecycle and with a variant that lacks one rule.
It guards against a rule that is lost or that no scenario depends on.
"""

import msgspec
import pytest

from auburnrock import errors
from auburnrock.engine import guarded_chart
from auburnrock.engine import request
from auburnrock.engine import request_events
from auburnrock.engine import retry
from tests.common import request_world as rw


def last_failure(call):
    return call.answers[-1].failure


# Scenarios: each takes a lifecycle class and returns the broken promises. ---


def lose_non_idempotent_work(lifecycle_class):
    # Without the owner's results, which would prevent a second run as well.
    world = rw.World(lifecycle_class, keeps_results=False)
    world.call(idempotent=False, fates=[rw.LOST_AFTER, rw.OK])
    world.call(idempotent=False, fates=[rw.SILENT_AFTER, rw.OK])
    return world.violations()


def refuse_after_a_lost_attempt(lifecycle_class):
    world = rw.World(lifecycle_class)
    world.call(fates=[rw.LOST_AFTER, rw.REFUSED])
    return world.violations()


def cross_answers(lifecycle_class):
    world = rw.World(lifecycle_class)
    world.call(fates=[rw.CROSSED, rw.OK])
    return world.violations()


def brown_out(lifecycle_class):
    world = rw.World(lifecycle_class, slots=20)
    for _ in range(200):
        world.call(fates=[rw.LOST_AFTER, rw.LOST_AFTER])
        world.run_for(10)
    return world.violations()


def lose_every_attempt(lifecycle_class):
    world = rw.World(lifecycle_class)
    world.call(fates=[rw.LOST_AFTER] * 8)
    return world.violations()


def go_silent(lifecycle_class):
    world = rw.World(lifecycle_class)
    call = world.call(fates=[rw.SILENT_BEFORE, rw.OK])
    world.run_for(rw.SILENT_AFTER_MS + 3 * rw.ANSWER_MS)
    return [] if call.answers else ["a silent connection failed the request"]


def lose_the_owner_silently(lifecycle_class):
    world = rw.World(lifecycle_class)
    call = world.call(fates=[rw.SILENT_BEFORE, rw.SILENT_BEFORE, rw.OK])
    world.run_for(5)
    world.kill(silent=True)
    # Before the attempt counts as silent, so that only the table shows it.
    world.take_over(world.new_node())
    world.run_for(rw.SILENT_AFTER_MS - 20)
    return [] if call.sends == 2 else ["the change of owner caused no retry"]


def fail_finally(lifecycle_class):
    world = rw.World(lifecycle_class)
    call = world.call(idempotent=False, fates=[rw.LOST_AFTER])
    world.run_for(rw.ANSWER_MS + 2 * rw.HOP_MS)
    return [] if call.answers else ["the final answer was delayed"]


def wait_for_an_owner(lifecycle_class):
    world = rw.World(lifecycle_class)
    world.kill()
    world.tables = [0, 0]
    calls = [world.call() for _ in range(request.MAX_WAITING + 5)]
    waiting = sum(not call.answers for call in calls)
    return [] if waiting <= request.MAX_WAITING else [f"{waiting} wait"]


def lose_more_at_once_than_the_budget_holds(lifecycle_class):
    """Many attempts are lost together, while other requests succeed."""
    world = rw.World(lifecycle_class, slots=100)
    lost = []
    for number in range(300):
        world.call()
        if number == 150:
            lost = [
                world.call(fates=[rw.LOST_AFTER], timeout_ms=3_000)
                for _ in range(20)
            ]
        world.run_for(10)
    failed = sum(
        not isinstance(call.answers[0], request_events.Reply) for call in lost
    )
    return [f"{failed} of 20 failed"] if failed else []


def go_silent_beside_requests_that_are_late(lifecycle_class):
    """Late requests claim as much retry budget as the successes deposit."""
    world = rw.World(lifecycle_class, slots=100)
    silent = []
    for number in range(500):
        world.call(fates=[rw.LATE] if number % 10 == 0 else [])
        if number == 10:
            silent = [
                world.call(fates=[rw.SILENT_BEFORE], timeout_ms=4_000)
                for _ in range(40)
            ]
        world.run_for(10)
    failed = sum(
        not isinstance(call.answers[0], request_events.Reply) for call in silent
    )
    return [f"{failed} of 40 failed"] if failed else []


def lose_every_request(lifecycle_class):
    world = rw.World(lifecycle_class, slots=100)
    lost = [world.call(fates=[rw.LOST_AFTER] * 8) for _ in range(100)]
    held = 0
    for _ in range(60):
        world.run_for(5)
        saving = [call for call in lost if call.lifecycle.state == "saving"]
        held = max(held, len(saving))
    # Nothing succeeds: the budget grows by one retry per second.
    return [f"{held} wait in vain for retry budget"] if held > 1 else []


def refuse_while_moving(lifecycle_class):
    world = rw.World(lifecycle_class)
    world.moving = True
    call = world.call()
    world.run_for(2 * rw.HOP_MS + 1)
    return (
        []
        if call.sends == 1
        else [f"{call.sends} sends without a change of the table"]
    )


class RepeatsAnything(request.Lifecycle):
    __slots__ = ()

    def may_run_again(self):
        return self.sends < request.MAX_SENDS

    def send(self, now_ms, event):
        details = self.details
        self.details = msgspec.structs.replace(details, idempotent=True)
        actions = super().send(now_ms, event)
        self.details = details
        return actions


class ReportsLastFailure(request.Lifecycle):
    __slots__ = ()

    def final_failure(self, failure):
        return failure


class AcceptsAnyAnswer(request.Lifecycle):
    __slots__ = ()

    def _end_attempt(self, event):
        if isinstance(event, request_events.Answered):
            del self.outstanding[event.attempt]
            return "Answered"
        return super()._end_attempt(event)


class HasNoBudget(request.Lifecycle):
    __slots__ = ()

    def in_budget(self, now_ms):
        self.entry.budget.millitokens = retry.CAPACITY_MILLITOKENS
        return True


class RepeatsWithoutBound(HasNoBudget):
    __slots__ = ()

    def may_run_again(self):
        return self.details.idempotent


class FailsWithoutBudget(request.Lifecycle):
    __slots__ = ()

    def budget_will_allow(self, now_ms):
        return False


class IgnoresClaimOrder(request.Lifecycle):
    __slots__ = ()

    def in_turn(self, now_ms):
        return True


class AlwaysWaitsForBudget(request.Lifecycle):
    __slots__ = ()

    def budget_will_allow(self, now_ms):
        return True


class NeverHedges(request.Lifecycle):
    __slots__ = ()

    def silent(self, now_ms):
        return False


class IgnoresOwnerChange(request.Lifecycle):
    __slots__ = ()

    def owner_changed(self, now_ms):
        return False


class DelaysFinalFailure(request.Lifecycle):
    __slots__ = ()

    def refuse(self, now_ms, event):
        self.state = "sent"
        return self.wait_on(now_ms, event)


class WaitsWithoutBound(request.Lifecycle):
    __slots__ = ()

    def may_wait(self, now_ms):
        return True


class ResendsAtOnce(request.Lifecycle):
    __slots__ = ()

    def has_node(self, now_ms):
        self.node = self.route.choose([])
        return self.node != 0


@pytest.mark.parametrize(
    ("scenario", "without_the_rule"),
    [
        (lose_non_idempotent_work, RepeatsAnything),
        (refuse_after_a_lost_attempt, ReportsLastFailure),
        (cross_answers, AcceptsAnyAnswer),
        (brown_out, HasNoBudget),
        (lose_every_attempt, RepeatsWithoutBound),
        (go_silent, NeverHedges),
        (lose_the_owner_silently, IgnoresOwnerChange),
        (fail_finally, DelaysFinalFailure),
        (wait_for_an_owner, WaitsWithoutBound),
        (refuse_while_moving, ResendsAtOnce),
        (lose_more_at_once_than_the_budget_holds, FailsWithoutBudget),
        (go_silent_beside_requests_that_are_late, IgnoresClaimOrder),
        (lose_every_request, AlwaysWaitsForBudget),
    ],
)
def test_a_promise_holds_with_its_rule_and_breaks_without(
    scenario, without_the_rule
):
    assert scenario(request.Lifecycle) == []
    assert scenario(without_the_rule) != []


def test_a_request_whose_owner_is_lost_is_served_by_the_next():
    world = rw.World()
    world.kill()
    call = world.call()
    world.run_for(rw.FAILOVER_MS + 100)
    assert isinstance(call.answers[0], request_events.Reply)


def test_a_request_without_time_for_a_second_attempt_claims_no_budget():
    world = rw.World()
    entry = world.entries[0]
    entry.budget.allows(world.now_ms)
    entry.budget.millitokens = 0
    world.call(fates=[rw.SILENT_BEFORE], timeout_ms=300)
    world.run_for(rw.SILENT_AFTER_MS + 5)
    assert len(entry.claims) == 1
    world.run_for(150)
    assert not entry.claims
    assert world.violations() == []


def test_no_request_fails_in_a_planned_move():
    world = rw.World(slots=20)
    for number in range(60):
        world.call(idempotent=number % 2 == 0, entry=number % 2)
        if number % 20 == 10:
            world.move()
        world.run_for(3)
    assert world.violations() == []
    assert world.epoch > 1
    answers = [call.answers[0] for call in world.calls]
    assert all(isinstance(a, request_events.Reply) for a in answers)


def test_amplification_in_a_brown_out_stays_under_1_2():
    world = rw.World(slots=20)
    for number in range(1_000):
        lost = number % 10 < 3
        world.call(fates=[rw.LOST_AFTER] * 2 if lost else [])
        world.run_for(5)
    assert world.violations() == []
    assert sum(world.executions.values()) / len(world.calls) < 1.2


def test_a_lost_answer_of_a_named_work_says_when_to_ask_again():
    world = rw.World()
    call = world.call(idempotent=False, fates=[rw.LOST_AFTER])
    world.run_for(100)
    answer = last_failure(call).answer()
    assert answer.ran is errors.Ran.UNKNOWN
    assert answer.retry_after_ms > 0


def test_retry_times_are_spread_by_the_random_number():
    times = {retry.jittered_ms(1_000, number / 10) for number in range(10)}
    assert len(times) == 10
    assert min(times) >= 500
    assert max(times) < 1_500


def test_a_chart_that_names_a_missing_guard_is_refused():
    row = guarded_chart.Row(to="new", guards=["no_such_guard"])
    chart = guarded_chart.GuardedChart("new", {"new": {"Start": [row]}})
    with pytest.raises(AttributeError):
        guarded_chart.compile_for(request.Lifecycle, chart)
