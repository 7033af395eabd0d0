"""Client of a platform's key-value service over HTTP and JSON."""

import asyncio

import aiohttp
import msgspec

from auburnrock.shells import http_client
from auburnrock.store import base
from auburnrock.store import http_messages

CONNECTIONS = 64
"""Maximum number of concurrent connections to the service."""

IDLE_LIMIT_S = 5.0
"""Time after which an idle connection is not reused, in seconds."""

_MILLISECONDS_PER_SECOND = 1_000


class HttpPlatform(base.Platform):
    """Client of a key-value service as in docs/design/platform-protocol.md.

    Attributes:
      address: host:port of the service.
      timeout_ms: time within which a call must be answered, in
        milliseconds; for a watch, this time is added to its waiting time.
      session: HTTP session of the connections.
    """

    def __init__(
        self, address: str, timeout_ms: int, session: aiohttp.ClientSession
    ):
        self.address = address
        self.timeout_ms = timeout_ms
        self.session = session

    async def get(self, key: str) -> base.Value | None:
        """See the base class."""
        result = await self._read(
            http_messages.GET_PATH,
            http_messages.GetCall(key),
            http_messages.GetResult,
        )
        return result.value

    async def list(self, prefix: str) -> base.Snapshot:
        """See the base class."""
        return await self._read(
            http_messages.LIST_PATH,
            http_messages.ListCall(prefix),
            base.Snapshot,
        )

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> base.Snapshot:
        """See the base class."""
        wait_ms = round(timeout_s * _MILLISECONDS_PER_SECOND)
        return await self._read(
            http_messages.WATCH_PATH,
            http_messages.WatchCall(prefix, after_revision, wait_ms),
            base.Snapshot,
            extra_ms=wait_ms,
        )

    async def compare_and_swap(
        self,
        key: str,
        data: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> base.Swap:
        """See the base class."""
        if data is not None and len(data) > http_messages.MAX_VALUE_BYTES:
            raise base.StoreUnavailableError(
                f"value of {key} has {len(data)} bytes; the store accepts at"
                f" most {http_messages.MAX_VALUE_BYTES}; split the value"
            )
        return await self._call(
            http_messages.SWAP_PATH,
            http_messages.SwapCall(key, data, expected_revision, lease_id),
            base.Swap,
        )

    async def grant_lease(self, ttl_s: float) -> str:
        """See the base class."""
        result = await self._call(
            http_messages.GRANT_LEASE_PATH,
            http_messages.GrantLeaseCall(
                round(ttl_s * _MILLISECONDS_PER_SECOND)
            ),
            http_messages.GrantLeaseResult,
        )
        return result.lease_id

    async def renew_lease(self, lease_id: str) -> bool:
        """See the base class."""
        result = await self._call(
            http_messages.RENEW_LEASE_PATH,
            http_messages.RenewLeaseCall(lease_id),
            http_messages.RenewLeaseResult,
        )
        return result.alive

    async def close(self) -> None:
        """See the base class."""
        await self.session.close()

    async def _read(self, path: str, call, result_type, extra_ms: int = 0):
        """Makes a call that changes nothing in the store.

        A lost answer raises StoreUnavailableError, because a read has no
        effect that could be unknown.
        """
        try:
            return await self._call(path, call, result_type, extra_ms)
        except base.StoreUnknownError as error:
            raise base.StoreUnavailableError(str(error)) from error

    async def _call(self, path: str, call, result_type, extra_ms: int = 0):
        attempt = http_client.Attempt()
        try:
            status, body = await self._exchange(path, call, extra_ms, attempt)
        except (
            TimeoutError,
            OSError,
            ValueError,
            aiohttp.ClientError,
            http_client.NotRetriedError,
        ) as error:
            message = f"{self.address}{path}: {type(error).__name__}: {error}"
            if attempt.connected:
                raise base.StoreUnknownError(message) from error
            raise base.StoreUnavailableError(message) from error
        return self._decode(path, status, body, result_type)

    async def _exchange(
        self, path: str, call, extra_ms: int, attempt: http_client.Attempt
    ) -> tuple[int, bytes]:
        limit_s = (self.timeout_ms + extra_ms) / _MILLISECONDS_PER_SECOND
        async with asyncio.timeout(limit_s):
            async with self.session.post(
                f"http://{self.address}{path}",
                data=msgspec.json.encode(call),
                headers={"Content-Type": "application/json"},
                allow_redirects=False,
                trace_request_ctx=attempt,
            ) as response:
                return response.status, await response.read()

    def _decode(self, path: str, status: int, body: bytes, result_type):
        if status == http_messages.STATUS_REFUSED:
            raise base.StoreUnavailableError(
                f"{self.address}{path}: the store refused the call"
            )
        if status != 200:
            raise base.StoreUnknownError(
                f"{self.address}{path}: got status {status}, expected 200"
            )
        try:
            return msgspec.json.decode(body, type=result_type)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise base.StoreUnknownError(
                f"{self.address}{path}: unreadable answer: {error}"
            ) from error


def connect(address: str, timeout_ms: int = 500) -> HttpPlatform:
    """Creates a client of the service, which connects at its first call.

    Must be called in a running event loop.

    Args:
      address: host:port of the service.
      timeout_ms: time within which a call must be answered, in milliseconds.
    """
    session = http_client.make_session(CONNECTIONS, IDLE_LIMIT_S)
    return HttpPlatform(address, timeout_ms, session)
