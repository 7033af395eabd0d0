"""Builds the inputs of placement policies for tests."""

from collections.abc import Iterable
from typing import Any

from hypothesis import strategies as st

from auburnrock import records
from auburnrock.engine.placement import base

ZONES = ("piran", "izola", "koper")


def server(
    number: int, capacity: float = 100.0, accepts: bool = True
) -> base.ServerView:
    """Returns a server whose incarnation is `number`, in one of three zones."""
    return base.ServerView(
        incarnation=number,
        name=f"host-{number}",
        zone=ZONES[number % len(ZONES)],
        capacity=capacity,
        accepts=accepts,
    )


def situation(
    servers: int, owners: list[int], rates: Iterable[float] = (), **others: Any
) -> base.Situation:
    """Returns a situation of equal servers with incarnations from 1.

    Args:
      servers: number of servers.
      owners: incarnation of the owner of each shard.
      rates: requests a second of each shard.
      **others: other attributes of the situation.
    """
    return base.Situation(
        servers=[server(number) for number in range(1, servers + 1)],
        owners=owners,
        loads=[
            base.ShardLoad(shard, rate, 100) for shard, rate in enumerate(rates)
        ],
        **others,
    )


def carried_out(
    before: base.Situation, moves: list[base.Move]
) -> base.Situation:
    """Returns the situation after the moves, with the full budget again."""
    owners = list(before.owners)
    for move in moves:
        owners[move.shard] = move.destination
    return base.Situation(
        servers=before.servers,
        owners=owners,
        loads=before.loads,
        weights=before.weights,
        budget=before.budget,
    )


@st.composite
def situations(draw: st.DrawFn) -> base.Situation:
    """Generates any servers and shards, also shards whose owner has ended."""
    count = draw(st.integers(1, 8))
    servers = [
        server(
            number,
            draw(st.floats(1.0, 1e4)),
            accepts=draw(st.integers(0, 4)) > 0,
        )
        for number in range(1, count + 1)
    ]
    # The number after the last server's is the incarnation of an ended owner.
    owners = draw(
        st.lists(st.integers(records.NO_OWNER, count + 1), max_size=24)
    )
    shards = st.integers(0, max(0, len(owners) - 1))
    return base.Situation(
        servers=servers,
        owners=owners,
        loads=draw(
            st.lists(
                st.builds(
                    base.ShardLoad,
                    shards,
                    st.floats(0, 1e5),
                    st.integers(1, 10**6),
                ),
                unique_by=lambda load: load.shard,
                max_size=24,
            )
        ),
        moving=draw(st.dictionaries(shards, st.integers(1, count), max_size=2)),
        weights=draw(
            st.builds(
                records.PlacementWeights,
                imbalance=st.floats(0, 10),
                churn=st.floats(0, 10),
                unavailable_time=st.floats(0, 10),
            )
        ),
        budget=draw(st.integers(0, 30)),
        resting=draw(st.frozensets(shards, max_size=4)),
    )
