"""Rules for configurations; each violation names the file and field."""

import json
import re

import msgspec

from auburnrock import errors
from auburnrock import records
from auburnrock import strict_json

FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
SERVICE_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
HTTP_METHOD = re.compile(r"[A-Z]{1,16}")
SHARDS_MAX = 1_048_576
HOT_KEYS_MAX = 4_096
SLOTS_MAX = 10_000
CONNECTIONS_MAX = 100_000
TIMEOUT_MS_MAX = 600_000
CHURN_PER_MINUTE_MAX = 1_000_000
WEIGHT_MAX = 1_000_000.0

RANGES: dict[str, tuple[int, int]] = {
    "shards": (1, SHARDS_MAX),
    "slots": (1, SLOTS_MAX),
    "connections": (1, CONNECTIONS_MAX),
    "timeout_ms": (1, TIMEOUT_MS_MAX),
    "churn_per_minute": (0, CHURN_PER_MINUTE_MAX),
}
WEIGHTS = ("imbalance", "churn", "unavailable_time")


class RejectedError(Exception):
    """A configuration that violates a rule.

    Attributes:
      file: name of the file that violates the rule.
      field: dotted path of the invalid field.
      got: value of the field.
      accepted: description of the values that are accepted.
    """

    def __init__(self, file: str, field: str, got: str, accepted: str):
        super().__init__(
            f"file {file}: field {field}: got {got}; accepted: {accepted}"
        )
        self.file = file
        self.field = field
        self.got = got
        self.accepted = accepted

    def failure(self) -> errors.Failure:
        """Converts the rejection to a Failure."""
        return errors.Failure(
            errors.ErrorKind.CONFIGURATION_REJECTED, str(self)
        )


class _File(msgspec.Struct, forbid_unknown_fields=True):
    services: dict[str, records.ServiceSettings] = {}


def check_file_name(name: str) -> None:
    """Raises RejectedError unless a file may have this name."""
    if not FILE_NAME.fullmatch(name):
        raise RejectedError(
            name, "name", repr(name), "letters, digits, dots, - and _"
        )


def decode(name: str, text: str) -> object:
    """The content of a file; raises RejectedError if it is not JSON."""
    try:
        return strict_json.parse(text.encode(errors="surrogatepass"))
    except strict_json.FieldError as error:
        raise _rejected(name, error) from error


def check_types(name: str, content: object) -> None:
    """Raises RejectedError unless each field has its type."""
    try:
        strict_json.convert(content, _File)
    except strict_json.FieldError as error:
        raise _rejected(name, error) from error


def check_merged(
    services: dict[str, records.ServiceSettings], files: dict[str, str]
) -> None:
    """Raises RejectedError unless all values lie in their ranges."""
    for service, settings in services.items():
        sources = _SourceFiles(service, files)
        if not SERVICE_NAME.fullmatch(service):
            raise sources.rejected(
                "", repr(service), "small letters, digits and -, at most 63"
            )
        _check_ranges(settings, sources)
        _check_hot_keys(settings, sources)
        _check_routes(settings, sources)


def check_layouts_kept(
    layouts: dict[str, records.KeyLayout],
    services: dict[str, records.ServiceSettings],
    files: dict[str, str],
) -> None:
    """Raises RejectedError if a key of a known service would change shards.

    Nodes receive a new configuration at different times. If two of them mapped
    a key to different shards, the owners of both shards would accept it. So the
    fields that map keys to shards are fixed for the life of the service's
    name; hot keys may be added at the end, which `hot_keys.py` makes safe.
    """
    for service, settings in services.items():
        layout = layouts.get(service)
        if layout is None:
            continue
        sources = _SourceFiles(service, files)
        for field in ("divided_by_key", "shards"):
            before = getattr(layout, field)
            got = getattr(settings, field)
            if got != before:
                raise sources.rejected(
                    field,
                    json.dumps(got),
                    f"{json.dumps(before)}, as it is fixed for the life of a"
                    " service; use another name for another layout",
                )
        kept = len(layout.hot_keys)
        if settings.hot_keys[:kept] != layout.hot_keys:
            raise sources.rejected(
                "hot_keys",
                json.dumps(settings.hot_keys),
                "the hot keys so far in the same order, then new ones:"
                f" {json.dumps(layout.hot_keys)}",
            )


class _SourceFiles:
    """Finds the file that set a field: the last file that contains it."""

    def __init__(self, service: str, files: dict[str, str]):
        self.service = service
        self.files = files

    def rejected(self, field: str, got: str, accepted: str) -> RejectedError:
        path = [self.service, *field.split(".")] if field else [self.service]
        dotted = ".".join(["services", *path])
        return RejectedError(self.file_of(path), dotted, got, accepted)

    def file_of(self, path: list[str]) -> str:
        while path:
            for name, text in reversed(self.files.items()):
                if _has_path(json.loads(text).get("services", {}), path):
                    return name
            # A default is invalid: name the file that makes it invalid.
            path = path[:-1]
        return "none"


def _has_path(value: object, path: list[str]) -> bool:
    for part in path:
        if not isinstance(value, dict) or part not in value:
            return False
        value = value[part]
    return True


def _check_ranges(
    settings: records.ServiceSettings, sources: _SourceFiles
) -> None:
    for field, (least, most) in RANGES.items():
        got = getattr(settings, field)
        if not least <= got <= most:
            raise sources.rejected(
                field, str(got), f"an integer from {least} to {most}"
            )
    for field in WEIGHTS:
        got = getattr(settings.weights, field)
        if not 0 <= got <= WEIGHT_MAX:
            raise sources.rejected(
                f"weights.{field}", str(got), f"from 0 to {WEIGHT_MAX:g}"
            )


def _check_hot_keys(
    settings: records.ServiceSettings, sources: _SourceFiles
) -> None:
    hot_keys = settings.hot_keys
    if not hot_keys:
        return
    problem = ""
    if not settings.divided_by_key:
        problem = "none, as the service is not divided by key"
    elif len(hot_keys) > HOT_KEYS_MAX:
        problem = f"at most {HOT_KEYS_MAX} keys"
    elif "" in hot_keys or len(set(hot_keys)) < len(hot_keys):
        problem = "keys that are not empty, each once"
    if problem:
        raise sources.rejected("hot_keys", json.dumps(hot_keys), problem)


def _check_routes(
    settings: records.ServiceSettings, sources: _SourceFiles
) -> None:
    for rule in settings.non_idempotent:
        if not HTTP_METHOD.fullmatch(rule.method):
            raise sources.rejected(
                "non_idempotent",
                f"method {rule.method!r}",
                "an HTTP method in capitals",
            )
        if not rule.path_prefix.startswith("/"):
            raise sources.rejected(
                "non_idempotent",
                f"path_prefix {rule.path_prefix!r}",
                "a path that begins with /",
            )


def _rejected(name: str, error: strict_json.FieldError) -> RejectedError:
    return RejectedError(name, error.field, error.got, error.accepted)
