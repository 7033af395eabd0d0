"""Cost of a restore of the store by size of the fleet, in virtual time.

python -m bench.restored_sizes [--sizes N ...] [--seed N]

A target leaves, and the store is restored from a copy without the moves of its
keys. Times count from the end of the restore; calls are those of all nodes
until every one of them knows the settled table.
"""

import argparse
import collections

import pytest

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.shells.mesh import store_cache
from tests.common import mesh_restore_node
from tests.common import mesh_restore_simulation

START_S = 15.0
MOVE_S = 2.5
AWAY_S = 0.3
LIMIT_S = 30.0
STEP_S = 0.02
STRIPES_EACH = 3
PAGE_ITEMS = 500
RANGE = "/auburnrock/kv-range"
CHANGE = "/auburnrock/kv-txn"


def table_of(
    world: mesh_restore_simulation.RestoreSimulation,
) -> table_module.KeyTable | None:
    """The table in the store."""
    data = world.store.value(f"auburnrock/k/{mesh_restore_node.SERVICE}")
    return data and store_cache.decode_table(data)


def until(world: mesh_restore_simulation.RestoreSimulation, condition) -> float:
    """Seconds until a condition holds; the limit if it does not."""
    began_s = world.loop.now_s
    while not condition() and world.loop.now_s - began_s < LIMIT_S:
        world.run(STEP_S)
    return world.loop.now_s - began_s


def measure(size: int, seed: int) -> dict[str, object]:
    """Plays one fleet."""
    names = [f"n{number:03d}" for number in range(size)]
    world = mesh_restore_simulation.RestoreSimulation(
        seed, names, stripes=STRIPES_EACH * size, is_calm=True
    )
    world.store.page_items = PAGE_ITEMS
    world.run(START_S)
    world.drain(world.targets[names[0]])
    world.run(MOVE_S)
    lost = table_of(world)
    world.store_network.restore(MOVE_S + 0.1, AWAY_S)
    world.run(AWAY_S - STEP_S)
    before = collections.Counter(world.store.calls)
    world.run(STEP_S)
    found = table_of(world)
    put_back_s = until(world, lambda: table_of(world).version >= lost.version)
    settled_s = put_back_s + until(world, lambda: table_of(world).era == 1)
    settled = table_of(world)
    processes = world.processes.values()
    known_s = settled_s + until(
        world,
        lambda: all(
            process.holder.table.version_key() >= settled.version_key()
            for process in processes
        ),
    )
    calls = collections.Counter(world.store.calls) - before
    return {
        "nodes": size,
        "versions lost": lost.version - found.version,
        "put back s": round(put_back_s, 2),
        "settled s": round(settled_s, 2),
        "known to all s": round(known_s, 2),
        "listings": calls[RANGE],
        "changes": calls[CHANGE],
        "calls": sum(calls.values()),
        "faults": len(world.violations),
    }


def main() -> None:
    """Prints a line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[11, 69, 194])
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    for size in options.sizes:
        with pytest.MonkeyPatch.context() as patch:
            mesh_restore_simulation.use_few_stripes(patch, STRIPES_EACH * size)
            print(measure(size, options.seed), flush=True)


if __name__ == "__main__":
    main()
