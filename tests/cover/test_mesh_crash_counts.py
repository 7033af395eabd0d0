"""Counting of the crashes that a request may have caused, by many nodes."""

import itertools
import random

import hypothesis
from hypothesis import strategies

from auburnrock.engine.mesh import crash_suspects
from auburnrock.engine.mesh import membership
from tests.common import mesh
from tests.common import mesh_gossip_simulation

SUSPECT = "4e1f8554695518bb"


def exchange(now_ms, *nodes):
    """Lets each node report to each other all that it knows."""
    for sender, receiver in itertools.permutations(nodes, 2):
        for suspicion in sender.known(now_ms, 64):
            receiver.merge(now_ms, suspicion)


def test_crashes_that_several_nodes_count_at_once_add_up():
    nodes = [crash_suspects.CrashSuspects() for _ in range(4)]
    for place, node in enumerate(nodes):
        node.on_crash(0.0, mesh.incarnation(f"n{place}"), {SUSPECT})
    exchange(100.0, *nodes)
    assert [each.crash_count(100.0, SUSPECT) for each in nodes] == [4] * 4


def test_a_crash_that_a_node_observes_twice_counts_once():
    node = crash_suspects.CrashSuspects()
    assert node.on_crash(0.0, mesh.incarnation("n1"), {SUSPECT})
    assert not node.on_crash(12.0, mesh.incarnation("n1"), {SUSPECT})
    assert node.crash_count(12.0, SUSPECT) == 1
    node.on_crash(20.0, mesh.incarnation("n1", started_ms=2), {SUSPECT})
    assert node.crash_count(20.0, SUSPECT) == 2


@hypothesis.given(strategies.integers(0, 2**32 - 1))
def test_nodes_agree_whatever_the_order_of_their_reports(seed):
    rng = random.Random(seed)
    nodes = [crash_suspects.CrashSuspects() for _ in range(3)]
    reports = [
        crash_suspects.Suspicion(SUSPECT, [crash_suspects.Crash(target, 0)])
        for target in range(5)
    ]
    for node in nodes:
        order = reports * 2
        rng.shuffle(order)
        for report in order:
            node.merge(rng.uniform(0.0, 1_000.0), report)
    counts = [each.crash_count(1_000.0, SUSPECT) for each in nodes]
    assert counts == [len(reports)] * 3


def test_crashes_are_forgotten_by_nodes_that_report_them_to_each_other():
    nodes = [crash_suspects.CrashSuspects() for _ in range(2)]
    nodes[0].on_crash(0.0, mesh.incarnation("n1"), {SUSPECT})
    end_ms = int(2 * crash_suspects.FORGOTTEN_AFTER_MS)
    for now_ms in range(300, end_ms, 300):
        exchange(float(now_ms), *nodes)
    assert [each.crash_count(end_ms, SUSPECT) for each in nodes] == [0, 0]


def test_a_request_with_many_crashes_is_kept_among_new_suspects():
    node = crash_suspects.CrashSuspects()
    for place in range(3):
        node.on_crash(0.0, mesh.incarnation(f"n{place}"), {SUSPECT})
    others = {f"s{n}" for n in range(2 * crash_suspects.SUSPECTS_MAX)}
    node.on_crash(1.0, mesh.incarnation("n9"), others)
    assert node.crash_count(1.0, SUSPECT) == 3
    assert len(node.crashes) <= crash_suspects.SUSPECTS_MAX
    assert [each.fingerprint for each in node.known(1.0, 1)] == [SUSPECT]


def test_reports_of_more_crashes_than_are_kept_come_to_an_end():
    nodes = [crash_suspects.CrashSuspects() for _ in range(2)]
    count = 3 * crash_suspects.CRASHES_KEPT_MAX
    for place in range(count):
        incarnation = mesh.incarnation(f"n{place}")
        nodes[place % 2].on_crash(float(place), incarnation, {SUSPECT})
    exchange(float(count), *nodes)
    for sender, receiver in itertools.permutations(nodes, 2):
        for suspicion in sender.known(float(count), 64):
            assert receiver.merge(float(count), suspicion) is None


def test_a_crash_is_known_to_a_large_fleet_within_a_few_hops():
    records = mesh_gossip_simulation.members(480)
    nodes = {name: crash_suspects.CrashSuspects() for name in records}
    first = next(iter(records))
    news = nodes[first].on_crash(0.0, mesh.incarnation(first), {SUSPECT})
    reports = [(first, news[0])]
    hops = sent = 0
    while reports:
        hops += 1
        forwarded = []
        for sender, suspicion in reports:
            for receiver in membership.neighbours(sender, records):
                sent += 1
                merged = nodes[receiver].merge(float(hops), suspicion)
                if merged is not None:
                    forwarded.append((receiver, merged))
        reports = forwarded
    assert all(each.crash_count(9.0, SUSPECT) == 1 for each in nodes.values())
    assert hops <= 8
    assert sent <= 2 * membership.RINGS * len(records)


def test_an_answer_clears_a_request_at_all_nodes_for_good():
    nodes = [crash_suspects.CrashSuspects() for _ in range(3)]
    for place, node in enumerate(nodes):
        node.on_crash(0.0, mesh.incarnation(f"n{place}"), {SUSPECT})
    exchange(10.0, *nodes)
    assert nodes[0].on_answer(20.0, SUSPECT) is not None
    assert nodes[0].crash_count(20.0, SUSPECT) == 0
    # The others report what they know before they learn of the answer.
    exchange(30.0, *reversed(nodes))
    assert [each.crash_count(30.0, SUSPECT) for each in nodes] == [0] * 3
    nodes[1].on_crash(40.0, mesh.incarnation("n9"), {SUSPECT})
    exchange(50.0, *nodes)
    assert [each.crash_count(50.0, SUSPECT) for each in nodes] == [1] * 3


def test_an_answer_of_a_request_that_is_not_suspected_is_no_news():
    node = crash_suspects.CrashSuspects()
    assert node.on_answer(0.0, SUSPECT) is None
    node.on_crash(0.0, mesh.incarnation("n1"), {SUSPECT})
    assert node.on_answer(1.0, SUSPECT) is not None
    assert node.on_answer(2.0, SUSPECT) is None


def crash_targets(node, now_ms, count):
    """Lets a node observe crashes of targets that were running the suspect."""
    for _ in range(count):
        place = len(node.crashes.get(SUSPECT, {}))
        incarnation = mesh.incarnation(f"n{place}", started_ms=int(now_ms))
        node.on_crash(now_ms, incarnation, {SUSPECT})


def test_a_request_that_goes_on_crashing_targets_is_refused_for_longer():
    node = crash_suspects.CrashSuspects()
    crash_targets(node, 0.0, crash_suspects.CRASHES_MAX)
    now_ms = 0.0
    refused_ms = []
    for _ in range(6):
        began_ms = now_ms
        while node.refused_for_ms(now_ms, SUSPECT) > 0.0:
            now_ms += 1_000.0
        refused_ms.append(now_ms - began_ms)
        crash_targets(node, now_ms, 1)
    assert refused_ms == sorted(refused_ms)
    assert refused_ms[0] < refused_ms[1]
    longest_ms = crash_suspects.LONGEST_REFUSAL_MS
    assert longest_ms <= refused_ms[-1] <= longest_ms + 1_000.0


def test_a_request_is_accepted_once_its_crashes_are_forgotten():
    node = crash_suspects.CrashSuspects()
    crash_targets(node, 0.0, crash_suspects.CRASHES_MAX)
    end_ms = crash_suspects.FIRST_REFUSAL_MS + 1.0
    assert node.refused_for_ms(end_ms, SUSPECT) == 0.0
    end_ms += crash_suspects.FORGOTTEN_AFTER_MS
    assert node.crash_count(end_ms, SUSPECT) == 0
    assert node.refused_for_ms(end_ms, SUSPECT) == 0.0


def test_crashes_that_would_be_forgotten_at_once_are_no_news():
    node = crash_suspects.CrashSuspects()
    age_ms = round(crash_suspects.FORGOTTEN_AFTER_MS) + 1
    crash = crash_suspects.Crash(1, age_ms)
    stale = crash_suspects.Suspicion(SUSPECT, [crash])
    assert node.merge(0.0, stale) is None
    assert node.crashes == {}
