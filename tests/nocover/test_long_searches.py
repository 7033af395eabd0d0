"""The random searches of tests/cover for requests, longer."""

import hypothesis

from tests.cover import test_idempotency
from tests.cover import test_limits
from tests.cover import test_request_fuzz

LONG = hypothesis.settings(
    max_examples=3_000, stateful_step_count=60, deadline=None
)


class RequestMachine(test_request_fuzz.RequestMachine):
    pass


class WindowMachine(test_idempotency.WindowMachine):
    pass


class LimitsMachine(test_limits.LimitsMachine):
    pass


RequestMachine.TestCase.settings = LONG
WindowMachine.TestCase.settings = LONG
LimitsMachine.TestCase.settings = LONG
TestRequestsLong = RequestMachine.TestCase
TestResultWindowLong = WindowMachine.TestCase
TestLimitsLong = LimitsMachine.TestCase
