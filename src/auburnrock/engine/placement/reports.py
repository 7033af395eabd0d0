"""Collects the load of one service at an assigner, in two steps.

Every node sends a small total at each interval. An assigner that has to decide
requests figures for each shard from the busiest nodes only, since only their
shards can be worth moving. For shards without figures it spreads the rest of
their node's total evenly, and does not move them.

All reports merge as last-writer-wins registers (see load.py), so the order in
which they arrive does not matter.
"""

import math

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import members as members_lib
from auburnrock.engine import pages as pages_lib
from auburnrock.engine.placement import base
from auburnrock.engine.placement import capacity
from auburnrock.engine.placement import hot_keys
from auburnrock.engine.placement import load
from auburnrock.engine.placement import meter as meter_lib
from auburnrock.engine.placement import pins
from auburnrock.engine.placement import weighted

MS_PER_TOTAL = 120
"""Minimum mean time in ms between two totals that an assigner receives, at any
number of nodes. It limits totals to some 500 bytes a second with headers;
leases use 2,340 of the 3,000 bytes a second that a node may use for control
traffic."""
MAX_NODES_QUERIED = 16
"""Maximum number of nodes whose figures an assigner requests before a
decision."""
MIN_REPORTING_SHARE = 0.9
"""Minimum share of the service's nodes whose totals a decision requires."""
REPORT_TTL_INTERVALS = 6
"""Number of report intervals after which a report expires unless the node has
sent a newer one."""
IDLE_RATE = 1.0
"""Mean requests a second of a node below which loads are not compared."""
EQUAL_CAPACITY_FACTOR = 1.25
"""Maximum factor between a capacity and the median up to which the median is
used instead: estimates for equal servers differ by as much."""
UNITS_PER_RPS = 1_000
"""Units of a rate or a capacity in a total for one request a second."""
MIN_DEVIATIONS = 5.0
"""Minimum difference between the busiest and the least busy node, in standard
deviations. These nodes are the extremes of all nodes and are compared at each
interval: with three nodes, a difference of three standard deviations occurred
by chance within a minute."""


class NodeFigures(msgspec.Struct, frozen=True, array_like=True):
    """Reply of a node to an assigner that requests its figures.

    Attributes:
      report: load of each shard of the node.
      hot: keys with a significant share of the node's requests, hottest first.
    """

    report: load.LoadReport
    hot: list[hot_keys.HotKey]


def interval_ms(min_interval_ms: int, nodes: int) -> int:
    """Returns the time in ms between two totals of one node.

    The time grows with the number of nodes, so that an assigner receives no
    more than one total in `MS_PER_TOTAL` on average.
    """
    return max(min_interval_ms, nodes * MS_PER_TOTAL)


def node_total(
    node: int, sequence: int, observed: meter_lib.Load, learnt_capacity: float
) -> messages.LoadTotal:
    """Returns the total that a node sends for one service.

    Args:
      node: incarnation of the node.
      sequence: number of the report.
      observed: load of the service at the node.
      learnt_capacity: estimated capacity of the target in requests a second.
    """
    return messages.LoadTotal(
        node,
        sequence,
        round(learnt_capacity * UNITS_PER_RPS),
        round(sum(observed.rates.values()) * UNITS_PER_RPS),
        observed.keys,
    )


def node_figures(
    node: int,
    sequence: int,
    observed: meter_lib.Load,
    learnt_capacity: float,
    owned: dict[int, int],
    settings: records.ServiceSettings,
) -> load.LoadReport:
    """Returns the load of each shard that a node owns.

    Args:
      node: incarnation of the node.
      sequence: number of the report.
      observed: load of the service at the node.
      learnt_capacity: estimated capacity of the target in requests a second.
      owned: epoch of each shard that the node owns.
      settings: settings of the service.
    """
    hashed_shards = sum(shard < settings.shards for shard in owned)
    keys_per_shard = max(1, round(observed.keys / max(1, hashed_shards)))
    shards = [
        load.ShardFigures(
            shard,
            epoch,
            round(observed.rates.get(shard, 0.0), 2),
            keys_per_shard if shard < settings.shards else 1,
        )
        for shard, epoch in sorted(owned.items())
    ]
    return load.LoadReport(node, sequence, learnt_capacity, shards)


def significant_keys(
    hot: list[hot_keys.HotKey], observed: meter_lib.Load
) -> list[hot_keys.HotKey]:
    """Returns the keys that are hot enough to stay pinned.

    A key qualifies if the lower bound of its rate is above `pins.UNPIN_SHARE`
    of the node's requests.
    """
    threshold = pins.UNPIN_SHARE * sum(observed.rates.values())
    return [key for key in hot if key.rate - key.error > threshold]


class ServiceLoad:
    """Load reports of one service that an assigner received.

    Attributes:
      totals: latest total of each node, by incarnation.
      received_ms: when the latest total of each node was received.
      shard_reports: latest report of each node on its shards.
      figures_ms: when the latest report of each node on its shards was
        received.
      hot: keys with a significant share of each node's requests, as last
        reported.
    """

    __slots__ = (
        "_last_queried",
        "figures_ms",
        "hot",
        "received_ms",
        "shard_reports",
        "totals",
    )

    def __init__(self):
        self.totals: dict[int, messages.LoadTotal] = {}
        self.received_ms: dict[int, int] = {}
        self.shard_reports = load.ReportRegister()
        self.figures_ms: dict[int, int] = {}
        self.hot: dict[int, list[hot_keys.HotKey]] = {}
        self._last_queried = 0

    def on_total(self, report: messages.LoadTotal, now_ms: int) -> bool:
        """Merges a total; returns False if it is invalid or not newer."""
        if min(report.capacity, report.rate, report.keys) < 0:
            return False
        current = self.totals.get(report.node)
        # As in ReportRegister, the greater of two reports with the same
        # sequence number wins.
        if current is not None and report <= current:
            return False
        self.totals[report.node] = report
        self.received_ms[report.node] = now_ms
        return True

    def on_figures(self, answer: NodeFigures, now_ms: int) -> None:
        """Merges a node's reply with the figures of its shards."""
        if self.shard_reports.merge(answer.report):
            self.figures_ms[answer.report.origin] = now_ms
            self.hot[answer.report.origin] = answer.hot

    def discard_before(self, oldest_ms: int) -> None:
        """Discards the reports that were received before `oldest_ms`."""
        for node, received_ms in list(self.received_ms.items()):
            if received_ms < oldest_ms:
                del self.received_ms[node], self.totals[node]
        for node, received_ms in list(self.figures_ms.items()):
            if received_ms < oldest_ms:
                del self.figures_ms[node]
                self.hot.pop(node, None)
                self.shard_reports.remove(node)

    def has_enough_reports(self, serving: list[records.NodeRecord]) -> bool:
        """Returns whether enough nodes of the service have sent a total.

        Args:
          serving: records of all nodes that serve the service.
        """
        reporting = sum(record.incarnation in self.totals for record in serving)
        return bool(serving) and reporting >= MIN_REPORTING_SHARE * len(serving)

    def is_idle(self) -> bool:
        """Returns whether there is too little load to compare nodes.

        All shards then count as equal.
        """
        rate = sum(report.rate for report in self.totals.values())
        nodes = max(1, len(self.totals))
        return rate < IDLE_RATE * UNITS_PER_RPS * nodes

    def capacities(self) -> dict[int, float]:
        """Returns the capacity of each node that sent a total.

        Capacities are in requests a second. A node whose capacity is unknown
        is assumed to have the median.
        """
        known_capacities = load.clamp_capacities(
            {
                node: report.capacity / UNITS_PER_RPS
                for node, report in self.totals.items()
                if report.capacity
            }
        )
        default_capacity = load.assumed_capacity(known_capacities)
        return {
            node: _snap_to_median(
                known_capacities.get(node, default_capacity), default_capacity
            )
            for node in sorted(self.totals)
        }

    def nodes_to_query(self, window_s: float) -> list[int]:
        """Returns the nodes to request figures from, the busiest first.

        The list is empty if the service is idle or all nodes are about equally
        busy. Counts of requests that arrive at random vary from window to
        window like a Poisson count; a difference within that variation is
        ignored.

        Args:
          window_s: length of the window that the rates were measured in.
        """
        if self.is_idle():
            return []
        capacities = self.capacities()
        utilisation = {
            node: report.rate / capacities[node]
            for node, report in self.totals.items()
        }
        ranked = sorted(
            utilisation, key=lambda node: (-utilisation[node], node)
        )
        mean = sum(utilisation.values()) / len(utilisation)
        first, last = ranked[0], ranked[-1]
        noise = math.hypot(
            self._rate_deviation(first, window_s) / capacities[first],
            self._rate_deviation(last, window_s) / capacities[last],
        )
        min_gap = max(
            weighted.MIN_UTILISATION_GAP * mean, MIN_DEVIATIONS * noise
        )
        if utilisation[first] - utilisation[last] <= min_gap:
            return []
        return ranked[:MAX_NODES_QUERIED]

    def next_round_robin(self) -> int:
        """Returns the next node by incarnation, after the last one returned.

        An assigner queries this node when no node is busier than the others.
        """
        following = [node for node in self.totals if node > self._last_queried]
        self._last_queried = min(following or self.totals)
        return self._last_queried

    def _rate_deviation(self, node: int, window_s: float) -> float:
        """Returns the standard deviation of a node's rate, in report units."""
        averaged_s = window_s * meter_lib.EFFECTIVE_WINDOWS
        return math.sqrt(self.totals[node].rate * UNITS_PER_RPS / averaged_s)

    def hottest(self) -> list[hot_keys.HotKey]:
        """Returns the hottest keys that the nodes reported, hottest first."""
        return hot_keys.merge(list(self.hot.values()))

    def mean_rate(self) -> float:
        """Returns the mean requests a second of a node."""
        rate = sum(report.rate for report in self.totals.values())
        return rate / UNITS_PER_RPS / max(1, len(self.totals))

    def loads(
        self, owned: dict[int, list[int]], hashed: int
    ) -> tuple[list[base.ShardLoad], frozenset[int]]:
        """Returns the load of every shard.

        Args:
          owned: shards of each owner.
          hashed: number of the service's shards that keys are hashed to; the
            shards after them hold one hot key each.

        Returns:
          The loads, and the shards whose load is only estimated.
        """
        if self.is_idle():
            return self._equal_loads(owned), frozenset()
        reported_loads = {
            figure.shard: figure for figure in self.shard_reports.loads()
        }
        found = []
        estimated: set[int] = set()
        for owner, shards in sorted(owned.items()):
            missing = [shard for shard in shards if shard not in reported_loads]
            found += [
                reported_loads[shard]
                for shard in shards
                if shard in reported_loads
            ]
            found += self._estimate(owner, missing, len(shards), hashed)
            estimated.update(missing)
        return found, frozenset(estimated)

    def _equal_loads(self, owned: dict[int, list[int]]) -> list[base.ShardLoad]:
        """Returns loads at which all shards count as equal."""
        return [
            base.ShardLoad(shard, 0.0)
            for _, shards in sorted(owned.items())
            for shard in shards
        ]

    def _estimate(
        self, owner: int, missing: list[int], owned: int, hashed: int
    ) -> list[base.ShardLoad]:
        """Estimates the load of a node's shards that have no figures.

        The part of the node's total that its figures do not account for is
        spread evenly over these shards.

        Args:
          owner: incarnation of the node.
          missing: shards of the node without figures.
          owned: number of shards that the node owns.
          hashed: number of the service's shards that keys are hashed to.
        """
        report = self.totals.get(owner)
        if report is None:
            keys, rate = 1, 0.0
        else:
            figures_known = self.shard_reports.reports.get(owner)
            reported_shards = figures_known.shards if figures_known else []
            unaccounted = report.rate / UNITS_PER_RPS - sum(
                f.rate for f in reported_shards
            )
            rate = max(0.0, unaccounted) / max(1, len(missing))
            keys = max(1, round(report.keys / max(1, owned)))
        return [
            base.ShardLoad(shard, rate, keys if shard < hashed else 1)
            for shard in missing
        ]


def situation(
    reported: ServiceLoad,
    pages: list[pages_lib.Page],
    members: members_lib.Members,
    settings: records.ServiceSettings,
    planned: dict[int, int],
) -> base.Situation:
    """Builds the input of a placement decision, without the move limits.

    The budget is 0, and `resting` holds only the shards whose load is
    estimated; the caller sets the budget and adds the shards that moved
    recently.

    Args:
      reported: load reports of the service.
      pages: assignment pages of the service, in order of their number.
      members: node records.
      settings: settings of the service.
      planned: planned moves that the pages do not contain yet, from the
        shard's number to the incarnation of its next owner.
    """
    service = pages[0].record.service
    owners: list[int] = []
    moving = dict(planned)
    owned: dict[int, list[int]] = {}
    for page in pages:
        owners += [entry.owner for entry in page.record.entries]
        moving |= page.moving()
        for owner, shards in page.by_owner.items():
            owned.setdefault(owner, []).extend(shards)
    capacities = reported.capacities()
    default_capacity = load.assumed_capacity(capacities)
    servers = [
        base.ServerView(
            incarnation=record.incarnation,
            name=record.name,
            zone=record.zone,
            capacity=capacities.get(record.incarnation, default_capacity),
            accepts=record.incarnation in reported.totals,
        )
        for record in members.serving(service)
    ]
    loads, estimated = reported.loads(owned, settings.shards)
    return base.Situation(
        servers=servers,
        owners=owners,
        loads=loads,
        moving=moving,
        weights=settings.weights,
        resting=estimated,
    )


def estimator(slots: int) -> capacity.CapacityEstimator:
    """Creates the capacity estimator of a target with so many slots."""
    return capacity.CapacityEstimator(max(1, slots))


def _snap_to_median(learnt_capacity: float, default_capacity: float) -> float:
    is_equal = (
        default_capacity / EQUAL_CAPACITY_FACTOR
        <= learnt_capacity
        <= default_capacity * EQUAL_CAPACITY_FACTOR
    )
    return default_capacity if is_equal else learnt_capacity
