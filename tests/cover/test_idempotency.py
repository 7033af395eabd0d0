"""Rules of the result window that make work run at most once.

Each scenario repeats work after a loss, a move or an eviction. With the window
the work runs once; with a variant that lacks one rule it runs twice.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from auburnrock import errors
from auburnrock.engine import idempotency
from tests.common import request_world as rw

WALL_MS = rw.WALL_START_MS
SERVICE = rw.SERVICE
SHARD = rw.SHARD
KEPT_MS = 20_000
MARGIN_MS = idempotency.CLOCK_MARGIN_MS


def name_of(key, scope=""):
    return idempotency.WorkName(SERVICE, "k", scope, key)


class Owners:
    """The successive owners of one shard, and how often each work ran."""

    def __init__(self, window_class=idempotency.ResultWindow, **bounds):
        self.make_window = lambda: window_class(retention_ms=KEPT_MS, **bounds)
        self.wall_ms = WALL_MS
        self.epoch = 1
        self.window = self.make_window()
        self.runs: dict[str, int] = {}
        self.window.own(SERVICE, SHARD, self.epoch, self.wall_ms)
        self.wall_ms += 2 * MARGIN_MS

    def key(self, number, skew_ms=0):
        return rw.uuid7(self.wall_ms + skew_ms, number)

    def ask(self, key, **more):
        verdict = self.window.begin(
            self.wall_ms, SHARD, name_of(key), "f", **more
        )
        if isinstance(verdict, idempotency.Run):
            self.runs[key] = self.runs.get(key, 0) + 1
        return verdict

    def run(self, key):
        if isinstance(self.ask(key), idempotency.Run):
            self.done(key)

    def done(self, key):
        body = key.encode()
        self.window.done(SHARD, name_of(key), rw.response("r", body))

    def lose_owner(self):
        self.epoch += 1
        self.window = self.make_window()
        self.window.own(SERVICE, SHARD, self.epoch, self.wall_ms)

    def move(self):
        """Changes the owner; returns the export for the new one to adopt."""
        exported = self.window.export(SERVICE, SHARD)
        self.lose_owner()
        return exported


def kind_of(verdict):
    return verdict.failure.kind


# Scenarios: each returns the owners, which count how often work ran. --------


def repeat_after_the_owner_is_lost(window_class):
    owners = Owners(window_class)
    key = owners.key(1)
    owners.run(key)
    owners.wall_ms += 500
    owners.lose_owner()
    owners.run(key)
    return owners


def repeat_with_a_clock_ahead(window_class):
    owners = Owners(window_class)
    key = owners.key(1, skew_ms=MARGIN_MS)
    owners.run(key)
    owners.wall_ms += 500
    owners.lose_owner()
    owners.run(key)
    return owners


def repeat_with_a_key_from_the_future(window_class):
    owners = Owners(window_class)
    key = owners.key(1, skew_ms=60_000)
    owners.run(key)
    owners.lose_owner()
    owners.run(key)
    return owners


def repeat_after_a_lost_answer(window_class):
    owners = Owners(window_class)
    key = owners.key(1)
    owners.ask(key)
    owners.window.lost(SHARD, name_of(key))
    owners.run(key)
    return owners


def repeat_after_two_moves(window_class):
    owners = Owners(window_class)
    first = owners.move()
    key = owners.key(1)
    owners.window.adopt(first)
    owners.run(key)
    owners.lose_owner()
    owners.window.adopt(first)
    owners.run(key)
    return owners


def repeat_after_results_were_evicted(window_class):
    owners = Owners(window_class)
    key = owners.key(1)
    owners.run(key)
    owners.wall_ms += KEPT_MS + 1
    owners.window.expire(owners.wall_ms)
    owners.run(key)
    return owners


def repeat_after_the_window_was_full(window_class):
    owners = Owners(window_class, most_results=3)
    keys = [owners.key(number) for number in range(5)]
    for key in keys + keys:
        owners.run(key)
    return owners


def adopt_more_than_fits(window_class):
    owners = Owners(window_class)
    keys = [owners.key(number, number) for number in range(5)]
    for key in keys:
        owners.run(key)
    exported = owners.move()
    owners.window.most_results = 3
    owners.window.adopt(exported)
    owners.window.most_results = 100
    for key in keys:
        owners.run(key)
    return owners


class HasNoFloor(idempotency.ResultWindow):
    __slots__ = ()

    def own(self, service, shard, epoch, wall_ms):
        super().own(service, shard, epoch, 0)


class HasNoMargin(idempotency.ResultWindow):
    __slots__ = ()

    def begin(self, wall_ms, shard, name, fingerprint, is_first_attempt=False):
        margin_ms, self.clock_margin_ms = self.clock_margin_ms, 0
        born_ms = idempotency.uuid7_time_ms(name.idempotency_key)
        verdict = super().begin(
            max(wall_ms, born_ms), shard, name, fingerprint, is_first_attempt
        )
        self.clock_margin_ms = margin_ms
        return verdict


class AcceptsFutureKeys(idempotency.ResultWindow):
    __slots__ = ()

    def begin(self, wall_ms, shard, name, fingerprint, is_first_attempt=False):
        born_ms = idempotency.uuid7_time_ms(name.idempotency_key)
        return super().begin(
            born_ms, shard, name, fingerprint, is_first_attempt
        )


class TreatsLostAsNotRun(idempotency.ResultWindow):
    __slots__ = ()

    def lost(self, shard, name):
        self.not_run(shard, name)


class AdoptsAnyEpoch(idempotency.ResultWindow):
    __slots__ = ()

    def adopt(self, exported):
        state = self.shards[exported.service, exported.shard]
        exported.epoch = state.epoch - 1
        return super().adopt(exported)


class EvictsWithoutFloor(idempotency.ResultWindow):
    __slots__ = ()

    def expire(self, wall_ms):
        super().expire(wall_ms)
        for state in self.shards.values():
            state.eviction_floor_ms = 0


class EvictsWhenFull(idempotency.ResultWindow):
    __slots__ = ()

    def _is_full(self):
        results = self.shards[SERVICE, SHARD].results
        if self.count >= self.most_results:
            self._uncount(results.pop(next(iter(results))))
        return False


class AdoptsWithoutFloor(idempotency.ResultWindow):
    __slots__ = ()

    def adopt(self, exported):
        adopted = super().adopt(exported)
        for state in self.shards.values():
            state.eviction_floor_ms = 0
        return adopted


@pytest.mark.parametrize(
    ("scenario", "without_the_rule"),
    [
        (repeat_after_the_owner_is_lost, HasNoFloor),
        (repeat_with_a_clock_ahead, HasNoMargin),
        (repeat_with_a_key_from_the_future, AcceptsFutureKeys),
        (repeat_after_a_lost_answer, TreatsLostAsNotRun),
        (repeat_after_two_moves, AdoptsAnyEpoch),
        (repeat_after_results_were_evicted, EvictsWithoutFloor),
        (repeat_after_the_window_was_full, EvictsWhenFull),
        (adopt_more_than_fits, AdoptsWithoutFloor),
    ],
)
def test_work_runs_once_with_the_rule_and_twice_without(
    scenario, without_the_rule
):
    owners = scenario(idempotency.ResultWindow)
    assert max(owners.runs.values(), default=0) <= 1
    assert max(scenario(without_the_rule).runs.values()) == 2


def test_a_repeat_after_a_planned_move_gets_the_first_answer():
    owners = Owners()
    key = owners.key(1)
    owners.run(key)
    exported = owners.move()
    assert owners.window.adopt(exported)
    assert owners.ask(key).response.body == key.encode()


def test_results_that_arrive_after_new_work_began_are_merged():
    owners = Owners()
    old_key = owners.key(1)
    owners.run(old_key)
    exported = owners.move()
    assert kind_of(owners.ask(old_key)) is errors.ErrorKind.OUTCOME_UNKNOWN
    owners.wall_ms += 2 * MARGIN_MS
    new_key = owners.key(2)
    owners.run(new_key)
    assert owners.window.adopt(exported)
    for key in (old_key, new_key):
        assert isinstance(owners.ask(key), idempotency.Replay)


def test_a_repeat_while_the_work_runs_is_answered_in_progress():
    owners = Owners()
    key = owners.key(1)
    owners.ask(key)
    assert kind_of(owners.ask(key)) is errors.ErrorKind.IN_PROGRESS


def test_a_late_answer_is_kept_for_the_next_repeat():
    owners = Owners()
    key = owners.key(1)
    owners.ask(key)
    owners.window.lost(SHARD, name_of(key))
    owners.done(key)
    assert isinstance(owners.ask(key), idempotency.Replay)


def test_work_known_not_to_have_run_may_run_again():
    owners = Owners()
    key = owners.key(1)
    owners.ask(key)
    owners.window.not_run(SHARD, name_of(key))
    assert isinstance(owners.ask(key), idempotency.Run)


def test_a_first_attempt_that_waited_for_its_owner_runs_if_declared_so():
    owners = Owners()
    key = owners.key(1)
    owners.lose_owner()
    assert kind_of(owners.ask(key)) is errors.ErrorKind.OUTCOME_UNKNOWN
    assert isinstance(owners.ask(key, is_first_attempt=True), idempotency.Run)
    owners.done(key)
    assert isinstance(
        owners.ask(key, is_first_attempt=True), idempotency.Replay
    )


def test_results_stay_within_an_epoch_and_are_dropped_by_another():
    owners = Owners()
    key = owners.key(1)
    owners.run(key)
    owners.window.set_owned({(SERVICE, SHARD): 1}, owners.wall_ms)
    assert isinstance(owners.ask(key), idempotency.Replay)
    owners.window.set_owned({(SERVICE, SHARD): 2}, owners.wall_ms)
    assert kind_of(owners.ask(key)) is errors.ErrorKind.OUTCOME_UNKNOWN
    owners.window.set_owned({}, owners.wall_ms)
    assert owners.window.count == 0
    assert owners.window.size_bytes == 0


def test_a_full_window_refuses_new_work_and_says_not_run():
    owners = Owners(most_results=1)
    owners.run(owners.key(1))
    refused = owners.ask(owners.key(2))
    assert kind_of(refused) is errors.ErrorKind.OVERLOADED
    owners.wall_ms += KEPT_MS + 1
    owners.window.expire(owners.wall_ms)
    assert isinstance(owners.ask(owners.key(3)), idempotency.Run)


def test_every_shard_is_expired_in_its_turn():
    owners = Owners()
    for shard in range(1, 4):
        owners.window.own(SERVICE, shard, 1, WALL_MS)
        owners.window.begin(
            owners.wall_ms, shard, name_of(owners.key(shard)), "f"
        )
        owners.window.lost(shard, name_of(owners.key(shard)))
    for _ in range(4):
        owners.window.expire(owners.wall_ms + KEPT_MS + 1)
    assert owners.window.count == 0


def test_keys_of_the_same_value_in_other_scopes_do_not_collide():
    owners = Owners()
    key = owners.key(1)
    owners.run(key)
    other = owners.window.begin(
        owners.wall_ms, SHARD, name_of(key, "other"), "f"
    )
    assert isinstance(other, idempotency.Run)


def test_a_key_used_for_other_work_is_refused():
    owners = Owners()
    key = owners.key(1)
    owners.run(key)
    other = owners.window.begin(owners.wall_ms, SHARD, name_of(key), "g")
    assert kind_of(other) is errors.ErrorKind.BAD_REQUEST


@pytest.mark.parametrize(
    "key",
    [
        "",
        "order-17",
        "3b241101-e2bb-4255-8caf-4136c566a962",
        "01890a5d-ac96-774b-0cce-b302099a8057",
        "zzzzzzzz-zzzz-7zzz-8zzz-zzzzzzzzzzzz",
        "+1890a5d-ac96-774b-8cce-b302099a8057",
        "0_890a5d-ac96-774b-8cce-b302099a8057",
        "01890A5D-AC96-774B-8CCE-B302099A8057",
        "01890a5dac96774b8cceb302099a8057",
    ],
)
def test_a_key_that_is_no_uuid7_is_a_bad_request(key):
    assert kind_of(Owners().ask(key)) is errors.ErrorKind.BAD_REQUEST


class WindowMachine(stateful.RuleBasedStateMachine):
    """Random owners; no work may be run twice, whatever is forgotten."""

    def __init__(self):
        super().__init__()
        self.owners = Owners(most_results=6)
        self.keys = []
        self.running = []
        self.exported = []

    @stateful.rule(skew_ms=st.integers(-MARGIN_MS, MARGIN_MS))
    def new_work(self, skew_ms):
        key = self.owners.key(len(self.keys), skew_ms)
        self.keys.append(key)
        self.ask(key)

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(pick=st.integers(0, 30))
    def repeat(self, pick):
        self.ask(self.keys[pick % len(self.keys)])

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(lost=st.booleans())
    def end(self, lost):
        key = self.running.pop()
        if lost:
            self.owners.window.lost(SHARD, name_of(key))
        else:
            self.owners.done(key)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule()
    def not_run(self):
        key = self.running.pop()
        self.owners.window.not_run(SHARD, name_of(key))
        self.owners.runs[key] -= 1

    @stateful.rule()
    def lose_owner(self):
        self.owners.lose_owner()
        self.running.clear()

    @stateful.rule(late=st.booleans())
    def move(self, late):
        while self.running:
            self.end(lost=False)
        self.exported.append(self.owners.move())
        if not late:
            self.owners.window.adopt(self.exported[-1])

    @stateful.precondition(lambda self: self.exported)
    @stateful.rule(pick=st.integers(0, 3))
    def adopt(self, pick):
        exported = self.exported[pick % len(self.exported)]
        self.owners.window.adopt(exported)

    @stateful.rule(
        duration_ms=st.sampled_from([10, 900, 1_100, 5_000, KEPT_MS])
    )
    def pass_time(self, duration_ms):
        self.owners.wall_ms += duration_ms
        self.owners.window.expire(self.owners.wall_ms)

    def ask(self, key):
        if isinstance(self.owners.ask(key), idempotency.Run):
            self.running.append(key)

    @stateful.invariant()
    def at_most_once(self):
        assert max(self.owners.runs.values(), default=0) <= 1

    @stateful.invariant()
    def memory_is_bounded(self):
        window = self.owners.window
        kept = sum(len(state.results) for state in window.shards.values())
        assert kept == window.count <= 6
        assert (window.size_bytes > 0) == (window.count > 0)


WindowMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestResultWindow = WindowMachine.TestCase
