# The program: a library a package; arrows run one way, from the shells to the cores.
find_package(PkgConfig REQUIRED)
pkg_check_modules(uv REQUIRED IMPORTED_TARGET libuv)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(isal REQUIRED IMPORTED_TARGET libisal)
pkg_check_modules(inih REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(sqlite REQUIRED IMPORTED_TARGET sqlite3)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(CLI11 REQUIRED)
find_package(Threads REQUIRED)

add_library(knotvane_nbd src/nbd/negotiation.cpp src/nbd/session.cpp)
target_include_directories(knotvane_nbd PUBLIC src)
add_library(knotvane_node_protocol src/node_protocol/frame.cpp)
target_link_libraries(knotvane_node_protocol PUBLIC knotvane_scheduling PkgConfig::isal)
add_library(
  knotvane_control
  src/control/cluster_state.cpp
  src/control/cluster_state_replica.cpp
  src/control/encode.cpp
  src/control/decode.cpp)
target_link_libraries(knotvane_control PUBLIC knotvane_node_protocol)
add_library(
  knotvane_planner
  src/planner/core.cpp
  src/planner/desired_state_change.cpp
  src/planner/diff_queries.cpp
  src/planner/leadership.cpp
  src/planner/lease_table.cpp
  src/planner/node_liveness.cpp
  src/planner/node_manager.cpp
  src/planner/quota_allocation.cpp
  src/planner/quota_manager.cpp
  src/planner/receiver.cpp
  src/planner/snapshot_coordinator.cpp
  src/planner/snapshot_operations.cpp
  src/planner/state_rows.cpp
  src/planner/status_report.cpp
  src/planner/update_sender.cpp
  src/planner/versioned_state.cpp)
target_link_libraries(knotvane_planner PUBLIC knotvane_control PRIVATE nlohmann_json::nlohmann_json)
add_library(
  knotvane_store
  src/store/block_allocator.cpp
  src/store/checkpoint.cpp
  src/store/deduplication_marks.cpp
  src/store/extent_map.cpp
  src/store/format.cpp
  src/store/journal.cpp
  src/store/medium.cpp
  src/store/store.cpp
  src/store/store_check.cpp
  src/store/store_recovery.cpp
  src/store/store_snapshots.cpp)
target_link_libraries(knotvane_store PUBLIC knotvane_node_protocol)
add_library(
  knotvane_node
  src/node/fault_injection.cpp
  src/node/pause_schedule.cpp
  src/node/planner_registration.cpp
  src/node/request_execution.cpp
  src/node/slow_start.cpp
  src/node/storage_node.cpp)
target_link_libraries(knotvane_node PUBLIC knotvane_control knotvane_store)
add_library(knotvane_settings src/settings/ini.cpp src/settings/fleet_sections.cpp)
target_include_directories(knotvane_settings PUBLIC src)
target_link_libraries(knotvane_settings PRIVATE PkgConfig::inih PkgConfig::xxhash)
add_library(
  knotvane_edge
  src/edge/attempt_tracker.cpp
  src/edge/client_session.cpp
  src/edge/core.cpp
  src/edge/layout.cpp
  src/edge/node_connections.cpp
  src/edge/open_volumes.cpp
  src/edge/node_reachability.cpp
  src/edge/planner_client.cpp
  src/edge/request_splitter.cpp
  src/edge/request_table.cpp
  src/edge/snapshot_participant.cpp)
target_link_libraries(knotvane_edge PUBLIC knotvane_control knotvane_nbd PRIVATE PkgConfig::xxhash)
add_library(knotvane_load src/load/session.cpp)
target_link_libraries(knotvane_load PUBLIC knotvane_nbd)
add_library(knotvane_rules src/rules/rule_checker.cpp src/rules/history.cpp)
target_link_libraries(knotvane_rules PUBLIC knotvane_node_protocol knotvane_nbd PRIVATE PkgConfig::xxhash)
add_library(knotvane_sim src/sim/gateway_simulation.cpp)
target_link_libraries(knotvane_sim PUBLIC knotvane_edge knotvane_node knotvane_load knotvane_rules)
add_library(knotvane_sim_planning src/sim/planner_simulation.cpp)
target_link_libraries(knotvane_sim_planning PUBLIC knotvane_planner knotvane_edge knotvane_node)
add_library(knotvane_sim_cutting src/sim/snapshot_simulation.cpp)
target_link_libraries(
  knotvane_sim_cutting
  PUBLIC knotvane_planner knotvane_edge knotvane_node knotvane_load knotvane_rules)
add_library(knotvane_log src/log/log.cpp)
target_include_directories(knotvane_log PUBLIC src)
target_link_libraries(knotvane_log PRIVATE spdlog::spdlog nlohmann_json::nlohmann_json)
add_library(
  knotvane_loop
  src/loop/address.cpp
  src/loop/file_watcher.cpp
  src/loop/listener.cpp
  src/loop/loop.cpp
  src/loop/outgoing_connection.cpp
  src/loop/socket.cpp)
target_include_directories(knotvane_loop PUBLIC src)
target_link_libraries(knotvane_loop PUBLIC PkgConfig::uv Threads::Threads)
add_library(knotvane_edge_settings src/edge/settings.cpp src/edge/endpoint_file.cpp src/edge/plan_cache_file.cpp)
target_link_libraries(knotvane_edge_settings PUBLIC knotvane_edge knotvane_settings PRIVATE PkgConfig::xxhash)
add_library(knotvane_servers src/edge/server.cpp src/node/server.cpp src/node/settings.cpp)
target_link_libraries(
  knotvane_servers
  PUBLIC knotvane_edge_settings knotvane_node knotvane_loop
  PRIVATE knotvane_log)
add_library(knotvane_planner_store src/planner/sqlite_state_store.cpp)
target_link_libraries(
  knotvane_planner_store
  PUBLIC knotvane_planner
  PRIVATE PkgConfig::sqlite PkgConfig::xxhash)
add_library(knotvane_planner_server src/planner/desired_state_files.cpp src/planner/server.cpp src/planner/admin_client.cpp)
target_link_libraries(
  knotvane_planner_server
  PUBLIC knotvane_planner_store knotvane_settings knotvane_loop
  PRIVATE knotvane_log)
add_library(knotvane_fleet src/fleet/fleet.cpp)
target_link_libraries(knotvane_fleet PUBLIC knotvane_servers knotvane_planner_server)
add_library(knotvane_driver src/load/driver.cpp)
target_link_libraries(knotvane_driver PUBLIC knotvane_load knotvane_loop)
add_library(knotvane_record src/record/recording.cpp)
target_link_libraries(knotvane_record PUBLIC knotvane_node_protocol)
add_library(knotvane_figures src/rules/figures.cpp)
target_link_libraries(
  knotvane_figures
  PUBLIC knotvane_rules knotvane_record knotvane_settings
  PRIVATE PkgConfig::xxhash nlohmann_json::nlohmann_json)
add_library(knotvane_day src/day/day.cpp src/day/outage.cpp src/day/passthrough.cpp src/relay/relay.cpp)
target_link_libraries(
  knotvane_day
  PUBLIC knotvane_fleet knotvane_driver knotvane_figures
  PRIVATE knotvane_log)
# The parser has no module of its own to be found by; its archive where there is one.
find_library(http_parser_lib NAMES libhttp_parser.a http_parser REQUIRED)
add_library(knotvane_http src/http/decoder.cpp)
target_include_directories(knotvane_http PUBLIC src)
target_link_libraries(knotvane_http PRIVATE ${http_parser_lib})
add_library(
  knotvane_http_gateway
  src/http_gateway/client_connections.cpp
  src/http_gateway/client_response.cpp
  src/http_gateway/config.cpp
  src/http_gateway/core.cpp
  src/http_gateway/endpoint_list.cpp
  src/http_gateway/graceful_shutdown.cpp
  src/http_gateway/outbound_request.cpp
  src/http_gateway/pipelined_input.cpp
  src/http_gateway/request_parser.cpp
  src/http_gateway/discovery.cpp
  src/http_gateway/connection_pool.cpp
  src/http_gateway/trace.cpp
  src/http_gateway/trace_id_history.cpp)
target_link_libraries(
  knotvane_http_gateway
  PUBLIC knotvane_scheduler_setup knotvane_http
  PRIVATE nlohmann_json::nlohmann_json)
add_library(knotvane_http_gateway_server src/http_gateway/server.cpp)
target_link_libraries(
  knotvane_http_gateway_server
  PUBLIC knotvane_http_gateway knotvane_loop knotvane_settings
  PRIVATE knotvane_log)
add_executable(
  knotvane
  src/cli/main.cpp
  src/cli/local.cpp
  src/cli/load.cpp
  src/cli/days.cpp
  src/cli/planner.cpp
  src/cli/snapshots.cpp
  src/cli/store.cpp
  src/cli/trace.cpp)
target_link_libraries(
  knotvane
  PRIVATE knotvane_http_gateway knotvane_day knotvane_log CLI11::CLI11 nlohmann_json::nlohmann_json)
add_executable(knotvane-edge src/cli/edge_main.cpp src/cli/platform.cpp)
target_link_libraries(
  knotvane-edge
  PRIVATE knotvane_servers knotvane_http_gateway_server knotvane_log CLI11::CLI11)
add_executable(knotvane-planner src/cli/planner_main.cpp)
target_link_libraries(knotvane-planner PRIVATE knotvane_planner_server knotvane_log CLI11::CLI11)
# It starts a planner beside itself.
add_dependencies(knotvane knotvane-planner)
add_executable(knotvane-node src/cli/node_main.cpp)
target_link_libraries(knotvane-node PRIVATE knotvane_servers knotvane_log CLI11::CLI11)

# Measurements; not part of the tests.
find_package(benchmark QUIET)
if(benchmark_FOUND AND NOT KNOTVANE_TESTS)
  add_executable(module_bench bench/module_bench.cpp)
  target_link_libraries(module_bench PRIVATE knotvane_scheduling benchmark::benchmark)
  add_executable(path_bench bench/path_bench.cpp)
  target_link_libraries(path_bench PRIVATE knotvane_fleet knotvane_driver)
  add_executable(store_bench bench/store_bench.cpp)
  target_link_libraries(store_bench PRIVATE knotvane_store)
  add_executable(cut_bench bench/cut_bench.cpp)
  target_link_libraries(cut_bench PRIVATE knotvane_fleet knotvane_driver)
  add_executable(plan_bench bench/plan_bench.cpp)
  target_link_libraries(plan_bench PRIVATE knotvane_sim_planning knotvane_edge_settings)
endif()
