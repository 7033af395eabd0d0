"""This node's outgoing link to one other node, for requests and gossip.

A request retains its number when the connection is lost and reopened. If the
other process is still the same, it runs the request once, and sends the outcome
on the new connection.
"""

import abc
import asyncio
from collections.abc import Callable

import msgspec

from auburnrock import errors
from auburnrock.engine import response_status
from auburnrock.engine.mesh import byte_budget
from auburnrock.engine.mesh import connection_state
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import frames

CONNECT_TIMEOUT_S = 0.6
"""Timeout of a connection attempt. Nodes of a region respond in milliseconds,
and one lost packet costs 0.2 s."""

UNSENT_TIMEOUT_S = 0.15
"""Time for which a request waits for a connection. Opening one takes
milliseconds; after this time the node is regarded as lost, and the request can
still be in time at another one."""

UNREACHABLE_RETRY_MS = 200.0
"""Retry delay for a request whose node cannot be reached. A restarted process
returns within seconds, and callers retry once."""

CANCELS_MAX = 1_024
"""Largest number of cancels retained for one node."""

HANDSHAKE_POLL_S = 0.005
"""Interval at which queries poll for the end of the handshake."""


class LinkDelegate(abc.ABC):
    """Interface through which a link calls its node.

    Attributes:
      log: event log.
      now_ms: returns the current time.
      sent_bytes: bytes written to other nodes, by kind of message.
      budget: limit of the bytes that all connections of the process keep.
      should_fail_over: whether a request at a silent node is sent to another
        target now.
    """

    log: event_log.EventLog
    now_ms: Callable[[], float]
    sent_bytes: dict[str, int]
    budget: byte_budget.ByteBudget | None = None
    should_fail_over: Callable[[peer_messages.RunRequest], bool]

    @abc.abstractmethod
    def hello(self, asks_for_snapshot: bool) -> peer_messages.Hello:
        """Returns the first message of a connection."""

    @abc.abstractmethod
    def ping_for(self, link: "PeerLink") -> peer_messages.Ping:
        """Returns a ping with this node's load and other state for the peer."""

    @abc.abstractmethod
    def snapshot_for(
        self, hello: peer_messages.Hello
    ) -> peer_messages.Snapshot:
        """Returns the items and entries that the connected node lacks."""

    def lacks_former_entry(self) -> bool:
        """Whether peers may know an entry of this node's former process."""
        return False

    @abc.abstractmethod
    def on_handshake(self, link: "PeerLink") -> None:
        """Handles the completed handshake of a link's connection."""

    @abc.abstractmethod
    def handle_outcome(
        self, link: "PeerLink", message: peer_messages.Message
    ) -> None:
        """Handles a message that is neither an outcome nor a query's reply."""

    @abc.abstractmethod
    def on_connect_failed(self, link: "PeerLink", refused: bool) -> None:
        """Handles a failed attempt to connect to the other node."""


class PendingRequest:
    """A request without an outcome.

    Attributes:
      run: the request message.
      future: future of its outcome.
      since_ms: when the request was passed to the link.
      sent: whether any byte of the request may have been sent.
    """

    __slots__ = ("future", "run", "sent", "since_ms")

    def __init__(
        self,
        run: peer_messages.RunRequest,
        future: asyncio.Future,
        since_ms: float,
    ):
        self.run = run
        self.future = future
        self.since_ms = since_ms
        self.sent = False


class PeerLink:
    """This node's outgoing link to one other node.

    Attributes:
      member: the other node's record.
      state: when to connect, ping and close.
      connection: the open connection; None without one.
      handshake_done: whether the Hello of the other end was received.
      process_incarnation: incarnation of the other process in its last Hello.
      leaving: whether the other process has announced its end.
      retired: whether the other node's record was removed or has another
        address.
      has_received: whether a message was received since the last failed
        connection attempt.
      pending_requests: requests without an outcome, by number.
      unsent_cancels: deadlines of cancelled requests whose cancel has not been
        sent, by number.
      cancelled: deadlines of cancelled requests whose cancel was sent on this
        connection and is not confirmed, by number.
      pending_queries: futures of the queries without a reply, by query key.
      due_ms: time at which the next step is due.
      pending_entries: directory entries to gossip to the other node, by name.
    """

    def __init__(self, delegate: LinkDelegate, member: model.Member):
        self.delegate = delegate
        self.loop = asyncio.get_running_loop()
        self.member = member
        self.state = connection_state.ConnectionState(delegate.now_ms())
        self.connection: frames.FrameConnection | None = None
        self.handshake_done = False
        self.process_incarnation = ""
        self.leaving = False
        self.retired = False
        self.has_received = False
        self.pending_requests: dict[int, PendingRequest] = {}
        self.unsent_cancels: dict[int, float] = {}
        self.cancelled: dict[int, float] = {}
        self.pending_queries: dict[tuple, list[asyncio.Future]] = {}
        self.pending_entries: dict[str, membership.Entry] = {}
        self.due_ms = 0.0
        self.opening: asyncio.Task | None = None

    def step(self) -> bool:
        """Performs the due step; returns False if the link is not needed."""
        now_ms = self.delegate.now_ms()
        still_needed = self._step(now_ms)
        self.due_ms = self.state.due_ms(now_ms)
        return still_needed

    def _step(self, now_ms: float) -> bool:
        self.state.in_flight = len(self.pending_requests) + len(
            self.pending_queries
        )
        if self.retired and not self.state.in_flight:
            return False
        step = self.state.next_action(now_ms)
        if step is connection_state.ConnectionAction.CONNECT:
            self.state.connecting = True
            self.opening = self.loop.create_task(self.connect())
        elif step is connection_state.ConnectionAction.PING:
            self.ping()
        elif step is connection_state.ConnectionAction.ABORT:
            silent_ms = int(now_ms - self.state.unanswered_since_ms)
            waiting = len(self.pending_requests)
            self.drop_connection()
            self.fail_over_requests()
            self.delegate.log.write(
                "peer_silent",
                peer=self.member.name,
                silent_ms=silent_ms,
                waiting=waiting,
                given_up=waiting - len(self.pending_requests),
            )
        return step is not connection_state.ConnectionAction.CLOSE

    async def connect(self) -> None:
        """Makes one attempt to connect."""
        host, _, port = self.member.address.rpartition(":")
        refused = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: frames.FrameConnection(
                        self.on_message,
                        self.on_closed,
                        self.delegate.sent_bytes,
                        self.on_progress,
                        self.delegate.budget,
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            if not self.state.failures:
                self.delegate.log.write(
                    "peer_gone" if refused else "peer_unreachable",
                    peer=self.member.name,
                    reason=str(error),
                )
            self.state.on_failed(self.delegate.now_ms(), refused)
            self.has_received = False
            if refused:
                self.fail_all(errors.ErrorKind.OUTCOME_UNKNOWN)
            else:
                self.refuse_unsent()
                self.fail_over_requests()
            if not self.retired:
                self.delegate.on_connect_failed(self, refused)
            return
        self.handshake_done = False
        self.connection = connection
        self.state.on_opened()
        connection.send(self.delegate.hello(self.delegate.lacks_former_entry()))
        if self.state.keep_open:
            self.ping()

    def ping(self) -> None:
        """Sends a ping, if there is a connection."""
        if self.connection is not None:
            self.connection.send(self.delegate.ping_for(self))
            self.state.on_pinged(self.delegate.now_ms())

    def send(self, message: peer_messages.Message) -> None:
        """Sends a message if the link is connected; otherwise drops it."""
        if self.connection is not None and self.handshake_done:
            self.connection.send(message)

    def on_closed(self, connection: frames.FrameConnection) -> None:
        """Handles the end of a connection."""
        if connection.reject_reason:
            self.delegate.log.write(
                "frame_unreadable",
                peer=self.member.name,
                reason=connection.reject_reason,
            )
        if connection is self.connection:
            self.forget_connection()
            if self.pending_requests:
                self.step()

    def drop_connection(self) -> None:
        """Aborts the connection; another one may be opened."""
        if self.connection is not None:
            connection = self.connection
            self.forget_connection()
            connection.abort()

    def forget_connection(self) -> None:
        """Resets the link's state after the loss of its connection.

        Cancels sent on it may not have arrived, and are queued again.
        """
        now_ms = self.delegate.now_ms()
        self.connection = None
        self.leaving = False
        self.state.on_lost(now_ms)
        self.due_ms = 0.0
        for number, expires_ms in self.cancelled.items():
            if expires_ms > now_ms:
                _record_cancel(self.unsent_cancels, number, expires_ms)
                self.state.connect_requested = True
        self.cancelled.clear()

    def on_message(
        self, connection: frames.FrameConnection, message: peer_messages.Message
    ) -> None:
        """Handles a message of the other node."""
        if connection is not self.connection:
            return
        self.state.on_answer()
        if not self.has_received:
            self.has_received = True
            self.delegate.log.write("peer_connected", peer=self.member.name)
        if isinstance(message, peer_messages.Hello):
            self.on_hello(message)
        elif isinstance(message, peer_messages.RunOutcome):
            self.cancelled.pop(message.number, None)
            entry = self.pending_requests.pop(message.number, None)
            if entry is not None and not entry.future.done():
                entry.future.set_result(self.checked_outcome(entry, message))
        elif isinstance(message, peer_messages.Bye):
            self.leaving = True
        elif isinstance(message, peer_messages.SilenceReply):
            self.on_reply(("silence", message.name), message.silent_ms)
        elif isinstance(message, peer_messages.ChangeReply):
            self.on_reply(("change", message.number), message)
        elif isinstance(message, peer_messages.SealReply):
            query_key = ("seal", message.name, message.revision)
            self.on_reply(query_key, message.left_ms)
        else:
            if isinstance(message, peer_messages.Pong):
                self.on_reply(("pong", message.sent_ms), message)
            self.delegate.handle_outcome(self, message)

    def checked_outcome(
        self, entry: PendingRequest, outcome: peer_messages.RunOutcome
    ) -> peer_messages.RunOutcome:
        """Returns an outcome, in which no invalid response is an answer.

        A node of an older version may send, or have retained, a response that
        its target must not have sent.
        """
        if not isinstance(outcome, peer_messages.Answered):
            return outcome
        fault = response_status.fault_of(
            outcome.status, has_body=bool(outcome.body)
        )
        if not fault:
            return outcome
        self.delegate.log.write(
            "answer_lost",
            attempt=entry.run.attempt,
            kind=errors.ErrorKind.OUTCOME_UNKNOWN.value,
            peer=self.member.name,
            sent_ago_ms=int(self.delegate.now_ms() - entry.since_ms),
            mark=entry.run.fingerprint,
            reason=fault,
        )
        return peer_messages.Lost(
            outcome.number,
            errors.ErrorKind.OUTCOME_UNKNOWN.value,
            outcome.report,
        )

    def on_progress(self) -> None:
        """Records progress: part of a message shows that the node is alive."""
        self.state.on_progress(self.delegate.now_ms())

    def on_hello(self, hello: peer_messages.Hello) -> None:
        """Completes the handshake, and sends the pending messages.

        Requests that were sent before are sent again if the process at the
        other end is still the same, and fail otherwise.
        """
        if self.process_incarnation and hello.start != self.process_incarnation:
            self.fail_sent(errors.ErrorKind.OUTCOME_UNKNOWN)
            self.unsent_cancels.clear()
        self.leaving = self.leaving and hello.start == self.process_incarnation
        self.process_incarnation = hello.start
        self.handshake_done = True
        if hello.asks_for_snapshot:
            self.connection.send(self.delegate.snapshot_for(hello))
        self.delegate.on_handshake(self)
        for number, expires_ms in self.unsent_cancels.items():
            self.cancel(number, expires_ms)
        self.unsent_cancels.clear()
        self.fail_overdue()
        for entry in self.pending_requests.values():
            self.send_run(entry)

    def fail_overdue(self) -> None:
        """Fails requests that were sent and whose deadline has passed.

        The other process may no longer retain the outcome, and would refuse
        such a request as late although it has run.
        """
        now_ms = self.delegate.now_ms()
        for number, entry in list(self.pending_requests.items()):
            if entry.sent and now_ms - entry.since_ms >= entry.run.left_ms:
                del self.pending_requests[number]
                kind = errors.ErrorKind.DEADLINE_EXCEEDED
                _set_outcome(entry, _lost(number, kind))

    def send_run(self, entry: PendingRequest) -> None:
        """Sends a request with the time that is left until its deadline."""
        now_ms = self.delegate.now_ms()
        run = entry.run
        elapsed_ms = now_ms - entry.since_ms
        if elapsed_ms > 0.0:
            run = msgspec.structs.replace(
                run,
                left_ms=run.left_ms - elapsed_ms,
                objective_left_ms=run.objective_left_ms - elapsed_ms,
                sent_ms=now_ms,
            )
        entry.sent = True
        self.connection.send(run)

    def fail_over_requests(self) -> None:
        """Fails the requests that are sent to another target now.

        All other requests remain pending: a node whose packets are queued at a
        congested link is silent too, and its target may be running them.
        """
        for number, entry in list(self.pending_requests.items()):
            if entry.sent and self.delegate.should_fail_over(entry.run):
                del self.pending_requests[number]
                self.cancel_remote(entry)
                _set_outcome(
                    entry, _lost(number, errors.ErrorKind.PEER_UNREACHABLE)
                )

    def cancel_remote(self, entry: PendingRequest) -> None:
        """Cancels a request at the other node, now or after a reconnect."""
        number = entry.run.number
        expires_ms = entry.since_ms + entry.run.left_ms
        if self.connection is not None and self.handshake_done:
            self.cancel(number, expires_ms)
            return
        _record_cancel(self.unsent_cancels, number, expires_ms)
        self.state.connect_requested = True
        self.due_ms = 0.0

    def cancel(self, number: int, expires_ms: float) -> None:
        """Sends the cancel of a request to the other node."""
        self.connection.send(peer_messages.Cancel(number))
        _record_cancel(self.cancelled, number, expires_ms)

    def fail_sent(self, kind: errors.ErrorKind) -> None:
        """Fails all requests that were sent: the process has ended."""
        for number, entry in list(self.pending_requests.items()):
            if entry.sent:
                del self.pending_requests[number]
                _set_outcome(entry, _lost(number, kind))

    def refuse_unsent(self) -> None:
        """Refuses all requests of which no byte was sent: they have not run."""
        for number, entry in list(self.pending_requests.items()):
            if not entry.sent:
                del self.pending_requests[number]
                _set_outcome(entry, unreachable_refusal(number))

    def refuse_unsent_one(self, number: int) -> None:
        """Refuses a request that is still waiting for a connection."""
        entry = self.pending_requests.get(number)
        if entry is not None and not entry.sent:
            del self.pending_requests[number]
            _set_outcome(entry, unreachable_refusal(number))

    def fail_all(self, kind: errors.ErrorKind) -> None:
        """Fails or refuses all requests: the process has ended."""
        self.fail_sent(kind)
        self.refuse_unsent()

    async def run(
        self, run: peer_messages.RunRequest
    ) -> peer_messages.RunOutcome:
        """Runs a request at the other node, and returns its outcome."""
        now_ms = self.delegate.now_ms()
        if self.leaving or self.retired or self.state.is_connect_failing():
            self.state.connect_requested = True
            return unreachable_refusal(run.number)
        entry = PendingRequest(run, self.loop.create_future(), now_ms)
        self.pending_requests[run.number] = entry
        self.state.used_ms = now_ms
        self.due_ms = 0.0
        if self.connection is not None and self.handshake_done:
            self.send_run(entry)
        else:
            self.step()
            self.loop.call_later(
                UNSENT_TIMEOUT_S, self.refuse_unsent_one, run.number
            )
        try:
            return await entry.future
        except asyncio.CancelledError:
            if self.pending_requests.pop(run.number, None) and entry.sent:
                self.cancel_remote(entry)
            raise
        finally:
            self.state.used_ms = self.delegate.now_ms()

    async def query(
        self, message: peer_messages.Message, query_key: tuple, timeout_s: float
    ) -> object | None:
        """Sends a query; returns the reply, or None after the timeout."""
        future = self.loop.create_future()
        self.pending_queries.setdefault(query_key, []).append(future)
        self.due_ms = 0.0
        try:
            async with asyncio.timeout(timeout_s):
                if await self.wait_for_handshake():
                    self.connection.send(message)
                    return await future
        except TimeoutError:
            pass
        finally:
            futures = self.pending_queries.get(query_key, [])
            if future in futures:
                futures.remove(future)
            if not futures:
                self.pending_queries.pop(query_key, None)
        return None

    async def confirm(
        self, message: peer_messages.Message, timeout_s: float
    ) -> bool:
        """Sends a message; returns whether the other node has handled it.

        Messages of a connection are handled in order, so the reply to a ping
        that follows confirms it.
        """
        connection = self.connection
        if connection is None:
            return False
        connection.send(message)
        ping = self.delegate.ping_for(self)
        pong = await self.query(ping, ("pong", ping.sent_ms), timeout_s)
        return pong is not None and self.connection is connection

    async def wait_for_handshake(self) -> bool:
        """Waits for the handshake; returns False if connecting fails."""
        while not (self.connection is not None and self.handshake_done):
            self.step()
            if self.connection is None and not self.state.connecting:
                return False
            await asyncio.sleep(HANDSHAKE_POLL_S)
        return True

    def on_reply(self, query_key: tuple, reply: object) -> None:
        """Delivers the reply to the queries with this key."""
        for future in self.pending_queries.pop(query_key, []):
            if not future.done():
                future.set_result(reply)

    def usable(self) -> bool:
        """Whether a request can be sent to the other node now."""
        return (
            self.connection is not None
            and self.handshake_done
            and not self.leaving
        )

    def retire(self) -> None:
        """Stops accepting requests; the link ends once none is pending.

        Requests that were sent stay pending: the node may be running them even
        if its record was removed or changed.
        """
        self.retired = True
        self.state.keep_open = False
        self.due_ms = 0.0
        self.refuse_unsent()

    def stop(self) -> None:
        """Closes the link, and fails its requests."""
        if self.opening is not None:
            self.opening.cancel()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
        self.fail_all(errors.ErrorKind.OUTCOME_UNKNOWN)


def unreachable_refusal(number: int) -> peer_messages.Refused:
    """Returns the refusal of a request whose node cannot be reached."""
    return peer_messages.Refused(
        number,
        errors.ErrorKind.PEER_UNREACHABLE.value,
        UNREACHABLE_RETRY_MS,
        False,
        target_selection.NO_TARGET,
    )


def _record_cancel(
    numbers: dict[int, float], number: int, expires_ms: float
) -> None:
    """Records a cancelled request, and drops the oldest beyond the limit."""
    numbers[number] = expires_ms
    if len(numbers) > CANCELS_MAX:
        del numbers[next(iter(numbers))]


def _lost(number: int, kind: errors.ErrorKind) -> peer_messages.Lost:
    return peer_messages.Lost(number, kind.value, target_selection.NO_TARGET)


def _set_outcome(
    entry: PendingRequest, outcome: peer_messages.RunOutcome
) -> None:
    if not entry.future.done():
        entry.future.set_result(outcome)
