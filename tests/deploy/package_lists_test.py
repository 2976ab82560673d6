"""The readers of the lists: a whole list, or one line that names file, key and what was expected."""

from tests.deploy.helpers import REPOSITORY, FolderTest, deploy_text

from deploy_build.package_lists import (
    DEPLOY_FILE,
    SETUP_FILE,
    all_packages,
    parse_deploy_file,
    read_deploy_file,
    read_setup_lists,
)

SETUP_TEXT = 'tool_chain = ["g++"]\nfurther = ["clang"]\n'


class DeployFileTest(FolderTest):
    def parse(self, text: str):
        return parse_deploy_file(text.encode(), "deploy.toml")

    def assert_faulty(self, text: str, *parts: str) -> None:
        self.assert_refused(lambda: self.parse(text), "deploy.toml", "expected", *parts)

    def test_a_whole_file_is_read(self):
        deploy = self.parse(deploy_text())
        self.assertEqual(deploy.packages, ("libuv1-dev", "zlib1g-dev"))
        self.assertEqual(deploy.run, "exec build/sample")

    def test_a_missing_key_is_named(self):
        # Guards against a setup that takes a file without the list for one that needs no package.
        self.assert_faulty(deploy_text(packages=None), "packages: missing")
        self.assert_faulty(deploy_text(build=None), "build: missing")
        self.assert_faulty(deploy_text(run=None), "run: missing")
        self.assert_faulty(deploy_text(sim=None), "sim: missing")

    def test_a_key_in_another_table_is_missing(self):
        self.assert_faulty("[other]\n" + deploy_text(), "packages: missing")

    def test_a_key_that_stands_twice_is_named(self):
        # Guards against half of the packages: those of the first list, or of the second.
        self.assert_faulty(deploy_text() + 'packages = ["git"]\n', "packages: stands twice")
        self.assert_faulty(deploy_text() + '"packages" = ["git"]\n', "packages: stands twice")

    def test_broken_quoting_is_refused(self):
        self.assert_faulty(
            deploy_text(packages='["libuv1-dev, "zlib1g-dev"]'), "packages: not TOML", "line 4"
        )
        self.assert_faulty(deploy_text(packages='["libuv1-dev"'), "packages: not TOML")

    def test_a_list_of_another_kind_is_refused(self):
        self.assert_faulty(deploy_text(packages="[]"), "packages: empty")
        self.assert_faulty(deploy_text(packages='"libuv1-dev"'), "packages: empty or not a list")
        self.assert_faulty(deploy_text(packages="[1]"), "packages: 1 is no package's name")

    def test_a_name_that_apt_would_take_for_something_else_is_refused(self):
        for name in ("-oDebug::NoLocking=1", "libuv1 dev", "libuv1-dev=1.0", "Git", "g", "", "?essential"):
            with self.subTest(name=name):
                self.assert_faulty(deploy_text(packages=f'["{name}"]'), "packages:", "no package's name")

    def test_a_package_listed_twice_is_refused(self):
        self.assert_faulty(deploy_text(packages='["git", "git"]'), "packages: git is listed twice")

    def test_a_command_must_say_something(self):
        self.assert_faulty(deploy_text(build='" "'), "build: empty")
        self.assert_faulty(deploy_text(sim="3"), "sim: empty or not a string")

    def test_a_file_that_cannot_be_read_is_named(self):
        absent = self.folder / "absent.toml"
        self.assert_refused(lambda: read_deploy_file(absent), str(absent), "packages", "No such file")
        binary = self.folder / "binary.toml"
        binary.write_bytes(b"packages = ['\xff']\n")
        self.assert_refused(lambda: read_deploy_file(binary), str(binary), "packages", "not UTF-8")


class SetupListsTest(FolderTest):
    def write(self, deploy: str, setup: str) -> None:
        for name, text in ((DEPLOY_FILE, deploy), (SETUP_FILE, setup)):
            (self.folder / name).parent.mkdir(exist_ok=True)
            (self.folder / name).write_text(text, encoding="utf-8")

    def test_the_setup_has_all_lists(self):
        self.write(deploy_text(), SETUP_TEXT)
        self.assertEqual(all_packages(self.folder), ("libuv1-dev", "zlib1g-dev", "g++", "clang"))

    def test_a_package_named_in_two_lists_is_refused(self):
        # Guards against the two lists growing apart again.
        self.write(deploy_text(), 'tool_chain = ["g++"]\nfurther = ["zlib1g-dev"]\n')
        self.assert_refused(lambda: all_packages(self.folder), str(SETUP_FILE), "further: zlib1g-dev")
        self.write(deploy_text(), 'tool_chain = ["g++"]\nfurther = ["g++"]\n')
        self.assert_refused(lambda: all_packages(self.folder), str(SETUP_FILE), "further: g++")

    def test_a_missing_list_is_named(self):
        self.write(deploy_text(), 'tool_chain = ["g++"]\n')
        self.assert_refused(lambda: read_setup_lists(self.folder / SETUP_FILE), "further: missing")

    def test_the_projects_own_lists_are_whole(self):
        packages = all_packages(REPOSITORY)
        for package in ("libmsgpack-cxx-dev", "pkgconf", "make", "doctest-dev"):
            self.assertIn(package, packages)
