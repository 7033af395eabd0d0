"""Which shards a target may serve now; decides without input or output.

The fence is the epoch, after M. Burrows, "The Chubby lock service" (2006),
section 2.4, "sequencers". Times are milliseconds on the target's own
boot-time clock.
"""

from auburnrock.targets import base


class GrantHolder:
    """The latest grant that a target accepted.

    Attributes:
      incarnation: the target's own incarnation.
      epochs: epoch of each granted shard.
      valid_until_ms: end of the grant.
      lowest_epochs: for each shard, epochs below this are refused.
      last: node and sequence of the latest accepted grant.
    """

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.epochs: dict[int, int] = {}
        self.valid_until_ms = 0
        self.lowest_epochs: dict[int, int] = {}
        self.last = (0, 0)

    def refusal(self, grant: base.Grant, now_ms: int) -> str | None:
        """Why a grant is refused; None if it can be accepted."""
        if grant.target_incarnation != self.incarnation:
            return f"it is for target {grant.target_incarnation}"
        if grant.valid_until_ms <= now_ms:
            return f"it ended {now_ms - grant.valid_until_ms} ms ago"
        if (grant.node, grant.sequence) <= self.last:
            return "a later one was accepted"
        for granted in grant.shards:
            lowest = self.lowest_epochs.get(granted.shard, 0)
            if granted.epoch < lowest:
                return (
                    f"shard {granted.shard} has epoch {granted.epoch}, lower"
                    f" than {lowest}"
                )
        return None

    def accept(self, grant: base.Grant) -> None:
        """Takes a grant that `refusal` let pass.

        What it no longer names is released for good at that epoch: an earlier
        grant that arrives late must not bring a released shard back.
        """
        epochs = {granted.shard: granted.epoch for granted in grant.shards}
        for shard, epoch in self.epochs.items():
            if shard not in epochs:
                self.lowest_epochs[shard] = epoch + 1
        self.lowest_epochs.update(epochs)
        self.last = (grant.node, grant.sequence)
        self.epochs = epochs
        self.valid_until_ms = grant.valid_until_ms

    def allows(self, shard: int, epoch: int, now_ms: int) -> bool:
        """Whether work on a shard at an epoch may start now."""
        if now_ms >= self.valid_until_ms:
            return False
        return self.epochs.get(shard) == epoch
