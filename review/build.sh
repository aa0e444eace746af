#!/bin/sh
# The stand-ins of the scripts are Python files of the standard library only: this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
