"""Choice among targets of a service that is not divided by key."""

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


def test_failing_draining_and_tried_targets_come_last_or_never():
    failing = candidate("a", "near")
    for _ in range(10):
        failing.on_request_sent()
        failing.on_request_ended(failed=True)
    good = candidate("b", "near", running=5)
    leaving = candidate("c", "near", draining=True)
    assert chosen(failing, good, leaving) == "b"
    assert chosen(failing, good, leaving, tried="b") == "a"
    assert chosen(leaving) is None


def test_what_was_sent_since_the_last_report_counts():
    busy = candidate("a", "near")
    for _ in range(9):
        busy.on_request_sent()
    assert chosen(busy, candidate("b", "near", running=3)) == "b"


BLIND_NODES = 194
TARGETS = 51
SLOTS = 6


def blind_fleet(seed):
    """Requests of many nodes at 80% of the slots; busiest target over mean."""
    chance = random.Random(seed)
    free_at = {f"t{n}": [0.0] * SLOTS for n in range(TARGETS)}
    groups = []
    for node in range(BLIND_NODES):
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
        group = groups[int(chance.random() * BLIND_NODES)]
        asked = set()
        while True:
            found = target_selection.choose_target(
                now_ms,
                group,
                lambda each, asked=asked: each.name not in asked,
                2 * WORK_MS,
                chance,
            )
            slots = free_at[found.name]
            wait_ms = max(0.0, min(slots) - now_ms)
            patience_ms = target_selection.max_queue_wait_ms(
                now_ms, found, 2 * WORK_MS, len(asked)
            )
            running = sum(1 for until_ms in slots if until_ms > now_ms)
            found.update_from_report(
                now_ms,
                target_selection.LoadReport(
                    SLOTS, running, 0, wait_ms, 0.5, False, 0.0, 6.0
                ),
            )
            if not 0.0 <= patience_ms < wait_ms:
                break
            asked.add(found.name)
        slot = slots.index(min(slots))
        slots[slot] = now_ms + wait_ms + chance.expovariate(1 / WORK_MS)
        served[found.name] += 1
        waits_ms.append(wait_ms)
    mean = sum(served.values()) / len(served)
    long = sum(1 for wait_ms in waits_ms if wait_ms > WORK_MS / 2)
    return max(served.values()) / mean, long / len(waits_ms)


def test_among_many_nodes_that_know_little_work_seldom_waits():
    """Without a bound on the wait, a fifth of it waited for half its time."""
    busiest, long = blind_fleet(3)
    assert busiest < 1.5
    assert long < 0.02


def test_the_targets_of_a_large_service_are_not_all_compared():
    group = target_selection.TargetGroup("near")
    for n in range(200):
        each = target_selection.Candidate(
            f"t{n}", "near" if n % 5 == 0 else "far"
        )
        each.update_from_entry(membership.Entry(each.name, slots=SLOTS))
        group.add(each)
    looked_at = []
    target_selection.choose_target(
        1.0,
        group,
        lambda each: looked_at.append(each.name) or True,
        WORK_MS,
        random.Random(1),
    )
    assert (
        len(looked_at)
        <= target_selection.SAMPLED_OWN_ZONE
        + target_selection.SAMPLED_OTHER_ZONES
    )


def test_a_target_that_has_just_come_gets_its_part():
    """What is compared is drawn anew for each request, so nobody is starved."""
    group = target_selection.TargetGroup("near")
    for n in range(60):
        each = target_selection.Candidate(f"t{n}", f"z{n % 5}")
        each.update_from_entry(membership.Entry(each.name, slots=SLOTS))
        group.add(each)
    new = target_selection.Candidate("new", "z1")
    new.update_from_entry(membership.Entry("new", slots=SLOTS))
    group.add(new)
    chance = random.Random(2)
    names = [
        target_selection.choose_target(
            1.0, group, lambda each: True, WORK_MS, chance
        ).name
        for _ in range(3_000)
    ]
    assert names.count("new") > 20


def test_a_free_target_is_asked_first_to_take_work_without_a_wait():
    known = candidate("a", "near")
    assert target_selection.max_queue_wait_ms(100.0, known, 500.0, 0) < 0.0
    assert target_selection.max_queue_wait_ms(5_000.0, known, 500.0, 0) >= 0.0
    assert target_selection.max_queue_wait_ms(5_000.0, known, 500.0, 2) < 0.0


def test_the_targets_of_a_small_service_that_are_all_busy_are_waited_at():
    """All have declined to take it at once; each would let it wait."""
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
    """Busy targets of a small fleet looked emptier than they were."""
    busy = candidate("a", "near", running=9)
    free = candidate("b", "near")
    now_ms = target_selection.FRESH_REPORT_MAX_AGE_MS - 50.0
    busy_ms = busy.expected_ms(now_ms, WORK_MS, "near")
    assert busy_ms > 1.05 * free.expected_ms(now_ms, WORK_MS, "near")
    old_ms = target_selection.REPORT_FADES_MS + 1.0
    assert busy.expected_ms(old_ms, WORK_MS, "near") == free.expected_ms(
        old_ms, WORK_MS, "near"
    )
