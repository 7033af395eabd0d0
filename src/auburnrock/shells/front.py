"""The port for callers and for the target beside this node."""

import abc
import asyncio
import math

from aiohttp import web
import aiomisc
import msgspec
import uuid_utils

from auburnrock import errors
from auburnrock import messages
from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import routes
from auburnrock.shells import wire
from auburnrock.targets import base as targets_base

LONGEST_DEADLINE_MS = 60_000
BACKLOG = 1024
HTTP_INTERNAL_ERROR = 500
MILLISECONDS_PER_SECOND = 1_000

FIRST_CONFIGURATION_MS = 1_000
"""How long a request waits at a node that has just started; reading the store
takes milliseconds, and without the store the caller is told to come back."""

POLL_S = 0.02
"""How soon a request notices the first configuration."""


class Router(abc.ABC):
    """Brings a request to the node that runs it."""

    @abc.abstractmethod
    def configuration(self) -> records.Configuration | None:
        """The configuration in force; None before the first."""

    @abc.abstractmethod
    async def route(
        self, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Returns the request's final answer, by its deadline."""


class AnnouncementHandler(abc.ABC):
    """Receives what the target beside this node says of itself."""

    @abc.abstractmethod
    def on_announcement(
        self, announcement: targets_base.Announcement
    ) -> errors.Failure | None:
        """Handles one announcement; returns why it is refused, if it is."""


class _Connection(web.RequestHandler):
    """Answers what is no readable HTTP like every other error."""

    __slots__ = ()

    def log_exception(self, *_arguments, **_options) -> None:
        """Writes nothing: a traceback is no event, and the answer says why."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTP_INTERNAL_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Makes the answer; called by aiohttp."""
        super().handle_error(request, status, exc, message)
        kind = errors.ErrorKind.BAD_REQUEST
        if status >= HTTP_INTERNAL_ERROR:
            kind = errors.ErrorKind.INTERNAL
        text = f"{message or repr(exc)}; send a well-formed request"
        response = failure_response(errors.Failure(kind, text), "")
        response.force_close()
        return response


class _Server(web.Server):
    """Makes connections whose errors are of the closed list."""

    def __call__(self) -> web.RequestHandler:
        """Called by asyncio for each connection."""
        return _Connection(
            self, loop=asyncio.get_running_loop(), access_log=None
        )


class Front(aiomisc.Service):
    """The HTTP server of a node.

    Attributes:
      address: IP number to listen on.
      port: port to listen on.
      router: brings requests to where they run.
      announcements: receives the target's announcements.
      largest_body_bytes: longest body that is accepted.
      in_progress: requests that have no answer yet.
      accepting: False once a planned stop has begun.
    """

    def __init__(
        self,
        address: str,
        port: int,
        router: Router,
        announcements: AnnouncementHandler,
        largest_body_bytes: int,
    ):
        super().__init__()
        self.address = address
        self.port = port
        self.router = router
        self.announcements = announcements
        self.largest_body_bytes = largest_body_bytes
        self.in_progress = 0
        self.accepting = True
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Opens the port."""
        server = _Server(self._handle)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, self.address, self.port, backlog=BACKLOG
        )
        await self._site.start()

    async def close_port(self) -> None:
        """Takes no new connections; open ones finish their requests."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        if http.path.startswith(wire.OWN_PREFIX):
            return await self._handle_own(http)
        self.in_progress += 1
        try:
            response = await self._handle_caller(http)
        finally:
            self.in_progress -= 1
        if not self.accepting:
            # Tells the caller to open its next connection elsewhere.
            response.force_close()
        return response

    async def _handle_own(self, http: web.BaseRequest) -> web.Response:
        if http.path == wire.HEALTH_PATH:
            status = 200 if self.accepting else 503
            return web.Response(status=status)
        if http.path != wire.ANNOUNCE_PATH or http.method != "POST":
            return failure_response(
                errors.Failure(
                    errors.ErrorKind.BAD_REQUEST,
                    f"got {http.method} {http.path}, expected"
                    f" POST {wire.ANNOUNCE_PATH}",
                ),
                "",
            )
        try:
            announcement = msgspec.json.decode(
                await http.read(), type=targets_base.Announcement
            )
        except msgspec.DecodeError as error:
            failure = errors.Failure(
                errors.ErrorKind.BAD_REQUEST, f"announcement: {error}"
            )
            return failure_response(failure, "")
        refused = self.announcements.on_announcement(announcement)
        if refused is not None:
            return failure_response(refused, "")
        return web.Response(status=200)

    async def _handle_caller(self, http: web.BaseRequest) -> web.Response:
        request_id = http.headers.get(wire.REQUEST_ID) or str(
            uuid_utils.uuid7()
        )
        parsed = await self._parse(http, str(request_id))
        if isinstance(parsed, errors.Failure):
            return failure_response(parsed, request_id)
        answer = await self.router.route(parsed)
        if isinstance(answer, messages.Refusal):
            failure = errors.Failure(
                answer.kind, answer.message, answer.retry_after_ms
            )
            return failure_response(failure, request_id)
        return _answer_response(answer)

    async def _parse(
        self, http: web.BaseRequest, request_id: str
    ) -> messages.Request | errors.Failure:
        service_name, _, path = http.raw_path.lstrip("/").partition("/")
        if not await self._is_configured(http):
            return errors.Failure(
                errors.ErrorKind.STORE_UNAVAILABLE,
                "this node has not read the operators' files yet; try again",
            )
        settings = self._service_settings(service_name)
        if settings is None:
            return errors.Failure(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f"got service {service_name!r}, which no operators' file"
                " describes",
            )
        key = http.headers.get(wire.KEY, "")
        if settings.divided_by_key and not key:
            return errors.Failure(
                errors.ErrorKind.MISSING_KEY,
                f"service {service_name} is divided by key: send the header"
                f" {wire.KEY}",
            )
        deadline_ms = _deadline_ms(http, settings)
        if isinstance(deadline_ms, errors.Failure):
            return deadline_ms
        body = await self._read_body(http)
        if isinstance(body, errors.Failure):
            return body
        idempotent = routes.is_idempotent(settings, http.method, "/" + path)
        idempotency_key = http.headers.get(wire.IDEMPOTENCY_KEY, "")
        if not idempotent and not idempotency_key:
            return errors.Failure(
                errors.ErrorKind.MISSING_IDEMPOTENCY_KEY,
                f"{http.method} /{path} is not idempotent: send the header"
                f" {wire.IDEMPOTENCY_KEY} with a UUIDv7",
            )
        owned_by = keys.routing_key(
            settings, key, "" if idempotent else idempotency_key
        )
        shard = keys.shard_of(settings, owned_by) if owned_by else keys.NO_SHARD
        return messages.Request(
            stream=0,
            request_id=request_id,
            service=service_name,
            method=http.method,
            path="/" + path,
            headers=wire.forwarded_headers(http.headers),
            body=body,
            key=str(key),
            shard=shard,
            deadline_ms=deadline_ms,
            idempotent=idempotent,
            idempotency_key=str(idempotency_key),
            caller=str(http.headers.get(wire.CALLER, http.remote or "")),
            first_try=http.headers.get(wire.FIRST_TRY) == "yes",
        )

    async def _is_configured(self, http: web.BaseRequest) -> bool:
        """Waits a while for the first configuration.

        Which services there are is known from a configuration only, so
        nothing is called unknown before.
        """
        wait_ms = FIRST_CONFIGURATION_MS
        text = http.headers.get(wire.DEADLINE_MS, "")
        if text.isdecimal():
            wait_ms = min(wait_ms, int(text))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / MILLISECONDS_PER_SECOND
        while self.router.configuration() is None:
            if loop.time() >= end_s:
                return False
            await asyncio.sleep(POLL_S)
        return True

    def _service_settings(self, name: str) -> records.ServiceSettings | None:
        configuration = self.router.configuration()
        if configuration is None:
            return None
        return configuration.services.get(name)

    async def _read_body(self, http: web.BaseRequest) -> bytes | errors.Failure:
        too_large = errors.Failure(
            errors.ErrorKind.REQUEST_TOO_LARGE,
            f"the body is longer than {self.largest_body_bytes} bytes",
        )
        if (http.content_length or 0) > self.largest_body_bytes:
            return too_large
        body = bytearray()
        async for chunk in http.content.iter_any():
            body += chunk
            if len(body) > self.largest_body_bytes:
                return too_large
        return bytes(body)


def failure_response(failure: errors.Failure, request_id: str) -> web.Response:
    """The HTTP answer of an error."""
    answer = failure.answer()
    headers = {
        wire.ERROR: failure.kind.value,
        wire.RAN: answer.ran.value,
        wire.REQUEST_ID: request_id,
    }
    if answer.retry_after_ms is not None:
        seconds = math.ceil(answer.retry_after_ms / MILLISECONDS_PER_SECOND)
        headers[wire.RETRY_AFTER] = str(seconds)
        headers[wire.RETRY_AFTER_MS] = str(answer.retry_after_ms)
    return web.json_response(
        {"error": failure.kind.value, "message": failure.message},
        status=answer.status,
        headers=headers,
    )


def _answer_response(answer: messages.Response) -> web.Response:
    headers = [
        *answer.headers,
        (wire.REQUEST_ID, answer.request_id),
        (wire.RAN, errors.Ran.YES.value),
        (wire.OWNER, f"{answer.owner:016x}"),
        (wire.EPOCH, str(answer.epoch)),
    ]
    return web.Response(status=answer.status, headers=headers, body=answer.body)


def _deadline_ms(
    http: web.BaseRequest, settings: records.ServiceSettings
) -> int | errors.Failure:
    text = http.headers.get(wire.DEADLINE_MS)
    if text is None:
        return settings.timeout_ms
    if text.isdecimal() and 0 < int(text) <= LONGEST_DEADLINE_MS:
        return int(text)
    return errors.Failure(
        errors.ErrorKind.BAD_REQUEST,
        f"header {wire.DEADLINE_MS}: got {text!r}, expected 1 to"
        f" {LONGEST_DEADLINE_MS} milliseconds",
    )
