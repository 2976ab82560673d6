"""A scheduler process on the smallest host, beside hostile clients and clients that leave.

The program under test is the environment's KNOTVANE_EDGE, built without sanitizers.
"""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

from tests.hostile_clients import departures
from tests.hostile_clients.measure import MEMORY_LIMIT_MB, play
from tests.hostile_clients.traffic import HOLDS, KINDS

SEED = 1
FLOOD_S = 3.0
# Longer than an unfinished request may last.
HOLD_S = 4.0


class HostileClientsTest(unittest.TestCase):
    """The bounds are the platform's: its smallest host's memory, and an answer to every request in its time."""

    def setUp(self) -> None:
        self.program = Path(os.environ["KNOTVANE_EDGE"]).resolve()
        folder = tempfile.TemporaryDirectory(prefix="knotvane-hostile-clients-")
        self.addCleanup(folder.cleanup)
        self.log_path = Path(folder.name) / "log"

    # Guards against a process over its memory limit, and late answers, beside hostile clients (issue 48).
    def test_memory_stays_within_the_limit_and_other_clients_get_their_answers(self) -> None:
        for kind in KINDS:
            with self.subTest(kind):
                seconds = HOLD_S if kind in HOLDS else FLOOD_S
                outcome = asyncio.run(play(self.program, kind, seconds, self.log_path, SEED))
                print(outcome, flush=True)
                self.assertEqual("", outcome.ended)
                self.assertLess(outcome.peak_memory_mb, MEMORY_LIMIT_MB)
                self.assertEqual([], outcome.answers.lost)
                self.assertEqual([], outcome.late)
                self.assertGreater(outcome.answers.served, 0)

    # Guards against requests that are sent on for clients that have left, and ids that run twice (issue 48).
    def test_nothing_is_sent_on_for_clients_that_have_left_and_no_id_runs_twice(self) -> None:
        findings = asyncio.run(departures.play(self.program, self.log_path, SEED))
        print(findings, flush=True)
        self.assertEqual(departures.DEPARTURES, findings.departures)
        self.assertEqual([], findings.late_attempts)
        self.assertEqual([], findings.ids_run_twice)


if __name__ == "__main__":
    unittest.main()
