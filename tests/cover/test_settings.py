import hypothesis
from hypothesis import strategies
import pytest

from auburnrock import records
from auburnrock import strict_json
from auburnrock.shells import settings
from tests.common import settings_files

NAME_FORM = "1 to 64 letters, digits, dots, - and _"
PORT_FORM = "an integer from 1 to 65535"

WRONG_VALUES = [
    ("name", 5, "5", "str"),
    ("name", "", "''", NAME_FORM),
    ("name", "a/b", "'a/b'", NAME_FORM),
    ("region", "a\nb", r"'a\nb'", NAME_FORM),
    ("zone", "x" * 65, "xxx", NAME_FORM),
    ("address", "localhost", "'localhost'", "an IP number"),
    ("http_port", "7801", '"7801"', "int"),
    ("http_port", 70_000, "70000", PORT_FORM),
    ("peer_port", True, "true", "int"),
    ("peer_port", 7801, "7801, 7801, 7803", "three different ports"),
    ("control_port", 1.5, "1.5", "int"),
    ("advertised_peer_port", -1, "-1", "an integer from 0 to 65535"),
    ("platform", "x", "'x'", "HOST:PORT"),
    ("platform", "h:٣", "'h:٣'", "HOST:PORT"),
    ("platform", "", "''", "HOST:PORT"),
    ("statsd", "h:0", "'h:0'", "HOST:PORT"),
    ("largest_body_bytes", 0, "0", "an integer from 1 to"),
    ("drain_limit_ms", 10**30, str(10**30), "an integer from 1 to"),
    ("clock_margin_ms", -1, "-1", "an integer from 0 to"),
    ("colour", "red", "an unknown field", "one of name, region"),
]

WRONG_TEXTS = [
    (b"", "JSON"),
    (b"\xff\xfe", "UTF-8"),
    (b"{", "JSON"),
    (b"[]", "object"),
    (b"{}", "it to be set"),
    (b"[" * 100_000, "a JSON object"),
    (b'{"name": NaN}', "JSON"),
    (b'{"name": "\\ud800"}', "JSON"),
    (b'{"name": "a", "name": "b"}', "it once"),
    (b'{"http_port": ' + b"9" * 6_000 + b"}", "JSON"),
]


def rejection(path) -> str:
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(str(path))
    return str(caught.value)


def test_good_settings_are_accepted(tmp_path):
    loaded = settings.load(settings_files.write(tmp_path / "s.json"))
    assert loaded.name == "portal-1"
    assert loaded.statsd == ""


@pytest.mark.parametrize(("field", "value", "got", "accepted"), WRONG_VALUES)
def test_a_wrong_value_names_file_field_got_and_accepted(
    tmp_path, field, value, got, accepted
):
    path = settings_files.write(tmp_path / "s.json", **{field: value})
    text = rejection(path)
    for part in (path, field, got, accepted):
        assert part in text


@pytest.mark.parametrize(("data", "accepted"), WRONG_TEXTS)
def test_a_file_that_is_no_settings_names_file_and_what_is_accepted(
    tmp_path, data, accepted
):
    path = tmp_path / "s.json"
    path.write_bytes(data)
    text = rejection(path)
    assert str(path) in text
    assert f"expected {accepted}" in text


def test_all_wrong_values_are_named_at_once(tmp_path):
    path = settings_files.write(tmp_path / "s.json", zone="", http_port=0)
    text = rejection(path)
    assert "zone" in text
    assert "http_port" in text


@pytest.mark.parametrize("name", ["missing.json", "", "nul\0.json"])
def test_a_file_that_cannot_be_read_is_named(tmp_path, name):
    assert f"{tmp_path / name}: cannot be read" in rejection(tmp_path / name)


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from([*settings_files.GOOD, "statsd", "odd"]),
        JSON_VALUES,
        max_size=4,
    )
)
def test_any_value_of_a_field_is_accepted_or_a_settings_error(
    tmp_path_factory, changes
):
    path = tmp_path_factory.getbasetemp() / "any.json"
    try:
        loaded = settings.load(settings_files.write(path, **changes))
    except settings.SettingsError as error:
        assert "got" in str(error)
    else:
        assert settings.problems(loaded) == []


@hypothesis.given(strategies.binary(max_size=64))
def test_any_bytes_are_decoded_or_a_field_error(data):
    try:
        strict_json.decode(data, settings.DaemonSettings)
    except strict_json.FieldError as error:
        assert error.accepted


@pytest.mark.parametrize(
    ("text", "field", "got", "accepted"),
    [
        (b'{"b": {"weights": {"churm": 1}}}', "b.weights.churm", "an", "churn"),
        (b'{"b": {"weights": {"churn": "x"}}}', "b.weights.churn", '"x"', "fl"),
        (b'{"b": {"hot_keys": ["k", 5]}}', "b.hot_keys.1", "5", "str"),
        (b'{"b": {"non_idempotent": [{}]}}', "b.non_idempotent.0.m", "no", ""),
        (b'{"b": 5, "c": 6}', "b", "5", "object"),
    ],
)
def test_a_nested_field_is_named_with_its_keys(text, field, got, accepted):
    text = b'{"revision": 1, "services": {"a": {}, ' + text[1:] + b"}"
    with pytest.raises(strict_json.FieldError) as caught:
        strict_json.decode(text, records.Configuration)
    error = caught.value
    assert error.field.startswith(f"services.{field}")
    assert error.got.startswith(got)
    assert accepted in error.accepted


FIELD_NAMES = strategies.sampled_from(
    ["services", "a", "weights", "churn", "hot_keys", "non_idempotent"]
)
NESTED = strategies.recursive(
    JSON_VALUES,
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(FIELD_NAMES, inner, max_size=3)
    ),
)


@hypothesis.given(NESTED)
def test_any_nested_value_is_accepted_or_a_field_error(value):
    content = {"revision": 1, "services": value}
    try:
        strict_json.convert(content, records.Configuration)
    except strict_json.FieldError as error:
        assert error.field.startswith("services")
