"""Decodes hand-written JSON, with errors that state what to correct."""

import json
import re
from typing import TypeVar

import msgspec

MAX_SHOWN_CHARACTERS = 80
"""Length above which FieldError truncates the JSON of a value it shows."""

WHOLE_FILE = "the whole file"
"""Field name in a FieldError that concerns the JSON as a whole."""

StructT = TypeVar("StructT")
Key = str | int

_PATH = re.compile(r" - at `\$\.?(.*)`$")
_PATH_PART = re.compile(r"\[[^\]]*\]|[^.\[]+")
_UNKNOWN_FIELD = re.compile(r"unknown field `(.*?)`")
_MISSING_FIELD = re.compile(r"missing required field `(.*?)`")
_EXPECTED = re.compile(r"^Expected (.*?)(?:, got `(.*)`)?$")
_ANY_KEY = "[...]"


class FieldError(Exception):
    """A field whose value is not accepted.

    Attributes:
      field: name of the field, with dots between the names of nested fields.
      got: the rejected value, truncated if it is long.
      accepted: description of the values that are accepted.
    """

    def __init__(self, field: str, got: str, accepted: str):
        super().__init__(f"field {field}: got {got}, expected {accepted}")
        self.field = field
        self.got = got
        self.accepted = accepted


def decode(data: bytes, struct_type: type[StructT]) -> StructT:
    """Decodes a JSON object; raises FieldError for the first invalid field.

    A duplicate key is an error, because one of its two values would be
    dropped silently.
    """
    return convert(parse(data), struct_type)


def parse(data: bytes) -> object:
    """Decodes JSON of any type; raises FieldError if it is invalid."""
    try:
        content = json.loads(
            data.decode(), object_pairs_hook=_reject_duplicate_keys
        )
        # The standard library accepts NaN and unpaired surrogates.
        msgspec.json.decode(data)
        return content
    except UnicodeDecodeError as error:
        raise FieldError(WHOLE_FILE, str(error), "UTF-8") from error
    except (ValueError, msgspec.DecodeError) as error:
        raise FieldError(WHOLE_FILE, str(error), "JSON") from error
    except RecursionError as error:
        got = "too deeply nested values"
        raise FieldError(WHOLE_FILE, got, "a JSON object") from error


def convert(content: object, struct_type: type[StructT]) -> StructT:
    """Converts parsed JSON to a struct; raises FieldError if it is invalid."""
    try:
        return msgspec.convert(content, struct_type)
    except msgspec.ValidationError as error:
        raise _field_error(str(error), content, struct_type) from error


def _reject_duplicate_keys(
    pairs: list[tuple[str, object]],
) -> dict[str, object]:
    fields: dict[str, object] = {}
    for key, value in pairs:
        if key in fields:
            raise FieldError(key, "a field that stands twice", "it once")
        fields[key] = value
    return fields


def _field_error(
    message: str, content: object, struct_type: type
) -> FieldError:
    """Builds a FieldError from the text of a msgspec.ValidationError."""
    path = _exact_path(message, content, struct_type)
    text = _PATH.sub("", message)
    unknown = _UNKNOWN_FIELD.search(text)
    if unknown:
        names = ", ".join(_field_names(struct_type, path))
        field = _dotted_name([*path, unknown.group(1)])
        return FieldError(field, "an unknown field", f"one of {names}")
    missing = _MISSING_FIELD.search(text)
    if missing:
        field = _dotted_name([*path, missing.group(1)])
        return FieldError(field, "no such field", "it to be set")
    expected = _EXPECTED.match(text)
    accepted = expected.group(1) if expected else text
    accepted = accepted.replace("`", "").replace(" | ", " or ")
    got = _shortened_json(_value_at(content, path))
    if expected and expected.group(2):
        got += f" ({expected.group(2)})"
    return FieldError(_dotted_name(path), got, accepted)


def _exact_path(message: str, content: object, struct_type: type) -> list[Key]:
    """Returns the path of keys to the invalid value.

    msgspec's message has `[...]` for a key of an object without fixed fields.
    The key is found by validating each value alone until one gives the same
    message.
    """
    match = _PATH.search(message)
    path: list[Key] = []
    for part in _PATH_PART.findall(match.group(1)) if match else []:
        if part == _ANY_KEY:
            parent = _value_at(content, path)
            path.append(
                next(
                    key
                    for key, value in parent.items()
                    if _validation_message(
                        _with_value_at(content, path, {key: value}), struct_type
                    )
                    == message
                )
            )
        elif part.startswith("["):
            path.append(int(part[1:-1]))
        else:
            path.append(part)
    return path


def _validation_message(content: object, struct_type: type) -> str:
    try:
        msgspec.convert(content, struct_type)
    except msgspec.ValidationError as error:
        return str(error)
    return ""


def _with_value_at(content: object, path: list[Key], value: object) -> object:
    """Returns a copy of the content with another value at a path."""
    if not path:
        return value
    key, *rest = path
    copy = list(content) if isinstance(content, list) else dict(content)
    copy[key] = _with_value_at(content[key], rest, value)
    return copy


def _value_at(content: object, path: list[Key]) -> object:
    for key in path:
        content = content[key]
    return content


def _dotted_name(path: list[Key]) -> str:
    return ".".join(map(str, path)) or WHOLE_FILE


def _shortened_json(value: object) -> str:
    text = json.dumps(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."


def _field_names(struct_type: type, path: list[Key]) -> list[str]:
    """Returns the names of the fields of the struct at a path."""
    info = msgspec.inspect.type_info(struct_type)
    for key in path:
        info = _child_type(info, key)
    assert isinstance(info, msgspec.inspect.StructType)
    return [field.encode_name for field in info.fields]


def _child_type(info: msgspec.inspect.Type, key: Key) -> msgspec.inspect.Type:
    match info:
        case msgspec.inspect.StructType():
            return next(f.type for f in info.fields if f.encode_name == key)
        case msgspec.inspect.DictType():
            return info.value_type
        case msgspec.inspect.ListType():
            return info.item_type
    raise AssertionError(f"no fields below {info}")
