"""Computes the page changes by which an owner hands over shards."""

import msgspec

from auburnrock import records
from auburnrock.engine import owner_choice
from auburnrock.engine import page_change
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import view as view_lib


class Ready(msgspec.Struct, frozen=True):
    """A shard to hand over.

    Attributes:
      shard: number of the shard.
      to: the requested next owner; NO_OWNER to have one chosen.
    """

    shard: int
    to: int


class Owner(msgspec.Struct, frozen=True):
    """The node that hands over shards.

    Attributes:
      incarnation: incarnation of the node.
      can_keep: whether the node may own the shards again at the next epoch.
    """

    incarnation: int
    can_keep: bool


def can_own(view: view_lib.View, service: str, incarnation: int) -> bool:
    """Whether a node may be assigned shards of a service."""
    record = view.members.get(incarnation)
    return record is not None and record.accepts_work(service)


def candidates(
    view: view_lib.View, service: str, excluded: int
) -> list[owner_choice.Candidate]:
    """The nodes but `excluded` that may be assigned a service's shards."""
    owned = view.pages.owned.get(service, {})
    return [
        owner_choice.Candidate(
            record.incarnation, record.zone, owned.get(record.incarnation, 0)
        )
        for record in view.members.serving(service)
        if record.incarnation != excluded
    ]


def has_candidates(view: view_lib.View, service: str, excluded: int) -> bool:
    """Whether a node but `excluded` may be assigned a service's shards."""
    serving = view.members.serving(service)
    return any(record.incarnation != excluded for record in serving)


def change_page(
    page: pages_lib.Page,
    shards: list[Ready],
    owner: Owner,
    view: view_lib.View,
    chooser: owner_choice.OwnerChooser,
) -> page_change.PageChange:
    """Assigns shards of a page to their next owners, each at the next epoch.

    The owner keeps a shard whose requested next owner has been lost in the
    meantime. It keeps a shard without a requested next owner only if there is
    no other candidate.
    """
    service = page.record.service
    change = page_change.of_page(page)
    unassigned = []
    for ready in shards:
        if page.entry(ready.shard).owner not in (
            owner.incarnation,
            records.NO_OWNER,
        ):
            continue
        to = _next_owner(ready, owner, service, view)
        if to == records.NO_OWNER:
            unassigned.append(ready.shard)
        else:
            page_change.assign(change, page, ready.shard, to)
    others = candidates(view, service, owner.incarnation)
    if others:
        owners = chooser.choose(service, unassigned, others)
    else:
        owners = [owner.incarnation] * len(unassigned) if owner.can_keep else []
    for shard, to in zip(unassigned, owners, strict=False):
        page_change.assign(change, page, shard, to)
    return change


def _next_owner(
    ready: Ready, owner: Owner, service: str, view: view_lib.View
) -> int:
    """The next owner of a shard; NO_OWNER to have one chosen."""
    if ready.to == owner.incarnation:
        return ready.to if owner.can_keep else records.NO_OWNER
    if ready.to != records.NO_OWNER and can_own(view, service, ready.to):
        return ready.to
    if ready.to != records.NO_OWNER and owner.can_keep:
        return owner.incarnation
    return records.NO_OWNER
