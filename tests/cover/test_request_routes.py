"""Where a request is sent after a refusal, a loss or a silence.

Covers services divided by key and services that are not. Guards against
requests that are retried where a retry is harmful or useless, and requests
that fail although another node could serve them.
"""

import pytest

from auburnrock import errors
from auburnrock.engine import request
from auburnrock.engine import request_events
from auburnrock.engine import retry

Kind = errors.ErrorKind


class ListedRoute(request.Route):
    """Chooses the first listed node that is not to be avoided."""

    def __init__(self, nodes):
        self.nodes = nodes

    def choose(self, avoid):
        preferred = [node for node in self.nodes if node not in avoid]
        return (preferred or self.nodes or [0])[0]

    def silent_after_ms(self, node):
        return 50


def lifecycle_of(nodes=(1, 2, 3), keyed=False, idempotent=True):
    details = request.Details("r", 2_000, idempotent, keyed)
    route = ListedRoute(list(nodes))
    made = request.Lifecycle(details, request.Entry(0), route, 0.5)
    actions = made.handle(0, request_events.Start())
    return made, actions


def refuse(lifecycle, kind, now_ms=1, retry_after_ms=None):
    failure = errors.Failure(kind, "scripted", retry_after_ms)
    event = request_events.Refused(lifecycle.sends, failure)
    return lifecycle.handle(now_ms, event)


def final(actions):
    assert isinstance(actions[0], request_events.Refuse), actions
    return actions[0].failure


@pytest.mark.parametrize("idempotent", [True, False])
def test_what_one_node_shed_goes_to_another_within_the_budget(idempotent):
    lifecycle, _ = lifecycle_of(idempotent=idempotent)
    (send,) = refuse(lifecycle, Kind.OVERLOADED)
    assert send.node == 2
    lifecycle.entry.budget.millitokens = 0
    lifecycle.entry.budget.floor_added_until_ms = 1
    failure = final(refuse(lifecycle, Kind.OVERLOADED))
    assert failure.answer().ran is errors.Ran.NO


def test_what_the_owner_of_a_key_shed_is_refused_at_once():
    lifecycle, _ = lifecycle_of(nodes=[1], keyed=True)
    failure = final(refuse(lifecycle, Kind.OVERLOADED, retry_after_ms=80))
    assert failure.kind is Kind.OVERLOADED
    assert failure.retry_after_ms == retry.jittered_ms(80, 0.5)


def test_a_misrouted_request_costs_no_retry_budget():
    lifecycle, _ = lifecycle_of()
    lifecycle.entry.budget.millitokens = 0
    lifecycle.entry.budget.floor_added_until_ms = 1
    (send,) = refuse(lifecycle, Kind.DRAINING)
    assert send.node == 2
    assert lifecycle.entry.repeats == 0


def test_a_request_that_every_node_sends_back_ends_after_its_last_send():
    lifecycle, actions = lifecycle_of(nodes=[1], keyed=True)
    now_ms = 0
    while lifecycle.state != "ended":
        if lifecycle.state == "sent":
            actions = refuse(lifecycle, Kind.NOT_OWNER, now_ms)
        else:
            now_ms = lifecycle.wake_at_ms
            actions = lifecycle.handle(now_ms, request_events.Tick())
    assert lifecycle.sends == request.MAX_SENDS
    assert final(actions).kind is Kind.NOT_OWNER
    assert now_ms < 2_000


@pytest.mark.parametrize(
    "kind",
    [Kind.QUARANTINED, Kind.BAD_REQUEST, Kind.IN_PROGRESS, Kind.TARGET_REFUSED],
)
def test_a_refusal_that_no_repeat_can_help_is_final(kind):
    lifecycle, _ = lifecycle_of(nodes=[1], keyed=True)
    assert final(refuse(lifecycle, kind)).kind is kind


def test_a_non_idempotent_request_that_was_not_sent_is_sent_again():
    lifecycle, _ = lifecycle_of(nodes=[1, 2], idempotent=False)
    event = request_events.NotSent(1, "connection refused")
    (send,) = lifecycle.handle(1, event)
    assert send.node == 2
    lost = request_events.Lost(2, "reset", bytes_left=True)
    assert final(lifecycle.handle(2, lost)).kind is Kind.OUTCOME_UNKNOWN


def test_a_second_attempt_goes_to_another_node_on_a_fresh_connection():
    lifecycle, _ = lifecycle_of()
    assert lifecycle.wake_at_ms == 50
    (send,) = lifecycle.handle(50, request_events.Tick())
    assert (send.node, send.fresh_connection) == (2, True)
    assert lifecycle.wake_at_ms == 2_000


def test_a_caller_that_leaves_cancels_every_attempt():
    lifecycle, _ = lifecycle_of()
    lifecycle.handle(50, request_events.Tick())
    actions = lifecycle.handle(60, request_events.CallerGone())
    assert actions == [
        request_events.Cancel(1, 1),
        request_events.Cancel(2, 2),
    ]
    assert refuse(lifecycle, Kind.OVERLOADED) == []


def test_time_left_is_passed_on():
    lifecycle, _ = lifecycle_of()
    (send,) = refuse(lifecycle, Kind.DRAINING, now_ms=700)
    assert send.deadline_ms == 1_300
