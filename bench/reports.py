"""Measures bytes and processor time of load reports by number of nodes.

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
REPEAT = flags.DEFINE_integer("repeat", 5, "runs; medians are reported")

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
    """Cost of load reports at one number of nodes.

    Attributes:
      nodes: number of nodes of the service.
      interval_s: seconds between two totals of a node.
      sent_bytes_s: bytes a second that a node sends, with headers.
      received_bytes_s: bytes a second that an assigner receives: totals with
        headers, and the requested figures.
      merge_us: median time to decode and merge one total, in microseconds.
      ask_ms: median time to choose the nodes to request figures from.
      loads_ms: median time to compute the load of every shard.
      assigner_share: share of one processor that merging, choosing and
        computing use at the first assigner.
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
    """Measures the cost at one number of nodes."""
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
    merge_times, query_times, load_times = [], [], []
    for _ in range(REPEAT.value):
        reported = reports.ServiceLoad()
        merge_times.append(_time(_merge, reported, totals) / nodes)
        query_times.append(_time(reported.nodes_to_query, interval_s))
        queried = reported.nodes_to_query(interval_s)
        replies = [_reply(node, owned[node]) for node in queried]
        for reply in replies:
            reported.on_figures(reply, 0)
        load_times.append(_time(reported.loads, owned, SETTINGS.shards))
    figures = sum(len(msgspec.msgpack.encode(each)) for each in replies)
    received = sum(len(each) + DATAGRAM_HEADER_BYTES for each in totals)
    busy_s = nodes * statistics.median(merge_times)
    busy_s += statistics.median(query_times) + statistics.median(load_times)
    sent = bytes_sent(totals)
    return Row(
        nodes,
        interval_s,
        round(sent / interval_s, 1),
        round((received + figures) / interval_s, 1),
        round(statistics.median(merge_times) * 1e6, 2),
        round(statistics.median(query_times) * 1e3, 3),
        round(statistics.median(load_times) * 1e3, 3),
        round(busy_s / interval_s, 6),
    )


def bytes_sent(totals: list[bytes]) -> int:
    """Returns the bytes of one total sent to its two receivers."""
    return 2 * (max(map(len, totals)) + DATAGRAM_HEADER_BYTES)


def count_us() -> float:
    """Returns the time to count one request, in microseconds."""
    meter = meter_lib.LoadMeter(0)
    shard_ids = [
        pages_lib.ServiceShard("service", n) for n in range(SHARDS_PER_NODE)
    ]
    keys = [f"customer-{n}" for n in range(KEYS)]

    def run() -> None:
        for n in range(REQUESTS):
            meter.record_arrival(
                shard_ids[n % SHARDS_PER_NODE], keys[n % KEYS], n // 10
            )
            meter.record_send(n // 10)
            meter.record_end(n // 10, True)

    return round(_time(run) / REQUESTS * 1e6, 2)


def _merge(reported: reports.ServiceLoad, totals: list[bytes]) -> None:
    for data in totals:
        reported.on_total(messages.decode_datagram(data), 0)


def _reply(node: int, shards: list[int]) -> reports.NodeFigures:
    figures = [load.ShardFigures(n, 3, 15.25, 23_177) for n in shards]
    return reports.NodeFigures(load.LoadReport(node, 5, 900.5, figures), [])


def _time(run, *arguments) -> float:
    started_s = time.perf_counter()
    run(*arguments)
    return time.perf_counter() - started_s


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
