find_package(doctest REQUIRED)
# A package's tests: one binary, named after it.
function(package_tests name)
  cmake_parse_arguments(package "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name}_tests tests/main.cpp ${package_SOURCES})
  target_link_libraries(${name}_tests PRIVATE ${package_LIBS} doctest::doctest)
  if(KNOTVANE_PROGRAM)
    target_link_libraries(${name}_tests PRIVATE rapidcheck)
  endif()
  add_test(NAME ${name} COMMAND ${name}_tests)
  # One seed for the property tests: the same verdict every time.
  set_tests_properties(${name} PROPERTIES TIMEOUT 240 ENVIRONMENT "RC_PARAMS=seed=20261201")
endfunction()

# The decisions, their set-up and the simulator's adapter need no package but the tests' framework.
package_tests(
  scheduling
  SOURCES
    tests/scheduling/attempt_outcome_test.cpp
    tests/scheduling/budget_feedback_test.cpp
    tests/scheduling/concurrency_window_test.cpp
    tests/scheduling/early_disconnects_test.cpp
    tests/scheduling/endpoint_list_poll_test.cpp
    tests/scheduling/fair_queue_test.cpp
    tests/scheduling/key_order_test.cpp
    tests/scheduling/latency_estimate_test.cpp
    tests/scheduling/least_recently_used_test.cpp
    tests/scheduling/load_shedding_test.cpp
    tests/scheduling/node_health_test.cpp
    tests/scheduling/node_table_test.cpp
    tests/scheduling/overload_backoff_test.cpp
    tests/scheduling/placement_test.cpp
    tests/scheduling/plan_table_test.cpp
    tests/scheduling/quota_share_test.cpp
    tests/scheduling/quota_shares_test.cpp
    tests/scheduling/recent_samples_test.cpp
    tests/scheduling/repeat_detector_test.cpp
    tests/scheduling/request_table_test.cpp
    tests/scheduling/retry_budget_test.cpp
    tests/scheduling/retry_policy_test.cpp
    tests/scheduling/scheduler_core_test.cpp
    tests/scheduling/slow_start_test.cpp
    tests/scheduling/volume_retention_test.cpp
    tests/scheduling/waiting_index_test.cpp
    tests/scheduling/windowed_sum_test.cpp
  LIBS knotvane_scheduling)
package_tests(
  scheduler_setup
  SOURCES tests/scheduler_setup/input_validation_test.cpp
  LIBS knotvane_scheduler_setup)
package_tests(
  simulator_adapter
  SOURCES tests/simulator_adapter/adapter_test.cpp
  LIBS knotvane_simulator_adapter)
find_package(Python3 3.11 REQUIRED COMPONENTS Interpreter)
# Recorded runs of the decisions over the simulator's wire: the same bytes, whatever is refactored.
add_test(
  NAME recorded_run
  COMMAND ${CMAKE_COMMAND} -E env KNOTVANE_DRILL=$<TARGET_FILE:knotvane_drill> ${Python3_EXECUTABLE} -B -m unittest -v
          tests.recorded_run.recorded_run_test
  WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
set_tests_properties(recorded_run PROPERTIES TIMEOUT 120)
add_test(NAME known_red COMMAND ${CMAKE_SOURCE_DIR}/tests/known_red_test)

# The lists of packages and the check of the deploy build itself.
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

# A fuzz target run on a fixed set of inputs.
function(fixed_fuzz name)
  cmake_parse_arguments(fuzz "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name}_fuzz_fixed ${fuzz_SOURCES})
  target_link_libraries(${name}_fuzz_fixed PRIVATE ${fuzz_LIBS})
  add_test(NAME ${name}_fuzz_fixed COMMAND ${name}_fuzz_fixed)
endfunction()

package_tests(
  nbd
  SOURCES tests/nbd/negotiation_test.cpp tests/nbd/session_test.cpp
  LIBS knotvane_nbd)
package_tests(
  http
  SOURCES tests/http/decoder_test.cpp
  LIBS knotvane_http)
package_tests(
  loop
  SOURCES tests/loop/socket_test.cpp
  LIBS knotvane_loop)
package_tests(
  http_gateway
  SOURCES
    tests/http_gateway/client_limits_test.cpp
    tests/http_gateway/config_test.cpp
    tests/http_gateway/core_test.cpp
    tests/http_gateway/connection_races_test.cpp
    tests/http_gateway/discovery_test.cpp
    tests/http_gateway/endpoint_list_test.cpp
    tests/http_gateway/graceful_shutdown_test.cpp
    tests/http_gateway/json_stream_test.cpp
    tests/http_gateway/loopback_test.cpp
    tests/http_gateway/response_limits_test.cpp
    tests/http_gateway/trace_test.cpp
  LIBS knotvane_http_gateway_server)
# Counts all heap memory of its binary.
package_tests(
  memory
  SOURCES tests/memory/heap_counter.cpp tests/memory/bounded_state_test.cpp tests/memory/fleet_size_test.cpp
  LIBS knotvane_http_gateway)
package_tests(
  store
  SOURCES
    tests/store/block_allocator_test.cpp
    tests/store/format_test.cpp
    tests/store/recovery_test.cpp
    tests/store/snapshots_test.cpp
    tests/store/store_test.cpp
  LIBS knotvane_store)
package_tests(
  node
  SOURCES
    tests/node/background_schedule_test.cpp
    tests/node/deduplication_test.cpp
    tests/node/fault_injection_test.cpp
    tests/node/snapshot_test.cpp
    tests/node/storage_node_test.cpp
  LIBS knotvane_node)
package_tests(
  node_protocol
  SOURCES tests/node_protocol/frame_test.cpp
  LIBS knotvane_node_protocol)
package_tests(
  sim
  SOURCES tests/sim/gateway_simulation_test.cpp
  LIBS knotvane_sim)
package_tests(
  planning
  SOURCES tests/sim/planner_simulation_test.cpp
  LIBS knotvane_sim_planning)
package_tests(
  cutting
  SOURCES tests/sim/snapshot_simulation_test.cpp
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
    tests/gateway/admission_test.cpp
    tests/gateway/planner_test.cpp
    tests/gateway/snapshot_test.cpp
  LIBS knotvane_day PkgConfig::nbd nlohmann_json::nlohmann_json)
# Their sockets and clocks are real: beside other tests they would wait for a processor.
set_tests_properties(gateway http_gateway loop PROPERTIES RUN_SERIAL ON)
# They start the planner's program.
add_dependencies(gateway_tests knotvane-planner)
package_tests(
  edge
  SOURCES
    tests/edge/core_snapshots_test.cpp
    tests/edge/endpoint_file_test.cpp
    tests/edge/layout_test.cpp
    tests/edge/node_connections_test.cpp
    tests/edge/planner_client_test.cpp
    tests/edge/settings_test.cpp
    tests/edge/snapshot_participant_test.cpp
    tests/edge/unflushed_writes_test.cpp
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

# A scheduler process in fleets of the usual and of the largest size. Sanitizers need memory of their own, so it is built
# without them.
add_test(NAME fleet_size_build COMMAND ${CMAKE_SOURCE_DIR}/tests/fleet_size/build ${CMAKE_BINARY_DIR}/fleet-size)
set_tests_properties(fleet_size_build PROPERTIES TIMEOUT 1200 PROCESSORS 4 FIXTURES_SETUP fleet_size_program)
add_test(
  NAME fleet_size
  COMMAND ${CMAKE_COMMAND} -E env KNOTVANE_EDGE=${CMAKE_BINARY_DIR}/fleet-size/knotvane-edge ${Python3_EXECUTABLE} -B -m
          unittest -v tests.fleet_size.fleet_size_test
  WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
set_tests_properties(fleet_size PROPERTIES TIMEOUT 240 RUN_SERIAL ON FIXTURES_REQUIRED fleet_size_program)

# The same program on the smallest host, beside clients that send too much, never finish, or leave.
add_test(
  NAME hostile_clients
  COMMAND ${CMAKE_COMMAND} -E env KNOTVANE_EDGE=${CMAKE_BINARY_DIR}/fleet-size/knotvane-edge ${Python3_EXECUTABLE} -B -m
          unittest -v tests.hostile_clients.hostile_clients_test
  WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
set_tests_properties(hostile_clients PROPERTIES TIMEOUT 300 RUN_SERIAL ON FIXTURES_REQUIRED fleet_size_program)

# The same program and host, beside nodes whose responses never end, or are large and come at once.
add_test(
  NAME hostile_nodes
  COMMAND ${CMAKE_COMMAND} -E env KNOTVANE_EDGE=${CMAKE_BINARY_DIR}/fleet-size/knotvane-edge ${Python3_EXECUTABLE} -B -m
          unittest -v tests.hostile_nodes.hostile_nodes_test
  WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
set_tests_properties(hostile_nodes PROPERTIES TIMEOUT 240 RUN_SERIAL ON FIXTURES_REQUIRED fleet_size_program)
