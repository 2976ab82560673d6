#include "node/server.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace knotvane::node {
namespace {

// A quarter of the planner's default `node_silent` (2 s), so that three renewals may be lost before
// the planner takes the node as silent.
constexpr Time renewal_interval = 500 * ms;

// The store's results are cast to those of the control protocol, so their values have to agree.
template <class Result>
constexpr int number(Result result) {
    return static_cast<int>(result);
}
static_assert(number(store::SnapshotResult::created) == number(control::SnapshotResult::done));
static_assert(number(store::SnapshotResult::already_exists) ==
              number(control::SnapshotResult::already_done));
static_assert(number(store::SnapshotResult::id_taken) == number(control::SnapshotResult::id_taken));
static_assert(number(store::SnapshotResult::no_space) == number(control::SnapshotResult::no_space));
static_assert(number(store::SnapshotResult::medium_failed) ==
              number(control::SnapshotResult::failed));

} // namespace

Server::Server(loop::Loop &loop, settings::File &file) : loop_(loop) {
    Settings settings = read_settings(file);
    id_ = settings.id;
    shard_ = settings.shard;
    address_ = settings.listen_address;
    medium_ = store::file_medium(settings.store_path, settings.sync);
    store_ = std::make_unique<Store>(*medium_);
    storage_node_ = std::make_unique<StorageNode>(id_, shard_, *store_, *this, settings.random_seed,
                                                  loop::now() - settings.age);
    storage_node_->set_service_model(settings.service);
    storage_node_->set_slow_start(settings.slow_start);
    storage_node_->set_pauses(settings.pauses);
    storage_node_->set_deferred_work(settings.deferred_work);
    listen(true);
    if (!settings.planner_address.empty())
        connect_planner(settings);
    loop_.set_before_wait_callback([this] { return process_due_and_flush(); });
}

Server::~Server() {
    loop_.set_before_wait_callback(nullptr);
    try {
        store_->close();
    } catch (const std::exception &error) {
        log_event(error.what());
    }
}

void Server::connect_planner(const Settings &settings) {
    planner_ = std::make_unique<loop::OutgoingConnection>(loop_, settings.planner_address);
    registration_ = std::make_unique<PlannerRegistration>(
        PlannerRegistration::Actions{
            [this] { planner_->connect(); }, [this] { planner_->disconnect(); },
            [this](std::string bytes) { planner_->send(std::move(bytes)); },
            [this](std::string text) { log_event(std::move(text)); },
            [this](VolumeId source, VolumeId snapshot, std::uint32_t epoch,
                   const std::vector<control::EdgeIncarnation> &late_writers) {
                return static_cast<control::SnapshotResult>(storage_node_->open_snapshot(
                    source, snapshot, epoch, {late_writers.begin(), late_writers.end()}));
            },
            [this](VolumeId source, VolumeId snapshot) {
                return storage_node_->seal_snapshot(source, snapshot);
            },
            [this](VolumeId snapshot) { return storage_node_->drop_snapshot(snapshot); },
            [this](VolumeId source, VolumeId copy) {
                return static_cast<control::SnapshotResult>(storage_node_->clone(source, copy));
            },
            [this](VolumeId first, VolumeId second) { return store_->diff(first, second); }},
        PlannerRegistrationConfig{id_, shard_, settings.zone, address_,
                                  settings.random_seed + id_.value, renewal_interval});
    planner_->on_connected = [this] { registration_->connected(loop::now()); };
    planner_->on_disconnected = [this] { registration_->disconnected(loop::now()); };
    planner_->on_received = [this](std::string_view bytes) {
        registration_->received(loop::now(), bytes);
    };
    start_registration();
}

void Server::start_registration() {
    Time started_at = storage_node_->started_at();
    // The start time in nanoseconds differs between any two starts, so it serves as the
    // incarnation.
    registration_->start(loop::now(), static_cast<std::uint64_t>(started_at), started_at);
}

void Server::listen(bool open) {
    if (!open) {
        listener_.reset();
        if (registration_)
            registration_->stop(loop::now());
        return;
    }
    if (listener_)
        return;
    if (registration_)
        start_registration();
    listener_ = std::make_unique<loop::Listener>(
        loop_, address_, [this](const std::shared_ptr<loop::Socket> &socket) { accept(socket); });
    address_ = listener_->address(); // keeps a port chosen by the system for later restarts
}

void Server::accept(const std::shared_ptr<loop::Socket> &socket) {
    ConnectionId connection{++last_connection_};
    connections_.add(connection, socket);
    socket->on_received = [this, connection](std::string_view bytes) {
        storage_node_->received(loop::now(), connection, bytes);
    };
    socket->on_disconnected = [this, connection](loop::DisconnectReason) {
        connections_.remove(connection);
        storage_node_->disconnected(connection);
    };
    socket->start();
    storage_node_->connected(loop::now(), connection);
}

void Server::send(ConnectionId connection, std::string bytes) {
    connections_.send(connection, std::move(bytes));
}

void Server::close(ConnectionId connection, bool reset) {
    auto socket = connections_.remove(connection);
    if (!socket)
        return;
    if (reset)
        socket->close(true);
    else
        socket->close_when_sent();
}

void Server::log_event(std::string text) {
    log::write(log::warn, text, {{"node", std::to_string(id_.value)}});
}

Time Server::process_due_and_flush() {
    storage_node_->tick(loop::now());
    if (registration_) {
        registration_->tick(loop::now());
        planner_->flush();
    }
    connections_.flush();
    return registration_ ? std::min(storage_node_->next_due(), registration_->next_due())
                         : storage_node_->next_due();
}

} // namespace knotvane::node
