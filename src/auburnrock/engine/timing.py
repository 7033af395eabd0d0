"""The times that leases, seals and takeovers share."""

import math

import msgspec

# A clock reading is cut to whole milliseconds, so a span between two readings
# can seem up to one millisecond longer than it was. A seal's wait spans two
# clocks: the witness's (time since the renewal) and the sealer's.
CLOCK_ROUNDING_MS = 2


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Times in milliseconds; the same at every node of a fleet.

    Attributes:
      lease_term_ms: how long a witness's renewal counts.
      renewal_interval_ms: time between two renewals.
      silence_limit_ms: time without a renewal after which a witness holds a
        node to be lost, and without an answer after which a node replaces a
        witness.
      rank_delay_ms: how much later each further rank acts.
      seal_repeat_ms: time between two seals to a witness that has not
        answered.
      store_retry_ms: time before the store is asked again after a failure.
      witness_change_interval_ms: shortest time between two changes of a
        node's witnesses.
      drift_share: how far the rate of any clock may be from true time.
    """

    lease_term_ms: int = 1_000
    renewal_interval_ms: int = 300
    silence_limit_ms: int = 600
    rank_delay_ms: int = 300
    seal_repeat_ms: int = 100
    store_retry_ms: int = 100
    witness_change_interval_ms: int = 2_000
    drift_share: float = 0.01

    def check(self) -> list[str]:
        """What is wrong with these times, one sentence each; empty if fine."""
        wrong = [
            f"{name} is {value}; it must be above 0"
            for name, value in msgspec.structs.asdict(self).items()
            if value <= 0
        ]
        if not self.drift_share < 0.2:
            wrong.append(
                f"drift_share is {self.drift_share}; it must be below 0.2"
            )
        two_renewals_ms = 2 * self.renewal_interval_ms
        if self.silence_limit_ms < two_renewals_ms:
            wrong.append(
                f"silence_limit_ms is {self.silence_limit_ms}; it must be at"
                f" least two renewal intervals ({two_renewals_ms}), or one"
                " lost datagram ends a node"
            )
        if self.silence_limit_ms >= self.holder_term_ms():
            wrong.append(
                f"silence_limit_ms is {self.silence_limit_ms}; it must be"
                f" below the term less drift ({self.holder_term_ms()}), or a"
                " node's lease ends before it replaces a silent witness"
            )
        return wrong

    def holder_term_ms(self) -> int:
        """How long a renewal counts at the node, on the node's clock.

        Counted from the sending. A clock within `drift_share` of true time
        measures a term T as at most T * (1 - 2d) / (1 - d) of true time,
        which is at most T / (1 + d): the least that another such clock takes
        for T. So no witness and no sealer sees the term end before the node.
        """
        return math.floor(self.lease_term_ms * (1 - 2 * self.drift_share))

    def remaining_ms(self, since_renewal_ms: int) -> int:
        """What is left at a witness that renewed so long ago."""
        return max(0, self.lease_term_ms - since_renewal_ms)

    def seal_wait_ms(self, remaining_ms: int) -> int:
        """How long a sealer waits for what a witness said is left."""
        drifted_ms = math.ceil(remaining_ms * (1 + self.drift_share))
        return drifted_ms + CLOCK_ROUNDING_MS


def majority_of(count: int) -> int:
    """How many of `count` witnesses are a majority."""
    return count // 2 + 1
