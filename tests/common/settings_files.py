"""Builders of settings files."""

import json
import pathlib

GOOD = {
    "name": "portal-1",
    "region": "primorska",
    "zone": "piran",
    "address": "127.0.0.1",
    "http_port": 7801,
    "peer_port": 7802,
    "control_port": 7803,
    "platform": "127.0.0.1:7700",
}


def write(path: pathlib.Path, **changes) -> str:
    """Writes good settings with some fields changed; returns the path."""
    path.write_text(json.dumps({**GOOD, **changes}))
    return str(path)
