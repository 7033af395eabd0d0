"""What the assigner changes in one assignment page; pure functions.

Each change is right for the page that it was made from, whenever its write
lands: it relies only on facts that never turn false again (an incarnation has
ended) or that are preferences (who is the next owner).
"""

import msgspec

from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import members as members_lib
from auburnrock.engine import owner_choice
from auburnrock.engine import pages as pages_lib

REASONS_LOGGED = 8
"""Most changes of a page that a line of the log names."""


class PlannedMove(msgspec.Struct, frozen=True):
    """A move of a shard to another node, as the placement policy wants it."""

    service: str
    shard: int
    to: int


class PageChange(msgspec.Struct):
    """A page being changed.

    Attributes:
      entries: its entries as they are to be.
      moving: its moves as they are to be.
      told: incarnations whose shards change, to be told at once.
      reasons: what was changed, for the log.
    """

    entries: list[records.ShardEntry]
    moving: dict[int, int]
    told: set[int] = msgspec.field(default_factory=set)
    reasons: list[str] = msgspec.field(default_factory=list)


def summary(change: PageChange) -> str:
    """What was changed, short enough for a line of the log."""
    shown = "; ".join(change.reasons[:REASONS_LOGGED])
    more = len(change.reasons) - REASONS_LOGGED
    return f"{shown}; and {more} more" if more > 0 else shown


def of_page(page: pages_lib.Page) -> PageChange:
    """A change that changes nothing yet."""
    return PageChange(list(page.record.entries), page.moving())


def page_count(settings: records.ServiceSettings) -> int:
    """Number of pages that a service must have."""
    return keys.page_of(keys.shard_count(settings) - 1) + 1


def page_size(settings: records.ServiceSettings, number: int) -> int:
    """Number of entries that a page of a service must have; 0 for no page."""
    left = keys.shard_count(settings) - number * records.SHARDS_PER_PAGE
    return max(0, min(records.SHARDS_PER_PAGE, left))


def initial(
    service: str,
    number: int,
    settings: records.ServiceSettings,
    candidates: list[owner_choice.Candidate],
    chooser: owner_choice.OwnerChooser,
) -> PageChange:
    """A page that does not exist yet.

    The shards of hot keys begin without an owner, see `hot_keys.py`.
    """
    first = number * records.SHARDS_PER_PAGE
    size = page_size(settings, number)
    hashed = range(first, min(first + size, settings.shards))
    owners = chooser.choose(service, list(hashed), candidates)
    entries = [records.ShardEntry(owner, 1) for owner in owners]
    change = PageChange(entries, {}, set(owners), ["created"])
    extend(change, size)
    return change


def extend(change: PageChange, size: int) -> None:
    """Adds entries without an owner until a page has `size` of them."""
    missing = size - len(change.entries)
    if missing <= 0:
        return
    for _ in range(missing):
        change.entries.append(records.ShardEntry(records.NO_OWNER, 0))
    change.reasons.append("extended")


def reassign(
    change: PageChange,
    page: pages_lib.Page,
    members: members_lib.Members,
    candidates: list[owner_choice.Candidate],
    chooser: owner_choice.OwnerChooser,
) -> None:
    """Gives the shards of ended owners to living ones.

    A successor of the same name gets its former shards back, so that a
    restart moves nothing. A shard on its way to another node goes there. The
    rest is the chooser's.
    """
    by_incarnation = {each.incarnation: each for each in candidates}
    if not by_incarnation:
        return
    left = []
    for owner, shards in page.by_owner.items():
        if not is_ended_owner(page, members, owner):
            continue
        successor = members.live_target_node(owner) or members.successor(owner)
        for shard in shards:
            to = change.moving.pop(shard, records.NO_OWNER)
            if successor and successor.incarnation in by_incarnation:
                to = successor.incarnation
            if to not in by_incarnation:
                left.append(shard)
                continue
            by_incarnation[to].owned += 1
            give(change, page, shard, to)
    owners = chooser.choose(page.record.service, left, candidates)
    for shard, owner in zip(left, owners, strict=True):
        give(change, page, shard, owner)


def clear_moves(
    change: PageChange, page: pages_lib.Page, members: members_lib.Members
) -> None:
    """Drops the moves that can no longer be carried out."""
    for shard, to in page.moving().items():
        if is_stuck_move(page, members, shard, to) and shard in change.moving:
            del change.moving[shard]
            change.told.add(page.entry(shard).owner)
            change.reasons.append(f"move of {shard} dropped")


def add_move(
    change: PageChange,
    page: pages_lib.Page,
    move: PlannedMove,
    members: members_lib.Members,
) -> str:
    """Marks a shard as moving; returns why not, or nothing."""
    if move.shard not in range(
        page.first_shard, page.first_shard + len(page.record.entries)
    ):
        return "no such shard"
    owner = change.entries[move.shard - page.first_shard].owner
    if owner == move.to:
        return "it is there already"
    if move.shard in change.moving:
        return "it is moving already"
    if not members.is_active(owner):
        return "its owner is not active"
    record = members.get(move.to)
    if record is None or not members.is_active(move.to):
        return "the next owner is not active"
    if not record.takes_work(move.service):
        return "the next owner has no target of the service that takes work"
    change.moving[move.shard] = move.to
    change.told.update((owner, move.to))
    change.reasons.append(f"move of {move.shard} to {move.to:x}")
    return ""


def is_ended_owner(
    page: pages_lib.Page, members: members_lib.Members, owner: int
) -> bool:
    """Whether the shards of an owner named by a page are to be given away."""
    if owner == records.NO_OWNER:
        return False
    if not members.has_ended(owner, page.revision):
        return False
    heir = members.live_target_node(owner)
    return heir is None or heir in members.serving(page.record.service)


def is_stuck_move(
    page: pages_lib.Page, members: members_lib.Members, shard: int, to: int
) -> bool:
    """Whether a move leads nowhere."""
    owner = page.entry(shard).owner
    if owner in (records.NO_OWNER, to):
        return True
    if members.get(to) is None:
        return members.has_ended(to, page.revision)
    return not members.is_active(to)


def give(
    change: PageChange, page: pages_lib.Page, shard: int, owner: int
) -> None:
    """Makes a node the owner of a shard and ends a move of it.

    The epoch grows: only it tells a former owner's grant from the new one's.
    """
    entry = page.entry(shard)
    given = records.ShardEntry(owner, entry.epoch + 1)
    change.entries[shard - page.first_shard] = given
    change.moving.pop(shard, None)
    change.told.add(owner)
    change.reasons.append(f"{shard} to {owner:x} at {given.epoch}")
