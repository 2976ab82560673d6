#!/bin/sh
# The stand-ins of the cases are Python scripts of the standard library alone, so there is nothing to
# compile; this checks that they can be read here. Run it after the deploy file's build. Needs no network.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed, found " + sys.version.split()[0])
for path in glob.glob("*/*.py"):
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
PYTHON
