"""HTTP sessions that send each request at most once.

aiohttp sends a GET, PUT or DELETE again by itself when a reused connection
ends before the answer. That hides a lost answer from the caller, so a
middleware turns the errors on which aiohttp would try again into one that it
passes on.
"""

import asyncio

import aiohttp


class Attempt:
    """What is known of one request on the wire.

    Attributes:
      connected: True once a connection was given to the request, from when
        bytes of it may have left.
    """

    __slots__ = ("connected",)

    def __init__(self):
        self.connected = False


class NotRetriedError(Exception):
    """A connection failure that must not be tried again unseen.

    Attributes:
      cause: the failure as aiohttp raised it.
    """

    def __init__(self, cause: aiohttp.ClientError):
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.cause = cause


class Response(aiohttp.ClientResponse):
    """An answer whose connection can be ended at any time.

    `close` of the base class leaves the connection in the pool if the whole
    body came with the head.
    """

    transport: asyncio.BaseTransport | None = None

    async def start(self, connection) -> aiohttp.ClientResponse:
        """Called by aiohttp when the request was sent."""
        self.transport = connection.transport
        return await super().start(connection)

    def drop_connection(self) -> None:
        """Ends the connection, also when it is back in the pool."""
        if self.transport is not None:
            self.transport.abort()


async def _stop_retries(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise NotRetriedError(error) from error


async def _mark_connected(session, context, parameters) -> None:
    attempt = context.trace_request_ctx
    if attempt is not None:
        attempt.connected = True


def _tracing() -> aiohttp.TraceConfig:
    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(_mark_connected)
    tracing.on_connection_reuseconn.append(_mark_connected)
    return tracing


def make_session(
    connections: int, idle_limit_s: float | None
) -> aiohttp.ClientSession:
    """Makes a session without retries, redirects' cookies or decompression.

    Args:
      connections: most connections at a time; further requests wait.
      idle_limit_s: how long an idle connection may be used again, in seconds;
        None gives each request a connection of its own.

    Answers are of the class Response.

    Requests must pass `trace_request_ctx=Attempt()`, and `allow_redirects=
    False` where a second request is not wanted. Failures of the connection
    are raised as NotRetriedError, of the answer as aiohttp.ClientError.
    """
    if idle_limit_s is None:
        connector = aiohttp.TCPConnector(limit=connections, force_close=True)
    else:
        connector = aiohttp.TCPConnector(
            limit=connections, keepalive_timeout=idle_limit_s
        )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=[
            "Accept",
            "User-Agent",
            "Accept-Encoding",
            "Content-Type",
        ],
        response_class=Response,
        middlewares=[_stop_retries],
        trace_configs=[_tracing()],
        timeout=aiohttp.ClientTimeout(total=None),
    )
