"""Paths, headers and small messages between a node and its target over HTTP.

`targets/base.py` has the announcement, the grant and its answer.
"""

import msgspec

ANNOUNCE_PATH = "/auburnrock/announce"
"""POST at the node, every ANNOUNCE_EVERY_MS, body Announcement."""

GRANT_PATH = "/auburnrock/grant"
"""PUT at the target, body Grant, answer GrantAnswer."""

CANCEL_PATH = "/auburnrock/cancel"
"""POST at the target, body CancelOrder."""

DRAIN_PATH = "/auburnrock/drain"
"""POST at the target, empty body."""

HEALTH_PATH = "/auburnrock/health"
"""GET at the target, answer Health."""

LOAD_PATH = "/auburnrock/load"
"""GET at the target, answer Load."""

ANNOUNCE_EVERY_MS = 300

REQUEST_ID_HEADER = "Auburnrock-Request-Id"
KEY_HEADER = "Auburnrock-Key"
SHARD_HEADER = "Auburnrock-Shard"
EPOCH_HEADER = "Auburnrock-Epoch"
DEADLINE_HEADER = "Auburnrock-Deadline-Ms"
RAN_HEADER = "Auburnrock-Ran"
ERROR_HEADER = "Auburnrock-Error"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class CancelOrder(msgspec.Struct):
    """Nobody waits for the request any more."""

    request_id: str


class Health(msgspec.Struct):
    """What a target says of its health; it may lag or mislead."""

    healthy: bool
    incarnation: str
    draining: bool


class Load(msgspec.Struct):
    """What a target says of its load; it may lag or mislead."""

    running: int
    queued: int
    slots: int
