// The server's sockets on loopback.
#include <doctest/doctest.h>

#include "loop/loop.hpp"

using namespace knotvane;

TEST_CASE("writes to a connection that its peer has reset are told, and do not end the program") {
    loop::Loop loop;
    std::shared_ptr<loop::Socket> server;
    auto client = std::make_shared<loop::Socket>(loop);
    bool told = false;
    loop::Listener listener(loop, "127.0.0.1:0", [&](const std::shared_ptr<loop::Socket> &s) {
        server = s;
        s->on_gone = [&](loop::Gone) {
            told = true;
            loop.stop();
        };
        s->hold(true); // so that only a write tells of the end
        s->start();
        client->close(true);
    });
    client->connect(listener.address(), [](bool) {});
    Time begun = loop::now();
    loop.at_end([&] {
        // The first write finds out, the next one would raise the signal.
        for (int i = 0; i < 3 && server && !told && loop::now() - begun > 50 * ms; ++i) {
            server->send("x");
            server->flush();
        }
        if (loop::now() - begun > 5 * sec)
            loop.stop();
        return loop::now() + 10 * ms;
    });
    loop.run();
    CHECK(told);
}
