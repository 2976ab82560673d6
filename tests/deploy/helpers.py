"""What the tests of the deploy build share."""

import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "scripts"))

from deploy_build.errors import CheckError  # noqa: E402

# A deploy file of the form that the project's has. Keys of it can be replaced.
DEPLOY_KEYS = {
    "build": '"cmake -B build && cmake --build build"',
    "run": '"exec build/sample"',
    "sim": '"exec build/sample --sim"',
    "packages": '["libuv1-dev", "zlib1g-dev"]',
}


def deploy_text(**replaced: str | None) -> str:
    """Returns a deploy file's text with keys replaced by other TOML values; None leaves a key out."""
    keys = {**DEPLOY_KEYS, **replaced}
    return "".join(f"{key} = {value}\n" for key, value in keys.items() if value is not None)


class FolderTest(unittest.TestCase):
    """A test with a folder of its own, and an assertion on the one line that a CheckError says."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="knotvane-test-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        # Builds run as another user.
        self.folder.chmod(0o755)

    def assert_refused(self, call: Callable[[], object], *parts: str) -> None:
        """Asserts that `call` raises a CheckError of one line that has all the parts."""
        with self.assertRaises(CheckError) as refused:
            call()
        line = str(refused.exception)
        self.assertNotIn("\n", line)
        for part in parts:
            self.assertIn(part, line)


def git(folder: Path, *arguments: str) -> None:
    """Calls git in `folder` with an identity of the tests' own."""
    identity = ["-c", "user.name=tests", "-c", "user.email=tests@localhost"]
    subprocess.run(["git", "-C", str(folder), *identity, *arguments], check=True, capture_output=True)
