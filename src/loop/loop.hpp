// A thin layer over libuv: one event loop per thread, sockets that queue what is sent until the end
// of a moment, and calls posted from other threads. It contains no decisions of its own.
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

// Returns the time in nanoseconds since the epoch. It never decreases: the wall clock is read once,
// at the first call, and advanced by the monotonic clock from then on.
Time now();

// An event loop. All its methods but stop and post belong to the thread that runs it.
class Loop {
public:
    // Ignores SIGPIPE in the whole process; write errors are reported by the sockets.
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    uv_loop_t *raw() { return &loop_; }
    // Runs the loop on the calling thread until stop.
    void run();
    // Makes run return. May be called from any thread.
    void stop();
    // Queues a call for the loop's thread. May be called from any thread.
    void post(std::function<void()> call);
    // Sets the function that is called before each wait for events. It returns the time at which it
    // must be called again at the latest; the largest Time for none.
    void set_before_wait_callback(std::function<Time()> call) { before_wait_ = std::move(call); }

private:
    struct PostedCalls;
    uv_loop_t loop_;
    uv_async_t wake_up_;
    uv_prepare_t prepare_;
    uv_timer_t timer_;
    std::function<Time()> before_wait_;
    std::unique_ptr<PostedCalls> posted_calls_;
};

// Why a connection was closed by the other side: it finished sending in order, or the connection
// was reset or failed.
enum class DisconnectReason { end_of_stream, connection_error };

// A TCP connection. No callback is called after close, nor from within send.
class Socket : public std::enable_shared_from_this<Socket> {
public:
    std::function<void(std::string_view)> on_received;
    // The connection was closed by the other side or has failed. The socket is closed already.
    std::function<void(DisconnectReason)> on_disconnected;
    // This many bytes were accepted by the kernel.
    std::function<void(std::size_t)> on_written;

    explicit Socket(Loop &loop);
    // Resets the connection if it is still open.
    ~Socket();
    // Connects to "ADDRESS:PORT". Calls `done` with whether it succeeded, never from within this
    // call.
    void connect(const std::string &address, std::function<void(bool)> done);
    // Whether a connection was attempted over the network. If not, for want of a descriptor, the
    // failure says nothing about the other side.
    bool connect_attempted() const { return connect_attempted_; }
    // Starts to read from an accepted connection, after its callbacks are set. connect does so
    // itself.
    void start();
    // Queues bytes until flush.
    void send(std::string bytes);
    // Writes the queued bytes.
    void flush();
    bool has_unflushed() const { return !unflushed_.empty(); }
    // Pauses or resumes reading. While paused, received bytes stay in the kernel.
    void set_reading_paused(bool paused);
    // Closes the connection after writing the queued bytes that the kernel accepts at once. With
    // `reset`, queued bytes are dropped and the connection is reset.
    void close(bool reset = false);
    // Closes the connection once all queued bytes are written. No callback is called from then on.
    void close_when_sent();
    // Closes the sending side once all queued bytes are written. Received bytes are still reported,
    // until close.
    void finish_sending();
    uv_tcp_t *raw() { return &handle_->tcp; }

private:
    friend class Listener;
    struct Handle {
        uv_tcp_t tcp;
        std::shared_ptr<Socket> owner;
    };
    // Closes the socket and reports why.
    void handle_disconnect(DisconnectReason reason);
    void shut_down_if_sent();
    Loop &loop_;
    Handle *handle_;
    std::vector<std::string> unflushed_; // queued until flush
    std::size_t writing_bytes_ = 0;      // bytes passed to libuv and not yet written
    // A write has failed. The kernel reports an error once, so reading may then find an end in
    // order.
    bool write_failed_ = false;
    bool reading_ = false, reading_paused_ = false, closed_ = false, connected_ = false,
         closing_when_sent_ = false, finishing_sending_ = false, connect_attempted_ = false;
};

// Accepts TCP connections.
class Listener {
public:
    // Listens on "ADDRESS:PORT"; port 0 selects a free port. Calls on_accept with each new
    // connection. Throws std::runtime_error if the address is malformed or can't be listened on.
    Listener(Loop &loop, const std::string &address,
             std::function<void(std::shared_ptr<Socket>)> on_accept);
    ~Listener();
    // The address with the actual port.
    const std::string &address() const { return address_; }

private:
    struct Handle {
        uv_tcp_t tcp;
        Listener *owner;
    };
    Loop &loop_;
    Handle *handle_;
    std::string address_;
    std::function<void(std::shared_ptr<Socket>)> on_accept_;
};

// Calls on_change when a file is written, replaced or removed. It may be called more often than
// that.
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
