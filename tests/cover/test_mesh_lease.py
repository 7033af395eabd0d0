"""Leases by witnesses: one test for each rule that keeps one owner."""

import collections

import msgspec
import pytest

from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from tests.common import mesh

WITNESSES = ("b", "c", "d", "e", "f")


def leased(term=10, witnesses=WITNESSES):
    lease = lease_module.Lease("a", mesh.TERM_MS)
    lease.begin_term(term, witnesses)
    return lease


def witness(started_ms=0.0, read_at=1):
    made = lease_module.Witness(mesh.TERM_MS, started_ms)
    made.on_records_read(read_at)
    return made


def test_a_lease_needs_a_majority_and_counts_from_the_sending():
    lease = leased()
    lease.on_renewed("b", 10, 1_000.0)
    lease.on_renewed("c", 10, 1_000.0)
    assert lease.ends_ms() == 0.0
    lease.on_renewed("d", 10, 900.0)
    assert lease.ends_ms() == 900.0 + mesh.TERM_MS * 0.98


def test_a_renewal_of_another_term_does_not_count():
    lease = leased()
    lease.begin_term(20, WITNESSES)
    for name in WITNESSES:
        lease.on_renewed(name, 10, 1_000.0)
    assert lease.ends_ms() == 0.0


def test_a_lost_record_ends_the_lease_with_its_renewals():
    lease = leased()
    for name in WITNESSES:
        lease.on_renewed(name, 10, 1_000.0)
    lease.end_term()
    assert lease.ends_ms() == 0.0


def test_a_proposed_set_is_asked_and_ends_no_lease():
    lease = leased(witnesses=("b", "c", "d"))
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 1_000.0)
    lease.propose(("d", "e", "f"))
    assert lease.witnesses_due(1_100.0) == ["b", "c", "d", "e", "f"]
    assert lease.ends_ms() == 1_000.0 + mesh.TERM_MS * 0.98
    # Nor does it keep one.
    for name in ("e", "f"):
        lease.on_renewed(name, 10, 1_100.0)
    assert lease.ends_ms() == 1_000.0 + mesh.TERM_MS * 0.98


def test_while_a_change_is_open_both_sets_must_renew():
    lease = leased(witnesses=("b", "c", "d"))
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 1_000.0)
    lease.propose(("d", "e", "f"))
    lease.begin_joint_change()
    assert lease.ends_ms() == 0.0
    lease.on_renewed("e", 10, 500.0)
    lease.on_renewed("f", 10, 500.0)
    assert lease.ends_ms() == 500.0 + mesh.TERM_MS * 0.98


def test_new_witnesses_must_have_renewed_as_long_as_the_old_ones():
    lease = leased(witnesses=("b", "c", "d"))
    for name in ("b", "c", "d"):
        lease.on_renewed(name, 10, 1_000.0)
    lease.propose(("e", "f", "g"))
    for name in ("e", "f"):
        lease.on_renewed(name, 10, 900.0)
    assert not lease.proposal_ready()
    for name in ("e", "f"):
        lease.on_renewed(name, 10, 1_000.0)
    assert lease.proposal_ready()


@pytest.mark.parametrize("present", ["b", "c", "d"])
def test_new_witnesses_are_ready_after_a_round_in_which_all_renew(present):
    """A ping leaves a little after the one before it. Where the present
    witness came last, no round ever made the others ready."""
    lease = leased(witnesses=(present,))
    lease.propose(("b", "c", "d"))
    for place, name in enumerate(lease.witnesses_due(1_000.0)):
        lease.on_renewed(name, 10, 1_000.0 + 0.01 * place)
    assert lease.proposal_ready()


def test_a_lone_nodes_promise_is_covered_before_it_gets_witnesses():
    lease = leased(witnesses=())
    lease.witnesses_due(1_000.0)
    promised_ms = lease.ends_ms()
    lease.propose(("b", "c", "d"))
    lease.witnesses_due(1_400.0)
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 900.0)
    assert not lease.proposal_ready()
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 1_400.0)
    assert lease.proposal_ready()
    lease.complete_change(11, ("b", "c", "d"))
    assert lease.ends_ms() >= promised_ms


def test_a_sealed_term_is_never_renewed_again_but_a_later_one_is():
    judge = witness()
    assert judge.on_renew(100.0, "a", 10)
    judge.on_seal(200.0, "a", 15)
    assert not judge.on_renew(300.0, "a", 10)
    assert judge.on_renew(400.0, "a", 16)


def test_a_seal_tells_what_is_left_of_the_last_renewal():
    judge = witness(started_ms=-20_000.0)
    judge.on_renew(100.0, "a", 10)
    left_ms = judge.on_seal(1_100.0, "a", 15)
    assert left_ms >= mesh.TERM_MS - 1_000.0


def test_a_restarted_witness_takes_every_node_for_just_renewed():
    judge = witness(started_ms=10_000.0)
    left_ms = judge.on_seal(10_500.0, "a", 15)
    assert left_ms >= mesh.TERM_MS - 500.0


def test_a_restarted_witness_renews_nothing_before_it_has_read_the_records():
    judge = lease_module.Witness(mesh.TERM_MS, 0.0)
    assert not judge.on_renew(10.0, "a", 10)
    assert judge.on_seal(10.0, "a", 15) is None


def test_a_restarted_witness_knows_a_seal_from_the_record():
    judge = lease_module.Witness(mesh.TERM_MS, 0.0)
    sealed = model.Member(
        "a", "host-a", "a:7000", "piran", "portal", model.MemberState.SEALING
    )
    judge.on_record(1.0, sealed, 15)
    judge.on_records_read(20)
    assert not judge.on_renew(10.0, "a", 10)


def test_a_restarted_witness_renews_no_term_whose_record_was_removed():
    judge = witness(read_at=30)
    assert not judge.on_renew(10.0, "a", 10)
    assert judge.on_renew(10.0, "a", 31)


def test_a_term_before_the_known_record_is_over():
    judge = witness()
    judge.on_record(1.0, mesh.member("a"), 20)
    assert not judge.on_renew(10.0, "a", 10)
    assert judge.on_renew(10.0, "a", 20)


def test_a_takeover_waits_for_a_majority_and_the_longest_rest():
    sealing = lease_module.Sealing("a", 15, WITNESSES, 0.0)
    sealing.on_sealed(0.0, "b", 100.0)
    sealing.on_sealed(0.0, "c", 3_000.0)
    sealing.on_sealed(0.0, "x", 0.0)
    assert not sealing.is_complete(10_000.0)
    sealing.on_sealed(0.0, "d", 0.0)
    assert not sealing.is_complete(2_999.0)
    assert sealing.is_complete(3_000.0)
    assert sealing.missing() == ["e", "f"]


def test_witnesses_come_from_all_zones_and_an_odd_number_of_nodes():
    members = {
        name: mesh.member(name, zone)
        for name, zone in zip("abcdefgh", "xxyyzzxy", strict=True)
    }
    chosen = lease_module.choose_witnesses(
        members["a"], members, set("bcdefgh")
    )
    assert len(chosen) == 5
    assert "a" not in chosen
    zones = [members[name].zone for name in chosen]
    assert max(zones.count(zone) for zone in zones) <= 2


def test_no_host_is_a_witness_of_many_others():
    """Else the loss of three hosts would end the leases of all."""
    names = [f"10.{zone}.0.{host}" for zone in (1, 2, 3) for host in range(30)]
    members = {name: mesh.member(name, name[:4]) for name in names}
    served = collections.Counter()
    for name in names:
        served.update(
            lease_module.choose_witnesses(
                members[name], members, set(names) - {name}
            )
        )
    # Five on average; sixteen has a chance of one in 100,000 a host.
    assert max(served.values()) <= 15


def test_hosts_with_slow_links_are_witnesses_only_where_no_others_are():
    members = {
        name: msgspec.structs.replace(
            mesh.member(name), link_mbps=5.0 if name in "bcd" else 100.0
        )
        for name in "abcdefghi"
    }
    own = members["a"]
    chosen = lease_module.choose_witnesses(own, members, set("bcdefghi"))
    assert chosen == tuple("efghi")
    chosen = lease_module.choose_witnesses(own, members, set("bcdef"))
    assert chosen == tuple("bcdef")


def test_present_witnesses_stay_while_they_live():
    members = {name: mesh.member(name) for name in "abcdefgh"}
    own = mesh.member("a", witnesses=("f", "g", "h"))
    chosen = lease_module.choose_witnesses(own, members, set("bcdefgh"))
    assert {"f", "g", "h"} <= set(chosen)
