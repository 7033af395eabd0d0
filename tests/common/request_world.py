"""Simulation of request engines: entries, owners and fake targets.

Everything runs in virtual time. The targets follow the script of each request,
and an oracle counts executions and answers.
"""

import dataclasses
import heapq
import itertools
import uuid

from auburnrock import errors
from auburnrock import messages
from auburnrock.engine import concurrency_limit
from auburnrock.engine import connections
from auburnrock.engine import idempotency
from auburnrock.engine import limits
from auburnrock.engine import quarantine
from auburnrock.engine import request
from auburnrock.engine import request_events

WALL_START_MS = 1_800_000_000_000
SERVICE = "unlocksvc"
SHARD = 0
HOP_MS = 1
SILENT_AFTER_MS = 60
RETIRE_MS = connections.RETIRE_FACTOR * SILENT_AFTER_MS
FAILOVER_MS = 900
RESTART_MS = 200
ANSWER_MS = 10
LATE_MS = 400

# Fates: how a target handles one attempt. Those before REFUSED execute it.
OK = "ok"
LATE = "late"
LOST_AFTER = "lost_after"
SILENT_AFTER = "silent_after"
CROSSED = "crossed"
CRASH = "crash"
REFUSED = "refused"
LOST_BEFORE = "lost_before"
SILENT_BEFORE = "silent_before"
NOT_SENT = "not_sent"
FATES = [
    OK,
    LATE,
    LOST_AFTER,
    SILENT_AFTER,
    CROSSED,
    CRASH,
    REFUSED,
    LOST_BEFORE,
    SILENT_BEFORE,
    NOT_SENT,
]
EXECUTED = frozenset(FATES[:6])


def uuid7(wall_ms: int, number: int) -> str:
    """Returns an idempotency key created at a wall-clock time."""
    value = wall_ms << 80 | 0x7 << 76 | 0b10 << 62 | number
    return str(uuid.UUID(int=value))


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller, with what the oracle recorded of it."""

    number: int
    idempotent: bool
    deadline_at_ms: int
    work: str
    key: str
    fates: list[str]
    entry: int = 0
    lifecycle: request.Lifecycle | None = None
    answers: list = dataclasses.field(default_factory=list)
    answered_at_ms: int = -1
    executions: int = 0
    sends: int = 0
    caller_gone: bool = False

    @property
    def request_id(self) -> str:
        return f"r{self.number}"


class Route(request.Route):
    """Chooses the owner that one entry's table contains."""

    def __init__(self, world, entry):
        self.world = world
        self.entry = entry

    def choose(self, avoid):
        return self.world.tables[self.entry]

    def silent_after_ms(self, node):
        return SILENT_AFTER_MS


@dataclasses.dataclass(slots=True)
class Exchange:
    """One attempt at an owner."""

    call: Call
    attempt: int
    ticket: limits.Ticket
    fingerprint: str
    fate: str = OK
    ended: bool = False


class Node:
    """One owner: its quarantine, results, limits and target."""

    def __init__(self, world, incarnation, slots):
        self.world = world
        self.incarnation = incarnation
        self.alive = True
        self.target_up = True
        self.limits = limits.TargetLimits(slots, slots + 10)
        self.window = world.window_class()
        self.quarantine = quarantine.Quarantine()
        self.exchanges: dict[int, Exchange] = {}

    def work_name(self, call):
        return idempotency.WorkName(SERVICE, "k", "", call.key)

    def receive(self, call, attempt, deadline_ms):
        if not self.alive:
            return
        world = self.world
        kind = errors.ErrorKind
        if world.owner != self.incarnation:
            return self.refuse(call, attempt, kind.NOT_OWNER)
        if world.moving:
            return self.refuse(call, attempt, kind.MOVING)
        if not self.target_up:
            return self.refuse(call, attempt, kind.NO_TARGET)
        fingerprint = call.work
        verdict = self.quarantine.check(world.wall_ms(), fingerprint)
        if isinstance(verdict, errors.Failure):
            return self.reply(call, request_events.Refused(attempt, verdict))
        if world.keeps_results and not call.idempotent:
            begun = self.window.begin(
                world.wall_ms(), SHARD, self.work_name(call), fingerprint
            )
            if isinstance(begun, idempotency.Replay):
                return self.answer(call, attempt, begun.response.body)
            if isinstance(begun, idempotency.Decline):
                return self.reply(
                    call, request_events.Refused(attempt, begun.failure)
                )
        number = next(world.numbers)
        ticket = limits.Ticket(
            number,
            f"caller{call.number % 3}",
            world.now_ms + deadline_ms,
            call.idempotent,
            verdict is quarantine.Verdict.ALONE,
        )
        self.exchanges[number] = Exchange(call, attempt, ticket, fingerprint)
        admission = self.limits.admit(world.now_ms, ticket)
        if isinstance(admission, limits.Admitted):
            self.start(ticket)
        elif isinstance(admission, limits.RefusedTicket):
            self.shed(admission)
        elif admission.displaced is not None:
            self.shed(admission.displaced)

    def shed(self, refused):
        exchange = self.exchanges.pop(refused.ticket.number)
        self.discard_result(exchange)
        self.reply(
            exchange.call,
            request_events.Refused(exchange.attempt, refused.failure),
        )

    def discard_result(self, exchange):
        if self.world.keeps_results and not exchange.call.idempotent:
            self.window.not_run(SHARD, self.work_name(exchange.call))

    def start(self, ticket):
        world = self.world
        exchange = self.exchanges[ticket.number]
        call = exchange.call
        self.quarantine.started(
            ticket.number, exchange.fingerprint, ticket.alone
        )
        exchange.fate = call.fates.pop(0) if call.fates else OK
        if exchange.fate in EXECUTED:
            call.executions += 1
            world.executions[call.work] = world.executions.get(call.work, 0) + 1
        delay_ms = LATE_MS if exchange.fate == LATE else ANSWER_MS
        world.after(delay_ms, lambda: self.end(exchange))

    def end(self, exchange):
        if exchange.ended or not self.alive:
            return
        call, fate = exchange.call, exchange.fate
        if fate == CRASH:
            return self.crash()
        if fate in (SILENT_AFTER, SILENT_BEFORE):
            return self.stay_silent(exchange)
        outcome = concurrency_limit.Outcome
        if fate in (OK, LATE, CROSSED):
            self.end_exchange(exchange, outcome.DONE)
            other = "r0" if fate == CROSSED else call.request_id
            self.answer(call, exchange.attempt, call.work.encode(), other)
        elif fate == REFUSED:
            self.end_exchange(exchange, outcome.REFUSED)
            self.refuse(call, exchange.attempt, errors.ErrorKind.OVERLOADED)
        elif fate == NOT_SENT:
            self.end_exchange(exchange, outcome.REFUSED)
            self.refuse(call, exchange.attempt, errors.ErrorKind.NO_TARGET)
        else:
            self.end_exchange(exchange, outcome.LOST)
            self.refuse(
                call, exchange.attempt, errors.ErrorKind.OUTCOME_UNKNOWN
            )

    def stay_silent(self, exchange):
        left_ms = exchange.ticket.deadline_at_ms - self.world.now_ms
        exchange.fate = LOST_AFTER
        self.world.after(RETIRE_MS, lambda: self.retire(exchange))
        self.world.after(left_ms, lambda: self.end(exchange))

    def retire(self, exchange):
        if not exchange.ended:
            ticket = exchange.ticket
            self.apply(self.limits.gone_silent(self.world.now_ms, ticket))

    def end_exchange(self, exchange, outcome):
        """Ends an exchange in every engine, then starts waiting requests."""
        world, ticket, call = self.world, exchange.ticket, exchange.call
        exchange.ended = True
        del self.exchanges[ticket.number]
        done = outcome is concurrency_limit.Outcome.DONE
        self.quarantine.finished(world.wall_ms(), ticket.number, done)
        if world.keeps_results and not call.idempotent:
            if done:
                body = call.work.encode()
                self.window.done(
                    SHARD, self.work_name(call), response(call.request_id, body)
                )
            elif outcome is concurrency_limit.Outcome.REFUSED:
                self.window.not_run(SHARD, self.work_name(call))
            else:
                self.window.lost(SHARD, self.work_name(call))
        following = self.limits.finished(
            world.now_ms, ticket, outcome, ANSWER_MS
        )
        self.apply(following)

    def apply(self, following):
        for refused in following.refuse:
            self.shed(refused)
        for ticket in following.start:
            if self.target_up:
                self.start(ticket)

    def crash(self):
        """Crashes the target with all that it runs; it restarts later."""
        self.target_up = False
        self.quarantine.crashed(self.world.wall_ms())
        exchanges = list(self.exchanges.values())
        running = {*self.limits.running, *self.limits.silent}
        for exchange in exchanges:
            if exchange.ticket.number not in running:
                self.limits.cancelled(exchange.ticket)
                self.refuse_waiting(exchange, errors.ErrorKind.NO_TARGET)
        for exchange in exchanges:
            if exchange.ticket.number in running:
                self.end_exchange(exchange, concurrency_limit.Outcome.LOST)
                self.refuse(
                    exchange.call,
                    exchange.attempt,
                    errors.ErrorKind.OUTCOME_UNKNOWN,
                )
        self.limits.target_restarted()
        self.world.after(RESTART_MS, self.restart)

    def restart(self):
        self.target_up = True

    def refuse_waiting(self, exchange, kind):
        exchange.ended = True
        del self.exchanges[exchange.ticket.number]
        self.discard_result(exchange)
        self.refuse(exchange.call, exchange.attempt, kind)

    def cancel(self, call, attempt):
        for exchange in list(self.exchanges.values()):
            mine = exchange.call is call and exchange.attempt == attempt
            if mine and self.limits.cancelled(exchange.ticket):
                self.refuse_waiting(exchange, errors.ErrorKind.INTERNAL)

    def refuse(self, call, attempt, kind):
        failure = errors.Failure(kind, "scripted")
        self.reply(call, request_events.Refused(attempt, failure))

    def answer(self, call, attempt, body, request_id=None):
        whole = response(request_id or call.request_id, body)
        self.reply(call, request_events.Answered(attempt, whole))

    def reply(self, call, event):
        self.world.after(HOP_MS, lambda: self.world.deliver(call, event))


class World:
    """Entries, the successive owners of one key, and the oracle."""

    def __init__(
        self,
        lifecycle_class=request.Lifecycle,
        window_class=idempotency.ResultWindow,
        slots=4,
        entries=2,
        keeps_results=True,
    ):
        self.lifecycle_class = lifecycle_class
        self.window_class = window_class
        self.keeps_results = keeps_results
        self.now_ms = 0
        self.numbers = itertools.count(1)
        self.events: list = []
        self.entries = [request.Entry(0) for _ in range(entries)]
        self.calls: list[Call] = []
        self.executions: dict[str, int] = {}
        self.idempotent_works: set[str] = set()
        self.slots = slots
        self.nodes: dict[int, Node] = {}
        self.epoch = 0
        self.moving = False
        self.owner = 0
        self.tables = [0] * entries
        self.take_over(self.new_node())
        # Keys created near the start of the first epoch would be refused.
        self.run_for(2 * idempotency.CLOCK_MARGIN_MS + 1)

    def wall_ms(self):
        return WALL_START_MS + self.now_ms

    def after(self, delay_ms, callback):
        entry = (self.now_ms + max(0, delay_ms), next(self.numbers), callback)
        heapq.heappush(self.events, entry)

    def run_for(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, step = heapq.heappop(self.events)
            step()
        self.now_ms = end_ms

    # Owners -----------------------------------------------------------------

    def new_node(self):
        node = Node(self, 100 + len(self.nodes), self.slots)
        self.nodes[node.incarnation] = node
        return node.incarnation

    def take_over(self, incarnation, exported=None):
        self.epoch += 1
        self.owner = incarnation
        self.moving = False
        window = self.nodes[incarnation].window
        window.own(SERVICE, SHARD, self.epoch, self.wall_ms())
        if exported is not None:
            window.adopt(exported)
        for entry in range(len(self.tables)):
            # Each entry receives the change later than the one before it.
            self.after(1 + 40 * entry, lambda e=entry: self.advance_table(e))

    def advance_table(self, entry):
        self.tables[entry] = self.owner
        for call in self.calls:
            if (
                call.entry == entry
                and not call.answers
                and not call.caller_gone
            ):
                self.deliver(call, request_events.TableAdvanced())

    def move(self, to=None):
        """Starts a planned move: hands over once nothing runs."""
        if self.moving or not self.owner:
            return
        self.moving = True
        self.finish_move(to)

    def finish_move(self, to):
        if not self.moving:
            return
        node = self.nodes[self.owner]
        if node.exchanges:
            self.after(5, lambda: self.finish_move(to))
            return
        exported = node.window.export(SERVICE, SHARD)
        node.window.disown(SERVICE, SHARD)
        self.take_over(to or self.new_node(), exported)

    def kill(self, silent=False):
        """Loses the owner's host with its state in memory.

        If `silent`, its connections stay open and carry no bytes.
        """
        if not self.owner:
            return
        node = self.nodes[self.owner]
        node.alive = False
        self.owner = 0
        self.moving = False
        for exchange in [] if silent else node.exchanges.values():
            event = request_events.Lost(exchange.attempt, "reset")
            node.reply(exchange.call, event)
        self.after(FAILOVER_MS, lambda: self.take_over(self.new_node()))

    # Callers ----------------------------------------------------------------

    def call(
        self,
        idempotent=True,
        fates=(),
        entry=0,
        timeout_ms=1_500,
        skew_ms=0,
        repeat_of=None,
        work=None,
    ):
        number = next(self.numbers)
        key = ""
        work = work or f"work{number}"
        if repeat_of is not None:
            idempotent, key = repeat_of.idempotent, repeat_of.key
            work = repeat_of.work
        elif not idempotent:
            key = uuid7(self.wall_ms() + skew_ms, number)
        if idempotent:
            self.idempotent_works.add(work)
        made = Call(
            number,
            idempotent,
            self.now_ms + timeout_ms,
            work,
            key,
            list(fates),
            entry,
        )
        details = request.Details(
            made.request_id, made.deadline_at_ms, idempotent, True, bool(key)
        )
        made.lifecycle = self.lifecycle_class(
            details, self.entries[entry], Route(self, entry), 0.5
        )
        self.calls.append(made)
        self.deliver(made, request_events.Start())
        return made

    def leave(self, call):
        if not call.answers:
            call.caller_gone = True
            self.deliver(call, request_events.CallerGone())

    def deliver(self, call, event):
        actions = call.lifecycle.handle(self.now_ms, event)
        for action in actions:
            self.perform(call, action)
        if call.lifecycle.state != "ended":
            wake_ms = call.lifecycle.wake_at_ms
            self.after(
                max(wake_ms - self.now_ms, 0 if actions else 1),
                lambda: self.tick(call),
            )

    def tick(self, call):
        lifecycle = call.lifecycle
        if lifecycle.state != "ended" and self.now_ms >= lifecycle.wake_at_ms:
            self.deliver(call, request_events.Tick())

    def perform(self, call, action):
        if isinstance(action, request_events.Send):
            call.sends += 1
            node = self.nodes[action.node]
            if node.alive:
                self.after(
                    HOP_MS,
                    lambda: node.receive(
                        call, action.attempt, action.deadline_ms
                    ),
                )
            else:
                event = request_events.NotSent(action.attempt, "refused")
                self.after(HOP_MS, lambda: self.deliver(call, event))
        elif isinstance(action, request_events.Cancel):
            node = self.nodes[action.node]
            self.after(HOP_MS, lambda: node.cancel(call, action.attempt))
        else:
            call.answers.append(action)
            call.answered_at_ms = self.now_ms

    # Oracle -----------------------------------------------------------------

    def violations(self):
        """Runs until all requests end; returns the broken promises as text."""
        self.run_for(5_000)
        found = []
        for call in self.calls:
            found += self.violations_of(call)
        for work, count in self.executions.items():
            if work not in self.idempotent_works and count > 1:
                found.append(f"{work}: executed {count} times")
        for entry in self.entries:
            successes = sum(
                isinstance(answer, request_events.Reply)
                for call in self.calls
                for answer in call.answers
            )
            allowed = 10 + 0.1 * successes + self.now_ms / 1_000
            if entry.repeats > allowed:
                found.append(f"{entry.repeats} repeats of {allowed} allowed")
            if entry.waiting:
                found.append(f"{entry.waiting} requests are never answered")
        return found

    def violations_of(self, call):
        found = []
        if len(call.answers) != 1 and not (
            call.caller_gone and not call.answers
        ):
            found.append(f"{call.request_id}: {len(call.answers)} answers")
        if call.answered_at_ms > call.deadline_at_ms:
            found.append(f"{call.request_id}: answered after its deadline")
        if call.executions > request.MAX_EXECUTIONS:
            found.append(f"{call.request_id}: {call.executions} executions")
        if call.sends > request.MAX_SENDS:
            found.append(f"{call.request_id}: {call.sends} sends")
        for answer in call.answers:
            if isinstance(answer, request_events.Reply):
                if answer.response.body != call.work.encode():
                    found.append(f"{call.request_id}: answer to other work")
                if answer.response.request_id != call.request_id:
                    found.append(
                        f"{call.request_id}: answer with another request id"
                    )
                continue
            not_run = answer.failure.answer().ran is errors.Ran.NO
            if not_run and call.executions:
                found.append(f"{call.request_id}: 'not run' was false")
        return found


def response(request_id, body):
    return messages.Response(1, request_id, 200, [], body, 1, 1)
