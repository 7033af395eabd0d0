import asyncio
import contextlib

import msgspec
import pytest
import result

from auburnrock import errors
from auburnrock import records
from auburnrock.control import client as control_client
from auburnrock.control import control_pb2
from auburnrock.control import conversion
from auburnrock.control import views
from tests.common import control_sources

NO_ANSWER = object()
INVALID_ANSWERS = [b"", b"\x00" * 64, b"HTTP/1.1 200 OK\r\n\r\n", NO_ANSWER]
SHORT_TIMEOUT_S = 0.1


@contextlib.asynccontextmanager
async def node(source):
    async with control_sources.RunningSource(source) as address:
        client = control_client.connect(address)
        yield client
        client.close()


@contextlib.asynccontextmanager
async def listening(answer):
    """Yields a client of a port that replies `answer` to any connection."""

    async def serve(reader, writer):
        if answer is NO_ANSWER:
            await reader.read()
        else:
            await reader.read(1)
            writer.write(answer)
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    client = control_client.connect(f"{host}:{port}", SHORT_TIMEOUT_S)
    yield client
    client.close()
    listener.close()


async def test_a_status_arrives_unchanged():
    source = control_sources.FakeSource()
    async with node(source) as client:
        assert await client.status() == result.Ok(source.view)
        source.view = control_sources.status(target=None, members=[])
        assert await client.status() == result.Ok(source.view)


async def test_a_brief_status_does_not_grow_with_the_fleet():
    own = views.Member("portal-1", 3, "piran", records.NodeState.ACTIVE)
    members = [*control_sources.status().members, own]
    view = control_sources.status(incarnation=3, members=members)
    async with node(control_sources.FakeSource(view)) as client:
        brief = (await client.status(brief=True)).ok_value
    assert (brief.members, brief.leaders) == ([own], [])
    assert brief.lease == view.lease


async def test_an_explanation_of_a_key_without_an_owner_arrives():
    async with node(control_sources.FakeSource()) as client:
        answer = await client.explain("harbour-portal", "urna-č")
        expected = control_sources.explanation("harbour-portal", "urna-č")
        assert answer == result.Ok(expected)
        assert answer.ok_value.owner_state is None


async def test_a_failure_of_the_node_arrives_with_its_kind():
    source = control_sources.FakeSource()
    source.failure = errors.Failure(errors.ErrorKind.UNKNOWN_SERVICE, "no x")
    async with node(source) as client:
        assert await client.explain("x", "k") == result.Err(source.failure)
        assert await client.confirm_end(9) == result.Err(source.failure)


async def test_events_arrive_in_order_and_since_a_time():
    source = control_sources.FakeSource()
    for number in range(3):
        source.event_log.write("sealed", number=number)
    async with node(source) as client:
        events = (await client.events()).ok_value.events
        assert [event.fields for event in events] == [
            [views.Field("number", str(number))] for number in range(3)
        ]
        later = events[-1].wall_ms + 1
        assert await client.events(later) == result.Ok(views.EventList())


async def test_drain_and_confirmed_end_reach_the_node():
    source = control_sources.FakeSource()
    async with node(source) as client:
        assert (await client.drain()).is_ok()
        largest = control_sources.LARGEST_INCARNATION
        assert (await client.confirm_end(largest)).is_ok()
    assert source.drains == 1
    assert source.confirmed_ends == [control_sources.LARGEST_INCARNATION]


async def test_an_error_in_the_node_is_internal_and_later_calls_succeed():
    source = control_sources.FakeSource()
    source.status_error = ZeroDivisionError("fault")
    async with node(source) as client:
        failure = (await client.status()).err_value
        assert failure.kind is errors.ErrorKind.INTERNAL
        assert "fault" in failure.message
        source.status_error = None
        assert (await client.status()).is_ok()


async def test_garbage_on_the_control_port_leaves_the_node_answering():
    source = control_sources.FakeSource()
    async with control_sources.RunningSource(source) as address:
        host, port = address.split(":")
        for garbage in (b"\x00" * 100, b"GET / HTTP/1.1\r\n\r\n"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(garbage)
            await reader.read()
            writer.close()
        client = control_client.connect(address)
        assert (await client.status()).is_ok()
        client.close()


@pytest.mark.parametrize("answer", INVALID_ANSWERS)
async def test_an_invalid_answer_fails_a_read_as_unreachable(answer):
    async with listening(answer) as client:
        failure = (await client.status()).err_value
    assert failure.kind is errors.ErrorKind.PEER_UNREACHABLE
    assert client.address in failure.message


@pytest.mark.parametrize("answer", INVALID_ANSWERS)
async def test_a_change_without_an_answer_has_an_unknown_outcome(answer):
    async with listening(answer) as client:
        failure = (await client.drain()).err_value
    assert failure.kind is errors.ErrorKind.OUTCOME_UNKNOWN


async def test_a_change_at_a_closed_port_did_not_happen():
    listener = await asyncio.start_server(print, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    listener.close()
    await listener.wait_closed()
    client = control_client.connect(f"{host}:{port}")
    failure = (await client.drain()).err_value
    client.close()
    assert failure.kind is errors.ErrorKind.PEER_UNREACHABLE


@pytest.mark.parametrize(
    "reply",
    [
        control_pb2.StatusReply(),
        control_pb2.StatusReply(value=control_pb2.Status(state="asleep")),
        control_pb2.StatusReply(failure=control_pb2.Failure(kind="odd")),
    ],
)
async def test_an_invalid_reply_is_a_failure(reply):
    async def answer(_request):
        return reply

    client = control_client.connect("127.0.0.1:1")
    client.stub.Status = answer
    failure = (await client.status()).err_value
    assert failure.kind is errors.ErrorKind.PEER_UNREACHABLE


@pytest.mark.parametrize(
    "view_type", [views.Status, views.Explanation, views.Event, views.Done]
)
def test_each_view_has_the_fields_of_its_message(view_type):
    message_type = getattr(control_pb2, view_type.__name__)
    fields = {field.name for field in message_type.DESCRIPTOR.fields}
    assert fields == {field.name for field in msgspec.structs.fields(view_type)}


def test_an_incarnation_of_64_bits_survives_the_conversion():
    leader = views.Leader("s", "n", control_sources.LARGEST_INCARNATION)
    message = conversion.to_message(leader, control_pb2.Leader)
    assert conversion.to_view(message, views.Leader) == leader
