#include <doctest/doctest.h>

#include "helpers.hpp"
#include "http_gateway/trace.hpp"
#include "http_gateway/trace_line.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

TEST_CASE("a trace tells where what was counted and what was open differ, and what it can't read") {
    TraceSummary trace;
    for (auto line : {"[1] info trace attempt request=1 attempt=0 node=2 conn=3 how=0 at=5 "
                      "connected=100 written=120 first=900 over=950",
                      "trace attempt request=2 attempt=0 node=2 conn=3 how=5 at=5 connected=- "
                      "written=- first=- over=70",
                      "trace told request=1 attempt=0 late=40", "trace late us=2500",
                      "trace node id=2 counted=3 open=1", "trace node id=2 counted=1 open=1",
                      "serves address=x", "trace attempt how=x", "trace node counted=-"})
        trace.add_line(line);
    auto report = trace.report();
    for (auto part :
         {"answered: 1, us 950 in", "begun to be answered: 1; first byte to end: 1, us 50",
          "reset: 1, us 70", "new connections: 1, us 100", "looks at a node: 2",
          "less open connections 2: 1", "could not be read: 2"}) {
        CAPTURE(part);
        CHECK(contains(report, part));
    }
}

// `knotvane trace` and operators read these names and this form.
TEST_CASE("a line of the trace has its event's name, then names and values") {
    CHECK(TraceLine("attempt")
              .field("request", std::uint64_t{7})
              .field("how", 0)
              .microseconds("at", 1'234'567)
              .microseconds("first", std::nullopt)
              .microseconds("over", std::optional<Time>(2 * ms))
              .field("fault", "-")
              .text() == "attempt request=7 how=0 at=1234 first=- over=2000 fault=-");
}
