"""Paths, headers and small messages of HTTP between a node and its target.

The announcement, the grant and its answer are defined in `targets/base.py`.
"""

import msgspec

ANNOUNCE_PATH = "/auburnrock/announce"
"""Path of the node; POST every ANNOUNCE_INTERVAL_MS, body Announcement."""

GRANT_PATH = "/auburnrock/grant"
"""Path of the target; PUT, body Grant, answer GrantAnswer."""

CANCEL_PATH = "/auburnrock/cancel"
"""Path of the target; POST, body CancelOrder."""

DRAIN_PATH = "/auburnrock/drain"
"""Path of the target; POST, empty body."""

HEALTH_PATH = "/auburnrock/health"
"""Path of the target; GET, answer Health."""

LOAD_PATH = "/auburnrock/load"
"""Path of the target; GET, answer Load."""

ANNOUNCE_INTERVAL_MS = 300
"""Interval between a target's announcements, in milliseconds."""

REQUEST_ID_HEADER = "Auburnrock-Request-Id"
KEY_HEADER = "Auburnrock-Key"
SHARD_HEADER = "Auburnrock-Shard"
EPOCH_HEADER = "Auburnrock-Epoch"
DEADLINE_HEADER = "Auburnrock-Deadline-Ms"
RAN_HEADER = "Auburnrock-Ran"
ERROR_HEADER = "Auburnrock-Error"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class CancelOrder(msgspec.Struct):
    """Cancels a request for which no caller waits any more."""

    request_id: str


class Health(msgspec.Struct):
    """A target's report of its health, which may be late or wrong."""

    healthy: bool
    incarnation: str
    draining: bool


class Load(msgspec.Struct):
    """A target's report of its load, which may be late or wrong."""

    running: int
    queued: int
    slots: int
