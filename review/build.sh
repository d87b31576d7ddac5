#!/usr/bin/env bash
# The stand-ins of the scripts need no build: they are Python files that use
# the standard library alone. The programs come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/harness.py review/*/*.py
find review -name __pycache__ -type d -prune -exec rm -rf {} +
test -d target/deps || echo "run the build line of deploy/system.toml first"
