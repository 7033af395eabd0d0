"""Renewals that a node sent to its witnesses, and how long they are valid."""

import enum

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import timing as timing_module

OUTSTANDING_MAX = 8
"""Number of unanswered renewals kept for each witness, to bound the memory."""


class Verdict(str, enum.Enum):
    """Meaning of an answer to a renewal.

    RENEWED: the lease is renewed from the time the renewal was sent.
    SEALED: the witness has sealed this node.
    GONE: another process than the witness answered at its address.
    UNEXPECTED: the answer matches no outstanding renewal.
    """

    RENEWED = "renewed"
    SEALED = "sealed"
    GONE = "gone"
    UNEXPECTED = "unexpected"


class WitnessRenewals(msgspec.Struct):
    """The renewals of a node by one witness.

    Attributes:
      sent_ms: when each unanswered renewal was sent, by sequence number.
      unanswered_since_ms: when the first renewal after the last answer was
        sent; None if no renewal was sent since that answer.
      unanswered_count: number of renewals sent since the last answer.
      valid_until_ms: when the latest-ending renewal by the witness expires.
    """

    sent_ms: dict[int, int] = {}
    unanswered_since_ms: int | None = None
    unanswered_count: int = 0
    valid_until_ms: int = 0


class Renewals:
    """The renewals of one node by all of its witnesses.

    Attributes:
      timing: the timing settings of the fleet.
      by_witness: the renewals by each witness, by its incarnation.
      sequence: sequence number of the latest renewal; each is used once.
      next_ms: when the next round of renewals is due.
    """

    __slots__ = ("by_witness", "next_ms", "sequence", "timing")

    def __init__(self, timing: timing_module.Timing):
        self.timing = timing
        self.by_witness: dict[int, WitnessRenewals] = {}
        self.sequence = 0
        self.next_ms = 0

    def due(self, now_ms: int, witnesses: set[int]) -> dict[int, int]:
        """Sequence numbers of the renewals to send now, by witness.

        A renewal to a new witness is due at once.
        """
        for witness in set(self.by_witness) - witnesses:
            del self.by_witness[witness]
        due = witnesses - set(self.by_witness)
        if now_ms >= self.next_ms:
            due = witnesses
            self.next_ms = now_ms + self.timing.renewal_interval_ms
        return {witness: self._send(now_ms, witness) for witness in sorted(due)}

    def on_answer(self, now_ms: int, answer: messages.RenewAnswer) -> Verdict:
        """Applies a witness's answer to a renewal."""
        witness = self._witness_of(answer.sequence)
        if witness is None:
            return Verdict.UNEXPECTED
        if answer.witness != witness:
            return Verdict.GONE
        state = self.by_witness[witness]
        state.unanswered_since_ms = None
        state.unanswered_count = 0
        sent_ms = state.sent_ms.pop(answer.sequence)
        if not answer.renewed:
            return Verdict.SEALED
        until_ms = self._end_of_renewal_ms(sent_ms, now_ms)
        state.valid_until_ms = max(state.valid_until_ms, until_ms)
        return Verdict.RENEWED

    def addressed_witness(self, answer: messages.RenewAnswer) -> int:
        """The witness that the answered renewal was addressed to."""
        witness = self._witness_of(answer.sequence)
        assert witness is not None
        return witness

    def expires_at_ms(self, witnesses: list[records.Witness]) -> int:
        """When the renewal by a majority of these witnesses expires."""
        ends = sorted(
            (
                self._valid_until_ms(witness.incarnation)
                for witness in witnesses
            ),
            reverse=True,
        )
        return ends[timing_module.majority_of(len(ends)) - 1]

    def silent_witnesses(self, now_ms: int) -> list[int]:
        """Witnesses that have not answered for the silence limit."""
        return [
            witness
            for witness, state in self.by_witness.items()
            if state.unanswered_since_ms is not None
            and state.unanswered_count >= 2
            and now_ms - state.unanswered_since_ms
            >= self.timing.silence_limit_ms
        ]

    def reset_silence(self, now_ms: int) -> None:
        """Restarts the silence measurement of every witness."""
        for state in self.by_witness.values():
            state.unanswered_since_ms = None
            state.unanswered_count = 0

    def _send(self, now_ms: int, witness: int) -> int:
        self.sequence += 1
        state = self.by_witness.setdefault(witness, WitnessRenewals())
        state.sent_ms[self.sequence] = now_ms
        state.unanswered_count += 1
        if state.unanswered_since_ms is None:
            state.unanswered_since_ms = now_ms
        if len(state.sent_ms) > OUTSTANDING_MAX:
            del state.sent_ms[min(state.sent_ms)]
        return self.sequence

    def _witness_of(self, sequence: int) -> int | None:
        for witness, state in self.by_witness.items():
            if sequence in state.sent_ms:
                return witness
        return None

    def _end_of_renewal_ms(self, sent_ms: int, received_ms: int) -> int:
        """When a renewal expires, measured from its sending time.

        The witness measures from when it received the renewal, which lies
        between the sending and the answer. Only the sending time is certain
        not to be later.
        """
        del received_ms
        return sent_ms + self.timing.holder_term_ms()

    def _valid_until_ms(self, witness: int) -> int:
        state = self.by_witness.get(witness)
        return 0 if state is None else state.valid_until_ms
