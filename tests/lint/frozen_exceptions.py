"""The packages that scripts/lint-exceptions.txt named when the lint came: a name that isn't here can't join it."""

FROZEN = """
src/cli
src/common
src/control
src/day
src/edge
src/fleet
src/http
src/http_gateway
src/load
src/loop
src/nbd
src/node
src/node_protocol
src/planner
src/relay
src/rules
src/scheduler_setup
src/scheduling
src/settings
src/sim
src/simulator_adapter
src/store
tests/edge
tests/fuzz
tests/gateway
tests/http_gateway
tests/nbd
tests/node
tests/planner
tests/rules
tests/scheduling
tests/simulator_adapter
tests/store
""".split()
