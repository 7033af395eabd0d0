"""What an assigner knows of the load of one service, in two steps.

Every node sends a small total at each interval. An assigner that has to decide
asks the busiest nodes alone for the figures of each shard, since only their
shards can be worth moving. What it has no figures for it takes as the rest of
its node's total, spread evenly, and leaves where it is.

Everything merges as last-writer-wins registers (see load.py), so the order in
which reports arrive does not matter.
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

SHARE_MS = 120
"""An assigner takes in one total in this time, at any number of nodes: some
500 bytes a second with headers, beside 2,340 for leases, of the 3,000 that a
node may spend on control."""
BUSIEST = 16
"""Nodes that are asked for the figures of their shards before a decision."""
LEAST_HEARD = 0.9
"""Share of the service's nodes whose totals a decision needs."""
LIFE_INTERVALS = 6
"""Intervals after which a report that was not renewed counts no more."""
IDLE_RATE = 1.0
"""Requests a second for each node below which loads are not compared."""
SAME_CAPACITY = 1.25
"""Capacities this close to the median are taken as equal to it: what is
learnt of equal servers differs by as much."""
UNITS_PER_RPS = 1_000
DEVIATIONS = 5.0
"""Standard deviations by which the busiest and the least busy node must
differ. They are the extremes of all nodes, and are compared at each interval:
of three nodes, a difference of three came by chance within a minute."""


class NodeFigures(msgspec.Struct, frozen=True, array_like=True):
    """What a node answers to an assigner.

    Attributes:
      report: the figures of its shards.
      hot: keys that are a notable share of its requests, hottest first.
    """

    report: load.LoadReport
    hot: list[hot_keys.HotKey]


def interval_ms(shortest_ms: int, nodes: int) -> int:
    """Time between two reports, so that no assigner gets too many."""
    return max(shortest_ms, nodes * SHARE_MS)


def total(
    node: int, sequence: int, seen: meter_lib.Load, learnt: float
) -> messages.LoadTotal:
    """The report of a node; `learnt` is its capacity in requests a second."""
    return messages.LoadTotal(
        node,
        sequence,
        round(learnt * UNITS_PER_RPS),
        round(sum(seen.rates.values()) * UNITS_PER_RPS),
        seen.keys,
    )


def figures(
    node: int,
    sequence: int,
    seen: meter_lib.Load,
    learnt: float,
    owned: dict[int, int],
    settings: records.ServiceSettings,
) -> load.LoadReport:
    """The figures of a node's shards; `owned` holds the epoch of each."""
    hashed = sum(shard < settings.shards for shard in owned)
    each = max(1, round(seen.keys / max(1, hashed)))
    shards = [
        load.ShardFigures(
            shard,
            epoch,
            round(seen.rates.get(shard, 0.0), 2),
            each if shard < settings.shards else 1,
        )
        for shard, epoch in sorted(owned.items())
    ]
    return load.LoadReport(node, sequence, learnt, shards)


def notable(
    hot: list[hot_keys.HotKey], seen: meter_lib.Load
) -> list[hot_keys.HotKey]:
    """The hot keys worth reporting."""
    least = pins.UNPIN_SHARE * sum(seen.rates.values())
    return [key for key in hot if key.rate - key.error > least]


class ServiceLoad:
    """The reports about one service.

    Attributes:
      totals: latest total of each node.
      heard_ms: when it was received.
      book: figures of shards.
      figures_ms: when each node's figures were received.
      hot: notable keys of each node, as last reported.
    """

    __slots__ = (
        "_asked_last",
        "book",
        "figures_ms",
        "heard_ms",
        "hot",
        "totals",
    )

    def __init__(self):
        self.totals: dict[int, messages.LoadTotal] = {}
        self.heard_ms: dict[int, int] = {}
        self.book = load.LoadBook()
        self.figures_ms: dict[int, int] = {}
        self.hot: dict[int, list[hot_keys.HotKey]] = {}
        self._asked_last = 0

    def on_total(self, report: messages.LoadTotal, now_ms: int) -> bool:
        """Takes a total in; False if it is no news or makes no sense."""
        if min(report.capacity, report.rate, report.keys) < 0:
            return False
        known = self.totals.get(report.node)
        # As in LoadBook, the greater of two reports of one sequence wins.
        if known is not None and report <= known:
            return False
        self.totals[report.node] = report
        self.heard_ms[report.node] = now_ms
        return True

    def on_figures(self, answer: NodeFigures, now_ms: int) -> None:
        """Takes the figures of a node's shards in."""
        if self.book.merge(answer.report):
            self.figures_ms[answer.report.origin] = now_ms
            self.hot[answer.report.origin] = answer.hot

    def forget_before(self, oldest_ms: int) -> None:
        """Drops the reports that were not renewed since then."""
        for node, heard_ms in list(self.heard_ms.items()):
            if heard_ms < oldest_ms:
                del self.heard_ms[node], self.totals[node]
        for node, heard_ms in list(self.figures_ms.items()):
            if heard_ms < oldest_ms:
                del self.figures_ms[node]
                self.hot.pop(node, None)
                self.book.forget(node)

    def has_heard(self, serving: list[records.NodeRecord]) -> bool:
        """Whether enough nodes of the service have reported to decide."""
        heard = sum(record.incarnation in self.totals for record in serving)
        return bool(serving) and heard >= LEAST_HEARD * len(serving)

    def is_idle(self) -> bool:
        """Whether there is too little load to compare; keys count then."""
        rate = sum(report.rate for report in self.totals.values())
        nodes = max(1, len(self.totals))
        return rate < IDLE_RATE * UNITS_PER_RPS * nodes

    def capacities(self) -> dict[int, float]:
        """Capacity of each node that reported, in requests a second."""
        learnt = load.believable(
            {
                node: report.capacity / UNITS_PER_RPS
                for node, report in self.totals.items()
                if report.capacity
            }
        )
        usual = load.assumed_capacity(learnt)
        return {
            node: _rounded(learnt.get(node, usual), usual)
            for node in sorted(self.totals)
        }

    def busiest(self, window_s: float) -> list[int]:
        """The nodes to ask for figures; none if all are about as busy.

        Requests that come at random differ from window to window as much as a
        Poisson count does; a difference within that is none.
        """
        if self.is_idle():
            return []
        capacities = self.capacities()
        used = {
            node: report.rate / capacities[node]
            for node, report in self.totals.items()
        }
        ranked = sorted(used, key=lambda node: (-used[node], node))
        mean = sum(used.values()) / len(used)
        first, last = ranked[0], ranked[-1]
        noise = math.hypot(
            self._deviation(first, window_s) / capacities[first],
            self._deviation(last, window_s) / capacities[last],
        )
        least_gap = max(weighted.MIN_GAP * mean, DEVIATIONS * noise)
        if used[first] - used[last] <= least_gap:
            return []
        return ranked[:BUSIEST]

    def next_in_turn(self) -> int:
        """The next node by incarnation, to ask when none is busier."""
        later = [node for node in self.totals if node > self._asked_last]
        self._asked_last = min(later or self.totals)
        return self._asked_last

    def _deviation(self, node: int, window_s: float) -> float:
        """Standard deviation of a node's rate, in the unit of the report."""
        seen_s = window_s * meter_lib.WINDOWS
        return math.sqrt(self.totals[node].rate * UNITS_PER_RPS / seen_s)

    def hottest(self) -> list[hot_keys.HotKey]:
        """The hottest keys that were reported."""
        return hot_keys.merge(list(self.hot.values()))

    def mean_rate(self) -> float:
        """Requests a second of a node on average."""
        rate = sum(report.rate for report in self.totals.values())
        return rate / UNITS_PER_RPS / max(1, len(self.totals))

    def loads(
        self, owned: dict[int, list[int]], hashed: int
    ) -> tuple[list[base.ShardLoad], frozenset[int]]:
        """Load of every shard, and the shards it is only guessed for.

        Args:
          owned: shards of each owner.
          hashed: number of the service's shards that are no hot key's.
        """
        if self.is_idle():
            return self._equal(owned), frozenset()
        known = {figure.shard: figure for figure in self.book.loads()}
        found = []
        guessed: set[int] = set()
        for owner, shards in sorted(owned.items()):
            missing = [shard for shard in shards if shard not in known]
            found += [known[shard] for shard in shards if shard in known]
            found += self._guess(owner, missing, len(shards), hashed)
            guessed.update(missing)
        return found, frozenset(guessed)

    def _equal(self, owned: dict[int, list[int]]) -> list[base.ShardLoad]:
        """Loads that count every shard alike."""
        return [
            base.ShardLoad(shard, 0.0)
            for _, shards in sorted(owned.items())
            for shard in shards
        ]

    def _guess(
        self, owner: int, missing: list[int], owned: int, hashed: int
    ) -> list[base.ShardLoad]:
        """Spreads what a node's total leaves over shards without figures."""
        report = self.totals.get(owner)
        if report is None:
            keys, rate = 1, 0.0
        else:
            figures_known = self.book.reports.get(owner)
            listed = figures_known.shards if figures_known else []
            left = report.rate / UNITS_PER_RPS - sum(f.rate for f in listed)
            rate = max(0.0, left) / max(1, len(missing))
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
    """What a policy decides from, but for budget and rest.

    Args:
      reported: the reports.
      pages: the service's pages, by number.
      members: the node records.
      settings: the service's settings.
      planned: moves that are not in the pages yet, to the next owner.
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
    usual = load.assumed_capacity(capacities)
    servers = [
        base.ServerView(
            incarnation=record.incarnation,
            name=record.name,
            zone=record.zone,
            capacity=capacities.get(record.incarnation, usual),
            accepts=record.incarnation in reported.totals,
        )
        for record in members.serving(service)
    ]
    loads, guessed = reported.loads(owned, settings.shards)
    return base.Situation(
        servers=servers,
        owners=owners,
        loads=loads,
        moving=moving,
        weights=settings.weights,
        resting=guessed,
    )


def estimator(slots: int) -> capacity.CapacityEstimator:
    """Makes what learns a target's capacity."""
    return capacity.CapacityEstimator(max(1, slots))


def _rounded(learnt: float, usual: float) -> float:
    is_same = usual / SAME_CAPACITY <= learnt <= usual * SAME_CAPACITY
    return usual if is_same else learnt
