"""Counters and latency histograms in the Prometheus text format."""

import prometheus_client

LATENCY_BOUNDS_S = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.5,
    3.0,
    6.0,
)
"""Bucket bounds of the histograms, in seconds."""


class Metrics:
    """Metrics of a node.

    Attributes:
      requests: number of callers' requests, by service and outcome.
      answer_s: time from a request's head to its response, by service.
      wait_s: time of requests in the queue before the target.
      service_time_s: time of requests at the target, by kind of end.
      retries: number of retries, by cause.
      hedges: number of hedges by what became of them: every one is `sent`;
        `won` if it had the first final outcome, and `cancelled` if it or the
        send beside it was.
      hedges_denied: number of late requests that were not hedged, by reason.
      events: number of log events by name, written or not.
      store_calls: number of calls to the store.
      peer_bytes: bytes written to other nodes, by kind of message.
      tables_written: number of key table versions that this node wrote, by
        cause.
      target_limit: limit that the target names, in requests per second.
      target_leaving: whether the target leaves.
      limits: number of times that a limit of memory or connections was
        reached, by limit.
      kept_bytes: bytes that are counted for messages and connections.
      caller_connections: number of callers' connections.
      keys_moved: number of stripes that this node moved to other targets.
      children: parts of the metrics with given label values. Looking one up in
        the library checks all values and takes a lock.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry(auto_describe=False)
        common = {"registry": self.registry, "namespace": "auburnrock"}
        self.requests = prometheus_client.Counter(
            "requests", "Requests of callers.", ["service", "outcome"], **common
        )
        self.answer_s = prometheus_client.Histogram(
            "answer_seconds",
            "Time to the answer.",
            ["service"],
            buckets=LATENCY_BOUNDS_S,
            **common,
        )
        self.wait_s = prometheus_client.Histogram(
            "wait_seconds",
            "Time in the queue beside the target.",
            buckets=LATENCY_BOUNDS_S,
            **common,
        )
        self.service_time_s = prometheus_client.Histogram(
            "work_seconds",
            "Time at the target.",
            ["end"],
            buckets=LATENCY_BOUNDS_S,
            **common,
        )
        self.retries = prometheus_client.Counter(
            "repeats", "Requests sent once more.", ["cause"], **common
        )
        self.hedges = prometheus_client.Counter(
            "hedges", "Second sends of late requests.", ["result"], **common
        )
        self.hedges_denied = prometheus_client.Counter(
            "hedges_denied",
            "Late requests without a second send.",
            ["reason"],
            **common,
        )
        self.events = prometheus_client.Gauge(
            "events", "Log events.", ["event"], **common
        )
        self.store_calls = prometheus_client.Gauge(
            "store_calls", "Calls to the store.", **common
        )
        self.peer_bytes = prometheus_client.Gauge(
            "peer_bytes", "Bytes to other nodes.", ["message"], **common
        )
        self.tables_written = prometheus_client.Counter(
            "tables_written",
            "Versions of key tables written.",
            ["cause"],
            **common,
        )
        self.target_limit = prometheus_client.Gauge(
            "target_limit_per_second",
            "Limit that the target names; 0 for none.",
            **common,
        )
        self.target_leaving = prometheus_client.Gauge(
            "target_leaving", "Whether the target leaves.", **common
        )
        self.limits = prometheus_client.Counter(
            "limits_reached",
            "Requests refused and connections closed by a limit.",
            ["limit"],
            **common,
        )
        self.kept_bytes = prometheus_client.Gauge(
            "kept_bytes", "Bytes of messages and connections.", **common
        )
        self.caller_connections = prometheus_client.Gauge(
            "caller_connections", "Connections of callers.", **common
        )
        self.keys_moved = prometheus_client.Counter(
            "stripes_moved", "Stripes given to other targets.", **common
        )

        self.children: dict[tuple, object] = {}

    def count_request(self, service: str, outcome: str) -> None:
        """Counts a request of a caller."""
        self._child(self.requests, service, outcome).inc()

    def observe_answer(self, service: str, answer_s: float) -> None:
        """Records the time to a response."""
        self._child(self.answer_s, service).observe(answer_s)

    def observe_service_time(self, end: str, service_time_s: float) -> None:
        """Records the time of a request at the target."""
        self._child(self.service_time_s, end).observe(service_time_s)

    def _child(self, metric, *values: str):
        child = self.children.get((metric, values))
        if child is None:
            child = self.children[metric, values] = metric.labels(*values)
        return child

    def text(self) -> bytes:
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)
