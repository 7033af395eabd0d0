"""Checks that modules are imported, not names (Google Python Style Guide 2.2).

`from package import module` is accepted; `from module import name` is not,
except from `typing` and `collections.abc`, which the guide exempts.
"""

import ast
import importlib.util
import pathlib
import sys

EXEMPT_MODULES = frozenset({"typing", "collections.abc", "__future__"})
GENERATED_SUFFIXES = ("_pb2.py", "_grpc.py")


def is_module(name: str) -> bool:
    """Whether a dotted name can be imported as a module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def violations(path: pathlib.Path) -> list[str]:
    """Returns a message for each import in `path` that is not of a module."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.level > 0:
            found.append(f"{path}:{node.lineno}: relative import")
            continue
        if node.module in EXEMPT_MODULES:
            continue
        for alias in node.names:
            if not is_module(f"{node.module}.{alias.name}"):
                found.append(
                    f"{path}:{node.lineno}: {alias.name} is not a module;"
                    f" import {node.module} and write the name out"
                )
    return found


def main() -> int:
    """Checks all Python files under the folders given as arguments.

    Returns the exit status: 1 if there are violations.
    """
    found = []
    for folder in sys.argv[1:]:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            if not path.name.endswith(GENERATED_SUFFIXES):
                found.extend(violations(path))
    print("\n".join(found) or "imports: clean")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
