// A thin layer on libuv: one loop a thread, sockets that gather what is sent until the end of a
// moment, and calls from other threads through a queue. It decides nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <uv.h>

#include "common/time.hpp"

namespace knotvane::loop {

// Nanoseconds since the epoch that never go back: the wall clock when the program started, and the
// monotonic clock from there on.
Time now();

class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    uv_loop_t *raw() { return &loop_; }
    // Runs until stop; call from one thread.
    void run();
    // From any thread.
    void stop();
    void post(std::function<void()> call);
    // Called before each wait for events; gives back when to be called again at the latest.
    void set_before_wait_callback(std::function<Time()> call) { before_wait_ = std::move(call); }

private:
    struct Posted;
    uv_loop_t loop_;
    uv_async_t wake_;
    uv_prepare_t prepare_;
    uv_timer_t timer_;
    std::function<Time()> before_wait_;
    std::unique_ptr<Posted> posted_;
};

// How the other side let go of a connection: it ended its sending in order, or the connection
// broke.
enum class DisconnectReason { end_of_stream, connection_error };

// A connection. Nothing is called back after close, nor from within send.
class Socket : public std::enable_shared_from_this<Socket> {
public:
    std::function<void(std::string_view)> on_received;
    std::function<void(DisconnectReason)> on_disconnected; // closed or broken by the other side
    std::function<void(std::size_t)> on_written;           // so many bytes have left

    explicit Socket(Loop &loop);
    ~Socket();
    // Connects to "ADDRESS:PORT"; `done` tells whether it worked, never from within this call.
    void connect(const std::string &address, std::function<void(bool)> done);
    // Whether a connect that failed got as far as the network: without a descriptor it says nothing
    // of the other side.
    bool connect_attempted() const { return connect_attempted_; }
    void start();
    // Gathers; flush sends what was gathered.
    void send(std::string bytes);
    void flush();
    bool has_unflushed() const { return !pending_.empty(); }
    void set_reading_paused(bool hold);
    // What was gathered and can still be sent at once is sent first, but for a reset.
    void close(bool reset = false);
    // Once all that was sent has left.
    void close_when_sent();
    // Once all that was sent has left, the sending side ends; what comes in is told as before,
    // until close.
    void finish_sending();
    uv_tcp_t *raw() { return &handle_->tcp; }

private:
    friend class Listener;
    struct Handle {
        uv_tcp_t tcp;
        std::shared_ptr<Socket> owner;
    };
    void gone(DisconnectReason how);
    void shutdown_if_sent();
    Loop &loop_;
    Handle *handle_;
    std::vector<std::string> pending_;
    std::size_t writing_ = 0;
    bool reading_ = false, held_ = false, closed_ = false, up_ = false, ending_ = false,
         shutting_ = false, connect_attempted_ = false;
};

class Listener {
public:
    // Listens on "ADDRESS:PORT", port 0 for a free one. Throws std::runtime_error.
    Listener(Loop &loop, const std::string &address,
             std::function<void(std::shared_ptr<Socket>)> on_came);
    ~Listener();
    const std::string &address() const { return address_; }

private:
    struct Handle {
        uv_tcp_t tcp;
        Listener *owner;
    };
    Loop &loop_;
    Handle *handle_;
    std::string address_;
    std::function<void(std::shared_ptr<Socket>)> on_came_;
};

// Calls when a file is written, replaced or removed; more often than that at times.
class FileWatcher {
public:
    FileWatcher(Loop &loop, const std::string &path, std::function<void()> on_change);
    ~FileWatcher();

private:
    struct Handle {
        uv_fs_event_t event;
        FileWatcher *owner;
    };
    Handle *handle_;
    std::string name_;
    std::function<void()> on_change_;
};

} // namespace knotvane::loop
