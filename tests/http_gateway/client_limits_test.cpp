// What one client, or all clients together, can take of the gateway's time and memory.
#include <doctest/doctest.h>

#include <string>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

TEST_SUITE("clients that have left") {
    // Guards against requests that are sent on for a client that has left (issue 48): its close was
    // known to the kernel, but still behind unread bytes or other events.
    TEST_CASE("no connection is made for a client that has closed its own, although that isn't "
              "reported yet, and its request is canceled") {
        TestGateway gateway;
        auto client = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, client, read_request("t1") + read_request("t2"));
        gateway.transport.gone_peers.insert(client);
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
        gateway.transport.gone_peers.insert(client);
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
