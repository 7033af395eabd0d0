"""Rules about a restored store, each from a schedule that the search found."""

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import store_restore
from auburnrock.engine.mesh import target_grants as holder_module
from tests.common import mesh


def term(era, number):
    return coordination_store.revision_of(era, number)


def test_a_witness_renews_no_term_of_an_earlier_era():
    """The restored store had lost the record, and no later one was read; the
    node's keys went to others while its lease was live (seed 28)."""
    witness = lease_module.Witness(mesh.TERM_MS, 0.0)
    witness.on_record(1_000.0, mesh.member("a"), term(0, 7))
    witness.on_records_read(term(0, 8))
    assert witness.on_renew(1_000.0, "a", term(0, 7))
    witness.on_era(1_000.0, 1)
    assert not witness.on_renew(1_300.0, "a", term(0, 7))
    # It is there all the same.
    assert witness.silent_ms(1_300.0, "a") == 0.0
    assert witness.on_renew(1_600.0, "a", term(1, 9))


def test_the_wait_before_a_table_is_settled_begins_anew_with_each_era():
    """A node that had known of an unsettled table for long settled it at once
    in the next era, and a move that was lost was rolled back (seed 47)."""

    def may_settle(now_ms, era_ms):
        return store_restore.may_advance_to_era(
            now_ms, 0.0, era_ms, mesh.TERM_MS, 0.0
        )

    assert may_settle(10_000.0, 1_000.0)
    assert not may_settle(10_000.0, 9_900.0)
    assert may_settle(10_000.0 + mesh.TERM_MS, 9_800.0)


def settled_holder():
    """A node that owns all stripes by a table that was settled in era 1."""
    holder = holder_module.TargetGrants("a", mesh.HOLD_MS, 0.0)
    table = table_module.build_table([mesh.life("a")] * 4)
    holder.update_table(table_module.advanced_to_era(table, 1))
    return holder


def fences(holder):
    return {row.fence for row in holder.grant_ranges()}


def test_a_grant_after_a_restore_has_a_token_above_all_lost_ones():
    """A lost version had given the key to another, with a higher token than
    the one in the restored table (seed 49)."""
    holder = settled_holder()
    holder.on_heartbeat(0.0, mesh.heartbeat("a", 1))
    assert fences(holder) == {holder.table.fence_floor}
    assert holder.table.fence_floor > table_module.ERA_STEP


def test_what_a_target_holds_keeps_its_token_after_a_restore():
    holder = settled_holder()
    held = [model.HeldRange(0, model.KEYS - 1, 1)]
    holder.on_heartbeat(0.0, mesh.heartbeat("a", 1, holds=held))
    assert fences(holder) == {1}


def test_what_a_target_holds_by_a_lost_version_keeps_its_token():
    """It takes no row with a token below one that it has seen."""
    holder = settled_holder()
    held = [model.HeldRange(0, model.KEYS - 1, 9)]
    holder.on_heartbeat(0.0, mesh.heartbeat("a", 1, holds=held))
    assert fences(holder) == {9}


def test_a_change_of_a_settled_table_tells_of_its_floor():
    before = table_module.build_table([mesh.life("a")] * 4)
    after = table_module.advanced_to_era(before, 1)
    change = table_module.difference(before, after)
    assert table_module.apply_change(before, change) == after
    moved = table_module.with_moves(after, {0: (mesh.life("b"), "")})
    assert moved.fence_floor == after.fence_floor


def test_a_copy_that_is_older_than_several_restores_gives_no_token_again():
    """The table had been settled in each of three eras, and the copy was from
    before all of them (seed 115)."""
    copied = table_module.build_table([mesh.life("a")] * 4)
    lost = copied
    for era in (1, 2, 3):
        lost = table_module.advanced_to_era(lost, era)
    assert table_module.advanced_to_era(copied, 4).version > lost.version
    assert table_module.advanced_to_era(
        lost, 4
    ) == table_module.advanced_to_era(copied, 4)


def solo_from_ms(era, is_alone):
    return store_restore.unwitnessed_lease_from_ms(
        9_000.0, 5_000.0, term(1, 7), era, is_alone
    )


def test_a_lease_without_witnesses_counts_from_the_last_answer_of_the_store():
    """A node that was cut off went on, its record was lost in a restore, and
    its keys went to others (seed 96)."""
    lease = lease_module.Lease("a", mesh.TERM_MS)
    lease.begin_term(term(1, 7), ())
    lease.witnesses_due(9_000.0, solo_from_ms(1, is_alone=False))
    assert 5_000.0 < lease.ends_ms() <= 5_000.0 + mesh.TERM_MS
    # An older answer shortens nothing.
    lease.witnesses_due(9_900.0, 1_000.0)
    assert lease.ends_ms() > 9_000.0


def test_a_lease_without_witnesses_is_not_renewed_in_another_era():
    lease = lease_module.Lease("a", mesh.TERM_MS)
    lease.begin_term(term(1, 7), ())
    lease.witnesses_due(9_000.0, solo_from_ms(2, is_alone=False))
    assert lease.ends_ms() == 0.0


def test_an_outage_of_the_store_ends_no_lease_of_a_node_that_is_alone():
    assert solo_from_ms(1, is_alone=True) == 9_000.0


def test_a_term_that_had_ended_does_not_go_on_when_its_record_is_back():
    """A node tried for long to learn what became of a change of witnesses; a
    takeover in between was lost, and it granted by its old table (seed 208)."""
    record = mesh.member("a", witnesses=("b",))

    def goes_on(found, is_live):
        return store_restore.resolves_witnesses(
            record, term(0, 7), record, found, is_live
        )

    assert goes_on(term(0, 8), is_live=False)
    assert goes_on(term(1, 8), is_live=True)
    assert not goes_on(term(1, 8), is_live=False)


def test_a_witness_takes_every_node_for_renewed_when_it_hears_of_a_restore():
    """The store had lost a change of witnesses; the former ones were sealed,
    and the keys moved while the new one's renewal was live (seed 464)."""
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
    """A hand-over that an earlier process had sent was made seconds later."""
    assert granted_only(is_first_seen=True, before=False)
    assert granted_only()
    assert not granted_only(is_since_start=True)
    assert not granted_only(
        is_first_seen=True, before=False, is_first_start=True
    )
    assert granted_only(unsettled=True, is_since_start=True)
    assert not granted_only(unsettled=True, before=False)
