"""Waiting at a target, also at loads that it cannot bear."""

import heapq
import itertools
import random

from auburnrock.engine.mesh import admission_queue
from tests.common import mesh


def test_work_starts_at_once_while_slots_are_free():
    room = admission_queue.AdmissionQueue(2)
    assert isinstance(
        room.offer(0, mesh.ticket(1, 0)), admission_queue.Admitted
    )
    assert isinstance(
        room.offer(0, mesh.ticket(2, 0)), admission_queue.Admitted
    )
    assert isinstance(room.offer(0, mesh.ticket(3, 0)), admission_queue.Queued)


def test_the_higher_rank_starts_first():
    room = admission_queue.AdmissionQueue(1)
    room.offer(0, mesh.ticket(1, 0))
    room.offer(0, mesh.ticket(2, 0, rank=2))
    room.offer(1, mesh.ticket(3, 1, rank=1))
    started = room.on_request_ended(50, 1, True)
    assert [start.request.number for start in started] == [3]


def test_within_a_rank_the_earliest_latest_start_goes_first():
    room = admission_queue.AdmissionQueue(1)
    room.offer(0, mesh.ticket(1, 0))
    room.offer(0, mesh.ticket(2, 0, kind="page", objective_ms=400))
    room.offer(1, mesh.ticket(3, 1, kind="call", objective_ms=150))
    started = room.on_request_ended(20, 1, True)
    assert [start.request.number for start in started] == [3]


def test_what_cannot_be_served_in_time_is_refused_on_arrival():
    room = admission_queue.AdmissionQueue(1)
    decisions = [room.offer(0, mesh.ticket(n, 0)) for n in range(20)]
    refused = [d for d in decisions if isinstance(d, admission_queue.Rejected)]
    assert refused
    assert all(refusal.retry_after_ms > 0 for refusal in refused)
    assert all(refusal.expected_wait_ms > 0 for refusal in refused)


def test_return_times_of_refusals_are_spread():
    room = admission_queue.AdmissionQueue(1)
    decisions = [room.offer(0, mesh.ticket(n, 0)) for n in range(40)]
    times = [
        d.retry_after_ms
        for d in decisions
        if isinstance(d, admission_queue.Rejected)
    ]
    assert len({round(each) for each in times}) > len(times) / 2


def test_a_cancelled_request_never_starts():
    room = admission_queue.AdmissionQueue(1)
    room.offer(0, mesh.ticket(1, 0))
    room.offer(0, mesh.ticket(2, 0))
    assert room.on_request_ended(1, 2, False) == []
    assert room.on_request_ended(2, 1, True) == []
    assert not room.running


def test_a_request_that_waited_too_long_is_turned_away_not_run():
    room = admission_queue.AdmissionQueue(1)
    room.offer(0, mesh.ticket(1, 0))
    room.offer(0, mesh.ticket(2, 0))
    refused = room.shed_overdue(990)
    assert [refusal.request.number for refusal in refused] == [2]
    assert room.on_request_ended(995, 1, True) == []


def test_work_times_are_learnt_from_few_samples():
    work = admission_queue.WorkTimes()
    assert work.expected_ms("lookup", 400) == 160.0
    for _ in range(5):
        work.add("lookup", 50.0)
    work.add("lookup", 80.0)
    assert 50 < work.expected_ms("lookup", 400) < 60


def replay(room, per_s, work_ms, *, seconds=20, seed=7, queue_all=False):
    """Replays Poisson arrivals; returns how many answers were in time."""
    chance = random.Random(seed)
    ends: list[tuple[float, int]] = []
    arrived = {}
    in_time = late = 0
    now_ms = 0.0
    number = 0
    next_ms = 0.0

    def start(decisions):
        for decision in decisions:
            if isinstance(decision, admission_queue.Admitted):
                took_ms = work_ms * chance.uniform(0.6, 1.4)
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
            start(room.on_request_ended(now_ms, ended, True))
            continue
        now_ms = next_ms
        next_ms += chance.expovariate(per_s / 1_000)
        number += 1
        arrived[number] = now_ms
        deadline_ms = 1e9 if queue_all else 1_000
        objective_ms = 1e9 if queue_all else 400
        ticket = mesh.ticket(
            number, now_ms, objective_ms=objective_ms, deadline_ms=deadline_ms
        )
        start([room.offer(now_ms, ticket)])
    return in_time, late, number


def test_at_twice_the_capacity_most_of_it_still_answers_in_time():
    # 18 slots at 120 ms serve 150/s; the load is 300/s for 20 s.
    in_time, late, _ = replay(admission_queue.AdmissionQueue(18), 300, 120)
    capacity = 18 / 0.120 * 20
    assert in_time > 0.85 * capacity
    assert late < 0.15 * in_time


def test_a_queue_without_a_bound_serves_nothing_in_time_at_that_load():
    in_time, _, _ = replay(
        admission_queue.AdmissionQueue(18), 300, 120, queue_all=True
    )
    bounded, _, _ = replay(admission_queue.AdmissionQueue(18), 300, 120)
    assert in_time < 0.2 * bounded


def test_below_the_capacity_nothing_is_refused():
    in_time, late, number = replay(admission_queue.AdmissionQueue(18), 100, 120)
    assert in_time + late >= number - 18


def test_work_with_little_patience_is_refused_at_once_where_it_would_wait():
    """Its sender asks elsewhere; refused late, it would have waited in vain."""
    room = admission_queue.AdmissionQueue(1)
    free = mesh.ticket(1, 0)
    free.max_queue_wait_ms = 5.0
    assert isinstance(room.offer(0, free), admission_queue.Admitted)
    impatient = mesh.ticket(2, 0)
    impatient.max_queue_wait_ms = 5.0
    assert isinstance(room.offer(0, impatient), admission_queue.Rejected)
    assert isinstance(room.offer(0, mesh.ticket(3, 0)), admission_queue.Queued)


def running_room(count, now_ms=0.0):
    room = admission_queue.AdmissionQueue(13)
    for _ in range(30):
        room.work_times.add("lookup", 60.0)
    for number in range(count):
        room.offer(now_ms, mesh.ticket(number, now_ms, objective_ms=200))
    return room


def test_a_target_is_called_slow_as_soon_as_what_runs_is_too_old():
    """A target that took twelve times as long kept its pace for four seconds,
    since its work times are those of requests that have ended."""
    room = running_room(6)
    assert room.slowness(50.0) == 1.0
    assert room.slowness(120.0) > 3.0
    assert room.slowness(400.0) > 10.0


def test_two_long_requests_make_no_slow_target():
    assert running_room(2).slowness(400.0) == 1.0


def test_ordinary_scatter_seldom_makes_a_target_slow():
    # 13 slots, three quarters busy, work whose spread is a third of its mean.
    chance = random.Random(5)
    room = running_room(0)
    ends: list[tuple[float, int]] = []
    slow = 0
    now_ms = 0.0

    def start(decisions):
        for decision in decisions:
            if isinstance(decision, admission_queue.Admitted):
                took_ms = max(15.0, chance.gauss(60.0, 20.0))
                heapq.heappush(
                    ends, (now_ms + took_ms, decision.request.number)
                )

    for number in range(20_000):
        next_ms = now_ms + chance.expovariate(0.75 * 13 / 60.0)
        while ends and ends[0][0] <= next_ms:
            now_ms, ended = heapq.heappop(ends)
            start(room.on_request_ended(now_ms, ended, True))
        now_ms = next_ms
        ticket = mesh.ticket(number, now_ms, objective_ms=200)
        start([room.offer(now_ms, ticket)])
        slow += room.slowness(now_ms) > 1.0
    assert slow < 20


def test_a_slow_target_refuses_what_it_would_answer_late():
    room = running_room(13)
    decisions = [
        room.offer(300.0, mesh.ticket(100 + n, 300.0, objective_ms=200))
        for n in range(10)
    ]
    # Two may wait for a gap in which to be answered late.
    refused = [isinstance(each, admission_queue.Rejected) for each in decisions]
    assert refused == [False] * 2 + [True] * 8


def late_ticket(number, now_ms):
    """One that came back: its objective ends before its work could."""
    ticket = mesh.ticket(number, now_ms, objective_ms=200)
    ticket.objective_at_ms = now_ms + 20.0
    return ticket


def test_late_requests_leave_slots_for_those_in_time():
    room = running_room(10)
    assert isinstance(
        room.offer(5.0, late_ticket(50, 5.0)), admission_queue.Admitted
    )
    assert isinstance(
        room.offer(5.0, late_ticket(51, 5.0)), admission_queue.Queued
    )
    in_time = mesh.ticket(52, 5.0, objective_ms=200)
    assert isinstance(room.offer(5.0, in_time), admission_queue.Admitted)
    # Twelve of thirteen run; the late one still waits for a gap.
    assert room.on_request_ended(60.0, 0, True) == []
    started = room.on_request_ended(61.0, 1, True)
    assert [each.request.number for each in started] == [51]


def test_a_late_request_is_refused_when_no_gap_comes():
    """Not at its deadline, when its caller can do nothing else."""
    room = running_room(13)
    ticket = late_ticket(50, 5.0)
    assert isinstance(room.offer(5.0, ticket), admission_queue.Queued)
    assert room.shed_overdue(420.0) == []
    refused = room.shed_overdue(430.0)
    assert [each.request.number for each in refused] == [50]


def test_a_target_of_few_slots_keeps_none_from_late_requests():
    room = admission_queue.AdmissionQueue(5)
    for number in range(4):
        room.offer(0.0, mesh.ticket(number, 0.0))
    assert isinstance(
        room.offer(5.0, late_ticket(50, 5.0)), admission_queue.Admitted
    )


def returning_callers(load, seconds=30, seed=3):
    """Plays callers that come back once at one target of 13 slots.

    Returns:
      Answers in time, late ones, and callers that were refused twice, each as
      a part of all callers.
    """
    work_ms = 77.0
    chance = random.Random(seed)
    room = admission_queue.AdmissionQueue(13)
    ends: list[tuple[float, int]] = []
    back: list[tuple[float, float]] = []
    began: dict[int, tuple[float, bool]] = {}
    numbers = itertools.count()
    in_time = late = twice = callers = 0
    mean_ms = work_ms / (load * 13)
    next_ms = 0.0

    def take(decisions, now_ms):
        nonlocal twice
        for decision in decisions:
            number = decision.request.number
            if isinstance(decision, admission_queue.Admitted):
                took_ms = max(15.0, chance.gauss(work_ms, 0.35 * work_ms))
                heapq.heappush(ends, (now_ms + took_ms, number))
            elif isinstance(decision, admission_queue.Rejected):
                began_ms, returned = began.pop(number)
                pause_ms = min(decision.retry_after_ms, 266.0)
                if returned:
                    twice += 1
                else:
                    heapq.heappush(back, (now_ms + pause_ms, began_ms))

    def offer(now_ms, began_ms):
        number = next(numbers)
        began[number] = (began_ms, began_ms < now_ms)
        ticket = mesh.ticket(number, now_ms, objective_ms=200)
        ticket.objective_at_ms = began_ms + 200.0
        ticket.deadline_at_ms = began_ms + 800.0
        take([room.offer(now_ms, ticket)], now_ms)

    while next_ms < seconds * 1_000:
        end_ms = ends[0][0] if ends else 1e18
        back_ms = back[0][0] if back else 1e18
        now_ms = min(next_ms, end_ms, back_ms)
        if now_ms == end_ms:
            number = heapq.heappop(ends)[1]
            if now_ms - began.pop(number)[0] <= 200.0:
                in_time += 1
            else:
                late += 1
            take(room.on_request_ended(now_ms, number, True), now_ms)
        elif now_ms == back_ms:
            offer(now_ms, heapq.heappop(back)[1])
        else:
            callers += 1
            offer(now_ms, now_ms)
            next_ms = now_ms + chance.expovariate(1.0 / mean_ms)
        take(room.shed_overdue(now_ms), now_ms)
    return in_time / callers, late / callers, twice / callers


def test_callers_that_come_back_displace_few_answers_in_time():
    """On a day of high load a sixth of the lookups' answers were late, nearly
    all of callers that had been refused, while others were refused."""
    in_time, late, _ = returning_callers(1.0)
    assert in_time > 0.9
    assert late < 0.05
    in_time, late, _ = returning_callers(1.3)
    assert in_time > 0.93 / 1.3
    assert late < 0.05
