"""Renewals that a node sent to its witnesses, and how long they count."""

import enum

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import timing as timing_module

OUTSTANDING_MAX = 8
"""Unanswered renewals remembered for each witness."""


class Verdict(str, enum.Enum):
    """What an answer to a renewal says.

    RENEWED: the lease is renewed from when the renewal was sent.
    SEALED: the witness has sealed this node.
    GONE: another process than the witness answered at its address.
    UNEXPECTED: it answers no renewal on record.
    """

    RENEWED = "renewed"
    SEALED = "sealed"
    GONE = "gone"
    UNEXPECTED = "unexpected"


class Asked(msgspec.Struct):
    """What is known of one witness.

    Attributes:
      sent_ms: when each unanswered renewal was sent, by sequence.
      unheard_since_ms: sending of the first renewal after the last answer;
        None if each was answered.
      unanswered: renewals sent since the last answer.
      until_ms: how long the witness's best renewal counts.
    """

    sent_ms: dict[int, int] = {}
    unheard_since_ms: int | None = None
    unanswered: int = 0
    until_ms: int = 0


class Renewals:
    """The renewals of one node.

    Attributes:
      asked: the witnesses asked, by incarnation.
      sequence: number of the latest renewal; each is used once.
      next_ms: when the next round is due.
    """

    __slots__ = ("asked", "next_ms", "sequence", "timing")

    def __init__(self, timing: timing_module.Timing):
        self.timing = timing
        self.asked: dict[int, Asked] = {}
        self.sequence = 0
        self.next_ms = 0

    def due(self, now_ms: int, witnesses: set[int]) -> dict[int, int]:
        """Sequences of the renewals to send now, by witness.

        A witness that was not asked before is asked at once.
        """
        for witness in set(self.asked) - witnesses:
            del self.asked[witness]
        due = witnesses - set(self.asked)
        if now_ms >= self.next_ms:
            due = witnesses
            self.next_ms = now_ms + self.timing.renewal_interval_ms
        return {witness: self._send(now_ms, witness) for witness in sorted(due)}

    def on_answer(self, now_ms: int, answer: messages.RenewAnswer) -> Verdict:
        """Counts an answer."""
        witness = self._witness_asked(answer.sequence)
        if witness is None:
            return Verdict.UNEXPECTED
        if answer.witness != witness:
            return Verdict.GONE
        asked = self.asked[witness]
        asked.unheard_since_ms = None
        asked.unanswered = 0
        sent_ms = asked.sent_ms.pop(answer.sequence)
        if not answer.renewed:
            return Verdict.SEALED
        until_ms = self._counts_until_ms(sent_ms, now_ms)
        asked.until_ms = max(asked.until_ms, until_ms)
        return Verdict.RENEWED

    def gone_witness(self, answer: messages.RenewAnswer) -> int:
        """The witness that was meant by the renewal that this answers."""
        witness = self._witness_asked(answer.sequence)
        assert witness is not None
        return witness

    def expires_at_ms(self, witnesses: list[records.Witness]) -> int:
        """Until when a majority of these witnesses has renewed."""
        ends = sorted(
            (self._until_ms(witness.incarnation) for witness in witnesses),
            reverse=True,
        )
        return ends[timing_module.majority_of(len(ends)) - 1]

    def silent(self, now_ms: int) -> list[int]:
        """Witnesses that have answered nothing for the silence limit."""
        return [
            witness
            for witness, asked in self.asked.items()
            if asked.unheard_since_ms is not None
            and asked.unanswered >= 2
            and now_ms - asked.unheard_since_ms >= self.timing.silence_limit_ms
        ]

    def start_listening_again(self, now_ms: int) -> None:
        """Forgets for how long no witness was heard."""
        for asked in self.asked.values():
            asked.unheard_since_ms = None
            asked.unanswered = 0

    def _send(self, now_ms: int, witness: int) -> int:
        self.sequence += 1
        asked = self.asked.setdefault(witness, Asked())
        asked.sent_ms[self.sequence] = now_ms
        asked.unanswered += 1
        if asked.unheard_since_ms is None:
            asked.unheard_since_ms = now_ms
        if len(asked.sent_ms) > OUTSTANDING_MAX:
            del asked.sent_ms[min(asked.sent_ms)]
        return self.sequence

    def _witness_asked(self, sequence: int) -> int | None:
        for witness, asked in self.asked.items():
            if sequence in asked.sent_ms:
                return witness
        return None

    def _counts_until_ms(self, sent_ms: int, received_ms: int) -> int:
        """End of a renewal: counted from its sending, not its answer.

        The witness counts from when it received the renewal, which is at some
        moment between the two; only the sending is surely not later.
        """
        del received_ms
        return sent_ms + self.timing.holder_term_ms()

    def _until_ms(self, witness: int) -> int:
        asked = self.asked.get(witness)
        return 0 if asked is None else asked.until_ms
