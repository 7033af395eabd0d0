"""Runs the tests for CI and developers; only known failures are allowed.

KNOWN-RED.txt lists tests that fail because of a real fault that is not fixed.
Each entry begins with a line `test: NODE_ID`. The run passes if all failing
tests are listed there; every entry is printed in any case.

Without arguments, a second process of this program runs the files that mostly
wait, concurrently with the others. The files that load or measure a process run
after both have ended. All must pass.
"""

import os
import pathlib
import subprocess
import sys
import tempfile

import pytest

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
TEST_FOLDERS = ["tests/cover"]

APART = [
    "tests/cover/test_mesh_foreign_writers.py",
    "tests/cover/test_mesh_leaving.py",
    "tests/cover/test_mesh_limits.py",
    "tests/cover/test_mesh_lost_machines.py",
    "tests/cover/test_mesh_restore.py",
    "tests/cover/test_mesh_soak.py",
    "tests/cover/test_mesh_stop.py",
    "tests/cover/test_mesh_stop_queued.py",
]
"""Files whose tests wait for leases and faults, on separate ports."""

ALONE = ["tests/cover/test_untrusted_clients.py"]
"""Files that load a process to its limits and measure it. Other tests would
slow it down, and would miss their time limits beside it."""


class FailureCollector:
    """A pytest plug-in that records the identifiers of failed tests.

    Attributes:
      failed: identifiers of the tests that failed.
      ran: identifiers of all tests that ran.
      collection_failed: whether a file could not be collected.
    """

    def __init__(self):
        self.failed: set[str] = set()
        self.ran: set[str] = set()
        self.collection_failed = False

    def pytest_runtest_logreport(self, report):
        """Records the result of one phase of a test."""
        self.ran.add(report.nodeid)
        if report.failed:
            self.failed.add(report.nodeid)

    def pytest_collectreport(self, report):
        """Records whether a file could not be collected."""
        if report.failed:
            self.collection_failed = True


def known_red() -> set[str]:
    """Returns the test identifiers listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix("test:").strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith("test:")
    }


def run(arguments: list[str]) -> int:
    """Runs pytest and compares its failures with the known ones.

    Args:
      arguments: arguments for pytest, in addition to the usual options.

    Returns:
      The exit status; 0 if only known tests failed.
    """
    collector = FailureCollector()
    options = ["-q", "-p", "no:cacheprovider"]
    if os.environ.get("CI"):
        options += ["--hypothesis-profile=ci"]
    code = pytest.main([*options, *arguments], plugins=[collector])
    known = known_red()
    for name in sorted(known):
        state = "passed" if name in collector.ran else "not run here"
        if name in collector.failed:
            state = "failed"
        print(f"known red: {name}: {state}")
    if code == pytest.ExitCode.TESTS_FAILED and not collector.collection_failed:
        unexpected = collector.failed - known
        return 1 if unexpected else 0
    return int(code)


def main() -> int:
    """Runs the files given as arguments, or all tests."""
    if sys.argv[1:]:
        return run(sys.argv[1:])
    with tempfile.TemporaryFile() as output:
        apart = subprocess.Popen(
            [sys.executable, __file__, *APART],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        elsewhere = [*APART, *ALONE]
        code = run([*TEST_FOLDERS, *(f"--ignore={name}" for name in elsewhere)])
        apart_code = apart.wait()
        output.seek(0)
        print(output.read().decode(errors="replace"))
    # A new process, as pytest keeps the modules of its first run.
    alone = subprocess.run([sys.executable, __file__, *ALONE], check=False)
    return code or apart_code or alone.returncode


if __name__ == "__main__":
    sys.exit(main())
