"""The port for callers of a node that has just started."""

import asyncio

import aiohttp
import pytest

from auburnrock import messages
from auburnrock import records
from auburnrock.shells import front
from auburnrock.shells import wire
from auburnrock_standins import processes


class StartingRouter(front.Router):
    """Knows no configuration until it is given one."""

    def __init__(self):
        self.known = None

    def configuration(self):
        return self.known

    async def route(self, request):
        return messages.Response(
            stream=0,
            request_id=request.request_id,
            status=200,
            headers=[],
            body=b"served",
            owner=1,
            epoch=1,
        )


class NoAnnouncements(front.AnnouncementHandler):
    def on_announcement(self, announcement):
        return None


@pytest.fixture
async def starting():
    port = processes.free_ports(1)[0]
    router = StartingRouter()
    server = front.Front("127.0.0.1", port, router, NoAnnouncements(), 1_000)
    await server.start()
    async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as session:
        yield router, session
    await server.stop()


def configuration(**services):
    return records.Configuration(revision=1, services=services)


async def test_a_request_before_the_first_configuration_is_served_after(
    starting,
):
    router, session = starting
    asked = asyncio.ensure_future(session.get("/booker/x"))
    await asyncio.sleep(0.1)
    assert not asked.done()
    router.known = configuration(booker=records.ServiceSettings())
    assert (await asked).status == 200


async def test_no_service_is_unknown_without_a_configuration(starting):
    _, session = starting
    async with session.get(
        "/booker/x", headers={wire.DEADLINE_MS: "100"}
    ) as seen:
        assert seen.status == 503
        assert seen.headers[wire.ERROR] == "store_unavailable"
        assert seen.headers[wire.RAN] == "no"


async def test_a_service_that_no_configuration_names_is_unknown(starting):
    router, session = starting
    router.known = configuration()
    async with session.get("/booker/x") as seen:
        assert seen.status == 404
