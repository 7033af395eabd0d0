"""When connections between nodes are opened, pinged, given up and closed."""

import random

from auburnrock.engine.mesh import connection_state

Step = connection_state.ConnectionAction


def opened(now_ms=0.0, *, duty=False):
    watch = connection_state.ConnectionState(now_ms)
    watch.keep_open = duty
    watch.on_opened()
    return watch


def test_a_connection_is_opened_for_a_duty_or_a_request_only():
    watch = connection_state.ConnectionState(0.0)
    assert watch.next_action(1.0) is Step.NOTHING
    watch.in_flight = 1
    assert watch.next_action(1.0) is Step.CONNECT
    watch.in_flight = 0
    watch.keep_open = True
    assert watch.next_action(1.0) is Step.CONNECT


def test_an_idle_connection_costs_no_ping_and_is_closed():
    watch = opened()
    assert watch.next_action(5_000.0) is Step.NOTHING
    assert watch.next_action(connection_state.IDLE_MS + 1.0) is Step.CLOSE


def test_a_connection_with_a_duty_is_kept_and_pinged():
    watch = opened(duty=True)
    watch.ping_ms = connection_state.NEIGHBOUR_PING_MS
    assert watch.next_action(1.0) is Step.PING
    watch.on_pinged(1.0)
    watch.on_answer()
    assert watch.next_action(900.0) is Step.NOTHING
    assert watch.next_action(1_100.0) is Step.PING
    watch.on_answer()
    assert watch.next_action(10 * connection_state.IDLE_MS) is Step.PING


def test_a_connection_that_went_silent_is_given_up_while_a_request_waits():
    watch = opened()
    watch.in_flight = 1
    watch.used_ms = 8_000.0
    # It was idle for long, which says nothing against it.
    assert watch.next_action(8_000.0) is Step.PING
    watch.on_pinged(8_000.0)
    assert (
        watch.next_action(8_000.0 + connection_state.PING_TIMEOUT_MS)
        is Step.PING
    )
    assert (
        watch.next_action(8_001.0 + connection_state.PING_TIMEOUT_MS)
        is Step.ABORT
    )


def test_an_answer_proves_the_connection():
    watch = opened(duty=True)
    watch.on_pinged(1.0)
    watch.on_answer()
    watch.on_pinged(800.0)
    assert watch.next_action(1_000.0) is not Step.ABORT


def test_a_part_of_an_answer_puts_off_the_silence_only():
    watch = opened(duty=True)
    watch.on_progress(1.0)
    watch.on_pinged(100.0)
    watch.on_progress(800.0)
    watch.on_pinged(900.0)
    assert (
        watch.next_action(800.0 + connection_state.PING_TIMEOUT_MS)
        is not Step.ABORT
    )
    assert (
        watch.next_action(801.0 + connection_state.PING_TIMEOUT_MS)
        is Step.ABORT
    )
    watch = opened(duty=True)
    watch.on_progress(1.0)
    assert not watch.unanswered_since_ms


def test_attempts_to_reach_a_lost_node_grow_rare():
    watch = connection_state.ConnectionState(0.0)
    watch.keep_open = True
    for _ in range(8):
        watch.on_failed(0.0)
    assert watch.retry_at_ms == connection_state.RECONNECT_BACKOFF_MAX_MS
    watch.on_opened()
    watch.on_lost(5.0)
    assert watch.next_action(5.0) is Step.CONNECT


def test_a_node_that_was_not_reached_is_tried_again_without_a_request():
    """A request that waited for each attempt was held to its end."""
    watch = connection_state.ConnectionState(0.0)
    watch.in_flight = 1
    assert watch.next_action(0.0) is Step.CONNECT
    watch.on_failed(600.0)
    watch.in_flight = 0
    assert watch.is_connect_failing()
    assert watch.next_action(900.0) is Step.NOTHING
    watch.connect_requested = True
    assert watch.next_action(900.0) is Step.CONNECT
    watch.on_opened()
    assert not watch.is_connect_failing()


def test_nothing_is_due_before_the_time_that_is_named():
    """Else a lost connection or an idle one would be noticed late."""
    chance = random.Random(5)
    for _ in range(2_000):
        watch = opened(0.0, duty=chance.random() < 0.5)
        watch.in_flight = chance.choice((0, 0, 1))
        watch.ping_ms = chance.choice((300.0, 450.0, 1_000.0))
        watch.used_ms = chance.uniform(0.0, 5_000.0)
        watch.pinged_ms = chance.uniform(0.0, 5_000.0)
        if chance.random() < 0.5:
            watch.unanswered_since_ms = chance.uniform(1.0, 5_000.0)
        due_ms = watch.due_ms(5_000.0)
        for now_ms in (5_000.0, due_ms - 0.01):
            if 5_000.0 <= now_ms < due_ms:
                assert watch.next_action(now_ms) is Step.NOTHING
        later_ms = max(due_ms, 5_000.0) + 1.0
        assert watch.next_action(later_ms) is not Step.NOTHING


def test_a_connection_that_is_being_opened_is_looked_at_each_time():
    watch = connection_state.ConnectionState(0.0)
    watch.connecting = True
    assert watch.due_ms(7.0) == 7.0


def test_only_a_refused_attempt_shows_that_a_process_has_ended():
    watch = connection_state.ConnectionState(0.0)
    watch.on_failed(600.0)
    assert watch.is_connect_failing()
    assert not watch.is_gone()
    watch.on_failed(700.0, refused=True)
    assert watch.is_gone()
    watch.on_opened()
    assert not watch.is_gone()
    watch.on_lost(800.0)
    assert not watch.is_gone()


def test_time_in_which_a_process_stood_still_is_no_silence():
    watch = opened(duty=True)
    watch.on_pinged(100.0)
    watch.on_stall(5_000.0, 4_500.0)
    assert (
        watch.next_action(4_600.0 + connection_state.PING_TIMEOUT_MS)
        is not Step.ABORT
    )
    assert (
        watch.next_action(4_601.0 + connection_state.PING_TIMEOUT_MS)
        is Step.ABORT
    )
    watch = opened(duty=True)
    watch.on_stall(5_000.0, 4_500.0)
    assert not watch.unanswered_since_ms
