"""Tests that requests for a moving shard wait instead of being refused."""

import asyncio
import io
import types

import uuid_utils

from auburnrock import messages
from auburnrock.engine import actions
from auburnrock.engine import grants as grants_lib
from auburnrock.engine import idempotency
from auburnrock.engine import quarantine
from auburnrock.engine import record_writer
from auburnrock.engine import timing
from auburnrock.engine import view as view_lib
from auburnrock.shells import clock
from auburnrock.shells import execution
from auburnrock.shells import executor
from auburnrock.shells import logs
from auburnrock.shells import move_wait
from auburnrock.shells import target_slots
from auburnrock.targets import base as targets_base
from tests.common import assignment

OWN = 7
LONG_MS = 60_000


def make_wait(releases):
    view = view_lib.View(assignment.replica_lib.Replica())
    view.apply_value(
        assignment.platform_base.Value(
            assignment.records.page_key(assignment.SERVICE, 0),
            assignment.records.encode_page(assignment.page([OWN, OWN])),
            1,
        )
    )
    grants = grants_lib.Grants(OWN, timing.Timing())
    grants.on_announced(
        targets_base.Announcement(
            service=assignment.SERVICE,
            address="127.0.0.1:1",
            incarnation="target",
            clock_ms=0,
            checks_grants=True,
        ),
        0,
    )
    held = types.SimpleNamespace(releases={assignment.SERVICE: releases})
    return move_wait.MoveWait(held, grants, view.pages)


async def test_a_request_is_held_until_the_shard_is_not_moving():
    releases = {0: "moving"}
    wait = make_wait(releases)
    await wait.until_moved(assignment.SERVICE, 1, LONG_MS)
    held = asyncio.create_task(wait.until_moved(assignment.SERVICE, 0, LONG_MS))
    wait.on_step()
    await asyncio.sleep(0)
    assert not held.done()
    releases.clear()
    wait.on_step()
    await held


async def test_a_request_waits_for_the_targets_grant_of_its_shard():
    wait = make_wait({})
    held = asyncio.create_task(
        wait.until_granted(assignment.SERVICE, 1, LONG_MS)
    )
    await asyncio.sleep(0)
    assert not held.done()
    wait.grants.next([targets_base.GrantedShard(shard=1, epoch=1)], 900, 1)
    wait.grants.on_answer(
        targets_base.GrantAnswer(
            accepted=True, incarnation="target", clock_ms=2, running={}
        ),
        2,
    )
    wait.on_step()
    await held


async def test_a_request_is_not_held_past_its_deadline():
    wait = make_wait({0: "moving"})
    await wait.until_moved(assignment.SERVICE, 0, 1)
    await wait.until_granted(assignment.SERVICE, 0, 1)


def test_a_writer_retries_at_once_after_its_first_conflicts():
    writer = record_writer.RecordWriter("part", OWN)
    for _ in range(record_writer.IMMEDIATE_RETRIES):
        swap = writer.swap("pages/a/00000", b"", 1)
        result = actions.StoreResult(
            swap.token, actions.StoreOutcome.CONFLICT, None
        )
        writer.on_result(result, 100)
        assert writer.may_write("pages/a/00000", 100)
    swap = writer.swap("pages/a/00000", b"", 1)
    writer.on_result(
        actions.StoreResult(swap.token, actions.StoreOutcome.CONFLICT, None),
        100,
    )
    assert not writer.may_write("pages/a/00000", 100)


class Admission(execution.Admission):
    """Admission of a node that owns shard 0 at epoch 2 and has no target."""

    def admit(self, service, shard, key):
        return 2

    async def admit_after_move(self, service, shard, key, deadline_ms):
        return 2

    def target(self):
        return None

    def slots(self):
        return target_slots.TargetSlots(1, 1)

    def watermark(self):
        return 0

    def on_idle(self, service, shard):
        return None


class LateResults(execution.ResultsSource):
    """Delivers the former owner's stored results with a delay."""

    def __init__(self, window, kept):
        self.window = window
        self.kept = kept

    async def wait_for(self, service, shard):
        await asyncio.sleep(0)
        self.window.own(service, shard, 2, 0)
        assert self.window.adopt(self.kept)


async def test_a_retry_at_the_next_owner_waits_for_the_stored_answer():
    """Guards against an unknown outcome for a request that has an answer.

    Without the wait the retry ran before the former owner's results arrived.
    """
    name = str(uuid_utils.uuid7())
    request = messages.Request(
        stream=1,
        request_id="r",
        service=assignment.SERVICE,
        method="POST",
        path="/",
        headers=[],
        body=b"",
        key="k",
        shard=0,
        deadline_ms=1_000,
        idempotent=False,
        idempotency_key=name,
        caller="",
    )
    former = idempotency.ResultWindow()
    former.own(assignment.SERVICE, 0, 1, 0)
    work = idempotency.WorkName(assignment.SERVICE, "k", "", name)
    mark = quarantine.fingerprint(assignment.SERVICE, "POST", "/", "k", b"")
    former.begin(clock.wall_ms(), 0, work, mark, True)
    answer = messages.Response(1, "first", 200, [], b"done", 6, 1)
    former.done(0, work, answer)
    event_log = logs.event_log("test", io.StringIO())
    owner = executor.Executor(Admission(), None, OWN, event_log, 500)
    owner.results_source = LateResults(
        owner.results, former.export(assignment.SERVICE, 0)
    )
    repeated = await owner.execute(request)
    assert isinstance(repeated, messages.Response), repeated
    assert repeated.body == b"done"
