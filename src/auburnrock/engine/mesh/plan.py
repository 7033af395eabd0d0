"""Which target should own which stripes.

Every node works out the same plan from the table and the targets that it
knows, and gives away only stripes of its own target. So nobody leads: two
views of the fleet that differ cost a move, never a second owner, since each
change is a compare-and-swap of the table.

Loads answered: targets that join, leave, are lost, or differ in speed; busy
ranges of neighbouring keys, which narrow stripes spread over targets.
"""

import heapq

from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import table as table_module

FIRST_SHARE = 0.75
"""Part of the room for rows that the first deal uses with one target lost;
the rest lets quick targets own more than slow ones."""

TOLERANCE = 0.08
"""Shares that differ by less than this part of a fair share stay."""

GIVEN_AT_ONCE = 0.04
"""Part of its share that a target may give to one that lacks more: with many
targets each has a stripe too many, and would write the table for that one."""


def deal(weights: dict[model.Life, float]) -> list[model.Life]:
    """Owner of each stripe when nothing is owned yet.

    Each owner's stripes lie at even distances, so that neighbours differ in
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
    """How many stripes are dealt to so many targets at first.

    The narrower the better for busy ranges, but when a target is lost the
    others must have room for its rows.
    """
    rows = FIRST_SHARE * table_module.ROWS_MAX * max(1, targets - 1)
    return min(table_module.STRIPES_MAX, int(rows))


def moves(
    table: table_module.KeyTable, weights: dict[model.Life, float]
) -> dict[int, model.Life]:
    """New owners of the stripes that should move; few and spread out.

    Stripes of lives without a weight go first. Beyond them a stripe moves
    only from a life above its share by more than the tolerance, or towards
    one that is below its share by more.
    """
    weights = {life: weight for life, weight in weights.items() if weight > 0}
    if not weights:
        return {}
    shares = _shares(len(table.stripes), weights)
    owned: dict[model.Life, list[int]] = {life: [] for life in weights}
    loose: list[int] = []
    for index, stripe in enumerate(table.stripes):
        life = table.lives[stripe.owner]
        owned.get(life, loose).append(index)
    counts = {life: len(stripes) for life, stripes in owned.items()}
    lacking = sum(
        shares[life] - counts[life]
        for life in weights
        if counts[life] < shares[life] * (1.0 - TOLERANCE) - 1
    )
    lacking -= len(loose)
    for life in _fullest_first(counts, shares):
        surplus = counts[life] - shares[life]
        given = 0
        if surplus > shares[life] * TOLERANCE + 1:
            given = surplus
        elif lacking > 0:
            spare = int(shares[life] * GIVEN_AT_ONCE)
            given = min(lacking, max(surplus, spare, 0), counts[life])
        if given > 0:
            loose.extend(_spread(owned[life], given))
            lacking -= given
            # What it gives beyond its surplus is not for it to take back.
            counts[life] = max(counts[life] - given, shares[life])
    return _place(sorted(loose), counts, shares)


def _fullest_first(counts: dict, shares: dict) -> list[model.Life]:
    """Lives by the part of their share that they own, the largest first.

    Those that have less than their share give nothing.
    """
    return sorted(
        (life for life in counts if counts[life] >= shares[life]),
        key=lambda life: (-counts[life] / max(1, shares[life]), _order(life)),
    )


def _shares(count: int, weights: dict[model.Life, float]) -> dict:
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


def _capped(count: int, weights: dict[model.Life, float]) -> dict:
    """Exact shares, none above what a reply has room for if that is possible.

    What does not fit goes to the others in proportion to their weights.
    """
    capped: dict[model.Life, float] = {}
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


def _spread(stripes: list[int], surplus: int) -> list[int]:
    """So many stripes at even distances."""
    step = len(stripes) / surplus
    return [stripes[int(place * step)] for place in range(surplus)]


def _place(
    loose: list[int], counts: dict[model.Life, int], shares: dict
) -> dict[int, model.Life]:
    """Gives each loose stripe to the life that lacks the largest part."""
    placed = {}
    counts = dict(counts)
    order = sorted(counts, key=_order)
    if max(shares.values()) > table_module.ROWS_MAX:
        return _place_in_runs(loose, counts, shares, order)
    heap = [
        ((counts[life] + 1) / max(1, shares[life]), place)
        for place, life in enumerate(order)
    ]
    heapq.heapify(heap)
    for index in loose:
        place = heap[0][1]
        life = order[place]
        counts[life] += 1
        placed[index] = life
        part = (counts[life] + 1) / max(1, shares[life])
        heapq.heapreplace(heap, (part, place))
    return placed


def _place_in_runs(
    loose: list[int], counts: dict, shares: dict, order: list[model.Life]
) -> dict[int, model.Life]:
    """Gives each life neighbouring stripes, which fit in few rows."""
    placed = {}
    left = list(loose)
    for life in order:
        lacking = max(0, shares[life] - counts[life])
        for index in left[:lacking]:
            placed[index] = life
        left = left[lacking:]
    for index in left:
        placed[index] = order[-1]
    return placed


def _order(life: model.Life) -> tuple:
    return (life.member, life.target, life.started_ms)
