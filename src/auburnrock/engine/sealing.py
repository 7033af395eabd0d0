"""Permanently ends one incarnation of a node, so that its shards can be taken.

First the node's record becomes SEALING, which fixes its witnesses. Then the
sealer sends each witness a seal. Any majority that renewed the node shares a
witness with the majority that sealed it, so the lease has ended once the
longest remaining time reported by a sealed majority is over. The record then
becomes ENDED.

Several sealers may work at once: each change of the record is one
compare-and-swap, and a sealer continues from a record that is already SEALING.
"""

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import backoff
from auburnrock.engine import chart
from auburnrock.engine import store_write
from auburnrock.engine import timing as timing_module
from auburnrock.store import base as platform_base

_CHART = chart.load("sealing.json")


class Sealing:
    """One sealer's attempt to end one incarnation of a node.

    The shell calls `start` once, `tick` at least every 50 ms, and passes in
    answers and store results. The attempt is finished in the states `ended`
    and `stood_down`. The latter means that the record did not become SEALING:
    the store did not answer, or the node itself changed its record. A sealer
    for which the node is still due begins a new attempt.

    Attributes:
      name: text that is unique to this attempt in the fleet.
      record: the node's record as last read.
      revision: the store's revision of `record`.
      state: state of the chart in sealing.json.
      renewal_ends_ms: when the renewals by each sealed witness expire, by the
        witness's incarnation.
      target_ended: incarnation of a target whose end is confirmed; None if
        there is none.
      node_ended: whether the end of the node's process is confirmed.
      store_failed: whether the attempt stood down because the store did not
        answer.
    """

    __slots__ = (
        "backoff",
        "name",
        "next_seal_ms",
        "next_write_ms",
        "node_ended",
        "record",
        "renewal_ends_ms",
        "revision",
        "seal_attempts",
        "state",
        "store_failed",
        "target_ended",
        "timing",
        "write",
        "write_count",
    )

    def __init__(
        self,
        name: str,
        current: platform_base.Value,
        timing: timing_module.Timing,
    ):
        """Prepares to end a node.

        Args:
          name: text that identifies this attempt in the fleet, such as the
            sealer's incarnation and a count; makes its writes unique.
          current: the node's record in the sealer's replica.
          timing: the timing settings of the fleet.
        """
        self.name = name
        self.record = records.decode_node(current.data)
        self.revision = current.revision
        self.timing = timing
        self.state = _CHART.initial
        self.renewal_ends_ms: dict[int, int] = {}
        self.seal_attempts = 0
        self.next_seal_ms = 0
        self.next_write_ms = 0
        self.backoff = backoff.Backoff(timing.store_retry_ms, name)
        self.write: store_write.StoreWrite | None = None
        self.write_count = 0
        self.target_ended: str | None = None
        self.node_ended = False
        self.store_failed = False

    @property
    def finished(self) -> bool:
        """Whether the attempt has reached a final state."""
        return _CHART.is_final(self.state)

    def start(self, now_ms: int) -> list[actions.Action]:
        """Takes the first step that the record's present state requires."""
        if self.record.state is records.NodeState.ENDED:
            self._apply("ended")
            return []
        if self.record.state is records.NodeState.SEALING:
            self._apply("sealing")
            return self._send_seals(now_ms)
        return self._write(now_ms, records.NodeState.SEALING)

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Repeats unanswered seals and continues when a wait is over."""
        if self.write is not None:
            return self.write.tick(now_ms)
        if self.state == "sealing":
            return self._send_seals(now_ms)
        if self.state == "waiting" and now_ms >= self._end_ms():
            return self._on_lease_expired(now_ms)
        if self.state == "ending" and now_ms >= self.next_write_ms:
            return self._write(now_ms, records.NodeState.ENDED)
        return []

    def on_seal_answer(
        self, now_ms: int, answer: messages.SealAnswer
    ) -> list[actions.Action]:
        """Records that a witness has sealed the node.

        An answer to an earlier seal or to another sealer's seal is also
        valid: a witness seals only once, and a late answer only makes the
        wait longer.
        """
        if answer.node != self.record.incarnation or self.state == "claiming":
            return []
        if not self._is_witness(answer.witness):
            return []
        end_ms = now_ms + self.timing.seal_wait_ms(answer.remaining_ms)
        known_ms = self.renewal_ends_ms.get(answer.witness, end_ms)
        self.renewal_ends_ms[answer.witness] = min(known_ms, end_ms)
        if (
            self.state == "sealing"
            and len(self.renewal_ends_ms) >= self._majority()
        ):
            self._apply("majority")
        return self.tick(now_ms)

    def on_target_ended(
        self, now_ms: int, target_incarnation: str
    ) -> list[actions.Action]:
        """Applies the confirmed end of a target of the node.

        A target that does not check grants needs this confirmation, because
        it may still run work that it received before the lease ended.
        """
        self.target_ended = target_incarnation
        if self.state != "confirming" or not self._target_has_ended():
            return []
        return self._apply_and_write(now_ms, "target_ended")

    def on_node_ended(self, now_ms: int) -> list[actions.Action]:
        """Applies the confirmed end of the node's process and its target.

        The operator confirms it. Nothing else can end a node without
        witnesses, or one that has permanently lost a majority of them.
        """
        self.node_ended = True
        if self.finished:
            return []
        return self._apply_and_write(now_ms, "node_ended")

    def owns(self, token: str) -> bool:
        """Whether the token of a store result belongs to this attempt."""
        return self.write is not None and self.write.owns(token)

    def on_result(
        self, now_ms: int, result: actions.StoreResult
    ) -> list[actions.Action]:
        """Handles the result of a store call."""
        if not self.owns(result.token):
            return []
        issued, outcome = self.write.on_result(now_ms, result)
        if outcome is None:
            return issued
        self.write = None
        return self._on_outcome(now_ms, outcome)

    def on_record(
        self, now_ms: int, current: platform_base.Value | None
    ) -> list[actions.Action]:
        """Handles the node's record as read; finishes early if it is ENDED."""
        if self.finished or self.write is not None:
            return []
        if current is None or current.data is None:
            self._apply("ended")
            return []
        if current.revision <= self.revision:
            return []
        return self._on_current(now_ms, current)

    def _on_outcome(
        self, now_ms: int, outcome: store_write.Outcome
    ) -> list[actions.Action]:
        if outcome.kind is not store_write.OutcomeKind.NOT_WRITTEN:
            current = outcome.current
            if current is None or current.data is None:
                self._apply("ended")
                return []
            return self._on_current(now_ms, current)
        if self.state == "claiming":
            self.store_failed = True
            self._apply("not_claimed")
        self.next_write_ms = now_ms + self.backoff.delay_ms()
        return []

    def _on_current(
        self, now_ms: int, current: platform_base.Value
    ) -> list[actions.Action]:
        record = records.try_decode_node(current.data)
        if record is None:
            return self._on_undecodable(now_ms, current.revision)
        self.record = record
        self.revision = current.revision
        if self.record.state is records.NodeState.ENDED:
            self._apply("ended")
            return []
        if self.record.state is records.NodeState.SEALING:
            return self._on_sealing_record(now_ms)
        assert self.state == "claiming", (
            f"the record of {self.record.name} went from SEALING back to"
            f" {self.record.state.value}; no part of the system writes that"
        )
        self._apply("not_claimed")
        return []

    def _on_undecodable(
        self, now_ms: int, revision: int
    ) -> list[actions.Action]:
        """Handles an undecodable record: stands down or overwrites it.

        Until the record is SEALING, only its content identifies the
        witnesses. Afterwards ENDED is the only correct content, and it is
        written when the lease has ended.
        """
        if self.state == "claiming":
            self._apply("not_claimed")
        else:
            self.revision = revision
            self.next_write_ms = now_ms + self.timing.store_retry_ms
        return []

    def _on_sealing_record(self, now_ms: int) -> list[actions.Action]:
        self._apply("sealing")
        if self.node_ended:
            return self._apply_and_write(now_ms, "node_ended")
        return self.tick(now_ms)

    def _on_lease_expired(self, now_ms: int) -> list[actions.Action]:
        event = "over" if self._target_has_ended() else "over_unconfirmed"
        return self._apply_and_write(now_ms, event)

    def _target_has_ended(self) -> bool:
        """Whether the target runs no work of the node after the lease ends."""
        if self.record.checks_grants or self.node_ended:
            return True
        return self.target_ended == self.record.target_incarnation

    def _apply(self, event: str) -> str:
        transition = _CHART.next(self.state, event)
        self.state = transition.to
        return transition.do

    def _apply_and_write(self, now_ms: int, event: str) -> list[actions.Action]:
        if self._apply(event) == "write_ended" and self.write is None:
            return self._write(now_ms, records.NodeState.ENDED)
        return []

    def _write(
        self, now_ms: int, state: records.NodeState
    ) -> list[actions.Action]:
        self.write_count += 1
        writer = f"{self.name}.s{self.write_count}"
        written = msgspec.structs.replace(
            self.record, state=state, writer=writer
        )
        old = msgspec.structs.replace(self.record, writer=f"{writer}.old")
        change = store_write.Change(
            records.node_key(self.record.name, self.record.incarnation),
            records.encode_json(written),
            writer,
            self.revision,
            records.encode_json(old),
        )
        self.write = store_write.StoreWrite(change, self.timing.store_retry_ms)
        return self.write.start(now_ms)

    def _send_seals(self, now_ms: int) -> list[actions.Action]:
        if now_ms < self.next_seal_ms:
            return []
        self.next_seal_ms = now_ms + self.timing.seal_repeat_ms
        self.seal_attempts += 1
        return [
            actions.SendDatagram(
                witness.incarnation,
                messages.Seal(
                    self.record.incarnation,
                    witness.incarnation,
                    self.seal_attempts,
                ),
            )
            for witness in self.record.witnesses
            if witness.incarnation not in self.renewal_ends_ms
        ]

    def _is_witness(self, incarnation: int) -> bool:
        return any(
            witness.incarnation == incarnation
            for witness in self.record.witnesses
        )

    def _majority(self) -> int:
        return timing_module.majority_of(len(self.record.witnesses))

    def _end_ms(self) -> int:
        """When the renewals by the first sealed majority have expired."""
        return sorted(self.renewal_ends_ms.values())[self._majority() - 1]
