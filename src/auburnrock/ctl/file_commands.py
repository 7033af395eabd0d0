"""Commands on configuration files: check, show, fetch, apply, put, remove."""

import pathlib

import msgspec
import result

from auburnrock import errors
from auburnrock import records
from auburnrock.ctl import folder as folder_module
from auburnrock.ctl import options as options_module
from auburnrock.ctl import report
from auburnrock.ctl import store_access
from auburnrock.engine import configuration
from auburnrock.engine import folder_changes
from auburnrock.store import base as platform_base

CHANGE_TIMEOUT_S = 10.0
"""Default time limit of `apply`, `put` and `remove`, in seconds."""

NO_CONFIGURATION = records.Configuration(revision=0, services={})
"""Stands for the configuration of a store that contains none."""

CHECK_WRITER_NAME = "check"
"""Writer of the changes that `check` validates; they are never stored."""

CommandResult = result.Result[report.Report, errors.Failure]


class Checked(msgspec.Struct):
    """A folder that `apply` would accept.

    Attributes:
      files: names of the folder's files.
      services: settings of the services that the files define, by name.
      changes: names of the files that applying the folder would change; None
        if the folder was checked without the store.
      behind: names of the files that other operators changed since the folder
        was fetched.
    """

    files: list[str]
    services: dict[str, records.ServiceSettings]
    changes: list[str] | None = None
    behind: list[str] = []


class ShownFile(msgspec.Struct):
    """A file of the accepted configuration.

    Attributes:
      name: name of the file.
      hash: hash of the file's content, as the flag --base accepts it.
      text: content of the file.
    """

    name: str
    hash: str
    text: str


class Shown(msgspec.Struct):
    """The accepted configuration.

    Attributes:
      revision: revision of the configuration; 0 if the store contains none.
      files: the requested files of the configuration.
      services: settings of all services, by name.
    """

    revision: int
    files: list[ShownFile]
    services: dict[str, records.ServiceSettings]


class Fetched(msgspec.Struct):
    """The result of updating a folder to the accepted configuration.

    Attributes:
      revision: revision of the accepted configuration.
      written: names of the files that were written.
      removed: names of the files that were removed.
      kept: names of the files whose local changes are not yet applied.
    """

    revision: int
    written: list[str]
    removed: list[str]
    kept: list[str]


class Applied(msgspec.Struct):
    """Changes that were accepted.

    Attributes:
      revision: an accepted revision that contains all changes.
      changed: names of the files that were added, changed or removed.
      behind: names of the files that other operators changed since the folder
        was fetched; their accepted content stays.
      warnings: further messages for the operator, in plain text.
    """

    revision: int
    changed: list[str]
    behind: list[str] = []
    warnings: list[str] = []


async def check(
    options: options_module.Options, platform: platform_base.Platform | None
) -> CommandResult:
    """Validates a folder; with --platform also against the accepted files."""
    path = pathlib.Path(options.words[1])
    local = folder_module.read_files(path)
    if platform is None:
        return _check_without_store(local)
    base = folder_module.read_base(path)
    current = await store_access.read_configuration(platform)
    if isinstance(current, result.Err):
        return current
    plan = _plan_apply(local, base, current.ok_value)
    proposed = configuration.propose(
        current.ok_value,
        configuration.ChangeSet(plan.changes, CHECK_WRITER_NAME),
    )
    if isinstance(proposed, result.Err):
        return proposed
    changes = [change.name for change in plan.changes]
    checked = Checked(
        list(local), proposed.ok_value.services, changes, plan.behind
    )
    lines = [
        f"accepted: {len(local)} files, {len(checked.services)} services",
        f"would change: {_format_names(changes)}",
        *_behind_lines(plan.behind, path),
    ]
    return result.Ok(report.Report(checked, lines))


async def show(
    options: options_module.Options, platform: platform_base.Platform
) -> CommandResult:
    """Shows the accepted configuration or the text of one of its files."""
    current = await store_access.read_configuration(platform)
    if isinstance(current, result.Err):
        return current
    accepted = current.ok_value or NO_CONFIGURATION
    names = options.words[1:] or list(accepted.files)
    absent = [name for name in names if name not in accepted.files]
    if absent:
        return result.Err(
            errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                f"no accepted file {absent[0]!r}; there are:"
                f" {_format_names(list(accepted.files))}",
            )
        )
    files = [
        ShownFile(name, configuration.content_hash(text), text)
        for name, text in accepted.files.items()
        if name in names
    ]
    shown = Shown(accepted.revision, files, accepted.services)
    if options.words[1:]:
        text = files[0].text.removesuffix("\n")
        return result.Ok(report.Report(shown, [text]))
    return result.Ok(report.Report(shown, _shown_lines(shown)))


async def fetch(
    options: options_module.Options, platform: platform_base.Platform
) -> CommandResult:
    """Updates a folder to the accepted configuration."""
    path = pathlib.Path(options.words[1])
    local = folder_module.read_files(path) if path.exists() else {}
    base = folder_module.read_base(path)
    current = await store_access.read_configuration(platform)
    if isinstance(current, result.Err):
        return current
    accepted = current.ok_value or NO_CONFIGURATION
    planned = folder_changes.plan_fetch(
        local, base, accepted.files, accepted.revision, options.keep
    )
    if isinstance(planned, result.Err):
        return planned
    plan = planned.ok_value
    folder_module.write_files(path, plan.writes)
    folder_module.write_base(path, plan.base)
    writes = plan.writes.items()
    fetched = Fetched(
        accepted.revision,
        [name for name, text in writes if text is not None],
        [name for name, text in writes if text is None],
        plan.kept,
    )
    lines = [
        f"revision {fetched.revision}",
        f"written: {_format_names(fetched.written)}",
        f"removed: {_format_names(fetched.removed)}",
        f"changed here, not yet applied: {_format_names(fetched.kept)}",
    ]
    return result.Ok(report.Report(fetched, lines))


async def apply(
    options: options_module.Options, platform: platform_base.Platform
) -> CommandResult:
    """Submits the changes of a folder; all are accepted or none."""
    path = pathlib.Path(options.words[1])
    local = folder_module.read_files(path)
    base = folder_module.read_base(path)
    current = await store_access.read_configuration(platform)
    if isinstance(current, result.Err):
        return current
    plan = _plan_apply(local, base, current.ok_value)
    before = current.ok_value or NO_CONFIGURATION
    if not plan.changes:
        return _applied_report(Applied(before.revision, [], plan.behind), path)
    proposed = await _propose_changes(
        options, platform, path, base, plan.changes
    )
    if isinstance(proposed, result.Err):
        return proposed
    applied = proposed.ok_value
    applied.changed = _names_not_applied(before, plan.changes)
    applied.behind = plan.behind
    return _applied_report(applied, path)


async def put(
    options: options_module.Options, platform: platform_base.Platform
) -> CommandResult:
    """Submits one added or changed file."""
    path = pathlib.Path(options.words[1])
    text = folder_module.read_file(path)
    return await _change_file(options, platform, path, text)


async def remove(
    options: options_module.Options, platform: platform_base.Platform
) -> CommandResult:
    """Removes one accepted file; a local file of this name stays."""
    path = pathlib.Path(options.words[1])
    removed = await _change_file(options, platform, path, None)
    if isinstance(removed, result.Ok) and path.exists():
        removed.ok_value.lines.append(
            f"the local file {path} is still there; applying its folder would"
            " add it again"
        )
    return removed


async def _change_file(
    options: options_module.Options,
    platform: platform_base.Platform,
    path: pathlib.Path,
    text: str | None,
) -> CommandResult:
    """Submits a change of one file.

    The content that the operator read is taken from --base or, without it,
    from the base of the file's folder.

    Args:
      options: the parsed command line.
      platform: client of the store.
      path: local path of the file; its name is the name of the accepted file.
      text: new content; None removes the file.
    """
    base = folder_module.read_base(path.parent)
    current = await store_access.read_configuration(platform)
    if isinstance(current, result.Err):
        return current
    read_hash = base.files.get(path.name, configuration.NO_FILE)
    if options.base is not None:
        read_hash = options.base
    changes = [configuration.FileChange(path.name, text, read_hash)]
    proposed = await _propose_changes(
        options, platform, path.parent, base, changes
    )
    if isinstance(proposed, result.Err):
        return proposed
    applied = proposed.ok_value
    applied.changed = _names_not_applied(
        current.ok_value or NO_CONFIGURATION, changes
    )
    return _applied_report(applied, path.parent)


async def _propose_changes(
    options: options_module.Options,
    platform: platform_base.Platform,
    path: pathlib.Path,
    base: folder_changes.Base,
    changes: list[configuration.FileChange],
) -> result.Result[Applied, errors.Failure]:
    """Submits changes and, once accepted, records them in the folder's base."""
    timeout_s = options.timeout_s
    if timeout_s is None:
        timeout_s = CHANGE_TIMEOUT_S
    accepted = await store_access.propose(
        platform, changes, base.revision, timeout_s
    )
    if isinstance(accepted, result.Err):
        return result.Err(_with_fetch_hint(accepted.err_value, path))
    applied = Applied(accepted.ok_value.revision, [])
    next_base = folder_changes.base_after_apply(base, changes, applied.revision)
    try:
        folder_module.write_base(path, next_base)
    except folder_module.FolderError as error:
        # The change stays accepted even if the base cannot be written.
        applied.warnings.append(f"accepted, but not remembered: {error}")
    return result.Ok(applied)


def _names_not_applied(
    before: records.Configuration, changes: list[configuration.FileChange]
) -> list[str]:
    """Returns the names of the changed files that differ in `before`."""
    return [
        change.name
        for change in changes
        if before.files.get(change.name) != change.text
    ]


def _plan_apply(
    local: dict[str, str],
    base: folder_changes.Base,
    current: records.Configuration | None,
) -> folder_changes.ApplyPlan:
    if current is None:
        # Without an accepted configuration nothing can be overwritten.
        return folder_changes.plan_apply(local, folder_changes.Base(), {})
    return folder_changes.plan_apply(local, base, current.files)


def _check_without_store(local: dict[str, str]) -> CommandResult:
    changes = [
        configuration.FileChange(name, text, configuration.NO_FILE)
        for name, text in local.items()
    ]
    proposed = configuration.propose(
        None, configuration.ChangeSet(changes, CHECK_WRITER_NAME)
    )
    if isinstance(proposed, result.Err):
        return proposed
    checked = Checked(list(local), proposed.ok_value.services)
    lines = [
        f"accepted: {len(local)} files, {len(checked.services)} services",
        "not compared with the accepted configuration; give --platform",
    ]
    return result.Ok(report.Report(checked, lines))


def _applied_report(applied: Applied, path: pathlib.Path) -> CommandResult:
    lines = [
        f"revision {applied.revision}",
        f"changed: {_format_names(applied.changed)}",
        *_behind_lines(applied.behind, path),
        *applied.warnings,
    ]
    return result.Ok(report.Report(applied, lines))


def _behind_lines(behind: list[str], path: pathlib.Path) -> list[str]:
    if not behind:
        return []
    return [
        f"changed by other operators, older in {path}: {_format_names(behind)};"
        f" take them over with `auburnctl fetch {path}`"
    ]


def _with_fetch_hint(
    failure: errors.Failure, path: pathlib.Path
) -> errors.Failure:
    if failure.kind is not errors.ErrorKind.CONFLICT:
        return failure
    advice = f"{failure.message}; `auburnctl fetch {path}` reads it"
    return msgspec.structs.replace(failure, message=advice)


def _format_names(names: list[str]) -> str:
    return ", ".join(names) or "none"


def _shown_lines(shown: Shown) -> list[str]:
    lines = [f"revision {shown.revision}", ""]
    rows = [["FILE", "HASH", "BYTES"]]
    rows += [
        [file.name, file.hash, str(len(file.text.encode()))]
        for file in shown.files
    ]
    lines += [*report.table(rows), ""]
    rows = [["SERVICE", "BY KEY", "SHARDS", "HOT KEYS", "CHECKS GRANTS"]]
    rows += [
        [
            name,
            _yes_or_no(settings.divided_by_key),
            str(settings.shards),
            str(len(settings.hot_keys)),
            _yes_or_no(settings.checks_grants),
        ]
        for name, settings in shown.services.items()
    ]
    return [*lines, *report.table(rows)]


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"
