"""An oracle for the grants that stand-ins of targets accept."""

from auburnrock_standins import mesh_target

STRIPE_KEYS = 7
"""Distance between the checked keys; every stripe of a table for three targets
contains at least one checked key."""


class GrantOracle:
    """Checks every grant that targets accept.

    Attributes:
      double_holds: violations in which two targets held a key at once.
      stale_tokens: violations in which a new holder's fencing token was not
        higher than the previous one.
    """

    def __init__(self):
        self.double_holds: list[str] = []
        self.stale_tokens: list[str] = []
        self.fences: dict[int, tuple[int, str]] = {}
        self.targets: list[mesh_target.MeshTarget] = []

    @property
    def violations(self) -> list[str]:
        """All detected violations."""
        return self.double_holds + self.stale_tokens

    def watch(self, target: mesh_target.MeshTarget) -> None:
        """Checks all ranges that a target accepts from now on."""
        self.targets.append(target)
        target.on_hold_accepted = lambda hold: self.check(target, hold)

    def check(self, target: mesh_target.MeshTarget, hold) -> None:
        """Checks one accepted range."""
        grid = -(-hold.first // STRIPE_KEYS) * STRIPE_KEYS
        for key in range(grid, hold.last + 1, STRIPE_KEYS):
            fence, owner = self.fences.get(key, (0, ""))
            if owner != target.name and hold.fence <= fence:
                self.stale_tokens.append(
                    f"{target.name} got {key} at {hold.fence}, not above"
                    f" {fence} of {owner}"
                )
            self.fences[key] = (hold.fence, target.name)
        for other in self.targets:
            if other is not target and other.holds_any_in(
                hold.first, hold.last
            ):
                self.double_holds.append(
                    f"{target.name} and {other.name} hold some of"
                    f" {hold.first} to {hold.last}"
                )
