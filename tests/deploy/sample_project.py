"""A small project with a deploy file, in a git repository of its own, for the check of the deploy build."""

from pathlib import Path

from tests.deploy.helpers import deploy_text, git

from deploy_build.package_lists import DEPLOY_FILE

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
