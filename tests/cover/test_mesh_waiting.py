"""Tests of the admission queue of a target, also under overload."""

import heapq
import itertools
import random

from auburnrock.engine.mesh import admission_queue
from tests.common import mesh


def test_work_starts_at_once_while_slots_are_free():
    queue = admission_queue.AdmissionQueue(2)
    assert isinstance(
        queue.offer(0, mesh.ticket(1, 0)), admission_queue.Admitted
    )
    assert isinstance(
        queue.offer(0, mesh.ticket(2, 0)), admission_queue.Admitted
    )
    assert isinstance(queue.offer(0, mesh.ticket(3, 0)), admission_queue.Queued)


def test_the_higher_priority_starts_first():
    queue = admission_queue.AdmissionQueue(1)
    queue.offer(0, mesh.ticket(1, 0))
    queue.offer(0, mesh.ticket(2, 0, rank=2))
    queue.offer(1, mesh.ticket(3, 1, rank=1))
    started = queue.on_request_ended(50, 1, True)
    assert [start.request.number for start in started] == [3]


def test_within_a_priority_the_earliest_latest_start_goes_first():
    queue = admission_queue.AdmissionQueue(1)
    queue.offer(0, mesh.ticket(1, 0))
    queue.offer(0, mesh.ticket(2, 0, kind="page", objective_ms=400))
    queue.offer(1, mesh.ticket(3, 1, kind="call", objective_ms=150))
    started = queue.on_request_ended(20, 1, True)
    assert [start.request.number for start in started] == [3]


def test_a_request_that_cannot_be_served_in_time_is_rejected_on_arrival():
    queue = admission_queue.AdmissionQueue(1)
    decisions = [queue.offer(0, mesh.ticket(n, 0)) for n in range(20)]
    rejected = [d for d in decisions if isinstance(d, admission_queue.Rejected)]
    assert rejected
    assert all(rejection.retry_after_ms > 0 for rejection in rejected)
    assert all(rejection.expected_wait_ms > 0 for rejection in rejected)


def test_retry_after_times_of_rejections_are_spread():
    queue = admission_queue.AdmissionQueue(1)
    decisions = [queue.offer(0, mesh.ticket(n, 0)) for n in range(40)]
    times = [
        d.retry_after_ms
        for d in decisions
        if isinstance(d, admission_queue.Rejected)
    ]
    assert len({round(each) for each in times}) > len(times) / 2


def test_a_cancelled_request_never_starts():
    queue = admission_queue.AdmissionQueue(1)
    queue.offer(0, mesh.ticket(1, 0))
    queue.offer(0, mesh.ticket(2, 0))
    assert queue.on_request_ended(1, 2, False) == []
    assert queue.on_request_ended(2, 1, True) == []
    assert not queue.running


def test_a_request_that_waited_too_long_is_rejected_and_not_run():
    queue = admission_queue.AdmissionQueue(1)
    queue.offer(0, mesh.ticket(1, 0))
    queue.offer(0, mesh.ticket(2, 0))
    rejected = queue.shed_overdue(990)
    assert [rejection.request.number for rejection in rejected] == [2]
    assert queue.on_request_ended(995, 1, True) == []


def test_work_times_are_learnt_from_few_samples():
    work = admission_queue.WorkTimes()
    assert work.expected_ms("lookup", 400) == 160.0
    for _ in range(5):
        work.add("lookup", 50.0)
    work.add("lookup", 80.0)
    assert 50 < work.expected_ms("lookup", 400) < 60


def simulate(queue, per_s, work_ms, *, seconds=20, seed=7, queue_all=False):
    """Simulates Poisson arrivals at a target.

    Returns:
      The numbers of answers in time, of late answers and of requests.
    """
    rng = random.Random(seed)
    ends: list[tuple[float, int]] = []
    arrived = {}
    in_time = late = 0
    now_ms = 0.0
    number = 0
    next_ms = 0.0

    def start(decisions):
        for decision in decisions:
            if isinstance(decision, admission_queue.Admitted):
                took_ms = work_ms * rng.uniform(0.6, 1.4)
                heapq.heappush(
                    ends, (now_ms + took_ms, decision.request.number)
                )

    while now_ms < seconds * 1_000:
        if ends and ends[0][0] <= next_ms:
            now_ms, ended = heapq.heappop(ends)
            took_ms = now_ms - arrived[ended]
            if took_ms <= 400:
                in_time += 1
            else:
                late += 1
            start(queue.on_request_ended(now_ms, ended, True))
            continue
        now_ms = next_ms
        next_ms += rng.expovariate(per_s / 1_000)
        number += 1
        arrived[number] = now_ms
        deadline_ms = 1e9 if queue_all else 1_000
        objective_ms = 1e9 if queue_all else 400
        ticket = mesh.ticket(
            number, now_ms, objective_ms=objective_ms, deadline_ms=deadline_ms
        )
        start([queue.offer(now_ms, ticket)])
    return in_time, late, number


def test_at_twice_the_capacity_most_of_the_capacity_still_answers_in_time():
    # 18 slots at 120 ms serve 150/s; the load is 300/s for 20 s.
    in_time, late, _ = simulate(admission_queue.AdmissionQueue(18), 300, 120)
    capacity = 18 / 0.120 * 20
    assert in_time > 0.85 * capacity
    assert late < 0.15 * in_time


def test_an_unbounded_queue_answers_little_in_time_at_that_load():
    in_time, _, _ = simulate(
        admission_queue.AdmissionQueue(18), 300, 120, queue_all=True
    )
    bounded, _, _ = simulate(admission_queue.AdmissionQueue(18), 300, 120)
    assert in_time < 0.2 * bounded


def test_below_the_capacity_nothing_is_rejected():
    in_time, late, number = simulate(
        admission_queue.AdmissionQueue(18), 100, 120
    )
    assert in_time + late >= number - 18


def test_a_request_that_would_exceed_its_maximum_wait_is_rejected_at_once():
    """The sender tries another target, so any wait before that is lost."""
    queue = admission_queue.AdmissionQueue(1)
    free = mesh.ticket(1, 0)
    free.max_queue_wait_ms = 5.0
    assert isinstance(queue.offer(0, free), admission_queue.Admitted)
    limited = mesh.ticket(2, 0)
    limited.max_queue_wait_ms = 5.0
    assert isinstance(queue.offer(0, limited), admission_queue.Rejected)
    assert isinstance(queue.offer(0, mesh.ticket(3, 0)), admission_queue.Queued)


def queue_with_running(count, now_ms=0.0):
    queue = admission_queue.AdmissionQueue(13)
    for _ in range(30):
        queue.work_times.add("lookup", 60.0)
    for number in range(count):
        queue.offer(now_ms, mesh.ticket(number, now_ms, objective_ms=200))
    return queue


def test_a_target_counts_as_slow_as_soon_as_running_requests_are_too_old():
    """A slowdown must be detected before the slow requests end.

    A target that had become twelve times slower counted as fast for four
    seconds, since only the work times of completed requests were measured.
    """
    queue = queue_with_running(6)
    assert queue.slowness(50.0) == 1.0
    assert queue.slowness(120.0) > 3.0
    assert queue.slowness(400.0) > 10.0


def test_two_long_requests_make_no_slow_target():
    assert queue_with_running(2).slowness(400.0) == 1.0


def test_ordinary_variation_seldom_makes_a_target_slow():
    # 13 slots, three quarters of them busy. The standard deviation of the work
    # is a third of its mean.
    rng = random.Random(5)
    queue = queue_with_running(0)
    ends: list[tuple[float, int]] = []
    slow = 0
    now_ms = 0.0

    def start(decisions):
        for decision in decisions:
            if isinstance(decision, admission_queue.Admitted):
                took_ms = max(15.0, rng.gauss(60.0, 20.0))
                heapq.heappush(
                    ends, (now_ms + took_ms, decision.request.number)
                )

    for number in range(20_000):
        next_ms = now_ms + rng.expovariate(0.75 * 13 / 60.0)
        while ends and ends[0][0] <= next_ms:
            now_ms, ended = heapq.heappop(ends)
            start(queue.on_request_ended(now_ms, ended, True))
        now_ms = next_ms
        ticket = mesh.ticket(number, now_ms, objective_ms=200)
        start([queue.offer(now_ms, ticket)])
        slow += queue.slowness(now_ms) > 1.0
    assert slow < 20


def test_a_slow_target_rejects_what_it_would_answer_late():
    queue = queue_with_running(13)
    decisions = [
        queue.offer(300.0, mesh.ticket(100 + n, 300.0, objective_ms=200))
        for n in range(10)
    ]
    # Two may wait for a free slot and be answered late.
    rejected = [
        isinstance(each, admission_queue.Rejected) for each in decisions
    ]
    assert rejected == [False] * 2 + [True] * 8


def late_ticket(number, now_ms):
    """A retried request, whose objective ends before its work can."""
    ticket = mesh.ticket(number, now_ms, objective_ms=200)
    ticket.objective_at_ms = now_ms + 20.0
    return ticket


def test_late_requests_leave_slots_for_requests_in_time():
    queue = queue_with_running(10)
    assert isinstance(
        queue.offer(5.0, late_ticket(50, 5.0)), admission_queue.Admitted
    )
    assert isinstance(
        queue.offer(5.0, late_ticket(51, 5.0)), admission_queue.Queued
    )
    in_time = mesh.ticket(52, 5.0, objective_ms=200)
    assert isinstance(queue.offer(5.0, in_time), admission_queue.Admitted)
    # Twelve of thirteen slots are busy. When one becomes free, the late request
    # still waits, since two slots are reserved for requests in time.
    assert queue.on_request_ended(60.0, 0, True) == []
    started = queue.on_request_ended(61.0, 1, True)
    assert [each.request.number for each in started] == [51]


def test_a_late_request_is_rejected_when_no_slot_becomes_free():
    """A rejection at the deadline would be too late for the caller to react."""
    queue = queue_with_running(13)
    ticket = late_ticket(50, 5.0)
    assert isinstance(queue.offer(5.0, ticket), admission_queue.Queued)
    assert queue.shed_overdue(420.0) == []
    rejected = queue.shed_overdue(430.0)
    assert [each.request.number for each in rejected] == [50]


def test_a_target_of_few_slots_reserves_none():
    queue = admission_queue.AdmissionQueue(5)
    for number in range(4):
        queue.offer(0.0, mesh.ticket(number, 0.0))
    assert isinstance(
        queue.offer(5.0, late_ticket(50, 5.0)), admission_queue.Admitted
    )


def simulate_retries(load, seconds=30, seed=3):
    """Simulates callers that retry once, at one target of 13 slots.

    Args:
      load: work that arrives over the work that the slots can finish.
      seconds: length of the simulation.
      seed: seed of arrivals and work times.

    Returns:
      Shares of all callers: those answered in time, those answered late, and
      those rejected twice.
    """
    work_ms = 77.0
    rng = random.Random(seed)
    queue = admission_queue.AdmissionQueue(13)
    ends: list[tuple[float, int]] = []
    retries: list[tuple[float, float]] = []
    calls: dict[int, tuple[float, bool]] = {}
    numbers = itertools.count()
    in_time = late = rejected_twice = callers = 0
    mean_ms = work_ms / (load * 13)
    next_ms = 0.0

    def handle(decisions, now_ms):
        nonlocal rejected_twice
        for decision in decisions:
            number = decision.request.number
            if isinstance(decision, admission_queue.Admitted):
                took_ms = max(15.0, rng.gauss(work_ms, 0.35 * work_ms))
                heapq.heappush(ends, (now_ms + took_ms, number))
            elif isinstance(decision, admission_queue.Rejected):
                called_ms, is_retry = calls.pop(number)
                pause_ms = min(decision.retry_after_ms, 266.0)
                if is_retry:
                    rejected_twice += 1
                else:
                    heapq.heappush(retries, (now_ms + pause_ms, called_ms))

    def offer(now_ms, called_ms):
        number = next(numbers)
        calls[number] = (called_ms, called_ms < now_ms)
        ticket = mesh.ticket(number, now_ms, objective_ms=200)
        ticket.objective_at_ms = called_ms + 200.0
        ticket.deadline_at_ms = called_ms + 800.0
        handle([queue.offer(now_ms, ticket)], now_ms)

    while next_ms < seconds * 1_000:
        end_ms = ends[0][0] if ends else 1e18
        retry_ms = retries[0][0] if retries else 1e18
        now_ms = min(next_ms, end_ms, retry_ms)
        if now_ms == end_ms:
            number = heapq.heappop(ends)[1]
            if now_ms - calls.pop(number)[0] <= 200.0:
                in_time += 1
            else:
                late += 1
            handle(queue.on_request_ended(now_ms, number, True), now_ms)
        elif now_ms == retry_ms:
            offer(now_ms, heapq.heappop(retries)[1])
        else:
            callers += 1
            offer(now_ms, now_ms)
            next_ms = now_ms + rng.expovariate(1.0 / mean_ms)
        handle(queue.shed_overdue(now_ms), now_ms)
    return in_time / callers, late / callers, rejected_twice / callers


def test_retries_displace_few_answers_in_time():
    """Retries of rejected requests must not displace answers in time.

    Under high load, a sixth of the answers to lookups were late. Nearly all of
    them went to callers that had been rejected before, while new requests were
    rejected.
    """
    in_time, late, _ = simulate_retries(1.0)
    assert in_time > 0.9
    assert late < 0.05
    in_time, late, _ = simulate_retries(1.3)
    assert in_time > 0.93 / 1.3
    assert late < 0.05
