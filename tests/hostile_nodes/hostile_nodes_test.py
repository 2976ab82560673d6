"""A scheduler process on the smallest host, beside disk servers whose answers take much memory.

The program under test is the environment's KNOTVANE_EDGE, built without sanitizers.
"""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

from tests.hostile_clients.measure import MEMORY_LIMIT_MB
from tests.hostile_nodes.measure import KINDS, play

SEED = 1
SECONDS = 8.0


class HostileNodesTest(unittest.TestCase):
    """The bounds are the platform's: its smallest host's memory, and an answer to every request in its time."""

    def setUp(self) -> None:
        self.program = Path(os.environ["KNOTVANE_EDGE"]).resolve()
        folder = tempfile.TemporaryDirectory(prefix="knotvane-hostile-nodes-")
        self.addCleanup(folder.cleanup)
        self.log_path = Path(folder.name) / "log"

    # Guards against a process over its memory limit beside answers that never end (review case 10, issue 55).
    def test_memory_stays_within_the_limit_and_clients_get_their_answers(self) -> None:
        for kind in KINDS:
            with self.subTest(kind):
                outcome = asyncio.run(play(self.program, kind, SECONDS, self.log_path, SEED))
                print(outcome, flush=True)
                self.assertEqual("", outcome.ended)
                self.assertLess(outcome.peak_memory_mb, MEMORY_LIMIT_MB)
                # A request without its final answer half a second after its time is lost.
                self.assertEqual([], outcome.answers.lost)
                self.assertGreater(outcome.answers.served, 0)


if __name__ == "__main__":
    unittest.main()
