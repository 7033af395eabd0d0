"""An oracle on the grants that stand-ins of targets accept."""

from auburnrock_standins import mesh_target

STRIPE_KEYS = 7
"""Every stripe of three targets has a key at each such distance."""


class Oracle:
    """Watches every grant that targets accept.

    Attributes:
      shared: keys that two targets held at one time.
      reused: keys that were granted with a token that did not rise.
    """

    def __init__(self):
        self.shared: list[str] = []
        self.reused: list[str] = []
        self.fences: dict[int, tuple[int, str]] = {}
        self.targets: list[mesh_target.MeshTarget] = []

    @property
    def faults(self) -> list[str]:
        """All that must not be."""
        return self.shared + self.reused

    def watch(self, target: mesh_target.MeshTarget) -> None:
        """Checks a target's rows from now on."""
        self.targets.append(target)
        target.on_hold = lambda hold: self.check(target, hold)

    def check(self, target: mesh_target.MeshTarget, hold) -> None:
        """Checks one accepted row."""
        grid = -(-hold.first // STRIPE_KEYS) * STRIPE_KEYS
        for key in range(grid, hold.last + 1, STRIPE_KEYS):
            fence, owner = self.fences.get(key, (0, ""))
            if owner != target.name and hold.fence <= fence:
                self.reused.append(
                    f"{target.name} got {key} at {hold.fence}, not above"
                    f" {fence} of {owner}"
                )
            self.fences[key] = (hold.fence, target.name)
        for other in self.targets:
            if other is not target and other.holds_any(hold.first, hold.last):
                self.shared.append(
                    f"{target.name} and {other.name} hold some of"
                    f" {hold.first} to {hold.last}"
                )
