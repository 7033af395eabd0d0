"""Replays a trace through a placement policy and takes the three measures.

A replay and no simulation of the system: moves are carried out at once, and
cost the unavailable time that the system has as its target for them.
"""

import collections

import msgspec

from auburnrock import records
from auburnrock.engine.placement import base
from auburnrock.engine.placement import history
from auburnrock.engine.placement import load
from auburnrock.replay import fleet
from auburnrock.replay import trace as traces

PLANNED_MOVE_S = 0.05
"""Unavailable time of a shard that moves as planned."""
FAILOVER_S = 2.0
"""Unavailable time of a shard whose owner is lost."""


class TimedMove(msgspec.Struct, frozen=True):
    """A change of owner and the second of the trace at which it was made."""

    at_s: int
    move: base.Move
    planned: bool


class Result(msgspec.Struct, kw_only=True):
    """What one replay gave.

    Attributes:
      measures: the three measures.
      moved_s: part of the unavailable time due to planned moves.
      lost_s: part of it due to lost owners.
      overload_s: part of it due to servers asked for more than they manage.
      forced_churn: part of the churn that no policy can avoid.
      planned_moves: shards that were rebalanced.
      last_planned_s: when the last of them moved; -1 if none did.
      final_imbalance: imbalance at the end.
      moves: every move in order.
    """

    measures: traces.Measures
    moved_s: float
    lost_s: float
    overload_s: float
    forced_churn: float
    planned_moves: int
    last_planned_s: int
    final_imbalance: float
    moves: list[TimedMove]


class Replay:
    """One trace on its way through one policy.

    Attributes:
      trace: the trace.
      policy: the policy.
      unlimited: whether the policy is given neither budget nor rest, as the
        published baselines know of none.
    """

    def __init__(
        self, trace: traces.Trace, policy: base.Policy, unlimited: bool
    ):
        self.trace = trace
        self.header = trace.header
        self.policy = policy
        self.unlimited = unlimited
        self.servers: dict[int, fleet.Server] = {}
        self.former_names: dict[int, str] = {}
        self.owners = [records.NO_OWNER] * self.header.shards
        self.epochs = [0] * self.header.shards
        self.rates = [0] * self.header.shards
        self.book = load.LoadBook()
        self.on_the_way: collections.deque[tuple[int, load.LoadReport]] = (
            collections.deque()
        )
        self.history = history.MoveHistory(-history.BUDGET_WINDOW_MS)
        self.moves: list[TimedMove] = []
        self.imbalances: list[float] = []
        self.requests = 0.0
        self.unserved = collections.Counter()
        self.keys_moved = collections.Counter()

    def run(self) -> Result:
        """Replays the whole trace."""
        events = collections.deque(self.trace.events)
        for now_s in range(0, self.header.duration_s, self.header.tick_s):
            while events and events[0].at_s <= now_s:
                self.apply(now_s, events.popleft())
            if now_s == 0:
                self.start()
            self.replace_lost(now_s)
            self.observe(now_s)
            self.rebalance(now_s)
            self.measure()
        return self.result()

    def apply(self, now_s: int, event: traces.Event) -> None:
        """Takes one event of the trace in."""
        match event:
            case traces.ServerUp():
                self.servers[event.incarnation] = fleet.server(
                    event, self.header.slots
                )
            case traces.Load():
                self.rates = event.rates
            case traces.Distortion():
                self.servers[event.incarnation].distortion = event
            case traces.ServerLost():
                self.end(event.incarnation)
            case traces.ServerLeaves():
                self.drain(now_s, event.incarnation)

    def start(self) -> None:
        """The first placement, which knows the loads of the day before."""
        for server in self.servers.values():
            server.estimator.capacity = server.up.capacity
        figures = [
            load.ShardFigures(shard, 0, rate, self.header.keys_of(shard))
            for shard, rate in enumerate(self.rates)
        ]
        for server in self.servers.values():
            self.book.merge(server.report([]))
        self.book.merge(load.LoadReport(records.NO_OWNER, 1, 0.0, figures))
        situation = self.situation(0)
        for move in self.policy.place(situation, base.orphans(situation)):
            self.owners[move.shard] = move.destination

    def end(self, incarnation: int) -> None:
        """Removes a server."""
        server = self.servers.pop(incarnation)
        self.former_names[incarnation] = server.up.name

    def drain(self, now_s: int, incarnation: int) -> None:
        """Moves a leaving server's shards away, then removes it."""
        self.servers[incarnation].accepts = False
        situation = self.situation(now_s)
        shards = base.owned_by(situation, incarnation)
        for move in self.policy.place(situation, shards):
            self.carry_out(now_s, move, "forced", "moved", PLANNED_MOVE_S)
        self.end(incarnation)

    def replace_lost(self, now_s: int) -> None:
        """Gives the shards of lost servers new owners."""
        situation = self.situation(now_s)
        shards = base.orphans(situation)
        for move in self.policy.place(situation, shards):
            self.carry_out(now_s, move, "forced", "lost", FAILOVER_S)

    def rebalance(self, now_s: int) -> None:
        """Carries out the policy's planned moves."""
        for move in self.policy.rebalance(self.situation(now_s)):
            self.carry_out(now_s, move, "planned", "moved", PLANNED_MOVE_S)

    def carry_out(
        self,
        now_s: int,
        move: base.Move,
        kind: str,
        cause: str,
        unavailable_s: float,
    ) -> None:
        """Changes one owner and counts what that costs."""
        assert self.owners[move.shard] == move.source
        self.owners[move.shard] = move.destination
        self.epochs[move.shard] += 1
        planned = kind == "planned"
        self.moves.append(TimedMove(now_s, move, planned))
        self.keys_moved[kind] += self.header.keys_of(move.shard)
        self.unserved[cause] += unavailable_s * self.rates[move.shard]
        self.history.record(now_s * 1000, move.shard, planned)

    def observe(self, now_s: int) -> None:
        """Lets every server see one tick, and delivers what reports arrive."""
        loads = self.server_loads()
        for incarnation, server in sorted(self.servers.items()):
            server.observe(loads[incarnation], self.header.tick_s)
            figures = [
                load.ShardFigures(
                    shard,
                    self.epochs[shard],
                    self.rates[shard],
                    self.header.keys_of(shard),
                )
                for shard, owner in enumerate(self.owners)
                if owner == incarnation
            ]
            due_s = now_s + server.lag_s()
            self.on_the_way.append((due_s, server.report(figures)))
        waiting = collections.deque()
        for due_s, report in self.on_the_way:
            if due_s <= now_s:
                self.book.merge(report)
            else:
                waiting.append((due_s, report))
        self.on_the_way = waiting

    def measure(self) -> None:
        """Samples imbalance and overload of one tick."""
        loads = self.server_loads()
        tick_s = self.header.tick_s
        self.requests += sum(self.rates) * tick_s
        for incarnation, rate in loads.items():
            capacity = self.servers[incarnation].up.capacity
            self.unserved["overload"] += max(0.0, rate - capacity) * tick_s
        self.imbalances.append(self.imbalance(loads))

    def imbalance(self, loads: dict[int, float]) -> float:
        """Relative utilisation of the busiest server, less one."""
        total = sum(server.up.capacity for server in self.servers.values())
        mean = sum(loads.values()) / total
        highest = max(
            loads[incarnation] / server.up.capacity
            for incarnation, server in self.servers.items()
        )
        return highest / mean - 1

    def server_loads(self) -> dict[int, float]:
        """True requests a second of each server."""
        loads = dict.fromkeys(self.servers, 0.0)
        for shard, owner in enumerate(self.owners):
            if owner in loads:
                loads[owner] += self.rates[shard]
        return loads

    def situation(self, now_s: int) -> base.Situation:
        """What the policy is told now."""
        believed = self.book.capacities(self.servers)
        assumed = load.assumed_capacity(believed)
        budget = self.history.budget(now_s * 1000, self.header.churn_per_minute)
        resting = self.history.resting(now_s * 1000)
        return base.Situation(
            servers=[
                server.view(believed.get(incarnation, assumed))
                for incarnation, server in self.servers.items()
            ],
            owners=list(self.owners),
            loads=self.book.loads(),
            former_names=self.former_names,
            weights=self.header.weights,
            budget=len(self.owners) if self.unlimited else budget,
            resting=frozenset() if self.unlimited else resting,
        )

    def result(self) -> Result:
        """The measures over the whole trace."""
        mean_rate = self.requests / self.header.duration_s
        seconds = {
            cause: unserved / mean_rate
            for cause, unserved in self.unserved.items()
        }
        planned = [move.at_s for move in self.moves if move.planned]
        churn = sum(self.keys_moved.values()) / self.header.keys
        return Result(
            measures=traces.Measures(
                imbalance=sum(self.imbalances) / len(self.imbalances),
                churn=churn,
                unavailable_time=sum(seconds.values()),
            ),
            moved_s=seconds.get("moved", 0.0),
            lost_s=seconds.get("lost", 0.0),
            overload_s=seconds.get("overload", 0.0),
            forced_churn=self.keys_moved["forced"] / self.header.keys,
            planned_moves=len(planned),
            last_planned_s=max(planned, default=-1),
            final_imbalance=self.imbalances[-1],
            moves=self.moves,
        )


def replay(
    trace: traces.Trace, policy: base.Policy, unlimited: bool = False
) -> Result:
    """Replays a trace through a policy."""
    return Replay(trace, policy, unlimited).run()
