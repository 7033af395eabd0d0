"""Quarantine of requests that crash the targets that run them.

A request is known by its fingerprint, so that its caller's repeats are the
same request. When a target crashes, every request that it ran is a suspect.
A suspect runs alone the next time, at any node that has heard of it: if the
target survives, it is cleared; if it crashes, no other request can be to
blame, and the fingerprint is quarantined for a bounded time, longer with each
crash. After a quarantine the request is a suspect again and must run alone.

Bound: one fingerprint takes down at most 2 targets before its first
quarantine, and one more after each quarantine or suspicion that ran out,
provided that the record of a crash reaches a node before the next attempt.
Attempts that other nodes started before they heard of the crash add one
target each.

Times are wall-clock, since the records are shared between hosts. A record
from a host whose clock is ahead is cut to the longest time allowed here.
"""

import enum

import xxhash

from auburnrock import errors
from auburnrock import records

SUSPECT_FOR_MS = 600_000
FIRST_QUARANTINE_MS = 60_000
LONGEST_QUARANTINE_MS = 600_000
CRASHES_TO_QUARANTINE = 2
REMOVED_AFTER_MS = 60_000
"""How long after its end a record stays in the store, for slow clocks."""

MOST_RECORDS = 4_096
NO_TICKET = -1
CLEARED = 0
"""Number of crashes in a record that ends a suspicion."""


class Verdict(enum.Enum):
    """How a request may run.

    FREE: beside others.
    ALONE: with nothing else running at the target.
    """

    FREE = enum.auto()
    ALONE = enum.auto()


def fingerprint(
    service: str, method: str, path: str, key: str, body: bytes
) -> str:
    """Hash of what makes two requests the same; 128 bits of XXH3."""
    head = f"{service}\0{method}\0{path}\0{key}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


class Quarantine:
    """Suspects and quarantined requests as one node knows them.

    Attributes:
      known: the latest record of each fingerprint.
      running: fingerprint of each request at the target by ticket number.
      alone_ticket: ticket of the one that runs alone, or NO_TICKET.
      unspread: fingerprints whose record peers have not been given.
    """

    __slots__ = ("alone_ticket", "known", "running", "unspread")

    def __init__(self):
        self.known: dict[str, records.QuarantineRecord] = {}
        self.running: dict[int, str] = {}
        self.alone_ticket = NO_TICKET
        self.unspread: dict[str, None] = {}

    def check(self, wall_ms: int, mark: str) -> Verdict | errors.Failure:
        """Whether the request with this fingerprint may run, and how."""
        record = self.known.get(mark)
        if record is None or record.crashes == CLEARED:
            return Verdict.FREE
        if record.expires_at_ms > wall_ms and is_quarantined(record):
            left_ms = record.expires_at_ms - wall_ms
            return errors.Failure(
                errors.ErrorKind.QUARANTINED,
                f"the target crashed {record.crashes} times while it ran"
                f" this request; it is refused for {left_ms} ms more",
                left_ms,
            )
        if wall_ms >= suspicion_ends_ms(record):
            return Verdict.FREE
        return Verdict.ALONE

    def started(self, ticket: int, mark: str, alone: bool) -> None:
        """Notes a request that is sent to the target.

        One that was to run alone and does not, as when an earlier request to
        a replaced target has not ended yet, counts as one beside others: it
        is neither cleared nor convicted by how it ends.
        """
        if self.running:
            alone = False
            self.alone_ticket = NO_TICKET
        self.running[ticket] = mark
        if alone:
            self.alone_ticket = ticket

    def finished(self, wall_ms: int, ticket: int, survived: bool) -> None:
        """Notes the end of a request at a target that lives on.

        Args:
          wall_ms: the time.
          ticket: number of the request; unknown after a crash.
          survived: whether the target gave a whole answer. A request that
            was cancelled or timed out proves nothing and clears nobody.
        """
        mark = self.running.pop(ticket, None)
        alone = ticket == self.alone_ticket
        if alone:
            self.alone_ticket = NO_TICKET
        if alone and survived and mark in self.known:
            expires_at_ms = wall_ms + SUSPECT_FOR_MS
            self._put(
                records.QuarantineRecord(
                    fingerprint=mark,
                    crashes=CLEARED,
                    expires_at_ms=expires_at_ms,
                )
            )

    def crashed(self, wall_ms: int) -> list[records.QuarantineRecord]:
        """The target ended unasked; what it ran is suspect.

        Returns the new records. The shell gives them to the entries of the
        lost requests before it reports the loss, so that an entry that sends
        one again can tell the next node.
        """
        changed = []
        for ticket, mark in self.running.items():
            alone = ticket == self.alone_ticket
            record = self._after_crash(wall_ms, mark, alone)
            self._put(record)
            changed.append(record)
        self.running.clear()
        self.alone_ticket = NO_TICKET
        return changed

    def learn(self, wall_ms: int, record: records.QuarantineRecord) -> bool:
        """Takes a record from a peer or the store; True if it was news."""
        record = _bounded(wall_ms, record)
        known = self.known.get(record.fingerprint)
        if wall_ms >= suspicion_ends_ms(record) or not _replaces(record, known):
            return False
        self._put(record, is_own=False)
        return True

    def records_to_spread(self) -> list[records.QuarantineRecord]:
        """Own records that are news since the last call.

        Learnt ones are spread by the node that they come from.
        """
        marks = list(self.unspread)
        self.unspread.clear()
        return [self.known[mark] for mark in marks if mark in self.known]

    def expire(self, wall_ms: int) -> None:
        """Forgets the records that have run out."""
        for mark, record in list(self.known.items()):
            if wall_ms >= suspicion_ends_ms(record):
                del self.known[mark]

    def _after_crash(
        self, wall_ms: int, mark: str, alone: bool
    ) -> records.QuarantineRecord:
        known = self.known.get(mark)
        before = known.crashes if known is not None else CLEARED
        # Beside others, a crash proves nothing against one request however
        # often it happens; only a crash while alone counts towards two.
        crashes = before + 1 if alone else max(before, 1)
        ends_ms = wall_ms + quarantine_ms(crashes)
        return records.QuarantineRecord(
            fingerprint=mark,
            crashes=crashes,
            expires_at_ms=ends_ms,
        )

    def _put(
        self, record: records.QuarantineRecord, is_own: bool = True
    ) -> None:
        self.known.pop(record.fingerprint, None)
        if len(self.known) >= MOST_RECORDS:
            oldest = min(
                self.known.values(),
                key=lambda kept: (is_quarantined(kept), kept.expires_at_ms),
            )
            del self.known[oldest.fingerprint]
        self.known[record.fingerprint] = record
        if is_own:
            self.unspread[record.fingerprint] = None


def is_quarantined(record: records.QuarantineRecord) -> bool:
    """Whether a record that has not expired bars its request."""
    return record.crashes >= CRASHES_TO_QUARANTINE


def quarantine_ms(crashes: int) -> int:
    """How long a record with so many crashes lasts."""
    if crashes < CRASHES_TO_QUARANTINE:
        return SUSPECT_FOR_MS
    doublings = min(crashes - CRASHES_TO_QUARANTINE, 16)
    return min(LONGEST_QUARANTINE_MS, FIRST_QUARANTINE_MS << doublings)


def suspicion_ends_ms(record: records.QuarantineRecord) -> int:
    """When a record says nothing any more."""
    if is_quarantined(record):
        return record.expires_at_ms + SUSPECT_FOR_MS
    return record.expires_at_ms


def says_nothing(record: records.QuarantineRecord, wall_ms: int) -> bool:
    """Whether a record may be removed by any clock within the margin."""
    return wall_ms >= suspicion_ends_ms(record) + REMOVED_AFTER_MS


def _bounded(
    wall_ms: int, record: records.QuarantineRecord
) -> records.QuarantineRecord:
    latest_ms = wall_ms + quarantine_ms(record.crashes)
    if record.expires_at_ms <= latest_ms:
        return record
    return records.QuarantineRecord(
        fingerprint=record.fingerprint,
        crashes=record.crashes,
        expires_at_ms=latest_ms,
    )


def _replaces(
    record: records.QuarantineRecord,
    known: records.QuarantineRecord | None,
) -> bool:
    """Whether a record is to be kept instead of the known one.

    Crashes only grow while a suspicion lasts; a clearing ends what began
    before it.
    """
    if known is None:
        return True
    if CLEARED in (record.crashes, known.crashes):
        return _began_ms(record) > _began_ms(known)
    return (record.crashes, record.expires_at_ms) > (
        known.crashes,
        known.expires_at_ms,
    )


def _began_ms(record: records.QuarantineRecord) -> int:
    return record.expires_at_ms - quarantine_ms(record.crashes)
