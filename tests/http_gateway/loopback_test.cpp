// The gateway between scripted clients, nodes and discovery on loopback sockets: races that need
// a real connection.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

using CloseKind = Peer::CloseKind;
// The longest client timeout is 0.3 s there: a stop ends resting connections after 0.8 s, and
// itself after 1 s.
const std::string brief = "Classes.0.DeadlineS=0.3\nClasses.1.DeadlineS=0.3\n";
double cpu_seconds() {
    rusage u{};
    getrusage(RUSAGE_SELF, &u);
    return static_cast<double>(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
           static_cast<double>(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

} // namespace

TEST_SUITE("the stop on sockets") {
    // Exits over unread bytes reset the connection; a request that is read after our end and sent
    // on is lost.
    TEST_CASE("a request on a resting connection that crosses its end: not reset, not sent on") {
        LoopbackGateway gateway(brief);
        auto rests = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n");
        rests.read_until("\r\n\r\n");
        gateway.stop();
        std::string got;
        CHECK(rests.read_to_end(got) == CloseKind::end_of_stream);
        CHECK(got.empty());
        rests.send(read_request("t1"));
        CHECK(!gateway.node_listener.wait_readable(100));
        rests.send("x"); // a reset would show here
        CHECK(rests.read_to_end(20) != CloseKind::reset);
        rests.close();
        CHECK(gateway.wait_until_stopped());
    }
    TEST_CASE("stopped twice and reloaded meanwhile, a request in pieces around it and a node that "
              "hangs: all answered") {
        LoopbackGateway gateway(brief);
        auto request = read_request("t1", "", "0.300");
        auto client = gateway.connect_client(request.substr(0, 50)),
             hung = gateway.connect_client();
        gateway.stop();
        gateway.reload();
        gateway.stop();
        ::usleep(50'000);
        client.send(request.substr(50));
        auto node = gateway.node_listener.accept();
        node.read_until("\r\n\r\n");
        node.send(http_response(200, "one"));
        CHECK(client.read_until("one").starts_with("HTTP/1.1 200 "));
        hung.send(read_request("t2", "", "0.300"));
        CHECK(hung.read_until("\r\n\r\n").starts_with("HTTP/1.1 503 "));
        CHECK(gateway.wait_until_stopped());
    }
    TEST_CASE("an answer half sent to a slow client when it stops arrives whole") {
        LoopbackGateway gateway(brief);
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.node_listener.accept();
        node.read_until("\r\n\r\n");
        const std::string body(1'000'000, 'b');
        node.send(http_response(200, body));
        ::usleep(50'000);
        gateway.stop();
        ::usleep(200'000);
        std::string got;
        CHECK(client.read_to_end(got) == CloseKind::end_of_stream);
        CHECK(got.ends_with(body));
        CHECK(gateway.wait_until_stopped());
    }
    TEST_CASE("killed just after it accepted, started again at once on its address: who comes "
              "again is served") {
        std::string address;
        Peer crossed;
        {
            LoopbackGateway gateway;
            address = gateway.server->address();
            crossed = gateway.connect_client(read_request("t1"));
            gateway.stop_at_once();
        }
        CHECK(crossed.read_to_end() != CloseKind::open);
        LoopbackGateway again("", address);
        auto client =
            again.connect_client(read_request("t1")); // the same id: this process has not seen it
        auto node = again.node_listener.accept();
        node.read_until("\r\n\r\n");
        node.send(http_response(200, "one"));
        CHECK(client.read_until("one").starts_with("HTTP/1.1 200 "));
    }
}

TEST_SUITE("closes on sockets") {
    // A close over what a bad client still sends would reset the connection and take the error
    // along.
    TEST_CASE("a client that sends on behind its mistake reads its error whole") {
        LoopbackGateway gateway;
        auto client = gateway.connect_client("GET /none HTTP/1.1\r\nHost: s\r\n\r\n" +
                                             std::string(300'000, 'x'));
        ::usleep(100'000);
        client.send(std::string(100'000, 'y'));
        std::string got;
        client.finish_sending();
        CHECK(client.read_to_end(got) == CloseKind::end_of_stream);
        CHECK(got.starts_with("HTTP/1.1 404 "));
        CHECK(got.ends_with("the path names no class\n"));
    }
    TEST_CASE("a node's answer without a length: its end makes it whole, a reset does not") {
        for (bool resets : {false, true}) {
            LoopbackGateway gateway;
            auto client = gateway.connect_client(write_request("t1", "x"));
            auto node = gateway.node_listener.accept();
            node.read_until("x");
            node.send("HTTP/1.1 200 OK\r\n\r\nhalf ");
            ::usleep(30'000); // read before the reset, which takes along what was not
            node.send("and half");
            ::usleep(30'000);
            resets ? node.reset() : node.close();
            auto got = client.read_until(resets ? "\r\n\r\n" : "and half", 2500);
            if (resets)
                CHECK(got.find("half") == got.npos);
            else
                CHECK(got == "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nhalf and half");
        }
    }
    TEST_CASE("a client that leaves while its attempt is out: the node's connection ends, nothing "
              "more is sent") {
        LoopbackGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.node_listener.accept();
        node.read_until("\r\n\r\n");
        client.close();
        CHECK(node.read_to_end() != CloseKind::open);
        CHECK(!gateway.node_listener.wait_readable(300));
    }
    TEST_CASE("a client that sends far ahead and leaves: its leaving shows, and nothing of it is "
              "sent on") {
        LoopbackGateway gateway;
        std::string ahead;
        for (int i = 0; i < 400; ++i)
            ahead += read_request("a" + std::to_string(i));
        auto client = gateway.connect_client(ahead);
        auto node = gateway.node_listener.accept();
        node.read_until("\r\n\r\n");
        ::usleep(50'000);
        client.close();
        std::string got;
        CHECK(node.read_to_end(got) != CloseKind::open);
        CHECK(got.empty());
        CHECK(!gateway.node_listener.wait_readable(300));
    }
}

TEST_SUITE("discovery on sockets") {
    TEST_CASE("a watch that is reset is open again at once, and what changed meanwhile keeps "
              "attempts away") {
        LoopbackGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.node_listener.accept();
        node.read_until("\r\n\r\n");
        node.send(http_response(200, "one"));
        client.read_until("one");
        gateway.watch.reset();
        auto again = gateway.discovery_listener.accept(500);
        CHECK(again.read_until("\r\n\r\n").find("index=41 ") != std::string::npos);
        again.send(
            watch_response_head +
            http_chunk(
                endpoint_list_json(
                    42, endpoint_json("s1", gateway.node_listener.address(), 5, "leaving"), false) +
                "\n"));
        CHECK(node.read_to_end(500) !=
              CloseKind::open); // resting connections to a node that drains end
        client.send(read_request("t2"));
        CHECK(!gateway.node_listener.wait_readable(200));
        CHECK(client.read_until("\r\n\r\n").starts_with("HTTP/1.1 503 "));
    }
    TEST_CASE("reloaded with a file that has a fault nothing changes; with a good one the watch "
              "moves, twice in a row too") {
        LoopbackGateway gateway;
        auto second = Peer::listen_on(), third = Peer::listen_on();
        std::ofstream(gateway.config_path) << "{\"name\":";
        gateway.reload();
        CHECK(!second.wait_readable(100));
        gateway.write_config(second.address());
        gateway.reload();
        gateway.reload();
        auto w2 = second.accept();
        w2.read_until("\r\n\r\n");
        gateway.write_config(third.address());
        gateway.reload();
        auto w3 = third.accept();
        CHECK(w2.read_to_end() != CloseKind::open);
        CHECK(gateway.watch.read_to_end(50) ==
              CloseKind::open); // it tells until the new one speaks
        w3.read_until("\r\n\r\n");
        w3.send(watch_response_head + http_chunk(endpoint_list_json(42, "", false) + "\n"));
        CHECK(gateway.watch.read_to_end() != CloseKind::open);
    }
    // Nothing may spin on a descriptor that it can't have, and all is back with the first free
    // ones.
    TEST_CASE("every descriptor used up x accept, the watch's reset, an attempt's connect") {
        LoopbackGateway gateway;
        auto client = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n"),
             late = Peer::unconnected();
        client.read_until("\r\n\r\n");
        rlimit was{};
        getrlimit(RLIMIT_NOFILE, &was);
        rlimit few{128, was.rlim_max};
        setrlimit(RLIMIT_NOFILE, &few);
        std::vector<int> filler;
        auto fill = [&] {
            for (int fd; (fd = ::dup(0)) >= 0;)
                filler.push_back(fd);
        };
        fill();
        double cpu = cpu_seconds();
        late.connect(gateway.server->address());
        CHECK(late.read_to_end() !=
              CloseKind::open); // no descriptor for it: closed, not left to wait
        client.send(read_request(
            "t1")); // nor for a connection to the node: turned away, with when to come back
        CHECK(client.read_until("\r\n\r\n").starts_with("HTTP/1.1 503 "));
        gateway.watch.reset();
        for (int i = 0; i < 10; ++i) {
            fill();
            ::usleep(30'000);
        }
        cpu = cpu_seconds() - cpu;
        for (int fd : filler)
            ::close(fd);
        setrlimit(RLIMIT_NOFILE, &was);
        CHECK(cpu < 0.3);
        auto again = gateway.discovery_listener.accept(1000);
        CHECK(again.read_until("\r\n\r\n").starts_with("GET /v1/servers"));
        auto next_client = gateway.connect_client(read_request("t2"));
        auto node = gateway.node_listener.accept();
        node.read_until("\r\n\r\n");
        node.send(http_response(200, "two"));
        CHECK(next_client.read_until("two").ends_with("two"));
    }
}
