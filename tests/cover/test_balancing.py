"""Choice of a node for services not divided by key.

Guards against requests sent to overloaded, slow or failing nodes, and against
ejecting so many nodes that none is left.
"""

import random

from auburnrock.engine import balancing

ANSWERED = balancing.Outcome.ANSWERED
LOST = balancing.Outcome.LOST
SHED = balancing.Outcome.SHED
ZONES = {1: "piran", 2: "piran", 3: "izola", 4: "koper"}


def balancer_of(zones=ZONES, zone="piran"):
    balancer = balancing.Balancer(zone)
    balancer.set_nodes(zones)
    return balancer


def choices(balancer, count=400, now_ms=0, avoid=()):
    source = random.Random(1)
    return [
        balancer.choose(now_ms, (source.random(), source.random()), list(avoid))
        for _ in range(count)
    ]


def lose(balancer, node, times, now_ms=0):
    for _ in range(times):
        balancer.sent(node)
        balancer.ended(now_ms, node, LOST, 10.0)


def test_the_own_zone_is_preferred():
    assert set(choices(balancer_of())) == {1, 2}


def test_other_zones_are_used_when_the_own_is_overloaded():
    balancer = balancer_of()
    for node in (1, 2):
        for _ in range(10):
            balancer.sent(node)
    assert set(choices(balancer)) <= {3, 4}


def test_of_two_nodes_the_less_loaded_is_chosen():
    balancer = balancer_of({1: "piran", 2: "piran"})
    for _ in range(5):
        balancer.sent(1)
    assert set(choices(balancer)) == {2}


def test_load_is_spread_far_better_than_at_random():
    balancer = balancer_of({node: "piran" for node in range(1, 11)})
    source = random.Random(2)
    for _ in range(1_000):
        randoms = (source.random(), source.random())
        balancer.sent(balancer.choose(0, randoms, []))
    loads = [load.in_flight for load in balancer.nodes.values()]
    assert max(loads) - min(loads) <= 10


def test_a_slow_node_gets_fewer_requests():
    balancer = balancer_of({1: "piran", 2: "piran"})
    for node, latency_ms in ((1, 100.0), (2, 10.0)):
        balancer.sent(node)
        balancer.ended(0, node, ANSWERED, latency_ms)
    assert set(choices(balancer)) == {2}


def test_quick_refusals_do_not_attract_requests():
    balancer = balancer_of({1: "piran", 2: "piran"})
    for _ in range(20):
        balancer.sent(1)
        balancer.ended(0, 1, SHED, 0.1)
    assert set(choices(balancer)) == {2}


def test_a_node_that_loses_requests_is_ejected_for_a_bounded_time():
    balancer = balancer_of()
    lose(balancer, 1, balancing.EJECT_AFTER_LOSSES)
    assert set(choices(balancer)) == {2}
    end_ms = balancing.FIRST_EJECTION_MS
    assert set(choices(balancer, now_ms=end_ms)) == {1, 2}


def test_ejections_grow_up_to_a_bound_and_an_answer_resets_them():
    balancer = balancer_of()
    now_ms = 0
    for _ in range(20):
        lose(balancer, 1, balancing.EJECT_AFTER_LOSSES, now_ms)
        ejected_ms = balancer.nodes[1].ejected_until_ms - now_ms
        assert ejected_ms <= balancing.LONGEST_EJECTION_MS
        now_ms += ejected_ms
    assert ejected_ms == balancing.LONGEST_EJECTION_MS
    balancer.ended(now_ms, 1, ANSWERED, 1.0)
    lose(balancer, 1, balancing.EJECT_AFTER_LOSSES, now_ms)
    assert (
        balancer.nodes[1].ejected_until_ms
        == now_ms + balancing.FIRST_EJECTION_MS
    )


def test_at_least_half_of_the_nodes_are_never_ejected():
    balancer = balancer_of()
    for node in ZONES:
        lose(balancer, node, 50)
    assert balancer.ejected(0) == 2
    single = balancer_of({1: "piran"})
    lose(single, 1, 50)
    assert set(choices(single)) == {1}


def test_nodes_to_avoid_are_chosen_only_if_there_is_no_other():
    balancer = balancer_of()
    assert set(choices(balancer, avoid=[1])) == {2}
    assert set(choices(balancer, avoid=[1, 2, 3])) == {4}
    assert set(choices(balancer, avoid=[1, 2, 3, 4])) == {1, 2}


def test_without_nodes_there_is_no_choice():
    assert choices(balancer_of({}), 1) == [0]


def test_known_nodes_retain_their_observed_state():
    balancer = balancer_of()
    balancer.sent(1)
    balancer.set_nodes({1: "piran", 9: "koper"})
    assert balancer.nodes[1].in_flight == 1
    assert set(balancer.nodes) == {1, 9}
