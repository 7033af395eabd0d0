"""Which responses of an upstream may be passed on to a caller."""

FINAL_MIN = 200
"""Lowest status of a final response (RFC 9110, 15)."""

FINAL_MAX = 599
"""Highest status of a final response."""

INTERIM = frozenset({100, 102, 103})
"""Statuses of interim responses, which are skipped before the final one. 101
would end HTTP on the connection; the others have no meaning here, and an
upstream that sends one of them may send nothing after it."""

WITHOUT_BODY = frozenset({204, 304})
"""Statuses of final responses that have no body. Bytes behind such a response
would be taken for the next one."""


def fault_of(status: int, has_body: bool = False) -> str:
    """Returns why a response is not a final one; empty if it is.

    Args:
      status: status of the response.
      has_body: whether a body, or a body's length, came with it.
    """
    if not FINAL_MIN <= status <= FINAL_MAX:
        return (
            f"invalid response: got status {status:03d}, expected a final"
            f" status from {FINAL_MIN} to {FINAL_MAX}"
        )
    if has_body and status in WITHOUT_BODY:
        return f"invalid response: status {status} with a body"
    return ""
