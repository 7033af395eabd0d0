import pytest

from auburnrock.engine import actions
from auburnrock.engine import store_write
from auburnrock.store import base as platform_base

KEY = "nodes/a/1"
OLD = platform_base.Value(KEY, b"old", 7)
OURS = platform_base.Value(KEY, b"new by w1", 8)
FENCE = platform_base.Value(KEY, b"old by w2", 8)
OTHER = platform_base.Value(KEY, b"other", 9)
DONE = actions.StoreOutcome.DONE
CONFLICT = actions.StoreOutcome.CONFLICT
UNKNOWN = actions.StoreOutcome.UNKNOWN
UNAVAILABLE = actions.StoreOutcome.UNAVAILABLE


def run(answers, repeats=0):
    """Answers each call in turn; returns the written data and the outcome.

    A read is returned as "read".
    """
    change = store_write.Change(KEY, OURS.data, "w1", OLD.revision, FENCE.data)
    write = store_write.StoreWrite(change, repeats=repeats)
    issued = write.start(0)
    calls = []
    outcome = None
    for outcome_kind, current in answers:
        issued = issued or write.tick(10**6)
        (call,) = issued
        calls.append(getattr(call, "data", "read"))
        result = actions.StoreResult(call.token, outcome_kind, current)
        issued, outcome = write.on_result(0, result)
    assert not issued
    return calls, outcome and outcome.kind.value


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([(DONE, OURS)], "won"),
        ([(CONFLICT, OTHER)], "lost"),
        ([(CONFLICT, None)], "lost"),
        ([(UNAVAILABLE, None)], "not_written"),
        ([(UNKNOWN, None), (DONE, OURS)], "won"),
        ([(UNKNOWN, None), (DONE, OTHER)], "lost"),
        ([(UNKNOWN, None), (DONE, OLD), (DONE, FENCE)], "given_up"),
        ([(UNKNOWN, None), (DONE, OLD), (CONFLICT, OURS)], "won"),
        ([(UNKNOWN, None), (DONE, OLD), (CONFLICT, OTHER)], "lost"),
        (
            [(UNKNOWN, None), (DONE, OLD), (UNKNOWN, None), (DONE, FENCE)],
            "given_up",
        ),
        ([(UNKNOWN, None), (UNAVAILABLE, None), (DONE, OURS)], "won"),
        # A contradiction: a conflict although the expected revision is current.
        ([(CONFLICT, OLD), (DONE, OURS)], "won"),
    ],
)
def test_each_sequence_of_answers_settles_the_outcome(answers, expected):
    assert run(answers)[1] == expected


def test_an_old_value_read_back_does_not_settle_the_outcome():
    calls, outcome = run([(UNKNOWN, None), (DONE, OLD)] * 1 + [(UNKNOWN, None)])
    assert calls == [OURS.data, "read", FENCE.data]
    assert outcome is None


def test_a_write_is_repeated_before_it_is_fenced():
    calls, outcome = run(
        [(UNKNOWN, None), (DONE, OLD)] * 2 + [(DONE, FENCE)], repeats=1
    )
    assert calls == [OURS.data, "read", OURS.data, "read", FENCE.data]
    assert outcome == "given_up"


def test_an_unavailable_store_leaves_an_unknown_outcome_unknown():
    _, outcome = run(
        [(UNKNOWN, None), (DONE, OLD), (UNAVAILABLE, None)], repeats=1
    )
    assert outcome is None


def test_a_result_of_an_earlier_call_is_ignored():
    change = store_write.Change(KEY, OURS.data, "w1", OLD.revision, FENCE.data)
    write = store_write.StoreWrite(change)
    (first,) = write.start(0)
    write.on_result(0, actions.StoreResult(first.token, UNKNOWN))
    late = actions.StoreResult(first.token, DONE, OURS)
    assert write.on_result(0, late) == ([], None)
    assert write.owns(first.token)


def test_a_record_without_its_writer_is_refused():
    with pytest.raises(AssertionError, match="does not hold its writer"):
        store_write.StoreWrite(store_write.Change(KEY, b"x", "w1", 0))
