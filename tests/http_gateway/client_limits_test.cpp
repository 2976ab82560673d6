// What one client, or all clients together, can take of the gateway's time and memory.
#include <doctest/doctest.h>

#include <string>

#include "http_gateway/pipelined_input.hpp"

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

const std::string health_check = "GET /healthz HTTP/1.1\r\n\r\n";

/// Returns so many health checks in a row.
std::string health_checks(int count) {
    std::string checks;
    for (int i = 0; i < count; ++i)
        checks += health_check;
    return checks;
}

int count_of(const std::string &text, const std::string &part) {
    int count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

/// A gateway on a host on which clients may use 125 kB of memory.
struct SmallGateway : TestGateway {
    SmallGateway() : TestGateway("", settings_text(), {256, 1'000'000}) {}

    /// Connects a client that sends the first part of a write and stops.
    ConnectionId connect_stalled(const std::string &trace_id, std::size_t sent_body_bytes) {
        const std::string whole = write_request(trace_id, std::string(60'000, 'w'));
        return connect_client(whole.substr(0, whole.size() - 60'000 + sent_body_bytes));
    }
};

} // namespace

TEST_SUITE("a client that sends without a pause") {
    // Guards against late answers to other clients (issue 48): all that one read had brought was
    // handled before anything else.
    TEST_CASE("its messages are handled a few at a time, beside those of other clients, and all of "
              "them are") {
        constexpr int count = 5000;
        TestGateway gateway;
        auto flooder = *gateway.core.client_connected(gateway.now);
        auto other = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, flooder, health_checks(count));
        gateway.core.received(gateway.now, other, read_request("t1"));
        gateway.core.settle(gateway.now);
        CHECK(gateway.transport.connection_to("n1").value != 0);
        CHECK(count_of(gateway.transport.sent[flooder], " 200 ") < count / 10);
        CHECK(gateway.transport.paused_reading.contains(flooder));
        CHECK(gateway.core.next_due() == gateway.now);
        for (int iteration = 0; iteration < count; ++iteration)
            gateway.settle();
        CHECK(count_of(gateway.transport.sent[flooder], " 200 ") == count);
        CHECK(!gateway.transport.paused_reading.contains(flooder));
        CHECK(!gateway.transport.closed.contains(flooder));
    }
    // Guards against memory that grows as long as a client sends and doesn't read (issue 48).
    TEST_CASE("while it doesn't read its responses it gets no more of them, and then the rest") {
        constexpr int count = 5000;
        constexpr std::size_t allowed_bytes = 100'000;
        TestGateway gateway;
        auto flooder = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, flooder, health_checks(count));
        // The transport reports nothing as written.
        for (int iteration = 0; iteration < count; ++iteration)
            gateway.core.settle(gateway.now);
        CHECK(gateway.transport.sent[flooder].size() < allowed_bytes);
        CHECK(gateway.transport.paused_reading.contains(flooder));
        CHECK(gateway.core.next_due() > gateway.now);
        for (int iteration = 0; iteration < count; ++iteration)
            gateway.settle();
        CHECK(count_of(gateway.transport.sent[flooder], " 200 ") == count);
        CHECK(!gateway.transport.paused_reading.contains(flooder));
    }
    TEST_CASE("a request among its messages is read on behind, so that a disconnect is noticed") {
        TestGateway gateway;
        auto flooder = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, flooder, health_checks(100) + read_request("t1"));
        CHECK(gateway.transport.paused_reading.contains(flooder));
        for (int iteration = 0; iteration < 10; ++iteration)
            gateway.settle();
        CHECK(gateway.core.request_count() == 1);
        CHECK(!gateway.transport.paused_reading.contains(flooder));
        gateway.disconnect(flooder);
        CHECK(gateway.core.request_count() == 0);
    }
}

TEST_SUITE("memory for clients") {
    // Guards against a process over its memory limit beside clients that never finish (issue 48).
    TEST_CASE("unfinished requests that make no progress are refused; one that does is served") {
        SmallGateway gateway;
        constexpr int stalled_count = 3;
        std::vector<ConnectionId> stalled;
        stalled.reserve(stalled_count);
        for (int i = 0; i < stalled_count; ++i)
            stalled.push_back(gateway.connect_stalled("s" + std::to_string(i), 30'000));
        gateway.settle(200 * ms);
        const std::string whole = write_request("t1", std::string(60'000, 'w'));
        auto client = gateway.connect_client(whole.substr(0, 30'000));
        gateway.settle(100 * ms);
        gateway.core.received(gateway.now, client, whole.substr(30'000));
        gateway.settle();
        CHECK(gateway.core.clients().memory_bytes() <= 125'000);
        CHECK(gateway.core.request_count() == 1);
        CHECK(!gateway.transport.closed.contains(client));
        int refused = 0;
        for (auto id : stalled) {
            bool got_503 = gateway.transport.sent[id].starts_with("HTTP/1.1 503 ");
            CHECK(got_503 == gateway.transport.half_closed.contains(id));
            refused += got_503 ? 1 : 0;
        }
        CHECK(refused > 0);
        CHECK(gateway.core.clients().counts().refused_for_memory ==
              static_cast<std::uint64_t>(refused));
    }
    TEST_CASE("while requests in flight use it up, a further body is refused, a read is not") {
        SmallGateway gateway;
        for (int i = 0; i < 2; ++i)
            gateway.connect_client(
                write_request("w" + std::to_string(i), std::string(60'000, 'w')));
        REQUIRE(gateway.core.request_count() == 2);
        auto writer = gateway.connect_client(write_request("w2", std::string(60'000, 'w')));
        CHECK(gateway.transport.sent[writer].starts_with("HTTP/1.1 503 "));
        CHECK(gateway.core.request_count() == 2);
        gateway.connect_client(read_request("r1"));
        CHECK(gateway.core.request_count() == 3);
        // Its trace id is not used up.
        gateway.settle(2 * sec);
        gateway.send_heartbeat();
        REQUIRE(gateway.core.request_count() == 0);
        gateway.connect_client(write_request("w2", std::string(60'000, 'w')));
        CHECK(gateway.core.request_count() == 1);
    }
    TEST_CASE("a client that doesn't read its response loses it after half a second, if memory is "
              "used up") {
        for (bool needed : {false, true}) {
            SmallGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            gateway.connect_node();
            gateway.now += 5 * ms;
            gateway.core.received(gateway.now, gateway.transport.last_request_connection,
                                  http_response(200, std::string(needed ? 200'000 : 100'000, 'b')));
            // The transport reports nothing as written.
            gateway.core.settle(gateway.now);
            gateway.core.settle(gateway.now + 499 * ms);
            CHECK(!gateway.transport.closed.contains(client));
            gateway.core.received(gateway.now + 501 * ms,
                                  *gateway.core.client_connected(gateway.now + 501 * ms), "GET");
            CHECK(gateway.transport.closed.contains(client) == needed);
        }
    }
    // Guards against bytes that are kept without an account, as they came together with a request
    // (issue 56).
    TEST_CASE("what arrives behind a request in the same read is discarded if memory is used up, "
              "and the request is answered") {
        const std::string behind = write_request("b", std::string(50'000, 'w'));
        SmallGateway gateway;
        auto kept = gateway.connect_client(read_request("t0") + behind);
        auto discarded = gateway.connect_client(read_request("t1") + behind + behind);
        auto usual = gateway.connect_client(read_request("t2") + read_request("t3"));
        CHECK(gateway.core.clients().memory_bytes() <= 125'000);
        CHECK(gateway.core.clients().counts().pipelined_discarded == 1);
        CHECK(gateway.core.request_count() == 3);
        gateway.connect_node();
        for (int response = 0; response < 3; ++response)
            gateway.respond_to_attempt("done");
        gateway.settle(2 * sec);
        CHECK(contains(gateway.transport.sent[discarded], "Connection: close"));
        CHECK(gateway.transport.closed.contains(discarded));
        CHECK(count_of(gateway.transport.sent[kept], "HTTP/1.1 ") == 2);
        CHECK(count_of(gateway.transport.sent[usual], "HTTP/1.1 ") == 2);
        CHECK(count_of(gateway.transport.sent[discarded], "HTTP/1.1 ") == 1);
    }
    TEST_CASE("messages that wait for their turn are refused if memory is used up") {
        SmallGateway gateway;
        auto kept = *gateway.core.client_connected(gateway.now);
        auto refused = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, kept, health_checks(4000));
        gateway.core.received(gateway.now, refused, health_checks(4000));
        CHECK(gateway.core.clients().memory_bytes() <= 125'000);
        CHECK(count_of(gateway.transport.sent[refused], "HTTP/1.1 200 ") == 16);
        CHECK(count_of(gateway.transport.sent[refused], "HTTP/1.1 503 ") == 1);
        CHECK(gateway.transport.half_closed.contains(refused));
        CHECK(!gateway.transport.closed.contains(kept));
    }
    TEST_CASE("bytes that arrive one by one behind a request take little more than their size") {
        PipelinedInput input;
        constexpr int count = 10'000;
        for (int i = 0; i < count; ++i)
            input.append(i * ms, "x");
        CHECK(input.size() == count);
        std::size_t taken = 0;
        int pieces = 0;
        for (; !input.empty(); ++pieces) {
            auto piece = input.take_first();
            // It counts as received with its first byte.
            CHECK(piece.received_at == static_cast<Time>(taken) * ms);
            taken += piece.bytes.size();
        }
        CHECK(taken == count);
        CHECK(pieces <= count / 5);
    }
}

TEST_SUITE("clients that have left") {
    // Guards against requests that are sent on for a client that has left (issue 48): its close was
    // known to the kernel, but still behind unread bytes or other events.
    TEST_CASE("no connection is made for a client that has closed its own, although that isn't "
              "reported yet, and its request is canceled") {
        TestGateway gateway;
        auto client = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, client, read_request("t1") + read_request("t2"));
        gateway.transport.closed_peers.insert(client);
        gateway.settle();
        CHECK(gateway.transport.connection_to("n1").value == 0);
        CHECK(gateway.core.request_count() == 0);
        gateway.settle(sec);
        CHECK(gateway.transport.sent[client].empty());
        gateway.disconnect(client);
        CHECK(gateway.core.request_counts().received == 1);
        CHECK(gateway.core.request_counts().canceled == 1);
        CHECK(gateway.core.clients().count() == 0);
    }
    TEST_CASE("nothing is sent for a client that closed while the connection to the node was being "
              "established") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        gateway.transport.closed_peers.insert(client);
        auto node = gateway.connect_node();
        CHECK(gateway.transport.sent[node].empty());
        CHECK(gateway.transport.closed.contains(node));
        gateway.disconnect(client);
        CHECK(gateway.core.request_count() == 0);
    }
    // Guards against an id that runs twice (issue 48): it was forgotten among later ones.
    TEST_CASE("an id that a node got is refused after thousands of others, also when its client "
              "has left") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        gateway.connect_node();
        gateway.disconnect(client);
        for (int i = 0; i < 5000; ++i)
            gateway.disconnect(
                gateway.connect_client(read_request("other" + std::to_string(i), "", "0.001")));
        auto again = gateway.connect_client(read_request("t1"));
        CHECK(gateway.transport.sent[again].starts_with("HTTP/1.1 409 "));
        CHECK(gateway.core.request_count() == 0);
    }
    TEST_CASE("an id is remembered while its request is open, after it for a minute if a node got "
              "it, else among the last 4,096") {
        TraceIdHistory history;
        const Time start = 1000 * sec;
        CHECK(history.add("open"));
        CHECK(history.add("sent"));
        history.request_done(start, "sent", true);
        for (std::size_t i = 0; i < 2 * TraceIdHistory::max_unsent_ids; ++i) {
            CHECK(history.add("unsent" + std::to_string(i)));
            history.request_done(start + sec, "unsent" + std::to_string(i), false);
        }
        CHECK(!history.add("open"));
        CHECK(!history.add("sent"));
        CHECK(history.add("unsent0"));
        CHECK(!history.add("unsent" + std::to_string(TraceIdHistory::max_unsent_ids)));
        history.request_done(start + TraceIdHistory::retention + ms, "unsent0", false);
        CHECK(history.add("sent"));
        CHECK(!history.add("open"));
    }
    TEST_CASE("the number of ids that are remembered has a limit") {
        TraceIdHistory history;
        for (std::size_t i = 0; i < 2 * TraceIdHistory::max_sent_ids; ++i) {
            history.add(std::to_string(i));
            history.request_done(sec, std::to_string(i), true);
        }
        CHECK(history.size() == TraceIdHistory::max_sent_ids);
    }
}
