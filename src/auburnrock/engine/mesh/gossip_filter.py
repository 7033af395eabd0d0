"""What a node passes on of the store's changes, and what it asks for.

Load answered: one change that hundreds of nodes must know within a part of a
second, over links of 10 Mbit/s. Short changes go from neighbour to neighbour,
each node passing each on once. Of long ones only the key is passed on, and a
neighbour that lacks the item asks one of those who have it.
"""

import msgspec

ANNOUNCE_ONLY_BYTES = 1_024
"""Records of nodes are shorter than this, configurations longer."""

REQUEST_RETRY_MS = 400.0
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


class GossipFilter:
    """What has been passed on and asked for.

    Attributes:
      passed: highest revision passed on, by key.
      requested: what was asked for last, by key.
    """

    __slots__ = ("passed", "requested")

    def __init__(self):
        self.passed: dict[str, int] = {}
        self.requested: dict[str, Wanted] = {}

    def should_forward(self, key: str, revision: int) -> bool:
        """Whether a change is to be passed on; counts it as passed on."""
        if self.passed.get(key, 0) >= revision:
            return False
        self.passed[key] = revision
        return True

    def should_request(self, now_ms: float, key: str, revision: int) -> bool:
        """Whether to ask a neighbour for an item that is not known here."""
        wanted = self.requested.get(key)
        is_asked = wanted is not None and wanted.revision >= revision
        if is_asked and now_ms - wanted.asked_ms < REQUEST_RETRY_MS:
            return False
        self.requested[key] = Wanted(revision, now_ms)
        return True
