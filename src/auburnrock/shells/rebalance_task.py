"""The task that reports this node's load and plans moves when it is its turn.

The node of rank 0 for a service plans its moves; the node of rank 1 is sent
the totals too, so that it can go on at once.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import page_change
from auburnrock.engine.placement import base
from auburnrock.engine.placement import history
from auburnrock.engine.placement import meter as meter_lib
from auburnrock.engine.placement import pins
from auburnrock.engine.placement import policies
from auburnrock.engine.placement import reports
from auburnrock.shells import assignment_task
from auburnrock.shells import clock
from auburnrock.shells import frames
from auburnrock.shells import lease_task
from auburnrock.shells import logs
from auburnrock.shells import peer_server
from auburnrock.shells import settings as settings_lib
from auburnrock.shells import store_sync

RECEIVERS = 2
SETTLE_INTERVALS = 3
"""Intervals after planned moves until the totals show all of their effect:
the move, a window that it cuts, and a whole one."""
PULL_TIMEOUT_S = 0.5


class RebalanceTask(
    store_sync.ChangeListener,
    lease_task.TickListener,
    lease_task.TotalsListener,
    peer_server.FiguresSource,
):
    """Reports load, and decides on planned moves.

    Attributes:
      settings: the daemon's settings.
      assignment: this node's assigner, and who serves what.
      peers: connections to the other nodes.
      meter: counts this node's requests.
      event_log: where events go.
      policy: decides which moves are worth making.
      histories: what moved lately.
      services: the reports about each service that this node was sent.
    """

    def __init__(
        self,
        settings: settings_lib.DaemonSettings,
        assignment: assignment_task.AssignmentTask,
        peers: frames.PeerConnections,
        meter: meter_lib.LoadMeter,
        event_log: logs.EventLog,
    ):
        now_ms = clock.now_ms()
        self.settings = settings
        self.assignment = assignment
        self.peers = peers
        self.meter = meter
        self.event_log = event_log
        self.policy = policies.policy()
        started_ms = now_ms + settings.rebalance_after_ms
        started_ms -= history.BUDGET_WINDOW_MS
        self.histories = history.MoveHistories(started_ms)
        self.services: dict[str, reports.ServiceLoad] = {}
        self._estimator = reports.estimator(records.ServiceSettings().slots)
        self._estimated_target = ""
        self._sequence = 0
        self._report_at_ms = now_ms + settings.rebalance_interval_ms
        self._decide_at_ms = now_ms + settings.rebalance_after_ms
        self._round: asyncio.Task | None = None
        self._settled_ms: dict[str, int] = {}
        self._advised: set[tuple[str, str]] = set()

    def on_replica_changed(self, changed: list[str]) -> None:
        """Notes what has moved."""
        view = self.assignment.sync.view
        now_ms = clock.now_ms()
        for key in changed:
            page = view.pages.by_key.get(key)
            if page is not None:
                self.histories.on_page(page, view.members, now_ms)

    def on_tick(self, now_ms: int) -> None:
        """Reports and decides when it is time."""
        members = self.assignment.sync.view.members
        interval_ms = reports.interval_ms(
            self.settings.rebalance_interval_ms, len(members.active())
        )
        if now_ms >= self._report_at_ms:
            self._report_at_ms = now_ms + interval_ms
            self._report(now_ms)
        is_busy = self._round is not None and not self._round.done()
        if now_ms >= self._decide_at_ms and not is_busy:
            self._decide_at_ms = now_ms + interval_ms
            self._round = asyncio.create_task(self._decide(interval_ms))

    def on_total(self, total: messages.LoadTotal) -> None:
        """Takes in the total of a node."""
        record = self.assignment.sync.view.members.get(total.node)
        if record is not None and record.service:
            reported = self._reported(record.service)
            reported.on_total(total, clock.now_ms())

    def answer(self, pull: messages.PullFigures) -> messages.Figures:
        """What this node knows of each of its shards."""
        answer = self._figures()
        data = msgspec.msgpack.encode(answer) if answer else b""
        return messages.Figures(pull.stream, data)

    def stop(self) -> None:
        """Ends a decision under way."""
        if self._round is not None:
            self._round.cancel()

    def _reported(self, service: str) -> reports.ServiceLoad:
        if service not in self.services:
            self.services[service] = reports.ServiceLoad()
        return self.services[service]

    def _service(self) -> str:
        """The service with shards that the target beside this node serves."""
        seen = self.assignment.target_task.grants.target
        settings = self.assignment.in_force.settings(
            seen.service if seen else ""
        )
        if settings is None or not keys.has_shards(settings):
            return ""
        return seen.service

    def _report(self, now_ms: int) -> None:
        owned = self.assignment.sync.view.pages.shards_of(
            self.assignment.incarnation
        )
        window = self.meter.roll(now_ms, owned)
        service = self._service()
        if not service:
            return
        target = self.assignment.target_task.grants.target.incarnation
        if target != self._estimated_target:
            slots = self.assignment.in_force.settings(service).slots
            self._estimator = reports.estimator(slots)
            self._estimated_target = target
        else:
            self._estimator.observe(window)
        self._sequence += 1
        total = reports.node_total(
            self.assignment.incarnation,
            self._sequence,
            self.meter.load_of(service),
            self._estimator.capacity,
        )
        assigner = self.assignment.assigner
        for receiver in assigner.candidates_to_act(service, RECEIVERS):
            if receiver == self.assignment.incarnation:
                self.on_total(total)
            else:
                self.assignment.runner.send(receiver, total)

    def _figures(self) -> reports.NodeFigures | None:
        service = self._service()
        if not service:
            return None
        pages = self.assignment.sync.view.pages
        own = self.assignment.incarnation
        owned = {
            shard: page.entry(shard).epoch
            for page in pages.of_service(service)
            for shard in page.by_owner.get(own, ())
        }
        seen = self.meter.load_of(service)
        report = reports.node_figures(
            own,
            self._sequence,
            seen,
            self._estimator.capacity,
            owned,
            self.assignment.in_force.settings(service),
        )
        hot = self.meter.hot.get(service)
        hottest = hot.hottest(clock.now_ms()) if hot else []
        return reports.NodeFigures(
            report, reports.significant_keys(hottest, seen)
        )

    async def _decide(self, interval_ms: int) -> None:
        """Plans the moves of each service whose first assigner this node is."""
        oldest_ms = clock.now_ms() - reports.REPORT_TTL_INTERVALS * interval_ms
        for service, reported in sorted(self.services.items()):
            reported.discard_before(oldest_ms)
            settings = self.assignment.in_force.settings(service)
            if settings is None or not keys.has_shards(settings):
                continue
            if self.assignment.assigner.rank(service) != 0:
                continue
            self.assignment.assigner.capacities |= reported.capacities()
            serving = self.assignment.sync.view.members.serving(service)
            if reported.has_enough_reports(serving):
                await self._rebalance(service, reported, settings, interval_ms)

    async def _rebalance(
        self,
        service: str,
        reported: reports.ServiceLoad,
        settings: records.ServiceSettings,
        interval_ms: int,
    ) -> None:
        busiest = reported.nodes_to_query(interval_ms / 1_000)
        is_level = not busiest and not reported.is_idle()
        # One node in turn, for its hot keys.
        asked = [reported.next_round_robin()] if is_level else busiest
        answers = await asyncio.gather(*(self._pull(node) for node in asked))
        now_ms = clock.now_ms()
        for answer in answers:
            if answer is not None:
                reported.on_figures(answer, now_ms)
        self._advise(service, reported, settings)
        if is_level:
            return
        situation = self._situation(service, reported, settings, now_ms)
        is_settled = now_ms >= self._settled_ms.get(service, 0)
        if situation is None or situation.budget <= 0 or not is_settled:
            return
        # In a thread: at full size it takes longer than a renewal may wait.
        moves = await asyncio.to_thread(self.policy.rebalance, situation)
        if moves and self.assignment.assigner.rank(service) == 0:
            settle_ms = SETTLE_INTERVALS * interval_ms
            self._settled_ms[service] = now_ms + settle_ms
            self._plan(service, reported, moves)

    def _situation(
        self,
        service: str,
        reported: reports.ServiceLoad,
        settings: records.ServiceSettings,
        now_ms: int,
    ) -> base.Situation | None:
        view = self.assignment.sync.view
        pages = view.pages.of_service(service)
        if not pages:
            return None
        planned = self.assignment.assigner.planned(service)
        found = reports.situation(
            reported, pages, view.members, settings, planned
        )
        moved = self.histories.for_service(service)
        budget = moved.budget(now_ms, settings.churn_per_minute)
        return msgspec.structs.replace(
            found,
            # A move under way is not in the history yet.
            budget=max(0, budget - len(found.moving)),
            resting=found.resting | moved.resting(now_ms),
        )

    def _plan(
        self,
        service: str,
        reported: reports.ServiceLoad,
        moves: list[base.Move],
    ) -> None:
        self.event_log.write(
            "moves_planned",
            service=service,
            moves=len(moves),
            rates=_span(each.rate for each in reported.totals.values()),
            capacities=_span(
                each.capacity for each in reported.totals.values()
            ),
            shards=" ".join(str(move.shard) for move in moves[:8]),
        )
        planned = [
            page_change.PlannedMove(service, move.shard, move.destination)
            for move in moves
        ]
        asked = self.assignment.assigner.plan(planned, clock.now_ms())
        self.assignment.runner.run(self.assignment, asked)

    def _advise(
        self,
        service: str,
        reported: reports.ServiceLoad,
        settings: records.ServiceSettings,
    ) -> None:
        """Logs each key that deserves a shard of its own, once."""
        if reported.is_idle() or not settings.divided_by_key:
            return
        advice = pins.advise(
            reported.hottest(), settings.hot_keys, reported.mean_rate()
        )
        rates = {hot.key: hot.rate for hot in reported.hottest()}
        for key in advice.pin:
            if (service, key) not in self._advised:
                self._advised.add((service, key))
                self.event_log.write(
                    "hot_key",
                    service=service,
                    key=key,
                    rate=round(rates[key], 1),
                    server_mean=round(reported.mean_rate(), 1),
                    advice="append it to hot_keys",
                )

    async def _pull(self, node: int) -> reports.NodeFigures | None:
        """Asks a node for its shards' figures; None if it gave none."""
        if node == self.assignment.incarnation:
            return self._figures()
        record = self.assignment.sync.view.members.get(node)
        if record is None:
            return None
        pull = messages.PullFigures(0)
        try:
            answer = await self.peers.exchange(
                record.address, record.peer_port, pull, PULL_TIMEOUT_S
            )
            if not isinstance(answer, messages.Figures) or not answer.data:
                return None
            found = msgspec.msgpack.decode(
                answer.data, type=reports.NodeFigures
            )
        except (frames.PeerError, msgspec.DecodeError) as error:
            self.event_log.write("figures_missing", reason=str(error))
            return None
        return found if found.report.origin == node else None


def _span(reported: Iterable[int]) -> str:
    """The least and the greatest of reported figures, in requests a second."""
    per_second = [figure / reports.UNITS_PER_RPS for figure in reported]
    return f"{min(per_second):.1f} to {max(per_second):.1f}"
