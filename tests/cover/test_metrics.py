import socket

import pytest

from auburnrock import errors
from auburnrock import messages
from auburnrock.shells import control_traffic
from auburnrock.shells import front
from auburnrock.shells import metrics
from auburnrock.shells import metrics_task
from auburnrock.shells import request_tally
from tests.common import control_sources


class ScriptedRouter(front.Router):
    def __init__(self, answers):
        self.answers = answers

    def configuration(self):
        return None

    async def route(self, request):
        return self.answers.pop(0)


@pytest.fixture
def collector():
    """A statsd collector's socket, and the sent lines as it got them."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.settimeout(1)
        yield listener


def received(collector, count):
    return [collector.recv(1_000).decode() for _ in range(count)]


def answered():
    return messages.Response(
        stream=0,
        request_id="r",
        status=200,
        headers=[],
        body=b"",
        owner=1,
        epoch=1,
    )


def refused(kind):
    return messages.Refusal(
        stream=0,
        request_id="r",
        kind=kind,
        message="m",
        retry_after_ms=None,
        watermark=0,
    )


def task_with(answers, to):
    source = control_sources.FakeSource()
    router = request_tally.CountingRouter(ScriptedRouter(answers))
    traffic = control_traffic.ControlTraffic()
    return metrics_task.MetricsTask(
        source, router, source.event_log, to, traffic
    )


class Recorder(metrics.NoMetrics):
    def __init__(self):
        self.counts = {}
        self.gauges = {}

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def gauge(self, name, value):
        self.gauges[name] = value


async def test_each_request_and_event_is_counted_once():
    recorder = Recorder()
    answers = [answered(), refused(errors.ErrorKind.MOVING)]
    task = task_with(answers, recorder)
    for _ in range(2):
        await task.router.route(None)
    task.event_log.write("sealed")
    for _ in range(2):
        task.sample()
    assert recorder.counts == {
        "requests.answered": 1,
        "requests.refused.moving": 1,
        "events.sealed": 1,
    }
    assert recorder.gauges["requests.p99_ms"] >= 1
    assert recorder.gauges["lease.live"] == 1
    assert recorder.gauges["configuration.revision"] == 5


def test_metrics_reach_a_statsd_collector(collector):
    endpoint = f"127.0.0.1:{collector.getsockname()[1]}"
    connected = metrics.connect(endpoint, "portal.1")
    connected.count("requests.answered", 3)
    connected.gauge("lease.live", 1)
    assert received(collector, 2) == [
        "auburnrock.portal_1.requests.answered:3|c",
        "auburnrock.portal_1.lease.live:1|g",
    ]
