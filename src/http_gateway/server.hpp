// The front on sockets: the core's shell. It carries bytes, time and calls, and decides nothing.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http_gateway/config.hpp"
#include "http_gateway/core.hpp"
#include "loop/loop.hpp"
#include "loop/sockets.hpp"

namespace knotvane::http_gateway {

class Server final : public Transport {
public:
    // `path`: where the configuration is, for when it is told to read it again. Throws
    // std::runtime_error where the address can't be listened on, scheduler_setup::MalformedInput on
    // settings that are wrong.
    Server(loop::Loop &loop, std::string path, const Config &config,
           const std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t seed)>
               &scheduler,
           bool traces);
    ~Server() override;
    // Ends the loop once nothing is open.
    void stop();
    // Reads the configuration again; one with a fault changes nothing.
    void reload();
    const std::string &address() const { return address_; }

    void connect(ConnId conn, const std::string &address) override;
    void send(ConnId conn, std::string bytes) override { sockets_.send(conn, std::move(bytes)); }
    void close(ConnId conn) override;
    void shut(ConnId conn) override;
    void say(std::string text) override;
    void trace(std::string line) override;
    bool traces() const override { return traces_; }

private:
    void carry(ConnId conn, const std::shared_ptr<loop::Socket> &socket);
    Time end_of_moment();
    loop::Loop &loop_;
    std::string path_, address_;
    bool traces_;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    loop::Sockets<ConnId> sockets_;
    Time ends_ = 0; // when the loop stops, once nothing is open
};

} // namespace knotvane::http_gateway
