"""Rules for a restored store that may lack writes it had acknowledged.

The store's answers name its era, which rises with each restore. A key table
names the era in which it was last changed. In a later era the table is
unsettled: later versions of it may be lost, and targets may hold keys by them.
So nodes that know a later version write it again, and no node moves or assigns
keys before every grant of a lost version has expired. A node whose grants last
that long has renewed its lease with witnesses that did not know of the new era
either.
"""

import math

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import target_grants as grants_module

REWRITE_WINDOW_MS = 1_500.0
"""Time in milliseconds after learning of a restore within which nodes that know
lost tables have written them again, unless they are cut off."""

REWRITE_STAGGER_MS = 60.0
"""Delay in milliseconds between the nodes that may write a lost table again. A
write and the notification of the other nodes take less."""

REWRITE_STAGGER_MAX_MS = 900.0
"""Longest delay in milliseconds before a node writes a lost table again."""


def is_record_still_valid(
    own: model.Member | None,
    own_revision: int,
    stored: model.Member,
    revision: int,
    is_live: bool,
) -> bool:
    """Whether a node's term continues with its record in a restored store.

    While its lease is live, no takeover has reassigned its keys: a takeover
    waits for the end of every renewal.

    Args:
      own: the record as the node has written it.
      own_revision: the store's revision of `own`.
      stored: the record in the store.
      revision: the store's revision of `stored`.
      is_live: whether the node's lease is live.
    """
    return _is_later_era(revision, own_revision) and stored == own and is_live


def is_record_replaced(
    own: model.Member | None,
    own_revision: int,
    stored: model.Member,
    revision: int,
) -> bool:
    """Whether the record in the store has replaced the node's own record.

    Args:
      own: the record as the node has written it.
      own_revision: the store's revision of `own`.
      stored: the record in the store, with which the term does not continue.
      revision: the store's revision of `stored`.
    """
    return stored != own or _is_later_era(revision, own_revision)


def unwitnessed_lease_from_ms(
    now_ms: float, call_sent_ms: float, term: int, era: int, is_alone: bool
) -> float:
    """Returns the time from which a lease without witnesses is renewed.

    Since its last answer, the store may have been restored to a state without
    the node's record. Other nodes reassign the node's keys a term later.

    Args:
      now_ms: the current time.
      call_sent_ms: when the last call that the store answered was sent.
      term: revision of the record that began the lease's term.
      era: the store's era.
      is_alone: whether no other node is known.

    Returns:
      The time in milliseconds; minus infinity for a term of an earlier era.
    """
    if coordination_store.era_of(term) < era:
        return -math.inf
    return now_ms if is_alone else call_sent_ms


def resolves_witnesses(
    proposed: model.Member,
    own_revision: int,
    stored: model.Member,
    revision: int,
    is_live: bool,
) -> bool:
    """Whether a change of witnesses was made and the term continues.

    Args:
      proposed: the record after the change.
      own_revision: the store's revision of the record before the change.
      stored: the record in the store.
      revision: the store's revision of `stored`.
      is_live: whether the node's lease is live.
    """
    if _is_later_era(revision, own_revision):
        return is_record_still_valid(
            proposed, own_revision, stored, revision, is_live
        )
    return stored == proposed


def lost_table(
    newest: table_module.KeyTable | None, stored: table_module.KeyTable
) -> table_module.KeyTable | None:
    """Returns the newest known table if the store has an earlier version.

    The version in the store goes back only by a restore.

    Args:
      newest: the newest known version; None if none is known.
      stored: the table in the store.
    """
    if newest is not None and newest.version_key() > stored.version_key():
        return newest
    return None


def table_predates_era(
    table: table_module.KeyTable | None,
    lost: table_module.KeyTable | None,
    era: int,
) -> bool:
    """Whether a table was not yet written in this era of the store.

    Args:
      table: the table in the store; None if it has none.
      lost: a later version of the table that the store lacks; None without one.
      era: the store's era.
    """
    return lost is not None or (table is not None and table.era < era)


def is_restoring(now_ms: float, era_ms: float, unsettled: bool) -> bool:
    """Whether changes of a table must wait for lost tables to be rewritten.

    Nodes that know lost tables write them again; a change made before that
    would replace one of them.

    Args:
      now_ms: the current time.
      era_ms: when the node learned of the restore.
      unsettled: whether the table to change is unsettled.
    """
    return now_ms - era_ms < REWRITE_WINDOW_MS or unsettled


def grants_reported_only(
    is_first_seen: bool,
    unsettled: bool,
    before: bool,
    is_first_start: bool,
    is_since_start: bool,
) -> bool:
    """Whether a target is granted only the stripes that it reports as held.

    A node that starts in an era cannot know what was lost before it. Besides, a
    table change that an earlier process of this node has sent may take effect
    at any later time, as long as the table has not changed since.

    Args:
      is_first_seen: whether no version of the table was known until now.
      unsettled: whether later versions of the table may be lost, as it is of
        an earlier era than the store.
      before: the result for the previous version of the table.
      is_first_start: whether there can be no earlier process of this node.
      is_since_start: whether the table was written after this process had
        first read the store.
    """
    if unsettled:
        return is_first_seen or before
    if is_first_seen:
        return not is_first_start
    return before and not is_since_start


def rewrite_delay_ms(before: int) -> float:
    """Returns how long a node waits before it writes a lost table again.

    Args:
      before: number of nodes that may write the same table before this one.
    """
    return min(before * REWRITE_STAGGER_MS, REWRITE_STAGGER_MAX_MS)


def may_advance_to_era(
    now_ms: float,
    unsettled_ms: float,
    era_ms: float,
    term_ms: float,
    own_delay_ms: float,
) -> bool:
    """Whether an unsettled table may be written in the store's current era.

    A node that knows a later version and has not written it again within a term
    is cut off: witnesses renew no term of an earlier era, and no grant outlasts
    the lease.

    Args:
      now_ms: the current time.
      unsettled_ms: when the table was first known to be unsettled.
      era_ms: when the node learned of the latest restore.
      term_ms: duration of a lease's renewal.
      own_delay_ms: how long this node waits for others that may write the
        table.
    """
    waited_ms = now_ms - max(unsettled_ms, era_ms)
    return (
        waited_ms >= term_ms * grants_module.CLOCK_DRIFT_FACTOR + own_delay_ms
    )


def is_bootstrap(is_configured: bool, era_ms: float, era: int) -> bool:
    """Whether no target can hold keys of a table that the store lost.

    A process may have started before a restore and first read the store after
    it, so it knows of none.

    Args:
      is_configured: whether the settings state that the system starts for the
        first time.
      era_ms: when the node learned of a restore; negative if it has not.
      era: the store's era.
    """
    return is_configured and era_ms < 0.0 and era == 0


def may_rewrite_initial_table(
    now_ms: float, started_ms: float, era_ms: float, term_ms: float
) -> bool:
    """Whether all grants by a table that the store lost have expired.

    Nodes that know such a table write it again within REWRITE_WINDOW_MS. The
    leases of other nodes end within a term after the witnesses have learned of
    the restore, and their grants with them.

    Args:
      now_ms: the current time.
      started_ms: when this process started.
      era_ms: when the node learned of the latest restore.
      term_ms: duration of a lease's renewal.
    """
    waited_ms = now_ms - max(started_ms, era_ms)
    return (
        waited_ms
        >= REWRITE_WINDOW_MS + term_ms * grants_module.CLOCK_DRIFT_FACTOR
    )


def _is_later_era(revision: int, other: int) -> bool:
    return coordination_store.era_of(revision) > coordination_store.era_of(
        other
    )
