"""Runs every scenario against the program named by KNOTVANE_DRILL and compares all bytes of its replies
with the recording."""

import os
import unittest

from tests.recorded_run.recording import read_recording
from tests.recorded_run.run import run
from tests.recorded_run.scenarios import SCENARIOS
from tests.recorded_run.wire import decode_reply, split_frames


def first_difference(expected, actual):
    """Describes the first record in which two runs differ; None if their bytes are the same."""
    if expected == actual:
        return None
    expected_frames, actual_frames = split_frames(expected), split_frames(actual)
    for number in range(max(len(expected_frames), len(actual_frames))):
        frames = [run[number] if number < len(run) else None for run in (expected_frames, actual_frames)]
        if frames[0] == frames[1]:
            continue
        actions = [decode_reply(frame) if frame is not None else [] for frame in frames]
        for position in range(max(map(len, actions)) + 1):
            sides = [str(side[position]) if position < len(side) else "no record" for side in actions]
            if sides[0] != sides[1] or position == max(map(len, actions)):
                return f"frame {number}, record {position}:\n  expected {sides[0]}\n  actual   {sides[1]}"
    return "the last frame is truncated"


class RecordedRunTest(unittest.TestCase):
    # Guards against a refactoring that changes a scheduling decision unnoticed: a reversed
    # comparison, a mistyped constant, one random number more. Tests that check only properties of
    # the result still pass then, and the fault may show weeks later, if at all.
    def test_all_decisions_are_as_recorded(self):
        program = os.environ["KNOTVANE_DRILL"]
        for scenario in SCENARIOS:
            with self.subTest(scenario=scenario.name):
                difference = first_difference(read_recording(scenario), run(program, scenario))
                if difference:
                    self.fail(f"{scenario.name}, {difference}")

    # Guards against a comparison that passes whatever the program replies.
    def test_one_changed_byte_or_missing_frame_is_reported(self):
        expected = read_recording(SCENARIOS[0])
        frames = split_frames(expected)
        number = len(frames) // 2
        start = sum(map(len, frames[:number]))
        end = start + len(frames[number])
        changed = bytearray(expected)
        changed[end - 1] ^= 1
        self.assertIn(f"frame {number}, ", first_difference(expected, bytes(changed)))
        self.assertIn(f"frame {len(frames) - 1}, ", first_difference(expected, b"".join(frames[:-1])))


if __name__ == "__main__":
    unittest.main()
