"""scripts/setup with doctored lists, before stand-ins for apt-get and dpkg-query that record their calls."""

import os
import shutil
import subprocess

from tests.deploy.helpers import REPOSITORY, FolderTest, deploy_text

from deploy_build.package_lists import DEPLOY_FILE, SETUP_FILE

# Says of each package that it isn't installed.
DPKG_QUERY = "#!/bin/sh\nexit 1\n"
APT_GET = '#!/bin/sh\necho "$*" >>"$APT_CALLS"\n'


class SetupTest(FolderTest):
    def setUp(self):
        super().setUp()
        self.calls = self.folder / "apt-calls"
        self.calls.touch()
        self.root = self.folder / "root"
        shutil.copytree(REPOSITORY / "scripts", self.root / "scripts")
        (self.root / "deploy").mkdir()
        tools = self.folder / "tools"
        tools.mkdir()
        for name, text in (("dpkg-query", DPKG_QUERY), ("apt-get", APT_GET)):
            (tools / name).write_text(text, encoding="utf-8")
            (tools / name).chmod(0o755)
        self.environment = {
            **os.environ,
            "PATH": f"{tools}:{os.environ['PATH']}",
            "APT_CALLS": str(self.calls),
        }

    def set_up(self, deploy: str | None) -> subprocess.CompletedProcess:
        place = self.root / DEPLOY_FILE
        place.unlink(missing_ok=True)
        if deploy is not None:
            place.write_text(deploy, encoding="utf-8")
        return subprocess.run(
            [str(self.root / "scripts" / "setup")],
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def test_what_the_deploy_file_lists_is_installed(self):
        result = self.set_up(deploy_text())
        self.assertEqual((result.returncode, result.stderr), (0, ""))
        installed = self.calls.read_text().splitlines()[-1].split()
        for package in ("install", "libuv1-dev", "zlib1g-dev", "g++", "doctest-dev"):
            self.assertIn(package, installed)
        self.assertNotIn("libmsgpack-cxx-dev", installed)

    def test_a_faulty_list_ends_it_in_one_line(self):
        # Guards against a setup that goes on with half a list, or with the tests' packages alone.
        for fault, deploy in {
            "cannot be read": None,
            "missing": deploy_text(packages=None),
            "stands twice": deploy_text() + 'packages = ["git"]\n',
            "not TOML": deploy_text(packages='["libuv1-dev'),
            "empty": deploy_text(packages="[]"),
        }.items():
            with self.subTest(fault=fault):
                result = self.set_up(deploy)
                self.assertEqual(result.returncode, 1)
                self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
                for part in (str(DEPLOY_FILE), "packages", fault, "expected"):
                    self.assertIn(part, result.stderr)
                self.assertEqual(self.calls.read_text(), "")

    def test_a_fault_in_its_own_lists_ends_it_too(self):
        (self.root / SETUP_FILE).write_text("tool_chain = []\n", encoding="utf-8")
        result = self.set_up(deploy_text())
        self.assertEqual(result.returncode, 1)
        self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
        self.assertIn(f"{SETUP_FILE}: tool_chain: empty", result.stderr)
        self.assertEqual(self.calls.read_text(), "")
