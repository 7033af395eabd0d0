"""Puts a deployment on loopback into the state that a run begins from."""

import asyncio
import pathlib

from auburnrock import records
from auburnrock.engine import configuration
from auburnrock.store import http as http_platform
from auburnrock_standins import fleet as fleet_lib

READY_LIMIT_S = 20.0


async def accept_files(
    platform: http_platform.HttpPlatform, folder: pathlib.Path
) -> None:
    """Puts an operators' folder into force."""
    changes = [
        configuration.FileChange(
            path.name, path.read_text(), configuration.NO_FILE
        )
        for path in sorted(folder.iterdir())
    ]
    change_set = configuration.ChangeSet(changes, "demonstration")
    proposed = configuration.propose(None, change_set).unwrap()
    await platform.compare_and_swap(
        records.CONFIGURATION_KEY, records.encode_json(proposed), 0
    )


async def owners(platform: http_platform.HttpPlatform) -> dict:
    """The owner of each shard, by service and shard."""
    snapshot = await platform.list(records.PAGES_PREFIX)
    found = {}
    for value in snapshot.values:
        page = records.decode_page(value.data)
        first = page.page * records.SHARDS_PER_PAGE
        for shard, entry in enumerate(page.entries, first):
            found[page.service, shard] = entry.owner
    return found


async def wait_until_owned(
    platform: http_platform.HttpPlatform, spec: fleet_lib.DeploymentSpec
) -> dict:
    """Waits until each shard has an owner; returns the owners."""
    async with asyncio.timeout(READY_LIMIT_S):
        while True:
            found = await owners(platform)
            nodes = await platform.list(records.NODES_PREFIX)
            announced = [
                value
                for value in nodes.values
                if records.decode_node(value.data).target_incarnation
            ]
            ready = found and records.NO_OWNER not in found.values()
            if ready and len(announced) == len(spec.hosts):
                await asyncio.sleep(1.0)
                return await owners(platform)
            await asyncio.sleep(0.1)
