// What the responses of nodes can take of the gateway's memory.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

// On a host with 1 MB incomplete responses may use 125 kB of memory, and 256 descriptors leave 80
// of them for nodes: an even share is 1,562 bytes.
constexpr HostLimits small_host{256, 1'000'000};
constexpr int node_count = 60;

/// A gateway on a small host with node_count nodes, each the only one that holds its shard.
struct GatewayOfManyNodes : TestGateway {
    GatewayOfManyNodes() : TestGateway("", settings_text(), small_host) {
        std::string entries;
        for (int shard = 0; shard < node_count; ++shard)
            entries += (shard > 0 ? "," : "") +
                       endpoint_json("t" + std::to_string(shard), address(shard), shard);
        send_endpoint_list(endpoint_list_json(42, entries));
    }

    static std::string address(int shard) { return "m" + std::to_string(shard); }

    /// Connects a client that sends a read of the shard. Returns the client's connection.
    ConnectionId read(int shard) {
        std::string request = read_request("r" + std::to_string(shard));
        request.replace(request.find("shard=5"), 7, "shard=" + std::to_string(shard));
        return connect_client(request);
    }

    /// Has a client read the shard and connects to its node. Returns the connection to the node.
    ConnectionId read_and_connect(int shard) {
        read(shard);
        auto node = transport.connection_to(address(shard));
        REQUIRE(node.value != 0);
        core.connected(now, node);
        settle();
        return node;
    }

    void receive_head(ConnectionId node) {
        core.received(now, node, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    void receive_piece(ConnectionId node, std::size_t size) {
        core.received(now, node, http_chunk(std::string(size, 'b')));
    }
    bool ended(ConnectionId node) const { return transport.closed.contains(node); }
};

} // namespace

TEST_SUITE("responses that never end") {
    // Guards against a scheduler that is ended for its memory (review case 10, issue 55): each
    // response had a limit, all of them together had none.
    TEST_CASE("however many there are, their memory stays within its limit") {
        GatewayOfManyNodes gateway;
        constexpr std::size_t limit = small_host.max_memory / 8;
        std::size_t most = 0;
        for (int shard = 0; shard < node_count; ++shard) {
            auto node = gateway.read_and_connect(shard);
            gateway.receive_head(node);
            for (int piece = 0; piece < 30; ++piece) {
                gateway.receive_piece(node, 1000);
                most = std::max(most, gateway.core.pool().response_memory_bytes());
            }
            gateway.settle(ms);
        }
        CHECK(most <= limit);
        CHECK(most > limit / 2);
        CHECK(gateway.core.pool().responses_ended_for_memory() > node_count / 2);
        CHECK(gateway.core.pool().response_memory_bytes() > 0);
        // All are over once their requests are.
        gateway.settle(2 * sec);
        CHECK(gateway.core.request_count() == 0);
        CHECK(gateway.core.pool().response_memory_bytes() == 0);
    }
    TEST_CASE("the one that has held most for longest gives way, and its request gets an answer") {
        GatewayOfManyNodes gateway;
        auto endless_client = gateway.read(0);
        auto endless = gateway.transport.connection_to(GatewayOfManyNodes::address(0));
        gateway.core.connected(gateway.now, endless);
        gateway.settle();
        auto brief = gateway.read_and_connect(1);
        gateway.receive_head(endless);
        gateway.receive_piece(endless, 30'000);
        // It goes on byte by byte, as fast as any other.
        for (int i = 0; i < 10; ++i) {
            gateway.settle(20 * ms);
            gateway.receive_piece(endless, 1);
        }
        gateway.receive_head(brief);
        gateway.receive_piece(brief, 40'000);
        CHECK(!gateway.ended(endless));
        gateway.receive_piece(brief, 40'000);
        CHECK(gateway.ended(endless));
        CHECK(!gateway.ended(brief));
        CHECK(gateway.core.pool().responses_ended_for_memory() == 1);
        gateway.settle(2 * sec);
        CHECK(contains(gateway.transport.sent[endless_client], "HTTP/1.1 5"));
    }
    TEST_CASE("one within its even share never gives way") {
        GatewayOfManyNodes gateway;
        auto small = gateway.read_and_connect(0);
        gateway.receive_head(small);
        gateway.receive_piece(small, 500);
        gateway.settle(100 * ms);
        for (int shard = 1; shard < 4; ++shard) {
            auto large = gateway.read_and_connect(shard);
            gateway.receive_head(large);
            gateway.receive_piece(large, 90'000);
            gateway.settle();
        }
        CHECK(gateway.core.pool().responses_ended_for_memory() > 0);
        CHECK(!gateway.ended(small));
    }
    TEST_CASE("what a node's idle connection has received before is not counted any more") {
        TestGateway gateway;
        gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, std::string(100'000, 'b')));
        CHECK(gateway.core.pool().connection_count() == 1);
        CHECK(gateway.core.pool().response_memory_bytes() == 0);
    }
}

TEST_SUITE("responses that arrive at once") {
    // Guards against a scheduler that is ended for its memory when it was held up (issue 55):
    // bodies of complete responses waited together for the end of the iteration, without a limit.
    TEST_CASE("reading is paused while too many bodies wait for their clients, and then goes on") {
        GatewayOfManyNodes gateway;
        constexpr int read_count = 4;
        std::vector<ConnectionId> nodes;
        nodes.reserve(read_count);
        for (int shard = 0; shard < read_count; ++shard)
            nodes.push_back(gateway.read_and_connect(shard));
        const std::string response = http_response(200, std::string(20'000, 'b'));
        gateway.core.received(gateway.now, nodes[0], response);
        CHECK(gateway.transport.paused_reading.empty());
        gateway.core.received(gateway.now, nodes[1], response);
        CHECK(gateway.transport.paused_reading.contains(nodes[2]));
        CHECK(gateway.transport.paused_reading.contains(nodes[3]));
        gateway.settle();
        CHECK(gateway.transport.paused_reading.empty());
        CHECK(gateway.core.pool().response_memory_bytes() == 0);
        gateway.core.received(gateway.now, nodes[2], response);
        gateway.core.received(gateway.now, nodes[3], response);
        gateway.settle();
        CHECK(gateway.transport.paused_reading.empty());
        CHECK(gateway.core.request_counts().answered == read_count);
    }
}
