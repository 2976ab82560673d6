"""scripts/lint on a small tree, sound and with one fault for each tool."""

import json
import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
CONFIGURATION = ("scripts/lint", ".clang-format", ".clang-tidy", ".flake8", "pyproject.toml")

SOURCE = "src/sample/half.cpp"
HEADER = "src/shared/twice.hpp"
PYTHON = "scripts/sample.py"
SHELL = "scripts/sample"

SOUND = {
    "scripts/lint-exceptions.txt": "# none\n",
    SOURCE: '#include "shared/twice.hpp"\n\nint half(int whole) {\n    return whole / 2;\n}\n',
    HEADER: "#pragma once\n\ninline int twice(int once) {\n    return once * 2;\n}\n",
    PYTHON: '"""A script."""\n\nprint("sample")\n',
    SHELL: '#!/bin/bash\necho "$1"\n',
}
BADLY_LAID_OUT = "int  half(int whole)\n{return whole / 2; }\n"
# bugprone-integer-division: the half of 3 is 1.
FAULTY_FUNCTION = "double half(int whole) {\n    return whole / 2;\n}\n"
FAULTY_HEADER = "#pragma once\n\ninline double twice(int once) {\n    return once * 2 / 3;\n}\n"


class LintTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="knotvane-lint-test-")
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name).resolve()
        self.environment = dict(os.environ)
        for name, text in SOUND.items():
            self.write(name, text)
        for name in CONFIGURATION:
            shutil.copy(REPOSITORY / name, self.root / name)
        compiled = {
            "directory": str(self.root / "build-tests"),
            "file": str(self.root / SOURCE),
            "command": f"c++ -std=c++20 -I{self.root / 'src'} -c {self.root / SOURCE}",
        }
        self.write("build-tests/compile_commands.json", json.dumps([compiled]))
        self.write(".gitignore", "build-tests/\n")
        for arguments in (["init", "--quiet"], ["add", "--all"]):
            subprocess.run(["git", "-C", str(self.root), *arguments], check=True, capture_output=True)

    def write(self, name: str, text: str) -> None:
        (self.root / name).parent.mkdir(parents=True, exist_ok=True)
        (self.root / name).write_text(text, encoding="utf-8")

    def lint(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [str(self.root / "scripts/lint"), *arguments]
        return subprocess.run(
            command, env=self.environment, capture_output=True, text=True, timeout=120, check=False
        )

    def assert_passes(self, *arguments: str) -> None:
        result = self.lint(*arguments)
        self.assertEqual((result.returncode, result.stderr), (0, ""))

    def assert_only_fails(self, tool: str, name: str) -> None:
        """Asserts that one tool fails at one file, and says so in a line of its own."""
        result = self.lint()
        self.assertEqual(result.returncode, 1, result.stderr)
        told = [line for line in result.stderr.splitlines() if line.startswith("lint: ")]
        self.assertEqual(told, [f"lint: {tool}: {name} fails"], result.stderr)

    def assert_refused(self, *parts: str) -> None:
        """Asserts that nothing is checked, for a reason of one line that has all the parts."""
        result = self.lint()
        self.assertEqual(result.returncode, 1)
        self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
        for part in parts:
            self.assertIn(part, result.stderr)

    def test_a_sound_tree_passes(self):
        self.assert_passes()

    def test_clang_format_fails_at_a_bad_layout(self):
        self.write(SOURCE, BADLY_LAID_OUT)
        self.assert_only_fails("clang-format", SOURCE)

    def test_clang_tidy_fails_at_a_fault(self):
        self.write(SOURCE, FAULTY_FUNCTION)
        self.assert_only_fails("clang-tidy", SOURCE)

    def test_clang_tidy_fails_at_a_name_of_another_style(self):
        self.write(SOURCE, "int halfOf(int whole) {\n    return whole / 2;\n}\n")
        self.assert_only_fails("clang-tidy", SOURCE)

    def test_clang_tidy_fails_at_a_file_that_does_not_compile(self):
        self.write(SOURCE, "int half(int whole) {\n    return hole / 2;\n}\n")
        self.assert_only_fails("clang-tidy", SOURCE)

    def test_black_fails_at_a_bad_layout(self):
        # flake8 takes either kind of quotes.
        self.write(PYTHON, "print('sample')\n")
        self.assert_only_fails("black", PYTHON)

    def test_flake8_fails_at_an_unused_import(self):
        self.write(PYTHON, "import os\n")
        self.assert_only_fails("flake8", PYTHON)

    def test_shellcheck_fails_at_a_missing_quote(self):
        self.write(SHELL, "#!/bin/bash\nrm $1\n")
        self.assert_only_fails("shellcheck", SHELL)

    def test_a_fault_in_a_header_without_a_source_is_found(self):
        # Guards against headers that nothing but excepted packages includes.
        self.write("scripts/lint-exceptions.txt", "src/sample\n")
        self.write(HEADER, FAULTY_HEADER)
        self.assert_only_fails("clang-tidy", HEADER)

    def test_a_fault_in_an_included_header_fails_the_source_too(self):
        self.write(HEADER, FAULTY_HEADER)
        result = self.lint(SOURCE)
        self.assertEqual(result.returncode, 1)
        self.assertIn(f"lint: clang-tidy: {SOURCE} fails", result.stderr)

    def test_an_excepted_package_is_passed_over_by_clang_tidy(self):
        self.write("scripts/lint-exceptions.txt", "# a reason\nsrc/sample\n")
        self.write(SOURCE, FAULTY_FUNCTION)
        self.assert_passes()

    def test_an_excepted_header_makes_no_noise_where_it_is_included(self):
        self.write("scripts/lint-exceptions.txt", "src/shared\n")
        self.write(HEADER, FAULTY_HEADER)
        self.assert_passes()

    def test_an_excepted_package_still_needs_its_layout(self):
        self.write("scripts/lint-exceptions.txt", "src/sample\n")
        self.write(SOURCE, BADLY_LAID_OUT)
        self.assert_only_fails("clang-format", SOURCE)

    def test_only_what_is_named_is_checked(self):
        self.write(SOURCE, FAULTY_FUNCTION)
        self.assert_passes("scripts")
        self.assertEqual(self.lint("src/sample").returncode, 1)

    def test_a_path_without_a_file_is_refused(self):
        # Guards against a check of nothing that passes.
        result = self.lint("src/other")
        self.assertEqual(result.returncode, 1)
        self.assertIn("src/other: no tracked file", result.stderr)

    def test_fix_mends_the_layout(self):
        self.write(SOURCE, BADLY_LAID_OUT)
        self.write(PYTHON, "print( 'sample')\n")
        self.assert_passes("--fix")

    def test_missing_compile_commands_are_told(self):
        (self.root / "build-tests/compile_commands.json").unlink()
        self.assert_refused("compile_commands.json", "cmake --preset tests")

    def test_a_missing_list_of_exceptions_is_told(self):
        (self.root / "scripts/lint-exceptions.txt").unlink()
        self.assert_refused("lint-exceptions.txt")

    def test_another_version_of_a_tool_is_refused(self):
        # Guards against two machines that find different things.
        stand_in = self.root / "build-tests/clang-tidy"
        stand_in.write_text("#!/bin/sh\necho LLVM version 15.0.7\n", encoding="utf-8")
        stand_in.chmod(0o755)
        self.environment["PATH"] = f"{stand_in.parent}:{self.environment['PATH']}"
        self.assert_refused("clang-tidy is version 15.0", "expected version 14")
