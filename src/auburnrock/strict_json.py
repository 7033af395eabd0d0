"""Decodes JSON that people write, with errors that say what to mend."""

import json
import re
from typing import TypeVar

import msgspec

LONGEST_SHOWN_VALUE = 80
WHOLE_TEXT = "the whole file"

StructT = TypeVar("StructT")
Key = str | int

_PATH = re.compile(r" - at `\$\.?(.*)`$")
_PART = re.compile(r"\[[^\]]*\]|[^.\[]+")
_UNKNOWN_FIELD = re.compile(r"unknown field `(.*?)`")
_MISSING_FIELD = re.compile(r"missing required field `(.*?)`")
_EXPECTED = re.compile(r"^Expected (.*?)(?:, got `(.*)`)?$")
_ANY_KEY = "[...]"


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
    return convert(parse(data), struct_type)


def parse(data: bytes) -> object:
    """Decodes JSON of any form; raises FieldError."""
    try:
        content = json.loads(data.decode(), object_pairs_hook=_unique)
        # The standard library lets NaN and half characters through.
        msgspec.json.decode(data)
        return content
    except UnicodeDecodeError as error:
        raise FieldError(WHOLE_TEXT, str(error), "UTF-8") from error
    except (ValueError, msgspec.DecodeError) as error:
        raise FieldError(WHOLE_TEXT, str(error), "JSON") from error
    except RecursionError as error:
        got = "too deeply nested values"
        raise FieldError(WHOLE_TEXT, got, "a JSON object") from error


def convert(content: object, struct_type: type[StructT]) -> StructT:
    """Gives parsed JSON its type; raises FieldError."""
    try:
        return msgspec.convert(content, struct_type)
    except msgspec.ValidationError as error:
        raise _field_error(str(error), content, struct_type) from error


def _unique(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found: dict[str, object] = {}
    for key, value in pairs:
        if key in found:
            raise FieldError(key, "a field that stands twice", "it once")
        found[key] = value
    return found


def _field_error(
    message: str, content: object, struct_type: type
) -> FieldError:
    """Turns msgspec's text into field, got and accepted."""
    path = _exact_path(message, content, struct_type)
    text = _PATH.sub("", message)
    unknown = _UNKNOWN_FIELD.search(text)
    if unknown:
        names = ", ".join(_field_names(struct_type, path))
        field = _dotted([*path, unknown.group(1)])
        return FieldError(field, "an unknown field", f"one of {names}")
    missing = _MISSING_FIELD.search(text)
    if missing:
        field = _dotted([*path, missing.group(1)])
        return FieldError(field, "no such field", "it to be set")
    expected = _EXPECTED.match(text)
    accepted = expected.group(1) if expected else text
    accepted = accepted.replace("`", "").replace(" | ", " or ")
    got = _shown(_at(content, path))
    if expected and expected.group(2):
        got += f" ({expected.group(2)})"
    return FieldError(_dotted(path), got, accepted)


def _exact_path(message: str, content: object, struct_type: type) -> list[Key]:
    """The keys that lead to the wrong value.

    msgspec writes `[...]` for any key of an object without fixed fields. The
    key is the one whose value alone still gives the same message.
    """
    match = _PATH.search(message)
    path: list[Key] = []
    for part in _PART.findall(match.group(1)) if match else []:
        if part == _ANY_KEY:
            here = _at(content, path)
            path.append(
                next(
                    key
                    for key, value in here.items()
                    if _message(
                        _replaced(content, path, {key: value}), struct_type
                    )
                    == message
                )
            )
        elif part.startswith("["):
            path.append(int(part[1:-1]))
        else:
            path.append(part)
    return path


def _message(content: object, struct_type: type) -> str:
    try:
        msgspec.convert(content, struct_type)
    except msgspec.ValidationError as error:
        return str(error)
    return ""


def _replaced(content: object, path: list[Key], value: object) -> object:
    """A copy of the content with another value at a path."""
    if not path:
        return value
    key, *rest = path
    copy = list(content) if isinstance(content, list) else dict(content)
    copy[key] = _replaced(content[key], rest, value)
    return copy


def _at(content: object, path: list[Key]) -> object:
    for key in path:
        content = content[key]
    return content


def _dotted(path: list[Key]) -> str:
    return ".".join(map(str, path)) or WHOLE_TEXT


def _shown(value: object) -> str:
    text = json.dumps(value)
    if len(text) <= LONGEST_SHOWN_VALUE:
        return text
    return f"{text[:LONGEST_SHOWN_VALUE]}..."


def _field_names(struct_type: type, path: list[Key]) -> list[str]:
    """The fields of the struct at a path."""
    info = msgspec.inspect.type_info(struct_type)
    for key in path:
        info = _child(info, key)
    assert isinstance(info, msgspec.inspect.StructType)
    return [field.encode_name for field in info.fields]


def _child(info: msgspec.inspect.Type, key: Key) -> msgspec.inspect.Type:
    match info:
        case msgspec.inspect.StructType():
            return next(f.type for f in info.fields if f.encode_name == key)
        case msgspec.inspect.DictType():
            return info.value_type
        case msgspec.inspect.ListType():
            return info.item_type
    raise AssertionError(f"no fields below {info}")
