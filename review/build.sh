#!/usr/bin/env bash
# Checks that the stand-ins can be loaded with the packages of the deploy file.
# They need no build: they are Python, and use only target/deps.
set -eu
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="review:target/deps" python3 -c "
from harness import endless, fleet, script, store, upstream
"
