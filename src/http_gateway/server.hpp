/// \file
/// The HTTP gateway on sockets.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http_gateway/config.hpp"
#include "http_gateway/core.hpp"
#include "loop/loop.hpp"
#include "loop/sockets.hpp"

namespace knotvane::http_gateway {

/// Makes a scheduler that acts through what it is given, with a seed of its random choices.
using SeededSchedulerFactory =
    std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t seed)>;

/// Carries bytes, time and calls between a loop's sockets and the core, and decides nothing. It is
/// used on its loop's thread.
class Server final : public Transport {
public:
    /// @param loop must outlive the server.
    /// @param config_path where to read the configuration again from; see reload.
    /// @param tracing writes the trace to the log.
    /// @throws std::runtime_error if the address can't be listened on,
    /// scheduler_setup::MalformedInput on settings that are wrong.
    Server(loop::Loop &loop, std::string config_path, const Config &config,
           const SeededSchedulerFactory &scheduler_factory, bool tracing);
    ~Server() override;
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Starts the graceful shutdown; it ends the loop.
    void stop();
    /// Reads the configuration again and follows discovery's address. A configuration with a fault
    /// changes nothing.
    void reload();
    /// Where it listens, "host:port".
    const std::string &address() const { return address_; }

    void connect(ConnectionId connection, const std::string &address) override;
    void send(ConnectionId connection, std::string bytes) override {
        sockets_.send(connection, std::move(bytes));
    }
    void close(ConnectionId connection) override;
    void finish_sending(ConnectionId connection) override;
    void log_event(const std::string &text) override;
    void trace(const std::string &line) override;
    bool tracing() const override { return tracing_; }

private:
    void accept(const std::shared_ptr<loop::Socket> &socket);
    /// Passes a socket's events on to the core.
    void attach(ConnectionId connection, const std::shared_ptr<loop::Socket> &socket);
    /// Returns when the loop is to call again at the latest.
    Time end_of_moment();

    loop::Loop &loop_;
    std::string config_path_;
    std::string address_;
    bool tracing_;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    loop::Sockets<ConnectionId> sockets_;
    /// When the loop stops after the shutdown; 0 before.
    Time stops_at_ = 0;
};

} // namespace knotvane::http_gateway
