#include <doctest/doctest.h>

#include "helpers.hpp"
#include "http_gateway/trace.hpp"
#include "http_gateway/trace_line.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

TEST_CASE(
    "the report shows where the scheduler's counts differ from the open connections, and how many "
    "lines could not be parsed") {
    TraceSummary summary;
    for (auto line : {"[1] info trace attempt request=1 attempt=0 node=2 conn=3 how=0 at=5 "
                      "connected=100 written=120 first=900 over=950",
                      "trace attempt request=2 attempt=0 node=2 conn=3 how=5 at=5 connected=- "
                      "written=- first=- over=70",
                      "trace told request=1 attempt=0 late=40", "trace late us=2500",
                      "trace node id=2 counted=3 open=1", "trace node id=2 counted=1 open=1",
                      "serves address=x", "trace attempt how=x", "trace node counted=-"})
        summary.add_line(line);
    auto report = summary.report();
    for (auto part :
         {"answered: 1, median 950 us", "responses started: 1; first byte to end: 1, median 50 us",
          "reset: 1, median 70 us", "time to open a connection: 1, median 100 us",
          "samples of a node's counts: 2", "minus busy connections = 2: 1",
          "could not be parsed: 2"}) {
        CAPTURE(part);
        CHECK(contains(report, part));
    }
}

// `knotvane trace` and operators' tools depend on these names and this format.
TEST_CASE("a line of the trace is the event's name followed by name=value for each field") {
    CHECK(TraceLine("attempt")
              .field("request", std::uint64_t{7})
              .field("how", 0)
              .microseconds("at", 1'234'567)
              .microseconds("first", std::nullopt)
              .microseconds("over", std::optional<Time>(2 * ms))
              .field("fault", "-")
              .text() == "attempt request=7 how=0 at=1234 first=- over=2000 fault=-");
}
