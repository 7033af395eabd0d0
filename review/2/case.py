"""Upstreams answer a few requests with trailer lines that do not end.

The node must stay within its memory; the platform kills one that does not.
"""

from harness import endless
from harness import fleet as fleet_module
from harness import script


class Spoiler(endless.FaultyUpstream):
    """Sends a chunked body whose closing lines do not end."""

    SHARE = 0.01
    BEGINNING = b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
    PIECE = b"x: y\r\n" * 8192


async def play(fleet: fleet_module.Fleet) -> str:
    """Plays the case; returns how the rule was broken, or nothing."""
    return await endless.play(fleet, Spoiler)


if __name__ == "__main__":
    script.run(__file__, play, endless.MEMORY_MB)
