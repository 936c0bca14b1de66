#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no build, only Python 3.11.
# The hosts are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
python3 - <<'CHECK'
import pathlib
for file in sorted(pathlib.Path(".").rglob("*.py")):
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
CHECK
