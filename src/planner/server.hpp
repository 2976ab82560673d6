/// \file
/// The planner on sockets: it carries bytes, time and files to the core, and decides nothing.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "loop/loop.hpp"
#include "loop/socket_map.hpp"
#include "planner/core.hpp"
#include "planner/desired_state_files.hpp"
#include "planner/sqlite_state_store.hpp"
#include "settings/ini.hpp"

namespace knotvane::planner {

/// A planner that listens, with its store and the watch on the fleet's file.
class Server final : public PlannerTransport {
public:
    /// What the planner starts from.
    enum class From {
        store,   ///< its store
        first,   ///< there is no store yet, and never was
        rebuild, ///< the store is lost or damaged: it is put aside, and a new one is made, which
                 ///< settings and edges fill
    };

    /// \param file  settings that were checked
    /// \throws StateStoreInUse     another planner has the store
    /// \throws std::runtime_error  the store can't be used, or nothing can be listened on
    Server(loop::Loop &loop, settings::File &file, From from);
    ~Server() override;
    const std::string &address() const { return listener_->address(); }
    Core &core() { return *core_; }

    /// Called once when another planner is followed.
    std::function<void()> on_retired;

    void send(SessionId id, std::string bytes) override;
    void close(SessionId id) override;
    void log_event(std::string text) override;
    void retired() override;

private:
    void open_store(const PlannerSettings &settings, From from);
    void start_core(const PlannerSettings &settings, From from);
    void listen(const std::string &address);
    void accept(const std::shared_ptr<loop::Socket> &socket);
    void read_fleet_file();
    std::vector<std::string> apply_fleet_file(std::string &text);
    Time end_of_moment();

    loop::Loop &loop_;
    std::string fleet_path_;
    std::string fleet_text_; // that was applied last
    std::string last_fault_;
    Time read_fleet_at_;
    std::unique_ptr<SqliteStateStore> store_;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::FileWatcher> watch_;
    std::uint64_t last_session_ = 0;
    loop::SocketMap<SessionId> sessions_;
};

} // namespace knotvane::planner
