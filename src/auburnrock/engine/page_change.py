"""Pure functions that compute changes of one assignment page.

Each change is correct for the page that it was computed from, whenever its
write takes effect: it relies only on facts that never become false again (an
incarnation has ended) or that are preferences (which node is the next owner).
"""

import msgspec

from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import members as members_lib
from auburnrock.engine import owner_choice
from auburnrock.engine import pages as pages_lib

REASONS_LOGGED = 8
"""Maximum number of changes of a page that one log line lists."""


class PlannedMove(msgspec.Struct, frozen=True):
    """A move of a shard to another node, requested by the placement policy."""

    service: str
    shard: int
    to: int


class PageChange(msgspec.Struct):
    """The new content of a page.

    Attributes:
      entries: the entries of the page after the change.
      moving: the moves of the page after the change.
      affected: incarnations whose shards change; they are notified at once.
      reasons: descriptions of the changes, for the log.
    """

    entries: list[records.ShardEntry]
    moving: dict[int, int]
    affected: set[int] = msgspec.field(default_factory=set)
    reasons: list[str] = msgspec.field(default_factory=list)


def summary(change: PageChange) -> str:
    """Describes a change, short enough for one log line."""
    shown = "; ".join(change.reasons[:REASONS_LOGGED])
    more = len(change.reasons) - REASONS_LOGGED
    return f"{shown}; and {more} more" if more > 0 else shown


def of_page(page: pages_lib.Page) -> PageChange:
    """Creates a change of a page that changes nothing yet."""
    return PageChange(list(page.record.entries), page.moving())


def page_count(settings: records.ServiceSettings) -> int:
    """Number of pages that a service must have."""
    return keys.page_of(keys.shard_count(settings) - 1) + 1


def page_size(settings: records.ServiceSettings, number: int) -> int:
    """Number of entries that a page of a service must have; 0 for no page."""
    remaining = keys.shard_count(settings) - number * records.SHARDS_PER_PAGE
    return max(0, min(records.SHARDS_PER_PAGE, remaining))


def initial(
    service: str,
    number: int,
    settings: records.ServiceSettings,
    candidates: list[owner_choice.Candidate],
    chooser: owner_choice.OwnerChooser,
) -> PageChange:
    """Creates the content of a page that does not exist yet.

    The shards of hot keys start without an owner, see `hot_keys.py`.
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
    """Adds entries without an owner until a page has `size` entries."""
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
    """Assigns the shards of ended owners to living nodes.

    A successor of the same name gets the shards of its former incarnation, so
    that a restart moves no shard. A moving shard goes to its next owner. The
    chooser chooses the owners of all other shards.
    """
    by_incarnation = {each.incarnation: each for each in candidates}
    if not by_incarnation:
        return
    unassigned = []
    for owner, shards in page.by_owner.items():
        if not is_ended_owner(page, members, owner):
            continue
        successor = members.live_target_node(owner) or members.successor(owner)
        for shard in shards:
            to = change.moving.pop(shard, records.NO_OWNER)
            if successor and successor.incarnation in by_incarnation:
                to = successor.incarnation
            if to not in by_incarnation:
                unassigned.append(shard)
                continue
            by_incarnation[to].owned += 1
            assign(change, page, shard, to)
    owners = chooser.choose(page.record.service, unassigned, candidates)
    for shard, owner in zip(unassigned, owners, strict=True):
        assign(change, page, shard, owner)


def drop_stuck_moves(
    change: PageChange, page: pages_lib.Page, members: members_lib.Members
) -> None:
    """Removes the moves that can no longer be completed."""
    for shard, to in page.moving().items():
        if is_stuck_move(page, members, shard, to) and shard in change.moving:
            del change.moving[shard]
            change.affected.add(page.entry(shard).owner)
            change.reasons.append(f"move of {shard} dropped")


def add_move(
    change: PageChange,
    page: pages_lib.Page,
    move: PlannedMove,
    members: members_lib.Members,
) -> str:
    """Marks a shard as moving; returns why it cannot move, or an empty text."""
    if move.shard not in range(
        page.first_shard, page.first_shard + len(page.record.entries)
    ):
        return "the page does not contain the shard"
    owner = change.entries[move.shard - page.first_shard].owner
    if owner == move.to:
        return "the next owner already owns the shard"
    if move.shard in change.moving:
        return "the shard is already moving"
    if not members.is_active(owner):
        return "the owner of the shard is not active"
    record = members.get(move.to)
    if record is None or not members.is_active(move.to):
        return "the next owner is not active"
    if not record.accepts_work(move.service):
        return "the next owner has no target of the service that accepts work"
    change.moving[move.shard] = move.to
    change.affected.update((owner, move.to))
    change.reasons.append(f"move of {move.shard} to {move.to:x}")
    return ""


def is_ended_owner(
    page: pages_lib.Page, members: members_lib.Members, owner: int
) -> bool:
    """Whether the shards of an owner named by a page must be reassigned."""
    if owner == records.NO_OWNER:
        return False
    if not members.has_ended(owner, page.revision):
        return False
    successor = members.live_target_node(owner)
    return successor is None or successor in members.serving(
        page.record.service
    )


def is_stuck_move(
    page: pages_lib.Page, members: members_lib.Members, shard: int, to: int
) -> bool:
    """Whether a move can no longer be completed."""
    owner = page.entry(shard).owner
    if owner in (records.NO_OWNER, to):
        return True
    if members.get(to) is None:
        return members.has_ended(to, page.revision)
    return not members.is_active(to)


def assign(
    change: PageChange, page: pages_lib.Page, shard: int, owner: int
) -> None:
    """Makes a node the owner of a shard and removes the shard's move.

    The epoch increases, because only the epoch distinguishes the former
    owner's grant from the new owner's.
    """
    entry = page.entry(shard)
    given = records.ShardEntry(owner, entry.epoch + 1)
    change.entries[shard - page.first_shard] = given
    change.moving.pop(shard, None)
    change.affected.add(owner)
    change.reasons.append(f"{shard} to {owner:x} at {given.epoch}")
