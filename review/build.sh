#!/usr/bin/env bash
# Builds the stand-ins of the cases, which are Python: compiles and imports them.
# Runs after the build of the deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:platform:.
python3 - <<'END'
import compileall
import sys

import review.common.harness  # noqa: F401
import tests.platform.kv_standin  # noqa: F401

sys.exit(not compileall.compile_dir("review", quiet=1))
END
