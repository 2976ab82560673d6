#include "http_gateway/server.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"
#include "settings/ini.hpp"

namespace knotvane::http_gateway {
namespace {

CoreConfig core_config(const Config &config) {
    return {config.settings(),     config.names("Classes"), config.names("Contracts"),
            config.names("Zones"), config.seed(),           config.max_sockets(),
            config.max_memory()};
}

constexpr std::size_t bytes_per_kib = 1024;

/// Returns the process's resident memory in KiB; a dash if the system doesn't tell.
std::string resident_kib() {
    std::size_t bytes = 0;
    return uv_resident_set_memory(&bytes) == 0 ? std::to_string(bytes / bytes_per_kib) : "-";
}

} // namespace

Server::Server(loop::Loop &loop, std::string config_path, const Config &config,
               const SeededSchedulerFactory &scheduler_factory, bool tracing)
    : loop_(loop), config_path_(std::move(config_path)), tracing_(tracing) {
    core_ = std::make_unique<Core>(
        *this, [&](SchedulerActions &actions) { return scheduler_factory(actions, config.seed()); },
        core_config(config));
    auto error = core_->start(loop::now(), config.known_endpoints(), config.discovery_address());
    if (!error.empty())
        Server::log_event("known: " + error +
                          "; starting without this endpoint list, waiting for discovery's");
    listener_ = std::make_unique<loop::Listener>(
        loop_, config.listen_address(),
        [this](const std::shared_ptr<loop::Socket> &socket) { accept(socket); });
    address_ = listener_->address();
    loop_.set_before_wait_callback([this] { return end_moment(); });
}

Server::~Server() {
    loop_.set_before_wait_callback(nullptr);
}

void Server::accept(const std::shared_ptr<loop::Socket> &socket) {
    auto connection = core_->client_connected(loop::now());
    if (!connection)
        return socket->close();
    attach(*connection, socket);
    socket->start();
}

void Server::attach(ConnectionId connection, const std::shared_ptr<loop::Socket> &socket) {
    sockets_.add(connection, socket);
    socket->on_received = [this, connection](std::string_view bytes) {
        core_->received(loop::now(), connection, bytes);
    };
    socket->on_written = [this, connection](std::size_t bytes) {
        core_->sent(loop::now(), connection, bytes);
    };
    socket->on_disconnected = [this, connection](loop::DisconnectReason reason) {
        sockets_.remove(connection);
        core_->disconnected(loop::now(), connection,
                            reason == loop::DisconnectReason::end_of_stream
                                ? CloseReason::end_of_stream
                                : CloseReason::reset);
    };
}

void Server::connect(ConnectionId connection, const std::string &address) {
    auto socket = std::make_shared<loop::Socket>(loop_);
    attach(connection, socket);
    socket->connect(address, [this, connection](bool connected) {
        if (!sockets_.find(connection))
            return;
        if (connected)
            return core_->connected(loop::now(), connection);
        auto failed = sockets_.remove(connection);
        failed->close();
        core_->connect_failed(loop::now(), connection, failed->connect_attempted());
    });
}

void Server::close(ConnectionId connection) {
    // An orderly close would write the queued bytes first. A reset drops them.
    if (auto socket = sockets_.remove(connection))
        socket->close(socket->has_unflushed());
}

void Server::finish_sending(ConnectionId connection) {
    if (auto socket = sockets_.find(connection))
        socket->finish_sending();
}

void Server::set_reading_paused(ConnectionId connection, bool paused) {
    if (auto socket = sockets_.find(connection))
        socket->set_reading_paused(paused);
}

bool Server::peer_closed(ConnectionId connection) const {
    auto socket = sockets_.find(connection);
    return !socket || socket->peer_closed();
}

void Server::trace(const std::string &line) {
    log::write(log::info, "trace " + line);
}

void Server::log_event(const std::string &text) {
    log::write(log::warn, text);
}

void Server::stop() {
    log::write(log::info, "stopping");
    core_->stop(loop::now());
}

void Server::reload() {
    std::string error;
    auto text = settings::File::read_text(config_path_, error);
    try {
        if (!error.empty())
            throw scheduler_setup::MalformedInput(error);
        Config config(text);
        core_->set_discovery_address(loop::now(), config.discovery_address());
        log::write(log::info, "configuration reloaded",
                   {{"discovery", config.discovery_address()}});
    } catch (const scheduler_setup::MalformedInput &malformed) {
        log::write(log::error, "configuration can't be reloaded, keeping the previous one",
                   {{"fault", malformed.what()}});
    }
}

void Server::log_status() {
    constexpr Time interval = 10 * sec;
    const Time now = loop::now();
    const std::uint64_t list_count = core_->discovery().published_count();
    if (list_count == status_list_count_ && now < status_logged_at_ + interval)
        return;
    status_logged_at_ = now;
    status_list_count_ = list_count;
    const RequestCounts &counts = core_->request_counts();
    const ClientCounts &clients = core_->clients().counts();
    log::write(
        log::info, "status",
        {{"memory_kib", resident_kib()},
         {"list_generation", std::to_string(core_->discovery().generation())},
         {"nodes_listed", std::to_string(core_->listed_node_count())},
         {"nodes_kept", std::to_string(core_->scheduler().node_count())},
         {"clients", std::to_string(core_->clients().count())},
         {"client_memory_kib", std::to_string(core_->clients().memory_bytes() / bytes_per_kib)},
         {"node_connections", std::to_string(core_->pool().connection_count())},
         {"response_memory_kib",
          std::to_string(core_->pool().response_memory_bytes() / bytes_per_kib)},
         {"responses_ended_for_memory", std::to_string(core_->pool().responses_ended_for_memory())},
         {"attempts_in_flight", std::to_string(core_->pool().attempts_in_flight())},
         {"requests_open", std::to_string(core_->request_count())},
         {"received", std::to_string(counts.received)},
         {"answered", std::to_string(counts.answered)},
         {"rejected", std::to_string(counts.rejected)},
         {"failed", std::to_string(counts.failed)},
         {"canceled", std::to_string(counts.canceled)},
         {"health_checks", std::to_string(clients.health_checks)},
         {"invalid", std::to_string(clients.invalid)},
         {"evicted", std::to_string(clients.evicted)},
         {"refused_for_memory", std::to_string(clients.refused_for_memory)},
         {"closed_for_memory", std::to_string(clients.closed_for_memory)},
         {"pipelined_discarded", std::to_string(clients.pipelined_discarded)}});
}

Time Server::end_moment() {
    // Writing may let the core send more, which is written in the same moment. A few rounds are
    // enough.
    constexpr int max_rounds = 4;
    for (int round = 0; round < max_rounds; ++round) {
        core_->settle(loop::now());
        if (!sockets_.has_unflushed())
            break;
        sockets_.flush();
    }
    log_status();
    if (!core_->stopped())
        return core_->next_due();

    // Leaves some time in which the last responses are written.
    constexpr Time flush_time = 100 * ms;
    if (stop_loop_at_ == 0)
        stop_loop_at_ = loop::now() + flush_time;
    if (loop::now() >= stop_loop_at_)
        loop_.stop();
    return std::min(stop_loop_at_, core_->next_due());
}

} // namespace knotvane::http_gateway
