"""Clients offer an upgrade of their connection with the first request on it.

The node may ignore the offer. Each request must get its own answer.
"""

import asyncio

from harness import configuration
from harness import fleet as fleet_module
from harness import http1
from harness import script
from harness import upstream

CONNECTIONS = 40
REQUESTS = 3
"""Requests on each connection, one after the other."""

OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQAoAAAAAIAAAAA",
}
"""Headers of a client that offers HTTP/2 (RFC 7540, 3.2)."""


async def use_connection(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine
) -> list[str]:
    """Sends requests on one connection; returns the foreign answers."""
    found = []
    host, _, port = machine.address("outbound").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(REQUESTS):
        fleet.attempts += 1
        attempt = f"a{fleet.attempts:07d}"
        headers = {
            "Host": configuration.HOST,
            "Auburnrock-Attempt-Id": attempt,
            "Auburnrock-Deadline-Ms": "1000",
        }
        if script.trouble() and number == 0:
            headers |= OFFER
        fleet.record.write("sent", attempt=attempt, number=number)
        try:
            writer.write(
                http1.encode_request("POST", "/book/1", headers, b"order")
            )
            async with asyncio.timeout(1.5):
                answer = await http1.read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            fleet.record.write("no_answer", attempt=attempt, error=repr(error))
            break
        named = answer.headers.get("auburnrock-attempt-id", "")
        fleet.record.write(
            "answered", attempt=attempt, status=answer.status(), names=named
        )
        own = f"ran {attempt} ".encode() in answer.body
        if answer.status() == 200 and not own:
            found.append(f"{attempt} got the success of another request")
        if answer.status() == 400:
            found.append(f"{attempt} got 400, which no request caused")
        if answer.headers.get("connection") == "close":
            break
    writer.close()
    return found


async def play(fleet: fleet_module.Fleet) -> str:
    """Plays the case; returns how the rule was broken, or nothing."""
    await fleet.start(
        ["booker", "booker", "portal"],
        configuration.configuration(
            [
                configuration.route(
                    "r-book", "/book/", "booker", idempotent=False
                )
            ],
            {"booker": False, "portal": False},
        ),
        upstream.Upstream,
    )
    client = fleet.machines[2]
    await fleet.wait_until_served(
        client, configuration.HOST, "/book/0", method="POST", body=b"x"
    )
    found: list[str] = []
    for _ in range(CONNECTIONS):
        found += await use_connection(fleet, client)
    if not found:
        return ""
    return f"MIXED: {len(found)} answers, first: {found[0]}"


if __name__ == "__main__":
    script.run(__file__, play)
