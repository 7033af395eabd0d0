"""Initial assignment and rebalancing of stripes among the targets of a service.

Every node computes the same moves from the key table and the targets that it
knows, and gives away only stripes of its own target. So no leader is needed:
nodes with different views of the fleet may cause a needless move, but never a
second owner, since each change is a compare-and-swap of the table.

Stripes move when targets join, leave, are lost, or change in speed. Stripes are
narrow, so that busy ranges of neighbouring keys are spread over several
targets.
"""

import heapq

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model

INITIAL_ROWS_SHARE = 0.75
"""Share of their rows (`key_table.ROWS_MAX` each) that targets use after the
initial assignment and the loss of one target. The rest allows fast targets to
own more than slow ones."""

TOLERANCE = 0.08
"""Relative difference between what a target owns and its share up to which it
doesn't cause moves."""

SPARE_SHARE = 0.04
"""Share of its own runs that a target may give to one that is below its share,
even without a surplus, so that few targets give many runs each. With many
targets, each would have a single run too many and would write the table for
it."""


def initial_table(
    weights: dict[model.Incarnation, float], version: int = 1
) -> table_module.KeyTable:
    """Returns the table that assigns all keys while none is owned.

    Args:
      weights: capacity weight of each target.
      version: version of the table.
    """
    owners = initial_owners(weights)
    run = table_module.stripes_per_run(len(owners))
    return table_module.build_table(owners, run, version)


def initial_owners(
    weights: dict[model.Incarnation, float],
) -> list[model.Incarnation]:
    """Returns the owner of each run of stripes in the initial assignment.

    The runs of each owner are evenly spaced, so that neighbouring runs have
    different owners.
    """
    shares = _shares(first_count(len(weights)), weights)
    order = sorted(weights, key=_sort_key)
    positions = [
        ((number + 0.5) / shares[owner], index)
        for index, owner in enumerate(order)
        for number in range(shares[owner])
    ]
    return [order[index] for _, index in sorted(positions)]


def first_count(targets: int) -> int:
    """Returns how many runs the initial assignment to `targets` targets has.

    Narrow runs are better for busy ranges, but when a target is lost, the
    others need enough free rows for its runs.
    """
    rows = INITIAL_ROWS_SHARE * table_module.ROWS_MAX * max(1, targets - 1)
    return min(table_module.RUNS_MAX, int(rows))


def rebalancing_moves(
    table: table_module.KeyTable, weights: dict[model.Incarnation, float]
) -> dict[int, model.Incarnation]:
    """Returns new owners of the stripes that should move.

    The stripes are as few as possible, and spread over the key space. All
    stripes of owners without a positive weight move. Besides them, stripes move
    only from an owner that is above its share by more than the tolerance, or to
    one that is below its share by more than the tolerance.

    Args:
      table: the present table.
      weights: capacity weight of each target that may own stripes.

    Returns:
      The new owner of each stripe that should move, by the stripe's index.
    """
    weights = {owner: weight for owner, weight in weights.items() if weight > 0}
    if not weights:
        return {}
    shares = _shares(len(table.stripes) // table.stripes_per_run, weights)
    owned: dict[model.Incarnation, list[range]] = {
        owner: [] for owner in weights
    }
    unassigned: list[range] = []
    for stripe_range in table.movable_ranges():
        owner = table.owners[table.stripes[stripe_range.start].owner]
        owned.get(owner, unassigned).append(stripe_range)
    counts = {
        owner: _width_in_runs(table, ranges) for owner, ranges in owned.items()
    }
    deficit = sum(
        shares[owner] - counts[owner]
        for owner in weights
        if counts[owner] < shares[owner] * (1.0 - TOLERANCE) - 1
    )
    deficit -= _width_in_runs(table, unassigned)
    for owner in _fullest_first(counts, shares):
        surplus = counts[owner] - shares[owner]
        to_give = 0.0
        if surplus > shares[owner] * TOLERANCE + 1:
            to_give = surplus
        elif deficit > 0:
            spare = int(shares[owner] * SPARE_SHARE)
            to_give = min(deficit, max(surplus, spare, 0), counts[owner])
        if to_give >= 1:
            ranges = _evenly_spaced(owned[owner], int(to_give))
            unassigned.extend(ranges)
            to_give = _width_in_runs(table, ranges)
            deficit -= to_give
            # Runs given beyond its surplus must not be assigned to it again.
            counts[owner] = max(counts[owner] - to_give, shares[owner])
    unassigned.sort(key=lambda stripe_range: stripe_range.start)
    sizes = [
        len(stripe_range) / table.stripes_per_run for stripe_range in unassigned
    ]
    owners = _place(sizes, counts, shares)
    return {
        index: owner
        for stripe_range, owner in zip(unassigned, owners, strict=True)
        for index in stripe_range
    }


def _width_in_runs(table: table_module.KeyTable, ranges: list[range]) -> float:
    """Total width of ranges of stripes, in runs."""
    return (
        sum(len(stripe_range) for stripe_range in ranges)
        / table.stripes_per_run
    )


def _fullest_first(counts: dict, shares: dict) -> list[model.Incarnation]:
    """Returns targets by how much of their share they own, the fullest first.

    Targets that own less than their share give nothing and are left out.
    """
    return sorted(
        (owner for owner in counts if counts[owner] >= shares[owner]),
        key=lambda owner: (
            -counts[owner] / max(1, shares[owner]),
            _sort_key(owner),
        ),
    )


def _shares(count: int, weights: dict[model.Incarnation, float]) -> dict:
    """Divides `count` runs in proportion to the weights, by largest remainder.

    No target gets more runs than a reply has rows for, where that is possible.
    """
    exact = _capped_shares(count, weights)
    shares = {owner: int(share) for owner, share in exact.items()}
    left = count - sum(shares.values())
    by_remainder = sorted(
        weights,
        key=lambda owner: (shares[owner] - exact[owner], _sort_key(owner)),
    )
    for owner in by_remainder[:left]:
        shares[owner] += 1
    return shares


def _capped_shares(count: int, weights: dict[model.Incarnation, float]) -> dict:
    """Returns fractional shares of `count` runs, capped at `ROWS_MAX` each.

    The excess is divided among the other targets in proportion to their
    weights. If all targets together have too few rows, shares aren't capped.
    """
    capped: dict[model.Incarnation, float] = {}
    while True:
        open_weights = {
            owner: weight
            for owner, weight in weights.items()
            if owner not in capped
        }
        left = count - sum(capped.values())
        total = sum(open_weights.values())
        if not open_weights:
            # No share can be capped; neighbouring stripes share rows instead.
            total = sum(weights.values())
            return {
                owner: count * weight / total
                for owner, weight in weights.items()
            }
        exact = {
            owner: left * weight / total
            for owner, weight in open_weights.items()
        }
        over = [
            owner
            for owner, share in exact.items()
            if share > table_module.ROWS_MAX
        ]
        if not over:
            return exact | capped
        capped |= dict.fromkeys(over, float(table_module.ROWS_MAX))


def _evenly_spaced(ranges: list[range], count: int) -> list[range]:
    """Returns `count` evenly spaced ranges, or all if there are fewer.

    Raises ZeroDivisionError if there are none, or `count` is zero.
    """
    count = min(count, len(ranges))
    step = len(ranges) / count
    return [ranges[int(number * step)] for number in range(count)]


def _place(
    sizes: list[float], counts: dict[model.Incarnation, float], shares: dict
) -> list[model.Incarnation]:
    """Assigns each range to the target that owns least of its share.

    Args:
      sizes: width of each range, in runs.
      counts: runs that each target owns.
      shares: runs that each target should own.

    Returns:
      The new owner of each range.
    """
    new_owners = []
    counts = dict(counts)
    order = sorted(counts, key=_sort_key)
    if max(shares.values()) > table_module.ROWS_MAX:
        return _place_in_runs(sizes, counts, shares, order)
    heap = [
        ((counts[owner] + 1) / max(1, shares[owner]), index)
        for index, owner in enumerate(order)
    ]
    heapq.heapify(heap)
    for size in sizes:
        index = heap[0][1]
        owner = order[index]
        counts[owner] += size
        new_owners.append(owner)
        owned_share = (counts[owner] + 1) / max(1, shares[owner])
        heapq.heapreplace(heap, (owned_share, index))
    return new_owners


def _place_in_runs(
    sizes: list[float],
    counts: dict,
    shares: dict,
    order: list[model.Incarnation],
) -> list[model.Incarnation]:
    """Assigns neighbouring ranges to each target, so that they fit few rows."""
    new_owners = []
    remaining = iter(order)
    owner = next(remaining)
    deficit = shares[owner] - counts[owner]
    for size in sizes:
        while deficit < 0.5 * size and owner != order[-1]:
            owner = next(remaining)
            deficit = shares[owner] - counts[owner]
        new_owners.append(owner)
        deficit -= size
    return new_owners


def _sort_key(owner: model.Incarnation) -> tuple:
    return (owner.node, owner.target, owner.started_ms)
