"""The server of the platform stand-in."""

import asyncio

from aiohttp import web
import msgspec

from auburnrock.shells import clock
from auburnrock.store import http_messages
from auburnrock_standins import platform_switches
from auburnrock_standins import serving
from auburnrock_standins import store as store_module

LEASE_CHECK_S = 0.05
MAX_BODY_BYTES = 2 * http_messages.MAX_VALUE_BYTES


class PlatformServer:
    """Answers the platform's protocol from a store.

    Attributes:
      store: the data.
      counts: calls received; counted where they enter, in
        PlatformFailures.
    """

    def __init__(self, store: store_module.Store):
        self.store = store
        self.counts = http_messages.Counts()
        self.changed = asyncio.Event()

    def routes(self) -> list[web.RouteDef]:
        """The routes of the protocol."""
        return [
            web.post(http_messages.GET_PATH, self.get),
            web.post(http_messages.LIST_PATH, self.list),
            web.post(http_messages.WATCH_PATH, self.watch),
            web.post(http_messages.SWAP_PATH, self.swap),
            web.post(http_messages.GRANT_LEASE_PATH, self.grant_lease),
            web.post(http_messages.RENEW_LEASE_PATH, self.renew_lease),
            web.get(http_messages.COUNTS_PATH, self.show_counts),
        ]

    async def get(self, request: web.Request) -> web.Response:
        """Reads one key."""
        call = await serving.read(request, http_messages.GetCall)
        value = self.store.values.get(call.key)
        return serving.answer(http_messages.GetResult(value))

    async def list(self, request: web.Request) -> web.Response:
        """Reads the keys under a prefix."""
        call = await serving.read(request, http_messages.ListCall)
        return serving.answer(self.store.list(call.prefix))

    async def watch(self, request: web.Request) -> web.Response:
        """Waits for a change; an empty partial snapshot if none came."""
        call = await serving.read(request, http_messages.WatchCall)
        ends_at_ms = clock.now_ms() + call.timeout_ms
        while True:
            changed = self.changed
            snapshot = self.store.changes(call.prefix, call.after_revision)
            left_s = (ends_at_ms - clock.now_ms()) / 1_000
            if snapshot is not None:
                return serving.answer(snapshot)
            if left_s <= 0:
                nothing = self.store.list(call.prefix)
                nothing = msgspec.structs.replace(
                    nothing, values=[], complete=False
                )
                return serving.answer(nothing)
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    async def swap(self, request: web.Request) -> web.Response:
        """Compares and swaps."""
        call = await serving.read(request, http_messages.SwapCall)
        if len(call.data or b"") > http_messages.MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(
                http_messages.MAX_VALUE_BYTES, len(call.data)
            )
        self.end_leases()
        result = self.store.swap(
            call.key, call.data, call.expected_revision, call.lease_id
        )
        self.tell_watches()
        return serving.answer(result)

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Makes a lease."""
        call = await serving.read(request, http_messages.GrantLeaseCall)
        lease_id = self.store.grant_lease(call.ttl_ms, clock.now_ms())
        return serving.answer(http_messages.GrantLeaseResult(lease_id))

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Renews a lease."""
        call = await serving.read(request, http_messages.RenewLeaseCall)
        alive = self.store.renew_lease(call.lease_id, clock.now_ms())
        return serving.answer(http_messages.RenewLeaseResult(alive))

    async def show_counts(self, request: web.Request) -> web.Response:
        """The calls so far; not itself counted."""
        return serving.answer(self.counts)

    def end_leases(self) -> None:
        """Ends leases that are over, and tells the watches."""
        if self.store.end_leases(clock.now_ms()):
            self.tell_watches()

    def tell_watches(self) -> None:
        """Wakes every waiting watch to look for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def end_leases_forever(self) -> None:
        """Ends leases as their time comes."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            self.end_leases()


async def start(
    address: str, port: int, history_limit: int
) -> tuple[PlatformServer, web.AppRunner]:
    """Begins to serve; the caller runs `end_leases_forever` and cleans up."""
    server = PlatformServer(store_module.Store(history_limit))
    failures = platform_switches.PlatformFailures(server.counts)
    application = web.Application(
        client_max_size=MAX_BODY_BYTES,
        middlewares=[failures.middleware],
    )
    application.add_routes(server.routes() + failures.routes())
    runner = await serving.start(application, address, port)
    return server, runner
