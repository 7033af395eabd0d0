#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start: the nodes' packages, if the
# build of the deploy file has not been run yet, and the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps/msgspec ]; then
  bash -c "$(python3 -c 'import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
fi
python3 -m compileall -q review/fleet3
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c 'from review.fleet3 import script'
