import contextlib
import io

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from auburnrock import errors
from auburnrock import records
from auburnrock.control import views
from auburnrock.ctl import commands
from auburnrock.ctl import report
from auburnrock.ctl import timeline
from auburnrock.shells import logs
from tests.common import control_sources
from tests.common import platforms

DONE = report.ExitCode.DONE
REFUSED = report.ExitCode.REFUSED
UNREACHABLE = report.ExitCode.UNREACHABLE
CLOSED_ADDRESS = "127.0.0.1:1"


class Fleet:
    """Fake nodes recorded in a store.

    Attributes:
      platform: the platform that runs the store.
      stack: exit stack that stops the fake nodes.
      sources: fake status sources of the nodes, by name.
      addresses: host:port of the nodes' control ports, by name.
    """

    def __init__(self, platform, stack):
        self.platform = platform
        self.stack = stack
        self.sources = {}
        self.addresses = {}

    async def add(self, name, incarnation, **changes):
        view = control_sources.status(
            name, incarnation=incarnation, configuration_revision=1
        )
        source = control_sources.FakeSource(view)
        address = await self.stack.enter_async_context(
            control_sources.RunningSource(source)
        )
        self.sources[name] = source
        self.addresses[name] = address
        self.platform.add_node(name, incarnation, address, **changes)
        return source

    def add_unreachable(self, name, incarnation, **changes):
        self.platform.add_node(name, incarnation, CLOSED_ADDRESS, **changes)

    async def run(self, *words):
        return await commands.execute(
            [f"--platform={self.platform.address}", *words]
        )

    async def result(self, *words):
        finished = await self.run("--json", *words)
        return finished.code, msgspec.json.decode(finished.output)


@pytest.fixture
async def fleet():
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(platforms.RunningPlatform())
        fleet = Fleet(platform, stack)
        await fleet.add("portal-1", 11)
        await fleet.add("portal-2", 12)
        yield fleet


async def test_status_shows_all_nodes_and_which_did_not_respond(fleet):
    finished = await fleet.run("status")
    assert finished.code is DONE
    fleet.add_unreachable("portal-3", 13)
    finished = await fleet.run("status")
    assert finished.code is UNREACHABLE
    assert "portal-2" in finished.output
    assert "no answer from portal-3" in finished.output


async def test_an_ended_node_is_not_reported_as_unreachable(fleet):
    fleet.add_unreachable("portal-1", 3, state=records.NodeState.ENDED)
    code, answer = await fleet.result("status")
    assert code is DONE
    assert [n["problem"] for n in answer["result"]["nodes"]] == [
        "ended",
        "",
        "",
    ]


async def test_a_response_of_the_next_incarnation_is_not_accepted(fleet):
    address = fleet.addresses["portal-1"]
    fleet.platform.add_node("portal-1", 3, address)
    code, answer = await fleet.result("status")
    assert code is UNREACHABLE
    assert "another incarnation" in answer["result"]["nodes"][0]["problem"]


async def test_status_of_one_node_works_without_the_store(fleet):
    address = fleet.addresses["portal-1"]
    finished = await commands.execute([f"--node={address}", "status"])
    assert finished.code is DONE
    for text in ("lease live", "the loss of zone piran", "portal-2"):
        assert text in finished.output


async def test_owner_shows_the_owner_and_the_reason(fleet):
    finished = await fleet.run("owner", "hintsvc", "solver-1")
    assert finished.code is DONE
    assert "shard 0 (hashed)" in finished.output
    failure = errors.Failure(errors.ErrorKind.UNKNOWN_SERVICE, "no such")
    for source in fleet.sources.values():
        source.failure = failure
    code, answer = await fleet.result("owner", "nope", "k")
    assert code is REFUSED
    assert answer["error"]["kind"] == "unknown_service"


async def test_owner_calls_the_next_node_if_one_is_unreachable(fleet):
    fleet.add_unreachable("a-first", 1)
    assert (await fleet.run("owner", "hintsvc", "solver-1")).code is DONE


async def test_wait_ends_once_every_node_applies_the_revision(fleet):
    finished = await fleet.run("wait", "1")
    assert finished.code is DONE
    assert "on all 2 nodes" in finished.output
    code, answer = await fleet.result("wait", "2", "--timeout=0")
    assert code is REFUSED
    assert answer["result"]["missing"] == ["portal-1", "portal-2"]


async def test_wait_polls_until_a_slow_node_applies_the_revision(fleet):
    slow = fleet.sources["portal-2"]
    calls = []

    def status():
        calls.append(None)
        revision = 1 if len(calls) > 2 else 0
        return control_sources.status(
            "portal-2", incarnation=12, configuration_revision=revision
        )

    slow.status = status
    assert (await fleet.run("wait", "1")).code is DONE
    assert len(calls) == 3


@pytest.mark.parametrize(
    ("state", "code"),
    [
        (records.NodeState.SEALING, REFUSED),
        (records.NodeState.DRAINING, REFUSED),
        (records.NodeState.ENDED, DONE),
    ],
)
async def test_wait_counts_each_node_that_may_still_serve(fleet, state, code):
    fleet.add_unreachable("portal-3", 13, state=state)
    assert (await fleet.run("wait", "1", "--timeout=0")).code is code


async def test_drain_stops_the_latest_node_of_a_name(fleet):
    fleet.add_unreachable("portal-2", 2)
    assert (await fleet.run("drain", "portal-2")).code is DONE
    assert fleet.sources["portal-2"].drains == 1
    assert fleet.sources["portal-1"].drains == 0
    finished = await fleet.run("drain", "portal-9")
    assert "there are: portal-1, portal-2" in finished.error


@pytest.mark.parametrize("number", ["13", "000000000000000d"])
async def test_an_end_is_confirmed_to_another_node(fleet, number):
    fleet.add_unreachable("a-first", 13)
    assert (await fleet.run("confirm-end", number)).code is DONE
    assert fleet.sources["portal-1"].confirmed_ends == [13]
    assert fleet.sources["portal-2"].confirmed_ends == []


async def test_the_end_of_a_node_that_responds_is_not_confirmed(fleet):
    finished = await fleet.run("confirm-end", "11")
    assert finished.code is REFUSED
    assert "auburnctl drain portal-1" in finished.error
    assert (await fleet.run("confirm-end", "99")).code is report.ExitCode.USAGE
    assert fleet.sources["portal-2"].confirmed_ends == []


@pytest.mark.parametrize(
    "number", ["x", "-1", "1e3", str(2**64), "٣", "B" * 16]
)
async def test_an_invalid_number_is_a_usage_error(fleet, number):
    for command in ("wait", "confirm-end"):
        finished = await fleet.run(command, "--", number)
        assert finished.code is report.ExitCode.USAGE


async def test_undecodable_node_records_are_listed_beside_the_others(fleet):
    fleet.platform.write("nodes/odd/1", b"\xff")
    fleet.platform.write("nodes/odd/2", b'{"name": 5}')
    code, answer = await fleet.result("status")
    assert code is UNREACHABLE
    assert len(answer["result"]["nodes"]) == 2
    assert answer["result"]["unreadable"] == ["nodes/odd/1", "nodes/odd/2"]
    code, answer = await fleet.result("wait", "1", "--timeout=0")
    assert code is REFUSED
    assert answer["result"]["missing"] == ["nodes/odd/1", "nodes/odd/2"]


async def test_no_revision_is_in_force_without_any_node():
    async with platforms.RunningPlatform() as platform:
        flag = f"--platform={platform.address}"
        finished = await commands.execute([flag, "wait", "0", "--timeout=0"])
    assert finished.code is REFUSED


async def test_the_time_line_merges_all_processes_by_time(fleet):
    for wall_ms, name in ((30, "portal-1"), (10, "portal-2"), (20, "portal-1")):
        event = logs.Event(wall_ms, name, "sealed", [("by", "portal-3")])
        fleet.sources[name].event_log.recent.append(event)
    finished = await fleet.run("timeline")
    assert finished.output.splitlines() == [
        "1970-01-01T00:00:00.010Z portal-2 sealed by=portal-3",
        "1970-01-01T00:00:00.020Z portal-1 sealed by=portal-3",
        "1970-01-01T00:00:00.030Z portal-1 sealed by=portal-3",
    ]
    code, answer = await fleet.result("timeline", "--since=3600")
    assert (code, answer["result"]["events"]) == (DONE, [])


async def test_a_time_line_lists_the_nodes_that_did_not_respond(fleet):
    fleet.add_unreachable("portal-3", 13)
    code, answer = await fleet.result("timeline")
    assert code is UNREACHABLE
    assert answer["result"]["missing"] == ["portal-3"]


async def test_the_time_line_of_log_files_has_the_events_of_ended_processes(
    tmp_path,
):
    paths = []
    for name in ("portal-1", "portal-2"):
        stream = io.StringIO()
        logs.event_log(name, stream).write("started", reason='a "b" \\n\n')
        path = tmp_path / f"{name}.log"
        path.write_text(f"not a line of ours\n{stream.getvalue()}")
        paths.append(str(path))
    finished = await commands.execute(["--json", "timeline", *paths])
    events = msgspec.json.decode(finished.output)["result"]["events"]
    assert {event["process"] for event in events} == {"portal-1", "portal-2"}
    assert events[0]["fields"] == [{"key": "reason", "value": 'a "b" \\n\n'}]


NAMES = strategies.text("abcdefgh_", min_size=1, max_size=6)


@hypothesis.given(
    NAMES, strategies.lists(strategies.tuples(NAMES, strategies.text()))
)
@hypothesis.example("key", [("key", "\r")])
@hypothesis.example("key", [("key", "\u2028 \ud800")])
def test_a_log_line_reads_back_as_it_was_written(event, pairs):
    line = logs.key_value_line(
        {"process": "portal-1", "message": event, "pairs": pairs}
    )
    assert line.isprintable()
    read = timeline.parse_line(line)
    fields = [views.Field(key, value) for key, value in pairs]
    assert (read.process, read.event, read.fields) == (
        "portal-1",
        event,
        fields,
    )


@hypothesis.given(strategies.text())
def test_any_text_is_a_line_or_none(text):
    timeline.parse_line(text)
