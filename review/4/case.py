"""Upstreams answer some requests with a body that does not end.

The node must stay within its memory; the platform kills one that does not.
"""

from harness import endless
from harness import fleet as fleet_module
from harness import script


class Spoiler(endless.FaultyUpstream):
    """Sends a body without a length and without an end."""

    SHARE = 0.05
    BEGINNING = b"\r\n"
    PIECE = bytes(64 * 1024)


async def play(fleet: fleet_module.Fleet) -> str:
    """Plays the case; returns how the rule was broken, or nothing."""
    return await endless.play(fleet, Spoiler)


if __name__ == "__main__":
    script.run(__file__, play, endless.MEMORY_MB)
