"""Client of a target over HTTP."""

import asyncio

import aiohttp
import msgspec
import yarl

from auburnrock import errors
from auburnrock.engine import response_status
from auburnrock.shells import http_client
from auburnrock.targets import base
from auburnrock.targets import protocol

IDLE_LIMIT_S = 3.0
"""Time after which an idle connection is not reused, in seconds.

A connection that has been idle for long may have gone silent.
"""

MIN_RETIRE_INTERVAL_S = 1.0
"""Minimum age of the pool that `retire_idle` retires, in seconds."""

CONTROL_CONNECTIONS = 2
"""Number of a target's connections that are reserved for control requests."""

MIN_CONNECTIONS = 12
"""Minimum number of connections that a target must accept."""

CONTROL_TIMEOUT_MS = 250
"""Time within which a control request must be answered, in milliseconds.

It is shorter than a grant, so that a control request that was lost on a silent
connection is sent again on a new one before the previous grant expires.
"""

_MILLISECONDS_PER_SECOND = 1_000

# Connection-specific headers (RFC 9110, 7.6.1) and those that aiohttp sets.
_NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        protocol.REQUEST_ID_HEADER,
        protocol.KEY_HEADER,
        protocol.SHARD_HEADER,
        protocol.EPOCH_HEADER,
        protocol.DEADLINE_HEADER,
    )
)
_REQUEST_ERRORS = (
    TimeoutError,
    OSError,
    ValueError,
    aiohttp.ClientError,
    http_client.NotRetriedError,
)


def request_headers(work: base.Work) -> list[tuple[str, str]]:
    """Returns the headers of a request to the target.

    Auburnrock's own headers replace those of the same name from the caller.
    """
    dropped = _NOT_FORWARDED_HEADERS | _OWN_HEADERS
    forwarded = [(n, v) for n, v in work.headers if n.lower() not in dropped]
    own = [
        (protocol.REQUEST_ID_HEADER, work.request_id),
        (protocol.DEADLINE_HEADER, str(work.deadline_ms)),
    ]
    if work.shard >= 0:
        own.append((protocol.KEY_HEADER, work.key))
        own.append((protocol.SHARD_HEADER, str(work.shard)))
        own.append((protocol.EPOCH_HEADER, str(work.epoch)))
    return forwarded + own


def refused_kind(name: str | None) -> errors.ErrorKind:
    """Returns the kind of a refusal.

    It is TARGET_REFUSED if the name is no error kind, or if it is a kind whose
    request may have been executed.
    """
    try:
        kind = errors.ErrorKind(name)
    except ValueError:
        return errors.ErrorKind.TARGET_REFUSED
    if errors.ANSWERS[kind].ran is not errors.Ran.NO:
        return errors.ErrorKind.TARGET_REFUSED
    return kind


class Pool:
    """An HTTP session whose connections are reused.

    Attributes:
      session: the HTTP session.
      in_use: number of requests on the session that have not ended.
      created_s: loop time at which the pool was created, in seconds.
      heard_s: loop time of the latest complete answer, in seconds; None
        before the first answer, when no connection is idle.
    """

    __slots__ = ("created_s", "heard_s", "in_use", "session")

    def __init__(self, connections: int):
        self.session = http_client.make_session(connections, IDLE_LIMIT_S)
        self.in_use = 0
        self.created_s = asyncio.get_running_loop().time()
        self.heard_s: float | None = None

    def record_answer(self) -> None:
        """Records that a complete answer has arrived."""
        self.heard_s = asyncio.get_running_loop().time()


class HttpTarget(base.Target):
    """A target that speaks HTTP.

    Attributes:
      address: host:port of the target.
      pool_connections: maximum number of connections in a pool.
      pool: pool of the reusable connections.
      retired_pools: former pools with requests that have not ended.
      unpooled_session: session that opens a connection for each request.
      control_session: session of the control requests, so that these don't
        wait for other requests.
      in_flight: timeout of each running request, by request id.
    """

    def __init__(
        self,
        address: str,
        pool_connections: int,
        unpooled_session: aiohttp.ClientSession,
        control_session: aiohttp.ClientSession,
    ):
        self.address = address
        self.pool_connections = pool_connections
        self.pool = Pool(pool_connections)
        self.retired_pools: set[Pool] = set()
        self.unpooled_session = unpooled_session
        self.control_session = control_session
        self.in_flight: dict[str, asyncio.Timeout] = {}

    async def run(
        self, work: base.Work, fresh_connection: bool = False
    ) -> base.WorkAnswer:
        """See the base class; the request times out at its deadline."""
        if fresh_connection:
            return await self._run_on(self.unpooled_session, work)
        pool = self.pool
        pool.in_use += 1
        try:
            answer = await self._run_on(pool.session, work)
            pool.record_answer()
            return answer
        except base.RefusedError:
            pool.record_answer()
            raise
        finally:
            pool.in_use -= 1
            if pool in self.retired_pools and pool.in_use == 0:
                self.retired_pools.discard(pool)
                await pool.session.close()

    def retire_idle(self) -> None:
        """See the base class.

        A pool is not retired before MIN_RETIRE_INTERVAL_S, so that a target
        that is slow rather than silent doesn't receive a new connection for
        each request. Idle connections of a retired pool close within
        IDLE_LIMIT_S.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s < self.pool.created_s + MIN_RETIRE_INTERVAL_S:
            return
        self._retire_pool()

    def retire_if_silent(self, silent_ms: int) -> None:
        """See the base class.

        The pool's age doesn't matter here. A pool without any answer has no
        idle connection and isn't retired, so a target that stays silent
        doesn't receive further new connections.
        """
        pool = self.pool
        if pool.heard_s is None or pool.in_use == 0:
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - pool.heard_s >= silent_ms / _MILLISECONDS_PER_SECOND:
            self._retire_pool()

    def _retire_pool(self) -> None:
        self.retired_pools.add(self.pool)
        self.pool = Pool(self.pool_connections)

    async def _run_on(
        self, session: aiohttp.ClientSession, work: base.Work
    ) -> base.WorkAnswer:
        attempt = http_client.Attempt()
        timeout = asyncio.timeout(work.deadline_ms / _MILLISECONDS_PER_SECOND)
        try:
            async with timeout:
                self.in_flight[work.request_id] = timeout
                return await self._send(session, work, attempt)
        except _REQUEST_ERRORS as error:
            raise _failure(work.request_id, error, attempt) from error
        finally:
            if self.in_flight.get(work.request_id) is timeout:
                del self.in_flight[work.request_id]

    async def _send(
        self,
        session: aiohttp.ClientSession,
        work: base.Work,
        attempt: http_client.Attempt,
    ) -> base.WorkAnswer:
        async with session.request(
            work.method,
            yarl.URL(f"http://{self.address}{work.path}", encoded=True),
            data=work.body or None,
            headers=request_headers(work),
            allow_redirects=False,
            trace_request_ctx=attempt,
        ) as response:
            _check_status(response)
            echoed = response.headers.get(protocol.REQUEST_ID_HEADER)
            if echoed != work.request_id:
                # Later bytes on this connection answer other requests.
                response.drop_connection()
                raise base.LostError(
                    f"got the answer to request {echoed!r}, expected that to"
                    f" {work.request_id!r}; closed the connection",
                    silent=False,
                    connection_ended=False,
                )
            body = await response.read()
            return _answer(response, body)

    async def grant(self, grant: base.Grant) -> base.GrantAnswer:
        """See the base class."""
        body = msgspec.json.encode(grant)
        answer = await self._send_control("PUT", protocol.GRANT_PATH, body)
        try:
            return msgspec.json.decode(answer, type=base.GrantAnswer)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise base.LostError(
                f"unreadable answer to a grant: {error}",
                silent=False,
                connection_ended=False,
            ) from error

    async def cancel(self, request_id: str) -> None:
        """Closes the request's connection and notifies the target.

        The request's `run` raises LostError, or NotSentError if it was still
        waiting for a connection.

        Raises:
          NotSentError: the notification was not sent.
          LostError: the target may not have received the notification.
        """
        timeout = self.in_flight.get(request_id)
        if timeout is not None:
            timeout.reschedule(asyncio.get_running_loop().time())
        body = msgspec.json.encode(protocol.CancelOrder(request_id))
        await self._send_control("POST", protocol.CANCEL_PATH, body)

    async def drain(self) -> None:
        """See the base class; raises NotSentError or LostError."""
        await self._send_control("POST", protocol.DRAIN_PATH, b"")

    async def health(self) -> protocol.Health:
        """Requests the target's report of its health.

        Raises:
          NotSentError: the request was not sent.
          LostError: no valid report arrived.
        """
        answer = await self._send_control("GET", protocol.HEALTH_PATH, b"")
        return _decode_report(answer, protocol.Health)

    async def load(self) -> protocol.Load:
        """Requests the target's report of its load.

        Raises:
          NotSentError: the request was not sent.
          LostError: no valid report arrived.
        """
        answer = await self._send_control("GET", protocol.LOAD_PATH, b"")
        return _decode_report(answer, protocol.Load)

    async def close(self) -> None:
        """See the base class."""
        pools = [pool.session for pool in (self.pool, *self.retired_pools)]
        for session in (*pools, self.unpooled_session, self.control_session):
            await session.close()

    async def _send_control(self, method: str, path: str, body: bytes) -> bytes:
        attempt = http_client.Attempt()
        try:
            async with asyncio.timeout(
                CONTROL_TIMEOUT_MS / _MILLISECONDS_PER_SECOND
            ):
                async with self.control_session.request(
                    method,
                    f"http://{self.address}{path}",
                    data=body or None,
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                ) as response:
                    answer = await response.read()
        except _REQUEST_ERRORS as error:
            raise _failure(path, error, attempt) from error
        if response.status != 200:
            raise base.LostError(
                f"{self.address}{path}: got status {response.status},"
                " expected 200",
                silent=False,
                connection_ended=False,
            )
        return answer


def _decode_report(data: bytes, report_type):
    try:
        return msgspec.json.decode(data, type=report_type)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise base.LostError(
            f"unreadable report: {error}", silent=False, connection_ended=False
        ) from error


def _check_status(response: http_client.Response) -> None:
    """Raises LostError if a response is not a final one.

    Its body is not read: it may have no end, and belongs to no request.
    """
    states_body = (
        response.headers.get("Content-Length", "0").strip("0") != ""
        or "Transfer-Encoding" in response.headers
    )
    # A 304 may state the length of what it does not send.
    has_body = states_body and response.status != 304
    fault = response_status.fault_of(response.status, has_body)
    if fault:
        response.drop_connection()
        raise base.LostError(fault, silent=False, connection_ended=False)


def _answer(response: aiohttp.ClientResponse, body: bytes) -> base.WorkAnswer:
    """Returns the answer; raises RefusedError if the target did not run it."""
    if response.headers.get(protocol.RAN_HEADER) == errors.Ran.NO.value:
        kind = refused_kind(response.headers.get(protocol.ERROR_HEADER))
        raise base.RefusedError(
            kind, f"target refused with status {response.status}"
        )
    # msgspec can't encode aiohttp's header names, which subclass str.
    headers = [
        (str(name), str(value))
        for name, value in response.headers.items()
        if name.lower() not in _NOT_FORWARDED_HEADERS
    ]
    return base.WorkAnswer(status=response.status, headers=headers, body=body)


def _failure(
    what: str, error: Exception, attempt: http_client.Attempt
) -> base.TargetError:
    """Returns the error of a request that received no complete answer."""
    message = f"{what}: {type(error).__name__}: {error}"
    timed_out = isinstance(error, TimeoutError)
    if attempt.connected:
        return base.LostError(
            message, silent=timed_out, connection_ended=not timed_out
        )
    if timed_out:
        return base.NotSentError(
            errors.ErrorKind.DEADLINE_EXCEEDED,
            f"{what}: no connection to the target before the deadline",
        )
    return base.NotSentError(errors.ErrorKind.NO_TARGET, message)


def connect(address: str, connections: int = 120) -> HttpTarget:
    """Creates a client of the target, which connects at its first request.

    Must be called in a running event loop.

    Args:
      address: host:port of the target.
      connections: number of connections that the target accepts.

    Raises:
      ValueError: `connections` is less than MIN_CONNECTIONS.
    """
    if connections < MIN_CONNECTIONS:
        raise ValueError(
            f"got {connections} connections for a target; needs at least"
            f" {MIN_CONNECTIONS}"
        )
    # Either half may have to carry all requests that the target executes at a
    # time: requests on connections of their own, or on reusable ones.
    unpooled = (connections - CONTROL_CONNECTIONS) // 2
    pooled = connections - CONTROL_CONNECTIONS - unpooled
    return HttpTarget(
        address,
        pool_connections=pooled,
        unpooled_session=http_client.make_session(unpooled, None),
        control_session=http_client.make_session(
            CONTROL_CONNECTIONS, IDLE_LIMIT_S
        ),
    )
