#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: they are Python, need
# only what the build of the deploy file has put under target/deps, and nothing
# of src/auburnrock_standins is started. So this checks that they can start.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c 'from review.fleet2 import clients, fleet, http, store, upstream'
