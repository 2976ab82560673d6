#!/bin/sh
# Usage: [TROUBLE=0] run.sh; exit status 1: the rule was broken, 0: it held, 2: could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null 2>&1 || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../support-2 exec python3 ../support-2/play.py
