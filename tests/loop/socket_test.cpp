// The loop's sockets on loopback, each against a scripted peer.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "loop/listener.hpp"
#include "loop/loop.hpp"
#include "loop/socket.hpp"
#include "peer.hpp"

using namespace knotvane;
using loop::DisconnectReason;
using loop::Peer;

namespace {

/// A socket that was accepted from a scripted peer, and what it has reported. The loop only runs
/// within the calls of this class: whatever the peer does between two of them, the loop finds at
/// once.
class AcceptedSocket {
public:
    AcceptedSocket()
        : listener_(loop_, "127.0.0.1:0", [this](const std::shared_ptr<loop::Socket> &accepted) {
              socket = accepted;
              start();
              loop_.stop();
          }) {
        peer = Peer::connect_to(listener_.address());
        loop_.run();
    }

    /// Waits until the kernel knows that the peer has closed or reset the connection.
    bool wait_for_close() const {
        uv_os_fd_t descriptor = -1;
        uv_fileno(reinterpret_cast<const uv_handle_t *>(socket->raw()), &descriptor);
        pollfd polled{descriptor, POLLRDHUP, 0};
        return ::poll(&polled, 1, timeout_ms) == 1;
    }
    /// Runs the loop until the socket reports the close; no result after a timeout.
    /// @param script called once before a wait for events, with no event pending.
    std::optional<DisconnectReason> run_until_disconnected(const std::function<void()> &script =
                                                               [] {}) {
        // The first waits still find what woke the loop before.
        constexpr int script_round = 3;
        const Time timeout_at = loop::now() + timeout_ms * ms;
        int round = 0;
        loop_.set_before_wait_callback([&] {
            ++round;
            if (round == script_round)
                script();
            if (loop::now() >= timeout_at)
                loop_.stop();
            return round < script_round ? loop::now() + ms : timeout_at;
        });
        loop_.run();
        return disconnect_reason_;
    }

    std::shared_ptr<loop::Socket> socket;
    Peer peer;
    std::string received;

private:
    static constexpr int timeout_ms = 5000;

    void start() {
        socket->on_received = [this](std::string_view bytes) { received += bytes; };
        socket->on_disconnected = [this](DisconnectReason reason) {
            disconnect_reason_ = reason;
            loop_.stop();
        };
        socket->start();
    }

    loop::Loop loop_;
    loop::Listener listener_;
    std::optional<DisconnectReason> disconnect_reason_;
};

} // namespace

TEST_SUITE("how a peer closed the connection") {
    // Guards against half of a response without a length being served as the whole (review case 1).
    TEST_CASE("a reset that is found together with the last bytes is a connection error") {
        AcceptedSocket accepted;
        accepted.peer.send("half");
        accepted.peer.reset();
        REQUIRE(accepted.wait_for_close());
        CHECK(accepted.run_until_disconnected() == DisconnectReason::connection_error);
        CHECK(accepted.received == "half");
    }
    TEST_CASE("a reset that is found after the last bytes were read is a connection error") {
        AcceptedSocket accepted;
        accepted.peer.reset();
        REQUIRE(accepted.wait_for_close());
        CHECK(accepted.run_until_disconnected() == DisconnectReason::connection_error);
    }
    TEST_CASE("an end in order that is found together with the last bytes is an end of stream") {
        AcceptedSocket accepted;
        accepted.peer.send("whole");
        accepted.peer.close();
        REQUIRE(accepted.wait_for_close());
        CHECK(accepted.run_until_disconnected() == DisconnectReason::end_of_stream);
        CHECK(accepted.received == "whole");
    }
    // Both sides are closed then, which is reported as a hang-up like a reset is.
    TEST_CASE("an end in order after this side has finished sending is an end of stream") {
        AcceptedSocket accepted;
        accepted.socket->finish_sending();
        accepted.peer.send("whole");
        accepted.peer.close();
        REQUIRE(accepted.wait_for_close());
        CHECK(accepted.run_until_disconnected() == DisconnectReason::end_of_stream);
        CHECK(accepted.received == "whole");
    }
    TEST_CASE("a reset that follows an end in order doesn't undo it") {
        AcceptedSocket accepted;
        accepted.peer.send("whole");
        accepted.peer.finish_sending();
        REQUIRE(accepted.wait_for_close());
        accepted.peer.reset();
        CHECK(accepted.run_until_disconnected() == DisconnectReason::end_of_stream);
        CHECK(accepted.received == "whole");
    }
    TEST_CASE("a reset is a connection error for a socket that was paused meanwhile") {
        AcceptedSocket accepted;
        accepted.socket->set_reading_paused(true);
        accepted.peer.send("half");
        accepted.peer.reset();
        REQUIRE(accepted.wait_for_close());
        accepted.socket->set_reading_paused(false);
        CHECK(accepted.run_until_disconnected() == DisconnectReason::connection_error);
        CHECK(accepted.received == "half");
    }
    // Guards against a reset that a write was told of passing for an end in order: the kernel
    // reports a socket's error once, so that reading finds only the end.
    TEST_CASE("a reset that a write was told of is a connection error when the rest is read") {
        AcceptedSocket accepted;
        auto reason = accepted.run_until_disconnected([&] {
            accepted.peer.send("half");
            accepted.peer.reset();
            REQUIRE(accepted.wait_for_close());
            accepted.socket->send("x");
            accepted.socket->flush();
        });
        CHECK(reason == DisconnectReason::connection_error);
    }
}

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
