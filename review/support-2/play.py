"""Plays case.py of the current folder. Whatever goes wrong with the case itself is exit status 2, never 1."""

import runpy
import sys
import traceback

try:
    runpy.run_path("case.py", run_name="__main__")
except SystemExit:
    raise
except BaseException:  # pylint: disable=broad-except
    traceback.print_exc()
    sys.exit(2)
