// The gateway's heap memory under traffic that goes on: what clients and nodes send leaves nothing
// behind and fits the smallest host.
#include <doctest/doctest.h>

#include <cstddef>
#include <string>

#include "../http_gateway/helpers.hpp"
#include "heap_counter.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

// The memory limit of the smallest host of the platform.
constexpr double smallest_host_bytes = 32e6;

// The most descriptors that the platform names, on its smallest host, and as many clients as then
// may connect.
constexpr HostLimits most_sockets{1024, smallest_host_memory};
constexpr int client_count = 650;
// A third of that host's memory: beside clients it holds the program, the endpoint list and what
// nodes respond.
constexpr double memory_for_clients = smallest_host_bytes / 3;

// Less than one small object for each hundred requests.
constexpr int requests_per_round = 5000;
constexpr std::size_t allowed_growth = 4096;

/// A gateway whose one node answers each request.
class ServedGateway {
public:
    /// Has requests answered, each from a client of its own.
    /// @param new_volumes whether each request is of a volume that had none before.
    /// @return by how many bytes the heap has grown.
    std::size_t serve_round(bool new_volumes) {
        const std::size_t before = heap_bytes();
        for (int i = 0; i < requests_per_round; ++i)
            serve(new_volumes ? ++volume_ : 0);
        return heap_bytes() - std::min(before, heap_bytes());
    }

private:
    void serve(int volume) {
        char hexadecimal[17];
        std::snprintf(hexadecimal, sizeof hexadecimal, "%016x", static_cast<unsigned>(volume));
        std::string request = read_request("t" + std::to_string(++requests_));
        request.replace(request.find("00000003b4d60021"), 16, hexadecimal);
        auto client = gateway_.connect_client(request);
        auto node = gateway_.connect_node();
        gateway_.receive_from_node(node, http_response(200, "x"));
        REQUIRE(contains(gateway_.transport.sent[client], "200 OK"));
        gateway_.disconnect(client);
        gateway_.disconnect(node);
        gateway_.send_heartbeat();
        gateway_.settle(10 * ms);
        // What the transport records is not the gateway's memory.
        gateway_.transport.sent.clear();
        gateway_.transport.closed.clear();
        gateway_.transport.half_closed.clear();
        std::erase_if(gateway_.transport.connect_calls,
                      [](const auto &call) { return call.second != "d1"; });
    }

    TestGateway gateway_;
    int requests_ = 0;
    int volume_ = 0;
};

} // namespace

// Guards against memory that grows with each volume that clients ever named (found beside issue
// 44).
TEST_CASE("requests of volumes that were not seen before leave no memory in use") {
    ServedGateway gateway;
    gateway.serve_round(false); // fills what is bounded, such as the last trace ids
    CHECK(gateway.serve_round(false) <= allowed_growth);
    CHECK(gateway.serve_round(true) <= allowed_growth);
}

// Guards against memory that grows without end under ever new names (issue 48).
TEST_CASE("requests of ever new volumes, keys and ids leave a bounded amount of memory in use") {
    // What is kept of the names that were used last fills up at first.
    constexpr std::size_t allowed_in_all = 2'000'000;
    constexpr int rounds_until_full = 2;
    ServedGateway gateway;
    const std::size_t before = heap_bytes();
    for (int i = 0; i < rounds_until_full; ++i)
        gateway.serve_round(true);
    CHECK(heap_bytes() - before <= allowed_in_all);
    CHECK(gateway.serve_round(true) <= allowed_growth);
    CHECK(gateway.serve_round(true) <= allowed_growth);
}

// Guards against a process over its memory limit beside hundreds of clients that never finish
// (issue 48).
TEST_CASE("unfinished requests of as many clients as may connect fit the memory of the smallest "
          "host") {
    for (std::size_t piece_bytes : std::initializer_list<std::size_t>{1, 100, 48'000}) {
        CAPTURE(piece_bytes);
        TestGateway gateway("", settings_text(), most_sockets);
        reset_heap_peak();
        const std::string whole = write_request("t", std::string(64'000, 'w'));
        const std::string part = whole.substr(0, 48'000);
        for (int i = 0; i < client_count; ++i) {
            auto client = gateway.core.client_connected(gateway.now);
            if (!client)
                continue;
            for (std::size_t at = 0; at < part.size() && at / piece_bytes < 3000; at += piece_bytes)
                gateway.core.received(gateway.now, *client, part.substr(at, piece_bytes));
        }
        CHECK(static_cast<double>(heap_peak_bytes()) <= memory_for_clients);
    }
}

TEST_CASE("heads of many short fields of as many clients as may connect fit the memory of the "
          "smallest host") {
    TestGateway gateway("", settings_text(), most_sockets);
    reset_heap_peak();
    std::string head = "GET /read HTTP/1.1\r\n";
    for (int field = 0; field < 64; ++field)
        head += "f" + std::to_string(field) + ":v\r\n";
    for (int i = 0; i < client_count; ++i)
        if (auto client = gateway.core.client_connected(gateway.now))
            gateway.core.received(gateway.now, *client, head);
    CHECK(static_cast<double>(heap_peak_bytes()) <= memory_for_clients);
}

TEST_CASE("large requests that wait for their node fit the memory of the smallest host, and those "
          "that were answered leave none in use") {
    TestGateway gateway("", settings_text(), most_sockets);
    std::vector<ConnectionId> clients;
    clients.reserve(client_count);
    const std::size_t before = heap_bytes();
    reset_heap_peak();
    for (int i = 0; i < client_count; ++i) {
        auto client = gateway.core.client_connected(gateway.now);
        REQUIRE(client);
        clients.push_back(*client);
        gateway.core.received(gateway.now, *client,
                              write_request("t" + std::to_string(i), std::string(64'000, 'w')));
        gateway.transport.sent.clear();
    }
    CHECK(static_cast<double>(heap_peak_bytes()) <= memory_for_clients);
    gateway.settle(1600 * ms);
    CHECK(gateway.core.request_count() == 0);
    gateway.transport.sent.clear();
    // What is left of a connection on which a request was answered.
    constexpr std::size_t allowed_per_connection = 2500;
    CHECK(heap_bytes() - before <= client_count * allowed_per_connection);
}

// Guards against a process over its memory limit beside hundreds of clients that send much behind a
// request in the same write (issue 56): what came in one read was kept without an account.
TEST_CASE("bytes that arrive together with a first request, of as many clients as may connect, fit "
          "the memory of the smallest host") {
    for (bool later : {false, true}) {
        CAPTURE(later);
        TestGateway gateway("", settings_text(), most_sockets);
        reset_heap_peak();
        const std::string behind = write_request("b", std::string(55'000, 'w'));
        for (int i = 0; i < client_count; ++i) {
            auto client = gateway.core.client_connected(gateway.now);
            REQUIRE(client);
            const std::string first = read_request("t" + std::to_string(i));
            gateway.core.received(gateway.now, *client, later ? first : first + behind);
            if (later)
                gateway.core.received(gateway.now, *client, behind);
        }
        CHECK(static_cast<double>(heap_peak_bytes()) <= memory_for_clients);
    }
}

TEST_CASE("messages that wait for their turn, of as many clients as may connect, fit the memory of "
          "the smallest host") {
    TestGateway gateway("", settings_text(), most_sockets);
    std::string health_checks;
    constexpr std::size_t read_bytes = 250'000;
    while (health_checks.size() < read_bytes)
        health_checks += "GET /healthz HTTP/1.1\r\n\r\n";
    reset_heap_peak();
    for (int i = 0; i < client_count; ++i) {
        auto client = gateway.core.client_connected(gateway.now);
        REQUIRE(client);
        gateway.core.received(gateway.now, *client, health_checks);
        // What the transport records is not the gateway's memory.
        gateway.transport.sent.clear();
    }
    CHECK(static_cast<double>(heap_peak_bytes()) <= memory_for_clients);
}

// Guards against memory that takes forty times what a client has sent (issue 48).
TEST_CASE("bytes that arrive one by one behind a request take little more than their size") {
    constexpr std::size_t byte_count = 70'000;
    constexpr std::size_t allowed_bytes = 4 * byte_count;
    TestGateway gateway;
    auto client = gateway.connect_client(read_request("t1"));
    const std::size_t before = heap_bytes();
    for (std::size_t i = 0; i < byte_count; ++i)
        gateway.core.received(gateway.now, client, "G");
    CHECK(heap_bytes() - before <= allowed_bytes);
}

// Guards against responses that together exceed the host's memory (found beside issue 44).
TEST_CASE("responses that all nodes send at once fit the memory of the smallest host") {
    constexpr int connection_count = 60;
    constexpr std::size_t partial_body_bytes = 900'000;
    TestGateway gateway;
    std::string entries;
    for (int shard = 0; shard < connection_count; ++shard)
        entries += (shard > 0 ? "," : "") +
                   endpoint_json("t" + std::to_string(shard), "m" + std::to_string(shard), shard);
    gateway.send_endpoint_list(endpoint_list_json(42, entries));
    reset_heap_peak();
    const std::string part(partial_body_bytes, 'b');
    for (int shard = 0; shard < connection_count; ++shard) {
        std::string request = read_request("t" + std::to_string(shard));
        request.replace(request.find("shard=5"), 7, "shard=" + std::to_string(shard));
        gateway.connect_client(request);
        auto node = gateway.transport.connection_to("m" + std::to_string(shard));
        REQUIRE(node.value != 0);
        gateway.core.connected(gateway.now, node);
        gateway.settle();
        gateway.core.received(gateway.now, node,
                              "HTTP/1.1 200 X\r\nContent-Length: 1000000\r\n\r\n");
        gateway.core.received(gateway.now, node, part);
    }
    CHECK(static_cast<double>(heap_peak_bytes()) <= smallest_host_bytes);
}
