#!/usr/bin/env bash
# Builds what the scripts of the review start: nothing has to be compiled, so
# this checks that the stand-ins (the project's own fake of the store too) and
# the dependencies of the deploy file's build can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:. python3 - <<'PY'
import compileall
import sys

ok = compileall.compile_dir("review", quiet=1)
import tests.fakes.objects_api  # noqa: F401

sys.exit(0 if ok else 1)
PY
