"""What a failed build's output says of the file that it sought. The samples are as the tools print them."""

import unittest

from tests.deploy import helpers  # noqa: F401

from deploy_build.diagnosis import SoughtFile, first_error, installed_owners, sought_file

HEADER = """\
[  2%] Building CXX object CMakeFiles/a.dir/a.cpp.o
/s/a.cpp:10:10: fatal error: isa-l/crc.h: No such file or directory
   10 | #include <isa-l/crc.h>
compilation terminated.
"""
MODULE = """\
-- Checking for modules 'libuv;libxxhash'
--   Package 'libuv', required by 'virtual:world', not found
--   Package 'libxxhash', required by 'virtual:world', not found
CMake Error at /r/usr/share/cmake-3.25/Modules/FindPkgConfig.cmake:607 (message):
  A required package was not found
Call Stack (most recent call first):
"""
# Configuring goes on without these.
OPTIONAL = """\
-- Checking for module 'libnbd'
--   Package 'libnbd', required by 'virtual:world', not found
-- Could NOT find benchmark (missing: benchmark_DIR)
CMake Warning at CMakeLists.txt:3 (find_package):
  By not providing "Finddoctest.cmake" in CMAKE_MODULE_PATH this project has
  asked CMake to find a package configuration file provided by "doctest", but
  CMake did not find one.
"""
CMAKE_PACKAGE = """\
CMake Error at cmake/program.cmake:8 (find_package):
  By not providing "Findspdlog.cmake" in CMAKE_MODULE_PATH this project has
  asked CMake to find a package configuration file provided by "spdlog", but
  CMake did not find one.
"""
PKG_CONFIG = """\
CMake Error at /r/usr/share/cmake-3.25/Modules/FindPackageHandleStandardArgs.cmake:230 (message):
  Could NOT find PkgConfig (missing: PKG_CONFIG_EXECUTABLE)
"""
LIBRARY = """\
CMake Error at cmake/program.cmake:70 (find_library):
  Could not find http_parser_lib using the following names:
  libhttp_parser.a, http_parser
"""


class SoughtFileTest(unittest.TestCase):
    def assert_sought(self, output: str, name: str | None) -> None:
        sought = sought_file(output)
        self.assertEqual(sought.name if sought else None, name)

    def test_each_tools_complaint_is_understood(self):
        self.assert_sought(HEADER, "isa-l/crc.h")
        self.assert_sought(MODULE, "libuv.pc")
        self.assert_sought(CMAKE_PACKAGE, "spdlogConfig.cmake")
        self.assert_sought(PKG_CONFIG, "pkg-config")
        self.assert_sought(LIBRARY, "libhttp_parser.a")
        self.assert_sought("/r/usr/bin/ld: cannot find -luv: No such file or directory\n", "libuv.so")
        self.assert_sought("/bin/sh: 1: protoc: not found\n", "protoc")

    def test_the_first_complaint_counts(self):
        self.assert_sought(MODULE + HEADER, "libuv.pc")
        self.assert_sought(HEADER + MODULE, "isa-l/crc.h")

    def test_what_configuring_can_do_without_is_passed_over(self):
        # Guards against a wrong name: the build fails at something else.
        self.assert_sought(OPTIONAL, None)
        self.assert_sought(OPTIONAL + MODULE, "libuv.pc")
        self.assert_sought(OPTIONAL + CMAKE_PACKAGE, "spdlogConfig.cmake")
        self.assert_sought(OPTIONAL + PKG_CONFIG, "pkg-config")

    def test_other_errors_name_no_file(self):
        output = "compiling\n/s/a.cpp:3:1: error: expected ';'\nmake: *** [a] Error 1\n"
        self.assert_sought(output, None)
        self.assertEqual(first_error(output), "/s/a.cpp:3:1: error: expected ';'")
        self.assertEqual(first_error("only this\n"), "only this")
        self.assertEqual(first_error(""), "it printed nothing")

    def test_the_package_of_an_installed_file_is_told(self):
        self.assertEqual(
            installed_owners(SoughtFile("msgpack.hpp", ("/usr/include/msgpack.hpp",))), ["libmsgpack-cxx-dev"]
        )
        self.assertEqual(installed_owners(sought_file(PKG_CONFIG)), ["pkgconf"])
        self.assertEqual(installed_owners(SoughtFile("no-such-file.h", ("/usr/include/no-such-file.h",))), [])
