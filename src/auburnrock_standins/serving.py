"""What both stand-in servers need of aiohttp."""

from aiohttp import web
import msgspec

SWITCHES_PATH = "/auburnrock/switches"
"""GET and POST at each stand-in: its switches for failures."""

SHUTDOWN_LIMIT_S = 0.2
"""How long requests may go on when a stand-in is stopped; some hang."""


async def read(request: web.Request, message_type):
    """Decodes a JSON body; a 400 answer if it is not of the type."""
    try:
        return msgspec.json.decode(await request.read(), type=message_type)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=f"bad body: {error}") from error


def answer(message, status: int = 200, headers=None) -> web.Response:
    """A JSON answer."""
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        headers=headers,
        content_type="application/json",
    )


async def start(
    application: web.Application, address: str, port: int
) -> web.AppRunner:
    """Begins to serve and prints the address, for who started the program."""
    runner = web.AppRunner(
        application, access_log=None, shutdown_timeout=SHUTDOWN_LIMIT_S
    )
    await runner.setup()
    site = web.TCPSite(runner, address, port)
    await site.start()
    host, bound_port = runner.addresses[0][:2]
    print(f"event=serving address={host}:{bound_port}", flush=True)
    return runner
