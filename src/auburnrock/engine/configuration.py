"""Merges the operators' files into one accepted configuration.

The files are merged in the order of their names: objects field by field, all
other values as a whole, and later files override earlier ones. A set of
changes is accepted as a whole or rejected. An accepted configuration is one
value of the store, so its compare-and-swap is the acceptance.

An operator states for each file the content that was read before the change
(optimistic concurrency control; H. T. Kung and J. T. Robinson, 1981). So the
changes of two operators to different files both succeed, and of two operators
who change the same file the second gets a conflict.
"""

import hashlib

import msgspec
import result

from auburnrock import errors
from auburnrock import records
from auburnrock.engine import configuration_rules

CONFIGURATION_BYTES_MAX = 1_000_000
HASH_DIGITS = 16
NO_FILE = ""
"""The content hash of a file that does not exist."""


class FileChange(msgspec.Struct, frozen=True):
    """One file added, changed or removed.

    Attributes:
      name: name of the file.
      text: new content of the file; None removes the file.
      base: hash of the content that the operator had read, by `content_hash`;
        NO_FILE if there was no such file.
    """

    name: str
    text: str | None
    base: str


class ChangeSet(msgspec.Struct, frozen=True):
    """Changes that take effect together or not at all.

    Attributes:
      changes: at most one for each file.
      writer: identifies the write, so that a lost answer can be resolved.
    """

    changes: list[FileChange]
    writer: str


def content_hash(text: str | None) -> str:
    """Computes the hash of a file's content; NO_FILE for None."""
    if text is None:
        return NO_FILE
    return hashlib.sha256(text.encode()).hexdigest()[:HASH_DIGITS]


def propose(
    current: records.Configuration | None, change: ChangeSet
) -> result.Result[records.Configuration, errors.Failure]:
    """Computes the configuration that results from a set of changes.

    Args:
      current: the accepted configuration; None if there is none yet.
      change: the changes requested by an operator.

    Returns:
      The next configuration; `current` itself if it already contains all the
      changes; or a Failure of kind CONFLICT or CONFIGURATION_REJECTED.
    """
    if current is None:
        current = records.Configuration(revision=0, services={})
    conflict = _conflict(current, change)
    if conflict is not None:
        return result.Err(conflict)
    files = _changed_files(current.files, change)
    if files == current.files and current.revision > 0:
        return result.Ok(current)
    try:
        services = _merge(files)
        configuration_rules.check_layouts_kept(current.layouts, services, files)
    except configuration_rules.RejectedError as error:
        return result.Err(error.failure())
    proposed = records.Configuration(
        revision=current.revision + 1,
        services=services,
        files=files,
        layouts=_layouts(current.layouts, services),
        writer=change.writer,
    )
    size = len(records.encode_json(proposed))
    if size > CONFIGURATION_BYTES_MAX:
        too_large = configuration_rules.RejectedError(
            "all files together",
            "size",
            f"{size} bytes",
            f"at most {CONFIGURATION_BYTES_MAX} bytes",
        )
        return result.Err(too_large.failure())
    return result.Ok(proposed)


def _conflict(
    current: records.Configuration, change: ChangeSet
) -> errors.Failure | None:
    for file in change.changes:
        now = current.files.get(file.name)
        # A file that already has the requested content is no conflict.
        if now == file.text or content_hash(now) == file.base:
            continue
        return errors.Failure(
            errors.ErrorKind.CONFLICT,
            f"file {file.name}: it was changed by another operator since you"
            f" read it; got base {file.base or 'no file'}, it is now"
            f" {content_hash(now) or 'no file'} (revision {current.revision});"
            " read it again and repeat your change",
        )
    return None


def _changed_files(files: dict[str, str], change: ChangeSet) -> dict[str, str]:
    changed = dict(files)
    for file in change.changes:
        if file.text is None:
            changed.pop(file.name, None)
        else:
            changed[file.name] = file.text
    return dict(sorted(changed.items()))


def _merge(files: dict[str, str]) -> dict[str, records.ServiceSettings]:
    """Merges the files; raises RejectedError."""
    merged: dict[str, dict[str, object]] = {}
    for name, text in files.items():
        for service, fields in _services_of(name, text).items():
            _merge_object(merged.setdefault(service, {}), fields)
    services = {
        service: msgspec.convert(fields, records.ServiceSettings)
        for service, fields in sorted(merged.items())
    }
    configuration_rules.check_merged(services, files)
    return services


def _services_of(name: str, text: str) -> dict[str, dict[str, object]]:
    """The services of one file; raises RejectedError for wrong types."""
    configuration_rules.check_file_name(name)
    content = configuration_rules.decode(name, text)
    configuration_rules.check_types(name, content)
    return content.get("services", {})


def _merge_object(into: dict[str, object], fields: dict[str, object]) -> None:
    for field, value in fields.items():
        known = into.get(field)
        if isinstance(known, dict) and isinstance(value, dict):
            _merge_object(known, value)
        else:
            # Copied, since later files are merged into it.
            into[field] = dict(value) if isinstance(value, dict) else value


def _layouts(
    layouts: dict[str, records.KeyLayout],
    services: dict[str, records.ServiceSettings],
) -> dict[str, records.KeyLayout]:
    """The layouts of all services that have ever existed."""
    return layouts | {
        name: records.KeyLayout(
            divided_by_key=settings.divided_by_key,
            shards=settings.shards,
            hot_keys=settings.hot_keys,
        )
        for name, settings in services.items()
    }
