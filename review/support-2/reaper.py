"""Ends a case's processes and removes its folder when the case has ended, however that came: also by SIGKILL.

reaper.py FOLDER: reads lines "PID START" until the end of its input, which comes with the end of the case.
"""

import os
import shutil
import signal
import sys
from pathlib import Path


def start_of(pid: int) -> str:
    """When a process started, by the system; empty if there is none. Tells a process from a later one of its id."""
    try:
        return Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()[19]
    except OSError:
        return ""


def main() -> None:
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    started = [line.split() for line in sys.stdin]
    for pid, start in started:
        if start_of(int(pid)) == start:
            os.kill(int(pid), signal.SIGKILL)
    shutil.rmtree(sys.argv[1], ignore_errors=True)


if __name__ == "__main__":
    main()
