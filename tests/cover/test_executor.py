import asyncio

import uuid_utils

from auburnrock import errors
from auburnrock import messages
from auburnrock.engine import idempotency
from auburnrock.shells import clock
from auburnrock.shells import execution
from auburnrock.shells import executor
from auburnrock.shells import logs
from auburnrock.shells import target_slots
from auburnrock.targets import base as targets_base
from auburnrock_standins import processes
from auburnrock_standins import target_switches
from tests.common import standins

SHARD = 3


class Target(targets_base.Target):
    """Answers all work; counts it."""

    def __init__(self):
        self.runs = 0

    async def run(self, work, fresh_connection=False):
        self.runs += 1
        return targets_base.WorkAnswer(status=200, headers=[], body=b"done")

    async def grant(self, grant):
        raise AssertionError("nothing here calls this")

    async def cancel(self, request_id):
        raise AssertionError("nothing here calls this")

    async def drain(self):
        return

    async def close(self):
        return


class Admission(execution.Admission):
    """Admits everything at one epoch."""

    def __init__(self):
        self.epoch: int | errors.Failure = 1
        self.the_target = Target()
        self.places = target_slots.TargetSlots(20, 120)

    def admit(self, service, shard, key):
        return self.epoch

    async def admit_after_move(self, service, shard, key, deadline_ms):
        return self.epoch

    def target(self):
        return self.the_target

    def slots(self):
        return self.places

    def watermark(self):
        return 0

    def on_idle(self, *_arguments):
        return


class NoCrash(execution.CrashWatch):
    async def after_lost_connection(self):
        return


class Moved(execution.ResultsSource):
    """Brings what the former owner kept only once it is waited for."""

    def __init__(self, window, exported):
        self.window = window
        self.exported = exported

    async def wait_for(self, service, shard):
        self.window.adopt(self.exported)


def make(admission) -> executor.Executor:
    log = logs.event_log("test")
    return executor.Executor(admission, NoCrash(), 1, log, 500)


def deposit(key: str, first_try: bool) -> messages.Request:
    return messages.Request(
        0,
        "r",
        "svc",
        "POST",
        "/deposits",
        [],
        b"",
        "a",
        SHARD,
        2_000,
        False,
        key,
        "caller",
        first_try,
    )


def lookup(request_id: str) -> messages.Request:
    return messages.Request(
        0,
        request_id,
        "svc",
        "GET",
        "/sailings",
        [],
        b"",
        "",
        -1,
        500,
        True,
        "",
        "caller",
    )


async def test_a_repeat_waits_for_the_results_that_a_move_brings():
    key = str(uuid_utils.uuid7())
    former = make(Admission())
    assert (await former.execute(deposit(key, True))).status == 200
    kept = former.results.export("svc", SHARD)
    admission = Admission()
    admission.epoch = 2
    owner = make(admission)
    owner.results.own("svc", SHARD, 2, clock.wall_ms() + 1)
    owner.results_source = Moved(owner.results, kept)
    answer = await owner.execute(deposit(key, False))
    assert isinstance(answer, messages.Response), answer
    assert admission.the_target.runs == 0


async def test_a_shard_that_leaves_meanwhile_is_refused():
    admission = Admission()
    owner = make(admission)

    class Leaving(execution.ResultsSource):
        async def wait_for(self, service, shard):
            admission.epoch = errors.Failure(errors.ErrorKind.MOVING, "")

    owner.results_source = Leaving()
    answer = await owner.execute(deposit(str(uuid_utils.uuid7()), True))
    assert answer.kind is errors.ErrorKind.MOVING
    assert isinstance(owner.results, idempotency.ResultWindow)
    assert owner.results.shards == {}


async def test_work_that_must_not_repeat_needs_a_shard():
    """Only the owner of a shard knows whether it has run."""
    admission = Admission()
    request = deposit(str(uuid_utils.uuid7()), True)
    request.shard = -1
    answer = await make(admission).execute(request)
    assert answer.kind is errors.ErrorKind.MISSING_IDEMPOTENCY_KEY
    assert admission.the_target.runs == 0


async def test_silence_that_the_entry_ends_costs_no_later_request():
    """Its second attempt was answered by another node and ends the first."""
    async with standins.target() as target:
        admission = Admission()
        admission.the_target = target.client
        owner = make(admission)
        await asyncio.gather(
            *(owner.execute(lookup(f"r{n}")) for n in range(5))
        )
        await processes.switch(
            target.address,
            target_switches.TargetSwitches(silence_connections=True),
        )
        silent = asyncio.create_task(owner.execute(lookup("silent")))
        usual_ms = owner.answer_time.silent_after_ms()
        await asyncio.sleep(2 * usual_ms / executor.MILLISECONDS_PER_SECOND)
        silent.cancel()
        await asyncio.wait([silent])
        later = await asyncio.gather(
            *(owner.execute(lookup(f"later{n}")) for n in range(4))
        )
    assert [type(answer) for answer in later] == [messages.Response] * 4
