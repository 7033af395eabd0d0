"""Tests how load reports are counted, sent, merged and used in decisions."""

import hypothesis
from hypothesis import strategies as st
import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import pages as pages_lib
from auburnrock.engine.placement import hot_keys
from auburnrock.engine.placement import load
from auburnrock.engine.placement import meter as meter_lib
from auburnrock.engine.placement import reports

CONTROL_BUDGET_BYTES_PER_S = 3_000
LEASE_BYTES_PER_S = 2_340
HEADER_BYTES = 28
LARGE_FLEET = 1_200
SETTINGS = records.ServiceSettings(divided_by_key=True, shards=8)

numbers = st.integers(1, 4)
totals = st.builds(
    messages.LoadTotal,
    numbers,
    numbers,
    st.sampled_from([0, 5_000, 900_000]),
    st.sampled_from([-1, 0, 4_000, 64_000]),
    numbers,
)
answers = st.builds(
    reports.NodeFigures,
    st.builds(
        load.LoadReport,
        numbers,
        numbers,
        st.just(1.0),
        st.lists(
            st.builds(
                load.ShardFigures,
                st.integers(0, 7),
                numbers,
                st.sampled_from([0.0, 2.5, float("inf")]),
                numbers,
            ),
            max_size=3,
        ),
    ),
    st.just([]),
)


def merged(received) -> reports.ServiceLoad:
    reported = reports.ServiceLoad()
    for report in received:
        if isinstance(report, messages.LoadTotal):
            reported.on_total(report, 0)
        else:
            reported.on_figures(report, 0)
    return reported


def decided_from(reported: reports.ServiceLoad):
    owned = {1: [0, 1, 2], 2: [3, 4], 3: [5], records.NO_OWNER: [6, 7]}
    return (
        reported.capacities(),
        reported.nodes_to_query(10.0),
        reported.loads(owned, SETTINGS.shards),
    )


@hypothesis.given(st.lists(totals | answers, max_size=10), st.randoms())
def test_lagging_reports_in_any_order_give_the_same_inputs(received, order):
    other = [*received, *received]
    order.shuffle(other)
    assert decided_from(merged(received)) == decided_from(merged(other))


@hypothesis.given(st.lists(totals | answers, max_size=10))
def test_every_shard_gets_one_finite_load(received):
    loads, _ = decided_from(merged(received))[2]
    assert sorted(each.shard for each in loads) == list(range(8))
    assert all(0 <= each.rate < 1e9 and each.keys >= 1 for each in loads)


def test_an_assigner_of_a_large_fleet_stays_within_the_control_budget():
    largest = messages.LoadTotal(2**63, 2**31, 10**9, 10**9, 2**31)
    interval_s = reports.interval_ms(10_000, LARGE_FLEET) / 1_000
    shards = [load.ShardFigures(n, 9, 12.34, 23_177) for n in range(32)]
    answer = reports.NodeFigures(load.LoadReport(2**63, 9, 1.5, shards), [])
    received = LARGE_FLEET * (len(messages.encode(largest)) + HEADER_BYTES)
    received += reports.MAX_NODES_QUERIED * len(msgspec.msgpack.encode(answer))
    left = CONTROL_BUDGET_BYTES_PER_S - LEASE_BYTES_PER_S
    assert received / interval_s <= left


def test_only_the_busiest_nodes_are_queried_and_only_if_load_differs():
    level = [messages.LoadTotal(n, 1, 0, 10_000, 9) for n in range(1, 41)]
    assert merged(level).nodes_to_query(10.0) == []
    joined = merged([*level, messages.LoadTotal(99, 1, 0, 0, 0)])
    assert len(joined.nodes_to_query(10.0)) == reports.MAX_NODES_QUERIED
    assert 99 not in joined.nodes_to_query(10.0)


def test_a_difference_within_random_variation_is_ignored():
    """Otherwise a service with few requests moves shards without end.

    Counts of few requests differ from window to window by chance, so that in
    each window another node appears to be the busiest.
    """
    differing = merged(
        [
            messages.LoadTotal(1, 1, 0, 50_000, 9),
            messages.LoadTotal(2, 1, 0, 40_000, 9),
        ]
    )
    assert differing.nodes_to_query(0.5) == []
    assert differing.nodes_to_query(10.0) == [1, 2]


def test_load_without_figures_is_spread_over_the_other_shards_of_a_node():
    figures = load.LoadReport(1, 1, 0.0, [load.ShardFigures(0, 1, 30.0, 5)])
    reported = merged(
        [
            messages.LoadTotal(1, 1, 0, 50_000, 30),
            reports.NodeFigures(figures, []),
        ]
    )
    loads, estimated = reported.loads({1: [0, 1, 2]}, 8)
    assert [each.rate for each in loads] == [30.0, 10.0, 10.0]
    assert estimated == {1, 2}


def test_an_expired_report_is_dropped_and_blocks_the_decision():
    reported = merged([messages.LoadTotal(1, 1, 0, 5_000, 3)])
    serving = [
        records.NodeRecord(
            name="n",
            incarnation=1,
            region="r",
            zone="z",
            address="127.0.0.1",
            peer_port=1,
            http_port=2,
        )
    ]
    assert reported.has_enough_reports(serving)
    reported.discard_before(1)
    assert not reported.has_enough_reports(serving)


def test_a_moved_shard_counts_at_once_and_its_partial_window_is_replaced():
    shard_id = pages_lib.ServiceShard("s", 3)
    meter = meter_lib.LoadMeter(0)

    def window(number: int, count: int) -> float:
        for _ in range(count):
            meter.record_arrival(shard_id, "key", number * 1_000)
        meter.roll((number + 1) * 1_000, [shard_id])
        return meter.load_of("s").rates[3]

    assert window(0, 4) == 4
    assert window(1, 20) == 20
    assert window(2, 10) == 15
    assert 15 < window(3, 20) < 20
    meter.roll(5_000, [])
    assert meter.load_of("s").rates == {}


def test_time_in_the_target_is_counted_for_requests_still_in_progress():
    meter = meter_lib.LoadMeter(0)
    meter.record_send(0)
    meter.record_send(500)
    meter.record_end(800, True)
    window = meter.roll(1_000, [])
    assert (window.in_flight_ms, window.completed) == (1_300, 1)
    meter.record_end(1_100, False)
    window = meter.roll(2_000, [])
    assert (window.in_flight_ms, window.failed) == (100, 1)


def test_a_node_reports_only_keys_with_a_significant_share():
    hot = [hot_keys.HotKey(9.0, 0.5, "a"), hot_keys.HotKey(1.0, 0.0, "b")]
    observed = meter_lib.Load({0: 100.0}, 50)
    assert [key.key for key in reports.significant_keys(hot, observed)] == ["a"]
