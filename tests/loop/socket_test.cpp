// The loop's sockets on loopback, as the gateway's server uses them.
#include <doctest/doctest.h>

#include "loop/loop.hpp"

using namespace knotvane;

TEST_CASE("writing to a connection that its peer has reset reports the close and does not end the "
          "process") {
    loop::Loop loop;
    std::shared_ptr<loop::Socket> server;
    auto client = std::make_shared<loop::Socket>(loop);
    bool close_reported = false;
    loop::Listener listener(loop, "127.0.0.1:0", [&](const std::shared_ptr<loop::Socket> &socket) {
        server = socket;
        socket->on_disconnected = [&](loop::DisconnectReason) {
            close_reported = true;
            loop.stop();
        };
        // Pauses reading, so that only a write can find out about the
        // reset.
        socket->set_reading_paused(true);
        socket->start();
        client->close(true);
    });
    client->connect(listener.address(), [](bool) {});
    Time started_at = loop::now();
    loop.set_before_wait_callback([&] {
        // The first write reports the reset; a further one would raise SIGPIPE.
        for (int i = 0; i < 3 && server && !close_reported && loop::now() - started_at > 50 * ms;
             ++i) {
            server->send("x");
            server->flush();
        }
        if (loop::now() - started_at > 5 * sec)
            loop.stop();
        return loop::now() + 10 * ms;
    });
    loop.run();
    CHECK(close_reported);
}
