"""Names of the HTTP headers and paths that callers use."""

from auburnrock.targets import protocol

REQUEST_ID = protocol.REQUEST_ID_HEADER
KEY = protocol.KEY_HEADER
EPOCH = protocol.EPOCH_HEADER
DEADLINE_MS = protocol.DEADLINE_HEADER
RAN = protocol.RAN_HEADER
ERROR = protocol.ERROR_HEADER
IDEMPOTENCY_KEY = protocol.IDEMPOTENCY_KEY_HEADER
OWNER = "Auburnrock-Owner"
CALLER = "Auburnrock-Caller"
FIRST_TRY = "Auburnrock-First-Try"
RETRY_AFTER = "Retry-After"
RETRY_AFTER_MS = "Auburnrock-Retry-After-Ms"

ANNOUNCE_PATH = protocol.ANNOUNCE_PATH
HEALTH_PATH = protocol.HEALTH_PATH
OWN_PREFIX = "/auburnrock/"
"""Prefix of the paths that the daemon serves itself."""

OWN_HEADER_PREFIX = "auburnrock-"
"""Lower-case prefix of the daemon's own headers, which are not forwarded."""

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
"""Headers that describe one connection and are not forwarded (RFC 9110)."""


def forwarded_headers(headers) -> list[tuple[str, str]]:
    """Returns the headers to forward, as instances of `str` itself.

    aiohttp's header names are of a subclass of `str`, which msgspec does not
    encode.
    """
    return [
        (str(name), str(value))
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    ]
