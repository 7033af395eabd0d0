"""The daemon: one process beside each target.

Usage: auburnrockd --settings=FILE
"""

import asyncio
import signal
import sys

from absl import app
from absl import flags
import aiomisc
import uvloop

from auburnrock.control import server as control_server
from auburnrock.engine import timing as timing_lib
from auburnrock.shells import control_source
from auburnrock.shells import logs
from auburnrock.shells import memory
from auburnrock.shells import metrics as metrics_lib
from auburnrock.shells import metrics_task
from auburnrock.shells import node as node_lib
from auburnrock.shells import planned_stop
from auburnrock.shells import settings as settings_lib
from auburnrock.store import http as http_platform

SETTINGS = flags.DEFINE_string(
    "settings", None, "JSON file with the daemon's settings"
)
INVALID_SETTINGS_EXIT_CODE = 2
"""Exit code of a daemon whose settings are missing or invalid."""
TIMING = timing_lib.Timing()


def main(_arguments: list[str]) -> int:
    """Runs the daemon until SIGTERM or SIGINT."""
    if SETTINGS.value is None:
        print("--settings is missing: name a JSON file", file=sys.stderr)
        return INVALID_SETTINGS_EXIT_CODE
    try:
        settings = settings_lib.load(SETTINGS.value)
    except settings_lib.SettingsError as error:
        print(error, file=sys.stderr)
        return INVALID_SETTINGS_EXIT_CODE
    start(settings)
    return 0


def start(settings: settings_lib.DaemonSettings) -> None:
    """Runs the daemon in a new event loop until SIGTERM or SIGINT."""
    memory.freeze_loaded_objects()
    uvloop.run(serve(settings))


async def serve(settings: settings_lib.DaemonSettings) -> None:
    """Runs one incarnation after another until SIGTERM or SIGINT.

    An incarnation that other nodes have ended, for example after its process
    was frozen for long, never serves again; the process starts a new one.
    """
    event_log = logs.event_log(settings.name)
    platform = http_platform.connect(settings.platform)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    while not stopping.is_set():
        node = node_lib.Node(settings, platform, event_log, TIMING)
        incarnation_task = asyncio.create_task(run_incarnation(node, stopping))
        stop_task = asyncio.create_task(stopping.wait())
        await asyncio.wait(
            [incarnation_task, stop_task], return_when=asyncio.FIRST_COMPLETED
        )
        stop_task.cancel()
        if not node.sync.ready.is_set():
            # The store has not answered yet, so the node has started nothing.
            incarnation_task.cancel()
        await asyncio.wait([incarnation_task])
        if not incarnation_task.cancelled():
            incarnation_task.result()
    await platform.close()


async def run_incarnation(node: node_lib.Node, stopping: asyncio.Event) -> None:
    """Runs one incarnation until a planned stop is done or it has ended."""
    settings = node.settings
    event_log = node.event_log
    event_log.write("started", incarnation=f"{node.incarnation:016x}")
    source = control_source.NodeControl(node, stopping.set)
    control = control_server.make_server(
        settings.address, settings.control_port, source, event_log
    )
    metrics = metrics_task.MetricsTask(
        source,
        node.router,
        event_log,
        metrics_lib.connect(settings.statsd, settings.name),
        node.runner.traffic,
    )
    services = [*node.services, control, metrics]
    async with aiomisc.entrypoint(
        *services,
        loop=asyncio.get_running_loop(),
        log_config=False,
        catch_signals=(),
    ):
        end_task = asyncio.create_task(node.ended.wait())
        stop_task = asyncio.create_task(stopping.wait())
        await asyncio.wait(
            [end_task, stop_task], return_when=asyncio.FIRST_COMPLETED
        )
        end_task.cancel()
        stop_task.cancel()
        stop = planned_stop.PlannedStop(node)
        if stopping.is_set():
            await stop.run()
        else:
            await stop.finish_requests()


def run() -> None:
    """Runs the installed command auburnrockd."""
    app.run(main)


if __name__ == "__main__":
    run()
