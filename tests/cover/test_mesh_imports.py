"""Modules that a node's process loads.

A node restarts beside a target that waits for it, so it must start quickly.
"""

import subprocess
import sys

from auburnrock import programs

NOT_LOADED = {
    "absl": "command lines; the node has none",
    "aiohttp": "HTTP of the product's own interface",
    "aiomisc": "services of the product's own daemon",
    "datasketches": "placement by sketches",
    "google": "protobuf of the control port",
    "grpclib": "the control port",
    "numpy": "placement benches",
    "pytest": "tests",
    "yarl": "comes with aiohttp",
}
OWN_NOT_LOADED = (
    "auburnrock.control",
    "auburnrock.ctl",
    "auburnrock.engine.placement",
    "auburnrock.replay",
    "auburnrock.store",
    "auburnrock_standins",
)


def loaded() -> set[str]:
    source = programs.__path__[0].removesuffix("/auburnrock/programs")
    code = (
        f"import sys; sys.path.insert(0, {source!r});"
        "import auburnrock.programs.mesh_node; print(*sys.modules)"
    )
    ran = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(ran.stdout.split())


def test_a_node_loads_nothing_that_only_others_need():
    names = loaded()
    assert "auburnrock.shells.mesh.node" in names
    top = {name.partition(".")[0] for name in names}
    assert {name for name in NOT_LOADED if name in top} == set()
    own = [name for name in names if name.startswith(OWN_NOT_LOADED)]
    assert own == []
