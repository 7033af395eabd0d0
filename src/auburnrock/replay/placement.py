"""Replays a trace through a placement policy and computes its measures.

They are those of trace.Measures. A replay does not simulate the system: moves
take effect at once, and each adds a fixed unavailable time, PLANNED_MOVE_S or
FAILOVER_S.
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
"""Unavailable time in seconds of a shard during a planned move."""
FAILOVER_S = 2.0
"""Unavailable time in seconds of a shard whose owner is lost."""


class TimedMove(msgspec.Struct, frozen=True):
    """A change of owner, and the second of the trace at which it was made.

    Attributes:
      at_s: time in the trace in seconds.
      move: the change of owner.
      planned: whether `rebalance` chose the move.
    """

    at_s: int
    move: base.Move
    planned: bool


class Result(msgspec.Struct, kw_only=True):
    """Result of one replay.

    Attributes:
      measures: the three measures.
      moved_s: seconds of the unavailable time due to planned and drain moves.
      lost_s: seconds of the unavailable time due to lost owners.
      overload_s: seconds of the unavailable time due to overloaded servers.
      forced_churn: part of the churn that no policy can avoid.
      planned_moves: number of shards that rebalancing moved.
      last_planned_s: time of the last planned move; -1 if there was none.
      final_imbalance: imbalance at the end of the trace.
      moves: all moves in order.
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
    """Replay of one trace through one policy.

    Attributes:
      trace: the trace.
      header: header of the trace.
      policy: the policy.
      unlimited: whether the policy may move any number of shards at any time,
        as the published baselines have no such limits.
      servers: live servers by incarnation.
      former_names: names of removed servers by incarnation.
      owners: incarnation of the owner of each shard.
      epochs: epoch of each shard.
      rates: true requests a second of each shard.
      reports: load reports that have arrived.
      in_transit: load reports that arrive at a later second of the trace.
      history: moves so far, for budget and rest.
      moves: all moves in order.
      imbalances: imbalance of each tick.
      requests: number of all requests.
      unserved_requests: number of requests that were not served, by cause.
      keys_moved: number of keys that changed owner, by kind of move.
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
        self.reports = load.ReportRegister()
        self.in_transit: collections.deque[tuple[int, load.LoadReport]] = (
            collections.deque()
        )
        self.history = history.MoveHistory(-history.BUDGET_WINDOW_MS)
        self.moves: list[TimedMove] = []
        self.imbalances: list[float] = []
        self.requests = 0.0
        self.unserved_requests = collections.Counter()
        self.keys_moved = collections.Counter()

    def run(self) -> Result:
        """Replays the whole trace."""
        events = collections.deque(self.trace.events)
        for now_s in range(0, self.header.duration_s, self.header.tick_s):
            while events and events[0].at_s <= now_s:
                self.apply_event(now_s, events.popleft())
            if now_s == 0:
                self.place_initially()
            self.replace_lost_owners(now_s)
            self.collect_reports(now_s)
            self.rebalance(now_s)
            self.measure()
        return self.result()

    def apply_event(self, now_s: int, event: traces.Event) -> None:
        """Applies one event of the trace."""
        match event:
            case traces.ServerUp():
                self.servers[event.incarnation] = fleet.new_server(
                    event, self.header.slots
                )
            case traces.Load():
                self.rates = event.rates
            case traces.Distortion():
                self.servers[event.incarnation].distortion = event
            case traces.ServerLost():
                self.remove(event.incarnation)
            case traces.ServerLeaves():
                self.drain(now_s, event.incarnation)

    def place_initially(self) -> None:
        """Places all shards by the true loads and capacities."""
        for server in self.servers.values():
            server.estimator.capacity = server.up.capacity
        figures = [
            load.ShardFigures(shard, 0, rate, self.header.keys_of(shard))
            for shard, rate in enumerate(self.rates)
        ]
        for server in self.servers.values():
            self.reports.merge(server.report([]))
        self.reports.merge(load.LoadReport(records.NO_OWNER, 1, 0.0, figures))
        situation = self.situation(0)
        for move in self.policy.place(situation, base.orphans(situation)):
            self.owners[move.shard] = move.destination

    def remove(self, incarnation: int) -> None:
        """Removes a server that has ended."""
        server = self.servers.pop(incarnation)
        self.former_names[incarnation] = server.up.name

    def drain(self, now_s: int, incarnation: int) -> None:
        """Moves a leaving server's shards away, then removes it."""
        self.servers[incarnation].accepts = False
        situation = self.situation(now_s)
        shards = base.owned_by(situation, incarnation)
        for move in self.policy.place(situation, shards):
            self.apply_move(now_s, move, "forced", "moved", PLANNED_MOVE_S)
        self.remove(incarnation)

    def replace_lost_owners(self, now_s: int) -> None:
        """Assigns the shards of lost servers to new owners."""
        situation = self.situation(now_s)
        shards = base.orphans(situation)
        for move in self.policy.place(situation, shards):
            self.apply_move(now_s, move, "forced", "lost", FAILOVER_S)

    def rebalance(self, now_s: int) -> None:
        """Applies the planned moves that the policy chooses."""
        for move in self.policy.rebalance(self.situation(now_s)):
            self.apply_move(now_s, move, "planned", "moved", PLANNED_MOVE_S)

    def apply_move(
        self,
        now_s: int,
        move: base.Move,
        kind: str,
        cause: str,
        unavailable_s: float,
    ) -> None:
        """Changes the owner of one shard and records the cost.

        Args:
          now_s: time in the trace in seconds.
          move: the change of owner.
          kind: "planned" or "forced", to count moved keys by.
          cause: "moved" or "lost", to count unserved requests by.
          unavailable_s: seconds for which the shard is unavailable.
        """
        assert self.owners[move.shard] == move.source
        self.owners[move.shard] = move.destination
        self.epochs[move.shard] += 1
        planned = kind == "planned"
        self.moves.append(TimedMove(now_s, move, planned))
        self.keys_moved[kind] += self.header.keys_of(move.shard)
        self.unserved_requests[cause] += unavailable_s * self.rates[move.shard]
        self.history.record(now_s * 1000, move.shard, planned)

    def collect_reports(self, now_s: int) -> None:
        """Creates a report of each server, and delivers the reports due."""
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
            self.in_transit.append((due_s, server.report(figures)))
        in_transit = collections.deque()
        for due_s, report in self.in_transit:
            if due_s <= now_s:
                self.reports.merge(report)
            else:
                in_transit.append((due_s, report))
        self.in_transit = in_transit

    def measure(self) -> None:
        """Records imbalance and overload of one tick."""
        loads = self.server_loads()
        tick_s = self.header.tick_s
        self.requests += sum(self.rates) * tick_s
        for incarnation, rate in loads.items():
            capacity = self.servers[incarnation].up.capacity
            self.unserved_requests["overload"] += (
                max(0.0, rate - capacity) * tick_s
            )
        self.imbalances.append(self.imbalance(loads))

    def imbalance(self, loads: dict[int, float]) -> float:
        """Returns the relative utilisation of the busiest server, less one."""
        total = sum(server.up.capacity for server in self.servers.values())
        mean = sum(loads.values()) / total
        highest = max(
            loads[incarnation] / server.up.capacity
            for incarnation, server in self.servers.items()
        )
        return highest / mean - 1

    def server_loads(self) -> dict[int, float]:
        """Returns the true requests a second of each server."""
        loads = dict.fromkeys(self.servers, 0.0)
        for shard, owner in enumerate(self.owners):
            if owner in loads:
                loads[owner] += self.rates[shard]
        return loads

    def situation(self, now_s: int) -> base.Situation:
        """Returns the input of a placement decision at this time."""
        capacities = self.reports.capacities(self.servers)
        default_capacity = load.assumed_capacity(capacities)
        budget = self.history.budget(now_s * 1000, self.header.churn_per_minute)
        resting = self.history.resting(now_s * 1000)
        return base.Situation(
            servers=[
                server.view(capacities.get(incarnation, default_capacity))
                for incarnation, server in self.servers.items()
            ],
            owners=list(self.owners),
            loads=self.reports.loads(),
            former_names=self.former_names,
            weights=self.header.weights,
            budget=len(self.owners) if self.unlimited else budget,
            resting=frozenset() if self.unlimited else resting,
        )

    def result(self) -> Result:
        """Returns the result over the whole trace."""
        mean_rate = self.requests / self.header.duration_s
        seconds = {
            cause: unserved / mean_rate
            for cause, unserved in self.unserved_requests.items()
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
    """Replays a trace through a policy.

    Args:
      trace: the trace.
      policy: the policy.
      unlimited: whether budget and rest of the service are ignored.
    """
    return Replay(trace, policy, unlimited).run()
