// Reading and writing the file of the endpoint list.
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
    TEST_CASE("a written endpoint list is read back unchanged") {
        Lines faults;
        auto got = parse_endpoint_list("f", format_endpoint_list(list()), faults);
        CHECK(faults.empty());
        CHECK(got.entries.size() == 2);
        CHECK(got.entries[1].endpoint.state == NodeState::draining);
    }
    // A file can be read while it is being written, or be truncated because the disk is full. A
    // list that lacks nodes must not be accepted: the edge would stop using them.
    TEST_CASE("a file truncated at any byte is rejected") {
        auto text = format_endpoint_list(list());
        auto complete_size = text.size() - 1; // still complete without the last line break
        for (std::size_t size = 0; size < complete_size; ++size) {
            Lines faults;
            CHECK(parse_endpoint_list("f", text.substr(0, size), faults).entries.empty());
            CHECK_MESSAGE(!faults.empty(), size);
        }
    }
    TEST_CASE("contradicting entries are reported with their line") {
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
        CHECK(with("nodes = 2", "nodes = 3") ==
              "f:3: [list] nodes = 3: the file has 2 [node ID] sections\n");
        CHECK(with("127.0.0.1:2", "127.0.0.1:1").find("f:13:") == 0);
        CHECK(with("state = draining", "state = dreaming")
                  .find("expected one of draining, gone, ready") != std::string::npos);
        CHECK(with("[node 2]", "[node 1]").find("stands twice") != std::string::npos);
        CHECK(with("shard = 1", "shrad = 1").find("needs the key 'shard'") != std::string::npos);
    }
}
