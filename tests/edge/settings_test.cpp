// Faults in an edge's settings.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "edge/settings.hpp"

using namespace knotvane;
using namespace knotvane::edge;

TEST_SUITE("an edge's settings") {
    TEST_CASE("each fault in an edge's settings is reported with its line") {
        std::string text = R"([edge]
id = 1
edges = 1
nodes = nodes.ini
color = blue
[layout]
extent = 100KiB
span = 64KiB
unit = 64KB
shards = 3
[plan p]
weight = 0
reserve = 100
[volume v]
size = 1000
plan = q
[workload w]
command = write
due = 4s
client_timeout = 3s
repeat = numbered
window = 2500ms
key_rest = 1s
)";
        settings::File file("edge.ini", text);
        check(file);
        auto faults = file.faults();
        auto has = [&](const std::string &what) {
            bool found = std::any_of(faults.begin(), faults.end(),
                                     [&](auto &x) { return x.find(what) != std::string::npos; });
            CHECK_MESSAGE(found, what);
        };
        has("edge.ini:2: [edge] id = 1: expected below edges");
        has("edge.ini:5: key 'color' is not known in [edge]");
        has("edge.ini:7: [layout] extent = 100KiB: expected a multiple of span");
        has("edge.ini:9: [layout] unit = 64KB: expected a size like");
        has("edge.ini:12: [plan p] weight = 0: a plan with a reserve can't weigh nothing");
        has("edge.ini:15: [volume v] size = 1000: expected a multiple of align");
        has("edge.ini:16: [volume v] plan = q: no section [plan q]");
        has("edge.ini:19: [workload w] due = 4s: expected above 0 and at most client_timeout");
        has("edge.ini:23: [workload w] key_rest = 1s: expected at least the time that an attempt "
            "may "
            "still run");
        has("no [workload NAME] applies to every read request");
    }
}
