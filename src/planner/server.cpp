#include "planner/server.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <stdexcept>

#include <unistd.h>

#include "log/log.hpp"

namespace knotvane::planner {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
// The fleet file is read once it has not changed for this long, so that a file that is still being
// written is not read.
constexpr Time fleet_file_quiet_time = 100 * ms;

// Differs between processes: combines the start time in nanoseconds, the process id and the seed.
std::uint64_t new_instance(Time now, std::uint64_t seed) {
    constexpr std::uint64_t factor = 1'000'003;
    return static_cast<std::uint64_t>(now) * factor + static_cast<std::uint64_t>(::getpid()) + seed;
}

} // namespace

Server::Server(loop::Loop &loop, settings::File &file, StoreMode store_mode)
    : loop_(loop), read_fleet_at_(never) {
    const auto settings = read_planner_settings(file);
    fleet_path_ = settings.fleet_path;
    open_store(settings, store_mode);
    start_core(settings, store_mode);
    watch_ = std::make_unique<loop::FileWatcher>(
        loop_, fleet_path_, [this] { read_fleet_at_ = loop::now() + fleet_file_quiet_time; });
    listen(settings.listen_address);
    loop_.set_before_wait_callback([this] { return settle_moment(); });
    log::write(log::info, "planner is listening",
               {{"address", address()},
                {"term", std::to_string(core_->term().value)},
                {"version", std::to_string(core_->version().value)}});
}

Server::~Server() {
    loop_.set_before_wait_callback(nullptr);
}

void Server::open_store(const PlannerSettings &settings, StoreMode store_mode) {
    const auto &path = settings.store_path;
    if (store_mode == StoreMode::rebuild) {
        const auto aside = path + ".aside";
        if (std::rename(path.c_str(), aside.c_str()) == 0)
            log_event("moved the old store " + path + " to " + aside);
        std::remove((path + "-journal").c_str());
    }
    store_ = std::make_unique<SqliteStateStore>(path);
    // Guards against a store that went missing: if this were treated as a first start, the planner
    // would grant quota shares that edges still hold.
    if (store_mode == StoreMode::existing && store_->is_new())
        throw std::runtime_error(
            "planner's store " + path +
            ": no store found; expected an existing store, --new if no planner "
            "ever ran for this fleet, or --rebuild if the store was lost");
    if (store_mode == StoreMode::create && !store_->is_new())
        throw std::runtime_error(
            "planner's store " + path +
            ": a store exists already, but --new expects none; start without --new");
}

void Server::start_core(const PlannerSettings &settings, StoreMode store_mode) {
    const auto where = "planner's store " + settings.store_path + ": ";
    core_ = std::make_unique<Core>(*this, *store_, settings.config);
    store_->rows([&](StateStore::Row row, std::uint64_t first_id, std::uint64_t second_id,
                     Version stamp, std::string_view body) {
        if (auto fault = core_->restore(row, first_id, second_id, stamp, body); !fault.empty())
            throw std::runtime_error(where + fault);
    });
    const auto now = loop::now();
    const bool is_new = store_->is_new();
    PlannerStart start;
    start.position = store_->position();
    start.instance = new_instance(now, settings.seed);
    start.rebuilt = store_mode == StoreMode::rebuild;
    start.position.term = Term{start.position.term.value + 1};
    if (is_new)
        start.position.lineage = start.instance;
    if (!core_->start(now, start))
        throw std::runtime_error(where + store_->fault());
    read_fleet_file();
    if (is_new && core_->settings_version() == 0)
        throw std::runtime_error(last_fault_);
}

void Server::listen(const std::string &address) {
    listener_ = std::make_unique<loop::Listener>(
        loop_, address, [this](const std::shared_ptr<loop::Socket> &socket) { accept(socket); });
}

void Server::accept(const std::shared_ptr<loop::Socket> &socket) {
    const SessionId id{++last_session_};
    sessions_.add(id, socket);
    socket->on_received = [this, id](std::string_view bytes) {
        core_->received(loop::now(), id, bytes);
    };
    socket->on_disconnected = [this, id](loop::DisconnectReason) {
        sessions_.remove(id);
        core_->disconnected(loop::now(), id);
    };
    socket->start();
    core_->connected(loop::now(), id);
}

std::vector<std::string> Server::apply_fleet_file(std::string &text) {
    std::string fault;
    text = settings::File::read_text(fleet_path_, fault);
    if (!fault.empty())
        return {fault};
    if (text == fleet_text_)
        return {};
    std::vector<std::string> faults;
    const auto desired = read_fleet(fleet_path_, text, faults);
    if (!faults.empty())
        return faults;
    for (const auto &[line, what] : core_->apply_desired_state(loop::now(), desired))
        faults.push_back(fleet_path_ + ":" + std::to_string(line) + ": " + what);
    return faults;
}

// The file is read only when it was written, so each rejection is logged once. Settings that are
// rejected now may be valid later (for example, once a node is no longer in use), so a rejected
// file is checked again when it is written again, even with the same text.
void Server::read_fleet_file() {
    std::string text;
    const auto faults = apply_fleet_file(text);
    if (!faults.empty())
        last_fault_ = faults.back();
    for (const auto &fault : faults)
        log::write(log::error, "fleet settings rejected; keeping the previous settings",
                   {{"fault", fault}});
    fleet_text_ = faults.empty() ? text : std::string();
}

Time Server::settle_moment() {
    const auto now = loop::now();
    if (now >= read_fleet_at_) {
        read_fleet_at_ = never;
        read_fleet_file();
    }
    core_->settle(now);
    sessions_.flush();
    return std::min(read_fleet_at_, core_->next_due());
}

void Server::send(SessionId id, std::string bytes) {
    sessions_.send(id, std::move(bytes));
}

void Server::close(SessionId id) {
    auto socket = sessions_.remove(id);
    if (!socket)
        return;
    socket->close_when_sent();
    // Deferred: close may be called while the core is processing bytes received by this session.
    loop_.post([this, id] { core_->disconnected(loop::now(), id); });
}

void Server::log_event(std::string text) {
    log::write(log::warn, text, {{"part", "planner"}});
}

void Server::retired() {
    if (on_retired)
        on_retired();
}

} // namespace knotvane::planner
