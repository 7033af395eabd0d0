"""Messages of the platform's HTTP protocol.

The protocol is described in docs/design/platform-protocol.md. Bodies are JSON,
with bytes in base64.
"""

import msgspec

from auburnrock.store import base

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a key's value in bytes."""

GET_PATH = "/v1/get"
LIST_PATH = "/v1/list"
WATCH_PATH = "/v1/watch"
SWAP_PATH = "/v1/swap"
GRANT_LEASE_PATH = "/v1/lease/grant"
RENEW_LEASE_PATH = "/v1/lease/renew"
COUNTS_PATH = "/v1/counts"

STATUS_REFUSED = 503
"""Status of a call that had no effect.

With any other status than 200, it is unknown whether the call had an effect.
"""


class GetCall(msgspec.Struct):
    """Requests the value of one key."""

    key: str


class GetResult(msgspec.Struct):
    """Has the value of the key, or None if the key does not exist."""

    value: base.Value | None


class ListCall(msgspec.Struct):
    """Requests the values of all keys that begin with a prefix."""

    prefix: str


class WatchCall(msgspec.Struct):
    """Waits up to `timeout_ms` for changes under a prefix after a revision."""

    prefix: str
    after_revision: int
    timeout_ms: int


class SwapCall(msgspec.Struct):
    """Requests a compare-and-swap as Platform.compare_and_swap describes."""

    key: str
    data: bytes | None
    expected_revision: int
    lease_id: str | None = None


class GrantLeaseCall(msgspec.Struct):
    """Requests a lease that ends `ttl_ms` after its last renewal."""

    ttl_ms: int


class GrantLeaseResult(msgspec.Struct):
    """Has the identifier of the new lease."""

    lease_id: str


class RenewLeaseCall(msgspec.Struct):
    """Requests the renewal of a lease."""

    lease_id: str


class RenewLeaseResult(msgspec.Struct):
    """Reports whether the lease was still valid and has been renewed."""

    alive: bool


class Counts(msgspec.Struct):
    """Numbers of calls that the store received.

    A watch counts as one call, however long it waits.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
