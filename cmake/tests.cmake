find_package(doctest REQUIRED)
add_executable(
  decisions_tests
  tests/main.cpp
  tests/scheduling/scheduler_test.cpp
  tests/simulator_adapter/adapter_test.cpp
  src/simulator_adapter/adapter.cpp
  src/scheduler_setup/setup.cpp)
target_include_directories(decisions_tests PRIVATE src)
target_link_libraries(decisions_tests PRIVATE doctest::doctest)
add_test(NAME decisions COMMAND decisions_tests)
add_test(NAME known_red COMMAND ${CMAKE_SOURCE_DIR}/tests/known_red_test)

# The lists of packages and the check of the deploy build itself.
find_package(Python3 3.11 REQUIRED COMPONENTS Interpreter)
add_test(
  NAME deploy_lists
  COMMAND Python3::Interpreter -B -m unittest -v tests.deploy.package_lists_test tests.deploy.setup_test
          tests.deploy.diagnosis_test tests.deploy.registry_test
  WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
# Fetches the registry's lists; the limit leaves room for a slow one.
set_tests_properties(deploy_lists PROPERTIES TIMEOUT 600)
# Some thirty builds, most of which fail early. The modules run side by side: what they share is the registry's cache,
# and they hold its lock while they use it. PROCESSORS: a build compiles with several jobs.
foreach(module check project)
  add_test(
    NAME deploy_${module}
    COMMAND Python3::Interpreter -B -m unittest -v tests.deploy.${module}_test
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(deploy_${module} PROPERTIES TIMEOUT 2400 PROCESSORS 2)
endforeach()

# The commit, built with the deploy file's packages alone; needs the package registry.
add_test(NAME deploy_build COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-deploy-build)
# Two builds, of which the deploy page gives each twenty minutes; without load both take three together.
set_tests_properties(deploy_build PROPERTIES TIMEOUT 2400 PROCESSORS 2)

# scripts/lint on a small tree, and its list of exceptions. The project's own files are checked by scripts/test.
add_test(
  NAME lint_check
  COMMAND Python3::Interpreter -B -m unittest -v tests.lint.lint_test tests.lint.exceptions_test
  WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
set_tests_properties(lint_check PROPERTIES TIMEOUT 240)

if(NOT KNOTVANE_PROGRAM)
  return()
endif()
pkg_check_modules(nbd REQUIRED IMPORTED_TARGET libnbd)

# A package's tests: one binary, named after it.
function(package_tests name)
  cmake_parse_arguments(package "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name}_tests tests/main.cpp ${package_SOURCES})
  target_link_libraries(${name}_tests PRIVATE ${package_LIBS} doctest::doctest rapidcheck)
  add_test(NAME ${name} COMMAND ${name}_tests)
  # One seed for the property tests: the same verdict every time.
  set_tests_properties(${name} PROPERTIES TIMEOUT 240 ENVIRONMENT "RC_PARAMS=seed=20261201")
endfunction()

# A fuzz target run on a fixed set of inputs.
function(fixed_fuzz name)
  cmake_parse_arguments(fuzz "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name}_fuzz_fixed ${fuzz_SOURCES})
  target_link_libraries(${name}_fuzz_fixed PRIVATE ${fuzz_LIBS})
  add_test(NAME ${name}_fuzz_fixed COMMAND ${name}_fuzz_fixed)
endfunction()

package_tests(
  nbd
  SOURCES tests/nbd/server_test.cpp
  LIBS knotvane_nbd)
package_tests(
  http
  SOURCES tests/http/decoder_test.cpp
  LIBS knotvane_http)
package_tests(
  http_gateway
  SOURCES
    tests/http_gateway/core_test.cpp
    tests/http_gateway/connection_races_test.cpp
    tests/http_gateway/discovery_test.cpp
    tests/http_gateway/loopback_test.cpp
    tests/http_gateway/server_test.cpp
  LIBS knotvane_http_gateway_server)
package_tests(
  store
  SOURCES tests/store/store_test.cpp
  LIBS knotvane_store)
package_tests(
  node
  SOURCES tests/node/node_test.cpp tests/node/snapshot_test.cpp
  LIBS knotvane_node)
package_tests(
  sim
  SOURCES tests/sim/sim_test.cpp
  LIBS knotvane_sim)
package_tests(
  planning
  SOURCES tests/sim/planning_test.cpp
  LIBS knotvane_sim_planning)
package_tests(
  cutting
  SOURCES tests/sim/cutting_test.cpp
  LIBS knotvane_sim_cutting)
package_tests(
  planner
  SOURCES
    tests/control/cluster_state_replica_test.cpp
    tests/control/messages_test.cpp
    tests/planner/core_test.cpp
    tests/planner/desired_state_test.cpp
    tests/planner/node_liveness_test.cpp
    tests/planner/quota_manager_test.cpp
    tests/planner/snapshot_coordinator_test.cpp
    tests/planner/snapshot_operations_test.cpp
    tests/planner/sqlite_state_store_test.cpp
  LIBS knotvane_planner_server PkgConfig::sqlite)
package_tests(
  gateway
  SOURCES
    tests/gateway/libnbd_test.cpp
    tests/gateway/day_test.cpp
    tests/gateway/door_test.cpp
    tests/gateway/planner_test.cpp
    tests/gateway/snapshot_test.cpp
  LIBS knotvane_day PkgConfig::nbd nlohmann_json::nlohmann_json)
# Their sockets and clocks are real: beside other tests they would wait for a processor.
set_tests_properties(gateway http_gateway PROPERTIES RUN_SERIAL ON)
# They start the planner's program.
add_dependencies(gateway_tests knotvane-planner)
package_tests(
  edge
  SOURCES
    tests/edge/core_test.cpp
    tests/edge/planner_client_test.cpp
    tests/edge/snapshot_participant_test.cpp
    tests/edge/core_snapshots_test.cpp
  LIBS knotvane_edge_settings knotvane_load)
package_tests(
  rules
  SOURCES tests/rules/rules_test.cpp tests/rules/history_test.cpp
  LIBS knotvane_figures knotvane_load)

fixed_fuzz(
  nbd
  SOURCES tests/fuzz/nbd_fuzz.cpp tests/fuzz/run_fixed.cpp
  LIBS knotvane_nbd)
fixed_fuzz(
  plan
  SOURCES tests/fuzz/plan_fuzz.cpp tests/fuzz/run_plan_fixed.cpp
  LIBS knotvane_planner knotvane_edge)
fixed_fuzz(
  http
  SOURCES tests/fuzz/http_fuzz.cpp tests/fuzz/run_http_fixed.cpp
  LIBS knotvane_http_gateway)
