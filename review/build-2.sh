#!/bin/sh
# Prepares the stand-ins of the second review. They are scripts for python3 with its standard library only, so that nothing is
# compiled; this checks that the interpreter is there and reads them. The scripts start target/wisteriahaven, which the build of
# deploy/system.toml makes, and no stand-in of the project.
cd "$(dirname "$0")" || exit 1
exec python3 - rig-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'P'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("%d scripts are ready" % len(sys.argv[1:]))
P
