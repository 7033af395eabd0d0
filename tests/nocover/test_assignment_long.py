"""The fuzz of test_assignment_fuzz.py for longer, with fresh seeds."""

import hypothesis

from tests.cover import test_assignment_fuzz


class LongAssignmentMachine(test_assignment_fuzz.AssignmentMachine):
    """The same machine; its own class keeps its settings apart."""


TestAssignmentForLong = LongAssignmentMachine.TestCase
TestAssignmentForLong.settings = hypothesis.settings(
    max_examples=5_000, stateful_step_count=60, deadline=None
)
