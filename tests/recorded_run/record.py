"""Replaces the recordings: python3 -B -m tests.recorded_run.record PROGRAM [SCENARIO...]

Only for a commit that is meant to change a scheduling decision; its message says which one. Never
replace the recordings for a refactoring: there a difference is a bug.
"""

import sys

from tests.recorded_run.recording import write_recording
from tests.recorded_run.run import run
from tests.recorded_run.scenarios import SCENARIOS
from tests.recorded_run.wire import split_frames


def main(program, names):
    unknown = set(names) - {scenario.name for scenario in SCENARIOS}
    if unknown:
        sys.exit(f"no such scenario: {', '.join(sorted(unknown))}")
    for scenario in SCENARIOS:
        if not names or scenario.name in names:
            replies = run(program, scenario)
            write_recording(scenario, replies)
            print(f"{scenario.name}: {len(split_frames(replies))} frames, {len(replies)} bytes")


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    main(sys.argv[1], sys.argv[2:])
