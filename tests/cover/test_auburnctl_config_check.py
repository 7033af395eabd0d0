"""`auburnctl config check`: one test for each mistake that it finds."""

import copy

import msgspec
import pytest

from auburnrock.ctl import commands
from auburnrock.ctl import report
from auburnrock_standins import mesh_store
from tests.common import mesh_fleet

DONE = report.ExitCode.DONE
FINDINGS = report.ExitCode.REFUSED
UNREADABLE = report.ExitCode.USAGE
UNREACHABLE = report.ExitCode.UNREACHABLE


def configuration():
    """Returns a configuration without errors and warnings, and its routes."""
    made = copy.deepcopy(mesh_fleet.CONFIGURATION)
    return made, made["listeners"][0]["rule_set"]


class Checker:
    """Runs `config check` on configurations.

    Attributes:
      folder: folder of the files.
    """

    def __init__(self, folder):
        self.folder = folder

    def write(self, name, content):
        """Writes a configuration, a text or bytes; returns the path."""
        path = self.folder / name
        if isinstance(content, dict):
            content = msgspec.json.format(msgspec.json.encode(content))
        path.write_bytes(
            content if isinstance(content, bytes) else content.encode()
        )
        return path

    async def run(self, content, *flags):
        path = self.write("new.json", content)
        return await commands.execute(["config", "check", str(path), *flags])

    async def result(self, content, *flags, code=FINDINGS):
        """Returns the JSON result."""
        finished = await self.run(content, "--output=json", *flags)
        assert finished.code is code, finished
        answer = msgspec.json.decode(finished.output)
        assert answer["exit_code"] == code
        return answer["result"]

    async def only(self, content, severity, *flags, code=FINDINGS):
        """Returns place and text of the only finding, without notes.

        Notes are left out unless the finding is a note.
        """
        result = await self.result(content, *flags, code=code)
        findings = [
            each
            for each in result["findings"]
            if each["severity"] != "note" or severity == "note"
        ]
        assert [each["severity"] for each in findings] == [severity], findings
        return f"{findings[0]['place']}: {findings[0]['text']}"


@pytest.fixture
def checker(tmp_path):
    return Checker(tmp_path)


async def test_a_configuration_without_a_mistake_is_clean(checker):
    """Guards against warnings that operators learn to ignore."""
    content, _ = configuration()
    result = await checker.result(content, code=DONE)
    assert {each["severity"] for each in result["findings"]} == {"note"}
    assert result["version"] == 7
    assert result["differences"] is None


async def test_the_value_of_the_store_is_checked_like_the_text(checker):
    """Guards against files that only one of the two encodings can have."""
    content, _ = configuration()
    packed = msgspec.msgpack.encode(content)
    text = await checker.result(content, code=DONE)
    assert await checker.result(packed, code=DONE) == text
    marked = b"\xef\xbb\xbf\n" + msgspec.json.encode(content)
    assert await checker.result(marked, code=DONE) == text


async def test_a_host_that_is_listed_twice(checker):
    content, routes = configuration()
    again = copy.deepcopy(routes[0])
    again["match"]["path_prefix"] = "/other/"
    again["name"] = "r-other"
    content["listeners"].append({"host": "A.Example", "rule_set": [again]})
    finding = await checker.only(content, "warning")
    assert finding.startswith("host A.Example: ")
    assert "'a.example'" in finding


@pytest.mark.parametrize("host", ["a.example", "A.EXAMPLE"])
async def test_a_prefix_that_an_earlier_route_of_the_host_has(checker, host):
    content, routes = configuration()
    again = copy.deepcopy(routes[0])
    again["name"] = "r-again"
    if host == "a.example":
        routes.append(again)
    else:
        content["listeners"].append({"host": host, "rule_set": [again]})
    result = await checker.result(content)
    (error,) = [f for f in result["findings"] if f["severity"] == "error"]
    assert error["place"] == f"host {host}, prefix /lookup/ (r-again)"
    assert "never matches" in error["text"]
    assert "'r-lookup'" in error["text"]


async def test_a_name_that_two_routes_of_a_host_have(checker):
    content, routes = configuration()
    routes[2]["name"] = routes[1]["name"]
    assert "rename" in await checker.only(content, "warning")


@pytest.mark.parametrize("host", ["a.example:80", ""])
async def test_a_host_that_no_request_names(checker, host):
    content, _ = configuration()
    content["listeners"][0]["host"] = host
    assert "no request matches" in await checker.only(content, "error")


@pytest.mark.parametrize("prefix", ["lookup/", "", "/lookup/?a=1", "/a b/"])
async def test_a_prefix_that_no_path_begins_with(checker, prefix):
    content, routes = configuration()
    routes[0]["match"]["path_prefix"] = prefix
    assert "never matches" in await checker.only(content, "error")


async def test_a_prefix_that_does_not_end_with_a_slash(checker):
    content, routes = configuration()
    routes[0]["match"]["path_prefix"] = "/lookup"
    assert "'/lookupx'" in await checker.only(content, "warning")


async def test_a_route_to_a_service_that_is_not_described(checker):
    content, routes = configuration()
    routes[2]["action"]["service"] = "boker"
    finding = await checker.only(content, "error")
    assert "'boker'" in finding
    assert "booker, portal" in finding


async def test_a_route_without_a_service(checker):
    """The decoder's reason names neither the host nor the prefix."""
    content, routes = configuration()
    del routes[2]["action"]["service"]
    finding = await checker.only(content, "error")
    assert finding.startswith("host a.example, prefix /check/ (r-check): ")


def _weigh(routes, *weights):
    action = routes[2]["action"]
    del action["service"]
    action["weighted_services"] = [
        {"service": name, "weight": weight}
        for name, weight in zip(("booker", "portal"), weights, strict=True)
    ]


@pytest.mark.parametrize("weights", [(0, 0), (0, -1)])
async def test_weights_that_are_all_zero(checker, weights):
    """Nodes reject such a configuration and keep the one in force."""
    content, routes = configuration()
    _weigh(routes, *weights)
    finding = await checker.only(content, "error")
    assert finding.startswith("host a.example, prefix /check/ (r-check): ")
    assert "nodes reject" in finding


async def test_one_weight_that_is_zero(checker):
    content, routes = configuration()
    _weigh(routes, 1, 0)
    assert "'portal' has weight 0" in await checker.only(content, "warning")


async def test_a_weight_that_is_not_finite(checker):
    """MessagePack can carry it, and it breaks the distribution."""
    content, routes = configuration()
    _weigh(routes, 1, float("inf"))
    packed = msgspec.msgpack.encode(content)
    assert "finite" in await checker.only(packed, "error")


async def test_a_service_that_is_listed_twice_in_a_route(checker):
    content, routes = configuration()
    _weigh(routes, 1, 2)
    routes[2]["action"]["weighted_services"][1]["service"] = "booker"
    assert "listed 2 times" in await checker.only(content, "warning")


async def test_a_service_that_no_route_uses(checker):
    content, _ = configuration()
    content["clusters"].append({"name": "spare", "max_connections": 9})
    finding = await checker.only(content, "warning")
    assert finding.startswith("service spare: no route")


async def test_a_limit_of_cold_targets_without_effect(checker):
    content, _ = configuration()
    spare = {"name": "spare", "max_connections": 9, "cold_per_s": 5.5}
    content["clusters"].append(spare)
    result = await checker.result(content)
    texts = [f["text"] for f in result["findings"]]
    assert any("cold_per_s 5.5 has no effect" in text for text in texts)
    content, _ = configuration()
    content["clusters"][1]["cold_per_s"] = 5.5
    await checker.result(content, code=DONE)
    content["clusters"][1]["cold_per_s"] = -1.0
    assert "cold_per_s is -1" in await checker.only(content, "error")


async def test_a_service_that_is_described_twice(checker):
    content, _ = configuration()
    content["clusters"].append({"name": "booker", "max_connections": 9})
    finding = await checker.only(content, "error")
    assert "the later description only" in finding


async def test_a_timeout_below_the_latency_objective(checker):
    content, routes = configuration()
    routes[0]["action"]["timeout"] = "0.3s"
    finding = await checker.only(content, "warning")
    assert "300 ms" in finding
    assert "400 ms" in finding


async def test_a_timeout_of_nothing(checker):
    content, routes = configuration()
    routes[0]["action"]["timeout"] = "0ms"
    assert "every request fails" in await checker.only(content, "error")


async def test_a_latency_objective_of_nothing(checker):
    content, routes = configuration()
    routes[0]["target_latency"] = "0ms"
    assert "counts as late" in await checker.only(content, "warning")


async def test_attempts_without_effect_are_a_note(checker):
    """A target's refusal is tried elsewhere, so it is no mistake."""
    content, _ = configuration()
    finding = await checker.only(content, "note", code=DONE)
    assert finding.startswith("host a.example, prefix /book/ (r-book): ")
    assert "not idempotent" in finding


@pytest.mark.parametrize("attempts", [0, -1])
async def test_attempts_that_allow_no_request(checker, attempts):
    content, routes = configuration()
    routes[0]["action"]["max_attempts"] = attempts
    finding = await checker.only(content, "error")
    assert f"max_attempts is {attempts}" in finding


async def test_a_kind_of_route_that_is_misspelled(checker):
    """Requests of such a route are not tried again."""
    content, routes = configuration()
    routes[2]["route_kind"] = "idempotant"
    assert "'idempotant'" in await checker.only(content, "warning")
    routes[2]["route_kind"] = "download"
    await checker.result(content, code=DONE)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("max_header_bytes", 0),
        ("max_body_bytes", 0),
        ("header_timeout", "0ms"),
        ("idle_timeout", "0s"),
    ],
)
async def test_a_limit_of_nothing(checker, field, value):
    content, _ = configuration()
    content["limits"][field] = value
    finding = await checker.only(content, "error")
    assert finding.startswith(f"limits: {field} is 0")


async def test_a_limit_of_headers_above_that_of_bodies(checker):
    content, _ = configuration()
    content["limits"]["max_body_bytes"] = 16383
    assert "confused" in await checker.only(content, "warning")


async def test_a_time_for_headers_above_the_idle_time(checker):
    content, _ = configuration()
    content["limits"]["idle_timeout"] = "2s"
    assert "idle_timeout 2000 ms" in await checker.only(content, "warning")


async def test_a_limit_of_connections_below_the_senders(checker):
    content, _ = configuration()
    content["clusters"][0]["max_connections"] = 87
    await checker.result(content, code=DONE)
    await checker.result(content, "--senders=87", code=DONE)
    finding = await checker.only(content, "warning", "--senders=88")
    assert finding.startswith("service portal: max_connections is 87")


async def test_a_limit_of_no_connection(checker):
    content, _ = configuration()
    content["clusters"][0]["max_connections"] = 0
    assert "accept no connection" in await checker.only(content, "error")


async def test_an_optional_field_that_is_misspelled(checker):
    """Decoders ignore unknown fields, and the service would have no keys."""
    content, _ = configuration()
    content["clusters"][0]["shareded"] = content["clusters"][0].pop("sharded")
    finding = await checker.only(content, "warning")
    assert finding.startswith("clusters[0].shareded: ")
    assert "'sharded'" in finding


async def test_fields_of_other_programs_are_no_mistake(checker):
    content, routes = configuration()
    for cluster in content["clusters"]:
        cluster |= {"protocol": "h1", "tls": False}
    routes[0]["action"]["comment"] = "x"
    result = await checker.result(content, code=DONE)
    texts = [each["text"] for each in result["findings"]]
    assert "nodes do not use: comment, protocol, tls" in texts


async def test_a_configuration_without_routes(checker):
    content, routes = configuration()
    routes.clear()
    result = await checker.result(content)
    assert "every request is refused" in result["findings"][0]["text"]


@pytest.mark.parametrize(
    ("content", "reason"),
    [
        ("", "expected a JSON object"),
        ("version: 7", "expected a JSON object"),
        ('{"version": 7,\n"limits": }', "in line 2"),
        ("[]", "nodes cannot decode it"),
        ('{"version": 7}', "missing required field `limits`"),
        (b"\x81\xa7version", "nodes cannot decode it"),
        (b"\xff\xfe{", "expected a JSON object"),
    ],
)
async def test_a_file_that_no_node_can_decode(checker, content, reason):
    finished = await checker.run(content)
    assert finished.code is UNREADABLE
    assert "new.json" in finished.error
    assert reason in finished.error
    finished = await checker.run(content, "--output=json")
    error = msgspec.json.decode(finished.output)["error"]
    assert error["kind"] == "bad_request"


async def test_a_duration_without_a_unit_is_named_with_its_place(checker):
    """The decoder's reason names no place."""
    content, routes = configuration()
    routes[1]["action"]["timeout"] = "1200"
    finished = await checker.run(content)
    assert finished.code is UNREADABLE
    assert "host a.example, prefix /book/ (r-book)" in finished.error
    content, _ = configuration()
    content["limits"]["idle_timeout"] = "soon"
    assert "limits: expected a duration" in (await checker.run(content)).error


async def test_a_file_that_cannot_be_read(checker):
    for path, reason in (
        (checker.folder / "none.json", "No such file"),
        (checker.folder, "auburnctl check FOLDER"),
    ):
        finished = await commands.execute(["config", "check", str(path)])
        assert finished.code is UNREADABLE
        assert reason in finished.error


@pytest.mark.parametrize(
    "words",
    [
        ["config"],
        ["config", "x.json"],
        ["config", "chek", "x.json"],
        ["config", "check", "x.json", "--against=y", "--store=127.0.0.1:1"],
        ["config", "check", "x.json", "--store=here"],
        ["config", "check", "x.json", "--senders=0"],
        ["config", "check", "x.json", "--output=yaml"],
    ],
)
async def test_a_wrong_command_line(words):
    finished = await commands.execute(words)
    assert finished.code is UNREADABLE
    assert "expected" in finished.error or "--" in finished.error


def changed_configuration():
    """Returns version 8, which differs from `configuration` in each part."""
    content, routes = configuration()
    content["version"] = 8
    content["limits"]["idle_timeout"] = "20s"
    routes[0]["action"]["timeout"] = "2s"
    routes[0]["match"]["path_prefix"] = "/look/"
    routes[2]["name"] = "r-verify"
    content["clusters"][0]["sharded"] = False
    content["clusters"][1]["max_connections"] = 99
    return content


LOOKUP = "route r-lookup of host a.example"
CHANGES = [
    ("changed", "configuration", "version", "7", "8"),
    ("changed", "limits", "idle_timeout", "15000 ms", "20000 ms"),
    ("removed", "route r-check of host a.example"),
    ("changed", LOOKUP, "prefix", "/lookup/", "/look/"),
    ("changed", LOOKUP, "timeout", "1000 ms", "2000 ms"),
    ("added", "route r-verify of host a.example"),
    ("changed", "service portal", "sharded", "yes", "no"),
    ("changed", "service booker", "max_connections", "120", "99"),
]


def _rows(result):
    rows = []
    for each in result["differences"]:
        row = (each["change"], each["place"])
        if "field" in each:
            row += (each["field"], each["before"], each["after"])
        rows.append(row)
    return sorted(rows)


async def test_a_change_that_the_operator_does_not_see(checker):
    content, _ = configuration()
    against = checker.write("old.mp", msgspec.msgpack.encode(content))
    result = await checker.result(
        changed_configuration(), f"--against={against}", code=DONE
    )
    assert result["in_force"] == 7
    assert _rows(result) == sorted(CHANGES)


async def test_the_change_of_a_weight(checker):
    content, routes = configuration()
    _weigh(routes, 1, 2)
    against = checker.write("old.json", content)
    content, routes = configuration()
    _weigh(routes, 1, 3)
    content["version"] = 8
    result = await checker.result(content, f"--against={against}", code=DONE)
    assert result["differences"][1] == {
        "change": "changed",
        "place": "route r-check of host a.example",
        "field": "services",
        "before": "booker:1 + portal:2",
        "after": "booker:1 + portal:3",
    }


async def test_entries_that_were_only_reordered_are_no_change(checker):
    content, routes = configuration()
    against = checker.write("old.json", content)
    routes.reverse()
    content["clusters"].reverse()
    content["version"] = 8
    finished = await checker.run(content, f"--against={against}")
    lines = finished.output.splitlines()
    start = lines.index("differences from version 7:")
    assert lines[start + 1 : -1] == [
        "  changed configuration: version from 7 to 8"
    ]


@pytest.mark.parametrize("version", [6, 7])
async def test_a_version_that_nodes_ignore(checker, version):
    content, _ = configuration()
    against = checker.write("old.json", content)
    content["version"] = version
    finding = await checker.only(content, "error", f"--against={against}")
    assert finding.startswith(f"version: got {version}, and 7 is in force")
    assert "use 8" in finding


async def test_a_version_in_force_that_cannot_be_decoded(checker):
    content, _ = configuration()
    against = checker.write("old.json", "{}")
    finished = await checker.run(content, f"--against={against}")
    assert finished.code is UNREADABLE
    assert "old.json" in finished.error


async def test_a_rejected_configuration_is_not_compared(checker):
    """Guards against differences that no node would apply."""
    content, _ = configuration()
    against = checker.write("old.json", content)
    content, routes = configuration()
    content["version"] = 8
    _weigh(routes, 0, 0)
    result = await checker.result(content, f"--against={against}")
    assert result["differences"] is None
    assert "once nodes accept" in result["findings"][-1]["text"]


@pytest.fixture
async def store():
    made, runner = await mesh_store.start()
    host, port = runner.addresses[0][:2]
    yield made, f"--store={host}:{port}"
    await runner.cleanup()


async def test_a_change_of_what_the_store_has_in_force(checker, store):
    made, flag = store
    content, _ = configuration()
    made.put("op/config", msgspec.msgpack.encode(content))
    result = await checker.result(changed_configuration(), flag, code=DONE)
    assert _rows(result) == sorted(CHANGES)
    content["limits"]["idle_timeout"] = "30s"
    assert "use 8" in await checker.only(content, "error", flag)


async def test_a_store_without_a_configuration(checker, store):
    _, flag = store
    content, _ = configuration()
    result = await checker.result(content, flag, code=DONE)
    assert result["in_force"] is None
    assert "no configuration is in force" in {
        each["text"] for each in result["findings"]
    }


async def test_a_store_that_has_text_instead_of_the_nodes_encoding(
    checker, store
):
    """Nodes cannot decode JSON from the store."""
    made, flag = store
    content, _ = configuration()
    made.put("op/config", msgspec.json.encode(content))
    finished = await checker.run(content, flag)
    assert finished.code is UNREADABLE
    assert "the store at" in finished.error


async def test_a_store_that_does_not_answer(checker):
    content, _ = configuration()
    finished = await checker.run(content, "--store=127.0.0.1:1")
    assert finished.code is UNREACHABLE
    assert "check --store" in finished.error


async def test_errors_come_first_and_many_notes_do_not_hide_them(checker):
    """Each route that is not idempotent may have a note."""
    content, routes = configuration()
    for number in range(40):
        more = copy.deepcopy(routes[1])
        more["name"] = f"r-{number}"
        more["match"]["path_prefix"] = f"/book-{number}/"
        routes.append(more)
    routes[-1]["action"]["timeout"] = "0ms"
    finished = await checker.run(content)
    lines = finished.output.splitlines()
    assert lines[0].startswith("error: host a.example, prefix /book-39/")
    assert lines[-2] == "36 more notes; --output=json has all"
    assert lines[-1] == "version 7: 1 error, 0 warnings, 41 notes"


async def test_the_check_of_a_folder_still_takes_a_folder(tmp_path):
    """Guards against one command that hides the other."""
    (tmp_path / "grids.json").write_text('{"services": {"gridsvc": {}}}')
    finished = await commands.execute(["check", str(tmp_path)])
    assert finished.code is DONE, finished
