"""Reads and writes an operator's folder and the base recorded in it."""

import os
import pathlib

import msgspec

from auburnrock import strict_json
from auburnrock.engine import configuration_rules
from auburnrock.engine import folder_changes

BASE_FILE = ".auburnrock-base.json"
"""Name of the file in the folder that records the base. It begins with a dot
because such files are not read as configuration files."""


class FolderError(Exception):
    """A folder or file cannot be used; the message states which and why."""


def read_files(folder: pathlib.Path) -> dict[str, str]:
    """Reads the texts of a folder's files by name; raises FolderError."""
    try:
        paths = sorted(folder.iterdir())
    except (OSError, ValueError) as error:
        raise FolderError(f"folder {folder}: {error}") from error
    return {
        path.name: read_file(path)
        for path in paths
        if not path.name.startswith(".")
    }


def read_file(path: pathlib.Path) -> str:
    """Reads the text of one file; raises FolderError."""
    _check_name(path.name)
    try:
        return path.read_bytes().decode()
    except UnicodeDecodeError as error:
        raise FolderError(f"file {path}: expected UTF-8: {error}") from error
    except (OSError, ValueError) as error:
        raise FolderError(f"file {path}: {error}") from error


def read_base(folder: pathlib.Path) -> folder_changes.Base:
    """Reads the base of a folder; raises FolderError.

    The base is empty if none was recorded yet.
    """
    path = folder / BASE_FILE
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return folder_changes.Base()
    except (OSError, ValueError) as error:
        raise FolderError(f"file {path}: {error}") from error
    try:
        return strict_json.decode(data, folder_changes.Base)
    except strict_json.FieldError as error:
        raise FolderError(
            f"file {path}: {error}; remove it and fetch the folder again"
        ) from error


def write_base(folder: pathlib.Path, base: folder_changes.Base) -> None:
    """Records the base of a folder; raises FolderError."""
    text = msgspec.json.format(msgspec.json.encode(base)).decode()
    _replace_file(folder / BASE_FILE, f"{text}\n")


def write_files(folder: pathlib.Path, writes: dict[str, str | None]) -> None:
    """Writes files and removes those whose text is None; raises FolderError."""
    for name in writes:
        # The names come from the store; a path in a name must not cause a
        # write outside the folder.
        _check_name(name)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for name, text in writes.items():
            if text is None:
                (folder / name).unlink(missing_ok=True)
            else:
                _replace_file(folder / name, text)
    except OSError as error:
        raise FolderError(f"folder {folder}: {error}") from error


def _replace_file(path: pathlib.Path, text: str) -> None:
    """Replaces a file atomically; raises FolderError."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_bytes(text.encode())
        temporary.replace(path)
    except OSError as error:
        raise FolderError(f"file {path}: {error}") from error


def _check_name(name: str) -> None:
    if not configuration_rules.FILE_NAME.fullmatch(name):
        raise FolderError(
            f"file {name!r}: expected a name of letters, digits, dots, - and"
            " _; rename it or move it away"
        )
