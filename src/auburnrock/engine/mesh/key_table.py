"""The key table: ownership of the keys of a service, as stored in the store.

The key space is divided into stripes of equal width, and stripes are assigned
in runs of neighbours. A run is as narrow as the number of rows in a heartbeat's
reply allows, so that the neighbours of a busy key are on several targets from
the start. A stripe is narrower still, so that a range which becomes busy can be
divided. Each change of the table increments its version, and the version is the
fencing token of all grants that the change makes. So a token is above every
earlier one, whichever node makes the change.

A store that is restored from an older copy may have lost versions of a table.
So a table contains the era of the store in which it was last changed. In a
later era, the table is first advanced to that era, with a version, and so
tokens, above all that may be lost.
"""

import collections

import msgspec

from auburnrock.engine.mesh import model

ROWS_MAX = 340
"""Maximum number of rows of one target in a heartbeat's reply, which has 4 KiB.
A row takes 11 bytes, and a few more rows have a handover."""

RUNS_MAX = 16_384
"""Maximum number of runs of a table, which limits it to about 100 KiB before
compression. The hottest ranges have 40 to 200 neighbouring keys; runs of 4 keys
spread 200 keys over 50 targets."""

STRIPES_MAX = 28_672
"""Maximum number of stripes of a table, which limits the time that a change of
the table takes at each node. Above `RUNS_MAX`."""

STRIPES_LEAST = 8_192
"""Minimum number of stripes of a table, of 8 keys each. It applies to services
of few targets, whose runs are wide."""

STRIPES_PER_RUN = 3
"""Number of stripes in a run where `STRIPES_LEAST` and `STRIPES_MAX` allow
it."""

ERA_STEP = 1 << 14
"""Increment of a table's version for each era of the store. Above the number of
changes that one table may have within the age of a store's copy. Tokens take 3
bytes up to 2^16."""


class Stripe(msgspec.Struct, frozen=True, array_like=True):
    """The owner of one stripe.

    Attributes:
      owner: index into the table's owners.
      fence: fencing token of the grant.
      handover: handover data from the last owner's target; empty if there is
        none.
    """

    owner: int
    fence: int
    handover: str = ""


class KeyTable(msgspec.Struct, frozen=True, array_like=True):
    """Ownership of all keys of a service.

    Attributes:
      version: number of this version; each change increases it.
      owners: incarnations of targets that own stripes.
      stripes: all stripes, in the order of their keys.
      stripes_per_run: number of stripes in a run. Rebalancing doesn't divide
        runs.
      era: era of the store in which the table was last changed.
      fence_floor: token above every one that was issued in earlier eras. In
        versions that are lost, a stripe may have had further owners since the
        token that it has here.
    """

    version: int
    owners: tuple[model.Incarnation, ...]
    stripes: tuple[Stripe, ...]
    stripes_per_run: int = 1
    era: int = 0
    fence_floor: int = 0

    def version_key(self) -> tuple[int, int]:
        """Returns the sort key that orders the versions of one table."""
        return self.era, self.version

    def is_initial_assignment(self) -> bool:
        """Whether this version assigned all keys, rather than changed some."""
        return all(stripe.fence == self.version for stripe in self.stripes)

    def span(self, index: int) -> tuple[int, int]:
        """Returns the first and the last key of a stripe."""
        count = len(self.stripes)
        first = -(-index * model.KEYS // count)
        after = -(-(index + 1) * model.KEYS // count)
        return first, after - 1

    def stripe_of(self, key: int) -> int:
        """Returns the index of the stripe that contains a key."""
        return key * len(self.stripes) // model.KEYS

    def owner_of(self, key: int) -> model.Incarnation:
        """Returns the target incarnation that owns a key."""
        return self.owners[self.stripes[self.stripe_of(key)].owner]

    def owned_by(self, incarnation: model.Incarnation) -> list[int]:
        """Returns indexes of a target incarnation's stripes, in key order."""
        if incarnation not in self.owners:
            return []
        owner = self.owners.index(incarnation)
        return [
            index
            for index, stripe in enumerate(self.stripes)
            if stripe.owner == owner
        ]

    def relative_share(self, node: str) -> float:
        """Returns the stripes of a node's targets over a node's average.

        All incarnations of the target beside the node count, also ended ones.
        """
        places = {
            place
            for place, owner in enumerate(self.owners)
            if owner.node == node
        }
        owned = sum(stripe.owner in places for stripe in self.stripes)
        return owned * len(self.members()) / len(self.stripes)

    def movable_ranges(self) -> list[range]:
        """Returns the ranges of stripes that move as a whole, in key order.

        The stripes of a range are neighbours of the same run, owner and token.
        """
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
        """Returns the names of the nodes whose targets own stripes."""
        return {owner.node for owner in self.owners}


class TableChange(msgspec.Struct, frozen=True, array_like=True):
    """The difference between two versions of a table.

    Attributes:
      version: version number of the later table.
      owners: owners of the later table; empty if they are those of the earlier
        one.
      stripes: changed stripes. Each entry has the first index and the number of
        neighbouring stripes that changed to the same value, and this value.
      era: era of the later table.
      fence_floor: fence floor of the later table.
    """

    version: int
    owners: tuple[model.Incarnation, ...]
    stripes: tuple[tuple[int, int, Stripe], ...]
    era: int = 0
    fence_floor: int = 0


def difference(before: KeyTable, after: KeyTable) -> TableChange | None:
    """Returns the change from one version of a table to a later one.

    Few stripes change at a time, so it is much shorter than the table. None if
    the tables have different numbers of stripes, which no change can express.
    """
    if len(before.stripes) != len(after.stripes):
        return None
    reindexed = _renumbered(before, after.owners)
    stripes: list[tuple[int, int, Stripe]] = []
    for index, (stripe, earlier) in enumerate(
        zip(after.stripes, reindexed, strict=True)
    ):
        if stripe == earlier:
            continue
        if stripes:
            first, count, same = stripes[-1]
            if first + count == index and same == stripe:
                stripes[-1] = (first, count + 1, same)
                continue
        stripes.append((index, 1, stripe))
    owners = () if after.owners == before.owners else after.owners
    return TableChange(
        after.version, owners, tuple(stripes), after.era, after.fence_floor
    )


def apply_change(before: KeyTable, change: TableChange) -> KeyTable:
    """Returns the later version that results from a change of the earlier."""
    owners = change.owners or before.owners
    stripes = _renumbered(before, owners)
    for first, count, stripe in change.stripes:
        stripes[first : first + count] = [stripe] * count
    return KeyTable(
        change.version,
        owners,
        tuple(stripes),
        before.stripes_per_run,
        change.era,
        change.fence_floor,
    )


def initial_version(is_first_start: bool, era: int) -> int:
    """Returns the version of a table that is made when the store has none.

    If the store may have lost a table, the version is above every version of
    the eras before.

    Args:
      is_first_start: whether the store can't have lost a table.
      era: the present era of the store.
    """
    return 1 if is_first_start else (era + 1) * ERA_STEP + 1


def advanced_to_era(table: KeyTable, era: int) -> KeyTable:
    """Returns a table of the same ownership in a later era of the store.

    Its version is above all versions that may be lost from the table's era and
    from the eras since.
    """
    version = table.version + (era - table.era) * ERA_STEP
    return msgspec.structs.replace(
        table, version=version, era=era, fence_floor=version
    )


def _renumbered(
    before: KeyTable, owners: tuple[model.Incarnation, ...]
) -> list[Stripe]:
    """Returns the stripes of a table with indexes into another list of owners.

    Stripes of an owner that isn't in the list get the index -1.
    """
    if owners[: len(before.owners)] == before.owners:
        return list(before.stripes)
    new_indexes = {owner: index for index, owner in enumerate(owners)}
    indexes = [new_indexes.get(owner, -1) for owner in before.owners]
    return [
        Stripe(indexes[stripe.owner], stripe.fence, stripe.handover)
        for stripe in before.stripes
    ]


def stripes_per_run(runs: int) -> int:
    """Returns the number of stripes in each run of a table of `runs` runs."""
    return max(
        -(-STRIPES_LEAST // runs), min(STRIPES_PER_RUN, STRIPES_MAX // runs), 1
    )


def build_table(
    owners: list[model.Incarnation], run: int = 1, version: int = 1
) -> KeyTable:
    """Returns the table that assigns all keys when the store has none.

    Args:
      owners: owner of each run.
      run: number of stripes in a run.
      version: version of the table, and fencing token of all its grants.
    """
    distinct = tuple(dict.fromkeys(owners))
    stripes = {
        owner: Stripe(index, version) for index, owner in enumerate(distinct)
    }
    assigned = tuple(stripes[owner] for owner in owners for _ in range(run))
    return KeyTable(version, distinct, assigned, run)


def with_moves(
    table: KeyTable, moves: dict[int, tuple[model.Incarnation, str]]
) -> KeyTable:
    """Returns the next version, in which some stripes have other owners.

    Args:
      table: the present version.
      moves: new owner and handover data of each stripe that moves, by the
        stripe's index.
    """
    version = table.version + 1
    all_owners = list(
        dict.fromkeys([*table.owners, *(m[0] for m in moves.values())])
    )
    indexes = {owner: index for index, owner in enumerate(all_owners)}
    stripes = list(table.stripes)
    affected: set[int] = set()
    for index, (owner, handover) in moves.items():
        affected |= {stripes[index].owner, indexes[owner]}
        stripes[index] = Stripe(indexes[owner], version, handover)
    rows = _rows_by_owner(stripes)
    over_limit = {owner for owner in affected if rows[owner] > ROWS_MAX}
    if over_limit:
        for index, stripe in enumerate(stripes):
            if stripe.owner in over_limit and index not in moves:
                # With the same token, neighbouring stripes share a row.
                stripes[index] = Stripe(stripe.owner, version)
    later = msgspec.structs.replace(
        table, version=version, owners=tuple(all_owners), stripes=tuple(stripes)
    )
    if len(rows) == len(all_owners):
        return later
    owners = tuple(
        owner for index, owner in enumerate(all_owners) if rows[index]
    )
    return msgspec.structs.replace(
        later, owners=owners, stripes=tuple(_renumbered(later, owners))
    )


def _rows_by_owner(stripes: list[Stripe]) -> collections.Counter:
    """Counts the rows of each owner; equal neighbouring stripes share one."""
    rows: collections.Counter[int] = collections.Counter()
    before = None
    for stripe in stripes:
        if stripe != before:
            rows[stripe.owner] += 1
            before = stripe
    return rows
