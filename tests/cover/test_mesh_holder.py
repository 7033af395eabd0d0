"""What a target may hold, with the faults that would give it two owners."""

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import target_grants as holder_module
from auburnrock.platform import heartbeats
from tests.common import mesh

LEASE_ENDS_MS = 1e9


def holder_of(member, table, now_ms=0.0):
    made = holder_module.TargetGrants(member, mesh.HOLD_MS, now_ms)
    made.unknown_until_ms = 0.0
    made.update_table(table)
    return made


def granted(holder, now_ms, sequence=1, **beat):
    holder.on_heartbeat(now_ms, mesh.heartbeat("a", sequence, **beat))
    return holder.reply(now_ms, now_ms, LEASE_ENDS_MS)


def stripes_in(table, rows):
    """The stripes of which rows hold every key; each in one row only."""
    found = []
    for row in rows:
        low, high = table.stripe_of(row.first), table.stripe_of(row.last)
        assert row.first == table.span(low)[0]
        assert row.last == table.span(high)[1]
        found.extend(range(low, high + 1))
    assert len(found) == len(set(found))
    return set(found)


def test_a_target_is_told_all_its_stripes_and_no_others():
    table = mesh.table("a", "b")
    reply = granted(holder_of("a", table), 0.0)
    own = table.owned_by(mesh.life("a"))
    assert stripes_in(table, reply.granted_ranges) == set(own)


def test_neighbouring_stripes_of_one_token_take_one_row():
    table = mesh.table("a", "b", "c", "d")
    reply = granted(holder_of("a", table), 0.0)
    assert (
        len(reply.granted_ranges)
        == len(table.stripes) // table.stripes_per_run // 4 + 1
    )


def test_a_stripe_in_the_middle_of_a_row_can_be_given_away():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    granted(holder, 0.0)
    own = table.owned_by(mesh.life("a"))
    holder.begin_release({own[1]: mesh.life("b")})
    reply = granted(holder, 100.0, 2)
    assert stripes_in(table, reply.granted_ranges) == set(own) - {own[1]}
    first, last = table.span(own[1])
    granted(holder, 200.0, 3, freed=[model.FreedRange(first, last, "feed")])
    assert holder.released(200.0) == {own[1]: (mesh.life("b"), "feed")}


def test_a_run_that_was_freed_as_one_row_is_told_as_one_row():
    table = mesh.table("a", "b")
    run = [
        index
        for index in table.owned_by(mesh.life("b"))[: table.stripes_per_run]
    ]
    after = table_module.with_moves(
        table, {index: (mesh.life("a"), "feed") for index in run}
    )
    reply = granted(holder_of("a", after), 0.0)
    assert [row.handover for row in reply.granted_ranges if row.handover] == [
        "feed"
    ]


def test_a_reply_fits_four_kibibytes_and_keeps_what_is_held():
    table = mesh.table(*"abcdefgh")
    moves = {
        index: (mesh.life("a"), "5c0e7a21d94b36f8")
        for index in range(len(table.stripes))
        if table.owners[table.stripes[index].owner] != mesh.life("a")
    }
    holder = holder_of("a", table)
    first = granted(holder, 0.0)
    holder.update_table(table_module.with_moves(table, moves))
    second = granted(holder, 100.0, 2, holds=first.granted_ranges)
    assert len(heartbeats.encode_reply(second)) <= 4_096
    kept = stripes_in(table, second.granted_ranges)
    assert stripes_in(table, first.granted_ranges) <= kept


def test_the_hold_ends_before_the_lease_on_a_slow_clock():
    holder = holder_of("a", mesh.table("a", "b"))
    holder.on_heartbeat(0.0, mesh.heartbeat("a", 1))
    reply = holder.reply(10.0, 0.0, 1_000.0)
    assert 10.0 + reply.hold_ms * 1.02 <= 1_000.0


def test_without_a_lease_nothing_is_renewed():
    holder = holder_of("a", mesh.table("a", "b"))
    holder.on_heartbeat(0.0, mesh.heartbeat("a", 1))
    assert holder.reply(10.0, 0.0, 10.0).granted_ranges is None


def test_a_reply_that_was_held_up_renews_nothing():
    holder = holder_of("a", mesh.table("a", "b"))
    holder.on_heartbeat(0.0, mesh.heartbeat("a", 1))
    assert holder.reply(5_000.0, 0.0, LEASE_ENDS_MS).granted_ranges is None


def test_keys_given_away_wait_for_the_target_to_free_them():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    granted(holder, 0.0)
    stripe = table.owned_by(mesh.life("a"))[0]
    holder.begin_release({stripe: mesh.life("b")})
    assert holder.released(100.0) == {}
    first, last = table.span(stripe)
    freed = [model.FreedRange(first, last, "feed")]
    granted(holder, 200.0, 2, freed=freed)
    assert holder.released(200.0) == {stripe: (mesh.life("b"), "feed")}


def test_keys_that_the_target_still_works_on_are_not_released():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    granted(holder, 0.0)
    stripe = table.owned_by(mesh.life("a"))[0]
    holder.begin_release({stripe: mesh.life("b")})
    first, last = table.span(stripe)
    freed = [model.FreedRange(first, last, "feed")]
    holds = [model.HeldRange(first, first, 1)]
    granted(holder, 200.0, 2, freed=freed, holds=holds)
    assert holder.released(200.0) == {}


def test_keys_of_a_silent_target_wait_for_the_end_of_its_hold():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    reply = granted(holder, 0.0)
    stripe = table.owned_by(mesh.life("a"))[0]
    holder.begin_release({stripe: mesh.life("b")})
    assert holder.released(reply.hold_ms * 1.02) == {}
    late_ms = reply.hold_ms * holder_module.CLOCK_DRIFT_FACTOR + 1
    assert stripe in holder.released(late_ms)


def test_an_earlier_process_may_have_granted_just_before_this_one():
    holder = holder_module.TargetGrants("a", mesh.HOLD_MS, 1_000.0)
    table = mesh.table("a", "b")
    holder.update_table(table)
    holder.on_heartbeat(1_100.0, mesh.heartbeat("a", 9))
    stripe = table.owned_by(mesh.life("a"))[0]
    holder.begin_release({stripe: mesh.life("b")})
    assert holder.released(1_200.0) == {}
    assert stripe in holder.released(1_000.0 + mesh.HOLD_MS * 1.03)


def freeing(holder, stripe):
    """Gives a stripe away and lets the target free it."""
    granted(holder, 0.0)
    holder.begin_release({stripe: mesh.life("b")})
    first, last = holder.table.span(stripe)
    granted(holder, 100.0, 2, freed=[model.FreedRange(first, last, "feed")])
    return holder.released(100.0)


def test_keys_in_an_open_change_are_not_granted_again():
    """Found by a hunt: a new plan gave a freed key back while the change
    that moved it was on its way, and two targets held it for 0.6 s."""
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    stripe = table.owned_by(mesh.life("a"))[0]
    holder.begin_change(freeing(holder, stripe))
    holder.begin_release({})
    reply = granted(holder, 200.0, 3)
    assert stripe not in stripes_in(table, reply.granted_ranges)
    assert stripe in holder.released(200.0)


def test_keys_of_a_refused_change_are_granted_again():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    stripe = table.owned_by(mesh.life("a"))[0]
    holder.begin_change(freeing(holder, stripe))
    holder.begin_release({})
    holder.change_failed()
    reply = granted(holder, 200.0, 3)
    assert stripe in stripes_in(table, reply.granted_ranges)


def test_a_change_whose_answer_was_lost_stays_open_when_a_try_is_refused():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    stripe = table.owned_by(mesh.life("a"))[0]
    holder.begin_change(freeing(holder, stripe))
    holder.change_unanswered()
    holder.change_not_sent()
    holder.begin_release({})
    reply = granted(holder, 200.0, 3)
    assert stripe not in stripes_in(table, reply.granted_ranges)


def test_an_open_change_ends_with_the_next_version_of_the_table():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    stripe = table.owned_by(mesh.life("a"))[0]
    moves = freeing(holder, stripe)
    holder.begin_change(moves)
    holder.update_table(table_module.with_moves(table, moves))
    assert not holder.pending
    assert stripe not in holder.own_stripes()


def test_an_ended_target_holds_nothing():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    granted(holder, 0.0)
    holder.on_target_ended()
    assert holder.own_stripes() == []
    assert holder.former_incarnation_stripes() == table.owned_by(mesh.life("a"))


def test_a_heartbeat_of_an_earlier_start_changes_nothing():
    holder = holder_of("a", mesh.table("a", "b"))
    holder.on_heartbeat(0.0, mesh.heartbeat("a", 1, started_ms=2))
    assert not holder.on_heartbeat(1.0, mesh.heartbeat("a", 99, started_ms=1))
    assert holder.incarnation == mesh.life("a", 2)


def test_a_heartbeat_of_an_ended_start_does_not_bring_it_back():
    holder = holder_of("a", mesh.table("a", "b"))
    holder.on_heartbeat(0.0, mesh.heartbeat("a", 5, started_ms=2))
    holder.on_target_ended()
    assert not holder.on_heartbeat(1.0, mesh.heartbeat("a", 9, started_ms=1))


def test_a_late_heartbeat_of_the_same_start_is_ignored():
    holder = holder_of("a", mesh.table("a", "b"))
    assert holder.on_heartbeat(0.0, mesh.heartbeat("a", 5))
    assert not holder.on_heartbeat(1.0, mesh.heartbeat("a", 4))


def test_a_new_start_gets_no_keys_under_the_old_fences():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    granted(holder, 0.0)
    holder.on_heartbeat(10.0, mesh.heartbeat("a", 1, started_ms=2))
    reply = holder.reply(10.0, 10.0, LEASE_ENDS_MS)
    assert reply.granted_ranges == []


def test_the_target_serves_a_key_only_within_its_hold():
    table = mesh.table("a", "b")
    holder = holder_of("a", table)
    reply = granted(holder, 0.0)
    key = reply.granted_ranges[0].first
    assert holder.may_serve(100.0, key)
    assert not holder.may_serve(reply.hold_ms, key)
    other = table.span(table.owned_by(mesh.life("b"))[0])[0]
    assert not holder.may_serve(100.0, other)


def test_a_handover_is_told_once_until_the_target_reports_the_row():
    table = mesh.table("a", "b")
    stripe = table.owned_by(mesh.life("b"))[0]
    after = table_module.with_moves(table, {stripe: (mesh.life("a"), "feed")})
    holder = holder_of("a", after)
    first = granted(holder, 0.0)
    assert [row.handover for row in first.granted_ranges if row.handover] == [
        "feed"
    ]
    second = granted(holder, 100.0, 2, holds=first.granted_ranges)
    assert not [row for row in second.granted_ranges if row.handover]


def test_an_older_table_is_ignored():
    table = mesh.table("a", "b")
    stripe = table.owned_by(mesh.life("a"))[0]
    after = table_module.with_moves(table, {stripe: (mesh.life("b"), "")})
    holder = holder_of("a", after)
    holder.update_table(table)
    assert holder.table is after


def test_only_what_a_target_reports_is_granted_by_a_table_that_may_be_old():
    """A lost version may have given the rest to others."""
    made = holder_module.TargetGrants("a", mesh.HOLD_MS, 0.0)
    known = mesh.table("a", "b")
    own = known.owned_by(mesh.life("a"))
    first, last = known.span(own[0])
    row = model.HeldRange(first, last, 1)
    # It comes before the table is known.
    made.on_heartbeat(10.0, mesh.heartbeat("a", 1, holds=[row]))
    made.grants_reported_only = True
    made.update_table(known)
    reply = made.reply(20.0, 10.0, 1e9)
    assert [(each.first, each.last) for each in reply.granted_ranges] == [
        (first, last)
    ]
    made.grants_reported_only = False
    assert made.has_grant_changes()
