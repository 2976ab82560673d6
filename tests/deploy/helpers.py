"""What the tests of the deploy build share: deploy files, a small project, a registry and unpacked packages."""

import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "scripts"))

from deploy_build.errors import CheckError  # noqa: E402
from deploy_build.package_lists import DEPLOY_FILE  # noqa: E402
from deploy_build.registry import Registry, default_cache  # noqa: E402
from deploy_build.sysroot import PackageStore  # noqa: E402

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
        self.folder = Path(folder.name).resolve()
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


class BuildTest(FolderTest):
    """Tests that build: they share the registry's lists and what they unpack."""

    @classmethod
    def setUpClass(cls):
        cls.registry = Registry(default_cache())
        cls.registry.refresh()
        packages = tempfile.TemporaryDirectory(prefix="knotvane-test-packages-")
        cls.addClassCleanup(packages.cleanup)
        Path(packages.name).chmod(0o755)
        cls.store = PackageStore(Path(packages.name).resolve() / "packages")


def git(folder: Path, *arguments: str) -> None:
    """Calls git in `folder` with an identity of the tests' own."""
    identity = ["-c", "user.name=tests", "-c", "user.email=tests@localhost"]
    subprocess.run(["git", "-C", str(folder), *identity, *arguments], check=True, capture_output=True)


# Needs libuv1-dev and zlib1g-dev; answers as `run` and `sim` have to: one line, or an empty frame for each batch.
MAIN = """\
#include <cstdio>
#include <cstring>
#include <uv.h>
#include <zlib.h>

int main(int argc, char **argv) {
    std::printf("%s", argc > 5 ? zlibVersion() : "");
    if (argc > 1 && std::strcmp(argv[1], "--sim") == 0) {
        const char frame[4] = {4, 0, 0, 0};
        for (int batch = 0; batch < 2; ++batch) std::fwrite(frame, 1, sizeof frame, stdout);
        return 0;
    }
    std::fprintf(stderr, "no configuration: set LB_CONFIG%s\\n", argc > 5 ? uv_version_string() : "");
    return 2;
}
"""

CMAKE_LISTS = """\
cmake_minimum_required(VERSION 3.25)
project(sample LANGUAGES CXX)
find_library(uv NAMES uv REQUIRED)
find_library(z NAMES z REQUIRED)
add_executable(sample main.cpp)
target_link_libraries(sample PRIVATE ${uv} ${z})
"""


class SampleProject:
    """The project's repository at `root`. Files can be replaced before `commit`."""

    def __init__(self, root: Path):
        self.root = root
        root.mkdir()
        git(root, "init", "--quiet")
        self.write("main.cpp", MAIN)
        self.write("CMakeLists.txt", CMAKE_LISTS)
        self.write(str(DEPLOY_FILE), deploy_text())

    def write(self, name: str, text: str) -> None:
        """Writes one of the project's files."""
        (self.root / name).parent.mkdir(exist_ok=True)
        (self.root / name).write_text(text, encoding="utf-8")

    def commit(self) -> None:
        """Commits all files."""
        git(self.root, "add", "--all")
        git(self.root, "commit", "--quiet", "--message", "sample")
