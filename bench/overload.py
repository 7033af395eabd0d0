"""One target under load in virtual time, with and without limits.

A target of 20 slots is offered 0.5, 1, 2 and 4 times what it can serve, by
the engine's lifecycle and limits and by two plain baselines without limits
and with an unbounded queue at the target: one never repeats, the other repeats
every timeout or loss up to twice. All see the same arrivals. The figures are
those of a model, not of processes.

    ./task bench overload [--json] [--seed=N] [--seconds=N]
"""

import abc
import collections
import heapq
import itertools
import json
import random

from absl import app
from absl import flags
import msgspec

from auburnrock import errors
from auburnrock import messages
from auburnrock.engine import concurrency_limit
from auburnrock.engine import limits
from auburnrock.engine import request
from auburnrock.engine import request_events

SLOTS = 20
CONNECTIONS = 120
SERVICE_MS = 50
CAPACITY_PER_S = SLOTS * 1_000 // SERVICE_MS
TIMEOUT_MS = 1_000
NON_IDEMPOTENT_SHARE = 0.2
CALLERS = 10
LOADS = (0.5, 1.0, 2.0, 4.0)
BROWN_OUT_LOAD = 0.5
BROWN_OUT_LOSS = 0.3
MOST_ATTEMPTS = 3
NODE = 1

_JSON = flags.DEFINE_bool("json", False, "Print one JSON object.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the arrivals.")
_SECONDS = flags.DEFINE_integer("seconds", 30, "Virtual time of each run.")


class Arrival(msgspec.Struct):
    """One request of a caller.

    Attributes:
      number: unique in the run.
      at_ms: when it arrives.
      idempotent: whether it may run twice.
      caller: who calls.
      service_ms: how long one attempt occupies a slot, for each attempt.
      lost: whether the answer of each attempt is lost.
    """

    number: int
    at_ms: int
    idempotent: bool
    caller: str
    service_ms: list[int]
    lost: list[bool]


class Result(msgspec.Struct):
    """What one run measured.

    Attributes:
      path: "limits", "no limits" or "retries".
      load: offered load as a multiple of the capacity.
      offered: requests of callers.
      served: those answered before their deadline.
      goodput_per_s: served requests a second.
      p50_ms: median latency of the served ones.
      p99_ms: 99th percentile of it.
      executions: attempts that the target ran.
      amplification: attempts sent for each request.
      repeated_non_idempotent: non-idempotent requests run more than once.
    """

    path: str
    load: float
    offered: int
    served: int
    goodput_per_s: float
    p50_ms: int
    p99_ms: int
    executions: int
    amplification: float
    repeated_non_idempotent: int


class Target:
    """Runs SLOTS requests at a time; the others wait in its own queue."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.waiting = collections.deque()
        self.running = 0
        self.executions = collections.Counter()

    def run(self, arrival, attempt, done):
        """Runs an attempt and calls `done` with whether it was lost."""
        self.waiting.append((arrival, attempt, done))
        self.start_next()

    def start_next(self):
        while self.waiting and self.running < SLOTS:
            arrival, attempt, done = self.waiting.popleft()
            self.running += 1
            self.executions[arrival.number] += 1
            index = min(attempt - 1, len(arrival.lost) - 1)
            self.simulation.after(
                arrival.service_ms[index],
                lambda lost=arrival.lost[index], done=done: self.end(
                    lost, done
                ),
            )

    def end(self, lost, done):
        self.running -= 1
        self.start_next()
        done(lost)


class Path(abc.ABC):
    """One way from the callers to the target."""

    name = ""

    def __init__(self, simulation):
        self.simulation = simulation
        self.target = Target(simulation)
        self.sends = 0
        self.latencies_ms = []

    @abc.abstractmethod
    def arrive(self, arrival):
        """Takes a request from its caller."""

    def served(self, arrival):
        """Notes a request that was answered in time."""
        self.latencies_ms.append(self.simulation.now_ms - arrival.at_ms)


class NoLimits(Path):
    """No limits and no repeats."""

    name = "no limits"
    attempts = 1

    def arrive(self, arrival):
        self.attempt(arrival, 1, {"answered": False})

    def attempt(self, arrival, number, state):
        if state["answered"]:
            return
        self.sends += 1
        timeout_ms = TIMEOUT_MS // self.attempts
        failed = {"seen": False}

        def repeat():
            if not failed["seen"] and number < self.attempts:
                failed["seen"] = True
                self.attempt(arrival, number + 1, state)

        def done(lost):
            late = self.simulation.now_ms - arrival.at_ms > TIMEOUT_MS
            if lost:
                repeat()
            elif not state["answered"] and not late:
                state["answered"] = True
                self.served(arrival)

        self.simulation.after(timeout_ms, repeat)
        self.target.run(arrival, number, done)


class Retries(NoLimits):
    """No limits; every loss or timeout is repeated."""

    name = "retries"
    attempts = MOST_ATTEMPTS


class OneNode(request.Route):
    """Every request has the same owner."""

    def choose(self, avoid):
        return NODE

    def silent_after_ms(self, node):
        return TIMEOUT_MS


class Limited(Path):
    """The engine's lifecycle at the entry and its limits at the owner."""

    name = "limits"

    def __init__(self, simulation):
        super().__init__(simulation)
        self.entry = request.Entry(0)
        self.limits = limits.TargetLimits(SLOTS, CONNECTIONS)
        self.tickets = {}
        self.numbers = itertools.count(1)
        self.route = OneNode()

    def arrive(self, arrival):
        details = request.Details(
            str(arrival.number),
            arrival.at_ms + TIMEOUT_MS,
            arrival.idempotent,
            keyed=True,
        )
        lifecycle = request.Lifecycle(details, self.entry, self.route, 0.5)
        self.tell(arrival, lifecycle, request_events.Start())
        self.simulation.after(
            TIMEOUT_MS,
            lambda: self.tell(arrival, lifecycle, request_events.Tick()),
        )

    def tell(self, arrival, lifecycle, event):
        for action in lifecycle.handle(self.simulation.now_ms, event):
            if isinstance(action, request_events.Send):
                self.sends += 1
                self.receive(arrival, lifecycle, action)
            elif isinstance(action, request_events.Reply):
                self.served(arrival)

    def receive(self, arrival, lifecycle, send):
        now_ms = self.simulation.now_ms
        ticket = limits.Ticket(
            next(self.numbers),
            arrival.caller,
            now_ms + send.deadline_ms,
            arrival.idempotent,
        )
        self.tickets[ticket.number] = (arrival, lifecycle, send.attempt)
        admission = self.limits.admit(now_ms, ticket)
        if isinstance(admission, limits.Admitted):
            self.start(ticket)
        elif isinstance(admission, limits.RefusedTicket):
            self.refuse(admission)
        elif admission.displaced is not None:
            self.refuse(admission.displaced)

    def refuse(self, refused):
        arrival, lifecycle, attempt = self.tickets.pop(refused.ticket.number)
        event = request_events.Refused(attempt, refused.failure)
        self.tell(arrival, lifecycle, event)

    def start(self, ticket):
        arrival, _, attempt = self.tickets[ticket.number]
        started_ms = self.simulation.now_ms
        self.target.run(
            arrival,
            attempt,
            lambda lost: self.end(ticket, lost, started_ms),
        )

    def end(self, ticket, lost, started_ms):
        now_ms = self.simulation.now_ms
        outcome = concurrency_limit.Outcome
        following = self.limits.finished(
            now_ms,
            ticket,
            outcome.LOST if lost else outcome.DONE,
            now_ms - started_ms,
        )
        arrival, lifecycle, attempt = self.tickets.pop(ticket.number)
        if lost:
            failure = errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, "lost")
            event = request_events.Refused(attempt, failure)
        else:
            whole = messages.Response(
                1, str(arrival.number), 200, [], b"", NODE, 1
            )
            event = request_events.Answered(attempt, whole)
        self.tell(arrival, lifecycle, event)
        for refused in following.refuse:
            self.refuse(refused)
        for each in following.start:
            self.start(each)


class Simulation:
    """Virtual time for one path."""

    def __init__(self):
        self.now_ms = 0
        self.events = []
        self.numbers = itertools.count()

    def after(self, delay_ms, step):
        entry = (self.now_ms + delay_ms, next(self.numbers), step)
        heapq.heappush(self.events, entry)

    def run(self, path_class, arrivals):
        """Runs all arrivals to their end."""
        path = path_class(self)
        for arrival in arrivals:
            entry = (
                arrival.at_ms,
                next(self.numbers),
                lambda arrival=arrival: path.arrive(arrival),
            )
            heapq.heappush(self.events, entry)
        while self.events:
            self.now_ms, _, step = heapq.heappop(self.events)
            step()
        return path


def arrivals_at(load, loss, seconds, seed):
    """Poisson arrivals at a multiple of the capacity."""
    source = random.Random(seed)
    found = []
    at_ms = 0.0
    for number in itertools.count():
        at_ms += source.expovariate(load * CAPACITY_PER_S / 1_000)
        if at_ms >= seconds * 1_000:
            return found
        found.append(
            Arrival(
                number,
                int(at_ms),
                source.random() >= NON_IDEMPOTENT_SHARE,
                f"caller{source.randrange(CALLERS)}",
                [max(1, int(source.expovariate(1 / SERVICE_MS)))] * 3,
                [source.random() < loss for _ in range(3)],
            )
        )


def measure(path_class, load, loss, seconds, seed):
    """Runs one path once."""
    arrivals = arrivals_at(load, loss, seconds, seed)
    path = Simulation().run(path_class, arrivals)
    latencies_ms = sorted(path.latencies_ms)
    executions = path.target.executions
    doubled = sum(
        executions[arrival.number] > 1
        for arrival in arrivals
        if not arrival.idempotent
    )
    return Result(
        path_class.name,
        load,
        len(arrivals),
        len(latencies_ms),
        round(len(latencies_ms) / seconds, 1),
        percentile(latencies_ms, 0.50),
        percentile(latencies_ms, 0.99),
        executions.total(),
        round(path.sends / len(arrivals), 3),
        doubled,
    )


def percentile(values, share):
    """Value below which a share of the sorted values lies; 0 for none."""
    return values[int(share * (len(values) - 1))] if values else 0


def table(title, results):
    """The results side by side, as text."""
    lines = [
        title,
        f"{'load':>5} {'path':>9} {'goodput/s':>10} {'p50 ms':>7}"
        f" {'p99 ms':>7} {'sent/req':>9} {'doubled':>8}",
    ]
    lines += [
        f"{each.load:>5} {each.path:>9} {each.goodput_per_s:>10}"
        f" {each.p50_ms:>7} {each.p99_ms:>7} {each.amplification:>9}"
        f" {each.repeated_non_idempotent:>8}"
        for each in results
    ]
    return "\n".join(lines)


def main(arguments):
    del arguments
    seconds, seed = _SECONDS.value, _SEED.value
    paths = (Limited, NoLimits, Retries)
    overload = [
        measure(path, load, 0.0, seconds, seed)
        for load in LOADS
        for path in paths
    ]
    brown_out = [
        measure(path, BROWN_OUT_LOAD, BROWN_OUT_LOSS, seconds, seed)
        for path in paths
    ]
    if _JSON.value:
        found = {"overload": overload, "brown_out": brown_out}
        print(json.dumps(msgspec.to_builtins(found)))
        return
    print(table(f"overload, {CAPACITY_PER_S} requests/s at most", overload))
    print(table(f"brown-out, {BROWN_OUT_LOSS:.0%} answers lost", brown_out))


if __name__ == "__main__":
    app.run(main)
