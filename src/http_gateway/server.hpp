/// \file
/// Runs the HTTP gateway's core on sockets.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http_gateway/config.hpp"
#include "http_gateway/core.hpp"
#include "loop/listener.hpp"
#include "loop/loop.hpp"
#include "loop/socket.hpp"
#include "loop/socket_map.hpp"

namespace knotvane::http_gateway {

/// Creates a scheduler that acts through the given interface.
/// `seed` is the seed of its random choices.
using SeededSchedulerFactory =
    std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t seed)>;

/// Connects the sockets of a loop to the core: passes events, received bytes and the time to the
/// core and carries out its calls. Contains no protocol logic. Must be used on the loop's thread
/// only.
class Server final : public Transport {
public:
    /// @param loop must outlive the server.
    /// @param config_path the file that reload reads.
    /// @param config the configuration to start with.
    /// @param tracing whether to write the trace to the log.
    /// @throws std::runtime_error if the server can't listen on the configured address;
    /// scheduler_setup::MalformedInput if a setting is missing or invalid.
    Server(loop::Loop &loop, std::string config_path, const Config &config,
           const SeededSchedulerFactory &scheduler_factory, bool tracing);
    ~Server() override;
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Starts the graceful shutdown. The server stops the loop once it is complete.
    void stop();
    /// Reads the configuration file again and applies a changed address of discovery; all other
    /// changes are ignored. If the file is invalid, the error is logged and nothing changes.
    void reload();
    /// The address on which the server listens, "host:port".
    const std::string &address() const { return address_; }

    void connect(ConnectionId connection, const std::string &address) override;
    void send(ConnectionId connection, std::string bytes) override {
        sockets_.send(connection, std::move(bytes));
    }
    void close(ConnectionId connection) override;
    void finish_sending(ConnectionId connection) override;
    void set_reading_paused(ConnectionId connection, bool paused) override;
    bool peer_closed(ConnectionId connection) const override;
    void log_event(const std::string &text) override;
    void trace(const std::string &line) override;
    bool tracing() const override { return tracing_; }

private:
    void accept(const std::shared_ptr<loop::Socket> &socket);
    /// Registers a socket under its connection id and passes its events to the core.
    void attach(ConnectionId connection, const std::shared_ptr<loop::Socket> &socket);
    /// Settles the core and writes queued bytes. The loop calls this before it waits for events.
    /// @return when the loop must call it again at the latest.
    Time end_moment();
    /// Writes a line with the process's memory and what it holds after each endpoint list, and in
    /// regular intervals.
    void log_status();

    loop::Loop &loop_;
    std::string config_path_;
    std::string address_;
    bool tracing_;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    loop::SocketMap<ConnectionId> sockets_;
    /// When the loop is to be stopped; 0 until the shutdown is complete.
    Time stop_loop_at_ = 0;
    Time status_logged_at_ = 0;
    /// The number of published endpoint lists at that time.
    std::uint64_t status_list_count_ = 0;
};

} // namespace knotvane::http_gateway
