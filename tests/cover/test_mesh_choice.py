"""Tests of the choice among targets of a service that isn't divided by key."""

import random

from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import target_selection

WORK_MS = 300.0


def candidate(name, zone, **load):
    made = target_selection.Candidate(name, zone)
    fields = {
        "slots": 9,
        "running": 0,
        "queued": 0,
        "wait_ms": 0.0,
        "service_time_ratio": 1.0,
        "draining": False,
        "cold_ms": 0.0,
        "capacity_weight": 9.0,
    }
    made.update_from_report(0.0, target_selection.LoadReport(**fields | load))
    return made


def chosen(*candidates, tried=()):
    group = target_selection.TargetGroup("near")
    for each in candidates:
        group.add(each)
    found = target_selection.choose_target(
        1.0,
        group,
        lambda each: each.name not in tried,
        WORK_MS,
        random.Random(7),
    )
    return found.name if found else None


def test_a_target_of_the_own_zone_goes_before_a_little_quicker_one():
    near = candidate("a", "near", service_time_ratio=1.1)
    far = candidate("b", "far", service_time_ratio=1.0)
    assert chosen(near, far) == "a"


def test_a_free_target_of_another_zone_goes_before_a_queue():
    near = candidate("a", "near", running=9, queued=6, wait_ms=200.0)
    far = candidate("b", "far")
    assert chosen(near, far) == "b"


def test_much_quicker_targets_of_another_zone_are_used():
    near = candidate("a", "near", service_time_ratio=2.0)
    far = candidate("b", "far", service_time_ratio=0.7)
    assert chosen(near, far) == "b"


def test_failing_targets_come_last_and_draining_or_tried_ones_never():
    failing = candidate("a", "near")
    for _ in range(10):
        failing.on_request_sent()
        failing.on_request_ended(failed=True)
    good = candidate("b", "near", running=5)
    leaving = candidate("c", "near", draining=True)
    assert chosen(failing, good, leaving) == "b"
    assert chosen(failing, good, leaving, tried="b") == "a"
    assert chosen(leaving) is None


def test_requests_sent_since_the_last_report_count():
    busy = candidate("a", "near")
    for _ in range(9):
        busy.on_request_sent()
    assert chosen(busy, candidate("b", "near", running=3)) == "b"


NODES = 194
TARGETS = 51
SLOTS = 6


def simulate_sparse_reports(seed):
    """Simulates requests from many nodes, at a load of 80% of the slots.

    Each node knows little of the targets, since it seldom sends to them.

    Returns:
      The number of requests of the busiest target over the mean of all targets,
      and the share of requests that waited for over half their mean work.
    """
    rng = random.Random(seed)
    free_at = {f"t{n}": [0.0] * SLOTS for n in range(TARGETS)}
    groups = []
    for node in range(NODES):
        group = target_selection.TargetGroup(f"z{node % 5}")
        for n in range(TARGETS):
            each = target_selection.Candidate(f"t{n}", f"z{n % 5}")
            each.update_from_entry(
                membership.Entry(each.name, slots=SLOTS, service="s")
            )
            group.add(each)
        groups.append(group)
    served = dict.fromkeys(free_at, 0)
    waits_ms = []
    step_ms = WORK_MS / (0.8 * TARGETS * SLOTS)
    for number in range(12_000):
        now_ms = 1_000.0 + number * step_ms
        group = groups[int(rng.random() * NODES)]
        tried_names = set()
        while True:
            found = target_selection.choose_target(
                now_ms,
                group,
                lambda each, tried_names=tried_names: (
                    each.name not in tried_names
                ),
                2 * WORK_MS,
                rng,
            )
            slots = free_at[found.name]
            wait_ms = max(0.0, min(slots) - now_ms)
            accepted_ms = target_selection.max_queue_wait_ms(
                now_ms, found, 2 * WORK_MS, len(tried_names)
            )
            running = sum(1 for until_ms in slots if until_ms > now_ms)
            found.update_from_report(
                now_ms,
                target_selection.LoadReport(
                    SLOTS, running, 0, wait_ms, 0.5, False, 0.0, 6.0
                ),
            )
            if not 0.0 <= accepted_ms < wait_ms:
                break
            tried_names.add(found.name)
        slot = slots.index(min(slots))
        slots[slot] = now_ms + wait_ms + rng.expovariate(1 / WORK_MS)
        served[found.name] += 1
        waits_ms.append(wait_ms)
    mean = sum(served.values()) / len(served)
    long_waits = sum(1 for wait_ms in waits_ms if wait_ms > WORK_MS / 2)
    return max(served.values()) / mean, long_waits / len(waits_ms)


def test_requests_seldom_wait_though_each_of_many_nodes_knows_little():
    """All nodes chose the same targets by stale reports.

    Without a limit on the queue wait, a fifth of the requests waited for half
    of their work time.
    """
    busiest, long_waits = simulate_sparse_reports(3)
    assert busiest < 1.5
    assert long_waits < 0.02


def test_the_targets_of_a_large_service_are_not_all_compared():
    group = target_selection.TargetGroup("near")
    for n in range(200):
        each = target_selection.Candidate(
            f"t{n}", "near" if n % 5 == 0 else "far"
        )
        each.update_from_entry(membership.Entry(each.name, slots=SLOTS))
        group.add(each)
    compared = []
    target_selection.choose_target(
        1.0,
        group,
        lambda each: compared.append(each.name) or True,
        WORK_MS,
        random.Random(1),
    )
    assert (
        len(compared)
        <= target_selection.SAMPLED_OWN_ZONE
        + target_selection.SAMPLED_OTHER_ZONES
    )


def test_a_new_target_gets_requests():
    """The compared targets are drawn anew for each request.

    Otherwise a new target might never be among them.
    """
    group = target_selection.TargetGroup("near")
    for n in range(60):
        each = target_selection.Candidate(f"t{n}", f"z{n % 5}")
        each.update_from_entry(membership.Entry(each.name, slots=SLOTS))
        group.add(each)
    new = target_selection.Candidate("new", "z1")
    new.update_from_entry(membership.Entry("new", slots=SLOTS))
    group.add(new)
    rng = random.Random(2)
    names = [
        target_selection.choose_target(
            1.0, group, lambda each: True, WORK_MS, rng
        ).name
        for _ in range(3_000)
    ]
    assert names.count("new") > 20


def test_the_wait_is_limited_at_the_first_targets_with_stale_reports():
    target = candidate("a", "near")
    assert target_selection.max_queue_wait_ms(100.0, target, 500.0, 0) < 0.0
    assert target_selection.max_queue_wait_ms(5_000.0, target, 500.0, 0) >= 0.0
    assert target_selection.max_queue_wait_ms(5_000.0, target, 500.0, 2) < 0.0


def test_a_request_waits_at_the_best_target_if_all_are_busy():
    """A request that all targets have rejected is queued at the best of them.

    All were tried with a limit on the wait; each would queue the request.
    """
    group = target_selection.TargetGroup("near")
    short = candidate("a", "near", running=9, queued=1, wait_ms=20.0)
    long = candidate("b", "near", running=9, queued=8, wait_ms=300.0)
    for each in (short, long):
        group.add(each)
    found = target_selection.choose_target(
        1.0,
        group,
        lambda each: False,
        WORK_MS,
        random.Random(1),
        [long, short],
    )
    assert found is short


def test_a_report_of_one_ping_ago_counts_in_full():
    """Reports must count in full until the next ping brings a new one.

    When they lost weight at once, busy targets of a small fleet seemed less
    busy than they were.
    """
    busy = candidate("a", "near", running=9)
    free = candidate("b", "near")
    now_ms = target_selection.FRESH_REPORT_MAX_AGE_MS - 50.0
    busy_ms = busy.expected_ms(now_ms, WORK_MS, "near")
    assert busy_ms > 1.05 * free.expected_ms(now_ms, WORK_MS, "near")
    old_ms = target_selection.REPORT_FADES_MS + 1.0
    assert busy.expected_ms(old_ms, WORK_MS, "near") == free.expected_ms(
        old_ms, WORK_MS, "near"
    )
