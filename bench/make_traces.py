"""Generates the committed traces.

Usage: python -m bench.make_traces [FOLDER]

Every trace has a fixed seed, so a second run writes the same bytes. The
required outcomes of a trace are stated here, before it is replayed.
"""

from collections.abc import Callable
import pathlib
import random
import sys

import msgspec

from auburnrock import records
from auburnrock.replay import trace as traces

FOLDER = pathlib.Path(__file__).parents[1] / "traces"
TICK_S = 10
LOAD_EVERY_S = 30
DURATION_S = 1_200
HASHED_SHARDS = 64
HOT_SHARDS = 4
KEYS = 1_000_000
NOISE = 0.05
"""Standard deviation of a shard's rate, as a share of its trend."""
SPREAD = 0.5
"""Standard deviation of the logarithm of the shards' trends."""

TIHA_VODA = "Tiha Voda"
KORSORDSHJALPEN = "Korsordshjälpen"

TIHA_VODA_WEIGHTS = records.PlacementWeights(
    imbalance=1.0, churn=1.0, unavailable_time=4.0
)
KORSORDSHJALPEN_WEIGHTS = records.PlacementWeights(
    imbalance=1.0, churn=4.0, unavailable_time=1.0
)

RESOLUTION = traces.Measures(
    imbalance=0.01, churn=0.0001, unavailable_time=0.01
)

TIHA_VODA_SERVERS = [
    ("piran-1", "piran", 400.0),
    ("piran-2", "piran", 250.0),
    ("izola-1", "izola", 450.0),
    ("koper-1", "koper", 600.0),
]
KORSORDSHJALPEN_SERVERS = [
    ("mid-a-1", "se-mid-a", 500.0),
    ("mid-a-2", "se-mid-a", 300.0),
    ("mid-b-1", "se-mid-b", 500.0),
    ("mid-c-1", "se-mid-c", 700.0),
    ("mid-d-1", "se-mid-d", 500.0),
]


class Trend(msgspec.Struct, kw_only=True):
    """Load as a function of time in seconds.

    Attributes:
      used: load over the capacity of the initial servers.
      hot: share of the load on each hot shard.
    """

    used: Callable[[int], float]
    hot: Callable[[int], list[float]]


def constant(value):
    """Returns a trend that does not change."""
    return lambda at_s: value


def ramp(start_s: int, end_s: int, low: float, high: float):
    """Returns a trend that rises from `low` to `high` between two times."""

    def value(at_s: int) -> float:
        part = min(1.0, max(0.0, (at_s - start_s) / (end_s - start_s)))
        return low + part * (high - low)

    return value


def recorded(
    seed: int, servers: list, trend: Trend, noisy: bool = True
) -> list[traces.Load]:
    """Returns the load events of a whole trace.

    Args:
      seed: seed of the random shard weights and of the noise.
      servers: name, zone and capacity of each initial server.
      trend: load over time.
      noisy: whether rates vary around the trend; if not, there is one event.
    """
    generator = random.Random(seed)
    weights = [
        generator.lognormvariate(0, SPREAD) for _ in range(HASHED_SHARDS)
    ]
    capacity = sum(server[2] for server in servers)
    loads = []
    for at_s in range(0, DURATION_S if noisy else 1, LOAD_EVERY_S):
        total = capacity * trend.used(at_s)
        hot = trend.hot(at_s)
        cold = total * (1 - sum(hot)) / sum(weights)
        rates = [weight * cold for weight in weights]
        rates += [total * share for share in hot]
        if noisy:
            rates = [
                max(0.0, rate * generator.gauss(1, NOISE)) for rate in rates
            ]
        loads.append(
            traces.Load(at_s=at_s, rates=[round(rate) for rate in rates])
        )
    return loads


def fleet(servers: list) -> list[traces.ServerUp]:
    """Returns the events that start the initial servers."""
    return [
        traces.ServerUp(
            at_s=0, incarnation=number, name=name, zone=zone, capacity=capacity
        )
        for number, (name, zone, capacity) in enumerate(servers, start=1)
    ]


def make(
    name: str,
    about: str,
    seed: int,
    owner: str,
    trend: Trend,
    outcomes: traces.Outcomes,
    servers: list | None = None,
    events: list | None = None,
    noisy: bool = True,
) -> traces.Trace:
    """Returns a trace of the load, the servers and further events."""
    tiha_voda = owner == TIHA_VODA
    if servers is None:
        servers = TIHA_VODA_SERVERS if tiha_voda else KORSORDSHJALPEN_SERVERS
    header = traces.Header(
        name=name,
        about=about,
        owner=owner,
        seed=seed,
        tick_s=TICK_S,
        duration_s=DURATION_S,
        shards=HASHED_SHARDS + HOT_SHARDS,
        hot_shards=HOT_SHARDS,
        keys=KEYS,
        slots=20,
        churn_per_minute=8,
        weights=TIHA_VODA_WEIGHTS if tiha_voda else KORSORDSHJALPEN_WEIGHTS,
        target=traces.Target(
            weighs_most="unavailable_time" if tiha_voda else "churn",
            better_factor=2.0,
            resolution=RESOLUTION,
        ),
        outcomes=outcomes,
    )
    everything = [
        *fleet(servers),
        *recorded(seed, servers, trend, noisy),
        *(events or []),
    ]
    everything.sort(key=lambda event: event.at_s)
    return traces.Trace(header, everything)


def sunday_grid_peak() -> traces.Trace:
    """Load doubles on a Sunday morning, and one grid grows to a sixth of it."""
    grid = ramp(180, 600, 0.01, 0.16)
    return make(
        "sunday_grid_peak",
        "load doubles within seven minutes; one grid grows to 16% of it",
        1,
        KORSORDSHJALPEN,
        Trend(
            used=ramp(180, 600, 0.35, 0.7),
            hot=lambda at_s: [grid(at_s), 0.01, 0.01, 0.01],
        ),
        traces.Outcomes(
            planned_moves=16, quiet_from_s=900, final_imbalance=0.4
        ),
    )


def sailing_date_moves() -> traces.Trace:
    """Every five minutes another sailing date has a fifth of the load."""

    def hot(at_s: int) -> list[float]:
        shares = [0.02] * HOT_SHARDS
        shares[at_s // 300 % HOT_SHARDS] = 0.2
        return shares

    return make(
        "sailing_date_moves",
        "every five minutes another sailing date takes a fifth of the load",
        2,
        TIHA_VODA,
        Trend(used=constant(0.6), hot=hot),
        traces.Outcomes(planned_moves=48, final_imbalance=0.3),
    )


def uneven_lots() -> traces.Trace:
    """Capacities range from a sixth of the largest server's up to it."""
    return make(
        "uneven_lots",
        "five servers bought in lots of very different speed",
        3,
        KORSORDSHJALPEN,
        Trend(used=constant(0.65), hot=constant([0.02] * HOT_SHARDS)),
        traces.Outcomes(planned_moves=8, quiet_from_s=900, final_imbalance=0.3),
        servers=[
            ("mid-a-1", "se-mid-a", 150.0),
            ("mid-a-2", "se-mid-a", 300.0),
            ("mid-b-1", "se-mid-b", 450.0),
            ("mid-c-1", "se-mid-c", 700.0),
            ("mid-d-1", "se-mid-d", 900.0),
        ],
    )


def server_joins() -> traces.Trace:
    """A sixth server joins servers with high utilisation."""
    return make(
        "server_joins",
        "a sixth server joins after five minutes",
        4,
        KORSORDSHJALPEN,
        Trend(used=constant(0.7), hot=constant([0.02] * HOT_SHARDS)),
        traces.Outcomes(
            planned_moves=16, quiet_from_s=900, final_imbalance=0.4
        ),
        events=[
            traces.ServerUp(
                at_s=300,
                incarnation=6,
                name="mid-b-2",
                zone="se-mid-b",
                capacity=500.0,
            )
        ],
    )


def server_leaves() -> traces.Trace:
    """A server drains and ends."""
    return make(
        "server_leaves",
        "a server drains after five minutes",
        5,
        TIHA_VODA,
        Trend(used=constant(0.5), hot=constant([0.03] * HOT_SHARDS)),
        traces.Outcomes(planned_moves=8, quiet_from_s=900, final_imbalance=0.3),
        events=[traces.ServerLeaves(at_s=300, incarnation=3)],
    )


def server_lost() -> traces.Trace:
    """A server is lost, and only its keys move."""
    return make(
        "server_lost",
        "a server is lost after five minutes; only its own keys move",
        6,
        TIHA_VODA,
        Trend(used=constant(0.5), hot=constant([0.03] * HOT_SHARDS)),
        traces.Outcomes(planned_moves=0, quiet_from_s=0, final_imbalance=0.3),
        events=[traces.ServerLost(at_s=300, incarnation=1)],
    )


def server_flaps() -> traces.Trace:
    """A server is lost and restarts, three times."""
    events = []
    for number in range(3):
        lost_s = 240 + number * 240
        events.append(
            traces.ServerLost(
                at_s=lost_s, incarnation=2 if number == 0 else 10 + number
            )
        )
        events.append(
            traces.ServerUp(
                at_s=lost_s + 120,
                incarnation=11 + number,
                name="mid-a-2",
                zone="se-mid-a",
                capacity=300.0,
            )
        )
    return make(
        "server_flaps",
        "a server is lost three times and back two minutes later each time",
        7,
        KORSORDSHJALPEN,
        Trend(used=constant(0.55), hot=constant([0.02] * HOT_SHARDS)),
        traces.Outcomes(
            planned_moves=24, quiet_from_s=1_140, final_imbalance=0.5
        ),
        events=events,
    )


def zone_lost() -> traces.Trace:
    """Both servers of a zone are lost at once."""
    return make(
        "zone_lost",
        "both servers of piran are lost at once after five minutes",
        8,
        TIHA_VODA,
        Trend(used=constant(0.45), hot=constant([0.03] * HOT_SHARDS)),
        traces.Outcomes(planned_moves=0, quiet_from_s=0, final_imbalance=0.3),
        events=[
            traces.ServerLost(at_s=300, incarnation=1),
            traces.ServerLost(at_s=300, incarnation=2),
        ],
    )


def figures_lag() -> traces.Trace:
    """All reports arrive a minute late while one grid becomes hot."""
    grid = ramp(300, 420, 0.01, 0.16)
    return make(
        "figures_lag",
        "reports come a minute late while one grid grows to 16% of the load",
        9,
        KORSORDSHJALPEN,
        Trend(
            used=constant(0.6),
            hot=lambda at_s: [0.01, grid(at_s), 0.01, 0.01],
        ),
        traces.Outcomes(
            planned_moves=16, quiet_from_s=900, final_imbalance=0.4
        ),
        events=[
            traces.Distortion(at_s=0, incarnation=number, lag_s=60)
            for number in range(1, 6)
        ],
    )


def figures_lie() -> traces.Trace:
    """One server reports too little load, another too much capacity."""
    return make(
        "figures_lie",
        "one server reports 0.6 of its load, another 1.5 of its capacity",
        10,
        TIHA_VODA,
        Trend(used=constant(0.5), hot=constant([0.03] * HOT_SHARDS)),
        traces.Outcomes(planned_moves=24, final_imbalance=1.0),
        events=[
            traces.Distortion(at_s=300, incarnation=1, rate_factor=0.6),
            traces.Distortion(at_s=300, incarnation=3, capacity_factor=1.5),
        ],
    )


def constant_load() -> traces.Trace:
    """Load and servers do not change."""
    return make(
        "constant_load",
        "the same load throughout",
        11,
        KORSORDSHJALPEN,
        Trend(used=constant(0.6), hot=constant([0.02] * HOT_SHARDS)),
        traces.Outcomes(planned_moves=0, quiet_from_s=0, final_imbalance=0.1),
        noisy=False,
    )


TRACES = (
    sunday_grid_peak,
    sailing_date_moves,
    uneven_lots,
    server_joins,
    server_leaves,
    server_lost,
    server_flaps,
    zone_lost,
    figures_lag,
    figures_lie,
    constant_load,
)


def main() -> None:
    folder = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else FOLDER
    folder.mkdir(exist_ok=True)
    for maker in TRACES:
        trace = maker()
        traces.write(folder / f"{trace.header.name}.jsonl", trace)


if __name__ == "__main__":
    main()
