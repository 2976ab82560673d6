/// \file
/// TCP connections on an event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <uv.h>

#include "loop/loop.hpp"
#include "loop/send_queue.hpp"

namespace knotvane::loop {

/// How a connection was closed by the other side.
enum class DisconnectReason {
    end_of_stream,   ///< It finished sending in order; all that it sent was received.
    connection_error ///< The connection was reset or has failed; bytes may be missing.
};

/// A TCP connection. It contains no decisions of its own. No callback is called after close, nor
/// from within send.
class Socket : public std::enable_shared_from_this<Socket> {
public:
    std::function<void(std::string_view)> on_received;
    /// The connection was closed by the other side or has failed. The socket is closed already.
    std::function<void(DisconnectReason)> on_disconnected;
    /// This many bytes were accepted by the kernel.
    std::function<void(std::size_t)> on_written;

    explicit Socket(Loop &loop);
    /// Resets the connection if it is still open.
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    /// Connects to "ADDRESS:PORT". Calls `done` with whether it succeeded, never from within this
    /// call.
    void connect(const std::string &address, std::function<void(bool)> done);
    /// Whether a connection was attempted over the network. If not, for want of a descriptor, the
    /// failure says nothing about the other side.
    bool connect_attempted() const { return connect_attempted_; }
    /// Starts to read from an accepted connection, after its callbacks are set. connect does so
    /// itself.
    void start();
    /// Queues bytes until flush.
    void send(std::string bytes);
    /// Writes the queued bytes.
    void flush();
    bool has_unflushed() const { return !unflushed_.empty(); }
    /// Pauses or resumes reading. While paused, received bytes stay in the kernel.
    void set_reading_paused(bool paused);
    /// Whether the peer has closed the connection or its sending side, also if bytes that it sent
    /// before are not read yet. False if the system can't tell.
    bool peer_closed() const;
    /// Closes the connection after writing the queued bytes that the kernel accepts at once. With
    /// `reset`, queued bytes are dropped and the connection is reset.
    void close(bool reset = false);
    /// Closes the connection once all queued bytes are written. No callback is called from then on.
    void close_when_sent();
    /// Closes the sending side once all queued bytes are written. Received bytes are still
    /// reported, until close.
    void finish_sending();
    uv_tcp_t *raw() { return &handle_->tcp; }

private:
    friend class Listener;
    struct Handle {
        uv_tcp_t tcp;
        std::shared_ptr<Socket> owner;
    };
    struct PendingConnect;
    struct QueuedWrite;

    uv_stream_t *stream() { return reinterpret_cast<uv_stream_t *>(&handle_->tcp); }
    /// Provides the buffer of the next read; an empty one, on which libuv turns to the next socket,
    /// after the most reads of one iteration.
    uv_buf_t next_read_buffer();
    void connect_finished(bool succeeded, const std::function<void(bool)> &done);
    /// Handles the result of a read as libuv reports it: the number of bytes, or an error.
    void read_finished(ssize_t result, const char *bytes);
    /// Returns why the connection was closed, from the error that libuv reports for a read.
    DisconnectReason disconnect_reason(ssize_t read_error) const;
    /// Writes queued bytes for as long as the kernel accepts them at once, and adds their number to
    /// `written`. Returns false if the connection has failed.
    bool write_unflushed(std::size_t &written);
    /// Passes the rest of the queued bytes to libuv, which writes them once the kernel accepts
    /// them. Returns how many of them are written already.
    std::size_t queue_unflushed();
    void queued_write_finished(const QueuedWrite &write, bool succeeded);
    /// Closes the socket and reports why.
    void handle_disconnect(DisconnectReason reason);
    void shut_down_if_sent();
    /// Closes the socket; bytes that are not yet flushed are dropped.
    void close_handle(bool reset);

    Loop &loop_;
    Handle *handle_;
    SendQueue unflushed_;
    /// Bytes passed to libuv and not yet written.
    std::size_t writing_bytes_ = 0;
    /// Whether a write has failed. The kernel reports an error once, so that reading may then find
    /// an end in order.
    bool write_failed_ = false;
    /// The iteration of the loop that read last, and its number of reads.
    std::uint64_t reads_iteration_ = 0;
    int reads_in_iteration_ = 0;
    bool reading_ = false;
    bool reading_paused_ = false;
    bool closed_ = false;
    bool connected_ = false;
    bool closing_when_sent_ = false;
    bool finishing_sending_ = false;
    bool connect_attempted_ = false;
};

} // namespace knotvane::loop
