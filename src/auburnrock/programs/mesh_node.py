"""Program of the node, which runs beside a target on the platform."""

import asyncio
import functools
import gc
import os
import signal
import sys

import uvloop

from auburnrock.engine.mesh import hedging
from auburnrock.engine.mesh import model
from auburnrock.platform import protocol
from auburnrock.platform import store_client as platform_store
from auburnrock.shells import clock
from auburnrock.shells.mesh import node as node_module
from auburnrock.shells.mesh import wire_protocol

GARBAGE_THRESHOLD = 10_000
"""Number of new objects that triggers a garbage collection. Requests create few
reference cycles, and the default of 700 collects several times a request."""

HEDGE_SHARE_VARIABLE = "AUBURNROCK_HEDGE_SHARE"
"""Environment variable with the share of extra sends for hedged requests."""

SETTINGS_TIMEOUT_S = 2.0
"""Time in which a settings file becomes readable that is being written."""

SETTINGS_RETRY_S = 0.05
"""Interval between two attempts to read the settings file."""


async def read_settings(dialect: protocol.PlatformProtocol) -> model.Settings:
    """Reads the settings file, which the platform may be writing now.

    Raises:
      DecodeError: the file is still unreadable after SETTINGS_TIMEOUT_S.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + SETTINGS_TIMEOUT_S
    while True:
        try:
            return dialect.load_settings()
        except wire_protocol.DecodeError as error:
            if loop.time() >= end_s:
                raise
            print(f"event=settings_unreadable error={str(error)!r}", flush=True)
        await asyncio.sleep(SETTINGS_RETRY_S)


async def serve() -> int:
    """Runs the node until a signal stops it.

    Returns the exit status: 2 if the settings cannot be read.
    """
    try:
        hedge_share = hedging.parse_share(os.environ.get(HEDGE_SHARE_VARIABLE))
    except ValueError as error:
        reason = f"{HEDGE_SHARE_VARIABLE}: {error}"
        print(f"event=start_failed error={reason!r}", flush=True)
        return 2
    dialect = protocol.PlatformProtocol()
    try:
        settings = await read_settings(dialect)
    except wire_protocol.DecodeError as error:
        print(f"event=start_failed error={str(error)!r}", flush=True)
        return 2
    node = node_module.Node(
        settings,
        dialect,
        functools.partial(platform_store.StoreClient, now_ms=clock.exact_ms),
        hedge_share,
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.begin_stop)
    loop.add_signal_handler(signal.SIGINT, node.begin_stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    # Objects created by imports live on; collecting them only costs time.
    gc.freeze()
    gc.set_threshold(GARBAGE_THRESHOLD)
    await node.stopped.wait()
    return 0


def run() -> None:
    """Runs the program and exits with its status."""
    code = uvloop.run(serve())
    # The event loop has restored the default, which ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.stdout.flush()
    sys.exit(code)


if __name__ == "__main__":
    run()
