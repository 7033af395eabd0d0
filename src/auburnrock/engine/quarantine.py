"""Quarantine of requests that crash the targets that run them.

A request is identified by its fingerprint, so that repeats by its caller are
the same request. When a target crashes, every request that it ran is a
suspect. The next time, a suspect runs alone, at any node that has its record:
if the target survives, the suspect is cleared; if the target crashes, no other
request can be the cause, and the fingerprint is quarantined for a bounded
time, longer with each crash. After a quarantine the request is a suspect again
and must run alone.

Bound: one fingerprint crashes at most 2 targets before its first quarantine,
and one more after each quarantine or suspicion that expired, provided that the
record of a crash reaches a node before the next attempt. Each attempt that
another node started before it received the record adds one target.

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
"""Time for which a record stays in the store after its suspicion ends, in ms,
for hosts whose clocks are behind."""

MAX_RECORDS = 4_096
NO_TICKET = -1
CLEARED = 0
"""Crash count of a record that ends a suspicion."""


class Verdict(enum.Enum):
    """How a request may run.

    FREE: the request may run beside others.
    ALONE: the request must run with nothing else running at the target.
    """

    FREE = enum.auto()
    ALONE = enum.auto()


def fingerprint(
    service: str, method: str, path: str, key: str, body: bytes
) -> str:
    """Returns the hash that identifies equal requests, 128 bits of XXH3."""
    head = f"{service}\0{method}\0{path}\0{key}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


class Quarantine:
    """Suspects and quarantined requests known to one node.

    Attributes:
      known: the latest record of each fingerprint.
      running: fingerprint of each request at the target by ticket number.
      alone_ticket: ticket number of the request that runs alone, or NO_TICKET.
      unsent: fingerprints whose record has not been sent to the peers.
    """

    __slots__ = ("alone_ticket", "known", "running", "unsent")

    def __init__(self):
        self.known: dict[str, records.QuarantineRecord] = {}
        self.running: dict[int, str] = {}
        self.alone_ticket = NO_TICKET
        self.unsent: dict[str, None] = {}

    def check(self, wall_ms: int, digest: str) -> Verdict | errors.Failure:
        """Decides whether and how a request with a fingerprint may run."""
        record = self.known.get(digest)
        if record is None or record.crashes == CLEARED:
            return Verdict.FREE
        if record.expires_at_ms > wall_ms and is_quarantined(record):
            left_ms = record.expires_at_ms - wall_ms
            return errors.Failure(
                errors.ErrorKind.QUARANTINED,
                f"the target crashed {record.crashes} times while it ran"
                f" this request; it is refused for another {left_ms} ms",
                left_ms,
            )
        if wall_ms >= suspicion_ends_ms(record):
            return Verdict.FREE
        return Verdict.ALONE

    def started(self, ticket: int, digest: str, alone: bool) -> None:
        """Records a request that is sent to the target.

        A request that should run alone but does not, for example because an
        earlier request to a replaced target has not ended yet, counts as
        running beside others: how it ends neither clears nor quarantines it.
        """
        if self.running:
            alone = False
            self.alone_ticket = NO_TICKET
        self.running[ticket] = digest
        if alone:
            self.alone_ticket = ticket

    def finished(self, wall_ms: int, ticket: int, survived: bool) -> None:
        """Records the end of a request at a target that did not crash.

        Args:
          wall_ms: the current wall-clock time.
          ticket: ticket number of the request; ignored if a crash has ended
            the request.
          survived: whether the target sent a complete answer. A request that
            was cancelled or timed out proves nothing and is not cleared.
        """
        digest = self.running.pop(ticket, None)
        alone = ticket == self.alone_ticket
        if alone:
            self.alone_ticket = NO_TICKET
        if alone and survived and digest in self.known:
            expires_at_ms = wall_ms + SUSPECT_FOR_MS
            self._store(
                records.QuarantineRecord(
                    fingerprint=digest,
                    crashes=CLEARED,
                    expires_at_ms=expires_at_ms,
                )
            )

    def crashed(self, wall_ms: int) -> list[records.QuarantineRecord]:
        """Records that the target crashed; its requests become suspects.

        Returns the new records. The shell sends them to the entries of the
        lost requests before it reports the loss, so that an entry that retries
        a request can forward the record to the next node.
        """
        changed = []
        for ticket, digest in self.running.items():
            alone = ticket == self.alone_ticket
            record = self._after_crash(wall_ms, digest, alone)
            self._store(record)
            changed.append(record)
        self.running.clear()
        self.alone_ticket = NO_TICKET
        return changed

    def merge(self, wall_ms: int, record: records.QuarantineRecord) -> bool:
        """Merges a record of a peer or the store; True if it was stored."""
        record = _clamped(wall_ms, record)
        known = self.known.get(record.fingerprint)
        if wall_ms >= suspicion_ends_ms(record) or not _supersedes(
            record, known
        ):
            return False
        self._store(record, is_own=False)
        return True

    def take_unsent(self) -> list[records.QuarantineRecord]:
        """Returns this node's own records changed since the last call.

        Records of other nodes are sent by the node that made them.
        """
        digests = list(self.unsent)
        self.unsent.clear()
        return [
            self.known[digest] for digest in digests if digest in self.known
        ]

    def expire(self, wall_ms: int) -> None:
        """Removes the records whose suspicion has ended."""
        for digest, record in list(self.known.items()):
            if wall_ms >= suspicion_ends_ms(record):
                del self.known[digest]

    def _after_crash(
        self, wall_ms: int, digest: str, alone: bool
    ) -> records.QuarantineRecord:
        known = self.known.get(digest)
        before = known.crashes if known is not None else CLEARED
        # A crash while others ran does not prove which request caused it,
        # however often it happens; only a crash while the request ran alone
        # raises its count to CRASHES_TO_QUARANTINE.
        crashes = before + 1 if alone else max(before, 1)
        ends_ms = wall_ms + quarantine_ms(crashes)
        return records.QuarantineRecord(
            fingerprint=digest,
            crashes=crashes,
            expires_at_ms=ends_ms,
        )

    def _store(
        self, record: records.QuarantineRecord, is_own: bool = True
    ) -> None:
        self.known.pop(record.fingerprint, None)
        if len(self.known) >= MAX_RECORDS:
            oldest = min(
                self.known.values(),
                key=lambda each: (is_quarantined(each), each.expires_at_ms),
            )
            del self.known[oldest.fingerprint]
        self.known[record.fingerprint] = record
        if is_own:
            self.unsent[record.fingerprint] = None


def is_quarantined(record: records.QuarantineRecord) -> bool:
    """Whether a record that has not expired quarantines its request."""
    return record.crashes >= CRASHES_TO_QUARANTINE


def quarantine_ms(crashes: int) -> int:
    """Returns how long a record with a number of crashes lasts."""
    if crashes < CRASHES_TO_QUARANTINE:
        return SUSPECT_FOR_MS
    doublings = min(crashes - CRASHES_TO_QUARANTINE, 16)
    return min(LONGEST_QUARANTINE_MS, FIRST_QUARANTINE_MS << doublings)


def suspicion_ends_ms(record: records.QuarantineRecord) -> int:
    """Returns when a record has no effect any more."""
    if is_quarantined(record):
        return record.expires_at_ms + SUSPECT_FOR_MS
    return record.expires_at_ms


def is_obsolete(record: records.QuarantineRecord, wall_ms: int) -> bool:
    """Whether a record may be removed from the store.

    It may once it has no effect even at hosts whose clocks are behind by
    REMOVED_AFTER_MS.
    """
    return wall_ms >= suspicion_ends_ms(record) + REMOVED_AFTER_MS


def _clamped(
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


def _supersedes(
    record: records.QuarantineRecord,
    known: records.QuarantineRecord | None,
) -> bool:
    """Whether a record replaces the known one.

    The crash count only grows while a suspicion lasts; a CLEARED record ends a
    suspicion that began before it.
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
