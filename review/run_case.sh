#!/usr/bin/env bash
# Runs the case in the folder $1; the cases' run.sh call it.
cd "$(dirname "$0")/.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH=target/deps:src:platform:.
exec python3 "$1/run.py"
