"""Grants of a target, and the faults by which a key would have two owners."""

import pytest

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import target_grants as grants_module
from auburnrock.platform import heartbeats
from tests.common import mesh

LEASE_ENDS_MS = 1e9


def grants_of(member, table, now_ms=0.0):
    grants = grants_module.TargetGrants(member, mesh.HOLD_MS, now_ms)
    grants.unknown_until_ms = 0.0
    grants.update_table(table)
    return grants


def granted(grants, now_ms, sequence=1, **fields):
    grants.on_heartbeat(now_ms, mesh.heartbeat("a", sequence, **fields))
    return grants.reply(now_ms, now_ms, LEASE_ENDS_MS)


def stripes_in(table, ranges):
    """Returns the stripes that ranges cover completely, each in one range."""
    found = []
    for key_range in ranges:
        low, high = (
            table.stripe_of(key_range.first),
            table.stripe_of(key_range.last),
        )
        assert key_range.first == table.span(low)[0]
        assert key_range.last == table.span(high)[1]
        found.extend(range(low, high + 1))
    assert len(found) == len(set(found))
    return set(found)


def test_a_target_is_granted_all_its_stripes_and_no_others():
    table = mesh.table("a", "b")
    reply = granted(grants_of("a", table), 0.0)
    own = table.owned_by(mesh.incarnation("a"))
    assert stripes_in(table, reply.granted_ranges) == set(own)


def test_adjacent_stripes_of_one_token_share_one_range():
    table = mesh.table("a", "b", "c", "d")
    reply = granted(grants_of("a", table), 0.0)
    assert (
        len(reply.granted_ranges)
        == len(table.stripes) // table.stripes_per_run // 4 + 1
    )


def test_a_stripe_in_the_middle_of_a_range_can_be_released():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    granted(grants, 0.0)
    own = table.owned_by(mesh.incarnation("a"))
    grants.begin_release({own[1]: mesh.incarnation("b")})
    reply = granted(grants, 100.0, 2)
    assert stripes_in(table, reply.granted_ranges) == set(own) - {own[1]}
    first, last = table.span(own[1])
    granted(grants, 200.0, 3, freed=[model.FreedRange(first, last, "feed")])
    assert grants.released(200.0) == {own[1]: (mesh.incarnation("b"), "feed")}


def test_a_run_that_was_freed_as_one_range_is_granted_as_one_range():
    table = mesh.table("a", "b")
    run = [
        index
        for index in table.owned_by(mesh.incarnation("b"))[
            : table.stripes_per_run
        ]
    ]
    after = table_module.with_moves(
        table, {index: (mesh.incarnation("a"), "feed") for index in run}
    )
    reply = granted(grants_of("a", after), 0.0)
    assert [
        key_range.handover
        for key_range in reply.granted_ranges
        if key_range.handover
    ] == ["feed"]


def test_a_reply_fits_four_kibibytes_and_keeps_what_is_held():
    table = mesh.table(*"abcdefgh")
    moves = {
        index: (mesh.incarnation("a"), "5c0e7a21d94b36f8")
        for index in range(len(table.stripes))
        if table.owners[table.stripes[index].owner] != mesh.incarnation("a")
    }
    grants = grants_of("a", table)
    first = granted(grants, 0.0)
    grants.update_table(table_module.with_moves(table, moves))
    second = granted(grants, 100.0, 2, holds=first.granted_ranges)
    assert len(heartbeats.encode_reply(second)) <= 4_096
    granted_after = stripes_in(table, second.granted_ranges)
    assert stripes_in(table, first.granted_ranges) <= granted_after


def test_the_hold_ends_before_the_lease_on_a_slow_clock():
    grants = grants_of("a", mesh.table("a", "b"))
    grants.on_heartbeat(0.0, mesh.heartbeat("a", 1))
    reply = grants.reply(10.0, 0.0, 1_000.0)
    assert 10.0 + reply.hold_ms * 1.02 <= 1_000.0


def test_without_a_lease_nothing_is_renewed():
    grants = grants_of("a", mesh.table("a", "b"))
    grants.on_heartbeat(0.0, mesh.heartbeat("a", 1))
    assert grants.reply(10.0, 0.0, 10.0).granted_ranges is None


def test_a_delayed_reply_renews_nothing():
    grants = grants_of("a", mesh.table("a", "b"))
    grants.on_heartbeat(0.0, mesh.heartbeat("a", 1))
    assert grants.reply(5_000.0, 0.0, LEASE_ENDS_MS).granted_ranges is None


def test_released_keys_wait_for_the_target_to_free_them():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    granted(grants, 0.0)
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    grants.begin_release({stripe: mesh.incarnation("b")})
    assert grants.released(100.0) == {}
    granted(grants, 150.0, 2)
    assert grants.released(150.0) == {}
    first, last = table.span(stripe)
    freed = [model.FreedRange(first, last, "feed")]
    granted(grants, 200.0, 3, freed=freed)
    assert grants.released(200.0) == {stripe: (mesh.incarnation("b"), "feed")}


def test_keys_that_the_target_still_works_on_are_not_released():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    granted(grants, 0.0)
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    grants.begin_release({stripe: mesh.incarnation("b")})
    first, last = table.span(stripe)
    freed = [model.FreedRange(first, last, "feed")]
    holds = [model.HeldRange(first, first, 1)]
    granted(grants, 200.0, 2, freed=freed, holds=holds)
    assert grants.released(200.0) == {}


def test_keys_of_a_silent_target_wait_for_the_end_of_its_hold():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    reply = granted(grants, 0.0)
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    grants.begin_release({stripe: mesh.incarnation("b")})
    assert grants.released(reply.hold_ms * 1.02) == {}
    expired_ms = reply.hold_ms * grants_module.CLOCK_DRIFT_FACTOR + 1
    assert stripe in grants.released(expired_ms)


def test_an_earlier_process_may_have_granted_just_before_this_one():
    grants = grants_module.TargetGrants("a", mesh.HOLD_MS, 1_000.0)
    table = mesh.table("a", "b")
    grants.update_table(table)
    grants.on_heartbeat(1_100.0, mesh.heartbeat("a", 9))
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    grants.begin_release({stripe: mesh.incarnation("b")})
    assert grants.released(1_200.0) == {}
    assert stripe in grants.released(1_000.0 + mesh.HOLD_MS * 1.03)


def released_and_freed(grants, stripe):
    """Releases a stripe, frees it at the target, and returns the moves."""
    granted(grants, 0.0)
    grants.begin_release({stripe: mesh.incarnation("b")})
    granted(grants, 50.0, 2)
    first, last = grants.table.span(stripe)
    granted(grants, 100.0, 3, freed=[model.FreedRange(first, last, "feed")])
    return grants.released(100.0)


def test_keys_in_an_open_change_are_not_granted_again():
    """A new plan granted a freed key again while the change that moved it was
    in flight; two targets held it for 0.6 s. A search of schedules found it.
    """
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    grants.begin_change(released_and_freed(grants, stripe))
    grants.begin_release({})
    reply = granted(grants, 200.0, 4)
    assert stripe not in stripes_in(table, reply.granted_ranges)
    assert stripe in grants.released(200.0)


def test_keys_of_a_refused_change_are_granted_again():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    grants.begin_change(released_and_freed(grants, stripe))
    grants.begin_release({})
    grants.change_failed()
    reply = granted(grants, 200.0, 4)
    assert stripe in stripes_in(table, reply.granted_ranges)


def test_a_change_whose_answer_was_lost_stays_open_when_a_retry_is_refused():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    grants.begin_change(released_and_freed(grants, stripe))
    grants.change_unanswered()
    grants.change_not_sent()
    grants.begin_release({})
    reply = granted(grants, 200.0, 4)
    assert stripe not in stripes_in(table, reply.granted_ranges)


def test_an_open_change_ends_with_the_next_version_of_the_table():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    moves = released_and_freed(grants, stripe)
    grants.begin_change(moves)
    grants.update_table(table_module.with_moves(table, moves))
    assert not grants.pending
    assert stripe not in grants.own_stripes()


def test_an_ended_target_holds_nothing():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    granted(grants, 0.0)
    grants.on_target_ended()
    assert grants.own_stripes() == []
    assert grants.former_incarnation_stripes() == table.owned_by(
        mesh.incarnation("a")
    )


def test_a_heartbeat_of_an_earlier_start_changes_nothing():
    grants = grants_of("a", mesh.table("a", "b"))
    grants.on_heartbeat(0.0, mesh.heartbeat("a", 1, started_ms=2))
    assert not grants.on_heartbeat(1.0, mesh.heartbeat("a", 99, started_ms=1))
    assert grants.incarnation == mesh.incarnation("a", 2)


def test_a_heartbeat_of_an_ended_start_is_ignored():
    grants = grants_of("a", mesh.table("a", "b"))
    grants.on_heartbeat(0.0, mesh.heartbeat("a", 5, started_ms=2))
    grants.on_target_ended()
    assert not grants.on_heartbeat(1.0, mesh.heartbeat("a", 9, started_ms=1))


def test_a_late_heartbeat_of_the_same_start_is_ignored():
    grants = grants_of("a", mesh.table("a", "b"))
    assert grants.on_heartbeat(0.0, mesh.heartbeat("a", 5))
    assert not grants.on_heartbeat(1.0, mesh.heartbeat("a", 4))


def test_a_new_start_gets_no_keys_under_the_old_fences():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    granted(grants, 0.0)
    assert not grants.on_heartbeat(10.0, mesh.heartbeat("a", 1, started_ms=2))
    later_ms = 10.0 + 1.25 * grants_module.HEARTBEAT_MS
    assert grants.on_heartbeat(later_ms, mesh.heartbeat("a", 2, started_ms=2))
    reply = grants.reply(later_ms, later_ms, LEASE_ENDS_MS)
    assert reply.granted_ranges == []


def test_the_target_serves_a_key_only_within_its_hold():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    reply = granted(grants, 0.0)
    key = reply.granted_ranges[0].first
    assert grants.may_serve(100.0, key)
    assert not grants.may_serve(reply.hold_ms, key)
    other = table.span(table.owned_by(mesh.incarnation("b"))[0])[0]
    assert not grants.may_serve(100.0, other)


def test_a_handover_is_sent_until_the_target_reports_the_range():
    table = mesh.table("a", "b")
    stripe = table.owned_by(mesh.incarnation("b"))[0]
    after = table_module.with_moves(
        table, {stripe: (mesh.incarnation("a"), "feed")}
    )
    grants = grants_of("a", after)
    first = granted(grants, 0.0)
    assert [
        key_range.handover
        for key_range in first.granted_ranges
        if key_range.handover
    ] == ["feed"]
    second = granted(grants, 100.0, 2, holds=first.granted_ranges)
    assert not [
        key_range for key_range in second.granted_ranges if key_range.handover
    ]


def test_an_older_table_is_ignored():
    table = mesh.table("a", "b")
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    after = table_module.with_moves(
        table, {stripe: (mesh.incarnation("b"), "")}
    )
    grants = grants_of("a", after)
    grants.update_table(table)
    assert grants.table is after


def test_only_what_a_target_reports_is_granted_by_a_table_that_may_be_old():
    """A restore may have lost a version of the table that assigned the other
    stripes to other targets, so granting them would make two owners.
    """
    grants = grants_module.TargetGrants("a", mesh.HOLD_MS, 0.0)
    known = mesh.table("a", "b")
    own = known.owned_by(mesh.incarnation("a"))
    first, last = known.span(own[0])
    key_range = model.HeldRange(first, last, 1)
    # The heartbeat comes before the table is known.
    grants.on_heartbeat(10.0, mesh.heartbeat("a", 1, holds=[key_range]))
    grants.grants_reported_only = True
    grants.update_table(known)
    reply = grants.reply(20.0, 10.0, 1e9)
    assert [(each.first, each.last) for each in reply.granted_ranges] == [
        (first, last)
    ]
    grants.grants_reported_only = False
    assert grants.has_grant_changes()


def test_one_heartbeat_of_another_start_ends_no_hold():
    """One foreign heartbeat moved keys that the target held for 2 s more."""
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    granted(grants, 0.0)
    assert not grants.on_heartbeat(10.0, mesh.heartbeat("a", 9, started_ms=2))
    assert grants.on_heartbeat(20.0, mesh.heartbeat("a", 2))
    assert grants.former_incarnation_stripes() == []


def test_a_likely_end_keeps_the_keys_until_their_grants_have_run_out():
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    granted(grants, 0.0)
    for sequence, now_ms in ((1, 1_000.0), (2, 2_000.0)):
        grants.on_heartbeat(now_ms, mesh.heartbeat("a", sequence, started_ms=2))
    assert grants.incarnation == mesh.incarnation("a", 2)
    granted_until_ms = mesh.HOLD_MS * grants_module.CLOCK_DRIFT_FACTOR
    assert grants.former_until_ms >= granted_until_ms


@pytest.mark.parametrize("step", [1, 2, 100, 2**52])
def test_a_target_is_heard_after_a_foreign_sequence_number(step):
    """A number that no target reaches made all its heartbeats late ones."""
    grants = grants_of("a", mesh.table("a", "b"))
    granted(grants, 0.0, 7)
    grants.on_heartbeat(10.0, mesh.heartbeat("a", 7 + step))
    for sequence in range(8, 200):
        now_ms = 100.0 * sequence
        assert grants.on_heartbeat(now_ms, mesh.heartbeat("a", sequence))


def test_a_claim_ends_with_a_heartbeat_of_the_known_start():
    grants = grants_of("a", mesh.table("a", "b"))
    granted(grants, 0.0)
    for number in range(2, 12):
        now_ms = 1_000.0 * number
        assert not grants.on_heartbeat(
            now_ms - 500.0, mesh.heartbeat("a", number, started_ms=2)
        )
        assert grants.on_heartbeat(now_ms, mesh.heartbeat("a", number))


def test_a_target_frees_no_key_before_a_reply_has_left_it_out():
    """Another writer's heartbeat freed keys that the target went on to hold."""
    table = mesh.table("a", "b")
    grants = grants_of("a", table)
    granted(grants, 0.0)
    stripe = table.owned_by(mesh.incarnation("a"))[0]
    grants.begin_release({stripe: mesh.incarnation("b")})
    everything = [model.FreedRange(0, model.KEYS - 1, "feed")]
    grants.on_heartbeat(100.0, mesh.heartbeat("a", 2, freed=everything))
    assert grants.released(100.0) == {}
    granted(grants, 200.0, 3)
    grants.on_heartbeat(300.0, mesh.heartbeat("a", 4, freed=everything))
    assert grants.released(300.0) == {stripe: (mesh.incarnation("b"), "feed")}
