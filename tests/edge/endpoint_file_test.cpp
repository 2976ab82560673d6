// The endpoint list as a file: whole or not at all.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "edge/endpoint_file.hpp"

using namespace knotvane;
using namespace knotvane::edge;
using Lines = std::vector<std::string>;

TEST_SUITE("endpoint list file") {
    EndpointList list() {
        EndpointList l;
        l.version = 7;
        l.entries = {{{NodeId{1}, ShardId{0}, ZoneId{0}, NodeState::ready, 5}, "127.0.0.1:1"},
                     {{NodeId{2}, ShardId{1}, ZoneId{0}, NodeState::draining, 6}, "127.0.0.1:2"}};
        return l;
    }
    TEST_CASE("a node list is read as it was written") {
        Lines faults;
        auto got = parse_endpoint_list("f", format_endpoint_list(list()), faults);
        CHECK(faults.empty());
        CHECK(got.entries.size() == 2);
        CHECK(got.entries[1].endpoint.state == NodeState::draining);
    }
    TEST_CASE("a list cut short anywhere is none") {
        auto text = format_endpoint_list(list());
        auto whole = text.size() - 1; // without the last line's end it still says all
        for (std::size_t n = 0; n < whole; ++n) {
            Lines faults;
            CHECK(parse_endpoint_list("f", text.substr(0, n), faults).entries.empty());
            CHECK_MESSAGE(!faults.empty(), n);
        }
    }
    TEST_CASE("contradictions are told with their line") {
        auto text = format_endpoint_list(list());
        auto with = [&](const std::string &from, const std::string &to) {
            auto t = text;
            t.replace(t.find(from), from.size(), to);
            Lines faults;
            parse_endpoint_list("f", t, faults);
            std::string all;
            for (auto &f : faults)
                all += f + "\n";
            return all;
        };
        CHECK(with("nodes = 2", "nodes = 3") == "f:3: [list] nodes = 3: the file lists 2 nodes\n");
        CHECK(with("127.0.0.1:2", "127.0.0.1:1").find("f:13:") == 0);
        CHECK(with("state = draining", "state = dreaming")
                  .find("expected one of draining, gone, ready") != std::string::npos);
        CHECK(with("[node 2]", "[node 1]").find("stands twice") != std::string::npos);
        CHECK(with("shard = 1", "shrad = 1").find("needs the key 'shard'") != std::string::npos);
    }
}
