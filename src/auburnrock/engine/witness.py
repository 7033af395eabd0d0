"""A witness: renews the leases of other nodes and stops when told to.

It agrees to nothing and stores nothing. It remembers when it last renewed
each node, and which nodes it has sealed.

It also notices silent nodes. One bad link must not end a healthy node, so a
witness acts only when a majority of the node's witnesses have told each other
that they find it silent. That costs no availability: sealing needs the same
majority.
"""

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import timing as timing_module

SEALED_MAX = 4096
"""When so many nodes are sealed, only nodes renewed before are renewed."""

RENEWED_MAX = 4096
"""How many nodes a witness renews."""


class Watched(msgspec.Struct, kw_only=True):
    """A node whose record names this witness, or an earlier start of it.

    Attributes:
      record: the node's record.
      named: the incarnation by which the record names this witness.
      rank: place of this witness in the record.
      heard_ms: when a renewal last came, or watching began.
      sealing_since_ms: when the record was first seen SEALING; None before.
      suspected_ms: when a suspicion was last sent; None if it is not silent.
      votes: witnesses that find it silent, and until when that counts.
    """

    record: records.NodeRecord
    named: int
    rank: int
    heard_ms: int
    sealing_since_ms: int | None = None
    suspected_ms: int | None = None
    votes: dict[int, int] = {}


class Witness:
    """Renews, seals, and says which nodes are due for sealing.

    Attributes:
      name: name of this node.
      incarnation: this node's incarnation.
      watermark: revision of this node's replica; set by its owner.
      renewed_ms: when each node's lease was last renewed.
      sealed: nodes that are never renewed again.
      watched: nodes whose record names this witness, by incarnation.
      ticked_ms: time of the latest tick.
    """

    __slots__ = (
        "incarnation",
        "name",
        "renewed_ms",
        "sealed",
        "ticked_ms",
        "timing",
        "watched",
        "watermark",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        timing: timing_module.Timing,
        now_ms: int,
    ):
        self.name = name
        self.incarnation = incarnation
        self.timing = timing
        self.watermark = 0
        self.renewed_ms: dict[int, int] = {}
        self.sealed: set[int] = set()
        self.watched: dict[int, Watched] = {}
        self.ticked_ms = now_ms

    def on_renew(
        self, now_ms: int, renew: messages.Renew
    ) -> messages.RenewAnswer:
        """Renews a node's lease, or refuses."""
        watched = self.watched.get(renew.node)
        if watched is not None:
            watched.heard_ms = now_ms
            watched.suspected_ms = None
        renewed = self._may_renew(renew)
        if renewed:
            self.renewed_ms[renew.node] = now_ms
        return messages.RenewAnswer(
            self.incarnation,
            renew.node,
            renew.sequence,
            renewed,
            self.watermark,
        )

    def on_seal(
        self, now_ms: int, seal: messages.Seal
    ) -> messages.SealAnswer | None:
        """Seals a node: from now on it is never renewed here.

        If an earlier process is meant, it has lost this address to this one,
        and with it every renewal that is still to come. It may have renewed
        until then, so a whole term may be left.

        Returns:
          None for a seal that means a later process than this one.
        """
        if seal.witness > self.incarnation:
            return None
        if seal.witness < self.incarnation:
            return messages.SealAnswer(
                seal.witness,
                seal.node,
                seal.attempt,
                self.timing.lease_term_ms,
                True,
            )
        remaining_ms = self._seal(now_ms, seal.node)
        return messages.SealAnswer(
            self.incarnation, seal.node, seal.attempt, remaining_ms, False
        )

    def on_suspect(self, now_ms: int, suspect: messages.Suspect) -> None:
        """Counts another witness's finding that a node is silent."""
        watched = self.watched.get(suspect.node)
        if watched is None:
            return
        is_witness = any(
            witness.incarnation == suspect.witness
            for witness in watched.record.witnesses
        )
        if is_witness and suspect.silent_ms >= self.timing.silence_limit_ms:
            valid_until_ms = now_ms + self.timing.silence_limit_ms
            watched.votes[suspect.witness] = valid_until_ms

    def on_record(self, now_ms: int, record: records.NodeRecord) -> None:
        """Takes a node's record whenever it is new or changed."""
        rank = self._rank(record)
        if rank is None or record.state is records.NodeState.ENDED:
            self.watched.pop(record.incarnation, None)
            return
        known = self.watched.get(record.incarnation)
        if known is None or known.record.witnesses != record.witnesses:
            known = Watched(
                record=record,
                named=record.witnesses[rank].incarnation,
                rank=rank,
                heard_ms=now_ms,
            )
            self.watched[record.incarnation] = known
        known.record = record
        is_sealing = record.state is records.NodeState.SEALING
        if is_sealing and known.sealing_since_ms is None:
            known.sealing_since_ms = now_ms

    def on_record_deleted(self, incarnation: int) -> None:
        """Takes the deletion of a node's record."""
        self.watched.pop(incarnation, None)

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Sends the suspicions of silent nodes to their other witnesses."""
        pause_ms = now_ms - self.ticked_ms
        self.ticked_ms = now_ms
        if pause_ms > self.timing.renewal_interval_ms:
            # This process stood still, so it is no wonder that it heard
            # nothing: what came meanwhile may still wait to be read.
            self._start_listening_again(now_ms)
        self._forget_old_renewals(now_ms)
        asked: list[actions.Action] = []
        for watched in self.watched.values():
            asked.extend(self._suspicions(now_ms, watched))
        return asked

    def due(self, now_ms: int) -> list[int]:
        """Incarnations that this witness should seal now.

        Those that a majority of their witnesses find silent, and those whose
        sealing another sealer began and may have left behind.
        """
        return [
            incarnation
            for incarnation, watched in self.watched.items()
            if self._is_due(now_ms, watched)
        ]

    def _may_renew(self, renew: messages.Renew) -> bool:
        if renew.witness != self.incarnation:
            return False
        if renew.node in self.sealed:
            return False
        if renew.node in self.renewed_ms:
            return True
        has_room = len(self.renewed_ms) < RENEWED_MAX
        return has_room and len(self.sealed) < SEALED_MAX

    def _seal(self, now_ms: int, node: int) -> int:
        """Seals a node and returns what its last renewal has left."""
        is_full = len(self.sealed) >= SEALED_MAX
        if is_full and node not in self.sealed:
            # Without a renewal on record it is never renewed again, as none
            # but those on record are. How much was left is forgotten too.
            self.renewed_ms.pop(node, None)
            return self.timing.lease_term_ms
        self.sealed.add(node)
        renewed_ms = self.renewed_ms.get(node)
        if renewed_ms is None:
            return 0
        return self.timing.remaining_ms(now_ms - renewed_ms)

    def _rank(self, record: records.NodeRecord) -> int | None:
        for rank, witness in enumerate(record.witnesses):
            is_later = witness.incarnation > self.incarnation
            if witness.name == self.name and not is_later:
                return rank
        return None

    def _start_listening_again(self, now_ms: int) -> None:
        for watched in self.watched.values():
            watched.heard_ms = now_ms
            watched.votes.clear()

    def _forget_old_renewals(self, now_ms: int) -> None:
        """Drops what has no time left, so that the memory stays bounded.

        A sealed node keeps its place among the sealed; only when that is full
        must the renewed ones be kept, as no others are renewed then.
        """
        if len(self.sealed) >= SEALED_MAX:
            return
        for node, renewed_ms in list(self.renewed_ms.items()):
            if self.timing.remaining_ms(now_ms - renewed_ms) == 0:
                del self.renewed_ms[node]

    def _silent_ms(self, now_ms: int, watched: Watched) -> int:
        return now_ms - watched.heard_ms

    def _is_silent(self, now_ms: int, watched: Watched) -> bool:
        silent_ms = self._silent_ms(now_ms, watched)
        return silent_ms >= self.timing.silence_limit_ms

    def _suspicions(
        self, now_ms: int, watched: Watched
    ) -> list[actions.Action]:
        if not self._is_silent(now_ms, watched):
            return []
        sent_ms = watched.suspected_ms
        repeat_ms = self.timing.seal_repeat_ms
        if sent_ms is not None and now_ms - sent_ms < repeat_ms:
            return []
        watched.suspected_ms = now_ms
        suspect = messages.Suspect(
            watched.named,
            watched.record.incarnation,
            self._silent_ms(now_ms, watched),
        )
        return [
            actions.SendDatagram(witness.incarnation, suspect)
            for witness in watched.record.witnesses
            if witness.incarnation != watched.named
        ]

    def _is_due(self, now_ms: int, watched: Watched) -> bool:
        rank_ms = watched.rank * self.timing.rank_delay_ms
        if watched.sealing_since_ms is not None:
            since_ms = now_ms - watched.sealing_since_ms
            return since_ms >= rank_ms + self.timing.rank_delay_ms
        limit_ms = self.timing.silence_limit_ms + rank_ms
        if self._silent_ms(now_ms, watched) < limit_ms:
            return False
        silent = {
            witness
            for witness, until_ms in watched.votes.items()
            if now_ms < until_ms
        }
        silent.add(watched.named)
        needed = timing_module.majority_of(len(watched.record.witnesses))
        return len(silent) >= needed
