"""Decodes JSON that people write, with errors that say what to mend."""

import json
import re
from typing import TypeVar

import msgspec

LONGEST_SHOWN_VALUE = 80
WHOLE_TEXT = "(whole text)"

StructT = TypeVar("StructT")

_PATH = re.compile(r" - at `\$\.?(.*)`$")
_UNKNOWN_FIELD = re.compile(r"unknown field `(.*?)`")
_MISSING_FIELD = re.compile(r"missing required field `(.*?)`")
_EXPECTED = re.compile(r"^Expected (.*?)(?:, got (.*))?$")
_ANY_ITEM = "[...]"


class FieldError(Exception):
    """A field that is not accepted.

    Attributes:
      field: its name, with dots for nested ones.
      got: what was found there, shortened.
      accepted: what may stand there.
    """

    def __init__(self, field: str, got: str, accepted: str):
        super().__init__(f"field {field}: got {got}, expected {accepted}")
        self.field = field
        self.got = got
        self.accepted = accepted


def decode(data: bytes, struct_type: type[StructT]) -> StructT:
    """Decodes an object; raises FieldError for the first thing wrong.

    A key that stands twice is an error, since one of the two values would be
    dropped unseen.
    """
    content = parse(data)
    try:
        return msgspec.convert(content, struct_type)
    except msgspec.ValidationError as error:
        raise _field_error(str(error), content, struct_type) from error


def parse(data: bytes) -> object:
    """Decodes JSON of any form; raises FieldError."""
    try:
        content = json.loads(data.decode(), object_pairs_hook=_unique)
        # The standard library lets NaN and half characters through.
        msgspec.json.decode(data)
        return content
    except UnicodeDecodeError as error:
        raise FieldError(WHOLE_TEXT, str(error), "UTF-8") from error
    except (json.JSONDecodeError, msgspec.DecodeError) as error:
        raise FieldError(WHOLE_TEXT, str(error), "JSON") from error
    except RecursionError as error:
        got = "too deeply nested values"
        raise FieldError(WHOLE_TEXT, got, "a JSON object") from error


def _unique(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found: dict[str, object] = {}
    for key, value in pairs:
        if key in found:
            raise FieldError(key, "the field twice", "it once")
        found[key] = value
    return found


def _field_error(
    message: str, content: object, struct_type: type
) -> FieldError:
    """Turns msgspec's text into field, got and accepted."""
    path_match = _PATH.search(message)
    path = path_match.group(1) if path_match else ""
    message = _PATH.sub("", message)
    unknown = _UNKNOWN_FIELD.search(message)
    if unknown:
        names = ", ".join(_field_names(struct_type, path))
        return FieldError(
            _join(path, unknown.group(1)), "an unknown field", f"one of {names}"
        )
    missing = _MISSING_FIELD.search(message)
    if missing:
        field = missing.group(1)
        return FieldError(_join(path, field), "no such field", "it to be set")
    expected = _EXPECTED.match(message)
    accepted = expected.group(1) if expected else message
    got = _shown_value(content, path)
    if got is None:
        got = (expected and expected.group(2)) or "another value"
    return FieldError(
        path or WHOLE_TEXT, got, accepted.replace("`", "").replace("|", "or")
    )


def _join(path: str, field: str) -> str:
    return f"{path}.{field}" if path else field


def _shown_value(content: object, path: str) -> str | None:
    """The value at a path, shortened; None where the path is not exact."""
    for part in path.split(".") if path else []:
        if not isinstance(content, dict) or part not in content:
            return None
        content = content[part]
    text = json.dumps(content)
    if len(text) <= LONGEST_SHOWN_VALUE:
        return text
    return text[:LONGEST_SHOWN_VALUE] + "..."


def _field_names(struct_type: type, path: str) -> list[str]:
    """The fields of the struct at a path."""
    info = msgspec.inspect.type_info(struct_type)
    for part in path.replace(_ANY_ITEM, ".*").split("."):
        info = _child(info, part) if part else info
    if isinstance(info, msgspec.inspect.StructType):
        return [field.encode_name for field in info.fields]
    return []


def _child(
    info: msgspec.inspect.Type, part: str
) -> msgspec.inspect.Type | None:
    match info:
        case msgspec.inspect.StructType():
            for field in info.fields:
                if field.encode_name == part:
                    return field.type
        case msgspec.inspect.DictType():
            return info.value_type
        case msgspec.inspect.ListType():
            return info.item_type
    return None
