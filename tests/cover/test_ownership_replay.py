"""Tests that the ownership oracle finds each kind of violation in a run."""

import pytest

from auburnrock import records
from auburnrock.replay import ownership
from auburnrock_standins import journal


def start(epoch, at_ms, host="a", target="a1", shard=0):
    return ownership.Start(
        service="s",
        shard=shard,
        epoch=epoch,
        host=host,
        target=target,
        at_ms=at_ms,
    )


def page(at_ms, *entries):
    shards = [records.ShardEntry(*entry) for entry in entries]
    return ownership.ObservedPage(
        at_ms, records.AssignmentPage(service="s", page=0, entries=shards)
    )


def node(at_ms, incarnation, target, state=records.NodeState.ACTIVE):
    record = records.NodeRecord(
        name="n",
        incarnation=incarnation,
        region="r",
        zone="z",
        address="127.0.0.1",
        peer_port=1,
        http_port=2,
        target_incarnation=target,
        state=state,
    )
    return ownership.ObservedNode(at_ms, record)


def sound_run():
    """Returns a run in which shard 0 moves to node 2 and its target restarts.

    Node 1 owns both shards at first and ends later.
    """
    return ownership.Run(
        starts=[
            start(1, 10),
            start(1, 20),
            start(2, 40, "b", "b1"),
            start(2, 60, "b", "b2"),
            start(1, 70, shard=1),
        ],
        pages=[
            page(1, (1, 1), (1, 1)),
            page(30, (2, 2), (1, 1)),
        ],
        nodes=[
            node(1, 1, "a1"),
            node(1, 2, "b1"),
            node(50, 2, "b2"),
            node(80, 1, "a1", records.NodeState.ENDED),
        ],
    )


def test_a_sound_run_has_no_violations():
    assert ownership.find_violations(sound_run()) == []


@pytest.mark.parametrize(
    "violate",
    [
        pytest.param(lambda r: r.starts.append(start(1, 41)), id="lower epoch"),
        pytest.param(
            lambda r: r.starts.append(start(2, 70, "a")), id="epoch of another"
        ),
        pytest.param(
            lambda r: r.starts.append(start(2, 70, "b", "b1")),
            id="a former target",
        ),
        pytest.param(
            lambda r: r.starts.append(start(1, 90, shard=1)), id="after its end"
        ),
        pytest.param(
            lambda r: r.starts.append(start(2, 30, "b", "stranger")),
            id="beside no owner",
        ),
        pytest.param(
            lambda r: r.pages.append(page(90, (1, 1), (1, 1))), id="epoch falls"
        ),
        pytest.param(
            lambda r: r.pages.append(page(90, (1, 2), (1, 1))),
            id="owner without epoch",
        ),
        pytest.param(
            lambda r: r.pages.append(page(90, (2, 2))), id="lost entry"
        ),
    ],
)
def test_the_oracle_finds_a_violation(violate):
    run = sound_run()
    violate(run)
    assert ownership.find_violations(run)


def test_a_journal_line_cut_short_by_a_kill_is_ignored():
    line = (
        'event=execution {"request_id":"r","idempotency_key":"","key":"k",'
        '"shard":3,"epoch":4,"incarnation":"t","started_ms":5}'
    )
    found = journal.read_lines(f"other\n{line}\n{line[:-20]}")
    assert [each.shard for each in found] == [3]
