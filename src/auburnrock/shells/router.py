"""The entry's side of a request: drives its lifecycle.

`engine.request.Lifecycle` decides; this module sends frames, keeps timers and
hands back the final answer.
"""

import abc
import asyncio
import random

from auburnrock import errors
from auburnrock import messages
from auburnrock import records
from auburnrock.engine import balancing
from auburnrock.engine import connections
from auburnrock.engine import request as request_lib
from auburnrock.engine import request_events
from auburnrock.engine import response_status
from auburnrock.engine import view as view_lib
from auburnrock.shells import clock
from auburnrock.shells import frames

SHORTEST_TIMEOUT_MS = 1
MILLISECONDS_PER_SECOND = 1_000


_FAULTS_OF_REQUEST = frozenset(
    {
        errors.ErrorKind.BAD_REQUEST,
        errors.ErrorKind.QUARANTINED,
        errors.ErrorKind.DEADLINE_EXCEEDED,
    }
)
"""Refusals that say nothing about the node that refused."""


class LocalExecutor(abc.ABC):
    """Runs requests that need not leave this process."""

    @abc.abstractmethod
    async def execute(
        self, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Runs one request at the target beside this node."""


class TableSource(abc.ABC):
    """Keeps the owner table up to date."""

    @abc.abstractmethod
    def on_hint(self, host: str, port: int, watermark: int) -> None:
        """Catches up from a node whose replica has reached a revision."""


class KeyedRoute(request_lib.Route):
    """Sends to the owner of a shard, as far as the replica knows it."""

    __slots__ = ("router", "service", "shard")

    def __init__(self, router: "EntryRouter", service: str, shard: int):
        self.router = router
        self.service = service
        self.shard = shard

    def choose(self, avoid: list[int]) -> int:
        """The owner's incarnation; 0 if there is none that may live."""
        entry = self.router.view.pages.owner(self.service, self.shard)
        if entry is None:
            return 0
        record = self.router.view.members.get(entry.owner)
        if record is None or record.state is records.NodeState.ENDED:
            return 0
        return entry.owner

    def silent_after_ms(self, node: int) -> int:
        """How long the owner may be silent."""
        return self.router.answer_time(node).silent_after_ms()


class AnyNodeRoute(request_lib.Route):
    """Sends to the node of a service that is expected to answer first."""

    __slots__ = ("balancer", "router")

    def __init__(self, router: "EntryRouter", service: str):
        self.router = router
        self.balancer = router.balancer(service)

    def choose(self, avoid: list[int]) -> int:
        """A node by load and zone; one to avoid only if there is no other."""
        return self.balancer.choose(
            clock.now_ms(), (random.random(), random.random()), avoid
        )

    def silent_after_ms(self, node: int) -> int:
        """How long a node may be silent."""
        return self.router.answer_time(node).silent_after_ms()


class EntryRouter:
    """Routes the requests that enter the system at this process.

    Attributes:
      view: owner table and node records.
      peers: connections to the nodes.
      incarnation: this node's incarnation; 0 in a client.
      local: runs requests of this node itself; None in a client.
      entries: state shared by the requests of each service.
      exchanges: requests that have no answer yet.
      answer_times: estimate of each node's answer time.
      zone: availability zone of this process.
      table: keeps `view` up to date; set when the process is wired.
      balancers: choice of node for each service that is not divided by key.
    """

    def __init__(
        self,
        view: view_lib.View,
        peers: frames.PeerConnections,
        zone: str,
        incarnation: int = 0,
        local: LocalExecutor | None = None,
    ):
        self.zone = zone
        self.table: TableSource | None = None
        self.balancers: dict[str, balancing.Balancer] = {}
        self._balanced_version = -1
        self.view = view
        self.peers = peers
        self.incarnation = incarnation
        self.local = local
        self.entries: dict[str, request_lib.Entry] = {}
        self.exchanges: set[Exchange] = set()
        self.answer_times: dict[int, connections.AnswerTime] = {}

    async def route(
        self, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Returns the final answer of a request, by its deadline."""
        exchange = Exchange(self, request)
        self.exchanges.add(exchange)
        try:
            exchange.handle(request_events.Start())
            return await exchange.answer
        finally:
            exchange.close()
            self.exchanges.discard(exchange)

    def on_table_advanced(self) -> None:
        """Tells the open requests that the replica has news."""
        for exchange in list(self.exchanges):
            exchange.handle(request_events.TableAdvanced())

    def entry(self, service: str) -> request_lib.Entry:
        """The state shared by the requests of a service."""
        if service not in self.entries:
            self.entries[service] = request_lib.Entry(clock.now_ms())
        return self.entries[service]

    def answer_time(self, node: int) -> connections.AnswerTime:
        """The estimate of a node's answer time."""
        if node not in self.answer_times:
            self.answer_times[node] = connections.AnswerTime()
        return self.answer_times[node]

    def balancer(self, service: str) -> balancing.Balancer:
        """The choice of node for a service, with its present nodes."""
        version = self.view.members.version
        if version != self._balanced_version:
            self._balanced_version = version
            for name, balancer in self.balancers.items():
                balancer.set_nodes(self._zones(name))
        if service not in self.balancers:
            self.balancers[service] = balancing.Balancer(self.zone)
            self.balancers[service].set_nodes(self._zones(service))
        return self.balancers[service]

    def _zones(self, service: str) -> dict[int, str]:
        return {
            record.incarnation: record.zone
            for record in self.view.members.serving(service)
        }

    def forget_ended(self) -> None:
        """Drops the estimates of nodes that are gone."""
        for node in list(self.answer_times):
            if self.view.members.get(node) is None:
                del self.answer_times[node]

    def route_of(self, request: messages.Request) -> request_lib.Route:
        """Where the attempts of a request can go."""
        if request.shard >= 0:
            return KeyedRoute(self, request.service, request.shard)
        return AnyNodeRoute(self, request.service)

    def on_refusal(self, node: int, refusal: messages.Refusal) -> None:
        """Catches up with a node that knows more; see TableSource."""
        record = self.view.members.get(node)
        if record is not None and self.table is not None:
            self.table.on_hint(
                record.address, record.peer_port, refusal.watermark
            )

    async def send(
        self, send: request_events.Send, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Sends one attempt; raises PeerError."""
        attempt = messages.Request(
            0,
            request.request_id,
            request.service,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.key,
            request.shard,
            max(send.deadline_ms, SHORTEST_TIMEOUT_MS),
            request.idempotent,
            request.idempotency_key,
            request.caller,
            request.first_try,
            send.fresh_connection,
        )
        if self.local is not None and send.node == self.incarnation:
            return await self.local.execute(attempt)
        record = self.view.members.get(send.node)
        if record is None:
            raise frames.PeerError(
                f"node {send.node:016x} is not in the replica", sent=False
            )
        return await self.peers.exchange(
            record.address,
            record.peer_port,
            attempt,
            attempt.deadline_ms / MILLISECONDS_PER_SECOND,
            send.fresh_connection,
        )


class Exchange:
    """One request on its way.

    Attributes:
      router: where it belongs.
      request: the request.
      answer: future of the final answer.
      lifecycle: decides what happens next.
      attempts: task of each attempt that is under way.
    """

    __slots__ = (
        "_timer",
        "_timer_at_ms",
        "answer",
        "attempts",
        "lifecycle",
        "loop",
        "request",
        "router",
    )

    def __init__(self, router: EntryRouter, request: messages.Request):
        self.router = router
        self.request = request
        self.loop = asyncio.get_running_loop()
        self.answer: asyncio.Future = self.loop.create_future()
        self.attempts: dict[int, asyncio.Task] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = 0
        self.lifecycle = request_lib.Lifecycle(
            request_lib.Details(
                request.request_id,
                clock.now_ms() + request.deadline_ms,
                request.idempotent,
                request.shard >= 0,
                bool(request.idempotency_key),
            ),
            router.entry(request.service),
            router.route_of(request),
            random.random(),
        )

    def handle(self, event: request_events.Event) -> None:
        """Gives the lifecycle an event and does what it asks."""
        if self.answer.done():
            return
        for action in self.lifecycle.handle(clock.now_ms(), event):
            self._act(action)
        if not self.answer.done():
            self._set_timer()

    def close(self) -> None:
        """Abandons what is left, as when the caller has gone."""
        if not self.answer.done():
            self.lifecycle.handle(clock.now_ms(), request_events.CallerGone())
        if self._timer is not None:
            self._timer.cancel()
        for task in self.attempts.values():
            task.cancel()

    def _act(self, action: request_events.Action) -> None:
        match action:
            case request_events.Send():
                task = self.loop.create_task(self._attempt(action))
                self.attempts[action.attempt] = task
            case request_events.Cancel():
                task = self.attempts.pop(action.attempt, None)
                if task is not None:
                    task.cancel()
            case request_events.Reply():
                self.answer.set_result(action.response)
            case request_events.Refuse():
                self.answer.set_result(self._refusal(action.failure))

    def _refusal(self, failure: errors.Failure) -> messages.Refusal:
        return messages.Refusal(
            0,
            self.request.request_id,
            failure.kind,
            failure.message,
            failure.retry_after_ms,
            self.router.view.replica.revision,
        )

    async def _attempt(self, send: request_events.Send) -> None:
        began_ms = clock.exact_ms()
        balancer = self._balancer()
        outcome = balancing.Outcome.ABANDONED
        if balancer is not None:
            balancer.sent(send.node)
        try:
            event = await self._exchange(send)
            outcome = _outcome(event)
        finally:
            answer_ms = clock.exact_ms() - began_ms
            if balancer is not None:
                now_ms = clock.now_ms()
                balancer.ended(now_ms, send.node, outcome, answer_ms)
        self.attempts.pop(send.attempt, None)
        if outcome is balancing.Outcome.ANSWERED:
            self.router.answer_time(send.node).observe(answer_ms)
        self.handle(event)

    async def _exchange(
        self, send: request_events.Send
    ) -> request_events.Event:
        try:
            frame = await self.router.send(send, self.request)
        except frames.PeerError as error:
            return _failed(send.attempt, error)
        except Exception as error:
            # Whatever went wrong here, the caller must get its answer.
            return request_events.Lost(send.attempt, repr(error))
        if isinstance(frame, messages.Refusal):
            self.router.on_refusal(send.node, frame)
        return _ended(send.attempt, frame)

    def _balancer(self) -> balancing.Balancer | None:
        if self.request.shard >= 0:
            return None
        return self.router.balancer(self.request.service)

    def _set_timer(self) -> None:
        wake_at_ms = self.lifecycle.wake_at_ms
        if self._timer is not None:
            if self._timer_at_ms == wake_at_ms:
                return
            self._timer.cancel()
        self._timer_at_ms = wake_at_ms
        delay_ms = max(0, wake_at_ms - clock.now_ms())
        self._timer = self.loop.call_later(
            delay_ms / MILLISECONDS_PER_SECOND, self._tick
        )

    def _tick(self) -> None:
        self._timer = None
        self.handle(request_events.Tick())


def _outcome(event: request_events.Event) -> balancing.Outcome:
    if isinstance(event, request_events.Answered):
        return balancing.Outcome.ANSWERED
    if not isinstance(event, request_events.Refused):
        return balancing.Outcome.LOST
    kind = event.failure.kind
    if errors.ANSWERS[kind].ran is not errors.Ran.NO:
        return balancing.Outcome.LOST
    if kind in _FAULTS_OF_REQUEST:
        return balancing.Outcome.ABANDONED
    return balancing.Outcome.SHED


def _ended(attempt: int, frame: messages.Frame) -> request_events.Event:
    match frame:
        case messages.Response():
            # A node of an older version may pass on, or have kept, a response
            # that its target must not have sent.
            fault = response_status.fault_of(frame.status, bool(frame.body))
            if fault:
                return request_events.Lost(attempt, fault)
            return request_events.Answered(attempt, frame)
        case messages.Refusal():
            failure = errors.Failure(
                frame.kind, frame.message, frame.retry_after_ms
            )
            return request_events.Refused(attempt, failure)
    return request_events.Lost(attempt, f"got {type(frame).__name__}")


def _failed(attempt: int, error: frames.PeerError) -> request_events.Event:
    if error.sent:
        return request_events.Lost(attempt, str(error))
    return request_events.NotSent(attempt, str(error))
