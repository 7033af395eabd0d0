"""Timing settings shared by leases, seals and takeovers."""

import math

import msgspec

# Clock readings are truncated to whole milliseconds, so a duration between two
# readings can appear up to one millisecond longer than it was. A seal's wait
# involves two clocks: the witness's (time since the renewal) and the sealer's.
CLOCK_ROUNDING_MS = 2


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Times in milliseconds; every node of a fleet must have the same.

    Attributes:
      lease_term_ms: how long a renewal by a witness is valid.
      renewal_interval_ms: time between two renewals.
      silence_limit_ms: time without a renewal after which a witness suspects
        a node, and time without an answer after which a node replaces a
        witness.
      rank_delay_ms: additional delay of each further witness, in order of
        rank, before it seals a node.
      seal_repeat_ms: time between two seals to a witness that has not
        answered.
      store_retry_ms: first delay before a failed store call is retried.
      witness_change_interval_ms: shortest time between two changes of a
        node's witnesses.
      drift_share: largest relative deviation of a clock's rate from true
        time.
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
        """One sentence about each invalid time; empty if all are valid."""
        problems = [
            f"{name} is {value}; it must be above 0"
            for name, value in msgspec.structs.asdict(self).items()
            if value <= 0
        ]
        if not self.drift_share < 0.2:
            problems.append(
                f"drift_share is {self.drift_share}; it must be below 0.2"
            )
        two_renewals_ms = 2 * self.renewal_interval_ms
        if self.silence_limit_ms < two_renewals_ms:
            problems.append(
                f"silence_limit_ms is {self.silence_limit_ms}; it must be at"
                f" least two renewal intervals ({two_renewals_ms}), or one"
                " lost datagram ends a node"
            )
        if self.silence_limit_ms >= self.holder_term_ms():
            problems.append(
                f"silence_limit_ms is {self.silence_limit_ms}; it must be"
                f" below the term less drift ({self.holder_term_ms()}), or a"
                " node's lease ends before it replaces a silent witness"
            )
        return problems

    def holder_term_ms(self) -> int:
        """How long a renewal is valid from its sending, on the node's clock.

        Let T be the lease term and d be `drift_share`. The node measures
        T * (1 - 2d) on a clock whose rate is at least 1 - d, so at most
        T * (1 - 2d) / (1 - d) of true time passes. That is at most T / (1 + d),
        the least true time in which another such clock measures T. So the
        term ends for no witness and no sealer before it ends for the node.
        """
        return math.floor(self.lease_term_ms * (1 - 2 * self.drift_share))

    def remaining_ms(self, since_renewal_ms: int) -> int:
        """Remaining time of a renewal, on the clock of its witness."""
        return max(0, self.lease_term_ms - since_renewal_ms)

    def seal_wait_ms(self, remaining_ms: int) -> int:
        """How long a sealer waits, given the time that a witness sent."""
        drifted_ms = math.ceil(remaining_ms * (1 + self.drift_share))
        return drifted_ms + CLOCK_ROUNDING_MS


def majority_of(count: int) -> int:
    """How many of `count` witnesses are a majority."""
    return count // 2 + 1
