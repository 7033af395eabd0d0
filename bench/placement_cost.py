"""Measures time and memory of one placement decision by number of servers.

Usage: python -m bench.placement_cost [--json] [--repeat N]
"""

import argparse
import random
import statistics
import time
import tracemalloc

import msgspec

from auburnrock import records
from auburnrock.engine.placement import base
from auburnrock.engine.placement import hot_keys
from auburnrock.engine.placement import load
from auburnrock.engine.placement import policies

SERVERS = (10, 100, 1_200)
SHARDS_PER_SERVER = 32
KEYS = 890_000_000
SERVERS_AT_FULL_SIZE = 1_200
RATE_PER_SERVER = 6_300.0
SEED = 890
COUNTED_KEYS = 200_000
DISTINCT_KEYS = KEYS // SERVERS_AT_FULL_SIZE
LOST_SHARE = 8
"""Number of servers of which one is lost in the measured loss of a zone."""


class Cost(msgspec.Struct, kw_only=True):
    """Cost of decisions at one number of servers.

    Attributes:
      servers: number of servers.
      shards: number of shards.
      budget: maximum number of moves of the measured rebalancing.
      moves: number of moves that the rebalancing made.
      rebalance_ms: median time of the rebalancing.
      quiet_ms: median time of a rebalancing that makes no move.
      place_one_ms: median time to place the shards of one lost server.
      place_zone_ms: median time to place the shards of an eighth of all
        servers.
      place_all_ms: median time to place all shards.
      merge_ms: median time to merge one report of each server and to list the
        loads.
      report_bytes: bytes of one report on the wire.
      decision_mb: peak memory in MB of the rebalancing.
      book_mb: peak memory in MB of decoding and merging the reports.
    """

    servers: int
    shards: int
    budget: int
    moves: int
    rebalance_ms: float
    quiet_ms: float
    place_one_ms: float
    place_zone_ms: float
    place_all_ms: float
    merge_ms: float
    report_bytes: int
    decision_mb: float
    book_mb: float


class SketchCost(msgspec.Struct, kw_only=True):
    """Cost of finding the hottest keys at one node.

    Attributes:
      counted: number of requests counted.
      count_us: time to count one request in microseconds.
      hottest_ms: median time to list the hottest keys.
      serialized_bytes: size of both sketches when serialized.
      found: number of the true hottest keys that were listed.
      largest_error: largest stated error of a listed rate, as a share of the
        rate of all requests.
    """

    counted: int
    count_us: float
    hottest_ms: float
    serialized_bytes: int
    found: int
    largest_error: float


def situation_of(servers: int) -> base.Situation:
    """Returns servers of different capacity whose shards have random owners."""
    generator = random.Random(SEED)
    shards = servers * SHARDS_PER_SERVER
    total = KEYS * servers // SERVERS_AT_FULL_SIZE
    weights = [generator.lognormvariate(0, 0.5) for _ in range(shards)]
    per_weight = servers * RATE_PER_SERVER / sum(weights)
    return base.Situation(
        servers=[
            base.ServerView(
                incarnation=number,
                name=f"host-{number}",
                zone=f"zone-{number % 8}",
                capacity=RATE_PER_SERVER * generator.uniform(1, 3),
            )
            for number in range(1, servers + 1)
        ],
        owners=[generator.randint(1, servers) for _ in range(shards)],
        loads=[
            base.ShardLoad(shard, weight * per_weight, total // shards)
            for shard, weight in enumerate(weights)
        ],
        budget=servers,
    )


def settled(situation: base.Situation) -> base.Situation:
    """Returns the situation after placement when rebalancing makes no move."""
    policy = policies.policy()
    owners = [records.NO_OWNER] * len(situation.owners)
    situation = msgspec.structs.replace(situation, owners=owners)
    moves = policy.place(situation, base.orphans(situation))
    while moves:
        owners = list(situation.owners)
        for move in moves:
            owners[move.shard] = move.destination
        situation = msgspec.structs.replace(situation, owners=owners)
        moves = policy.rebalance(situation)
    return situation


def without(situation: base.Situation, count: int) -> base.Situation:
    """Returns the situation after the loss of the first `count` servers."""
    return msgspec.structs.replace(situation, servers=situation.servers[count:])


def median_ms(repeat: int, call) -> float:
    """Returns the median time of `repeat` calls in ms."""
    times = []
    for _ in range(repeat):
        started = time.perf_counter()
        call()
        times.append((time.perf_counter() - started) * 1000)
    return statistics.median(times)


def peak_mb(call) -> float:
    """Returns the peak memory that a call allocates, in MB."""
    tracemalloc.start()
    call()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / 1e6


def reports_of(situation: base.Situation) -> list[load.LoadReport]:
    """Returns one load report of each server."""
    shards: dict[int, list[load.ShardFigures]] = {}
    for figures in situation.loads:
        owner = situation.owners[figures.shard]
        shards.setdefault(owner, []).append(
            load.ShardFigures(figures.shard, 1, figures.rate, figures.keys)
        )
    return [
        load.LoadReport(
            server.incarnation,
            1,
            server.capacity,
            shards.get(server.incarnation, []),
        )
        for server in situation.servers
    ]


def merged(reports: list[load.LoadReport]) -> load.ReportRegister:
    """Merges the reports and lists the loads once."""
    register = load.ReportRegister()
    for report in reports:
        register.merge(report)
    register.loads()
    return register


def cost_of(servers: int, repeat: int) -> Cost:
    """Measures decisions at one number of servers."""
    policy = policies.policy()
    uneven = situation_of(servers)
    balanced = settled(uneven)
    one = without(balanced, 1)
    zone = without(balanced, max(1, servers // LOST_SHARE))
    shards = len(uneven.owners)
    empty = msgspec.structs.replace(uneven, owners=[records.NO_OWNER] * shards)
    reports = reports_of(balanced)
    encoded = [msgspec.msgpack.encode(report) for report in reports]
    decoder = msgspec.msgpack.Decoder(load.LoadReport)
    return Cost(
        servers=servers,
        shards=shards,
        budget=uneven.budget,
        moves=len(policy.rebalance(uneven)),
        rebalance_ms=median_ms(repeat, lambda: policy.rebalance(uneven)),
        quiet_ms=median_ms(repeat, lambda: policy.rebalance(balanced)),
        place_one_ms=median_ms(
            repeat, lambda: policy.place(one, base.orphans(one))
        ),
        place_zone_ms=median_ms(
            repeat, lambda: policy.place(zone, base.orphans(zone))
        ),
        place_all_ms=median_ms(
            repeat, lambda: policy.place(empty, base.orphans(empty))
        ),
        merge_ms=median_ms(repeat, lambda: merged(reports)),
        report_bytes=sum(map(len, encoded)) // servers,
        decision_mb=peak_mb(lambda: policy.rebalance(uneven)),
        book_mb=peak_mb(
            lambda: merged([decoder.decode(data) for data in encoded])
        ),
    )


def sketch_cost() -> SketchCost:
    """Measures one node of the largest fleet, with keys by Zipf's law."""
    generator = random.Random(SEED)
    weights = [1 / (rank + 1) for rank in range(DISTINCT_KEYS)]
    ranks = generator.choices(range(DISTINCT_KEYS), weights, k=COUNTED_KEYS)
    keys = [f"solver-{rank:07d}" for rank in ranks]
    counter = hot_keys.HotKeyCounter(now_ms=0)
    started = time.perf_counter()
    for key in keys:
        counter.count(0, key)
    count_us = (time.perf_counter() - started) * 1e6 / len(keys)
    counter.roll(hot_keys.WINDOW_MS)
    for key in keys:
        counter.count(hot_keys.WINDOW_MS, key)
    now_ms = 2 * hot_keys.WINDOW_MS - 1
    hottest = counter.hottest(now_ms)
    true = {f"solver-{rank:07d}" for rank in range(hot_keys.MAX_HOT_KEYS)}
    rate = len(keys) * 1000 / hot_keys.WINDOW_MS
    return SketchCost(
        counted=len(keys),
        count_us=count_us,
        hottest_ms=median_ms(5, lambda: counter.hottest(now_ms)),
        serialized_bytes=counter.current.get_serialized_size_bytes()
        + counter.previous.get_serialized_size_bytes(),
        found=len(true & {hot.key for hot in hottest}),
        largest_error=max(hot.error for hot in hottest) / rate,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--repeat", type=int, default=5)
    options = parser.parse_args()
    costs = [cost_of(servers, options.repeat) for servers in SERVERS]
    sketch = sketch_cost()
    if options.json:
        print(msgspec.json.encode([*costs, sketch]).decode())
        return
    for result in [*costs, sketch]:
        for name, value in msgspec.structs.asdict(result).items():
            shown = f"{value:.4g}" if isinstance(value, float) else value
            print(f"{name:18}{shown}")
        print()


if __name__ == "__main__":
    main()
