"""Leases renewed by witnesses: a test for each rule against two owners."""

import collections

import msgspec
import pytest

from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from tests.common import mesh

WITNESSES = ("b", "c", "d", "e", "f")


def new_lease(term=10, witnesses=WITNESSES):
    lease = lease_module.Lease("a", mesh.TERM_MS)
    lease.begin_term(term, witnesses)
    return lease


def new_witness(started_ms=0.0, read_revision=1):
    witness = lease_module.Witness(mesh.TERM_MS, started_ms)
    witness.on_records_read(read_revision)
    return witness


def test_a_lease_needs_a_majority_and_counts_from_the_sending():
    lease = new_lease()
    lease.on_renewed("b", 10, 1_000.0)
    lease.on_renewed("c", 10, 1_000.0)
    assert lease.ends_ms() == 0.0
    lease.on_renewed("d", 10, 900.0)
    assert lease.ends_ms() == 900.0 + mesh.TERM_MS * 0.98


def test_a_renewal_of_another_term_does_not_count():
    lease = new_lease()
    lease.begin_term(20, WITNESSES)
    for name in WITNESSES:
        lease.on_renewed(name, 10, 1_000.0)
    assert lease.ends_ms() == 0.0


def test_a_lost_record_ends_the_lease_with_its_renewals():
    lease = new_lease()
    for name in WITNESSES:
        lease.on_renewed(name, 10, 1_000.0)
    lease.end_term()
    assert lease.ends_ms() == 0.0


def test_a_proposed_set_is_asked_and_ends_no_lease():
    lease = new_lease(witnesses=("b", "c", "d"))
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 1_000.0)
    lease.propose(("d", "e", "f"))
    assert lease.witnesses_due(1_100.0) == ["b", "c", "d", "e", "f"]
    assert lease.ends_ms() == 1_000.0 + mesh.TERM_MS * 0.98
    # Renewals by the proposed witnesses alone do not extend the lease either.
    for name in ("e", "f"):
        lease.on_renewed(name, 10, 1_100.0)
    assert lease.ends_ms() == 1_000.0 + mesh.TERM_MS * 0.98


def test_while_a_change_is_open_both_sets_must_renew():
    lease = new_lease(witnesses=("b", "c", "d"))
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 1_000.0)
    lease.propose(("d", "e", "f"))
    lease.begin_joint_change()
    assert lease.ends_ms() == 0.0
    lease.on_renewed("e", 10, 500.0)
    lease.on_renewed("f", 10, 500.0)
    assert lease.ends_ms() == 500.0 + mesh.TERM_MS * 0.98


def test_new_witnesses_must_have_renewed_as_long_as_the_old_ones():
    lease = new_lease(witnesses=("b", "c", "d"))
    for name in ("b", "c", "d"):
        lease.on_renewed(name, 10, 1_000.0)
    lease.propose(("e", "f", "g"))
    for name in ("e", "f"):
        lease.on_renewed(name, 10, 900.0)
    assert not lease.proposal_ready()
    for name in ("e", "f"):
        lease.on_renewed(name, 10, 1_000.0)
    assert lease.proposal_ready()


@pytest.mark.parametrize("present", [("b", "c", "d"), ()])
def test_witnesses_that_never_renewed_a_term_are_not_ready(present):
    """Guards against new witnesses that give away keys which a target still
    holds by an earlier term: no set has renewed the new term, so the set that
    is written must have, or its seal bounds no earlier grant.
    """
    lease = new_lease(term=10, witnesses=("b", "c", "d"))
    for name in ("b", "c", "d"):
        lease.on_renewed(name, 10, 1_000.0)
    granted_until_ms = lease.ends_ms()
    lease.begin_term(20, present)
    lease.propose(("e", "f", "g"))
    assert not lease.proposal_ready()
    lease.on_renewed("e", 20, 1_500.0)
    assert not lease.proposal_ready()
    lease.on_renewed("f", 20, 1_500.0)
    assert lease.proposal_ready()
    lease.complete_change(21, ("e", "f", "g"))
    assert lease.ends_ms() >= granted_until_ms


def test_witnesses_named_after_a_seal_keep_the_keys_of_the_earlier_term():
    """Guards against a takeover by witnesses that never renewed the lease: a
    node that was sealed registers anew, names them, and stands still.
    """
    lease = new_lease(term=10, witnesses=("b", "c", "d"))
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 1_000.0)
    granted_until_ms = lease.ends_ms()
    lease.begin_term(20, ("b", "c", "d"))
    witnesses = {
        name: new_witness(started_ms=-20_000.0) for name in ("e", "f", "g")
    }
    lease.propose(tuple(witnesses))
    for name, witness in witnesses.items():
        if lease.proposal_ready():
            break
        assert witness.on_renew(1_500.0, "a", 20)
        lease.on_renewed(name, 20, 1_500.0)
    sealing = lease_module.Sealing("a", 30, tuple(witnesses), 1_600.0)
    for name, witness in witnesses.items():
        remaining_ms = witness.on_seal(1_600.0, "a", 30)
        sealing.on_sealed(1_600.0, name, remaining_ms)
    assert not sealing.is_complete(granted_until_ms)


@pytest.mark.parametrize("present", ["b", "c", "d"])
def test_new_witnesses_are_ready_after_a_round_in_which_all_renew(present):
    """Pings are sent one after another. If the current witness is pinged last,
    its renewal always ends later than those of the proposed witnesses, so that
    they never become ready.
    """
    lease = new_lease(witnesses=(present,))
    lease.propose(("b", "c", "d"))
    for place, name in enumerate(lease.witnesses_due(1_000.0)):
        lease.on_renewed(name, 10, 1_000.0 + 0.01 * place)
    assert lease.proposal_ready()


def test_the_first_witnesses_must_cover_the_lease_of_a_node_without_any():
    lease = new_lease(witnesses=())
    lease.witnesses_due(1_000.0)
    unwitnessed_ends_ms = lease.ends_ms()
    lease.propose(("b", "c", "d"))
    lease.witnesses_due(1_400.0)
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 900.0)
    assert not lease.proposal_ready()
    for name in ("b", "c"):
        lease.on_renewed(name, 10, 1_400.0)
    assert lease.proposal_ready()
    lease.complete_change(11, ("b", "c", "d"))
    assert lease.ends_ms() >= unwitnessed_ends_ms


def test_a_sealed_term_is_never_renewed_again_but_a_later_one_is():
    witness = new_witness()
    assert witness.on_renew(100.0, "a", 10)
    witness.on_seal(200.0, "a", 15)
    assert not witness.on_renew(300.0, "a", 10)
    assert witness.on_renew(400.0, "a", 16)


def test_a_seal_returns_what_remains_of_the_last_renewal():
    witness = new_witness(started_ms=-20_000.0)
    witness.on_renew(100.0, "a", 10)
    remaining_ms = witness.on_seal(1_100.0, "a", 15)
    assert remaining_ms >= mesh.TERM_MS - 1_000.0


def test_a_restarted_witness_treats_every_node_as_just_renewed():
    witness = new_witness(started_ms=10_000.0)
    remaining_ms = witness.on_seal(10_500.0, "a", 15)
    assert remaining_ms >= mesh.TERM_MS - 500.0


def test_a_restarted_witness_renews_nothing_before_it_has_read_the_records():
    witness = lease_module.Witness(mesh.TERM_MS, 0.0)
    assert not witness.on_renew(10.0, "a", 10)
    assert witness.on_seal(10.0, "a", 15) is None


def test_a_restarted_witness_knows_a_seal_from_the_record():
    witness = lease_module.Witness(mesh.TERM_MS, 0.0)
    sealed = model.Member(
        "a", "host-a", "a:7000", "piran", "portal", model.MemberState.SEALING
    )
    witness.on_record(1.0, sealed, 15)
    witness.on_records_read(20)
    assert not witness.on_renew(10.0, "a", 10)


def test_a_restarted_witness_renews_no_term_whose_record_was_removed():
    witness = new_witness(read_revision=30)
    assert not witness.on_renew(10.0, "a", 10)
    assert witness.on_renew(10.0, "a", 31)


def test_a_term_before_the_known_record_is_over():
    witness = new_witness()
    witness.on_record(1.0, mesh.member("a"), 20)
    assert not witness.on_renew(10.0, "a", 10)
    assert witness.on_renew(10.0, "a", 20)


def test_a_takeover_waits_for_a_majority_and_the_longest_renewal():
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
    """If few hosts were the witnesses of all nodes, the loss of three of them
    would end every lease.
    """
    names = [f"10.{zone}.0.{host}" for zone in (1, 2, 3) for host in range(30)]
    members = {name: mesh.member(name, name[:4]) for name in names}
    leases_per_host = collections.Counter()
    for name in names:
        leases_per_host.update(
            lease_module.choose_witnesses(
                members[name], members, set(names) - {name}
            )
        )
    # A host has five on average; sixteen or more have a probability of one in
    # 100,000 for each host.
    assert max(leases_per_host.values()) <= 15


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
