"""The task that sends a node's metrics; docs/operators/metrics.md."""

import asyncio
import collections

import aiomisc

from auburnrock import records
from auburnrock.control import server as control_server
from auburnrock.control import views
from auburnrock.shells import control_traffic
from auburnrock.shells import logs
from auburnrock.shells import metrics as metrics_lib
from auburnrock.shells import request_tally

SAMPLE_S = 10.0
PERCENTILES = (50, 99)


class MetricsTask(aiomisc.Service):
    """Samples the node and sends what it found.

    Attributes:
      source: the node.
      router: counts the callers' requests.
      event_log: counts the events.
      metrics: where metrics go.
      traffic: counts what the node spends on control.
      sent_events: counts of events that were sent already.
    """

    def __init__(
        self,
        source: control_server.ControlSource,
        router: request_tally.CountingRouter,
        event_log: logs.EventLog,
        metrics: metrics_lib.Metrics,
        traffic: control_traffic.ControlTraffic,
    ):
        super().__init__()
        self.source = source
        self.router = router
        self.event_log = event_log
        self.metrics = metrics
        self.traffic = traffic
        self.sent_events: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Samples until cancelled."""
        self.start_event.set()
        while True:
            await asyncio.sleep(SAMPLE_S)
            self.sample()

    async def stop(self, exception: Exception | None = None) -> None:
        """Sends what was counted since the last sample."""
        self.sample()

    def sample(self) -> None:
        """Sends one sample."""
        self._send_requests(self.router.take())
        self._send_events()
        self._send_status(self.source.status())

    def _send_requests(self, tally: request_tally.RequestTally) -> None:
        if tally.answered:
            self.metrics.count("requests.answered", tally.answered)
        for kind, count in tally.refused.items():
            self.metrics.count(f"requests.refused.{kind.value}", count)
        if tally.times.get_total_count() == 0:
            return
        for percentile in PERCENTILES:
            value = tally.times.get_value_at_percentile(percentile)
            self.metrics.gauge(f"requests.p{percentile}_ms", value)

    def _send_events(self) -> None:
        for event, count in self.event_log.counts.items():
            added = count - self.sent_events[event]
            if added:
                self.metrics.count(f"events.{event}", added)
                self.sent_events[event] = count

    def _send_status(self, status: views.Status) -> None:
        own = [m for m in status.members if m.incarnation == status.incarnation]
        active = [
            m for m in status.members if m.state is records.NodeState.ACTIVE
        ]
        is_live = status.lease.state is views.LeaseState.LIVE
        target = status.target
        gauges = {
            "lease.live": int(is_live),
            "lease.left_ms": status.lease.left_ms,
            "lease.witnesses": len(status.witnesses),
            "store.reachable": int(status.store_reachable),
            "replica.revision": status.replica_revision,
            "configuration.revision": status.configuration_revision,
            "shards.owned": sum(member.shards_owned for member in own),
            "members.active": len(active),
            "not_tolerated": len(status.not_tolerated),
            "target.running": target.running if target else 0,
            "control.sent_bytes": self.traffic.sent_bytes,
            "control.received_bytes": self.traffic.received_bytes,
            "control.messages": self.traffic.messages,
        }
        for name, value in gauges.items():
            self.metrics.gauge(name, value)
