"""A target as a small program.

Usage: python -m auburnrock_standins.target --port=7801 --service=ledger \
  --node=127.0.0.1:7701
"""

import asyncio
import signal

from absl import app
from absl import flags
import uvloop

from auburnrock_standins import target_server

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1", "IP number to serve at")
_PORT = flags.DEFINE_integer("port", 0, "port to serve at; 0 picks one")
_NODE = flags.DEFINE_string("node", "", "host:port of the node beside it")
_SERVICE = flags.DEFINE_string("service", "demo", "service that it serves")
_SLOTS = flags.DEFINE_integer("slots", 20, "requests that run at a time")
_QUEUE = flags.DEFINE_integer("queue", 100, "requests that wait for a slot")
_CHECKS = flags.DEFINE_bool("checks_grants", True, "refuse without a grant")
_SERVICE_TIME_MS = flags.DEFINE_integer(
    "service_time_ms", 5, "how long a request runs, in milliseconds"
)
_COLD_START_MS = flags.DEFINE_integer(
    "cold_start_ms", 0, "how long after its start it is cold"
)
_COLD_SERVICE_TIME_MS = flags.DEFINE_integer(
    "cold_service_time_ms", 50, "how long a request runs while cold"
)
_PRINT_EXECUTIONS = flags.DEFINE_bool(
    "print_executions", False, "write a line when work begins"
)


async def serve(
    settings: target_server.TargetSettings, address: str, port: int, node: str
) -> None:
    """Serves, and announces itself if a node is named, until it is ended."""
    server, runner = await target_server.start(settings, address, port)
    host, bound_port = runner.addresses[0][:2]
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    announcing = None
    if node:
        announcing = loop.create_task(
            server.announce_forever(node, f"{host}:{bound_port}")
        )
    await stopping.wait()
    await server.finish()
    if announcing is not None:
        announcing.cancel()
    await runner.cleanup()


def main(arguments: list[str]) -> None:
    """Starts the program; called by absl."""
    del arguments
    settings = target_server.TargetSettings(
        service=_SERVICE.value,
        slots=_SLOTS.value,
        queue=_QUEUE.value,
        checks_grants=_CHECKS.value,
        service_time_ms=_SERVICE_TIME_MS.value,
        cold_start_ms=_COLD_START_MS.value,
        cold_service_time_ms=_COLD_SERVICE_TIME_MS.value,
        print_executions=_PRINT_EXECUTIONS.value,
    )
    uvloop.run(serve(settings, _ADDRESS.value, _PORT.value, _NODE.value))


if __name__ == "__main__":
    app.run(main)
