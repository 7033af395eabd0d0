"""Decides which of the store's changes a node forwards and requests.

It is made for a change that hundreds of nodes must receive within a part of a
second, over links of 10 Mbit/s. Short changes are forwarded from neighbour to
neighbour, once by each node. Of long ones only the key is forwarded, and a node
that lacks the item requests it from one of the neighbours that have it.
"""

import msgspec

ANNOUNCE_ONLY_BYTES = 1_024
"""Size in bytes above which only the key of a changed item is forwarded.
Records of nodes are shorter, configurations longer."""

REQUEST_RETRY_MS = 400.0
"""Time in milliseconds after which an item that has not been received is
requested from another neighbour; 150 KB take 60 ms at 20 Mbit/s."""


class RequestedItem(msgspec.Struct):
    """The latest request for an item.

    Attributes:
      revision: the store's revision of the requested change.
      requested_ms: when the request was sent.
    """

    revision: int
    requested_ms: float


class GossipFilter:
    """Changes that a node has forwarded and items that it has requested.

    Attributes:
      forwarded: highest forwarded revision, by key.
      requested: latest request, by key.
    """

    __slots__ = ("forwarded", "requested")

    def __init__(self):
        self.forwarded: dict[str, int] = {}
        self.requested: dict[str, RequestedItem] = {}

    def should_forward(self, key: str, revision: int) -> bool:
        """Whether to forward a change; records it as forwarded."""
        if self.forwarded.get(key, 0) >= revision:
            return False
        self.forwarded[key] = revision
        return True

    def should_request(self, now_ms: float, key: str, revision: int) -> bool:
        """Whether to request a missing item now; records the request."""
        last = self.requested.get(key)
        is_requested = last is not None and last.revision >= revision
        if is_requested and now_ms - last.requested_ms < REQUEST_RETRY_MS:
            return False
        self.requested[key] = RequestedItem(revision, now_ms)
        return True
