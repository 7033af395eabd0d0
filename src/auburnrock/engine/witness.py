"""A witness: renews the leases of other nodes until it is asked to seal them.

A witness takes part in no consensus and persists nothing. It keeps in memory
when it last renewed each node and which nodes it has sealed.

A witness also detects silent nodes. One bad link must not end a healthy node,
so a witness acts only when a majority of the node's witnesses have reported to
each other that the node is silent. That costs no availability, since sealing
needs the same majority.
"""

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import timing as timing_module

SEALED_MAX = 4096
"""Number of sealed nodes that a witness remembers, to bound its memory.

At this number, a witness renews only the nodes that it has already renewed.
"""

RENEWED_MAX = 4096
"""Number of nodes that a witness renews, to bound its memory."""


class Watched(msgspec.Struct, kw_only=True):
    """A node whose record names this witness or an earlier incarnation of it.

    Attributes:
      record: the node's record.
      named_incarnation: the incarnation of this witness that the record names.
      rank: index of this witness in the record's list.
      last_contact_ms: when the witness last received a renewal of the node,
        or began to watch it.
      sealing_since_ms: when this witness first read the record as SEALING;
        None before.
      suspected_ms: when a suspicion of the node was last sent; None if none
        was sent since the last renewal.
      votes: when the vote of each witness that found the node silent expires,
        by the witness's incarnation.
    """

    record: records.NodeRecord
    named_incarnation: int
    rank: int
    last_contact_ms: int
    sealing_since_ms: int | None = None
    suspected_ms: int | None = None
    votes: dict[int, int] = {}


class Witness:
    """Renews and seals nodes, and determines which nodes are to be sealed.

    Attributes:
      name: name of this node.
      incarnation: this node's incarnation.
      timing: the timing settings of the fleet.
      watermark: revision of this node's replica; set by the caller.
      renewed_ms: when each node's lease was last renewed, by incarnation.
      sealed: incarnations of nodes that are never renewed again.
      watched: nodes whose record names this witness, by incarnation.
      last_tick_ms: time of the latest tick.
    """

    __slots__ = (
        "incarnation",
        "last_tick_ms",
        "name",
        "renewed_ms",
        "sealed",
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
        self.last_tick_ms = now_ms

    def on_renew(
        self, now_ms: int, renew: messages.Renew
    ) -> messages.RenewAnswer:
        """Renews a node's lease or refuses to."""
        watched = self.watched.get(renew.node)
        if watched is not None:
            watched.last_contact_ms = now_ms
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
        """Seals a node: this witness never renews it again.

        A seal may be addressed to an earlier process at this address. That
        process can receive no more renewals. It may have renewed until this
        process replaced it, so a full term is reported as remaining.

        Returns:
          The answer; None for a seal that is addressed to a later process
          than this one.
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
        """Records another witness's report that a node is silent."""
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
        """Applies a node's record that is new or has changed."""
        rank = self._rank(record)
        if rank is None or record.state is records.NodeState.ENDED:
            self.watched.pop(record.incarnation, None)
            return
        known = self.watched.get(record.incarnation)
        if known is None or known.record.witnesses != record.witnesses:
            known = Watched(
                record=record,
                named_incarnation=record.witnesses[rank].incarnation,
                rank=rank,
                last_contact_ms=now_ms,
            )
            self.watched[record.incarnation] = known
        known.record = record
        is_sealing = record.state is records.NodeState.SEALING
        if is_sealing and known.sealing_since_ms is None:
            known.sealing_since_ms = now_ms

    def on_record_deleted(self, incarnation: int) -> None:
        """Stops watching a node whose record was deleted."""
        self.watched.pop(incarnation, None)

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Reports silent nodes to their other witnesses."""
        pause_ms = now_ms - self.last_tick_ms
        self.last_tick_ms = now_ms
        if pause_ms > self.timing.renewal_interval_ms:
            # This process was paused and received nothing meanwhile:
            # renewals may be queued unread.
            self._reset_silence(now_ms)
        self._evict_expired_renewals(now_ms)
        issued: list[actions.Action] = []
        for watched in self.watched.values():
            issued.extend(self._suspicions(now_ms, watched))
        return issued

    def due(self, now_ms: int) -> list[int]:
        """Incarnations that this witness should seal now.

        These are the nodes that a majority of their witnesses find silent,
        and the nodes whose sealing another sealer began and may have
        abandoned.
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
        """Seals a node; returns the remaining ms of its last renewal."""
        is_full = len(self.sealed) >= SEALED_MAX
        if is_full and node not in self.sealed:
            # While the set is full, only nodes with a recorded renewal are
            # renewed, so removing the renewal seals this one. Its remaining
            # time is lost too, so a full term is returned.
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

    def _reset_silence(self, now_ms: int) -> None:
        for watched in self.watched.values():
            watched.last_contact_ms = now_ms
            watched.votes.clear()

    def _evict_expired_renewals(self, now_ms: int) -> None:
        """Evicts renewals without remaining time, to bound the memory.

        Sealed nodes are never evicted. When their set is full, renewals are
        not evicted either, because only nodes with a recorded renewal are
        renewed then.
        """
        if len(self.sealed) >= SEALED_MAX:
            return
        for node, renewed_ms in list(self.renewed_ms.items()):
            if self.timing.remaining_ms(now_ms - renewed_ms) == 0:
                del self.renewed_ms[node]

    def _silent_ms(self, now_ms: int, watched: Watched) -> int:
        return now_ms - watched.last_contact_ms

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
            watched.named_incarnation,
            watched.record.incarnation,
            self._silent_ms(now_ms, watched),
        )
        return [
            actions.SendDatagram(witness.incarnation, suspect)
            for witness in watched.record.witnesses
            if witness.incarnation != watched.named_incarnation
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
        silent.add(watched.named_incarnation)
        needed = timing_module.majority_of(len(watched.record.witnesses))
        return len(silent) >= needed
