"""What an operator's folder, its base and the accepted files ask for.

Three contents of each file decide: the one in the folder (local), the one
that the folder was last known to agree with (base) and the accepted one. This
is the three-way comparison of version control, by whole files: what only one
side changed is taken over, what both changed differently has to be decided by
the operator.
"""

import enum

import msgspec
import result

from auburnrock import errors
from auburnrock.engine import configuration


class Base(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a folder was last known to agree with.

    Attributes:
      revision: newest accepted revision seen.
      files: content hash of each accepted file as it was read.
    """

    revision: int = 0
    files: dict[str, str] = {}


class Keep(str, enum.Enum):
    """What to keep of a file that both sides changed."""

    NEITHER = ""
    LOCAL = "local"
    ACCEPTED = "accepted"


class ApplyPlan(msgspec.Struct, frozen=True):
    """What applying a folder does.

    Attributes:
      changes: what the operator changed, to be accepted together.
      behind: files that others changed and the folder does not have yet; they
        stay as accepted.
    """

    changes: list[configuration.FileChange]
    behind: list[str]


class FetchPlan(msgspec.Struct, frozen=True):
    """What bringing a folder up to date does.

    Attributes:
      writes: new content of files by name; None removes the file.
      kept: files that stay as they are locally and wait to be applied.
      base: what the folder is based on afterwards.
    """

    writes: dict[str, str | None]
    kept: list[str]
    base: Base


def plan_apply(
    local: dict[str, str], base: Base, accepted: dict[str, str]
) -> ApplyPlan:
    """Finds what an operator changed since the base.

    A file that the folder never had is never removed: its absence shows no
    intent.
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
    """Finds how a folder takes over what others changed.

    Returns:
      The plan, or a CONFLICT that names every file that both sides changed
      where `keep` does not say which content stays.
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
