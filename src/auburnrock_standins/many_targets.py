"""Many targets in one process, where their own cost is not measured.

Usage: python -m auburnrock_standins.many_targets --service=ledger \
  --pair=127.0.0.1:7801=127.0.0.1:7701 --pair=...
"""

import asyncio

from absl import app
from absl import flags
import uvloop

from auburnrock_standins import target_server

_SERVICE = flags.DEFINE_string("service", "demo", "service that they serve")
_PAIRS = flags.DEFINE_multi_string(
    "pair", [], "host:port of a target = host:port of the node beside it"
)


async def serve(service: str, pairs: list[str]) -> None:
    """Serves all targets and announces them until it is ended."""
    settings = target_server.TargetSettings(service=service)
    announcing = []
    for pair in pairs:
        address, _, node = pair.partition("=")
        host, _, port = address.rpartition(":")
        server, _ = await target_server.start(settings, host, int(port))
        announcing.append(server.announce_forever(node, address))
    await asyncio.gather(*announcing)


def main(_arguments: list[str]) -> None:
    """Starts the program; called by absl."""
    uvloop.run(serve(_SERVICE.value, _PAIRS.value))


if __name__ == "__main__":
    app.run(main)
