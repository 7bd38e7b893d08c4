#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, which are Python: compiles and imports them.
# Runs after the build of the deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH=target/deps:src:platform:.
python3 - <<'END'
from pathlib import Path

import review.bed_2  # noqa: F401
import tests.platform.kv_standin  # noqa: F401

for path in sorted(Path("review").glob("*/run.py")):
    compile(path.read_text(), str(path), "exec")
END
