"""The platform's key-value service as a small program, in memory.

Usage: python -m auburnrock_standins.platform --address=127.0.0.1 --port=7700
"""

from absl import app
from absl import flags
import uvloop

from auburnrock_standins import platform_server
from auburnrock_standins import store

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1", "IP number to serve at")
_PORT = flags.DEFINE_integer("port", 7700, "port to serve at; 0 picks one")
_HISTORY = flags.DEFINE_integer(
    "history", store.HISTORY_LIMIT, "changes kept for watches"
)


async def serve(address: str, port: int, history_limit: int) -> None:
    """Serves until the process ends."""
    server, _ = await platform_server.start(address, port, history_limit)
    await server.end_leases_forever()


def main(arguments: list[str]) -> None:
    """Starts the program; called by absl."""
    del arguments
    uvloop.run(serve(_ADDRESS.value, _PORT.value, _HISTORY.value))


if __name__ == "__main__":
    app.run(main)
