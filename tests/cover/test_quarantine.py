"""Quarantine of requests that crash their targets.

Guards against a request that crashes more targets than the stated bound, and
against innocent requests that are quarantined because they ran beside it.
"""

import itertools

import hypothesis
from hypothesis import strategies as st

from auburnrock import errors
from auburnrock import records
from auburnrock.engine import quarantine

WALL_MS = 1_800_000_000_000
KILLER = quarantine.fingerprint("s", "POST", "/x", "k", b"boom")
ALONE = quarantine.Verdict.ALONE
FREE = quarantine.Verdict.FREE


class Fleet:
    """Nodes that exchange their records before the next attempt."""

    def __init__(self, size=5, quarantine_class=quarantine.Quarantine):
        self.nodes = [quarantine_class() for _ in range(size)]
        self.wall_ms = WALL_MS
        self.numbers = itertools.count()
        self.crashes = 0
        self.refusals = 0

    def send(self, node, digests):
        """Runs requests at a node, beside one another where allowed."""
        together, alone = [], []
        for digest in digests:
            verdict = self.nodes[node].check(self.wall_ms, digest)
            if isinstance(verdict, errors.Failure):
                assert verdict.kind is errors.ErrorKind.QUARANTINED
                self.refusals += 1
            else:
                (alone if verdict is ALONE else together).append(digest)
        if together:
            self.run(node, together, False)
        for digest in alone:
            self.run(node, [digest], True)

    def run(self, node, digests, alone):
        running = self.nodes[node]
        numbers = [next(self.numbers) for _ in digests]
        for number, digest in zip(numbers, digests, strict=True):
            running.started(number, digest, alone)
        if KILLER in digests:
            self.crashes += 1
            running.crashed(self.wall_ms)
        for number in numbers:
            running.finished(self.wall_ms, number, True)
        self.share_records(node)

    def share_records(self, node):
        for record in self.nodes[node].take_unsent():
            for other in self.nodes:
                other.merge(self.wall_ms, record)

    def quarantined(self, digest):
        verdicts = [node.check(self.wall_ms, digest) for node in self.nodes]
        return any(isinstance(each, errors.Failure) for each in verdicts)


class RunsSuspectsBesideOthers(quarantine.Quarantine):
    __slots__ = ()

    def check(self, wall_ms, digest):
        verdict = super().check(wall_ms, digest)
        return FREE if verdict is ALONE else verdict


class BlamesEveryRequest(quarantine.Quarantine):
    __slots__ = ()

    def _after_crash(self, wall_ms, digest, alone):
        return super()._after_crash(wall_ms, digest, True)


def test_a_request_takes_down_two_targets_and_no_more():
    fleet = Fleet()
    for attempt in range(50):
        fleet.send(attempt % 5, [KILLER, f"innocent{attempt}"])
    assert fleet.crashes == 2
    assert fleet.refusals == 48


def test_without_running_alone_a_request_takes_down_every_target():
    fleet = Fleet(quarantine_class=RunsSuspectsBesideOthers)
    for attempt in range(50):
        fleet.send(attempt % 5, [KILLER, f"innocent{attempt}"])
    assert fleet.crashes == 50


def crash_twice_beside_innocents(quarantine_class):
    fleet = Fleet(quarantine_class=quarantine_class)
    innocents = [f"innocent{number}" for number in range(19)]
    # Two nodes run the same requests before they receive records.
    for node in (0, 1):
        for digest in [KILLER, *innocents]:
            fleet.nodes[node].started(next(fleet.numbers), digest, False)
    for node in (0, 1):
        fleet.nodes[node].crashed(fleet.wall_ms)
    for node in (0, 1):
        fleet.share_records(node)
    # One more crash at a node that does not run suspects alone.
    fleet.run(0, [KILLER, *innocents], False)
    return fleet, innocents


def test_no_request_is_quarantined_for_crashes_beside_others():
    fleet, innocents = crash_twice_beside_innocents(quarantine.Quarantine)
    assert not any(fleet.quarantined(digest) for digest in innocents)
    fleet, innocents = crash_twice_beside_innocents(BlamesEveryRequest)
    assert all(fleet.quarantined(digest) for digest in innocents)


def test_an_innocent_suspect_is_cleared_everywhere_by_one_run_alone():
    fleet = Fleet()
    fleet.send(0, [KILLER, "innocent"])
    assert fleet.nodes[3].check(fleet.wall_ms, "innocent") is ALONE
    fleet.wall_ms += 1
    fleet.send(1, ["innocent"])
    for node in fleet.nodes:
        assert node.check(fleet.wall_ms, "innocent") is FREE


def test_a_request_given_up_while_alone_is_not_cleared():
    fleet = Fleet()
    fleet.send(0, [KILLER])
    node = fleet.nodes[1]
    node.started(1_000, KILLER, True)
    node.finished(fleet.wall_ms + 1, 1_000, False)
    assert node.check(fleet.wall_ms + 1, KILLER) is ALONE


def test_a_crash_beside_others_quarantines_no_request_meant_to_run_alone():
    for order in ((KILLER, "innocent"), ("innocent", KILLER)):
        fleet = Fleet()
        fleet.run(0, [KILLER, "innocent"], False)
        node = fleet.nodes[1]
        for number, digest in enumerate(order):
            node.started(number, digest, True)
        node.crashed(fleet.wall_ms)
        fleet.share_records(1)
        assert not fleet.quarantined(KILLER)
        assert not fleet.quarantined("innocent")


def test_a_quarantine_ends_by_itself_and_costs_one_target_each_time():
    fleet = Fleet()
    for node in (0, 1):
        fleet.send(node, [KILLER])
    for again in range(4):
        left_ms = quarantine.quarantine_ms(fleet.crashes)
        fleet.wall_ms += left_ms - 1
        assert fleet.quarantined(KILLER)
        fleet.wall_ms += 1
        assert fleet.nodes[3].check(fleet.wall_ms, KILLER) is ALONE
        fleet.send(again, [KILLER])
        assert fleet.crashes == 3 + again
    fleet.wall_ms += 2 * quarantine.LONGEST_QUARANTINE_MS
    for node in fleet.nodes:
        assert node.check(fleet.wall_ms, KILLER) is FREE
        node.expire(fleet.wall_ms)
        assert not node.known


def test_a_record_from_a_clock_ahead_does_not_bar_for_longer():
    node = quarantine.Quarantine()
    ahead = records.QuarantineRecord(
        fingerprint=KILLER, crashes=2, expires_at_ms=WALL_MS * 2
    )
    assert node.merge(WALL_MS, ahead)
    later_ms = WALL_MS + quarantine.FIRST_QUARANTINE_MS
    assert not isinstance(node.check(later_ms, KILLER), errors.Failure)


def test_memory_is_bounded_and_quarantines_are_forgotten_last():
    fleet = Fleet(size=1)
    for _ in range(2):
        fleet.send(0, [KILLER])
    node = fleet.nodes[0]
    for number in range(quarantine.MAX_RECORDS + 10):
        node.started(number, f"suspect{number}", False)
    node.crashed(WALL_MS)
    assert len(node.known) <= quarantine.MAX_RECORDS
    assert fleet.quarantined(KILLER)


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 60_000), st.booleans()),
        max_size=60,
    )
)
def test_the_number_of_targets_taken_down_is_bounded(attempts):
    fleet = Fleet()
    for node, pause_ms, with_killer in attempts:
        fleet.wall_ms += pause_ms
        company = [f"innocent{number}" for number in range(3)]
        fleet.send(node, [KILLER, *company] if with_killer else company)
        assert not any(fleet.quarantined(mark) for mark in company)
    elapsed_ms = fleet.wall_ms - WALL_MS
    assert fleet.crashes <= 2 + elapsed_ms // quarantine.FIRST_QUARANTINE_MS


def test_fingerprints_differ_wherever_requests_do():
    base = ("s", "GET", "/p", "k", b"body")
    others = [
        (*base[:index], "z" if index < 4 else b"z", *base[index + 1 :])
        for index in range(5)
    ]
    digests = {quarantine.fingerprint(*each) for each in [base, *others]}
    assert len(digests) == 6
