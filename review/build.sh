#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies: checks that they compile and that the interpreter can run them.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PY'
import pathlib
import sys
import tomllib

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
