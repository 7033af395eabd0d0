"""When connections between nodes are opened, pinged, aborted and closed."""

import random

from auburnrock.engine.mesh import connection_state

Action = connection_state.ConnectionAction


def open_state(now_ms=0.0, *, keep_open=False):
    state = connection_state.ConnectionState(now_ms)
    state.keep_open = keep_open
    state.on_opened()
    return state


def test_a_connection_is_opened_only_to_be_kept_open_or_for_a_request():
    state = connection_state.ConnectionState(0.0)
    assert state.next_action(1.0) is Action.NOTHING
    state.in_flight = 1
    assert state.next_action(1.0) is Action.CONNECT
    state.in_flight = 0
    state.keep_open = True
    assert state.next_action(1.0) is Action.CONNECT


def test_an_idle_connection_costs_no_ping_and_is_closed():
    state = open_state()
    assert state.next_action(5_000.0) is Action.NOTHING
    assert state.next_action(connection_state.IDLE_MS + 1.0) is Action.CLOSE


def test_a_connection_that_is_kept_open_is_pinged():
    state = open_state(keep_open=True)
    state.ping_ms = connection_state.NEIGHBOUR_PING_MS
    assert state.next_action(1.0) is Action.PING
    state.on_pinged(1.0)
    state.on_answer()
    assert state.next_action(900.0) is Action.NOTHING
    assert state.next_action(1_100.0) is Action.PING
    state.on_answer()
    assert state.next_action(10 * connection_state.IDLE_MS) is Action.PING


def test_a_silent_connection_is_aborted_while_a_request_waits():
    state = open_state()
    state.in_flight = 1
    state.used_ms = 8_000.0
    # The long idle time does not count as silence.
    assert state.next_action(8_000.0) is Action.PING
    state.on_pinged(8_000.0)
    assert (
        state.next_action(8_000.0 + connection_state.PING_TIMEOUT_MS)
        is Action.PING
    )
    assert (
        state.next_action(8_001.0 + connection_state.PING_TIMEOUT_MS)
        is Action.ABORT
    )


def test_an_answer_proves_the_connection():
    state = open_state(keep_open=True)
    state.on_pinged(1.0)
    state.on_answer()
    state.on_pinged(800.0)
    assert state.next_action(1_000.0) is not Action.ABORT


def test_a_part_of_an_answer_only_postpones_the_ping_timeout():
    state = open_state(keep_open=True)
    state.on_progress(1.0)
    state.on_pinged(100.0)
    state.on_progress(800.0)
    state.on_pinged(900.0)
    assert (
        state.next_action(800.0 + connection_state.PING_TIMEOUT_MS)
        is not Action.ABORT
    )
    assert (
        state.next_action(801.0 + connection_state.PING_TIMEOUT_MS)
        is Action.ABORT
    )
    state = open_state(keep_open=True)
    state.on_progress(1.0)
    assert not state.unanswered_since_ms


def test_the_backoff_of_attempts_to_connect_is_limited():
    state = connection_state.ConnectionState(0.0)
    state.keep_open = True
    for _ in range(8):
        state.on_failed(0.0)
    assert state.retry_at_ms == connection_state.RECONNECT_BACKOFF_MAX_MS
    state.on_opened()
    state.on_lost(5.0)
    assert state.next_action(5.0) is Action.CONNECT


def test_a_failed_attempt_is_repeated_without_a_waiting_request():
    """A request to a node that was not reached is refused at once and only
    triggers one more attempt. A request that waited for each attempt was
    delayed until the attempt had ended.
    """
    state = connection_state.ConnectionState(0.0)
    state.in_flight = 1
    assert state.next_action(0.0) is Action.CONNECT
    state.on_failed(600.0)
    state.in_flight = 0
    assert state.is_connect_failing()
    assert state.next_action(900.0) is Action.NOTHING
    state.connect_requested = True
    assert state.next_action(900.0) is Action.CONNECT
    state.on_opened()
    assert not state.is_connect_failing()


def test_nothing_is_due_before_the_time_that_is_named():
    """If the due time were later than the next action, a lost or idle
    connection would be detected late.
    """
    rng = random.Random(5)
    for _ in range(2_000):
        state = open_state(0.0, keep_open=rng.random() < 0.5)
        state.in_flight = rng.choice((0, 0, 1))
        state.ping_ms = rng.choice((300.0, 450.0, 1_000.0))
        state.used_ms = rng.uniform(0.0, 5_000.0)
        state.pinged_ms = rng.uniform(0.0, 5_000.0)
        if rng.random() < 0.5:
            state.unanswered_since_ms = rng.uniform(1.0, 5_000.0)
        due_ms = state.due_ms(5_000.0)
        for now_ms in (5_000.0, due_ms - 0.01):
            if 5_000.0 <= now_ms < due_ms:
                assert state.next_action(now_ms) is Action.NOTHING
        later_ms = max(due_ms, 5_000.0) + 1.0
        assert state.next_action(later_ms) is not Action.NOTHING


def test_a_connection_that_is_being_opened_is_always_due():
    state = connection_state.ConnectionState(0.0)
    state.connecting = True
    assert state.due_ms(7.0) == 7.0


def test_only_a_refused_attempt_shows_that_a_process_has_ended():
    state = connection_state.ConnectionState(0.0)
    state.on_failed(600.0)
    assert state.is_connect_failing()
    assert not state.is_gone()
    state.on_failed(700.0, refused=True)
    assert state.is_gone()
    state.on_opened()
    assert not state.is_gone()
    state.on_lost(800.0)
    assert not state.is_gone()


def test_a_pause_of_this_process_does_not_count_as_silence():
    state = open_state(keep_open=True)
    state.on_pinged(100.0)
    state.on_stall(5_000.0, 4_500.0)
    assert (
        state.next_action(4_600.0 + connection_state.PING_TIMEOUT_MS)
        is not Action.ABORT
    )
    assert (
        state.next_action(4_601.0 + connection_state.PING_TIMEOUT_MS)
        is Action.ABORT
    )
    state = open_state(keep_open=True)
    state.on_stall(5_000.0, 4_500.0)
    assert not state.unanswered_since_ms
