import asyncio

import msgspec
import pytest

from auburnrock import errors
from auburnrock import records
from auburnrock.ctl import commands
from auburnrock.ctl import folder
from auburnrock.ctl import report
from tests.common import operators
from tests.common import platforms

DONE = report.ExitCode.DONE
REFUSED = report.ExitCode.REFUSED
USAGE = report.ExitCode.USAGE
UNREACHABLE = report.ExitCode.UNREACHABLE
OUTCOME_UNKNOWN = report.ExitCode.OUTCOME_UNKNOWN

CLOSED_ADDRESS = "127.0.0.1:1"


@pytest.fixture
async def platform():
    async with platforms.RunningPlatform() as running:
        yield running


@pytest.fixture
async def ana(platform, tmp_path):
    """An operator whose folder of two files is accepted as revision 1."""
    operator = operators.Operator(tmp_path / "ana", platform.address)
    operator.write(hints=operators.HINTS, grids=operators.GRIDS)
    assert (await operator.apply()).code is DONE
    return operator


@pytest.fixture
async def bor(platform, tmp_path, ana):
    """A second operator, who has fetched revision 1 into another folder."""
    operator = operators.Operator(tmp_path / "bor", platform.address)
    assert (await operator.fetch()).code is DONE
    return operator


async def test_an_applied_folder_equals_the_accepted_files(platform, ana):
    assert platform.configuration().revision == 1
    assert platform.configuration().files == ana.texts()
    ana.write(hints=None, grids=operators.grids(3), more=operators.HINTS)
    applied = await ana.result("apply", str(ana.folder))
    assert applied["revision"] == 2
    assert applied["changed"] == ["grids.json", "hints.json", "more.json"]
    assert platform.configuration().files == ana.texts()


async def test_a_folder_applied_again_changes_nothing(platform, ana):
    swaps = platform.swaps
    assert (await ana.result("apply", str(ana.folder)))["changed"] == []
    assert platform.swaps == swaps


async def test_a_fetched_folder_equals_the_accepted_files(bor, ana):
    assert bor.texts() == ana.texts()


async def test_operators_who_change_different_files_both_succeed(
    platform, ana, bor
):
    ana.write(grids=operators.grids(1))
    bor.write(extra='{"services": {"unlocksvc": {}}}')
    both = await asyncio.gather(ana.apply(), bor.apply())
    assert [finished.code for finished in both] == [DONE, DONE]
    assert platform.configuration().revision == 3
    assert platform.configuration().files == {**ana.texts(), **bor.texts()} | {
        "grids.json": operators.grids(1)
    }


async def test_of_two_changes_of_one_file_one_is_refused_with_advice(
    platform, ana, bor
):
    ana.write(grids=operators.grids(1))
    bor.write(grids=operators.grids(2))
    both = await asyncio.gather(ana.apply(), bor.apply())
    assert sorted(finished.code for finished in both) == [DONE, REFUSED]
    refused = next(f for f in both if f.code is REFUSED)
    assert "grids.json" in refused.error
    assert "auburnctl fetch" in refused.error
    accepted = [ana, bor][both[0].code is REFUSED]
    assert platform.configuration().revision == 2
    assert platform.configuration().files == accepted.texts()


async def test_a_refused_change_is_accepted_after_the_other_is_fetched(
    platform, ana, bor
):
    ana.write(grids=operators.grids(1))
    await ana.apply()
    bor.write(grids=operators.grids(2))
    assert (await bor.apply()).code is REFUSED
    assert (await bor.fetch()).code is REFUSED
    assert bor.texts()["grids.json"] == operators.grids(2)
    assert (await bor.fetch("--keep=local")).code is DONE
    assert (await bor.apply()).code is DONE
    assert platform.configuration().files == bor.texts()


async def test_a_refused_change_can_be_discarded(platform, ana, bor):
    ana.write(grids=operators.grids(1))
    await ana.apply()
    bor.write(grids=operators.grids(2))
    assert (await bor.fetch("--keep=accepted")).code is DONE
    assert bor.texts() == ana.texts()


@pytest.mark.parametrize("removes_first", [True, False])
async def test_of_a_removal_and_a_change_of_one_file_one_is_refused(
    platform, ana, bor, removes_first
):
    ana.write(grids=None)
    bor.write(grids=operators.grids(2))
    first, second = (ana, bor) if removes_first else (bor, ana)
    assert (await first.apply()).code is DONE
    refused = await second.apply()
    assert refused.code is REFUSED
    assert "grids.json" in refused.error
    assert platform.configuration().files == first.texts()


async def test_an_unread_file_of_another_operator_is_never_removed(
    platform, ana, bor
):
    ana.write(extra='{"services": {"unlocksvc": {}}}')
    await ana.apply()
    bor.write(grids=operators.grids(2))
    applied = await bor.result("apply", str(bor.folder))
    assert applied["behind"] == ["extra.json"]
    assert "extra.json" in platform.configuration().files


async def test_an_invalid_file_among_valid_ones_changes_nothing(platform, ana):
    before = platform.configuration()
    ana.write(extra='{"services": {"unlocksvc": {"slots": "x"}}}')
    ana.write(grids=operators.grids(7))
    finished = await ana.apply()
    assert finished.code is REFUSED
    assert "configuration_rejected: file extra.json" in finished.error
    assert platform.configuration() == before


async def test_check_finds_what_apply_would_refuse(ana):
    ana.write(extra='{"services": {"unlocksvc": {"slots": "x"}}}')
    alone = await commands.execute(["check", str(ana.folder)])
    against_store = await ana.run("check", str(ana.folder))
    assert alone.code is against_store.code is REFUSED
    ana.write(extra=None, grids=operators.grids(5))
    assert (await ana.result("check", str(ana.folder)))["changes"] == [
        "grids.json"
    ]


async def test_check_against_the_store_finds_a_change_of_layout(ana):
    ana.write(hints=operators.HINTS.replace("80", "81"))
    assert (await commands.execute(["check", str(ana.folder)])).code is DONE
    finished = await ana.run("check", str(ana.folder))
    assert finished.code is REFUSED
    assert "hints.json" in finished.error


async def test_put_and_remove_change_one_file(platform, ana):
    ana.write(grids=operators.grids(9), hints=operators.GRIDS)
    path = ana.folder / "grids.json"
    assert (await ana.result("put", str(path)))["revision"] == 2
    assert platform.configuration().files["grids.json"] == operators.grids(9)
    assert platform.configuration().files["hints.json"] == operators.HINTS
    finished = await ana.run("remove", str(path))
    assert "still there" in finished.output
    assert list(platform.configuration().files) == ["hints.json"]
    assert (await ana.result("remove", str(path)))["changed"] == []


async def test_put_without_having_read_the_file_is_a_conflict(
    platform, ana, tmp_path
):
    path = tmp_path / "grids.json"
    path.write_text(operators.grids(4))
    assert (await ana.run("put", str(path))).code is REFUSED
    shown = await ana.result("show", "grids.json")
    base = shown["files"][0]["hash"]
    assert (await ana.run("put", str(path), f"--base={base}")).code is DONE
    assert platform.configuration().files["grids.json"] == operators.grids(4)


@pytest.mark.parametrize(
    "fault", [platforms.Fault.LOSE_ANSWER, platforms.Fault.NONSENSE]
)
async def test_a_change_whose_answer_is_lost_is_made_once(platform, ana, fault):
    ana.write(grids=operators.grids(2))
    platform.swap_faults = [fault]
    assert (await ana.result("apply", str(ana.folder)))["revision"] == 2
    assert platform.configuration().revision == 2


async def test_a_write_that_arrives_late_has_no_effect(platform, ana):
    ana.write(grids=operators.grids(2))
    platform.swap_faults = [platforms.Fault.LAND_LATE]
    assert (await ana.result("apply", str(ana.folder)))["revision"] == 2
    assert platform.land_late() == [False]
    assert platform.configuration().revision == 2


async def test_an_unresolved_change_has_an_unknown_outcome(platform, ana):
    ana.write(grids=operators.grids(2))
    platform.swap_faults = [platforms.Fault.LAND_LATE] + 99 * [
        platforms.Fault.REFUSE
    ]
    finished = await ana.apply("--timeout=0.2")
    assert finished.code is OUTCOME_UNKNOWN
    assert platform.land_late() == [True]
    platform.swap_faults = []
    assert (await ana.result("apply", str(ana.folder)))["revision"] == 2


async def test_a_refusing_store_is_unchanged_and_reported_unreachable(
    platform, ana
):
    ana.write(grids=operators.grids(2))
    platform.swap_faults = 99 * [platforms.Fault.REFUSE]
    assert (await ana.apply("--timeout=0.2")).code is UNREACHABLE
    assert platform.configuration().revision == 1
    platform.swap_faults = []
    assert (await ana.apply()).code is DONE


async def test_a_store_that_lost_its_content_gets_a_higher_revision(
    platform, ana
):
    platform.write(records.CONFIGURATION_KEY, None)
    applied = await ana.result("apply", str(ana.folder))
    assert applied["revision"] == 2
    assert platform.configuration().files == ana.texts()


STORE_COMMANDS = [
    ["show"],
    ["fetch", "FOLDER"],
    ["apply", "FOLDER"],
    ["check", "FOLDER"],
    ["put", "FOLDER/grids.json"],
    ["remove", "FOLDER/grids.json"],
    ["status"],
    ["owner", "hintsvc", "solver-1"],
    ["wait", "1", "--timeout=0"],
    ["timeline"],
    ["drain", "portal-1"],
    ["confirm-end", "7"],
]


def with_folder(path, words):
    return [word.replace("FOLDER", str(path)) for word in words]


@pytest.mark.parametrize("words", STORE_COMMANDS, ids=" ".join)
@pytest.mark.parametrize(
    "fault", [platforms.Fault.REFUSE, platforms.Fault.NONSENSE]
)
async def test_a_store_without_a_usable_answer_is_exit_code_three(
    platform, ana, words, fault
):
    platform.fault = fault
    finished = await ana.run("--json", *with_folder(ana.folder, words))
    assert finished.code is UNREACHABLE
    error = msgspec.json.decode(finished.output)["error"]
    assert error["kind"] == errors.ErrorKind.STORE_UNAVAILABLE.value


@pytest.mark.parametrize("words", STORE_COMMANDS[:6], ids=" ".join)
@pytest.mark.parametrize("value", [b"", b"\xff", b"{}", b"[1]"])
async def test_an_undecodable_configuration_is_reported_and_unchanged(
    platform, ana, words, value
):
    platform.write(records.CONFIGURATION_KEY, value)
    finished = await ana.run(*with_folder(ana.folder, words))
    assert finished.code is REFUSED
    assert "internal" in finished.error
    assert platform.store.values[records.CONFIGURATION_KEY].data == value


async def test_a_file_name_from_the_store_cannot_be_a_path_out_of_the_folder(
    platform, ana
):
    configuration = platform.configuration()
    configuration.files["../outside.json"] = "{}"
    platform.write(
        records.CONFIGURATION_KEY, records.encode_json(configuration)
    )
    assert (await ana.fetch()).code is USAGE
    assert not (ana.folder.parent / "outside.json").exists()


@pytest.mark.parametrize(
    ("name", "data"),
    [
        ("bad name.json", b"{}"),
        ("grids.json~", b"{}"),
        ("latin.json", b"\xe5"),
        (".auburnrock-base.json", b"{"),
    ],
)
async def test_a_file_that_cannot_be_used_is_named_in_the_error(
    platform, ana, name, data
):
    (ana.folder / name).write_bytes(data)
    finished = await ana.apply()
    assert finished.code is USAGE
    assert name in finished.error
    assert platform.configuration().revision == 1


async def test_an_accepted_change_is_reported_if_its_base_is_not_written(
    platform, ana, monkeypatch
):
    def fail(*_arguments):
        raise folder.FolderError("the disk is full")

    monkeypatch.setattr(folder, "write_base", fail)
    ana.write(grids=operators.grids(2))
    applied = await ana.result("apply", str(ana.folder))
    assert applied["revision"] == platform.configuration().revision == 2
    assert "the disk is full" in applied["warnings"][0]


WRONG_COMMAND_LINES = [
    [],
    ["nope"],
    ["check"],
    ["check", "a", "b"],
    ["show"],
    ["status"],
    ["timeline"],
    ["--platform=x", "show"],
    ["--platform=127.0.0.1:0", "show"],
    ["--timeout=x", "show"],
    ["--timeout=-1", "show"],
    ["--keep=both", "fetch", "a"],
    ["--bogus", "show"],
    ["check", "missing-folder"],
    ["check", "nul\0"],
    ["check", "\udcff"],
    ["timeline", "missing.log"],
    ["--node=127.0.0.1:1", "show"],
]


@pytest.mark.parametrize("words", WRONG_COMMAND_LINES, ids=repr)
async def test_a_wrong_command_line_is_exit_code_two(words):
    finished = await commands.execute(words)
    assert finished.code is USAGE
    assert finished.error
    assert not finished.output


@pytest.mark.parametrize("words", STORE_COMMANDS[6:], ids=" ".join)
async def test_an_unreachable_node_is_exit_code_three(words):
    finished = await commands.execute([f"--node={CLOSED_ADDRESS}", *words])
    assert finished.code is UNREACHABLE
    assert CLOSED_ADDRESS in finished.error


async def test_an_unreachable_platform_is_exit_code_three(tmp_path):
    operator = operators.Operator(tmp_path / "o", CLOSED_ADDRESS)
    assert (await operator.run("show")).code is UNREACHABLE


async def test_help_names_every_command_and_flag():
    finished = await commands.execute(["--help"])
    assert finished.code is DONE
    for word in (*commands.COMMANDS, "--platform", "--node", "--[no]json"):
        assert word in finished.output


def test_only_an_unknown_outcome_has_the_exit_code_four():
    codes = {kind: report.exit_code(kind) for kind in errors.ErrorKind}
    unknown = [k for k, code in codes.items() if code is OUTCOME_UNKNOWN]
    assert unknown == [errors.ErrorKind.OUTCOME_UNKNOWN]
    assert DONE not in codes.values()
