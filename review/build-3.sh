#!/bin/sh
# Builds the stand-ins of the scripts of the third review. They are written in Python and need no build: this checks that they can be
# read. The scripts start the program of the deploy file's build, target/wisteriahaven.
cd "$(dirname "$0")" || exit 1
for file in rig-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
