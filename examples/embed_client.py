"""Embedding the client: a request goes straight to the owner of its key.

Starts a small deployment on loopback, then calls it as an application would.

Usage: python -m examples.embed_client
"""

import asyncio
import pathlib
import tempfile

from auburnrock import client as client_lib
from auburnrock.store import http as http_platform
from auburnrock_standins import fleet as fleet_lib
from auburnrock_standins import preparation
from auburnrock_standins import processes

ROOT = pathlib.Path(__file__).resolve().parents[1]


async def main() -> None:
    """Runs the example."""
    folder = ROOT / "deploy" / "tiha-voda"
    spec = fleet_lib.read_spec(folder / "deployment.json")
    with (
        tempfile.TemporaryDirectory() as scratch,
        processes.Deployment(pathlib.Path(scratch)) as deployment,
    ):
        fleet = fleet_lib.Fleet(deployment, spec)
        await fleet.start()
        platform = http_platform.connect(fleet.platform_address())
        await preparation.accept_files(platform, folder / "files")
        await preparation.wait_until_owned(platform, spec)
        await platform.close()
        await call_some(fleet)


async def call_some(fleet: fleet_lib.Fleet) -> None:
    """What an application does."""
    first = next(iter(fleet.hosts.values()))
    client = await client_lib.connect([first.peer_address()], zone="piran")
    for number in range(5):
        call = client_lib.Call(
            service="harbour-portal", path="/sailings", key=f"date-{number}"
        )
        answered = await client.call(call)
        print(call.key, answered)
    await client.close()


if __name__ == "__main__":
    asyncio.run(main())
