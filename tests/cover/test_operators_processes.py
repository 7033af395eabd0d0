"""Operators race while real daemons are cut off, frozen and thawed."""

import asyncio
import re

from auburnrock import errors
from auburnrock.ctl import report
from auburnrock_standins import trial as trial_lib
from tests.common import operators

REVISIONS = 50
LIMIT_S = 20.0
_IN_FORCE = re.compile(
    r"event=(started|configuration_in_force)(?:.*?revision="
    r"(\d+))?"
)


def revisions_of(host):
    """The revisions that came into force at each start of a daemon."""
    starts = []
    for event, revision in _IN_FORCE.findall(host.daemon.output()):
        if event == "started":
            starts.append([])
        else:
            starts[-1].append(int(revision))
    return starts


async def wait_until_in_force(hosts, revision):
    async with asyncio.timeout(LIMIT_S):
        while any(revisions_of(host)[-1][-1:] != [revision] for host in hosts):
            await asyncio.sleep(0.05)


async def test_no_revision_is_lost_or_reverts_whoever_was_away(tmp_path):
    async with trial_lib.running(4, has_forwarder=True) as trial:
        cut_off, frozen, *others = trial.fleet.hosts.values()
        address = trial.fleet.platform_address()
        ana = operators.Operator(tmp_path / "ana", address)
        bor = operators.Operator(tmp_path / "bor", address)
        for operator in (ana, bor):
            assert (await operator.fetch()).code is report.ExitCode.DONE
        await trial.fleet.cut([trial.fleet.cut_from_platform(cut_off)])
        frozen.daemon.freeze()

        ana.write(hints=operators.HINTS, same=operators.grids(3))
        bor.write(more=operators.HINTS.replace("hintsvc", "clues"))
        for raced in await asyncio.gather(ana.apply(), bor.apply()):
            assert raced.code is report.ExitCode.DONE
        bor.write(same=operators.grids(4))
        refused = await bor.apply()
        assert refused.code is report.ExitCode.REFUSED
        assert errors.ErrorKind.CONFLICT.value in refused.error

        revision = 0
        for slots in range(10, 10 + REVISIONS):
            revision = await trial_lib.accept_file(
                trial.platform, "same.json", operators.grids(slots)
            )
        # 1 at the start, one for each operator, then the fifty.
        assert revision == 3 + REVISIONS
        await wait_until_in_force([cut_off, *others], revision)
        frozen.daemon.thaw()
        await trial.fleet.cut([])
        await trial.wait_until_settled()
        await wait_until_in_force([frozen], revision)
        for host in trial.fleet.hosts.values():
            for start in revisions_of(host):
                assert start == sorted(set(start))
        shown = await bor.result("show")
        assert shown["revision"] == revision
