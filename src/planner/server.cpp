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
// A file that is being written is left alone until it has been still for this long.
constexpr Time still_for = 100 * ms;
} // namespace

Server::Server(loop::Loop &loop, settings::File &file, From from) : loop_(loop), read_at_(never) {
    std::string listen, path;
    std::uint64_t seed = 0;
    read_own(
        file,
        [&](std::string at, std::string store, std::string fleet, std::uint64_t s) {
            listen = at, path = store, fleet_path_ = fleet, seed = s;
        },
        [&](Time lease, Time margin, Time fade, Time silent, Time out, Time back, Time drain) {
            if (from == From::rebuild) {
                auto aside = path + ".aside";
                if (std::rename(path.c_str(), aside.c_str()) == 0)
                    log_event("store put aside as " + aside);
                std::remove((path + "-journal").c_str());
            }
            store_ = std::make_unique<SqliteStateStore>(path);
            // Guards against a store that went missing: taken for a first start, its planner would
            // give out anew what edges still have.
            if (from == From::store && store_->is_new())
                throw std::runtime_error(
                    "planner's store " + path +
                    ": there is none. Expected a store, or --new where "
                    "no planner ever ran, or --rebuild where its store is lost");
            if (from == From::first && !store_->is_new())
                throw std::runtime_error("planner's store " + path +
                                         ": it is there, and --new says that none was");
            core_ = std::make_unique<Core>(*this, *store_, lease, margin, fade, silent, out, back,
                                           drain);
        });
    store_->rows([&](StateStore::Row row, std::uint64_t a, std::uint64_t b, Version stamp,
                     std::string_view body) {
        if (auto fault = core_->restore(row, a, b, stamp, body); !fault.empty())
            throw std::runtime_error("planner's store " + path + ": " + fault);
    });
    auto now = loop::now();
    // Another for each process: its start, to the nanosecond, and its number.
    auto instance =
        static_cast<std::uint64_t>(now) * 1'000'003 + static_cast<std::uint64_t>(::getpid()) + seed;
    bool fresh = store_->is_new();
    if (!core_->start(now, Term{store_->term().value + 1}, instance,
                      fresh ? instance : store_->lineage(), store_->version(), store_->oldest(),
                      store_->settings(), from == From::rebuild))
        throw std::runtime_error("planner's store " + path + ": " + store_->fault());
    read_fleet_file();
    if (fresh && core_->settings() == 0)
        throw std::runtime_error(last_fault_);
    watch_ = std::make_unique<loop::Watch>(loop_, fleet_path_,
                                           [this] { read_at_ = loop::now() + still_for; });
    listener_ =
        std::make_unique<loop::Listener>(loop_, listen, [this](std::shared_ptr<loop::Socket> s) {
            SessionId id{++next_session_};
            sessions_.add(id, s);
            s->on_bytes = [this, id](std::string_view in) { core_->received(loop::now(), id, in); };
            s->on_gone = [this, id](loop::Gone) {
                sessions_.remove(id);
                core_->disconnected(loop::now(), id);
            };
            s->start();
            core_->connected(loop::now(), id);
        });
    loop_.at_end([this] { return end_of_moment(); });
    log::line(log::info, "planner serves",
              {{"address", address()},
               {"term", std::to_string(core_->term().value)},
               {"version", std::to_string(core_->version().value)}});
}
Server::~Server() {
    loop_.at_end(nullptr);
}

void Server::read_fleet_file() {
    std::string fault;
    auto text = settings::File::slurp(fleet_path_, fault);
    if (fault.empty() && text == last_text_)
        return;
    std::vector<std::string> faults;
    if (!fault.empty())
        faults.push_back(fault);
    DesiredState desired;
    if (faults.empty())
        desired = read_fleet(fleet_path_, text, faults);
    if (faults.empty()) {
        std::vector<std::pair<int, std::string>> refused;
        core_->apply_desired_state(loop::now(), desired, refused);
        for (auto &[line, what] : refused)
            faults.push_back(fleet_path_ + ":" + std::to_string(line) + ": " + what);
    }
    // Each rejection is reported once, not at every look at the same file. What a file may not do
    // now it may do later (a node that is still in use), so a refused one is looked at again when
    // it is written again.
    for (auto &f : faults)
        last_fault_ = f;
    for (auto &f : faults)
        log::line(log::error, "settings refused, the last ones stay whole", {{"fault", f}});
    last_text_ = faults.empty() ? text : std::string();
}

Time Server::end_of_moment() {
    auto now = loop::now();
    if (now >= read_at_) {
        read_at_ = never;
        read_fleet_file();
    }
    core_->settle(now);
    sessions_.flush();
    return std::min(read_at_, core_->next_due());
}

void Server::send(SessionId id, std::string bytes) {
    sessions_.send(id, std::move(bytes));
}
void Server::close(SessionId id) {
    auto s = sessions_.remove(id);
    if (!s)
        return;
    s->close_when_sent();
    // Told later: this may come in the middle of the side's own bytes.
    loop_.post([this, id] { core_->disconnected(loop::now(), id); });
}
void Server::log_event(std::string text) {
    log::line(log::warn, text, {{"part", "planner"}});
}
void Server::retired() {
    if (on_retired)
        on_retired();
}

} // namespace knotvane::planner
