#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 review/14/case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
