"""Asks a target's address which target has it."""

import asyncio

from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import http_client
from auburnrock.shells.mesh import wire_protocol

IDENTIFY_TIMEOUT_S = 0.3
"""Time-out, in seconds, of the question. The heartbeat that causes it must be
acknowledged within a second."""


async def identify(
    client: http_client.ConnectionPool,
    address: str,
    health_path: str,
    protocol: wire_protocol.WireProtocol,
    log: event_log.EventLog,
) -> str:
    """Returns the id of the target at an address; empty if it is not told.

    Args:
      client: connections to the address.
      address: address of the target.
      health_path: path at which targets tell their id; empty if unknown.
      protocol: decodes the answer.
      log: log for an answer that did not come.

    Raises:
      ConnectError: no connection could be made.
    """
    if not health_path:
        return ""
    headers = [(b"host", address.encode())]
    data = http_client.encode_request(
        b"GET", health_path.encode(), headers, b""
    )
    try:
        async with asyncio.timeout(IDENTIFY_TIMEOUT_S):
            connection = await client.open()
            try:
                answer = await connection.exchange(data, lambda _: True)
            finally:
                connection.abort()
    except (TimeoutError, http_client.ConnectionBrokenError) as error:
        log.write("target_unidentified", reason=repr(error))
        return ""
    return protocol.target_of(answer)
