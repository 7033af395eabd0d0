"""Cost of load reports: bytes and processor time, by size of the fleet.

Usage: ./task bench reports [--json]
"""

import statistics
import sys
import time

from absl import app
from absl import flags
import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import pages as pages_lib
from auburnrock.engine.placement import load
from auburnrock.engine.placement import meter as meter_lib
from auburnrock.engine.placement import reports

AS_JSON = flags.DEFINE_bool("json", False, "print JSON")
REPEAT = flags.DEFINE_integer("repeat", 5, "runs; the median counts")

NODES = (10, 100, 1_200)
SHARDS_PER_NODE = 32
INTERVAL_MS = 10_000
DATAGRAM_HEADER_BYTES = 28
REQUESTS = 50_000
KEYS = 20_000
SETTINGS = records.ServiceSettings(
    divided_by_key=True, shards=max(NODES) * SHARDS_PER_NODE
)


class Row(msgspec.Struct):
    """Cost at one size of the fleet.

    Attributes:
      nodes: nodes of the service.
      interval_s: time between two reports.
      sent_bytes_s: what a node sends, headers included.
      received_bytes_s: what an assigner receives: totals with headers, and
        the figures that it asks for.
      merge_us: time to decode and take in one total.
      ask_ms: time to find whom to ask.
      loads_ms: time to work out the load of every shard.
      assigner_share: processor share of the three at the first assigner.
    """

    nodes: int
    interval_s: float
    sent_bytes_s: float
    received_bytes_s: float
    merge_us: float
    ask_ms: float
    loads_ms: float
    assigner_share: float


def measure(nodes: int) -> Row:
    """Measures one size."""
    interval_s = reports.interval_ms(INTERVAL_MS, nodes) / 1_000
    first = 1_796_355_838_000 << 20
    totals = [
        messages.encode(
            messages.LoadTotal(
                first + n, 5, 900_000 + n, 500_000 + n * 300, 20_000
            )
        )
        for n in range(nodes)
    ]
    owned = {
        first + n: list(range(n * SHARDS_PER_NODE, (n + 1) * SHARDS_PER_NODE))
        for n in range(nodes)
    }
    merges, asks, load_times = [], [], []
    for _ in range(REPEAT.value):
        reported = reports.ServiceLoad()
        merges.append(_time(_merge, reported, totals) / nodes)
        asks.append(_time(reported.nodes_to_query, interval_s))
        asked = reported.nodes_to_query(interval_s)
        answers = [_answer(node, owned[node]) for node in asked]
        for answer in answers:
            reported.on_figures(answer, 0)
        load_times.append(_time(reported.loads, owned, SETTINGS.shards))
    figures = sum(len(msgspec.msgpack.encode(each)) for each in answers)
    received = sum(len(each) + DATAGRAM_HEADER_BYTES for each in totals)
    busy_s = nodes * statistics.median(merges)
    busy_s += statistics.median(asks) + statistics.median(load_times)
    sent = reports_sent(totals)
    return Row(
        nodes,
        interval_s,
        round(sent / interval_s, 1),
        round((received + figures) / interval_s, 1),
        round(statistics.median(merges) * 1e6, 2),
        round(statistics.median(asks) * 1e3, 3),
        round(statistics.median(load_times) * 1e3, 3),
        round(busy_s / interval_s, 6),
    )


def reports_sent(totals: list[bytes]) -> int:
    """Bytes of one node's report to its two receivers."""
    return 2 * (max(map(len, totals)) + DATAGRAM_HEADER_BYTES)


def count_us() -> float:
    """Time to count one request."""
    meter = meter_lib.LoadMeter(0)
    places = [
        pages_lib.ServiceShard("service", n) for n in range(SHARDS_PER_NODE)
    ]
    keys = [f"customer-{n}" for n in range(KEYS)]

    def run() -> None:
        for n in range(REQUESTS):
            meter.record_arrival(
                places[n % SHARDS_PER_NODE], keys[n % KEYS], n // 10
            )
            meter.record_send(n // 10)
            meter.record_end(n // 10, True)

    return round(_time(run) / REQUESTS * 1e6, 2)


def _merge(reported: reports.ServiceLoad, totals: list[bytes]) -> None:
    for data in totals:
        reported.on_total(messages.decode_datagram(data), 0)


def _answer(node: int, shards: list[int]) -> reports.NodeFigures:
    figures = [load.ShardFigures(n, 3, 15.25, 23_177) for n in shards]
    return reports.NodeFigures(load.LoadReport(node, 5, 900.5, figures), [])


def _time(run, *arguments) -> float:
    began_s = time.perf_counter()
    run(*arguments)
    return time.perf_counter() - began_s


def main(_arguments: list[str]) -> int:
    """Runs the benchmark and prints its table."""
    rows = [measure(nodes) for nodes in NODES]
    counted = count_us()
    if AS_JSON.value:
        report = {"rows": msgspec.to_builtins(rows), "count_us": counted}
        print(msgspec.json.encode(report).decode())
        return 0
    for field in Row.__struct_fields__:
        values = "".join(f"{getattr(row, field):>12}" for row in rows)
        print(f"{field:<18}{values}")
    print(f"count_us          {counted:>12}")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
