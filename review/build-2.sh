#!/bin/sh
# Builds the project's own programs that the cases 6 to 10 start beside the scheduler: after the build of the deploy
# file, from any folder. The other stand-ins (review/support-2) are Python scripts, which need no build.
set -e
cd "$(dirname "$0")/.."
test -f build/CMakeCache.txt || { echo "first run the build of deploy/balancer.toml" >&2; exit 1; }
cmake --build build -j4 --target knotvane knotvane-node knotvane-planner
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "the cases need python3, 3.11 or later" >&2; exit 1; }
