"""Random schedules of callers, owners and targets, checked by an oracle.

Guards against combinations of losses, moves and repeats that run work too
often, answer a request twice or not at all, or exceed the retry budget.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.common import request_world

SKEWS_MS = st.integers(-1_000, 1_000)
FATES = st.lists(st.sampled_from(request_world.FATES), max_size=3)
ENTRIES = st.integers(0, 1)


class RequestMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = request_world.World()

    @stateful.rule(
        idempotent=st.booleans(),
        fates=FATES,
        entry=ENTRIES,
        skew_ms=SKEWS_MS,
        timeout_ms=st.sampled_from([30, 300, 1_500]),
    )
    def call(self, **arguments):
        self.world.call(**arguments)

    @stateful.rule(fates=FATES, entry=ENTRIES, pick=st.integers(0, 9))
    def repeat(self, fates, entry, pick):
        calls = self.world.calls
        if calls:
            first = calls[pick % len(calls)]
            self.world.call(fates=fates, entry=entry, repeat_of=first)

    @stateful.rule(pick=st.integers(0, 9))
    def leave(self, pick):
        calls = self.world.calls
        if calls:
            self.world.leave(calls[pick % len(calls)])

    @stateful.rule(duration_ms=st.sampled_from([1, 5, 12, 50, 500, 2_000]))
    def pass_time(self, duration_ms):
        self.world.run_for(duration_ms)

    @stateful.rule()
    def move(self):
        self.world.move()

    @stateful.rule(silent=st.booleans())
    def kill(self, silent):
        self.world.kill(silent)

    def teardown(self):
        assert self.world.violations() == []


RequestMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
TestRequests = RequestMachine.TestCase
