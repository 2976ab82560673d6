# The program: a library a package; arrows run one way, from the shells to the cores.
find_package(PkgConfig REQUIRED)
pkg_check_modules(uv REQUIRED IMPORTED_TARGET libuv)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(isal REQUIRED IMPORTED_TARGET libisal)
pkg_check_modules(inih REQUIRED IMPORTED_TARGET inih)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(CLI11 REQUIRED)
find_package(Threads REQUIRED)

add_library(knotvane_nbd src/nbd/server.cpp)
target_include_directories(knotvane_nbd PUBLIC src)
