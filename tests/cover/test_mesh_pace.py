import math
import random

from auburnrock.engine.mesh import service_time_ratio as pace_module


def worked(pace, mean_ms, count, now_ms, seed=3):
    chance = random.Random(seed)
    for _ in range(count):
        now_ms += 20.0
        pace.add(now_ms, mean_ms * chance.lognormvariate(-0.11, 0.47), 400.0)
    return now_ms


def test_a_target_of_half_the_speed_gets_about_half_the_share():
    slow, quick = (
        pace_module.ServiceTimeRatio(0.0),
        pace_module.ServiceTimeRatio(0.0),
    )
    worked(slow, 240.0, 400, 0.0)
    worked(quick, 120.0, 400, 0.0, seed=4)
    assert 0.4 < slow.capacity_weight(18) / quick.capacity_weight(18) < 0.6


def test_ordinary_scatter_seldom_changes_the_share():
    pace = pace_module.ServiceTimeRatio(0.0)
    now_ms = worked(pace, 140.0, 400, 0.0)
    changes = 0
    for seed in range(20):
        before = pace.applied_mean
        now_ms = worked(pace, 140.0, 200, now_ms, seed)
        changes += pace.applied_mean != before
    # 20 rounds of 4 s: one change in four would move keys all the time.
    assert changes <= 8


def test_a_slowed_target_is_noticed_within_seconds():
    pace = pace_module.ServiceTimeRatio(0.0)
    now_ms = worked(pace, 120.0, 400, 0.0)
    before = pace.capacity_weight(18)
    worked(pace, 600.0, 200, now_ms)
    assert pace.capacity_weight(18) < 0.5 * before


def settled_after(speed, samples, seed=1):
    """The settled pace after work at a speed, of lognormal length."""
    chance = random.Random(seed)
    known = pace_module.ServiceTimeRatio(0.0)
    spread = math.sqrt(math.log(1.0 + 0.8**2))
    for number in range(samples):
        work = chance.lognormvariate(-spread * spread / 2.0, spread)
        objective_ms = 1_000.0
        known.add(
            10_000.0 + 100.0 * number,
            work
            * pace_module.DEFAULT_SERVICE_TIME_RATIO
            * objective_ms
            / speed,
            objective_ms,
        )
    return known.applied_mean / pace_module.DEFAULT_SERVICE_TIME_RATIO


def test_a_target_of_half_the_speed_is_known_after_few_requests():
    """At a burst on hot keys it was overloaded for ten seconds."""
    found = [settled_after(0.5, 40, seed) for seed in range(40)]
    assert sum(1 for each in found if each > 1.3) >= 34


def test_the_scatter_of_few_requests_seldom_changes_a_share():
    found = [settled_after(1.0, 90, seed) for seed in range(60)]
    assert sum(1 for each in found if each != 1.0) <= 6
