"""Metrics by statsd; docs/operators/metrics.md lists their names."""

import abc

import statsd

PREFIX = "auburnrock"


class Metrics(abc.ABC):
    """Where counters, timings and gauges go."""

    @abc.abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""

    @abc.abstractmethod
    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd collector over UDP."""

    def __init__(self, host: str, port: int, process: str):
        self.client = statsd.StatsClient(host, port, f"{PREFIX}.{process}")

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.client.incr(name, amount)

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""
        self.client.timing(name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.client.gauge(name, value)


class NoMetrics(Metrics):
    """Drops all metrics."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drops it."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Drops it."""

    def gauge(self, name: str, value: float) -> None:
        """Drops it."""


def connect(endpoint: str, process: str) -> Metrics:
    """Metrics to host:port; none if `endpoint` is empty."""
    if not endpoint:
        return NoMetrics()
    host, _, port = endpoint.rpartition(":")
    return StatsdMetrics(host, int(port), process.replace(".", "_"))
