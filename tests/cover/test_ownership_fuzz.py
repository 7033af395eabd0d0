"""Stateful fuzzing of the ownership protocol against its oracle.

The world checks the oracle after every event; see tests/common/ownership.py.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests.common import ownership_steps

ANY = st.integers(0, 6)
RATES = st.lists(st.sampled_from([0.99, 1.0, 1.01]), min_size=5, max_size=5)


class Ownership(stateful.RuleBasedStateMachine):
    """Failures in any order; time passes with each."""

    @stateful.initialize(seed=st.integers(0, 2**16), rates=RATES)
    def settle(self, seed, rates):
        self.run = ownership_steps.Steps(seed, rates)

    @stateful.rule(span_ms=st.sampled_from([1, 20, 300, 900, 2_500]))
    def pass_time(self, span_ms):
        self.run.run(span_ms)

    @stateful.rule(
        one=ANY, span_ms=st.integers(10, 4_000), tick_first=st.booleans()
    )
    def pause(self, one, span_ms, tick_first):
        self.run.pause(one, span_ms, tick_first)
        self.run.run(1)

    @stateful.rule(one=ANY, other=ANY)
    def cut(self, one, other):
        self.run.cut(one, other)

    @stateful.rule(one=ANY, other=ANY)
    def isolate(self, one, other):
        self.run.isolate(one, other)

    @stateful.rule(one=ANY)
    def cut_from_the_store(self, one):
        self.run.cut_store(one)

    @stateful.rule()
    def heal(self):
        self.run.heal()

    @stateful.rule(is_down=st.booleans())
    def set_store(self, is_down):
        self.run.set_store(is_down)

    @stateful.rule(
        one=ANY,
        faults=st.lists(
            st.sampled_from(ownership_steps.FAULTS), min_size=1, max_size=4
        ),
    )
    def fault(self, one, faults):
        self.run.fault(one, faults)

    @stateful.rule(one=ANY)
    def restart(self, one):
        self.run.restart(one)

    @stateful.rule(one=ANY)
    def replace(self, one):
        self.run.replace(one)

    @stateful.rule(one=ANY)
    def move(self, one):
        self.run.move(one)

    @stateful.rule(late=st.booleans())
    def lose_a_change(self, late):
        self.run.lose_a_change(late)

    def teardown(self):
        if hasattr(self, "run"):
            self.run.finish()


TestOwnership = Ownership.TestCase
TestOwnership.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=20,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.mark.parametrize("first_seed", range(0, 60, 20))
def test_random_schedules_have_one_owner_and_end_with_one(first_seed):
    for seed in range(first_seed, first_seed + 20):
        ownership_steps.search(seed)
