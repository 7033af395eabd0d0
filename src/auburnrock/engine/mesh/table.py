"""Who owns the keys of a service: the table that the store keeps.

The key space is cut into stripes of equal width. Narrow stripes put the
neighbours of a busy key on several targets from the start, so that a busy
range needs no move. Each change of the table raises its version, and the
version is the fencing token of all that the change gives away. So a token is
above every earlier one, whoever makes the change.
"""

import collections

import msgspec

from auburnrock.engine.mesh import model

ROWS_MAX = 340
"""Rows that a heartbeat's reply of 4 KiB has room for, at 11 bytes each,
beside a few with a handover."""

STRIPES_MAX = 16_384
"""Bounds the table to about 100 KiB before compression. The hottest ranges have
40 to 200 neighbouring keys; stripes of 4 keys spread 200 over 50 targets."""


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
      lives: starts of targets that own stripes.
      stripes: in the order of their keys.
    """

    version: int
    lives: tuple[model.Life, ...]
    stripes: tuple[Stripe, ...]

    def span(self, index: int) -> tuple[int, int]:
        """First and last key of a stripe."""
        count = len(self.stripes)
        first = -(-index * model.KEYS // count)
        after = -(-(index + 1) * model.KEYS // count)
        return first, after - 1

    def stripe_of(self, key: int) -> int:
        """Index of the stripe that holds a key."""
        return key * len(self.stripes) // model.KEYS

    def owner_of(self, key: int) -> model.Life:
        """The life that owns a key."""
        return self.lives[self.stripes[self.stripe_of(key)].owner]

    def owned_by(self, life: model.Life) -> list[int]:
        """Stripes of a life, in the order of their keys."""
        if life not in self.lives:
            return []
        owner = self.lives.index(life)
        return [
            index
            for index, stripe in enumerate(self.stripes)
            if stripe.owner == owner
        ]

    def members(self) -> set[str]:
        """Nodes whose targets own stripes."""
        return {life.member for life in self.lives}


class TableChange(msgspec.Struct, frozen=True, array_like=True):
    """What turns one version of a table into a later one.

    Attributes:
      version: of the later one.
      lives: of the later one; empty if they are the same.
      stripes: index of each stripe that differs, and what it becomes.
    """

    version: int
    lives: tuple[model.Life, ...]
    stripes: tuple[tuple[int, Stripe], ...]


def difference(before: KeyTable, after: KeyTable) -> TableChange | None:
    """The change between two versions; None if one doesn't tell of it.

    Few stripes change at a time, so it is much shorter than the table.
    """
    if len(before.stripes) != len(after.stripes):
        return None
    known = _renumbered(before, after.lives)
    stripes = tuple(
        (index, stripe)
        for index, (stripe, earlier) in enumerate(
            zip(after.stripes, known, strict=True)
        )
        if stripe != earlier
    )
    lives = () if after.lives == before.lives else after.lives
    return TableChange(after.version, lives, stripes)


def applied(before: KeyTable, change: TableChange) -> KeyTable:
    """The later version that a change of the earlier one tells of."""
    lives = change.lives or before.lives
    stripes = _renumbered(before, lives)
    for index, stripe in change.stripes:
        stripes[index] = stripe
    return KeyTable(change.version, lives, tuple(stripes))


def _renumbered(
    before: KeyTable, lives: tuple[model.Life, ...]
) -> list[Stripe]:
    """Stripes of a table with their owners' places among other lives.

    An owner that is not among them gets the place -1.
    """
    if lives[: len(before.lives)] == before.lives:
        return list(before.stripes)
    known = {life: place for place, life in enumerate(lives)}
    places = [known.get(life, -1) for life in before.lives]
    return [
        Stripe(places[stripe.owner], stripe.fence, stripe.handover)
        for stripe in before.stripes
    ]


def first_table(owners: list[model.Life]) -> KeyTable:
    """The table that deals all keys for the first time.

    Args:
      owners: the owner of each stripe.
    """
    lives = tuple(dict.fromkeys(owners))
    places = {life: place for place, life in enumerate(lives)}
    stripes = tuple(Stripe(places[owner], 1) for owner in owners)
    return KeyTable(1, lives, stripes)


def changed(
    table: KeyTable, moves: dict[int, tuple[model.Life, str]]
) -> KeyTable:
    """The next version, in which some stripes have other owners.

    Args:
      table: the present version.
      moves: new owner and handover by stripe.
    """
    version = table.version + 1
    lives = list(dict.fromkeys([*table.lives, *(m[0] for m in moves.values())]))
    places = {life: place for place, life in enumerate(lives)}
    stripes = list(table.stripes)
    touched: set[int] = set()
    for index, (life, handover) in moves.items():
        touched |= {stripes[index].owner, places[life]}
        stripes[index] = Stripe(places[life], version, handover)
    counts = collections.Counter(stripe.owner for stripe in stripes)
    crowded = {place for place in touched if counts[place] > ROWS_MAX}
    if crowded:
        for index, stripe in enumerate(stripes):
            if stripe.owner in crowded and index not in moves:
                # With one token, its neighbouring stripes fit one row.
                stripes[index] = Stripe(stripe.owner, version)
    later = KeyTable(version, tuple(lives), tuple(stripes))
    if len(counts) == len(lives):
        return later
    owners = tuple(life for place, life in enumerate(lives) if counts[place])
    return KeyTable(version, owners, tuple(_renumbered(later, owners)))
