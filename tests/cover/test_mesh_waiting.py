"""Waiting at a target, also at loads that it cannot bear."""

import heapq
import random

from auburnrock.engine.mesh import waiting
from tests.common import mesh


def test_work_starts_at_once_while_slots_are_free():
    room = waiting.WaitingRoom(2)
    assert isinstance(room.offer(0, mesh.ticket(1, 0)), waiting.Start)
    assert isinstance(room.offer(0, mesh.ticket(2, 0)), waiting.Start)
    assert isinstance(room.offer(0, mesh.ticket(3, 0)), waiting.Wait)


def test_the_higher_rank_starts_first():
    room = waiting.WaitingRoom(1)
    room.offer(0, mesh.ticket(1, 0))
    room.offer(0, mesh.ticket(2, 0, rank=2))
    room.offer(1, mesh.ticket(3, 1, rank=1))
    started = room.finish(50, 1, True)
    assert [start.ticket.number for start in started] == [3]


def test_within_a_rank_the_earliest_latest_start_goes_first():
    room = waiting.WaitingRoom(1)
    room.offer(0, mesh.ticket(1, 0))
    room.offer(0, mesh.ticket(2, 0, kind="page", objective_ms=400))
    room.offer(1, mesh.ticket(3, 1, kind="call", objective_ms=150))
    started = room.finish(20, 1, True)
    assert [start.ticket.number for start in started] == [3]


def test_what_cannot_be_served_in_time_is_refused_on_arrival():
    room = waiting.WaitingRoom(1)
    decisions = [room.offer(0, mesh.ticket(n, 0)) for n in range(20)]
    refused = [d for d in decisions if isinstance(d, waiting.Refuse)]
    assert refused
    assert all(refusal.retry_after_ms > 0 for refusal in refused)
    assert all(refusal.expected_wait_ms > 0 for refusal in refused)


def test_return_times_of_refusals_are_spread():
    room = waiting.WaitingRoom(1)
    decisions = [room.offer(0, mesh.ticket(n, 0)) for n in range(40)]
    times = [
        d.retry_after_ms for d in decisions if isinstance(d, waiting.Refuse)
    ]
    assert len({round(each) for each in times}) > len(times) / 2


def test_a_cancelled_request_never_starts():
    room = waiting.WaitingRoom(1)
    room.offer(0, mesh.ticket(1, 0))
    room.offer(0, mesh.ticket(2, 0))
    assert room.finish(1, 2, False) == []
    assert room.finish(2, 1, True) == []
    assert not room.running


def test_a_request_that_waited_too_long_is_turned_away_not_run():
    room = waiting.WaitingRoom(1)
    room.offer(0, mesh.ticket(1, 0))
    room.offer(0, mesh.ticket(2, 0))
    refused = room.overdue(990)
    assert [refusal.ticket.number for refusal in refused] == [2]
    assert room.finish(995, 1, True) == []


def test_work_times_are_learnt_from_few_samples():
    work = waiting.WorkTimes()
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
            if isinstance(decision, waiting.Start):
                took_ms = work_ms * chance.uniform(0.6, 1.4)
                heapq.heappush(ends, (now_ms + took_ms, decision.ticket.number))

    while now_ms < seconds * 1_000:
        if ends and ends[0][0] <= next_ms:
            now_ms, ended = heapq.heappop(ends)
            took_ms = now_ms - arrived[ended]
            if took_ms <= 400:
                in_time += 1
            else:
                late += 1
            start(room.finish(now_ms, ended, True))
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
    in_time, late, _ = replay(waiting.WaitingRoom(18), 300, 120)
    capacity = 18 / 0.120 * 20
    assert in_time > 0.85 * capacity
    assert late < 0.15 * in_time


def test_a_queue_without_a_bound_serves_nothing_in_time_at_that_load():
    in_time, _, _ = replay(waiting.WaitingRoom(18), 300, 120, queue_all=True)
    bounded, _, _ = replay(waiting.WaitingRoom(18), 300, 120)
    assert in_time < 0.2 * bounded


def test_below_the_capacity_nothing_is_refused():
    in_time, late, number = replay(waiting.WaitingRoom(18), 100, 120)
    assert in_time + late >= number - 18


def test_work_with_little_patience_is_refused_at_once_where_it_would_wait():
    """Its sender asks elsewhere; refused late, it would have waited in vain."""
    room = waiting.WaitingRoom(1)
    free = mesh.ticket(1, 0)
    free.patience_ms = 5.0
    assert isinstance(room.offer(0, free), waiting.Start)
    impatient = mesh.ticket(2, 0)
    impatient.patience_ms = 5.0
    assert isinstance(room.offer(0, impatient), waiting.Refuse)
    assert isinstance(room.offer(0, mesh.ticket(3, 0)), waiting.Wait)
