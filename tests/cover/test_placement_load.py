import random

import hypothesis
from hypothesis import strategies as st
import pytest

from auburnrock.engine.placement import capacity
from auburnrock.engine.placement import hot_keys
from auburnrock.engine.placement import load
from auburnrock.engine.placement import pins

shard_figures = st.builds(
    load.ShardFigures,
    st.integers(0, 5),
    st.integers(1, 4),
    st.sampled_from([0.0, 1.0, 7.5, float("nan"), -1.0]),
    st.integers(1, 9),
)
reports = st.builds(
    load.LoadReport,
    st.integers(1, 3),
    st.integers(1, 4),
    st.sampled_from([0.0, 10.0, 500.0]),
    st.lists(shard_figures, max_size=3),
)


def merged(all_reports: list[load.LoadReport]) -> load.ReportRegister:
    book = load.ReportRegister()
    for report in all_reports:
        book.merge(report)
    return book


@hypothesis.given(st.lists(reports, max_size=8), st.randoms())
def test_reports_merged_in_any_order_or_twice_give_the_same_result(
    received, order
):
    other = [*received, *received]
    order.shuffle(other)
    assert merged(received).reports == merged(other).reports
    assert merged(received).loads() == merged(other).loads()


def test_a_late_report_changes_nothing():
    new = load.LoadReport(1, 5, 10.0, [load.ShardFigures(0, 1, 9.0, 3)])
    book = merged([new])
    assert not book.merge(load.LoadReport(1, 4, 99.0, []))
    assert book.reports == {1: new}


def test_the_load_of_a_shard_is_the_one_reported_at_its_highest_epoch():
    former = load.LoadReport(2, 50, 10.0, [load.ShardFigures(0, 3, 80.0, 3)])
    owner = load.LoadReport(1, 1, 10.0, [load.ShardFigures(0, 4, 8.0, 3)])
    assert [entry.rate for entry in merged([owner, former]).loads()] == [8.0]


def test_a_capacity_far_from_the_median_is_clamped():
    reported = {1: 100.0, 2: 150.0, 3: 1e9, 4: 1e-9}
    clamped = load.clamp_capacities(reported)
    assert clamped[1] == 100.0
    assert clamped[3] == pytest.approx(125.0 * load.CAPACITY_SPREAD_LIMIT)
    assert clamped[4] == pytest.approx(125.0 / load.CAPACITY_SPREAD_LIMIT)


def window(rate: float, service_ms: float, slots: int, failed: int = 0):
    """Returns the outcomes of ten seconds of requests to a target.

    Args:
      rate: requests a second that arrive; it completes no more than it can.
      service_ms: time that one request takes in the target.
      slots: number of requests that the target executes concurrently.
      failed: number of requests that fail.
    """
    done = int(10 * min(rate, slots * 1000 / service_ms))
    return capacity.OutcomeWindow(
        duration_ms=10_000,
        completed=done,
        failed=failed,
        in_flight_ms=int(done * service_ms),
    )


@pytest.mark.parametrize("rate", [50, 200, 390, 4_000])
def test_the_capacity_estimate_is_correct_at_any_load(rate):
    estimator = capacity.CapacityEstimator(slots=20)
    for _ in range(10):
        estimator.observe(window(rate, service_ms=50, slots=20))
    assert estimator.capacity == pytest.approx(400, rel=0.01)


def test_fast_failures_do_not_count_as_spare_capacity():
    estimator = capacity.CapacityEstimator(slots=20)
    estimator.observe(window(100, service_ms=50, slots=20, failed=9_000))
    assert estimator.capacity == pytest.approx(130, rel=0.01)


def test_one_outlier_changes_the_capacity_by_a_fifth_at_most():
    estimator = capacity.CapacityEstimator(slots=20)
    estimator.observe(window(100, service_ms=50, slots=20))
    estimator.observe(window(100, service_ms=0.5, slots=20))
    assert estimator.capacity == pytest.approx(480)


def test_a_window_with_too_few_answers_is_ignored():
    estimator = capacity.CapacityEstimator(slots=20)
    estimator.observe(window(1, service_ms=50, slots=20))
    assert estimator.capacity == 0


def zipf_keys(count: int, generator: random.Random, offset: int) -> list[str]:
    weights = [1 / (rank + 1) for rank in range(100_000)]
    ranks = generator.choices(range(100_000), weights, k=count)
    return [f"key-{rank + offset}" for rank in ranks]


def test_the_hottest_78_of_100_000_keys_are_found_after_they_change():
    generator = random.Random(78)
    counter = hot_keys.HotKeyCounter(now_ms=0)
    for number, offset in enumerate((0, 500_000)):
        for index, key in enumerate(zipf_keys(100_000, generator, offset)):
            counter.count(number * 60_000 + index * 60_000 // 100_000, key)
    found = [hot.key for hot in counter.hottest(now_ms=120_000)]
    true = {f"key-{500_000 + rank}" for rank in range(hot_keys.MAX_HOT_KEYS)}
    # By chance, the last of the true hottest keys may be no more frequent than
    # the keys that follow them.
    assert len(true & set(found)) >= hot_keys.MAX_HOT_KEYS - 8
    assert set(found[:50]) <= true


def test_a_count_is_within_the_stated_error():
    generator = random.Random(3)
    counter = hot_keys.HotKeyCounter(now_ms=0)
    keys = zipf_keys(60_000, generator, 0)
    for key in keys:
        counter.count(1, key)
    seconds = hot_keys.WINDOW_MS / 1000
    allowed = 3.5 / 2**hot_keys.LOG2_MAP_SIZE * len(keys) / seconds
    for hot in counter.hottest(now_ms=hot_keys.WINDOW_MS):
        true_count = keys.count(hot.key)
        highest = round(hot.rate * seconds)
        lowest = round((hot.rate - hot.error) * seconds)
        assert lowest <= true_count <= highest
        assert hot.error <= allowed


def test_a_key_without_requests_is_dropped_within_two_windows():
    counter = hot_keys.HotKeyCounter(now_ms=0)
    counter.count(0, "grid-sunday")
    assert counter.hottest(now_ms=hot_keys.WINDOW_MS)
    assert not counter.hottest(now_ms=2 * hot_keys.WINDOW_MS)


def test_hot_keys_merge_in_any_order():
    one = [hot_keys.HotKey(9.0, 0.0, "a"), hot_keys.HotKey(2.0, 0.0, "b")]
    two = [hot_keys.HotKey(5.0, 0.0, "b"), hot_keys.HotKey(4.0, 0.0, "c")]
    assert hot_keys.merge([one, two], 2) == hot_keys.merge([two, one], 2)
    assert [hot.key for hot in hot_keys.merge([one, two])] == ["a", "b", "c"]


def test_a_key_between_the_limits_is_neither_pinned_nor_unpinned():
    hot = [hot_keys.HotKey(rate, 0.0, str(rate)) for rate in (30.0, 5.0, 1.0)]
    advice = pins.advise(hot, ["5.0", "1.0"], mean_rate=100.0)
    assert advice == pins.PinAdvice(pin=["30.0"], unpin=["1.0"])
    assert pins.advise(hot, [], mean_rate=100.0).pin == ["30.0"]
