"""Choice among targets of a service that is not divided by key."""

import random

from auburnrock.engine.mesh import choice

WORK_MS = 300.0


def candidate(name, zone, **load):
    made = choice.Candidate(name, zone)
    fields = {
        "slots": 9,
        "running": 0,
        "waiting": 0,
        "wait_ms": 0.0,
        "pace": 1.0,
        "draining": False,
        "cold_ms": 0.0,
        "weight": 9.0,
    }
    made.take_report(0.0, choice.Report(**fields | load))
    return made


def chosen(*candidates, tried=()):
    found = choice.choose(
        1.0, list(candidates), set(tried), WORK_MS, "near", random.Random(7)
    )
    return found.name if found else None


def test_a_target_of_the_own_zone_goes_before_a_little_quicker_one():
    near = candidate("a", "near", pace=1.1)
    far = candidate("b", "far", pace=1.0)
    assert chosen(near, far) == "a"


def test_a_free_target_of_another_zone_goes_before_a_queue():
    near = candidate("a", "near", running=9, waiting=6, wait_ms=200.0)
    far = candidate("b", "far")
    assert chosen(near, far) == "b"


def test_much_quicker_targets_of_another_zone_are_used():
    near = candidate("a", "near", pace=2.0)
    far = candidate("b", "far", pace=0.7)
    assert chosen(near, far) == "b"


def test_failing_draining_and_tried_targets_come_last_or_never():
    failing = candidate("a", "near")
    for _ in range(10):
        failing.begin()
        failing.end(failed=True)
    good = candidate("b", "near", running=5)
    leaving = candidate("c", "near", draining=True)
    assert chosen(failing, good, leaving) == "b"
    assert chosen(failing, good, leaving, tried="b") == "a"
    assert chosen(leaving) is None


def test_what_was_sent_since_the_last_report_counts():
    busy = candidate("a", "near")
    for _ in range(9):
        busy.begin()
    assert chosen(busy, candidate("b", "near", running=3)) == "b"
