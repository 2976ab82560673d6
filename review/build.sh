#!/bin/sh
# Builds the stand-ins that the cases start, after the build of the deploy file: the project's own
# storage node. Needs no network. The other stand-ins are Python scripts and need no build.
set -eu
cd "$(dirname "$0")/.."
[ -f build/CMakeCache.txt ] || cmake -B build -DCMAKE_BUILD_TYPE=Release -DKNOTVANE_PROGRAM=ON
cmake --build build -j4 --target knotvane-node
