import asyncio
import pathlib

from auburnrock import records
from auburnrock.store import http as http_platform
from auburnrock_standins import fleet as fleet_lib
from auburnrock_standins import preparation
from auburnrock_standins import processes

FILES = pathlib.Path(__file__).parents[2] / "deploy" / "tiha-voda" / "files"
TIMEOUT_S = 20.0
SERVICE = "harbour-portal"


def three_hosts() -> fleet_lib.DeploymentSpec:
    hosts = [
        fleet_lib.HostSpec(
            name=f"host-{n}", zone=zone, service="harbour-portal"
        )
        for n, zone in enumerate(("piran", "izola", "koper"))
    ]
    return fleet_lib.DeploymentSpec(region="primorska", hosts=hosts)


async def node_records(platform) -> list[records.NodeRecord]:
    listed = await platform.list(records.NODES_PREFIX)
    return [records.decode_node(value.data) for value in listed.values]


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.05)


async def test_a_daemon_frozen_past_its_lease_resumes_as_a_new_incarnation(
    tmp_path,
):
    spec = three_hosts()
    with processes.Deployment(tmp_path) as deployment:
        fleet = fleet_lib.Fleet(deployment, spec)
        await fleet.start()
        platform = http_platform.connect(fleet.platform_address())
        await preparation.accept_files(platform, FILES)
        before = await preparation.wait_until_owned(platform, spec)
        host = fleet.hosts["host-0"]
        former = int(host.output_incarnation(), 16)
        assert former in before.values()

        async def is_ended() -> bool:
            return any(
                record.incarnation == former
                and record.state is records.NodeState.ENDED
                for record in await node_records(platform)
            )

        async def is_active_again() -> bool:
            return any(
                record.name == "host-0"
                and record.incarnation > former
                and record.state is records.NodeState.ACTIVE
                for record in await node_records(platform)
            )

        host.daemon.freeze()
        await wait_until(is_ended)
        host.daemon.thaw()
        await wait_until(is_active_again)

        async def has_no_keys() -> bool:
            owners = await preparation.owners(platform)
            return former not in owners.values()

        await wait_until(has_no_keys)
        assert host.daemon.terminate() == 0
        await platform.close()
