"""A node's lease on its own keys, its renewal by witnesses, and its sealing.

The lease is not kept in the store: the node's record there names its witnesses,
and the lease is live while a majority of them has renewed it, counted from the
time at which the node sent the request. So an outage of the store, or a store
that refuses some nodes, ends no lease.

To take over the keys of a silent node, a witness changes the record to SEALING
by compare-and-swap, then asks the other witnesses to seal. A witness that has
sealed renews no earlier term of that node, and replies with the remaining time
of its last renewal. Once a majority has sealed and the longest remainder has
passed, the keys are reassigned in a transaction that requires the record to be
still the sealed one.

A term is identified by the store's revision of the record that began it. A
witness that restarts has lost its seals and renewals. So it renews nothing
until it has read the records after its start, and for one term it treats every
node as renewed at the time of its start.
"""

import itertools
import math

import msgspec
import xxhash

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import model

WITNESSES_MAX = 5
"""Maximum number of witnesses of a node. Two of five may be lost at once, as
the deployments require."""

RENEW_EVERY_MS = 300.0
"""Interval between renewal requests, in milliseconds. Three renewals may be
lost within SUSPICION_TIMEOUT_MS."""

SUSPICION_TIMEOUT_MS = 2_200.0
"""Time in milliseconds without a renewal request after which a node is
suspected to be lost. A killed process has restarted and renews within 2 s."""

DRIFT = 0.01
"""Upper bound of the relative difference in rate between two hosts' clocks."""

WITNESS_CHANGE_INTERVAL_MS = 1_500.0
"""Minimum time between two changes of a node's witnesses, in milliseconds."""


def majority(count: int) -> int:
    """Returns the smallest number that is a majority of `count`."""
    return count // 2 + 1


class Lease:
    """The lease of this node, as the node itself tracks it.

    Attributes:
      name: name of this node.
      term_ms: duration of a renewal on the witnesses' clocks.
      term: revision of this node's record as last written; 0 without a term.
      first_term: revision with which the current uninterrupted term began.
      witnesses: sets of witnesses; a majority of each set must have renewed.
      proposed: set of witnesses that is asked to renew but is not yet written
        to the record; None without one.
      renewed_ms: when the latest confirmed renewal request was sent, by
        witness.
      unwitnessed_until_ms: end of the lease while it needs no witness.
      due_ms: when to send the next renewal requests.
    """

    __slots__ = (
        "due_ms",
        "first_term",
        "name",
        "proposed",
        "renewed_ms",
        "term",
        "term_ms",
        "unwitnessed_until_ms",
        "witnesses",
    )

    def __init__(self, name: str, term_ms: float):
        self.name = name
        self.term_ms = term_ms
        self.term = 0
        self.first_term = 0
        self.witnesses: list[tuple[str, ...]] = []
        self.proposed: tuple[str, ...] | None = None
        self.renewed_ms: dict[str, float] = {}
        self.unwitnessed_until_ms = 0.0
        self.due_ms = 0.0

    def begin_term(self, term: int, witnesses: tuple[str, ...]) -> None:
        """Starts a term after the record was written or found unchanged.

        Args:
          term: revision of the record.
          witnesses: witnesses that the record names.
        """
        self.renewed_ms.clear()
        self.unwitnessed_until_ms = 0.0
        self.term = term
        self.first_term = term
        self.witnesses = [witnesses]
        self.proposed = None

    def end_term(self) -> None:
        """Ends the term: the record is sealed, removed or another process's."""
        self.term = 0
        self.witnesses = []
        self.proposed = None
        self.renewed_ms.clear()

    def propose(self, witnesses: tuple[str, ...]) -> None:
        """Requests renewals from another set too, before it is written.

        Only the current set extends the lease, since only that set is asked to
        seal.
        """
        self.proposed = witnesses

    def begin_joint_change(self) -> None:
        """Requires renewals by both sets while the change is being written."""
        self.witnesses = [self.witnesses[0], self.proposed]

    def complete_change(self, term: int, witnesses: tuple[str, ...]) -> None:
        """Applies the outcome of a change of witnesses; the term continues.

        Renewals carry the new revision from now on. Those sent under the
        earlier revision came from the same process and remain valid.

        Args:
          term: revision of the record after the change.
          witnesses: witnesses that the record names now.
        """
        self.term = term
        self.witnesses = [witnesses]
        self.proposed = None

    def ends_ms(self) -> float:
        """Returns when the lease ends without renewal; 0 without a term."""
        if not self.term:
            return 0.0
        return min(self._group_ends_ms(group) for group in self.witnesses)

    def proposal_ready(self) -> bool:
        """Whether the proposed set may be written to the record.

        Its renewals must last as long as the current set's. In a new term no
        current witness may have renewed yet, while keys are still granted by
        an earlier term. A renewal of this term was sent after all renewals of
        that one, so a majority of such renewals outlasts its grants.
        """
        if self.proposed is None:
            return False
        proposed_ends_ms = self._group_ends_ms(self.proposed)
        if proposed_ends_ms <= 0.0:
            return False
        return proposed_ends_ms >= self._group_ends_ms(self.witnesses[0])

    def witnesses_due(
        self, now_ms: float, unwitnessed_from_ms: float | None = None
    ) -> list[str]:
        """Returns the witnesses to ask for a renewal now, in this order.

        Proposed witnesses come last, so that after a round in which all renew,
        their renewals end no earlier than those of the current witnesses.

        Args:
          now_ms: the current time.
          unwitnessed_from_ms: time from which the renewal of a lease without
            witnesses is counted; None stands for `now_ms`.
        """
        if not self.term or now_ms < self.due_ms:
            return []
        self.due_ms = now_ms + RENEW_EVERY_MS
        if self.witnesses == [()] and self.proposed is None:
            # Not while witnesses are proposed: their renewals could never last
            # as long as the lease.
            from_ms = (
                now_ms if unwitnessed_from_ms is None else unwitnessed_from_ms
            )
            until_ms = from_ms + self.term_ms * (1.0 - 2.0 * DRIFT)
            self.unwitnessed_until_ms = max(self.unwitnessed_until_ms, until_ms)
        return self._in_request_order()

    def all_witnesses(self) -> set[str]:
        """Returns all witnesses, including proposed ones."""
        return set(self._in_request_order())

    def on_renewed(self, witness: str, term: int, sent_ms: float) -> None:
        """Handles a witness's confirmation of a renewal sent at `sent_ms`."""
        if self.first_term <= term <= self.term:
            known_ms = self.renewed_ms.get(witness, 0.0)
            self.renewed_ms[witness] = max(known_ms, sent_ms)

    def _in_request_order(self) -> list[str]:
        ordered = itertools.chain(*self.witnesses, self.proposed or ())
        return list(dict.fromkeys(ordered))

    def _group_ends_ms(self, group: tuple[str, ...]) -> float:
        if not group:
            return self.unwitnessed_until_ms
        sent_times_ms = sorted(
            (self.renewed_ms.get(witness, 0.0) for witness in group),
            reverse=True,
        )
        sent_ms = sent_times_ms[majority(len(group)) - 1]
        if sent_ms <= 0.0:
            return 0.0
        return sent_ms + self.term_ms * (1.0 - 2.0 * DRIFT)


class WitnessedLease(msgspec.Struct):
    """What a witness knows of another node's lease.

    Attributes:
      renewed_ms: when this witness last renewed the lease; 0 if never.
      last_request_ms: when the node last requested a renewal.
      sealed: revision up to which the node's terms are sealed; 0 if none is.
      oldest_valid_term: revision below which the node's terms have ended,
        since a later record was read.
    """

    renewed_ms: float = 0.0
    last_request_ms: float = 0.0
    sealed: int = 0
    oldest_valid_term: int = 0


class Witness:
    """The leases of other nodes that this node witnesses.

    Attributes:
      term_ms: duration of a renewal.
      started_ms: start of this process.
      has_read_records: whether the nodes' records were read after the start.
      read_revision: the store's revision at the first read after the start. A
        node without a record at that revision has no term up to it.
      era: latest known era of the store; terms of earlier eras have ended.
      era_ms: when this witness learned of that era.
      leases: state of each lease, by name of the node.
    """

    __slots__ = (
        "era",
        "era_ms",
        "has_read_records",
        "leases",
        "read_revision",
        "started_ms",
        "term_ms",
    )

    def __init__(self, term_ms: float, started_ms: float):
        self.term_ms = term_ms
        self.started_ms = started_ms
        self.has_read_records = False
        self.read_revision = 0
        self.era = 0
        self.era_ms = started_ms
        self.leases: dict[str, WitnessedLease] = {}

    def on_record(
        self, now_ms: float, member: model.Member, revision: int
    ) -> None:
        """Handles a node's record that was read from the store.

        Args:
          now_ms: the current time.
          member: the record.
          revision: the store's revision of the record.
        """
        lease = self.leases.setdefault(
            member.name, WitnessedLease(last_request_ms=now_ms)
        )
        lease.oldest_valid_term = max(lease.oldest_valid_term, revision)
        if member.state == model.MemberState.SEALING:
            lease.sealed = max(lease.sealed, revision)

    def on_records_read(self, revision: int) -> None:
        """Records that all records up to this revision have been handled."""
        if not self.has_read_records:
            self.has_read_records = True
            self.read_revision = revision

    def on_era(self, now_ms: float, era: int) -> None:
        """Handles a restore of the store: records of terms may be lost."""
        if era > self.era:
            self.era = era
            self.era_ms = now_ms

    def on_renew(self, now_ms: float, name: str, term: int) -> bool:
        """Handles a renewal request; returns whether the lease was renewed."""
        if not self.has_read_records:
            return False
        lease = self.leases.setdefault(name, WitnessedLease())
        lease.last_request_ms = now_ms
        if term <= lease.sealed or term < lease.oldest_valid_term:
            return False
        if coordination_store.era_of(term) < self.era:
            return False
        if not lease.oldest_valid_term and term <= self.read_revision:
            return False
        lease.renewed_ms = now_ms
        return True

    def on_seal(self, now_ms: float, name: str, revision: int) -> float | None:
        """Seals a node's terms up to a revision.

        Returns:
          Upper bound of what remains of the node's last renewal, in
          milliseconds; None while the records have not been read.
        """
        if not self.has_read_records:
            return None
        lease = self.leases.setdefault(name, WitnessedLease())
        lease.sealed = max(lease.sealed, revision)
        # Before the restore the node may have had other witnesses.
        last_ms = max(lease.renewed_ms, self.started_ms, self.era_ms)
        return max(0.0, self.term_ms * (1.0 + DRIFT) - (now_ms - last_ms))

    def silent_ms(self, now_ms: float, name: str) -> float:
        """Returns the time since a node last requested a renewal."""
        lease = self.leases.get(name)
        if lease is None:
            return now_ms - self.started_ms
        return now_ms - max(lease.last_request_ms, self.started_ms)

    def reset_silence(self, now_ms: float) -> None:
        """Restarts the silence of all nodes after a pause of this process.

        No request could be received in the pause.
        """
        for lease in self.leases.values():
            lease.last_request_ms = now_ms


class Sealing:
    """A takeover of another node's keys that this node leads.

    Attributes:
      name: name of the node whose keys are taken over.
      revision: revision of that node's sealed record.
      witnesses: names of that node's witnesses.
      leases_end_ms: when the last renewal by a witness ends, by witness.
      began_ms: start of the takeover.
      ends_ms: when the lease has ended whatever its witnesses do; infinite if
        only they can end it.
    """

    __slots__ = (
        "began_ms",
        "ends_ms",
        "leases_end_ms",
        "name",
        "revision",
        "witnesses",
    )

    def __init__(
        self,
        name: str,
        revision: int,
        witnesses: tuple,
        now_ms: float,
        ends_ms: float = math.inf,
    ):
        self.name = name
        self.revision = revision
        self.witnesses = witnesses
        self.leases_end_ms: dict[str, float] = {}
        self.began_ms = now_ms
        self.ends_ms = ends_ms

    def on_sealed(
        self, now_ms: float, witness: str, remaining_ms: float
    ) -> None:
        """Handles a witness's answer to a seal request.

        Args:
          now_ms: the current time.
          witness: name of the witness.
          remaining_ms: upper bound of what remains of its last renewal.
        """
        if witness in self.witnesses:
            self.leases_end_ms[witness] = now_ms + remaining_ms

    def missing(self) -> list[str]:
        """Returns the witnesses that have not sealed yet."""
        return [
            name for name in self.witnesses if name not in self.leases_end_ms
        ]

    def is_complete(self, now_ms: float) -> bool:
        """Whether every term of the node has certainly ended."""
        if now_ms >= self.ends_ms:
            return True
        if len(self.leases_end_ms) < majority(len(self.witnesses)):
            return False
        return all(end_ms <= now_ms for end_ms in self.leases_end_ms.values())


def choose_witnesses(
    own: model.Member, members: dict[str, model.Member], alive: set[str]
) -> tuple[str, ...]:
    """Chooses an odd number of witnesses for a node, or none.

    Current witnesses that are alive stay. The others are spread evenly over the
    zones, so that no zone has a majority where there are three zones.
    Rendezvous hashing (Thaler and Ravishankar, 1998) gives different nodes
    different witnesses, so that the loss of a few hosts ends few leases and no
    host has to renew them all.

    Args:
      own: record of the node.
      members: records of all nodes, by name.
      alive: names of the nodes that are not suspected.
    """
    current = [
        name for name in own.witnesses if name in alive and name in members
    ]
    chosen = current[:WITNESSES_MAX]
    by_zone: dict[str, int] = {}
    for name in chosen:
        zone = members[name].zone
        by_zone[zone] = by_zone.get(zone, 0) + 1
    candidates = [
        name for name in alive if name in members and name not in chosen
    ]
    candidates = [name for name in candidates if name != own.name]
    fast_candidates = [
        name for name in candidates if not members[name].has_slow_link()
    ]
    if len(fast_candidates) >= WITNESSES_MAX - len(chosen):
        candidates = fast_candidates
    while candidates and len(chosen) < WITNESSES_MAX:
        best = min(
            candidates,
            key=lambda name: (
                by_zone.get(members[name].zone, 0)
                + (members[name].zone == own.zone),
                xxhash.xxh64_intdigest(f"{own.name} {name}".encode()),
            ),
        )
        candidates.remove(best)
        chosen.append(best)
        zone = members[best].zone
        by_zone[zone] = by_zone.get(zone, 0) + 1
    if len(chosen) % 2 == 0 and chosen:
        # The majority of an even number is that of the next odd number, so the
        # last witness would add no tolerance of losses.
        chosen.pop()
    return tuple(sorted(chosen))
