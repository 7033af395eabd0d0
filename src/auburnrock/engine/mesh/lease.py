"""A node's lease on its own keys, renewed by witnesses, and its sealing.

The lease is not in the store: the node's record there names its witnesses,
and the lease is live while a majority of them has renewed it, counted from
when the node asked. So an outage of the store, or a store that turns some
nodes away, ends no lease.

To take a silent node's keys, a witness swaps the record to SEALING, then asks
the other witnesses to seal. A witness that sealed renews no earlier term of
that node, and says how much of the last renewal is left. With a majority of
seals and the longest rest over, the keys are given away in a transaction that
holds only while the record is still the sealed one.

A term is known by the store's revision of the record that began it. A witness
that restarts has forgotten its seals and renewals, so it renews nothing before
it has read the records after its start, and until one term has passed it
takes every node for renewed at the moment of that start.
"""

import itertools

import msgspec
import xxhash

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import model

WITNESSES_MAX = 5
"""Two of five may be lost at once, as the deployments ask for."""

RENEW_EVERY_MS = 300.0
"""Three renewals may be lost before the silence limit."""

SUSPICION_TIMEOUT_MS = 2_200.0
"""A killed process is back and renews within 2 s; what lasts longer is taken
for lost."""

DRIFT = 0.01
"""Clocks of two hosts differ in rate by less than this."""

WITNESS_CHANGE_INTERVAL_MS = 1_500.0
"""At least so long between two changes of the witnesses."""


def majority(count: int) -> int:
    """How many of `count` make a majority."""
    return count // 2 + 1


class Lease:
    """The holder's side.

    Attributes:
      name: name of this node.
      term_ms: how long a renewal lasts on the witnesses' clocks.
      term: revision of the record as last written; 0 before.
      first_term: revision with which the present unbroken term began.
      witnesses: sets of which a majority each must have renewed.
      proposed: set that is asked too and not yet written; None without one.
      renewed_ms: when the renewal that each witness confirmed was sent.
      solo_until_ms: end of a lease that needed no witness.
      due_ms: when to ask next.
    """

    __slots__ = (
        "due_ms",
        "first_term",
        "name",
        "proposed",
        "renewed_ms",
        "solo_until_ms",
        "term",
        "term_ms",
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
        self.solo_until_ms = 0.0
        self.due_ms = 0.0

    def begin_term(self, term: int, witnesses: tuple[str, ...]) -> None:
        """Starts a term after the record was written or found unchanged."""
        self.renewed_ms.clear()
        self.solo_until_ms = 0.0
        self.term = term
        self.first_term = term
        self.witnesses = [witnesses]
        self.proposed = None

    def end_term(self) -> None:
        """The record is sealed, gone or another's: nothing is held any more."""
        self.term = 0
        self.witnesses = []
        self.proposed = None
        self.renewed_ms.clear()

    def propose(self, witnesses: tuple[str, ...]) -> None:
        """Asks another set too, before it is written.

        The present one alone keeps the lease: only it can be sealed.
        """
        self.proposed = witnesses

    def begin_joint_change(self) -> None:
        """The proposed set is about to be written: both must renew."""
        self.witnesses = [self.witnesses[0], self.proposed]

    def complete_change(self, term: int, witnesses: tuple[str, ...]) -> None:
        """Takes the outcome of a change of the witnesses in the same term.

        Renewals carry the new revision from here on; those that were sent
        under the earlier one came from the same process and still hold.
        """
        self.term = term
        self.witnesses = [witnesses]
        self.proposed = None

    def ends_ms(self) -> float:
        """When the lease ends without another renewal; 0 without a term."""
        if not self.term:
            return 0.0
        return min(self._ends_ms(group) for group in self.witnesses)

    def proposal_ready(self) -> bool:
        """Whether the proposed set has renewed as long as the present one."""
        if self.proposed is None:
            return False
        return self._ends_ms(self.proposed) >= self._ends_ms(self.witnesses[0])

    def witnesses_due(
        self, now_ms: float, solo_from_ms: float | None = None
    ) -> list[str]:
        """Witnesses to ask for a renewal now, in this order.

        Proposed ones come last: a round in which all renew must leave them no
        earlier than the present ones.

        Args:
          now_ms: the time.
          solo_from_ms: from when a term without witnesses counts; None is now.
        """
        if not self.term or now_ms < self.due_ms:
            return []
        self.due_ms = now_ms + RENEW_EVERY_MS
        if self.witnesses == [()] and self.proposed is None:
            # Not while witnesses are proposed: they could never catch up.
            from_ms = now_ms if solo_from_ms is None else solo_from_ms
            until_ms = from_ms + self.term_ms * (1.0 - 2.0 * DRIFT)
            self.solo_until_ms = max(self.solo_until_ms, until_ms)
        return self._in_order()

    def all_witnesses(self) -> set[str]:
        """All witnesses, proposed ones too."""
        return set(self._in_order())

    def on_renewed(self, witness: str, term: int, sent_ms: float) -> None:
        """Takes a witness's confirmation of a renewal sent at `sent_ms`."""
        if self.first_term <= term <= self.term:
            known_ms = self.renewed_ms.get(witness, 0.0)
            self.renewed_ms[witness] = max(known_ms, sent_ms)

    def _in_order(self) -> list[str]:
        groups = itertools.chain(*self.witnesses, self.proposed or ())
        return list(dict.fromkeys(groups))

    def _ends_ms(self, group: tuple[str, ...]) -> float:
        if not group:
            return self.solo_until_ms
        sent = sorted(
            (self.renewed_ms.get(witness, 0.0) for witness in group),
            reverse=True,
        )
        sent_ms = sent[majority(len(group)) - 1]
        if sent_ms <= 0.0:
            return 0.0
        return sent_ms + self.term_ms * (1.0 - 2.0 * DRIFT)


class WitnessedLease(msgspec.Struct):
    """A node that this witness renews.

    Attributes:
      renewed_ms: when it was last renewed; 0 if it was not.
      last_request_ms: when it last asked.
      sealed: terms up to this revision are over; 0 if none is.
      oldest_valid_term: terms below this revision are over, as a later record
        was read.
    """

    renewed_ms: float = 0.0
    last_request_ms: float = 0.0
    sealed: int = 0
    oldest_valid_term: int = 0


class Witness:
    """The witness's side.

    Attributes:
      term_ms: how long a renewal lasts.
      started_ms: start of this process.
      has_read_records: whether the records were read after the start.
      read_revision: the store's revision of that read. A node without a record
        then has no term up to it.
      era: terms of earlier eras of the store are over.
      era_ms: when this witness heard of that era.
      leases: by name of the node.
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
        """Takes a node's record whenever it is read."""
        watched = self.leases.setdefault(
            member.name, WitnessedLease(last_request_ms=now_ms)
        )
        watched.oldest_valid_term = max(watched.oldest_valid_term, revision)
        if member.state == model.MemberState.SEALING:
            watched.sealed = max(watched.sealed, revision)

    def on_records_read(self, revision: int) -> None:
        """Every record up to this revision of the store was taken."""
        if not self.has_read_records:
            self.has_read_records = True
            self.read_revision = revision

    def on_era(self, now_ms: float, era: int) -> None:
        """The store was restored: it may lack records that began terms."""
        if era > self.era:
            self.era = era
            self.era_ms = now_ms

    def on_renew(self, now_ms: float, name: str, term: int) -> bool:
        """Renews a node's lease, or not."""
        if not self.has_read_records:
            return False
        watched = self.leases.setdefault(name, WitnessedLease())
        watched.last_request_ms = now_ms
        if term <= watched.sealed or term < watched.oldest_valid_term:
            return False
        if coordination_store.era_of(term) < self.era:
            return False
        if not watched.oldest_valid_term and term <= self.read_revision:
            return False
        watched.renewed_ms = now_ms
        return True

    def on_seal(self, now_ms: float, name: str, revision: int) -> float | None:
        """Seals a node's terms up to a revision.

        Returns:
          What may be left of its last renewal in milliseconds, or None if
          this witness cannot tell yet.
        """
        if not self.has_read_records:
            return None
        watched = self.leases.setdefault(name, WitnessedLease())
        watched.sealed = max(watched.sealed, revision)
        # Before the restore the node may have had other witnesses.
        last_ms = max(watched.renewed_ms, self.started_ms, self.era_ms)
        return max(0.0, self.term_ms * (1.0 + DRIFT) - (now_ms - last_ms))

    def silent_ms(self, now_ms: float, name: str) -> float:
        """For how long a node has not asked for a renewal."""
        watched = self.leases.get(name)
        if watched is None:
            return now_ms - self.started_ms
        return now_ms - max(watched.last_request_ms, self.started_ms)

    def reset_silence(self, now_ms: float) -> None:
        """This process stood still; it is no wonder that it heard nothing."""
        for watched in self.leases.values():
            watched.last_request_ms = now_ms


class Sealing:
    """A takeover that this node leads.

    Attributes:
      name: node whose keys are taken.
      revision: revision of its sealed record.
      witnesses: its witnesses.
      leases_end_ms: when each witness's last renewal is over, by witness.
      began_ms: start of the takeover.
    """

    __slots__ = ("began_ms", "leases_end_ms", "name", "revision", "witnesses")

    def __init__(
        self, name: str, revision: int, witnesses: tuple, now_ms: float
    ):
        self.name = name
        self.revision = revision
        self.witnesses = witnesses
        self.leases_end_ms: dict[str, float] = {}
        self.began_ms = now_ms

    def on_sealed(self, now_ms: float, witness: str, left_ms: float) -> None:
        """Takes a witness's answer to a seal."""
        if witness in self.witnesses:
            self.leases_end_ms[witness] = now_ms + left_ms

    def missing(self) -> list[str]:
        """Witnesses that have not answered."""
        return [
            name for name in self.witnesses if name not in self.leases_end_ms
        ]

    def is_complete(self, now_ms: float) -> bool:
        """Whether every term of the node has ended for certain."""
        needed = majority(len(self.witnesses)) if self.witnesses else 0
        if len(self.leases_end_ms) < needed:
            return False
        return all(over_ms <= now_ms for over_ms in self.leases_end_ms.values())


def choose_witnesses(
    own: model.Member, members: dict[str, model.Member], alive: set[str]
) -> tuple[str, ...]:
    """Witnesses for a node: present ones that are alive, then other zones.

    The same count from each zone as far as possible, so that no zone holds a
    majority where there are three zones. Rendezvous hashing (Thaler and
    Ravishankar, 1998) gives each node others, so that the loss of a few hosts
    ends few leases and nobody renews them all.
    """
    kept = [name for name in own.witnesses if name in alive and name in members]
    chosen = kept[:WITNESSES_MAX]
    by_zone: dict[str, int] = {}
    for name in chosen:
        zone = members[name].zone
        by_zone[zone] = by_zone.get(zone, 0) + 1
    pool = [name for name in alive if name in members and name not in chosen]
    pool = [name for name in pool if name != own.name]
    quick = [name for name in pool if not members[name].has_slow_link()]
    if len(quick) >= WITNESSES_MAX - len(chosen):
        pool = quick
    while pool and len(chosen) < WITNESSES_MAX:
        best = min(
            pool,
            key=lambda name: (
                by_zone.get(members[name].zone, 0)
                + (members[name].zone == own.zone),
                xxhash.xxh64_intdigest(f"{own.name} {name}".encode()),
            ),
        )
        pool.remove(best)
        chosen.append(best)
        zone = members[best].zone
        by_zone[zone] = by_zone.get(zone, 0) + 1
    if len(chosen) % 2 == 0 and chosen:
        # An even count needs as many witnesses as the next odd one.
        chosen.pop()
    return tuple(sorted(chosen))
