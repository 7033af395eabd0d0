"""Connections to other nodes: requests, pings, renewals and seals.

Each node connects to each other one and asks over its own connection. A
request keeps its number when the connection is lost and made anew: the other
node, if it is the same process, runs it once and answers it on the new one.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection

import msgspec

from auburnrock import errors
from auburnrock.engine.mesh import choice
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peering
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import frames

CONNECT_TIMEOUT_S = 0.6
"""Nodes of a region answer in milliseconds; one lost packet costs 0.2 s."""

RETRY_S = 0.15
"""Between two attempts to connect: a restarted node is found soon."""

SILENT_MS = 900.0
"""A connection without a pong for this long is made anew."""

ALIVE_MS = 1_400.0
"""A node that was heard within this time counts as alive."""

PING_MS = 300.0
"""Pings to witnesses, and to all in small fleets; see lease.RENEW_EVERY_MS."""

SLOW_PING_MS = 2_000.0
"""Pings to nodes that are no witnesses in large fleets."""

SMALL_FLEET = 24
"""Up to so many nodes every pair pings at the fast rate."""

RESULT_KEPT_S = 3.0
"""Results wait so long for a connection to be made anew."""

ORPHAN_S = 1.5
"""Work of a node that does not come back is cancelled after this."""

IDEMPOTENT_ORPHAN_S = 0.35
"""The same for idempotent work: its node connects anew within this, or has
given it up and asked elsewhere."""

OFFSET_DRIFT_MS = 0.05
"""Clocks of two hosts drift apart by less than this between two pings."""


class Link:
    """This node's connection to one other node.

    Attributes:
      member: the other node's record.
      connection: the open connection; None without one.
      start: the other process's start as it said last.
      status: what it said of itself last.
      report: load of its target, as it said last.
      heard_ms: when anything came last.
      waiting: requests without an outcome, with the time of sending.
      refused: whether nobody listened at the last attempt.
      leaving: whether the other process has said that it ends.
    """

    def __init__(self, hub: "Hub", member: model.Member):
        self.hub = hub
        self.member = member
        self.connection: frames.FrameConnection | None = None
        self.greeted = False
        self.start = ""
        self.status: peering.Status | None = None
        self.report = choice.NO_TARGET
        self.heard_ms = 0.0
        self.opened_ms = 0.0
        self.answered_ms = 0.0
        self.refused = False
        self.leaving = False
        self.was_alive = False
        self.waiting: dict[int, tuple[peering.Run, asyncio.Future, float]] = {}
        self.questions: dict[tuple, list[asyncio.Future]] = {}
        self.stopped = False
        self.task = hub.loop.create_task(self.keep())

    async def keep(self) -> None:
        """Keeps a connection open and pinged until it is stopped."""
        while not self.stopped:
            if self.connection is None:
                await self.connect()
            if self.connection is None:
                await asyncio.sleep(RETRY_S)
                continue
            self.ping()
            await asyncio.sleep(self.hub.ping_ms(self.member.name) / 1_000)
            silent_ms = self.hub.now_ms() - max(
                self.answered_ms, self.opened_ms
            )
            limit_ms = max(SILENT_MS, 2.5 * self.hub.ping_ms(self.member.name))
            if self.connection is not None and silent_ms > limit_ms:
                self.hub.log.write(
                    "peer_silent",
                    peer=self.member.name,
                    silent_ms=int(silent_ms),
                    waiting=len(self.waiting),
                )
                self.connection.abort()
                self.connection = None
                self.lose_idempotent()

    async def connect(self) -> None:
        """Tries to connect once."""
        host, _, port = self.member.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.hub.loop.create_connection(
                    lambda: frames.FrameConnection(
                        self.on_message,
                        self.on_closed,
                        self.hub.sent_bytes,
                    ),
                    host,
                    int(port),
                )
        except ConnectionRefusedError:
            if not self.refused:
                self.refused = True
                self.hub.log.write("peer_gone", peer=self.member.name)
            self.lose_all(errors.ErrorKind.OUTCOME_UNKNOWN)
            return
        except (OSError, TimeoutError) as error:
            if self.was_alive:
                self.was_alive = False
                self.hub.log.write(
                    "peer_unreachable", peer=self.member.name, reason=str(error)
                )
            return
        self.refused = False
        self.greeted = False
        self.opened_ms = self.hub.now_ms()
        self.connection = connection
        connection.send(self.hub.hello(False))

    def ping(self) -> None:
        """Sends a ping with this node's load."""
        now_ms = self.hub.now_ms()
        if self.connection is not None:
            self.connection.send(
                peering.Ping(
                    now_ms,
                    self.hub.term_for(self.member.name),
                    self.hub.report(),
                    self.hub.news_for(self.connection),
                    self.hub.suspects(),
                )
            )

    def on_closed(self, connection: frames.FrameConnection) -> None:
        """The connection has ended."""
        if connection is self.connection:
            self.connection = None

    def on_message(
        self, connection: frames.FrameConnection, message: peering.Message
    ) -> None:
        """Takes what the other node answers."""
        if connection is not self.connection:
            return
        self.heard_ms = self.hub.now_ms()
        if not self.was_alive:
            self.was_alive = True
            self.hub.log.write("peer_connected", peer=self.member.name)
        if isinstance(message, peering.Hello):
            self.on_hello(message)
        elif isinstance(message, peering.Pong):
            self.answered_ms = self.heard_ms
            self.status = message.status or self.status
            self.report = message.report
            self.hub.on_pong(self, message)
        elif isinstance(message, peering.Outcome):
            entry = self.waiting.pop(message.number, None)
            self.answered_ms = self.heard_ms
            if entry is not None and not entry[1].done():
                entry[1].set_result(message)
        elif isinstance(message, peering.Bye):
            self.leaving = True
        elif isinstance(message, peering.SilentFor):
            self.on_told(("silence", message.name), message.silent_ms)
        elif isinstance(message, peering.Sealed):
            mark = ("seal", message.name, message.revision)
            self.on_told(mark, message.left_ms)

    def on_hello(self, hello: peering.Hello) -> None:
        """Repeats what waits, if it is the process that has it already."""
        if self.start and hello.start != self.start:
            self.lose_all(errors.ErrorKind.OUTCOME_UNKNOWN)
        self.leaving = self.leaving and hello.start == self.start
        self.start = hello.start
        self.greeted = True
        if hello.asks_for_snapshot:
            items = self.hub.items()
            self.connection.send(
                peering.Snapshot(items, self.status, self.report)
            )
        now_ms = self.hub.now_ms()
        for run, _, sent_ms in self.waiting.values():
            gone_ms = now_ms - sent_ms
            again = msgspec.structs.replace(
                run,
                left_ms=run.left_ms - gone_ms,
                objective_left_ms=run.objective_left_ms - gone_ms,
                sent_ms=now_ms,
            )
            self.connection.send(again)
        self.answered_ms = now_ms

    def lose_idempotent(self) -> None:
        """Gives up on what can be asked elsewhere, of a silent node."""
        for number, (run, future, _) in list(self.waiting.items()):
            if run.idempotent:
                del self.waiting[number]
                if not future.done():
                    kind = errors.ErrorKind.PEER_UNREACHABLE.value
                    future.set_result(
                        peering.Lost(number, kind, choice.NO_TARGET)
                    )

    def lose_all(self, kind: errors.ErrorKind) -> None:
        """The process that had these requests is gone."""
        for number, (_, future, _) in list(self.waiting.items()):
            if not future.done():
                future.set_result(
                    peering.Lost(number, kind.value, choice.NO_TARGET)
                )
        self.waiting.clear()

    async def run(self, run: peering.Run) -> peering.Outcome:
        """Has the other node run a request."""
        if not self.usable():
            return peering.Refused(
                run.number,
                errors.ErrorKind.PEER_UNREACHABLE.value,
                200.0,
                False,
                choice.NO_TARGET,
            )
        future = self.hub.loop.create_future()
        self.waiting[run.number] = (run, future, self.hub.now_ms())
        self.connection.send(run)
        try:
            return await future
        except asyncio.CancelledError:
            if self.waiting.pop(run.number, None) and self.connection:
                self.connection.send(peering.Cancel(run.number))
            raise

    async def ask(
        self, message: peering.Message, mark: tuple, timeout_s: float
    ) -> float | None:
        """Asks about a node; None without an answer in time."""
        if self.connection is None:
            return None
        future = self.hub.loop.create_future()
        self.questions.setdefault(mark, []).append(future)
        self.connection.send(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            futures = self.questions.get(mark, [])
            if future in futures:
                futures.remove(future)
            if not futures:
                self.questions.pop(mark, None)

    def on_told(self, mark: tuple, answer_ms: float) -> None:
        """Takes the answer to a question."""
        for future in self.questions.pop(mark, []):
            if not future.done():
                future.set_result(answer_ms)

    def usable(self) -> bool:
        """Whether a request can be sent to the node now."""
        return self.connection is not None and self.greeted and not self.leaving

    def alive(self) -> bool:
        """Whether the node was heard lately."""
        if self.refused:
            return False
        age_ms = self.hub.now_ms() - self.heard_ms
        limit_ms = max(ALIVE_MS, 2.5 * self.hub.ping_ms(self.member.name))
        return self.heard_ms > 0 and age_ms < limit_ms

    def stop(self) -> None:
        """Ends the connection for good."""
        self.stopped = True
        self.task.cancel()
        if self.connection is not None:
            self.connection.abort()
        self.lose_all(errors.ErrorKind.OUTCOME_UNKNOWN)


class Work:
    """A request of another node that runs here."""

    __slots__ = ("connection", "idempotent", "outcome", "task")

    def __init__(self, connection: frames.FrameConnection, idempotent: bool):
        self.connection = connection
        self.idempotent = idempotent
        self.task: asyncio.Task | None = None
        self.outcome: peering.Outcome | None = None


class Hub:
    """All connections of a node to others.

    Attributes:
      name: this node.
      start: tells this process from earlier ones of this node.
      links: by name of the other node.
      work: requests of other nodes, by node, its start and number.
      sent_bytes: bytes written to other nodes, by kind of message.
      offsets: least difference of clocks seen to each other process.
      execute: runs a request at the target.
      status: this node's status for pings.
      report: load of this node's target.
      suspects: counts to tell peers.
      term_for: term to renew at a witness; 0 for other nodes.
      on_pong: takes a pong.
      on_ping: takes a ping, and returns the term it renewed.
      items: the store's items as known here, for a snapshot.
      asks_for_snapshot: whether a connecting peer should tell all it knows.
      on_snapshot: takes a snapshot.
      on_told: takes changes of the store from a reader.
      on_table_told: takes a change of a key table from a reader.
      on_stranger: a node whose record isn't known here has connected.
      on_silence: says how long a node has been silent.
      on_seal: seals; returns what is left, or None if it cannot tell.
    """

    def __init__(
        self,
        name: str,
        start: str,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
    ):
        self.name = name
        self.start = start
        self.log = log
        self.now_ms = now_ms
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, Link] = {}
        self.inbound: dict[frames.FrameConnection, tuple[str, str]] = {}
        self.work: dict[tuple[str, str, int], Work] = {}
        self.sent_bytes: dict[str, int] = {}
        self.offsets: dict[tuple[str, str], float] = {}
        self.execute: Callable[[peering.Run], Awaitable[peering.Outcome]]
        self.status: Callable[[], peering.Status]
        self.report: Callable[[], choice.Report]
        self.suspects: Callable[[], list[tuple[str, int]]]
        self.term_for: Callable[[str], int]
        self.on_pong: Callable[[Link, peering.Pong], None]
        self.on_ping: Callable[[str, peering.Ping], int]
        self.items: Callable[[], list[tuple[str, bytes, int]]]
        self.asks_for_snapshot: Callable[[], bool]
        self.on_told: Callable[[peering.Told], None]
        self.on_table_told: Callable[[peering.TableTold], None]
        self.on_snapshot: Callable[[peering.Snapshot], None]
        self.on_stranger: Callable[[str], None]
        self.on_silence: Callable[[str], float]
        self.on_seal: Callable[[str, int], float | None]
        self.listener: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Begins to take connections."""
        host, _, port = address.rpartition(":")
        self.listener = await self.loop.create_server(
            lambda: frames.FrameConnection(
                self.on_message, self.on_closed, self.sent_bytes
            ),
            host,
            int(port),
            backlog=512,
        )

    def hello(self, asks_for_snapshot: bool) -> peering.Hello:
        """The first message on a connection."""
        return peering.Hello(self.name, self.start, asks_for_snapshot)

    def news_for(
        self, connection: frames.FrameConnection
    ) -> peering.Status | None:
        """This node's status, if a connection's other end has an older one."""
        status = self.status()
        if status == connection.told:
            return None
        connection.told = status
        return status

    def ping_ms(self, name: str) -> float:
        """Time between pings to a node."""
        if len(self.links) <= SMALL_FLEET or self.term_for(name):
            return PING_MS
        return SLOW_PING_MS

    def set_members(self, members: dict[str, model.Member]) -> None:
        """Keeps a connection to each other member."""
        for name, link in list(self.links.items()):
            member = members.get(name)
            if member is None or member.address != link.member.address:
                link.stop()
                del self.links[name]
            else:
                link.member = member
        for name, member in members.items():
            if name != self.name and name not in self.links:
                self.links[name] = Link(self, member)

    def tell(
        self, message: peering.Message, names: Collection[str] | None = None
    ) -> None:
        """Tells other nodes what has changed in the store.

        Args:
          message: the change.
          names: whom to tell; None tells all.
        """
        for name, link in self.links.items():
            if names is not None and name not in names:
                continue
            if link.connection is not None and link.greeted:
                link.connection.send(message)

    def say_bye(self) -> None:
        """Tells all nodes to send no more requests here."""
        for connection in self.inbound:
            connection.send(peering.Bye())

    def busy(self) -> int:
        """Requests of other nodes that have no outcome yet."""
        return sum(1 for work in self.work.values() if work.outcome is None)

    def alive(self) -> set[str]:
        """Nodes that were heard lately."""
        return {name for name, link in self.links.items() if link.alive()}

    def on_message(
        self, connection: frames.FrameConnection, message: peering.Message
    ) -> None:
        """Takes what another node asks."""
        if isinstance(message, peering.Hello):
            self.inbound[connection] = (message.name, message.start)
            connection.send(self.hello(self.asks_for_snapshot()))
            if message.name not in self.links:
                self.on_stranger(message.name)
            return
        origin = self.inbound.get(connection)
        if origin is None:
            connection.abort()
        elif isinstance(message, peering.Ping):
            self.note_offset(origin, message.sent_ms)
            term = self.on_ping(origin[0], message)
            connection.send(
                peering.Pong(
                    message.sent_ms,
                    term,
                    self.report(),
                    self.news_for(connection),
                )
            )
        elif isinstance(message, peering.Snapshot):
            self.on_snapshot(message)
        elif isinstance(message, peering.Told):
            self.on_told(message)
        elif isinstance(message, peering.TableTold):
            self.on_table_told(message)
        elif isinstance(message, peering.Run):
            self.on_run(connection, origin, message)
        elif isinstance(message, peering.Cancel):
            work = self.work.get((*origin, message.number))
            if work is not None and work.task is not None:
                work.task.cancel()
        elif isinstance(message, peering.Silence):
            silent_ms = self.on_silence(message.name)
            connection.send(peering.SilentFor(message.name, silent_ms))
        elif isinstance(message, peering.Seal):
            left_ms = self.on_seal(message.name, message.revision)
            if left_ms is not None:
                connection.send(
                    peering.Sealed(message.name, message.revision, left_ms)
                )

    def on_closed(self, connection: frames.FrameConnection) -> None:
        """A connection of another node has ended."""
        origin = self.inbound.pop(connection, None)
        if origin is not None:
            for idempotent, wait_s in (
                (True, IDEMPOTENT_ORPHAN_S),
                (False, ORPHAN_S),
            ):
                self.loop.call_later(
                    wait_s, self.cancel_orphans, connection, idempotent
                )

    def cancel_orphans(
        self, connection: frames.FrameConnection, idempotent: bool
    ) -> None:
        """Ends the work of a node that has not come back for it."""
        for work in list(self.work.values()):
            if work.connection is not connection or work.task is None:
                continue
            if work.idempotent == idempotent:
                work.task.cancel()

    def on_run(
        self,
        connection: frames.FrameConnection,
        origin: tuple[str, str],
        run: peering.Run,
    ) -> None:
        """Runs a request once, however often it is sent."""
        mark = (*origin, run.number)
        work = self.work.get(mark)
        if work is not None:
            work.connection = connection
            if work.outcome is not None:
                connection.send(work.outcome)
            return
        work = Work(connection, run.idempotent)
        self.work[mark] = work
        late_ms = self.on_the_way_ms(origin, run.sent_ms)
        run = msgspec.structs.replace(
            run,
            left_ms=run.left_ms - late_ms,
            objective_left_ms=run.objective_left_ms - late_ms,
        )
        work.task = self.loop.create_task(self.do(work, run))
        work.task.add_done_callback(
            lambda _: self.finish(mark, work, run.number)
        )

    def note_offset(self, origin: tuple[str, str], sent_ms: float) -> None:
        """Takes the difference of clocks that a ping shows at most."""
        offset_ms = self.now_ms() - sent_ms
        known_ms = self.offsets.get(origin, offset_ms)
        self.offsets[origin] = min(known_ms + OFFSET_DRIFT_MS, offset_ms)

    def on_the_way_ms(self, origin: tuple[str, str], sent_ms: float) -> float:
        """How long a message was held up, beside the quickest ping."""
        offset_ms = self.offsets.get(origin)
        if offset_ms is None:
            return 0.0
        return max(0.0, self.now_ms() - sent_ms - offset_ms)

    async def do(self, work: Work, run: peering.Run) -> None:
        """Runs one request."""
        try:
            work.outcome = await self.execute(run)
        except Exception as error:
            self.log.write(
                "fault", where="execute", attempt=run.attempt, error=repr(error)
            )
            work.outcome = peering.Lost(
                run.number, errors.ErrorKind.INTERNAL.value, choice.NO_TARGET
            )

    def finish(
        self, mark: tuple[str, str, int], work: Work, number: int
    ) -> None:
        """Sends the outcome, also of work cancelled before it began."""
        work.task = None
        if work.outcome is None:
            work.outcome = peering.Lost(
                number,
                errors.ErrorKind.OUTCOME_UNKNOWN.value,
                choice.NO_TARGET,
            )
        work.connection.send(work.outcome)
        self.loop.call_later(RESULT_KEPT_S, self.work.pop, mark, None)

    def stop(self) -> None:
        """Ends all connections."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.inbound):
            connection.abort()
        for link in self.links.values():
            link.stop()
