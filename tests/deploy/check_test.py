"""The check of the deploy build on a small project, whole and with one fault each."""

from tests.deploy.helpers import CMAKE_LISTS, MAIN, BuildTest, SampleProject, deploy_text

from deploy_build.check import DeployBuildCheck
from deploy_build.package_lists import DEPLOY_FILE, SetupLists

SETUP = SetupLists(tool_chain=("g++", "cmake", "make"), further=("libinih-dev",))


class SampleTest(BuildTest):
    def setUp(self):
        super().setUp()
        self.project = SampleProject(self.folder / "project")

    def check_commit(self) -> None:
        workspace = self.folder / "workspace"
        workspace.mkdir()
        check = DeployBuildCheck(self.project.root, "HEAD", self.registry, SETUP, self.store, workspace)
        check.check(check.deploy_file())

    def check(self) -> None:
        self.project.commit()
        self.check_commit()

    def write_deploy_file(self, **replaced: str | None) -> None:
        self.project.write(str(DEPLOY_FILE), deploy_text(**replaced))

    def assert_fails(self, *parts: str) -> None:
        self.assert_refused(self.check, *parts)

    def test_a_whole_project_passes(self):
        self.check()

    def test_what_is_not_committed_does_not_count(self):
        # Guards against a build of the working tree, which has more than the operators get.
        self.project.commit()
        self.project.write("main.cpp", "no program\n")
        self.check_commit()

    def test_a_package_that_only_this_machine_has_is_named(self):
        # Guards against what made the check necessary: the machine has the package, the list doesn't.
        self.project.write("main.cpp", "#include <nlohmann/json.hpp>\n" + MAIN)
        self.assert_fails("sought nlohmann/json.hpp", "nlohmann-json3-dev", "packages")

    def test_a_library_that_only_this_machine_has_is_named(self):
        self.project.write("CMakeLists.txt", CMAKE_LISTS.replace("NAMES z ", "NAMES sqlite3 "))
        self.assert_fails("sought libsqlite3.so", "libsqlite3-dev", "packages")

    def test_a_tool_that_only_this_machine_has_is_named(self):
        self.write_deploy_file(build='"pkg-config --exists libuv && cmake -B build && cmake --build build"')
        self.assert_fails("sought pkg-config", "pkgconf", "packages")

    def test_a_header_brought_by_a_dependency_alone_has_to_be_listed(self):
        # libspdlog-dev depends on libfmt-dev: the build succeeds until spdlog takes another formatter.
        self.project.write("main.cpp", "#include <fmt/core.h>\n#include <spdlog/common.h>\n" + MAIN)
        self.write_deploy_file(packages='["libuv1-dev", "zlib1g-dev", "libspdlog-dev"]')
        self.assert_fails("main.cpp includes fmt/core.h", "libfmt-dev", "belongs into `packages`")

    def test_a_listed_package_that_nothing_needs_is_reported(self):
        self.write_deploy_file(packages='["libuv1-dev", "zlib1g-dev", "libxxhash-dev"]')
        self.assert_fails("packages: libxxhash-dev is listed", "reads nothing of it")

    def test_a_file_from_outside_is_told(self):
        # Guards against a way around the system root: a path that the project spells out.
        outside = self.folder / "outside.hpp"
        outside.write_text("#pragma once\n", encoding="utf-8")
        self.project.write("main.cpp", f'#include "{outside}"\n' + MAIN)
        self.assert_fails(f"it read {outside}", "listed packages")

    def test_an_optional_find_must_not_change_the_program(self):
        # Guards against programs that depend on what else the machine has.
        self.project.write("main.cpp", MAIN.replace("no configuration:", 'no configuration" INI_WORD ":'))
        optional = 'find_library(ini NAMES inih)\nif(ini)\n  add_compile_definitions(INI_WORD="!")\n'
        optional += 'else()\n  add_compile_definitions(INI_WORD="")\nendif()\n'
        self.project.write("CMakeLists.txt", CMAKE_LISTS.replace("add_exec", optional + "add_exec"))
        self.assert_fails("build/sample differs", "libinih-dev")

    def test_a_build_that_leaves_nothing_behind_is_noticed(self):
        self.write_deploy_file(build='"true"')
        self.assert_fails("run: build/sample is not there", "expected `build` to make it")

    def test_a_program_that_does_not_answer_is_noticed(self):
        self.project.write("main.cpp", MAIN.replace("return 2", "return 0"))
        self.assert_fails("run: without its environment", "status 0", "LB_CONFIG")

    def test_a_program_that_says_more_than_its_line_is_noticed(self):
        self.project.write("main.cpp", MAIN.replace("set LB_CONFIG", "set LB_CONFIG\\nand more"))
        self.assert_fails("run: without its environment", "one line")

    def write_with_own_library(self) -> None:
        own = "add_library(own SHARED own.cpp)\ntarget_link_libraries(sample PRIVATE own)\n"
        self.project.write("own.cpp", "int own() { return 1; }\n")
        self.project.write(
            "main.cpp", MAIN.replace("int main", "int own();\nint main").replace("> 5", "> 5 * own()")
        )
        self.project.write("CMakeLists.txt", CMAKE_LISTS + own)

    def test_a_shared_library_from_outside_is_told(self):
        # Guards against a program that starts here, where the library is, and not at the operators'.
        self.write_with_own_library()
        self.assert_fails("sample: its shared library libown.so comes from", "expected a listed package's")

    def test_a_shared_library_that_is_nowhere_is_told(self):
        self.write_with_own_library()
        self.write_deploy_file(build='"cmake -B build && cmake --build build && rm build/libown.so"')
        self.assert_fails("sample: its shared library libown.so is in none of the listed packages")

    def test_a_simulator_program_that_does_not_answer_is_noticed(self):
        self.project.write("main.cpp", MAIN.replace("batch < 2", "batch < 1"))
        self.assert_fails("sim: to two batches", "expected two frames")

    def test_a_program_that_is_not_made_is_noticed(self):
        self.write_deploy_file(sim='"exec build/other --sim"')
        self.assert_fails("sim: build/other is not there")

    def test_a_build_that_fails_by_itself_is_told(self):
        self.project.write("main.cpp", MAIN.replace("return 2;", "return two;"))
        self.assert_fails("build:", "error: ‘two’ was not declared")
