"""Compares an operator's folder with its base and the accepted files.

Three contents of each file are compared: the content in the folder (local),
the content that the folder last agreed with (base) and the accepted content.
This is the three-way comparison of version control, by whole files: a change
made by only one side is applied, and the operator must resolve a file that
both sides changed differently.
"""

import enum

import msgspec
import result

from auburnrock import errors
from auburnrock.engine import configuration


class Base(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The accepted files that a folder last agreed with.

    Attributes:
      revision: newest accepted revision that the folder was compared with.
      files: content hash of each accepted file as it was read.
    """

    revision: int = 0
    files: dict[str, str] = {}


class Keep(str, enum.Enum):
    """Which content to keep of a file that both sides changed."""

    NEITHER = ""
    LOCAL = "local"
    ACCEPTED = "accepted"


class ApplyPlan(msgspec.Struct, frozen=True):
    """The changes that applying a folder makes.

    Attributes:
      changes: the operator's changes, to be accepted together.
      behind: files that others changed and that are outdated in the folder;
        they stay as accepted.
    """

    changes: list[configuration.FileChange]
    behind: list[str]


class FetchPlan(msgspec.Struct, frozen=True):
    """The changes that updating a folder makes.

    Attributes:
      writes: new content of files by name; None removes the file.
      kept: files that keep their local content, which is not yet applied.
      base: the base of the folder afterwards.
    """

    writes: dict[str, str | None]
    kept: list[str]
    base: Base


def plan_apply(
    local: dict[str, str], base: Base, accepted: dict[str, str]
) -> ApplyPlan:
    """Finds what an operator changed since the base.

    A file that the folder never contained is never removed: its absence does
    not show that the operator wants to remove it.
    """
    changes = []
    behind = []
    for name in sorted({*local, *base.files, *accepted}):
        text = local.get(name)
        was = base.files.get(name, configuration.NO_FILE)
        if configuration.content_hash(text) != was:
            changes.append(configuration.FileChange(name, text, was))
        elif configuration.content_hash(accepted.get(name)) != was:
            behind.append(name)
    return ApplyPlan(changes, behind)


def base_after_apply(
    base: Base, changes: list[configuration.FileChange], revision: int
) -> Base:
    """The base of a folder whose changes were accepted."""
    files = dict(base.files)
    for change in changes:
        files.pop(change.name, None)
        if change.text is not None:
            files[change.name] = configuration.content_hash(change.text)
    return Base(max(base.revision, revision), files)


def plan_fetch(
    local: dict[str, str],
    base: Base,
    accepted: dict[str, str],
    revision: int,
    keep: Keep,
) -> result.Result[FetchPlan, errors.Failure]:
    """Finds how a folder is updated with the changes of others.

    Returns:
      The plan, or a CONFLICT that names every file that both sides changed
      if `keep` does not select which content stays.
    """
    writes: dict[str, str | None] = {}
    kept = []
    clashes = []
    for name in sorted({*local, *base.files, *accepted}):
        here = configuration.content_hash(local.get(name))
        there = configuration.content_hash(accepted.get(name))
        was = base.files.get(name, configuration.NO_FILE)
        if here == there:
            continue
        is_edited = here != was
        is_clash = is_edited and there != was
        if is_clash and keep is Keep.NEITHER:
            clashes.append(name)
        elif is_edited and not (is_clash and keep is Keep.ACCEPTED):
            kept.append(name)
        else:
            writes[name] = accepted.get(name)
    if clashes:
        return result.Err(_clash(clashes))
    hashes = {
        name: configuration.content_hash(text)
        for name, text in accepted.items()
    }
    newest = max(base.revision, revision)
    return result.Ok(FetchPlan(writes, kept, Base(newest, hashes)))


def _clash(names: list[str]) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.CONFLICT,
        f"files changed both here and by another operator: {', '.join(names)};"
        " nothing was written; compare each with `auburnctl show NAME`, merge"
        " it into the local file and fetch with --keep=local, or give the"
        " local change up with --keep=accepted",
    )
