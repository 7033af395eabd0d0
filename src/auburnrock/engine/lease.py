"""The holder's side of a node's lease, and the node's own store record.

The lease is not in the store. The store's record names the node's witnesses,
and the lease is live while a majority of them has renewed it: a form of
leases (Gray and Cheriton, 1989) granted by a majority. A renewal is valid from
the time it was sent, for a term less the drift of clocks.

While a change of the witnesses is unresolved, a majority of the old set and a
majority of the new set are needed: two sets that differ by one member can have
majorities that share no witness, and a sealer could then seal witnesses other
than those that renew the lease.

A lease also bounds the target's grant, which lasts until the end of the lease
even if this process dies. With new witnesses that have renewed nothing, a
sealer would not have to wait for that end, so new witnesses are written only
after they have renewed for at least as long as the old ones.
"""

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import backoff
from auburnrock.engine import chart
from auburnrock.engine import keys
from auburnrock.engine import preferred_witnesses
from auburnrock.engine import renewals as renewals_module
from auburnrock.engine import store_write
from auburnrock.engine import timing as timing_module
from auburnrock.engine import witness_choice
from auburnrock.store import base as platform_base

_CHART = chart.load("lease.json")
_LEASED_STATES = frozenset({"active", "preparing", "changing"})
_WRITABLE_STATES = frozenset({"joining", "active", "preparing"})
_TERMINAL_STATES = frozenset(
    {records.NodeState.SEALING, records.NodeState.ENDED}
)


class Holder:
    """A node's lease and record, for one incarnation.

    The shell calls `tick` at least every 50 ms and passes in answers, the
    node's own record whenever it is read, and the nodes to choose witnesses
    from.

    Attributes:
      record: the record as the store last confirmed it.
      revision: the store's revision of `record`; 0 before it exists.
      desired: the record that the holder is to bring the store to.
      write: the change in progress; None if there is none.
      writing: the record that `write` writes.
      state: state of the chart in lease.json.
      leaving: whether the node itself has given up its lease.
      watermark: revision of this node's replica; set by the caller.
      preferred: chooses the witnesses for `desired`.
      prepared: new witnesses that renew the lease before the record names
        them.
      unwitnessed_until_ms: end of the lease while the node has no witness.
        No other node can take the shards of such a node, but its grants must
        end when it gets a witness.
    """

    __slots__ = (
        "backoff",
        "desired",
        "last_tick_ms",
        "leaving",
        "next_change_ms",
        "preferred",
        "prepared",
        "record",
        "renewals",
        "retry_at_ms",
        "revision",
        "state",
        "timing",
        "unwitnessed_until_ms",
        "watermark",
        "write",
        "write_count",
        "writing",
    )

    def __init__(
        self,
        record: records.NodeRecord,
        timing: timing_module.Timing,
        now_ms: int,
        nodes: list[records.NodeRecord],
    ):
        """Prepares the holder of a new incarnation.

        Args:
          record: the new incarnation's record, without witnesses.
          timing: the timing settings of the fleet.
          now_ms: time on the boot-time clock, in milliseconds.
          nodes: the records of all known nodes.
        """
        self.timing = timing
        self.record = record
        self.revision = 0
        self.desired = msgspec.structs.replace(record)
        self.write: store_write.StoreWrite | None = None
        self.writing: records.NodeRecord | None = None
        self.write_count = 0
        self.state = _CHART.initial
        self.leaving = False
        self.watermark = 0
        self.preferred = preferred_witnesses.PreferredWitnesses(nodes)
        self.prepared: list[records.Witness] = []
        self.unwitnessed_until_ms = 0
        self.renewals = renewals_module.Renewals(timing)
        self.next_change_ms = now_ms
        self.retry_at_ms = now_ms
        self.backoff = backoff.Backoff(
            timing.store_retry_ms, f"{record.name} lease"
        )
        self.last_tick_ms = now_ms
        self._choose_witnesses()

    @property
    def ended(self) -> bool:
        """Whether this incarnation can never be live again."""
        return self.leaving or _CHART.is_final(self.state)

    @property
    def gaps(self) -> list[witness_choice.Gap]:
        """Failures that the present choice of witnesses does not tolerate."""
        return self.preferred.gaps

    def live(self, now_ms: int) -> bool:
        """Whether the lease is valid at this moment."""
        return now_ms < self.expires_at_ms()

    def expires_at_ms(self) -> int:
        """When the lease ends without another renewal; 0 if it has ended.

        No other node takes a shard before this time, even if this process
        dies.
        """
        if self.ended or self.state not in _LEASED_STATES:
            return 0
        return min(
            self._renewed_until_ms(witnesses)
            for witnesses in self.witness_sets()
        )

    def witness_sets(self) -> list[list[records.Witness]]:
        """The witness sets that must each renew by a majority."""
        if self.writing is None or self.state != "changing":
            return [self.record.witnesses]
        return [self.record.witnesses, self.writing.witnesses]

    def set_nodes(self, nodes: list[records.NodeRecord]) -> None:
        """Applies the known records; call it when one of them has changed."""
        self.preferred.nodes = nodes
        self._choose_witnesses()

    def set_target(
        self,
        service: str,
        address: str,
        incarnation: str,
        checks_grants: bool,
    ) -> None:
        """Applies what the target beside this node announced.

        `record` contains it once the store has confirmed the write. Until
        then a sealer does not know of this target, so the target may serve
        nothing.
        """
        self.desired.service = service
        self.desired.target_address = address
        self.desired.target_incarnation = incarnation
        self.desired.checks_grants = checks_grants

    def drain(self) -> None:
        """Marks the node as DRAINING; its lease continues to be renewed."""
        if self.desired.state is records.NodeState.ACTIVE:
            self.desired.state = records.NodeState.DRAINING

    def leave(self) -> None:
        """Gives up the lease permanently, then writes ENDED to the record.

        The caller uses it for a planned stop, when the node owns no shards
        and nothing runs.
        """
        self.leaving = True
        self.desired.state = records.NodeState.ENDED

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Renews the lease, replaces silent witnesses and writes the record."""
        pause_ms = now_ms - self.last_tick_ms
        self.last_tick_ms = now_ms
        if pause_ms > self.timing.renewal_interval_ms:
            # This process was paused; answers may be queued unread.
            self.renewals.reset_silence(now_ms)
        if _CHART.is_final(self.state):
            return []
        if self.state != "preparing":
            self.unwitnessed_until_ms = now_ms + self.timing.holder_term_ms()
        issued = self._renew(now_ms)
        self._avoid_silent_witnesses(now_ms)
        if self.write is not None:
            return issued + self.write.tick(now_ms)
        return issued + self._write_if_needed(now_ms)

    def on_renew_answer(
        self, now_ms: int, answer: messages.RenewAnswer
    ) -> list[actions.Action]:
        """Handles a witness's answer to a renewal."""
        if answer.node != self.record.incarnation:
            return []
        verdict = self.renewals.on_answer(now_ms, answer)
        if verdict is renewals_module.Verdict.GONE:
            self._avoid(now_ms, self.renewals.addressed_witness(answer))
        if verdict is renewals_module.Verdict.SEALED:
            # The record shows whether the sealing applies to all witnesses.
            self._avoid(now_ms, answer.witness)
            key = records.node_key(self.record.name, self.record.incarnation)
            return [actions.Read(self._read_token(), key)]
        return []

    def owns(self, token: str) -> bool:
        """Whether the token of a store result belongs to this holder."""
        if token == self._read_token():
            return True
        return self.write is not None and self.write.owns(token)

    def on_result(
        self, now_ms: int, result: actions.StoreResult
    ) -> list[actions.Action]:
        """Handles the result of a store call."""
        if result.token == self._read_token():
            if result.outcome is actions.StoreOutcome.DONE:
                self.on_record(now_ms, result.current)
            return []
        if self.write is None or not self.write.owns(result.token):
            return []
        issued, outcome = self.write.on_result(now_ms, result)
        if outcome is not None:
            self._on_outcome(now_ms, outcome)
        return issued

    def on_record(
        self, now_ms: int, current: platform_base.Value | None
    ) -> None:
        """Handles the node's own record as read; None if it was deleted.

        A revision older than the known one is ignored.
        """
        if _CHART.is_final(self.state):
            return
        if current is None or current.data is None:
            # A missing record is expected until it has been created.
            if self.revision > 0:
                self._apply(now_ms, "ended", None)
            return
        if current.revision <= self.revision:
            return
        record = records.try_decode_node(current.data)
        # A sealer cannot use an undecodable record, so the lease continues
        # with the known witnesses.
        if record is not None:
            event = "ended" if record.state in _TERMINAL_STATES else "seen"
            self._apply(now_ms, event, current)

    def _renew(self, now_ms: int) -> list[actions.Action]:
        groups = self.witness_sets()
        if self.state == "preparing":
            groups.append(self.prepared)
        witnesses = {
            witness.incarnation for group in groups for witness in group
        }
        if self.state not in _LEASED_STATES or self.ended:
            return []
        sequences = self.renewals.due(now_ms, witnesses)
        node = self.record.incarnation
        return [
            actions.SendDatagram(
                witness,
                messages.Renew(node, witness, sequence, self.watermark),
            )
            for witness, sequence in sequences.items()
        ]

    def _avoid_silent_witnesses(self, now_ms: int) -> None:
        for witness in self.renewals.silent_witnesses(now_ms):
            if witness not in self.preferred.avoided_until_ms:
                self._avoid(now_ms, witness)
        if self.preferred.expire_avoided(now_ms):
            self._choose_witnesses()

    def _avoid(self, now_ms: int, witness: int) -> None:
        self.preferred.avoid(now_ms, witness)
        self._choose_witnesses()

    def _choose_witnesses(self) -> None:
        was_pending = self.desired.witnesses != self.record.witnesses
        self.desired.witnesses = self.preferred.choose(self.record)
        if self.desired.witnesses == self.record.witnesses:
            return
        if not self.preferred.majority_is_usable(self.record):
            self.next_change_ms = self.last_tick_ms
        elif not was_pending:
            # The majority still renews, so the write can wait. When a zone is
            # lost, the writes of all nodes that lost one witness must not
            # delay the store writes that end the lost nodes.
            spread_ms = self.timing.witness_change_interval_ms
            delay_ms = keys.hash_of(self.record.name) % spread_ms
            due_ms = self.last_tick_ms + delay_ms
            self.next_change_ms = max(self.next_change_ms, due_ms)

    def _write_if_needed(self, now_ms: int) -> list[actions.Action]:
        if self.state not in _WRITABLE_STATES or now_ms < self.retry_at_ms:
            return []
        if self.state == "preparing":
            return self._write_when_prepared(now_ms)
        if self.revision > 0 and not self._change_is_due(now_ms):
            return []
        if self._must_prepare():
            self._apply(now_ms, "prepare", None)
            return []
        self._apply(now_ms, "write", None)
        return self.write.start(now_ms)

    def _must_prepare(self) -> bool:
        """Whether the change could end the lease before an issued grant."""
        if self.revision == 0 or self.leaving:
            return False
        return self.desired.witnesses != self.record.witnesses

    def _write_when_prepared(self, now_ms: int) -> list[actions.Action]:
        if self.desired.witnesses != self.prepared:
            self._apply(now_ms, "withdraw", None)
            return []
        if not self.leaving and not self._is_prepared(now_ms):
            return []
        self._apply(now_ms, "write", None)
        return self.write.start(now_ms)

    def _is_prepared(self, now_ms: int) -> bool:
        """Whether no grant outlasts the renewals of the new witnesses.

        No earlier grant ends after the present end of the lease: that end
        never moves back while the witnesses stay the same, and it was no
        later than the present one before they were written.
        """
        if not self.prepared:
            return True
        lease_end_ms = self.expires_at_ms()
        if self.record.witnesses and lease_end_ms <= now_ms:
            return True
        return self._renewed_until_ms(self.prepared) >= lease_end_ms

    def _renewed_until_ms(self, witnesses: list[records.Witness]) -> int:
        if not witnesses:
            return self.unwitnessed_until_ms
        return self.renewals.expires_at_ms(witnesses)

    def _change_is_due(self, now_ms: int) -> bool:
        """Whether the record differs from `desired` and may be changed now.

        Only changes of nothing but the witnesses are rate-limited.
        """
        with_known_witnesses = msgspec.structs.replace(
            self.desired,
            writer=self.record.writer,
            witness_version=self.record.witness_version,
            witnesses=self.record.witnesses,
        )
        if with_known_witnesses != self.record:
            return True
        if now_ms < self.next_change_ms:
            return False
        return self.desired.witnesses != self.record.witnesses

    def _apply(
        self,
        now_ms: int,
        event: str,
        current: platform_base.Value | None,
    ) -> None:
        transition = _CHART.next(self.state, event)
        self.state = transition.to
        if transition.do == "prepare":
            self.prepared = self.desired.witnesses
        if transition.do in ("create", "change"):
            self._begin_write(transition.do)
        if transition.do in ("adopt", "adopt_and_wait"):
            self._adopt(current)
        if transition.do in ("wait", "adopt_and_wait"):
            self.retry_at_ms = now_ms + self.backoff.delay_ms()
        if _CHART.is_final(self.state):
            self.write = None
            self.writing = None

    def _begin_write(self, kind: str) -> None:
        self.write_count += 1
        writer = f"{self.record.incarnation:x}.h{self.write_count}"
        self.writing = msgspec.structs.replace(
            self.desired,
            writer=writer,
            witness_version=self.record.witness_version + 1,
        )
        fence = None
        if kind == "change":
            old = msgspec.structs.replace(self.record, writer=f"{writer}.old")
            fence = records.encode_json(old)
        change = store_write.Change(
            records.node_key(self.record.name, self.record.incarnation),
            records.encode_json(self.writing),
            writer,
            self.revision,
            fence,
        )
        self.write = store_write.StoreWrite(change, self.timing.store_retry_ms)

    def _on_outcome(self, now_ms: int, outcome: store_write.Outcome) -> None:
        self.write = None
        if outcome.kind is not store_write.OutcomeKind.NOT_WRITTEN:
            self.backoff.reset()
        if outcome.kind is store_write.OutcomeKind.WON:
            self._on_won(now_ms, outcome)
        elif outcome.kind is store_write.OutcomeKind.NOT_WRITTEN:
            self._apply(now_ms, "failed", None)
        else:
            self._on_lost(now_ms, outcome)
        self.writing = None

    def _on_won(self, now_ms: int, outcome: store_write.Outcome) -> None:
        if self.writing.state is records.NodeState.ENDED:
            self._apply(now_ms, "ended", None)
            return
        self.next_change_ms = now_ms + self.timing.witness_change_interval_ms
        self._apply(now_ms, "won", outcome.current)

    def _on_lost(self, now_ms: int, outcome: store_write.Outcome) -> None:
        current = outcome.current
        if current is None or current.data is None:
            self._apply(now_ms, "ended", None)
            return
        record = records.try_decode_node(current.data)
        # An undecodable value may have replaced a record that was SEALING.
        is_terminal = record is None or record.state in _TERMINAL_STATES
        event = "ended" if is_terminal else "lost"
        self._apply(now_ms, event, current)

    def _adopt(self, current: platform_base.Value | None) -> None:
        """Replaces the record by the store's current value."""
        if current is not None:
            self.record = records.decode_node(current.data)
            self.revision = current.revision
        self._choose_witnesses()

    def _read_token(self) -> str:
        return f"{self.record.incarnation:x}.own-record"
