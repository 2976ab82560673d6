"""The check of the deploy build on the project itself, with lists that lack a package or name an unknown one."""

import dataclasses

from tests.deploy.helpers import REPOSITORY, BuildTest

from deploy_build.check import DeployBuildCheck
from deploy_build.package_lists import SETUP_FILE, read_setup_lists

# The list as it stood when a new machine could not build: no msgpack.
LIST_BEFORE_THE_MEND = (
    "pkg-config",
    "libuv1-dev",
    "libhttp-parser-dev",
    "libcli11-dev",
    "libspdlog-dev",
    "libinih-dev",
    "libsqlite3-dev",
    "nlohmann-json3-dev",
    "libxxhash-dev",
    "libisal-dev",
    "libconcurrentqueue-dev",
)


class ProjectTest(BuildTest):
    def setUp(self):
        super().setUp()
        setup = read_setup_lists(REPOSITORY / SETUP_FILE)
        self.check = DeployBuildCheck(REPOSITORY, "HEAD", self.registry, setup, self.store, self.folder)
        self.deploy = self.check.deploy_file()

    def assert_fails_with(self, packages: tuple[str, ...], *parts: str) -> None:
        deploy = dataclasses.replace(self.deploy, packages=packages)
        self.assert_refused(lambda: self.check.check(deploy), f"{deploy.name}: packages:", *parts)

    def test_each_package_taken_out_is_named(self):
        # Shows that the check can fail at each package. Configuring ends it for most; the headers of msgpack and
        # of the queues are sought by the compiler alone. A package that another one brings would be built with all
        # the same, and be named because the sources include its headers.
        for package in self.deploy.packages:
            with self.subTest(package=package):
                others = tuple(other for other in self.deploy.packages if other != package)
                self.assert_fails_with(others, f"which {package} has", "belongs into `packages`")

    def test_the_list_before_the_mend_fails_at_msgpack(self):
        self.assert_fails_with(LIST_BEFORE_THE_MEND, "sought msgpack.hpp", "libmsgpack-cxx-dev")

    def test_an_unknown_package_is_named(self):
        self.assert_fails_with(
            (*self.deploy.packages, "no-such-package-dev"), "no package no-such-package-dev"
        )
