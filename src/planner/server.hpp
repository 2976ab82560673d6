/// \file
/// The planner's I/O: passes received bytes, the time and files to the core, which makes all
/// decisions.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "loop/file_watcher.hpp"
#include "loop/listener.hpp"
#include "loop/loop.hpp"
#include "loop/socket.hpp"
#include "loop/socket_map.hpp"
#include "planner/core.hpp"
#include "planner/desired_state_files.hpp"
#include "planner/sqlite_state_store.hpp"
#include "settings/ini.hpp"

namespace knotvane::planner {

/// A listening planner with its store and a watcher on the fleet file.
class Server final : public PlannerTransport {
public:
    /// Which store the planner expects at its start.
    enum class StoreMode {
        existing, ///< an existing store
        create,   ///< none: no planner ever ran for this fleet, and a store is created
        rebuild,  ///< a lost or damaged one: the file is renamed, and a new store is created and
                  ///< filled from the settings and the edges
    };

    /// \param file  the planner's settings, already validated
    /// \throws StateStoreInUse     another planner has the store open
    /// \throws std::runtime_error  the store can't be used, or the address can't be listened on
    Server(loop::Loop &loop, settings::File &file, StoreMode store_mode);
    ~Server() override;
    const std::string &address() const { return listener_->address(); }
    Core &core() { return *core_; }

    /// Called once, when this planner retires because edges follow another planner.
    std::function<void()> on_retired;

    void send(SessionId id, std::string bytes) override;
    void close(SessionId id) override;
    void log_event(std::string text) override;
    void retired() override;

private:
    void open_store(const PlannerSettings &settings, StoreMode store_mode);
    void start_core(const PlannerSettings &settings, StoreMode store_mode);
    void listen(const std::string &address);
    void accept(const std::shared_ptr<loop::Socket> &socket);
    void read_fleet_file();
    std::vector<std::string> apply_fleet_file(std::string &text);
    Time settle_moment();

    loop::Loop &loop_;
    std::string fleet_path_;
    std::string fleet_text_; // of the fleet file as applied last; empty after a rejection
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
