"""Client of a target over HTTP."""

import asyncio

import aiohttp
import msgspec
import yarl

from auburnrock import errors
from auburnrock.shells import http_client
from auburnrock.targets import base
from auburnrock.targets import protocol

IDLE_LIMIT_S = 3.0
"""Idle connections are not used again after this: they may have gone silent."""

RETIRE_EVERY_S = 1.0
CONTROL_CONNECTIONS = 2
FEWEST_CONNECTIONS = 12
CONTROL_TIMEOUT_MS = 250
"""Short, so that an order lost on a silent connection is sent again on a new
one while the grant before it still lasts."""

_MILLISECONDS_PER_SECOND = 1_000

# Headers of one connection (RFC 9110, 7.6.1) and those that the client sets.
_NOT_PASSED_ON = frozenset(
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
_FAILURES = (
    TimeoutError,
    OSError,
    ValueError,
    aiohttp.ClientError,
    http_client.NotRetriedError,
)


def request_headers(work: base.Work) -> list[tuple[str, str]]:
    """The headers of a request to the target; ours replace the caller's."""
    dropped = _NOT_PASSED_ON | _OWN_HEADERS
    passed = [(n, v) for n, v in work.headers if n.lower() not in dropped]
    own = [
        (protocol.REQUEST_ID_HEADER, work.request_id),
        (protocol.DEADLINE_HEADER, str(work.deadline_ms)),
    ]
    if work.shard >= 0:
        own.append((protocol.KEY_HEADER, work.key))
        own.append((protocol.SHARD_HEADER, str(work.shard)))
        own.append((protocol.EPOCH_HEADER, str(work.epoch)))
    return passed + own


def refused_kind(name: str | None) -> errors.ErrorKind:
    """The kind of a refusal; TARGET_REFUSED unless its name fits "not run"."""
    try:
        kind = errors.ErrorKind(name)
    except ValueError:
        return errors.ErrorKind.TARGET_REFUSED
    if errors.ANSWERS[kind].ran is not errors.Ran.NO:
        return errors.ErrorKind.TARGET_REFUSED
    return kind


class Pool:
    """A session whose connections are used again.

    Attributes:
      session: the session.
      in_use: requests that have not ended.
      since_s: loop time at which it was made.
      heard_s: loop time of the latest whole answer; None before the first,
        when no connection is idle.
    """

    __slots__ = ("heard_s", "in_use", "session", "since_s")

    def __init__(self, connections: int):
        self.session = http_client.make_session(connections, IDLE_LIMIT_S)
        self.in_use = 0
        self.since_s = asyncio.get_running_loop().time()
        self.heard_s: float | None = None

    def hear(self) -> None:
        """Notes a whole answer."""
        self.heard_s = asyncio.get_running_loop().time()


class HttpTarget(base.Target):
    """A target that speaks HTTP.

    Attributes:
      address: host:port of the target.
      kept: most connections that are used again.
      pool: makes and keeps those.
      retired: former pools with requests that have not ended.
      fresh: session that makes a connection for each request.
      control: session for orders, so that they wait behind no work.
    """

    def __init__(
        self,
        address: str,
        kept: int,
        fresh: aiohttp.ClientSession,
        control: aiohttp.ClientSession,
    ):
        self.address = address
        self.kept = kept
        self.pool = Pool(kept)
        self.retired: set[Pool] = set()
        self.fresh = fresh
        self.control = control
        self.in_flight: dict[str, asyncio.Timeout] = {}

    async def run(
        self, work: base.Work, fresh_connection: bool = False
    ) -> base.WorkAnswer:
        """See the base class; `work.deadline_ms` is the timeout."""
        if fresh_connection:
            return await self._run_on(self.fresh, work)
        pool = self.pool
        pool.in_use += 1
        try:
            answer = await self._run_on(pool.session, work)
            pool.hear()
            return answer
        except base.RefusedError:
            pool.hear()
            raise
        finally:
            pool.in_use -= 1
            if pool in self.retired and pool.in_use == 0:
                self.retired.discard(pool)
                await pool.session.close()

    def retire_idle(self) -> None:
        """Uses no idle connection again; see the base class.

        At most once a second: a target that is slow rather than silent must
        not be given a new connection for each request. The idle connections
        end by themselves within IDLE_LIMIT_S.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s < self.pool.since_s + RETIRE_EVERY_S:
            return
        self._retire_pool()

    def retire_if_silent(self, silent_ms: int) -> None:
        """See the base class.

        As often as it happens: a pool that has answered nothing has no idle
        connection, so a target that stays silent is given no more new ones.
        """
        pool = self.pool
        if pool.heard_s is None or pool.in_use == 0:
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - pool.heard_s >= silent_ms / _MILLISECONDS_PER_SECOND:
            self._retire_pool()

    def _retire_pool(self) -> None:
        self.retired.add(self.pool)
        self.pool = Pool(self.kept)

    async def _run_on(
        self, session: aiohttp.ClientSession, work: base.Work
    ) -> base.WorkAnswer:
        attempt = http_client.Attempt()
        timeout = asyncio.timeout(work.deadline_ms / _MILLISECONDS_PER_SECOND)
        try:
            async with timeout:
                self.in_flight[work.request_id] = timeout
                return await self._send(session, work, attempt)
        except _FAILURES as error:
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
            echoed = response.headers.get(protocol.REQUEST_ID_HEADER)
            if echoed != work.request_id:
                # Whatever comes next on it answers something else.
                response.drop_connection()
                raise base.LostError(
                    f"answer to request {echoed!r} came for request"
                    f" {work.request_id!r}; closed the connection",
                    silent=False,
                    connection_ended=False,
                )
            body = await response.read()
            return _answer(response, body)

    async def grant(self, grant: base.Grant) -> base.GrantAnswer:
        """See the base class."""
        body = msgspec.json.encode(grant)
        answer = await self._order("PUT", protocol.GRANT_PATH, body)
        try:
            return msgspec.json.decode(answer, type=base.GrantAnswer)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise base.LostError(
                f"unreadable answer to a grant: {error}",
                silent=False,
                connection_ended=False,
            ) from error

    async def cancel(self, request_id: str) -> None:
        """Closes the request's connection and tells the target.

        The request's `run` raises LostError, or NotSentError if it still
        waited for a connection. Raises NotSentError or LostError if the
        target could not be told.
        """
        timeout = self.in_flight.get(request_id)
        if timeout is not None:
            timeout.reschedule(asyncio.get_running_loop().time())
        body = msgspec.json.encode(protocol.CancelOrder(request_id))
        await self._order("POST", protocol.CANCEL_PATH, body)

    async def drain(self) -> None:
        """See the base class; raises NotSentError or LostError."""
        await self._order("POST", protocol.DRAIN_PATH, b"")

    async def health(self) -> protocol.Health:
        """What the target says of its health; NotSentError or LostError."""
        answer = await self._order("GET", protocol.HEALTH_PATH, b"")
        return _decode_report(answer, protocol.Health)

    async def load(self) -> protocol.Load:
        """What the target says of its load; NotSentError or LostError."""
        answer = await self._order("GET", protocol.LOAD_PATH, b"")
        return _decode_report(answer, protocol.Load)

    async def close(self) -> None:
        """See the base class."""
        pools = [pool.session for pool in (self.pool, *self.retired)]
        for session in (*pools, self.fresh, self.control):
            await session.close()

    async def _order(self, method: str, path: str, body: bytes) -> bytes:
        attempt = http_client.Attempt()
        try:
            async with asyncio.timeout(
                CONTROL_TIMEOUT_MS / _MILLISECONDS_PER_SECOND
            ):
                async with self.control.request(
                    method,
                    f"http://{self.address}{path}",
                    data=body or None,
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                ) as response:
                    answer = await response.read()
        except _FAILURES as error:
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


def _answer(response: aiohttp.ClientResponse, body: bytes) -> base.WorkAnswer:
    """The whole answer, or RefusedError where the target ran nothing."""
    if response.headers.get(protocol.RAN_HEADER) == errors.Ran.NO.value:
        kind = refused_kind(response.headers.get(protocol.ERROR_HEADER))
        raise base.RefusedError(
            kind, f"target refused with status {response.status}"
        )
    # aiohttp's header names are a subclass of str, which msgspec refuses.
    headers = [
        (str(name), str(value))
        for name, value in response.headers.items()
        if name.lower() not in _NOT_PASSED_ON
    ]
    return base.WorkAnswer(status=response.status, headers=headers, body=body)


def _failure(
    what: str, error: Exception, attempt: http_client.Attempt
) -> base.TargetError:
    """The error of a request that got no whole answer."""
    message = f"{what}: {type(error).__name__}: {error}"
    timed_out = isinstance(error, TimeoutError)
    if attempt.connected:
        return base.LostError(
            message, silent=timed_out, connection_ended=not timed_out
        )
    if timed_out:
        return base.NotSentError(
            errors.ErrorKind.DEADLINE_EXCEEDED,
            f"{what}: no connection to the target within its time",
        )
    return base.NotSentError(errors.ErrorKind.NO_TARGET, message)


def connect(address: str, connections: int = 120) -> HttpTarget:
    """Makes a client of the target at host:port; connects at first use.

    Must be called in a running event loop.

    Args:
      address: host:port of the target.
      connections: how many connections the target accepts; at least 12.
    """
    if connections < FEWEST_CONNECTIONS:
        raise ValueError(
            f"got {connections} connections for a target; needs at least"
            f" {FEWEST_CONNECTIONS}"
        )
    # Either half may have to carry all that the target runs at a time.
    fresh = (connections - CONTROL_CONNECTIONS) // 2
    kept = connections - CONTROL_CONNECTIONS - fresh
    return HttpTarget(
        address,
        kept=kept,
        fresh=http_client.make_session(fresh, None),
        control=http_client.make_session(CONTROL_CONNECTIONS, IDLE_LIMIT_S),
    )
