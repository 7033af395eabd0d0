"""Time and memory of one placement decision, by size of the fleet.

python -m bench.placement_cost [--json] [--repeat N]
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
"""One server in so many is lost in the measured loss of a zone."""


class Cost(msgspec.Struct, kw_only=True):
    """What decisions cost at one size; times in ms, memory in MB.

    Attributes:
      servers: size of the fleet.
      shards: number of shards.
      budget: most moves of the measured rebalancing.
      moves: moves that it made.
      rebalance_ms: median time of it.
      quiet_ms: median time of a rebalancing that finds nothing to do.
      place_one_ms: median time to place one lost server's shards.
      place_zone_ms: median time to place those of an eighth of all servers.
      place_all_ms: median time to place all shards.
      merge_ms: time to merge one report of each server and list the loads.
      report_bytes: bytes of one report on the wire.
      decision_mb: greatest memory taken during the rebalancing.
      book_mb: memory of the book of reports.
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
    """What finding the hottest keys costs one node.

    Attributes:
      counted: requests counted.
      count_us: time of one in microseconds.
      hottest_ms: time to list the hottest.
      serialized_bytes: bytes of both sketches, written out.
      found: of the true hottest, how many were listed.
      largest_error: largest stated error of a listed rate over all requests.
    """

    counted: int
    count_us: float
    hottest_ms: float
    serialized_bytes: int
    found: int
    largest_error: float


def situation_of(servers: int) -> base.Situation:
    """A fleet of uneven servers with random owners."""
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
    """The same fleet once rebalancing finds nothing to do."""
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
    """The fleet after the loss of its first `count` servers."""
    return msgspec.structs.replace(situation, servers=situation.servers[count:])


def median_ms(repeat: int, call) -> float:
    """Median time of a call."""
    times = []
    for _ in range(repeat):
        started = time.perf_counter()
        call()
        times.append((time.perf_counter() - started) * 1000)
    return statistics.median(times)


def peak_mb(call) -> float:
    """Greatest memory that a call has in use at a time."""
    tracemalloc.start()
    call()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / 1e6


def reports_of(situation: base.Situation) -> list[load.LoadReport]:
    """One report of each server."""
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


def book_of(reports: list[load.LoadReport]) -> load.ReportRegister:
    book = load.ReportRegister()
    for report in reports:
        book.merge(report)
    book.loads()
    return book


def cost_of(servers: int, repeat: int) -> Cost:
    """Measures one size."""
    policy = policies.policy()
    uneven = situation_of(servers)
    quiet = settled(uneven)
    one = without(quiet, 1)
    zone = without(quiet, max(1, servers // LOST_SHARE))
    shards = len(uneven.owners)
    empty = msgspec.structs.replace(uneven, owners=[records.NO_OWNER] * shards)
    reports = reports_of(quiet)
    encoded = [msgspec.msgpack.encode(report) for report in reports]
    decoder = msgspec.msgpack.Decoder(load.LoadReport)
    return Cost(
        servers=servers,
        shards=shards,
        budget=uneven.budget,
        moves=len(policy.rebalance(uneven)),
        rebalance_ms=median_ms(repeat, lambda: policy.rebalance(uneven)),
        quiet_ms=median_ms(repeat, lambda: policy.rebalance(quiet)),
        place_one_ms=median_ms(
            repeat, lambda: policy.place(one, base.orphans(one))
        ),
        place_zone_ms=median_ms(
            repeat, lambda: policy.place(zone, base.orphans(zone))
        ),
        place_all_ms=median_ms(
            repeat, lambda: policy.place(empty, base.orphans(empty))
        ),
        merge_ms=median_ms(repeat, lambda: book_of(reports)),
        report_bytes=sum(map(len, encoded)) // servers,
        decision_mb=peak_mb(lambda: policy.rebalance(uneven)),
        book_mb=peak_mb(
            lambda: book_of([decoder.decode(data) for data in encoded])
        ),
    )


def sketch_cost() -> SketchCost:
    """Measures one node at full size, with keys by Zipf's law."""
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
