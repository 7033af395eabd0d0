"""The node's program as the platform starts it: signals and settings."""

import os
import pathlib
import signal
import subprocess
import sys
import time

from tests.common import mesh_fleet
from tests.common import mesh_soak_faults

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "src" / "mesh_node.py"

SIGNAL_AT_IMPORT = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path, target=None):
        if name == "auburnrock.programs.mesh_node":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
"""


def environment(folder, settings):
    return {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": f"{folder}:{ROOT / 'src'}",
        "AUBURNROCK_CONFIG": str(settings),
    }


def start(folder, settings):
    return subprocess.Popen(
        [sys.executable, str(PROGRAM)],
        env=environment(folder, settings),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def settings_text():
    return mesh_soak_faults.settings_text(
        "127.0.9.1",
        "portal",
        {
            name: f"127.0.9.1:{port}"
            for name, port in zip(
                ("caller", "ready", "control", "target", "store", "peer"),
                mesh_fleet.free_ports("127.0.9.1", 6),
                strict=True,
            )
        },
    )


def read_until(process, text):
    """Returns the output of a process up to a line with a text."""
    lines = []
    for line in process.stdout:
        lines.append(line)
        if text in line:
            break
    return "".join(lines)


def test_a_reload_during_the_start_does_not_end_the_process(tmp_path):
    """Guards against the default of SIGHUP while modules are imported."""
    (tmp_path / "sitecustomize.py").write_text(SIGNAL_AT_IMPORT)
    process = start(tmp_path, tmp_path / "missing.json")
    output, _ = process.communicate(timeout=20)
    assert "event=start_failed" in output
    assert process.returncode == 2


def test_a_start_waits_until_its_settings_are_written(tmp_path):
    """Guards against a start that ends as it reads half of the file."""
    path = tmp_path / "settings.json"
    text = settings_text()
    path.write_text(text[: len(text) // 2])
    process = start(tmp_path, path)
    try:
        time.sleep(0.8)
        assert process.poll() is None
        path.write_text(text)
        assert "event=start " in read_until(process, "event=start ")
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=20)
        assert process.returncode == 0
    finally:
        process.kill()


def test_settings_that_stay_unreadable_are_reported(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{")
    process = start(tmp_path, path)
    output, _ = process.communicate(timeout=20)
    assert process.returncode == 2
    assert "event=start_failed" in output
