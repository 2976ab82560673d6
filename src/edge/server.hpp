// An edge on sockets: the core's shell. It carries bytes, time and calls, and decides nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "edge/core.hpp"
#include "edge/nodelist.hpp"
#include "loop/loop.hpp"
#include "settings/ini.hpp"

namespace knotvane::edge {

class Server final : public Shell {
  public:
    // Sets up from settings that were checked; `scheduler` makes the decisions. Throws std::runtime_error where
    // the address can't be listened on.
    Server(loop::Loop &loop, settings::File &file, const std::function<std::unique_ptr<Scheduler>(
                                                       Actions &, std::uint64_t seed)> &scheduler);
    ~Server() override;
    const std::string &address() const { return listener_->address(); }
    Core &core() { return *core_; }
    // The list of nodes as it stands in the file; a list with faults or an old version changes nothing.
    void read_list();
    // Told after each list that was taken.
    std::function<void(const NodeList &)> on_list;

    void connect(LinkId link, const std::string &address) override;
    void send(LinkId link, std::string bytes) override;
    void close(LinkId link) override;
    void send_client(ClientId client, std::string bytes) override;
    void close_client(ClientId client) override;
    void hold_client(ClientId client, bool hold) override;
    void say(std::string text) override;
    void shot_ended(TaskId task, NodeId node, Outcome how, Time took) override;

  private:
    Time end_of_moment();
    loop::Loop &loop_;
    std::string nodes_path_, last_faults_;
    std::uint64_t id_ = 0, next_client_ = 0;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::Watch> watch_;
    std::map<ClientId, std::shared_ptr<loop::Socket>> clients_;
    std::map<LinkId, std::shared_ptr<loop::Socket>> links_;
    std::set<ClientId> client_out_;
    std::set<LinkId> link_out_;
};

} // namespace knotvane::edge
