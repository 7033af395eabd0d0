"""This node's connection to one other node, over which it asks.

A request keeps its number when the connection is lost and made anew: the other
node, if it is the same process, runs it once and answers it on the new one.
"""

import abc
import asyncio
from collections.abc import Callable

import msgspec

from auburnrock import errors
from auburnrock.engine.mesh import connection_state
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import frames

CONNECT_TIMEOUT_S = 0.6
"""Nodes of a region answer in milliseconds; one lost packet costs 0.2 s."""

UNSENT_S = 0.15
"""A request waits so long for a connection. It takes milliseconds to open one;
later the node is lost, and the request can still be in time elsewhere."""

UNREACHABLE_RETRY_MS = 200.0
"""Return time for a request whose node cannot be reached; a restarted process
is back within seconds, and callers have one return."""

ABANDONED_MAX = 1_024
"""Requests that a node is told to end once it can be reached again."""

GREETING_POLL_S = 0.005
"""Questions wait for a connection in steps of this."""


class LinkDelegate(abc.ABC):
    """What a link needs of the node that it belongs to.

    Attributes:
      log: takes events.
      now_ms: the time.
      sent_bytes: bytes written to other nodes, by kind of message.
      should_fail_over: whether a request at a silent node is sent to another
        now.
    """

    log: event_log.EventLog
    now_ms: Callable[[], float]
    sent_bytes: dict[str, int]
    should_fail_over: Callable[[peer_messages.RunRequest], bool]

    @abc.abstractmethod
    def hello(self, asks_for_snapshot: bool) -> peer_messages.Hello:
        """The first message on a connection."""

    @abc.abstractmethod
    def ping_for(self, link: "PeerLink") -> peer_messages.Ping:
        """A ping with this node's load and what the other must know."""

    @abc.abstractmethod
    def snapshot_for(
        self, hello: peer_messages.Hello
    ) -> peer_messages.Snapshot:
        """What this node knows and the other one lacks."""

    @abc.abstractmethod
    def handle_outcome(
        self, link: "PeerLink", message: peer_messages.Message
    ) -> None:
        """Takes a message that is no outcome and answers no question."""

    @abc.abstractmethod
    def on_connect_failed(self, link: "PeerLink", refused: bool) -> None:
        """The other node cannot be connected to."""


class Waiting:
    """A request without an outcome.

    Attributes:
      run: the request.
      future: gets its outcome.
      since_ms: when it was handed to the link.
      sent: whether a byte of it may have left.
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
    """This node's connection to one other node.

    Attributes:
      member: the other node's record.
      state: when to connect, ping and close.
      connection: the open connection; None without one.
      handshake_done: whether the other end has said who it is.
      process_incarnation: the other process's start as it said last.
      leaving: whether the other process has said that it ends.
      retired: whether the other node's record is gone or has another address.
      pending_requests: requests without an outcome, by number.
      unsent_cancels: when requests are over that nobody waits for any more,
        which the other node has not been told, by number.
      cancelled: the same for those that it was told on this connection and has
        not confirmed.
      questions: questions without an answer, by what they ask.
      due_ms: when the next step is due.
      pending_entries: entries to tell the other node soon, by name.
    """

    def __init__(self, owner: LinkDelegate, member: model.Member):
        self.delegate = owner
        self.loop = asyncio.get_running_loop()
        self.member = member
        self.state = connection_state.ConnectionState(owner.now_ms())
        self.connection: frames.FrameConnection | None = None
        self.handshake_done = False
        self.process_incarnation = ""
        self.leaving = False
        self.retired = False
        self.was_heard = False
        self.pending_requests: dict[int, Waiting] = {}
        self.unsent_cancels: dict[int, float] = {}
        self.cancelled: dict[int, float] = {}
        self.questions: dict[tuple, list[asyncio.Future]] = {}
        self.pending_entries: dict[str, membership.Entry] = {}
        self.due_ms = 0.0
        self.opening: asyncio.Task | None = None

    def step(self) -> bool:
        """Does what is due now; False if the link is no longer needed."""
        now_ms = self.delegate.now_ms()
        still_needed = self._step(now_ms)
        self.due_ms = self.state.due_ms(now_ms)
        return still_needed

    def _step(self, now_ms: float) -> bool:
        self.state.in_flight = len(self.pending_requests) + len(self.questions)
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
        """Tries to connect once."""
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
            self.was_heard = False
            if refused:
                self.lose_all(errors.ErrorKind.OUTCOME_UNKNOWN)
            else:
                self.refuse_unsent()
                self.fail_over_requests()
            if not self.retired:
                self.delegate.on_connect_failed(self, refused)
            return
        self.handshake_done = False
        self.connection = connection
        self.state.on_opened()
        connection.send(self.delegate.hello(False))
        if self.state.keep_open:
            self.ping()

    def ping(self) -> None:
        """Sends a ping, if there is a connection."""
        if self.connection is not None:
            self.connection.send(self.delegate.ping_for(self))
            self.state.on_pinged(self.delegate.now_ms())

    def send(self, message: peer_messages.Message) -> None:
        """Sends a message if the other node is there to take it."""
        if self.connection is not None and self.handshake_done:
            self.connection.send(message)

    def on_closed(self, connection: frames.FrameConnection) -> None:
        """The connection has ended."""
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
        """Ends the connection; another may be opened."""
        if self.connection is not None:
            connection = self.connection
            self.forget_connection()
            connection.abort()

    def forget_connection(self) -> None:
        """The connection is no more; what was sent on it may not arrive."""
        now_ms = self.delegate.now_ms()
        self.connection = None
        self.leaving = False
        self.state.on_lost(now_ms)
        self.due_ms = 0.0
        for number, over_ms in self.cancelled.items():
            if over_ms > now_ms:
                _note(self.unsent_cancels, number, over_ms)
                self.state.connect_requested = True
        self.cancelled.clear()

    def on_message(
        self, connection: frames.FrameConnection, message: peer_messages.Message
    ) -> None:
        """Takes what the other node answers."""
        if connection is not self.connection:
            return
        self.state.on_answer()
        if not self.was_heard:
            self.was_heard = True
            self.delegate.log.write("peer_connected", peer=self.member.name)
        if isinstance(message, peer_messages.Hello):
            self.on_hello(message)
        elif isinstance(message, peer_messages.RunOutcome):
            self.cancelled.pop(message.number, None)
            entry = self.pending_requests.pop(message.number, None)
            if entry is not None and not entry.future.done():
                entry.future.set_result(message)
        elif isinstance(message, peer_messages.Bye):
            self.leaving = True
        elif isinstance(message, peer_messages.SilenceReply):
            self.on_told(("silence", message.name), message.silent_ms)
        elif isinstance(message, peer_messages.ChangeReply):
            self.on_told(("change", message.number), message)
        elif isinstance(message, peer_messages.SealReply):
            mark = ("seal", message.name, message.revision)
            self.on_told(mark, message.left_ms)
        else:
            self.delegate.handle_outcome(self, message)

    def on_progress(self) -> None:
        """A part of a message has come, so the other node is not silent."""
        self.state.on_progress(self.delegate.now_ms())

    def on_hello(self, hello: peer_messages.Hello) -> None:
        """Sends what waits, again if it is the process that has it already."""
        if self.process_incarnation and hello.start != self.process_incarnation:
            self.lose_sent(errors.ErrorKind.OUTCOME_UNKNOWN)
            self.unsent_cancels.clear()
        self.leaving = self.leaving and hello.start == self.process_incarnation
        self.process_incarnation = hello.start
        self.handshake_done = True
        if hello.asks_for_snapshot:
            self.connection.send(self.delegate.snapshot_for(hello))
        for number, over_ms in self.unsent_cancels.items():
            self.cancel(number, over_ms)
        self.unsent_cancels.clear()
        self.lose_overdue()
        for entry in self.pending_requests.values():
            self.send_run(entry)

    def lose_overdue(self) -> None:
        """Gives up what was sent and whose time is over.

        The other process may have forgotten that it has run it, and would
        decline it as late.
        """
        now_ms = self.delegate.now_ms()
        for number, entry in list(self.pending_requests.items()):
            if entry.sent and now_ms - entry.since_ms >= entry.run.left_ms:
                del self.pending_requests[number]
                kind = errors.ErrorKind.DEADLINE_EXCEEDED
                _settle(entry, _lost(number, kind))

    def send_run(self, entry: Waiting) -> None:
        """Sends a request with the time that it has left now."""
        now_ms = self.delegate.now_ms()
        run = entry.run
        gone_ms = now_ms - entry.since_ms
        if gone_ms > 0.0:
            run = msgspec.structs.replace(
                run,
                left_ms=run.left_ms - gone_ms,
                objective_left_ms=run.objective_left_ms - gone_ms,
                sent_ms=now_ms,
            )
        entry.sent = True
        self.connection.send(run)

    def fail_over_requests(self) -> None:
        """Gives up on what is asked of another node now.

        All else is kept: a node whose packets wait at a full link is silent
        too, and its target may be at work.
        """
        for number, entry in list(self.pending_requests.items()):
            if entry.sent and self.delegate.should_fail_over(entry.run):
                del self.pending_requests[number]
                self.cancel_remote(entry)
                _settle(entry, _lost(number, errors.ErrorKind.PEER_UNREACHABLE))

    def cancel_remote(self, entry: Waiting) -> None:
        """Ends a request at the other node, now or when it is back."""
        number = entry.run.number
        over_ms = entry.since_ms + entry.run.left_ms
        if self.connection is not None and self.handshake_done:
            self.cancel(number, over_ms)
            return
        _note(self.unsent_cancels, number, over_ms)
        self.state.connect_requested = True
        self.due_ms = 0.0

    def cancel(self, number: int, over_ms: float) -> None:
        """Tells the other node that nobody waits for a request."""
        self.connection.send(peer_messages.Cancel(number))
        _note(self.cancelled, number, over_ms)

    def lose_sent(self, kind: errors.ErrorKind) -> None:
        """The process that had these requests is gone."""
        for number, entry in list(self.pending_requests.items()):
            if entry.sent:
                del self.pending_requests[number]
                _settle(entry, _lost(number, kind))

    def refuse_unsent(self) -> None:
        """The requests that no byte was sent of have not run."""
        for number, entry in list(self.pending_requests.items()):
            if not entry.sent:
                del self.pending_requests[number]
                _settle(entry, unreachable_refusal(number))

    def refuse_unsent_one(self, number: int) -> None:
        """Refuses a request that still waits for a connection."""
        entry = self.pending_requests.get(number)
        if entry is not None and not entry.sent:
            del self.pending_requests[number]
            _settle(entry, unreachable_refusal(number))

    def lose_all(self, kind: errors.ErrorKind) -> None:
        """Nobody is left who could answer what waits."""
        self.lose_sent(kind)
        self.refuse_unsent()

    async def run(
        self, run: peer_messages.RunRequest
    ) -> peer_messages.RunOutcome:
        """Has the other node run a request."""
        now_ms = self.delegate.now_ms()
        if self.leaving or self.retired or self.state.is_connect_failing():
            self.state.connect_requested = True
            return unreachable_refusal(run.number)
        entry = Waiting(run, self.loop.create_future(), now_ms)
        self.pending_requests[run.number] = entry
        self.state.used_ms = now_ms
        self.due_ms = 0.0
        if self.connection is not None and self.handshake_done:
            self.send_run(entry)
        else:
            self.step()
            self.loop.call_later(UNSENT_S, self.refuse_unsent_one, run.number)
        try:
            return await entry.future
        except asyncio.CancelledError:
            if self.pending_requests.pop(run.number, None) and entry.sent:
                self.cancel_remote(entry)
            raise
        finally:
            self.state.used_ms = self.delegate.now_ms()

    async def query(
        self, message: peer_messages.Message, mark: tuple, timeout_s: float
    ) -> object | None:
        """Asks the node something; None without an answer in time."""
        future = self.loop.create_future()
        self.questions.setdefault(mark, []).append(future)
        self.due_ms = 0.0
        try:
            async with asyncio.timeout(timeout_s):
                if await self.is_greeted():
                    self.connection.send(message)
                    return await future
        except TimeoutError:
            pass
        finally:
            futures = self.questions.get(mark, [])
            if future in futures:
                futures.remove(future)
            if not futures:
                self.questions.pop(mark, None)
        return None

    async def is_greeted(self) -> bool:
        """Connects if need be; False if the node is not there."""
        while not (self.connection is not None and self.handshake_done):
            self.step()
            if self.connection is None and not self.state.connecting:
                return False
            await asyncio.sleep(GREETING_POLL_S)
        return True

    def on_told(self, mark: tuple, answer: object) -> None:
        """Takes the answer to a question."""
        for future in self.questions.pop(mark, []):
            if not future.done():
                future.set_result(answer)

    def usable(self) -> bool:
        """Whether a request can be sent to the node now."""
        return (
            self.connection is not None
            and self.handshake_done
            and not self.leaving
        )

    def retire(self) -> None:
        """Takes no more requests; the link ends once none waits.

        The node may be at work on those that were sent, whatever became of its
        record.
        """
        self.retired = True
        self.state.keep_open = False
        self.due_ms = 0.0
        self.refuse_unsent()

    def stop(self) -> None:
        """Ends the connection for good."""
        if self.opening is not None:
            self.opening.cancel()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
        self.lose_all(errors.ErrorKind.OUTCOME_UNKNOWN)


def unreachable_refusal(number: int) -> peer_messages.Refused:
    """The outcome of a request that was not sent: the node is not there."""
    return peer_messages.Refused(
        number,
        errors.ErrorKind.PEER_UNREACHABLE.value,
        UNREACHABLE_RETRY_MS,
        False,
        target_selection.NO_TARGET,
    )


def _note(numbers: dict[int, float], number: int, over_ms: float) -> None:
    """Keeps a request's number, and forgets the oldest beyond the limit."""
    numbers[number] = over_ms
    if len(numbers) > ABANDONED_MAX:
        del numbers[next(iter(numbers))]


def _lost(number: int, kind: errors.ErrorKind) -> peer_messages.Lost:
    return peer_messages.Lost(number, kind.value, target_selection.NO_TARGET)


def _settle(entry: Waiting, outcome: peer_messages.RunOutcome) -> None:
    if not entry.future.done():
        entry.future.set_result(outcome)
