"""What a node passes on of the store's changes, and what it asks for.

Load answered: one change that hundreds of nodes must know within a part of a
second, over links of 10 Mbit/s. Short changes go from neighbour to neighbour,
each node passing each on once. Of long ones only the key is passed on, and a
neighbour that lacks the item asks one of those who have it.
"""

import msgspec

LONG_BYTES = 1_024
"""Records of nodes are shorter than this, configurations longer."""

WANT_AGAIN_MS = 400.0
"""Another neighbour is asked for an item that has not come within this; 150 KB
take 60 ms at 20 Mbit/s."""


class Wanted(msgspec.Struct):
    """An item that was asked for.

    Attributes:
      revision: of the change.
      asked_ms: when.
    """

    revision: int
    asked_ms: float


class Spread:
    """What has been passed on and asked for.

    Attributes:
      passed: highest revision passed on, by key.
      wanted: what was asked for last, by key.
    """

    __slots__ = ("passed", "wanted")

    def __init__(self):
        self.passed: dict[str, int] = {}
        self.wanted: dict[str, Wanted] = {}

    def pass_on(self, key: str, revision: int) -> bool:
        """Whether a change is to be passed on; counts it as passed on."""
        if self.passed.get(key, 0) >= revision:
            return False
        self.passed[key] = revision
        return True

    def want(self, now_ms: float, key: str, revision: int) -> bool:
        """Whether to ask a neighbour for an item that is not known here."""
        wanted = self.wanted.get(key)
        is_asked = wanted is not None and wanted.revision >= revision
        if is_asked and now_ms - wanted.asked_ms < WANT_AGAIN_MS:
            return False
        self.wanted[key] = Wanted(revision, now_ms)
        return True
