#include "http_gateway/server.hpp"

#include <algorithm>

#include "log/log.hpp"
#include "settings/ini.hpp"

namespace knotvane::http_gateway {

Server::Server(
    loop::Loop &loop, std::string path, const Config &config,
    const std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t)> &scheduler,
    bool traces)
    : loop_(loop), path_(std::move(path)), traces_(traces) {
    core_ = std::make_unique<Core>(
        *this, [&](SchedulerActions &a) { return scheduler(a, config.seed()); }, config.settings(),
        config.names("Classes"), config.names("Contracts"), config.names("Zones"), config.seed(),
        config.sockets());
    if (auto fault = core_->start(loop::now(), config.known(), config.discovery()); !fault.empty())
        say("known: " + fault);
    listener_ = std::make_unique<loop::Listener>(loop_, config.listen(),
                                                 [this](std::shared_ptr<loop::Socket> s) {
                                                     auto conn = core_->client_came(loop::now());
                                                     if (!conn)
                                                         return s->close();
                                                     carry(*conn, s);
                                                     s->start();
                                                 });
    address_ = listener_->address();
    loop_.at_end([this] { return end_of_moment(); });
}
Server::~Server() {
    loop_.at_end(nullptr);
}

void Server::carry(ConnId conn, const std::shared_ptr<loop::Socket> &s) {
    sockets_.add(conn, s);
    s->on_bytes = [this, conn](std::string_view in) { core_->bytes(loop::now(), conn, in); };
    s->on_written = [this, conn](std::size_t n) { core_->written(loop::now(), conn, n); };
    s->on_gone = [this, conn](loop::Gone how) {
        sockets_.remove(conn);
        core_->gone(loop::now(), conn, how == loop::Gone::ended ? Gone::ended : Gone::broken);
    };
}
void Server::connect(ConnId conn, const std::string &address) {
    auto s = std::make_shared<loop::Socket>(loop_);
    carry(conn, s);
    s->connect(address, [this, conn](bool well) {
        if (!sockets_.find(conn))
            return;
        if (well)
            return core_->up(loop::now(), conn);
        auto failed = sockets_.remove(conn);
        failed->close();
        core_->failed(loop::now(), conn, failed->tried());
    });
}
void Server::close(ConnId conn) {
    // What was gathered and is not wanted any more must not leave.
    if (auto s = sockets_.remove(conn))
        s->close(s->has_pending());
}
void Server::shut(ConnId conn) {
    if (auto s = sockets_.find(conn))
        s->shut();
}
void Server::trace(std::string line) {
    log::line(log::info, "trace " + line);
}
void Server::say(std::string text) {
    log::line(log::warn, text);
}

void Server::stop() {
    log::line(log::info, "stopping");
    core_->stop(loop::now());
}
void Server::reload() {
    std::string fault;
    auto text = settings::File::slurp(path_, fault);
    try {
        if (!fault.empty())
            throw scheduler_setup::MalformedInput(fault);
        Config config(text);
        core_->discovery_at(loop::now(), config.discovery());
        log::line(log::info, "configuration read again", {{"discovery", config.discovery()}});
    } catch (const scheduler_setup::MalformedInput &e) {
        log::line(log::error, "configuration refused, the last one stays", {{"fault", e.what()}});
    }
}

Time Server::end_of_moment() {
    // What was written makes room for more, which is sent in the same moment; a few rounds do.
    for (int round = 0; round < 4; ++round) {
        core_->settle(loop::now());
        if (!sockets_.has_out())
            break;
        sockets_.flush();
    }
    if (!core_->over())
        return core_->next_due();
    // The last answers are still to leave.
    constexpr Time leave = 100 * ms;
    if (ends_ == 0)
        ends_ = loop::now() + leave;
    if (loop::now() >= ends_)
        loop_.stop();
    return std::min(ends_, core_->next_due());
}

} // namespace knotvane::http_gateway
