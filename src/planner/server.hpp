// The planner on sockets: the core's shell. It carries bytes, time and files, and decides nothing.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "loop/loop.hpp"
#include "loop/sockets.hpp"
#include "planner/core.hpp"
#include "planner/desired_state_files.hpp"
#include "planner/sqlite_state_store.hpp"
#include "settings/ini.hpp"

namespace knotvane::planner {

class Server final : public PlannerTransport {
public:
    // `first`: there is no store yet, and never was. `rebuild`: the store is lost or damaged; it is
    // put aside and a new one made, which settings and edges fill.
    enum class From { store, first, rebuild };
    // Sets up from settings that were checked. Throws std::runtime_error: the store can't be used,
    // or nothing can be listened on.
    Server(loop::Loop &loop, settings::File &file, From from);
    ~Server() override;
    const std::string &address() const { return listener_->address(); }
    Core &core() { return *core_; }
    // Called once when another planner is followed.
    std::function<void()> on_retired;

    void send(SessionId session, std::string bytes) override;
    void close(SessionId session) override;
    void log_event(std::string text) override;
    void retired() override;

private:
    void read_fleet_file();
    Time end_of_moment();
    loop::Loop &loop_;
    std::string fleet_path_, last_text_, last_fault_;
    Time read_at_;
    std::unique_ptr<SqliteStateStore> store_;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::Watch> watch_;
    std::uint64_t next_session_ = 0;
    loop::Sockets<SessionId> sessions_;
};

} // namespace knotvane::planner
