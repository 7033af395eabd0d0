"""The node's program as the platform starts it: signals and settings."""

import os
import pathlib
import signal
import subprocess
import sys

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


def test_a_reload_during_the_start_does_not_end_the_process(tmp_path):
    """Guards against the default of SIGHUP while modules are imported."""
    (tmp_path / "sitecustomize.py").write_text(SIGNAL_AT_IMPORT)
    process = start(tmp_path, tmp_path / "missing.json")
    output, _ = process.communicate(timeout=20)
    assert "event=start_failed" in output
    assert process.returncode == 2


def test_settings_that_stay_unreadable_are_reported(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{")
    process = start(tmp_path, path)
    output, _ = process.communicate(timeout=20)
    assert process.returncode == 2
    assert "event=start_failed" in output
