"""Longer failures of real processes, replayed by the oracle."""

import asyncio
import random

import pytest

from auburnrock.shells import clock
from auburnrock_standins import platform_switches
from auburnrock_standins import processes
from auburnrock_standins import trial as trial_lib
from tests.common import failures

OUTAGE_S = 30.0
ROUNDS = 6


async def test_an_unchecked_target_keeps_its_shards_until_it_has_ended():
    async with trial_lib.running(4, checks_grants=False) as trial:
        failures.ask_for_all(trial)
        host = await failures.owner_of_some(trial)
        await failures.lose(trial, trial.kill_host, host)
        host = await failures.owner_of_some(trial)
        await failures.lose(trial, lambda host: host.target.kill(), host)
        host = await failures.owner_of_some(trial)
        before = trial.keys_of(await trial.owners(), trial.incarnation(host))
        trial.kill_daemon(host)
        await failures.wait_for_a_takeover(trial)
        owners = await trial.owners()
        assert trial.keys_of(owners, trial.incarnation(host)) == before
        await trial.restart(host)
        owners = await trial.wait_until_settled()
        assert trial.keys_of(owners, trial.incarnation(host)) == before
        await failures.wait_until_all_served(trial)
        assert await trial.broken_promises() == []


@pytest.mark.parametrize("loses_a_host", [False, True])
async def test_a_long_outage_of_the_store_stops_no_living_owner(loses_a_host):
    async with trial_lib.running(5) as trial:
        failures.ask_for_all(trial)
        host = await failures.owner_of_some(trial)
        owners = await trial.owners()
        lost = trial.keys_of(owners, trial.incarnation(host))
        kept = [key for key in trial.keys if key not in lost]
        since_ms = clock.now_ms()
        async with failures.store_outage(trial):
            await asyncio.sleep(1.0)
            if loses_a_host:
                trial.prober.keys = kept
                await trial.prober.finish()
                trial.kill_host(host)
            await asyncio.sleep(OUTAGE_S)
        assert failures.errors(trial, since_ms) == []
        trial.prober.keys = trial.keys
        await failures.wait_until_all_served(trial)
        assert await trial.broken_promises() == []


@pytest.mark.parametrize("seed", range(2))
async def test_any_freezes_break_no_promise(seed):
    chance = random.Random(seed)
    async with trial_lib.running(5) as trial:
        failures.ask_for_all(trial)
        for _ in range(ROUNDS):
            host = await failures.owner_of_some(trial)
            parts = [host.daemon, host.target]
            frozen = chance.choice([parts, parts[:1], parts[1:]])
            await failures.freeze(trial, *frozen, host=host)
        assert await trial.broken_promises() == []


async def test_a_power_cut_of_all_hosts_loses_no_assignment():
    async with trial_lib.running(6) as trial:
        failures.ask_for_all(trial)
        await failures.wait_until_all_served(trial)
        before = {
            shard: trial.host(owner).spec.name
            for shard, owner in (await trial.owners()).items()
        }
        for host in trial.fleet.hosts.values():
            trial.kill_host(host)
        await asyncio.gather(
            *(trial.restart(host) for host in trial.fleet.hosts.values())
        )
        owners = await trial.wait_until_settled()
        await failures.wait_until_all_served(trial)
        after = {
            shard: trial.host(owner).spec.name
            for shard, owner in owners.items()
        }
        assert after == before
        assert await trial.broken_promises() == []


async def test_all_links_cut_and_healed_bring_all_back():
    async with trial_lib.running(4, has_forwarder=True) as trial:
        failures.ask_for_all(trial)
        hosts = list(trial.fleet.hosts.values())
        cuts = [
            cut for host in hosts for cut in trial.fleet.cut_from_nodes(host)
        ]
        await trial.fleet.cut(cuts)
        await asyncio.sleep(failures.LONGER_THAN_A_LEASE_S)
        await trial.fleet.cut([])
        await failures.wait_until_all_served(trial)
        assert await trial.broken_promises() == []


async def test_a_node_cut_from_the_store_goes_on_serving():
    async with trial_lib.running(4, has_forwarder=True) as trial:
        failures.ask_for_all(trial)
        host = await failures.owner_of_some(trial)
        owners = await trial.owners()
        since_ms = clock.now_ms()
        await trial.fleet.cut([trial.fleet.cut_from_platform(host)])
        await asyncio.sleep(10.0)
        assert failures.errors(trial, since_ms) == []
        assert await trial.owners() == owners
        await trial.fleet.cut([])
        await trial.wait_until_settled()
        assert await trial.broken_promises() == []


async def test_lost_answers_and_late_writes_break_no_promise():
    async with trial_lib.running(5) as trial:
        failures.ask_for_all(trial)
        for switches in [
            platform_switches.PlatformSwitches(lose_share=0.5),
            platform_switches.PlatformSwitches(late_writes=3, late_ms=700),
            platform_switches.PlatformSwitches(slowness_ms=100),
        ]:
            address = trial.fleet.platform_address()
            await processes.switch(address, switches)
            await failures.lose(
                trial, trial.kill_host, await failures.owner_of_some(trial)
            )
            await failures.lose(trial, trial.kill_daemon, await trial.leader())
        assert await trial.broken_promises() == []
