"""An oracle on the grants that stand-ins of targets accept."""

from auburnrock_standins import mesh_target

STRIPE_KEYS = 7
"""Every stripe of three targets has a key at each such distance."""


class GrantOracle:
    """Watches every grant that targets accept.

    Attributes:
      double_holds: keys that two targets held at one time.
      stale_tokens: keys that were granted with a token that did not rise.
    """

    def __init__(self):
        self.double_holds: list[str] = []
        self.stale_tokens: list[str] = []
        self.fences: dict[int, tuple[int, str]] = {}
        self.targets: list[mesh_target.MeshTarget] = []

    @property
    def violations(self) -> list[str]:
        """All that must not be."""
        return self.double_holds + self.stale_tokens

    def watch(self, target: mesh_target.MeshTarget) -> None:
        """Checks a target's rows from now on."""
        self.targets.append(target)
        target.on_hold_accepted = lambda hold: self.check(target, hold)

    def check(self, target: mesh_target.MeshTarget, hold) -> None:
        """Checks one accepted row."""
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
