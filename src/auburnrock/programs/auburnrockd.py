"""The daemon: one process beside each target.

Usage: auburnrockd --settings=FILE
"""

import asyncio
import contextlib
import enum
import os
import signal
import sys

from absl import app
from absl import flags
import aiomisc
import uvloop

from auburnrock.control import server as control_server
from auburnrock.engine import timing as timing_lib
from auburnrock.platform import http as http_platform
from auburnrock.shells import control_source
from auburnrock.shells import logs
from auburnrock.shells import metrics as metrics_lib
from auburnrock.shells import metrics_task
from auburnrock.shells import node as node_lib
from auburnrock.shells import planned_stop
from auburnrock.shells import settings as settings_lib

SETTINGS = flags.DEFINE_string(
    "settings", None, "JSON file with the daemon's settings"
)
WRONG_SETTINGS_EXIT_CODE = 2
ENDED_CHECK_S = 0.1
LAST_REQUESTS_S = 2.0


class End(enum.Enum):
    """Why a node no longer runs."""

    STOPPED = "stopped"
    ENDED_BY_OTHERS = "ended_by_others"


def main(_arguments: list[str]) -> int:
    """Runs the daemon until SIGTERM or SIGINT."""
    if SETTINGS.value is None:
        print("--settings is missing: name a JSON file", file=sys.stderr)
        return WRONG_SETTINGS_EXIT_CODE
    try:
        settings = settings_lib.load(SETTINGS.value)
    except settings_lib.SettingsError as error:
        print(error, file=sys.stderr)
        return WRONG_SETTINGS_EXIT_CODE
    if uvloop.run(serve(settings)) is End.ENDED_BY_OTHERS:
        # As a restarted process would, with nothing left of the former node.
        os.execv(sys.executable, sys.orig_argv)
    return 0


async def serve(settings: settings_lib.DaemonSettings) -> End:
    """Runs one node until it is told to stop, or others have ended it.

    One that others have ended, as after a long pause, can never serve again.
    """
    event_log = logs.event_log(settings.name)
    platform = http_platform.connect(settings.platform)
    node = node_lib.Node(settings, platform, event_log, timing_lib.Timing())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
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
        *services, loop=loop, log_config=False, catch_signals=()
    ):
        end = await _end_of(node, stopping)
        if end is End.STOPPED:
            await planned_stop.PlannedStop(node).run()
        else:
            event_log.write("ended_by_others")
            await node.front.finish(LAST_REQUESTS_S)
    await platform.close()
    return end


async def _end_of(node: node_lib.Node, stopping: asyncio.Event) -> End:
    while not node.lease.ended():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ENDED_CHECK_S):
                await stopping.wait()
                return End.STOPPED
    return End.ENDED_BY_OTHERS


def run() -> None:
    """Entry point of the installed command."""
    app.run(main)


if __name__ == "__main__":
    run()
