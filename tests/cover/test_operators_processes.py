"""Operators apply files at once while daemons are cut off or frozen.

The test guards against a lost or reverted revision of the configuration: an
operator's write could replace another one unseen, or a daemon that was away
could put an older revision into force.
"""

import asyncio
import re

from auburnrock import errors
from auburnrock.ctl import report
from auburnrock_standins import trial as trial_lib
from tests.common import operators

REVISIONS = 50
TIMEOUT_S = 20.0
_START_OR_REVISION = re.compile(
    r"event=(started|configuration_in_force)(?:.*?revision="
    r"(\d+))?"
)


def revisions_by_start(host):
    """Returns, for each start of a daemon, the revisions put in force."""
    starts = []
    for event, revision in _START_OR_REVISION.findall(host.daemon.output()):
        if event == "started":
            starts.append([])
        else:
            starts[-1].append(int(revision))
    return starts


async def wait_until_in_force(hosts, revision):
    async with asyncio.timeout(TIMEOUT_S):
        while any(
            revisions_by_start(host)[-1][-1:] != [revision] for host in hosts
        ):
            await asyncio.sleep(0.05)


async def test_daemons_that_were_away_lose_or_revert_no_revision(
    tmp_path,
):
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
        for finished in await asyncio.gather(ana.apply(), bor.apply()):
            assert finished.code is report.ExitCode.DONE
        bor.write(same=operators.grids(4))
        refused = await bor.apply()
        assert refused.code is report.ExitCode.REFUSED
        assert errors.ErrorKind.CONFLICT.value in refused.error

        revision = 0
        for slots in range(10, 10 + REVISIONS):
            revision = await trial_lib.accept_file(
                trial.platform, "same.json", operators.grids(slots)
            )
        # Revision 1 at the start, one of each operator, then REVISIONS more.
        assert revision == 3 + REVISIONS
        await wait_until_in_force([cut_off, *others], revision)
        frozen.daemon.thaw()
        await trial.fleet.cut([])
        await trial.wait_until_settled()
        await wait_until_in_force([frozen], revision)
        for host in trial.fleet.hosts.values():
            for start in revisions_by_start(host):
                assert start == sorted(set(start))
        shown = await bor.result("show")
        assert shown["revision"] == revision
