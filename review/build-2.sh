#!/bin/sh
# Builds what the scripts of review/4 and on start: their stand-ins are Python files (Python 3.11, its standard library alone), so
# nothing is compiled for them. The daemon itself is built by the command of deploy/service.toml.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
assert sys.version_info >= (3, 9), sys.version
for path in ("standins-2/world.py", "standins-2/ring.py"):
    compile(open(path).read(), path, "exec")
PY
