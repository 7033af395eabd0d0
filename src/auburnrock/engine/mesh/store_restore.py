"""What a node may do while a restored store may lack what it had acknowledged.

The store's answers name its era, which rises with each restore. A table says
the era in which it was last changed; in a later one it is unsettled: versions
of it may be lost, and targets may hold keys by them. So those who know a later
version write it again, and nobody moves keys or deals them before every grant
of a lost version has lapsed. Whose grants last that long has renewed its lease
at witnesses that had not heard of the era either.
"""

import math

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import target_grants as holder_module

REWRITE_WINDOW_MS = 1_500.0
"""After news of a restore, those who know what it lost have written it again
within this, or are cut off."""

REWRITE_STAGGER_MS = 60.0
"""Between the nodes that may write a lost table again: one change, and the news
of it, take less."""

REWRITE_STAGGER_MAX_MS = 900.0
"""The last of them begins after this."""


def is_record_still_valid(
    own: model.Member | None,
    own_revision: int,
    found: model.Member,
    revision: int,
    is_live: bool,
) -> bool:
    """Whether a node goes on with its record as a restored store has it.

    While its lease is live, no takeover has given its keys away: it would have
    waited for the end of every renewal.

    Args:
      own: the record as the node has written it.
      own_revision: of that.
      found: the record in the store.
      revision: of that.
      is_live: whether the node's lease is live.
    """
    return _is_later_era(revision, own_revision) and found == own and is_live


def is_record_replaced(
    own: model.Member | None,
    own_revision: int,
    found: model.Member,
    revision: int,
) -> bool:
    """Whether a record that is not kept takes the place of the node's own."""
    return found != own or _is_later_era(revision, own_revision)


def unwitnessed_lease_from_ms(
    now_ms: float, asked_ms: float, term: int, era: int, is_alone: bool
) -> float:
    """From when the lease of a node without witnesses counts.

    The store may have been restored and lack the node's record since it last
    answered, and others give the node's keys away a term later.

    Args:
      now_ms: the time.
      asked_ms: when the last call that the store answered was sent.
      term: of the lease.
      era: of the store.
      is_alone: whether no other node is known.
    """
    if coordination_store.era_of(term) < era:
        return -math.inf
    return now_ms if is_alone else asked_ms


def resolves_witnesses(
    wanted: model.Member,
    own_revision: int,
    found: model.Member,
    revision: int,
    is_live: bool,
) -> bool:
    """Whether a change of the witnesses was made, and the term goes on.

    Args:
      wanted: the record as the change has it.
      own_revision: of the record before the change.
      found: the record in the store.
      revision: of that.
      is_live: whether the node's lease is live.
    """
    if _is_later_era(revision, own_revision):
        return is_record_still_valid(
            wanted, own_revision, found, revision, is_live
        )
    return found == wanted


def lost_table(
    newest: table_module.KeyTable | None, found: table_module.KeyTable
) -> table_module.KeyTable | None:
    """The newest table known, if the store has an earlier one instead.

    Only a restore takes a table back.
    """
    if newest is not None and newest.version_key() > found.version_key():
        return newest
    return None


def table_predates_era(
    table: table_module.KeyTable | None,
    lost: table_module.KeyTable | None,
    era: int,
) -> bool:
    """Whether a table was not yet written in this era of the store.

    Args:
      table: as the store has it; None if it has none.
      lost: a newer one that it does not have.
      era: of the store.
    """
    return lost is not None or (table is not None and table.era < era)


def is_restoring(now_ms: float, era_ms: float, unsettled: bool) -> bool:
    """Whether tables that a restored store lost may have to come first.

    They are written again by those who know them; a change made before would
    take the place of one of them.

    Args:
      now_ms: the time.
      era_ms: when the node heard of the restore.
      unsettled: whether the table to change is.
    """
    return now_ms - era_ms < REWRITE_WINDOW_MS or unsettled


def grants_reported_only(
    is_first_seen: bool,
    unsettled: bool,
    before: bool,
    is_first_start: bool,
    is_since_start: bool,
) -> bool:
    """Whether a target gets only what it reports that it holds.

    Who starts in an era cannot know what was lost before it. And a hand-over
    that an earlier process of this node has sent may be made at any later
    moment, as long as the table is as it was then.

    Args:
      is_first_seen: whether no version of the table was known until now.
      unsettled: whether the table is.
      before: the answer until now.
      is_first_start: whether there can be no earlier process.
      is_since_start: whether the table was written after this process had
        first read the store.
    """
    if unsettled:
        return is_first_seen or before
    if is_first_seen:
        return not is_first_start
    return before and not is_since_start


def rewrite_delay_ms(before: int) -> float:
    """How long a node waits for others that may write the same.

    Args:
      before: how many nodes come first.
    """
    return min(before * REWRITE_STAGGER_MS, REWRITE_STAGGER_MAX_MS)


def may_advance_to_era(
    now_ms: float,
    unsettled_ms: float,
    era_ms: float,
    term_ms: float,
    own_turn_ms: float,
) -> bool:
    """Whether a table may be written in the store's era.

    Who knows a later version and has not put it back within a term is cut off:
    witnesses renew no term of the era before, and no grant outlasts its lease.

    Args:
      now_ms: the time.
      unsettled_ms: since when the table has been known to be unsettled.
      era_ms: when the node heard of the restore; the last of several counts.
      term_ms: of a lease.
      own_turn_ms: how long this node waits for others.
    """
    waited_ms = now_ms - max(unsettled_ms, era_ms)
    return waited_ms >= term_ms * holder_module.CLOCK_DRIFT_FACTOR + own_turn_ms


def is_bootstrap(is_configured: bool, era_ms: float) -> bool:
    """Whether no target can hold keys of a table that the store lost.

    Args:
      is_configured: whether the settings say that nothing ran before.
      era_ms: when the node heard of a restore; negative if it did not.
    """
    return is_configured and era_ms < 0.0


def may_rewrite_initial_table(
    now_ms: float, started_ms: float, era_ms: float, term_ms: float
) -> bool:
    """Whether all grants by a table that the store lost have lapsed.

    Who knows such a table writes it again; the others' leases have ended a
    term after the witnesses heard of the restore, and their grants too.
    """
    waited_ms = now_ms - max(started_ms, era_ms)
    return (
        waited_ms
        >= REWRITE_WINDOW_MS + term_ms * holder_module.CLOCK_DRIFT_FACTOR
    )


def _is_later_era(revision: int, other: int) -> bool:
    return coordination_store.era_of(revision) > coordination_store.era_of(
        other
    )
