"""Names of HTTP headers and paths that the system uses."""

REQUEST_ID = "Auburnrock-Request-Id"
KEY = "Auburnrock-Key"
SHARD = "Auburnrock-Shard"
EPOCH = "Auburnrock-Epoch"
OWNER = "Auburnrock-Owner"
DEADLINE_MS = "Auburnrock-Deadline-Ms"
CALLER = "Auburnrock-Caller"
RAN = "Auburnrock-Ran"
ERROR = "Auburnrock-Error"
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"
RETRY_AFTER_MS = "Auburnrock-Retry-After-Ms"

ANNOUNCE_PATH = "/auburnrock/announce"
HEALTH_PATH = "/auburnrock/health"
OWN_PREFIX = "/auburnrock/"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "date",
        "server",
    }
)
"""Headers that describe one connection and are not passed on (RFC 9110)."""


def passed_on(headers) -> list[tuple[str, str]]:
    """The headers to pass on, as plain strings.

    msgspec encodes no subclass of `str`, and aiohttp's names are one.
    """
    return [
        (str(name), str(value))
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
        and not name.lower().startswith("auburnrock-")
    ]
