"""Which target should own which stripes.

Every node works out the same plan from the table and the targets that it
knows, and gives away only stripes of its own target. So nobody leads: two
views of the fleet that differ cost a move, never a second owner, since each
change is a compare-and-swap of the table.

Loads answered: targets that join, leave, are lost, or differ in speed; busy
ranges of neighbouring keys, which narrow stripes spread over targets.
"""

import heapq

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model

FIRST_SHARE = 0.75
"""Part of the room for rows that the first deal uses with one target lost;
the rest lets quick targets own more than slow ones."""

TOLERANCE = 0.08
"""Shares that differ by less than this part of a fair share stay."""

GIVEN_AT_ONCE = 0.04
"""Part of its share that a target may give to one that lacks more: with many
targets each has a stripe too many, and would write the table for that one."""


def initial_table(
    weights: dict[model.Incarnation, float], version: int = 1
) -> table_module.KeyTable:
    """The table that deals all keys when nothing is owned yet."""
    owners = initial_owners(weights)
    run = table_module.stripes_per_run(len(owners))
    return table_module.build_table(owners, run, version)


def initial_owners(
    weights: dict[model.Incarnation, float],
) -> list[model.Incarnation]:
    """Owner of each run of stripes when nothing is owned yet.

    Each owner's runs lie at even distances, so that neighbours differ in
    owner.
    """
    shares = _shares(first_count(len(weights)), weights)
    order = sorted(weights, key=_order)
    places = [
        ((number + 0.5) / shares[life], place)
        for place, life in enumerate(order)
        for number in range(shares[life])
    ]
    return [order[place] for _, place in sorted(places)]


def first_count(targets: int) -> int:
    """How many runs are dealt to so many targets at first.

    The narrower the better for busy ranges, but when a target is lost the
    others must have room for its rows.
    """
    rows = FIRST_SHARE * table_module.ROWS_MAX * max(1, targets - 1)
    return min(table_module.RUNS_MAX, int(rows))


def rebalancing_moves(
    table: table_module.KeyTable, weights: dict[model.Incarnation, float]
) -> dict[int, model.Incarnation]:
    """New owners of the stripes that should move; few and spread out.

    Stripes of lives without a weight go first. Beyond them a stripe moves
    only from a life above its share by more than the tolerance, or towards
    one that is below its share by more.
    """
    weights = {life: weight for life, weight in weights.items() if weight > 0}
    if not weights:
        return {}
    shares = _shares(len(table.stripes) // table.stripes_per_run, weights)
    owned: dict[model.Incarnation, list[range]] = {life: [] for life in weights}
    loose: list[range] = []
    for piece in table.movable_ranges():
        life = table.owners[table.stripes[piece.start].owner]
        owned.get(life, loose).append(piece)
    counts = {life: _runs(table, pieces) for life, pieces in owned.items()}
    lacking = sum(
        shares[life] - counts[life]
        for life in weights
        if counts[life] < shares[life] * (1.0 - TOLERANCE) - 1
    )
    lacking -= _runs(table, loose)
    for life in _fullest_first(counts, shares):
        surplus = counts[life] - shares[life]
        given = 0.0
        if surplus > shares[life] * TOLERANCE + 1:
            given = surplus
        elif lacking > 0:
            spare = int(shares[life] * GIVEN_AT_ONCE)
            given = min(lacking, max(surplus, spare, 0), counts[life])
        if given >= 1:
            pieces = _spread(owned[life], int(given))
            loose.extend(pieces)
            given = _runs(table, pieces)
            lacking -= given
            # What it gives beyond its surplus is not for it to take back.
            counts[life] = max(counts[life] - given, shares[life])
    loose.sort(key=lambda piece: piece.start)
    sizes = [len(piece) / table.stripes_per_run for piece in loose]
    owners = _place(sizes, counts, shares)
    return {
        index: life
        for piece, life in zip(loose, owners, strict=True)
        for index in piece
    }


def _runs(table: table_module.KeyTable, pieces: list[range]) -> float:
    """Width of pieces in runs."""
    return sum(len(piece) for piece in pieces) / table.stripes_per_run


def _fullest_first(counts: dict, shares: dict) -> list[model.Incarnation]:
    """Lives by the part of their share that they own, the largest first.

    Those that have less than their share give nothing.
    """
    return sorted(
        (life for life in counts if counts[life] >= shares[life]),
        key=lambda life: (-counts[life] / max(1, shares[life]), _order(life)),
    )


def _shares(count: int, weights: dict[model.Incarnation, float]) -> dict:
    """Whole numbers in proportion to the weights, by largest remainder."""
    exact = _capped(count, weights)
    shares = {life: int(share) for life, share in exact.items()}
    left = count - sum(shares.values())
    by_remainder = sorted(
        weights, key=lambda life: (shares[life] - exact[life], _order(life))
    )
    for life in by_remainder[:left]:
        shares[life] += 1
    return shares


def _capped(count: int, weights: dict[model.Incarnation, float]) -> dict:
    """Exact shares, none above what a reply has room for if that is possible.

    What does not fit goes to the others in proportion to their weights.
    """
    capped: dict[model.Incarnation, float] = {}
    while True:
        open_weights = {
            life: weight
            for life, weight in weights.items()
            if life not in capped
        }
        left = count - sum(capped.values())
        total = sum(open_weights.values())
        if not open_weights:
            # All together have no room; neighbouring stripes share rows.
            total = sum(weights.values())
            return {
                life: count * weight / total for life, weight in weights.items()
            }
        exact = {
            life: left * weight / total for life, weight in open_weights.items()
        }
        over = [
            life
            for life, share in exact.items()
            if share > table_module.ROWS_MAX
        ]
        if not over:
            return exact | capped
        capped |= dict.fromkeys(over, float(table_module.ROWS_MAX))


def _spread(pieces: list[range], surplus: int) -> list[range]:
    """So many pieces at even distances."""
    surplus = min(surplus, len(pieces))
    step = len(pieces) / surplus
    return [pieces[int(place * step)] for place in range(surplus)]


def _place(
    sizes: list[float], counts: dict[model.Incarnation, float], shares: dict
) -> list[model.Incarnation]:
    """Gives each loose piece to the life that lacks the largest part.

    Args:
      sizes: width of each piece in runs.
      counts: runs that each life has.
      shares: runs that each life should have.
    """
    placed = []
    counts = dict(counts)
    order = sorted(counts, key=_order)
    if max(shares.values()) > table_module.ROWS_MAX:
        return _place_in_runs(sizes, counts, shares, order)
    heap = [
        ((counts[life] + 1) / max(1, shares[life]), place)
        for place, life in enumerate(order)
    ]
    heapq.heapify(heap)
    for size in sizes:
        place = heap[0][1]
        life = order[place]
        counts[life] += size
        placed.append(life)
        part = (counts[life] + 1) / max(1, shares[life])
        heapq.heapreplace(heap, (part, place))
    return placed


def _place_in_runs(
    sizes: list[float],
    counts: dict,
    shares: dict,
    order: list[model.Incarnation],
) -> list[model.Incarnation]:
    """Gives each life neighbouring pieces, which fit in few rows."""
    placed = []
    rest = iter(order)
    life = next(rest)
    lacking = shares[life] - counts[life]
    for size in sizes:
        while lacking < 0.5 * size and life != order[-1]:
            life = next(rest)
            lacking = shares[life] - counts[life]
        placed.append(life)
        lacking -= size
    return placed


def _order(life: model.Incarnation) -> tuple:
    return (life.node, life.target, life.started_ms)
