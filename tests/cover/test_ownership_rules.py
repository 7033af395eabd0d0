"""Tests each safety rule of docs/design/ownership.md with and without it.

Each schedule causes two owners if a patch removes its rule. With all rules in
effect, the same schedule passes the oracle.
"""

from unittest import mock

import msgspec
import pytest

from auburnrock.engine import lease
from auburnrock.engine import renewals
from auburnrock.engine import sealing
from auburnrock.engine import store_write
from auburnrock.engine import timing
from auburnrock.engine import witness
from tests.common import ownership


def just_renewed(world, owner):
    """Runs until the owner has sent renewals that are still unanswered."""
    sent = owner.participant.holder.renewals.sequence
    world.run_until(lambda: owner.participant.holder.renewals.sequence > sent)


def change_one_witness(world, owner, fault):
    """Makes the owner replace its third witness, which then answers again.

    The write of the owner's record has the given fault.

    Returns:
      The old witnesses a, b and c, and d, which replaces c.
    """
    (a, b, c), _ = world.witnesses_of(owner)
    world.cut(owner.address, [c.address])
    owner.faults.append(fault)
    world.run_until(lambda: owner.participant.holder.state == "changing")
    new = {w.incarnation for w in owner.participant.holder.writing.witnesses}
    (d,) = [
        p
        for p in world.processes
        if p.incarnation in new - {a.incarnation, b.incarnation}
    ]
    world.heal()
    return a, b, c, d


def answers_wait_out_a_pause(world):
    owner = world.settle()
    just_renewed(world, owner)
    world.isolate(owner, *world.witnesses_of(owner)[0])
    world.pause(owner)
    world.run(3_000)
    assert world.has_ended(owner.incarnation)
    world.resume(owner)


def sealed_owner_returns(world):
    owner = world.settle()
    world.cut(owner.address, [ownership.STORE])
    world.pause(owner)
    world.run(3_000)
    assert world.has_ended(owner.incarnation)
    world.resume(owner)
    world.run(1_000)


def sealing_witness_restarts(world):
    owner = world.settle()
    (first, _, third), _ = world.witnesses_of(owner)
    world.cut(owner.address, [ownership.STORE])
    world.isolate(third, owner)
    world.pause(owner)
    world.run(3_000)
    assert world.has_ended(owner.incarnation)
    world.restart(first)
    world.resume(owner)
    world.run(1_000)


def write_lands_after_it_was_read_back(world):
    owner = world.settle()
    a, b, c, d = change_one_witness(world, owner, ownership.Fault.LATE)
    # The owner loses the store once it has read its record back.
    world.run(ownership.CALL_TIMEOUT_MS + 6)
    world.cut(owner.address, [ownership.STORE])
    world.run(2_500)
    seal_by_the_new_witnesses(world, owner, a, b, c, d)


def answer_of_a_change_is_lost(world):
    owner = world.settle()
    a, b, c, d = change_one_witness(world, owner, ownership.Fault.ANSWER_LOST)
    world.cut(owner.address, [ownership.STORE])
    world.run(100)
    seal_by_the_new_witnesses(world, owner, a, b, c, d)


def seal_by_the_new_witnesses(world, owner, a, b, c, d):
    """Lets a and d seal, while b and c can reach only the owner."""
    world.cut(owner.address, [a.address, d.address])
    world.isolate(b, owner)
    world.isolate(c, owner)
    world.run(3_000)


def witnesses_change_unseen_by_the_sealers(world):
    owner = world.settle()
    (a, b, c), _ = world.witnesses_of(owner)
    for sealer in (a, b):
        unseen = [owner.address, c.address, ownership.STORE]
        world.cut(sealer.address, unseen)
    world.run(2_500)
    world.heal()
    world.run(1_000)


def clocks_run_apart(world):
    world.tick_ms = 1
    owner = world.settle()
    just_renewed(world, owner)
    world.run(ownership.NETWORK_MS)
    world.isolate(owner)
    world.run(3_000)
    assert world.has_ended(owner.incarnation)


def owner_is_cut_off(world):
    owner = world.settle()
    world.isolate(owner)
    world.run(3_000)
    assert world.has_ended(owner.incarnation)


def owner_dies_when_its_witnesses_have_changed(world):
    owner = world.settle()
    just_renewed(world, owner)
    # The owner issues a grant until the end of the renewal.
    world.run(ownership.TICK_MS + 10)
    for process in world.witnesses_of(owner)[0]:
        process.participant.holder.drain()
    old = {p.incarnation for p in world.witnesses_of(owner)[0]}
    world.run_until(lambda: not old & world.store.witnesses(owner))
    world.kill(owner)
    world.run(3_000)
    assert world.has_ended(owner.incarnation)


def move_is_not_answered(world):
    owner = world.settle()
    owner.faults.append(ownership.Fault.ANSWER_LOST)
    owner.release_to(world.processes[1].incarnation)
    world.cut(owner.address, [ownership.STORE])
    world.run(1_000)


class CountsFromTheAnswer(renewals.Renewals):
    __slots__ = ()

    def _end_of_renewal_ms(self, sent_ms, received_ms):
        return received_ms + self.timing.holder_term_ms()


class ForgetsItsSeals(witness.Witness):
    __slots__ = ()

    def _seal(self, now_ms, node):
        remaining_ms = super()._seal(now_ms, node)
        self.sealed.clear()
        return remaining_ms


class AnswersForAnEarlierIncarnation(witness.Witness):
    __slots__ = ()

    def on_renew(self, now_ms, renew):
        meant = msgspec.structs.replace(renew, witness=self.incarnation)
        answer = super().on_renew(now_ms, meant)
        return msgspec.structs.replace(answer, witness=renew.witness)


class GivesUpAfterOneRead(store_write.StoreWrite):
    __slots__ = ()

    def _event(self, result):
        event = super()._event(result)
        return "fence" if event.startswith("old") else event


class KnowsOneWitnessSet(lease.Holder):
    __slots__ = ()

    def witness_sets(self):
        return [self.record.witnesses]


class WritesWitnessesAtOnce(lease.Holder):
    __slots__ = ()

    def _must_prepare(self):
        return False


class SealsWithoutClaim(sealing.Sealing):
    """Seals the witnesses in its replica's record, then overwrites it."""

    __slots__ = ()

    def start(self, now_ms):
        self._apply("sealing")
        return self._send_seals(now_ms)

    def _on_current(self, now_ms, current):
        self.revision = current.revision
        return self._on_sealing_record(now_ms)


class WaitsForNothing(timing.Timing, frozen=True):
    def seal_wait_ms(self, remaining_ms):
        return 0


class ForgetsReleases(set):
    def add(self, epoch):
        pass


def without(module, name, broken):
    return lambda: mock.patch.object(module, name, broken)


DIVERGING_RATES = [0.99, 1.01, 1.01, 1.01, 1.01]
RULES = {
    "a renewal counts from its sending": (
        answers_wait_out_a_pause,
        without(renewals, "Renewals", CountsFromTheAnswer),
    ),
    "a witness remembers its seals": (
        sealed_owner_returns,
        without(witness, "Witness", ForgetsItsSeals),
    ),
    "a witness counts by incarnation": (
        sealing_witness_restarts,
        without(witness, "Witness", AnswersForAnEarlierIncarnation),
    ),
    "an old value read back settles nothing": (
        write_lands_after_it_was_read_back,
        without(store_write, "StoreWrite", GivesUpAfterOneRead),
    ),
    "an unresolved change needs both majorities": (
        answer_of_a_change_is_lost,
        without(lease, "Holder", KnowsOneWitnessSet),
    ),
    "new witnesses renew before they are written": (
        owner_dies_when_its_witnesses_have_changed,
        without(lease, "Holder", WritesWitnessesAtOnce),
    ),
    "the witness set is fixed before it is sealed": (
        witnesses_change_unseen_by_the_sealers,
        without(sealing, "Sealing", SealsWithoutClaim),
    ),
    "a released epoch is never served again": (
        move_is_not_answered,
        without(ownership, "released_epochs", ForgetsReleases),
    ),
}


@pytest.mark.parametrize("rule", RULES)
def test_one_owner_with_the_rule_and_two_without(rule):
    schedule, rule_removed = RULES[rule]
    schedule(ownership.World(node_count=7, zones=7))
    with rule_removed(), pytest.raises(ownership.TwoOwnersError):
        schedule(ownership.World(node_count=7, zones=7))


def test_one_owner_with_a_drift_margin_and_two_without():
    clocks_run_apart(ownership.World(rates=DIVERGING_RATES))
    broken = timing.Timing(drift_share=0.0)
    with pytest.raises(ownership.TwoOwnersError):
        clocks_run_apart(ownership.World(rates=DIVERGING_RATES, timing=broken))


def test_one_owner_with_a_wait_for_the_remainder_and_two_without():
    owner_is_cut_off(ownership.World())
    with pytest.raises(ownership.TwoOwnersError):
        owner_is_cut_off(ownership.World(timing=WaitsForNothing()))
