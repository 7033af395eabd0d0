"""Who owns the keys of a service: the table that the store keeps.

The key space is cut into stripes of equal width, and stripes are dealt in runs
of neighbours. A run is as narrow as the rows of a heartbeat's reply allow, so
that the neighbours of a busy key lie on several targets from the start. A
stripe is narrower still, so that a range which becomes busy can be taken
apart. Each change of the table raises its version, and the version is the
fencing token of all that the change gives away. So a token is above every
earlier one, whoever makes the change.

A store that is restored from an older copy may have lost versions of a table.
So a table says the era of the store in which it was last changed; in another
era it is settled first, with a version, and so tokens, above all that may be
lost.
"""

import collections

import msgspec

from auburnrock.engine.mesh import model

ROWS_MAX = 340
"""Rows that a heartbeat's reply of 4 KiB has room for, at 11 bytes each,
beside a few with a handover."""

RUNS_MAX = 16_384
"""Bounds the table to about 100 KiB before compression. The hottest ranges have
40 to 200 neighbouring keys; runs of 4 keys spread 200 over 50 targets."""

STRIPES_MAX = 28_672
"""Bounds the time that a change of the table takes at each node."""

STRIPES_LEAST = 8_192
"""Stripes of few targets, whose runs are wide: 8 keys each."""

STRIPES_PER_RUN = 3
"""Stripes of a run where the bounds allow it."""

ERA_STEP = 1 << 14
"""How much the version rises with each era: one table does not change as often
within the age of a copy. Tokens take 3 bytes up to 2^16."""


class Stripe(msgspec.Struct, frozen=True, array_like=True):
    """Owner of a stripe.

    Attributes:
      owner: index into the table's lives.
      fence: fencing token of the grant.
      handover: what the last owner's target gave; empty if unknown.
    """

    owner: int
    fence: int
    handover: str = ""


class KeyTable(msgspec.Struct, frozen=True, array_like=True):
    """Ownership of all keys of a service.

    Attributes:
      version: grows with each change.
      owners: starts of targets that own stripes.
      stripes: in the order of their keys.
      stripes_per_run: stripes of a run; moves for the shares' sake keep it
        together.
      era: the store's era in which it was last changed.
      fence_floor: above every token that was given out in earlier eras. The
        lost versions may have given a stripe to others since its own token.
    """

    version: int
    owners: tuple[model.Incarnation, ...]
    stripes: tuple[Stripe, ...]
    stripes_per_run: int = 1
    era: int = 0
    fence_floor: int = 0

    def version_key(self) -> tuple[int, int]:
        """Orders versions of one table."""
        return self.era, self.version

    def is_initial_assignment(self) -> bool:
        """Whether it deals all keys anew, and is no change of another."""
        return all(stripe.fence == self.version for stripe in self.stripes)

    def span(self, index: int) -> tuple[int, int]:
        """First and last key of a stripe."""
        count = len(self.stripes)
        first = -(-index * model.KEYS // count)
        after = -(-(index + 1) * model.KEYS // count)
        return first, after - 1

    def stripe_of(self, key: int) -> int:
        """Index of the stripe that holds a key."""
        return key * len(self.stripes) // model.KEYS

    def owner_of(self, key: int) -> model.Incarnation:
        """The life that owns a key."""
        return self.owners[self.stripes[self.stripe_of(key)].owner]

    def owned_by(self, life: model.Incarnation) -> list[int]:
        """Stripes of a life, in the order of their keys."""
        if life not in self.owners:
            return []
        owner = self.owners.index(life)
        return [
            index
            for index, stripe in enumerate(self.stripes)
            if stripe.owner == owner
        ]

    def movable_ranges(self) -> list[range]:
        """Neighbouring stripes of one run, owner and token, in their order."""
        found = []
        first = 0
        for index, stripe in enumerate(self.stripes):
            if index == first:
                continue
            before = self.stripes[index - 1]
            if (
                index % self.stripes_per_run == 0
                or stripe.owner != before.owner
                or stripe.fence != before.fence
            ):
                found.append(range(first, index))
                first = index
        found.append(range(first, len(self.stripes)))
        return found

    def members(self) -> set[str]:
        """Nodes whose targets own stripes."""
        return {life.node for life in self.owners}


class TableChange(msgspec.Struct, frozen=True, array_like=True):
    """What turns one version of a table into a later one.

    Attributes:
      version: of the later one.
      owners: of the later one; empty if they are the same.
      stripes: first index and count of neighbours that differ and become
        alike, and what they become.
      era: of the later one.
      fence_floor: of the later one.
    """

    version: int
    owners: tuple[model.Incarnation, ...]
    stripes: tuple[tuple[int, int, Stripe], ...]
    era: int = 0
    fence_floor: int = 0


def difference(before: KeyTable, after: KeyTable) -> TableChange | None:
    """The change between two versions; None if one doesn't tell of it.

    Few stripes change at a time, so it is much shorter than the table.
    """
    if len(before.stripes) != len(after.stripes):
        return None
    known = _renumbered(before, after.owners)
    stripes: list[tuple[int, int, Stripe]] = []
    for index, (stripe, earlier) in enumerate(
        zip(after.stripes, known, strict=True)
    ):
        if stripe == earlier:
            continue
        if stripes:
            first, count, same = stripes[-1]
            if first + count == index and same == stripe:
                stripes[-1] = (first, count + 1, same)
                continue
        stripes.append((index, 1, stripe))
    lives = () if after.owners == before.owners else after.owners
    return TableChange(
        after.version, lives, tuple(stripes), after.era, after.fence_floor
    )


def apply_change(before: KeyTable, change: TableChange) -> KeyTable:
    """The later version that a change of the earlier one tells of."""
    lives = change.owners or before.owners
    stripes = _renumbered(before, lives)
    for first, count, stripe in change.stripes:
        stripes[first : first + count] = [stripe] * count
    return KeyTable(
        change.version,
        lives,
        tuple(stripes),
        before.stripes_per_run,
        change.era,
        change.fence_floor,
    )


def initial_version(is_first_start: bool, era: int) -> int:
    """Version of a table that is dealt when the store has none.

    Where it may have lost one, it is above every version of the eras before.
    """
    return 1 if is_first_start else (era + 1) * ERA_STEP + 1


def advanced_to_era(table: KeyTable, era: int) -> KeyTable:
    """The same ownership in a later era of the store.

    The versions of each era since that of the table may be lost.
    """
    version = table.version + (era - table.era) * ERA_STEP
    return msgspec.structs.replace(
        table, version=version, era=era, fence_floor=version
    )


def _renumbered(
    before: KeyTable, lives: tuple[model.Incarnation, ...]
) -> list[Stripe]:
    """Stripes of a table with their owners' places among other lives.

    An owner that is not among them gets the place -1.
    """
    if lives[: len(before.owners)] == before.owners:
        return list(before.stripes)
    known = {life: place for place, life in enumerate(lives)}
    places = [known.get(life, -1) for life in before.owners]
    return [
        Stripe(places[stripe.owner], stripe.fence, stripe.handover)
        for stripe in before.stripes
    ]


def stripes_per_run(runs: int) -> int:
    """How many stripes each of so many runs has."""
    return max(
        -(-STRIPES_LEAST // runs), min(STRIPES_PER_RUN, STRIPES_MAX // runs), 1
    )


def build_table(
    owners: list[model.Incarnation], run: int = 1, version: int = 1
) -> KeyTable:
    """The table that deals all keys when there is none.

    Args:
      owners: the owner of each run.
      run: stripes of a run.
      version: of the table, and the token of all its grants.
    """
    lives = tuple(dict.fromkeys(owners))
    stripes = {life: Stripe(place, version) for place, life in enumerate(lives)}
    dealt = tuple(stripes[owner] for owner in owners for _ in range(run))
    return KeyTable(version, lives, dealt, run)


def with_moves(
    table: KeyTable, moves: dict[int, tuple[model.Incarnation, str]]
) -> KeyTable:
    """The next version, in which some stripes have other owners.

    Args:
      table: the present version.
      moves: new owner and handover by stripe.
    """
    version = table.version + 1
    lives = list(
        dict.fromkeys([*table.owners, *(m[0] for m in moves.values())])
    )
    places = {life: place for place, life in enumerate(lives)}
    stripes = list(table.stripes)
    touched: set[int] = set()
    for index, (life, handover) in moves.items():
        touched |= {stripes[index].owner, places[life]}
        stripes[index] = Stripe(places[life], version, handover)
    rows = _rows(stripes)
    crowded = {place for place in touched if rows[place] > ROWS_MAX}
    if crowded:
        for index, stripe in enumerate(stripes):
            if stripe.owner in crowded and index not in moves:
                # With one token, its neighbouring stripes fit one row.
                stripes[index] = Stripe(stripe.owner, version)
    later = msgspec.structs.replace(
        table, version=version, owners=tuple(lives), stripes=tuple(stripes)
    )
    if len(rows) == len(lives):
        return later
    owners = tuple(life for place, life in enumerate(lives) if rows[place])
    return msgspec.structs.replace(
        later, owners=owners, stripes=tuple(_renumbered(later, owners))
    )


def _rows(stripes: list[Stripe]) -> collections.Counter:
    """How many rows each owner's stripes take, neighbours joined."""
    rows: collections.Counter[int] = collections.Counter()
    before = None
    for stripe in stripes:
        if stripe != before:
            rows[stripe.owner] += 1
            before = stripe
    return rows
