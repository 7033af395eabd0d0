"""The limit that a target names, in virtual time."""

import random

import hypothesis
from hypothesis import strategies

from auburnrock.engine.mesh import admission_queue
from auburnrock.engine.mesh import rate_limit
from tests.common import mesh

WINDOW_MS = 4_000.0
STEP_MS = 10.0


def started_ms(limit_per_s, arrivals_per_s, seed, until_ms=20_000):
    """Returns when requests start at a target with a limit."""
    rng = random.Random(seed)
    queue = admission_queue.AdmissionQueue(18)
    started = []
    running = []
    number = 0
    for step in range(int(until_ms / STEP_MS)):
        now_ms = step * STEP_MS
        decisions = queue.start_queued(now_ms)
        for end_ms, ended in list(running):
            if end_ms <= now_ms:
                running.remove((end_ms, ended))
                decisions += queue.on_request_ended(now_ms, ended, True)
        if step == 100:
            queue.rate_limit.set(now_ms, limit_per_s)
        while rng.random() < arrivals_per_s * STEP_MS / 1_000.0 / 2.0:
            number += 1
            decisions.append(queue.offer(now_ms, mesh.ticket(number, now_ms)))
        decisions += queue.shed_overdue(now_ms)
        for decision in decisions:
            if isinstance(decision, admission_queue.Admitted):
                started.append(now_ms)
                end_ms = now_ms + rng.uniform(50.0, 300.0)
                running.append((end_ms, decision.request.number))
    return started


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    strategies.floats(0.0, 60.0), strategies.integers(0, 2**32 - 1)
)
def test_no_window_has_more_requests_than_the_limit_allows(limit_per_s, seed):
    times = started_ms(limit_per_s, 80.0, seed)
    allowed = 1.5 * limit_per_s * WINDOW_MS / 1_000.0 + 5
    for end_ms in times:
        if end_ms < 1_000.0 + WINDOW_MS + 1_000.0:
            continue
        got = sum(end_ms - WINDOW_MS < each <= end_ms for each in times)
        assert got <= allowed


def test_what_a_limit_allows_is_used():
    times = started_ms(20.0, 80.0, 1)
    got = sum(each > 4_000.0 for each in times)
    assert got >= 0.9 * 20.0 * 16.0


def test_requests_beyond_the_limit_are_rejected_with_the_time_to_come_back():
    queue = admission_queue.AdmissionQueue(18)
    queue.rate_limit.set(0.0, 2.0)
    decisions = [queue.offer(0.0, mesh.ticket(n, 0.0)) for n in range(9)]
    rejected = [d for d in decisions if isinstance(d, admission_queue.Rejected)]
    assert not any(isinstance(d, admission_queue.Admitted) for d in decisions)
    assert rejected
    assert all(each.retry_after_ms >= 500.0 for each in rejected)


def test_a_target_that_takes_nothing_still_gets_trial_requests():
    limit = rate_limit.RateLimit(0.0)
    limit.set(0.0, 0.0)
    assert 0.0 < limit.wait_ms(0.0) <= 1_000.0 / rate_limit.TRIAL_PER_S


def test_the_share_of_a_target_follows_its_limit_and_ends_with_it():
    limit = rate_limit.RateLimit(0.0)
    for step in range(1_000):
        limit.arrivals.add(step * 25.0)
    limit.set(25_000.0, 10.0)
    assert 0.2 < limit.share < 0.3
    limit.set(25_000.0, None)
    assert limit.share == 1.0


def test_small_changes_of_a_limit_change_no_share():
    limit = rate_limit.RateLimit(0.0)
    for step in range(1_000):
        limit.arrivals.add(step * 25.0)
    limit.set(25_000.0, 10.0)
    share = limit.share
    for per_s in (9.9, 11.0, 8.0, 12.0):
        assert limit.set(25_000.0, per_s)
        assert limit.per_s == per_s
        assert limit.share == share
    limit.set(25_000.0, 5.0)
    assert limit.share < 0.7 * share
