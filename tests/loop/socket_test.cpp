// The loop's sockets on loopback, each against a scripted peer.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

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
    /// Runs the loop for what it finds at once.
    void run_briefly() {
        loop_.stop();
        loop_.run();
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
        while (!disconnect_reason_ && loop::now() < timeout_at)
            loop_.run();
        loop_.set_before_wait_callback(nullptr);
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

/// What happens on a connection before its peer closes it.
enum class Step {
    peer_sends,
    loop_runs,
    reading_pauses,
    reading_resumes,
    writes,
    finishes_sending
};

/// How the peer closes it.
enum class PeerClose { in_order, reset, reset_after_end };

/// Plays a step; returns the bytes that the peer has sent.
std::string play(AcceptedSocket &accepted, Step step) {
    constexpr std::size_t max_piece = 5000;
    std::string sent;
    switch (step) {
    case Step::peer_sends:
        sent.assign(*rc::gen::inRange<std::size_t>(1, max_piece), 'b');
        accepted.peer.send(sent);
        break;
    case Step::loop_runs:
        accepted.run_briefly();
        break;
    case Step::reading_pauses:
        accepted.socket->set_reading_paused(true);
        break;
    case Step::reading_resumes:
        accepted.socket->set_reading_paused(false);
        break;
    case Step::writes:
        accepted.socket->send("x");
        accepted.socket->flush();
        break;
    case Step::finishes_sending:
        accepted.socket->finish_sending();
        break;
    }
    return sent;
}

void close(Peer &peer, PeerClose how) {
    if (how == PeerClose::in_order)
        return peer.close();
    if (how == PeerClose::reset_after_end)
        peer.finish_sending();
    peer.reset();
}

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
    // Guards against any other order of events in which a reset passes for the end of a response.
    TEST_CASE(
        "in any order of events, an end of stream means that the peer closed in order and all "
        "its bytes arrived") {
        constexpr std::size_t max_steps = 8;
        CHECK(rc::check("steps before and after the peer's close", [] {
            AcceptedSocket accepted;
            auto steps_up_to = [](std::size_t count) {
                auto step =
                    rc::gen::element(Step::peer_sends, Step::loop_runs, Step::reading_pauses,
                                     Step::reading_resumes, Step::writes, Step::finishes_sending);
                return *rc::gen::resize(static_cast<int>(count),
                                        rc::gen::container<std::vector<Step>>(step));
            };
            std::string sent;
            bool has_written = false;
            for (Step step : steps_up_to(max_steps)) {
                sent += play(accepted, step);
                has_written |= step == Step::writes;
            }
            auto how = *rc::gen::element(PeerClose::in_order, PeerClose::reset,
                                         PeerClose::reset_after_end);
            close(accepted.peer, how);
            for (Step step : steps_up_to(max_steps))
                if (step != Step::peer_sends) {
                    play(accepted, step);
                    has_written |= step == Step::writes;
                }
            accepted.socket->set_reading_paused(false);

            auto reason = accepted.run_until_disconnected();
            RC_ASSERT(reason.has_value());
            if (reason == DisconnectReason::end_of_stream) {
                RC_ASSERT(how != PeerClose::reset);
                RC_ASSERT(accepted.received == sent);
            } else {
                // A peer that closes with unread bytes resets the connection.
                RC_ASSERT(how == PeerClose::reset || has_written);
            }
        }));
    }
}

// Guards against one peer that keeps the others waiting (issue 48).
TEST_CASE("a peer that sends without a pause is read a few times, then the other sockets are") {
    constexpr std::size_t allowed_bytes = 1 << 20;
    constexpr std::size_t total_bytes = 64 << 20;
    constexpr int fill_time_us = 100'000;
    AcceptedSocket accepted;
    std::thread sender([&] {
        const std::string bytes(total_bytes, 'b');
        accepted.peer.send(bytes);
        accepted.peer.finish_sending();
    });
    // The kernel enlarges its buffer while the socket is read as fast as its peer sends.
    while (accepted.received.size() < total_bytes / 2)
        accepted.run_briefly();
    ::usleep(fill_time_us);
    const std::size_t before = accepted.received.size();
    accepted.run_briefly();
    CHECK(accepted.received.size() - before <= allowed_bytes);
    CHECK(accepted.run_until_disconnected() == DisconnectReason::end_of_stream);
    CHECK(accepted.received.size() == total_bytes);
    sender.join();
}

// Guards against a crowd of new connections that keeps the others waiting (issue 48).
TEST_CASE("of many connections that wait, one iteration accepts a few, and all are accepted") {
    constexpr std::size_t count = 200;
    constexpr std::size_t allowed_at_once = 50;
    loop::Loop loop;
    std::vector<std::shared_ptr<loop::Socket>> accepted;
    auto listener = std::make_unique<loop::Listener>(
        loop, "127.0.0.1:0",
        [&](const std::shared_ptr<loop::Socket> &socket) { accepted.push_back(socket); });
    std::vector<Peer> peers;
    for (std::size_t i = 0; i < count; ++i)
        peers.push_back(Peer::connect_to(listener->address()));
    std::size_t most_at_once = 0;
    const Time timeout_at = loop::now() + 5 * sec;
    while (accepted.size() < count && loop::now() < timeout_at) {
        const std::size_t before = accepted.size();
        uv_run(loop.raw(), UV_RUN_NOWAIT);
        most_at_once = std::max(most_at_once, accepted.size() - before);
    }
    CHECK(accepted.size() == count);
    CHECK(most_at_once <= allowed_at_once);
    // A connection that waits for its turn when the listener ends is dropped.
    for (std::size_t i = 0; i < allowed_at_once; ++i)
        peers.push_back(Peer::connect_to(listener->address()));
    uv_run(loop.raw(), UV_RUN_NOWAIT);
    listener.reset();
    const std::size_t at_end = accepted.size();
    for (int i = 0; i < 3; ++i)
        uv_run(loop.raw(), UV_RUN_NOWAIT);
    CHECK(accepted.size() == at_end);
}

TEST_CASE("a peer's close is known while bytes before it are unread") {
    AcceptedSocket accepted;
    accepted.socket->set_reading_paused(true);
    accepted.peer.send("unread");
    CHECK(!accepted.socket->peer_closed());
    accepted.peer.finish_sending();
    REQUIRE(accepted.wait_for_close());
    CHECK(accepted.socket->peer_closed());
    accepted.socket->set_reading_paused(false);
    CHECK(accepted.run_until_disconnected() == DisconnectReason::end_of_stream);
    CHECK(accepted.received == "unread");
    CHECK(accepted.socket->peer_closed());
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
