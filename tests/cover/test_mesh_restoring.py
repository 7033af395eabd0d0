"""Rules for a restored store, each from a schedule found by a seeded search."""

import math

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import store_restore
from auburnrock.engine.mesh import target_grants as grants_module
from tests.common import mesh


def term(era, number):
    return coordination_store.revision_of(era, number)


def test_a_witness_renews_no_term_of_an_earlier_era():
    """The restored store had lost the node's record, and the witness had read
    no later one, so it renewed the lease. The node's keys were reassigned while
    the lease was live (seed 28).
    """
    witness = lease_module.Witness(mesh.TERM_MS, 0.0)
    witness.on_record(1_000.0, mesh.member("a"), term(0, 7))
    witness.on_records_read(term(0, 8))
    assert witness.on_renew(1_000.0, "a", term(0, 7))
    witness.on_era(1_000.0, 1)
    assert not witness.on_renew(1_300.0, "a", term(0, 7))
    # The refused request still shows that the node is alive.
    assert witness.silent_ms(1_300.0, "a") == 0.0
    assert witness.on_renew(1_600.0, "a", term(1, 9))


def test_the_wait_before_a_table_is_settled_begins_anew_with_each_era():
    """A node that had known for long that a table was unsettled advanced it to
    the next era at once. That rolled back a move that the restore had lost
    (seed 47).
    """

    def may_advance(now_ms, era_ms):
        return store_restore.may_advance_to_era(
            now_ms, 0.0, era_ms, mesh.TERM_MS, 0.0
        )

    assert may_advance(10_000.0, 1_000.0)
    assert not may_advance(10_000.0, 9_900.0)
    assert may_advance(10_000.0 + mesh.TERM_MS, 9_800.0)


def settled_grants():
    """Returns the grants of a node that owns every stripe in era 1."""
    grants = grants_module.TargetGrants("a", mesh.HOLD_MS, 0.0)
    table = table_module.build_table([mesh.incarnation("a")] * 4)
    grants.update_table(table_module.advanced_to_era(table, 1))
    return grants


def fences(grants):
    return {key_range.fence for key_range in grants.grant_ranges()}


def test_a_grant_after_a_restore_has_a_token_above_all_lost_ones():
    """A lost version of the table had assigned the key to another target, with
    a higher token than that of the restored table (seed 49).
    """
    grants = settled_grants()
    grants.on_heartbeat(0.0, mesh.heartbeat("a", 1))
    assert fences(grants) == {grants.table.fence_floor}
    assert grants.table.fence_floor > table_module.ERA_STEP


def test_what_a_target_holds_keeps_its_token_after_a_restore():
    grants = settled_grants()
    held = [model.HeldRange(0, model.KEYS - 1, 1)]
    grants.on_heartbeat(0.0, mesh.heartbeat("a", 1, holds=held))
    assert fences(grants) == {1}


def test_what_a_target_holds_by_a_lost_version_keeps_its_token():
    """A target rejects a range with a token below one it has received."""
    grants = settled_grants()
    held = [model.HeldRange(0, model.KEYS - 1, 9)]
    grants.on_heartbeat(0.0, mesh.heartbeat("a", 1, holds=held))
    assert fences(grants) == {9}


def test_a_change_of_a_settled_table_includes_its_fence_floor():
    before = table_module.build_table([mesh.incarnation("a")] * 4)
    after = table_module.advanced_to_era(before, 1)
    change = table_module.difference(before, after)
    assert table_module.apply_change(before, change) == after
    moved = table_module.with_moves(after, {0: (mesh.incarnation("b"), "")})
    assert moved.fence_floor == after.fence_floor


def test_a_copy_that_is_older_than_several_restores_reuses_no_token():
    """The table had been advanced to each of three eras, and the restored copy
    was older than all of them, so tokens were granted twice (seed 115).
    """
    copied = table_module.build_table([mesh.incarnation("a")] * 4)
    lost = copied
    for era in (1, 2, 3):
        lost = table_module.advanced_to_era(lost, era)
    assert table_module.advanced_to_era(copied, 4).version > lost.version
    assert table_module.advanced_to_era(
        lost, 4
    ) == table_module.advanced_to_era(copied, 4)


def unwitnessed_from_ms(era, is_alone):
    return store_restore.unwitnessed_lease_from_ms(
        9_000.0, 5_000.0, term(1, 7), era, is_alone
    )


def test_a_lease_without_witnesses_counts_from_the_last_answer_of_the_store():
    """A node that was cut off kept extending its lease. A restore lost its
    record, and its keys were reassigned (seed 96).
    """
    lease = lease_module.Lease("a", mesh.TERM_MS)
    lease.begin_term(term(1, 7), ())
    lease.witnesses_due(9_000.0, unwitnessed_from_ms(1, is_alone=False))
    assert 5_000.0 < lease.ends_ms() <= 5_000.0 + mesh.TERM_MS
    # The send time of an earlier call does not shorten the lease.
    lease.witnesses_due(9_900.0, 1_000.0)
    assert lease.ends_ms() > 9_000.0


def test_a_lease_without_witnesses_is_not_renewed_in_another_era():
    lease = lease_module.Lease("a", mesh.TERM_MS)
    lease.begin_term(term(1, 7), ())
    lease.witnesses_due(9_000.0, unwitnessed_from_ms(2, is_alone=False))
    assert lease.ends_ms() == 0.0


def test_an_outage_of_the_store_ends_no_lease_of_a_node_that_is_alone():
    assert unwitnessed_from_ms(1, is_alone=True) == 9_000.0


def test_a_term_that_had_ended_does_not_go_on_when_its_record_is_back():
    """A node retried for long to resolve the outcome of a change of witnesses.
    A takeover meanwhile was lost in a restore, and the node granted keys by its
    old table (seed 208).
    """
    record = mesh.member("a", witnesses=("b",))

    def continues(revision, is_live):
        return store_restore.resolves_witnesses(
            record, term(0, 7), record, revision, is_live
        )

    assert continues(term(0, 8), is_live=False)
    assert continues(term(1, 8), is_live=True)
    assert not continues(term(1, 8), is_live=False)


def test_a_witness_treats_every_node_as_renewed_at_a_restore():
    """The restored store had lost a change of witnesses. The former witnesses
    sealed, and the keys were moved while a renewal by the new witness was live
    (seed 464).
    """
    witness = lease_module.Witness(mesh.TERM_MS, 0.0)
    witness.on_record(1_000.0, mesh.member("a"), term(0, 7))
    witness.on_records_read(term(0, 8))
    assert witness.on_seal(20_000.0, "a", term(0, 9)) == 0.0
    witness.on_era(20_000.0, 1)
    assert witness.on_seal(20_000.0, "a", term(1, 9)) > mesh.TERM_MS
    assert witness.on_seal(26_000.0, "a", term(1, 9)) == 0.0


def granted_only(**changes):
    state = {
        "is_first_seen": False,
        "unsettled": False,
        "before": True,
        "is_first_start": False,
        "is_since_start": False,
    }
    return store_restore.grants_reported_only(**state | changes)


def test_a_started_process_grants_what_is_held_until_a_table_is_written():
    """A table change that an earlier process of the node had sent took effect
    seconds later.
    """
    assert granted_only(is_first_seen=True, before=False)
    assert granted_only()
    assert not granted_only(is_since_start=True)
    assert not granted_only(
        is_first_seen=True, before=False, is_first_start=True
    )
    assert granted_only(unsettled=True, is_since_start=True)
    assert not granted_only(unsettled=True, before=False)


def test_a_first_start_that_reads_the_store_after_a_restore_is_none():
    """A process that had started before a restore and first read the store
    after it gave keys away that others held by the lost table.
    """
    assert store_restore.is_bootstrap(True, -math.inf, 0)
    assert not store_restore.is_bootstrap(True, -math.inf, 1)
    assert not store_restore.is_bootstrap(True, 5.0, 0)
    assert not store_restore.is_bootstrap(False, -math.inf, 0)
