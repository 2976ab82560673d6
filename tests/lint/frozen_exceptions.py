"""The packages that scripts/lint-exceptions.txt named when the lint came: a name that isn't here can't join it."""

FROZEN = """
src/cli
src/core
src/day
src/drill
src/edge
src/facts
src/fleet
src/frames
src/http
src/load
src/loop
src/nbd
src/node
src/planner
src/platform
src/policy.cpp
src/relay
src/rules
src/settings
src/sim
src/store
src/wire
tests/edge
tests/fuzz
tests/gateway
tests/helpers.hpp
tests/nbd
tests/node
tests/planner
tests/platform
tests/policy_test.cpp
tests/rules
tests/store
tests/wire_test.cpp
""".split()
