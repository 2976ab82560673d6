/// \file
/// The storage node program: a StorageNode on sockets, a store file and a planner's connection.
#pragma once

#include <memory>
#include <string>

#include "loop/loop.hpp"
#include "loop/outgoing_connection.hpp"
#include "loop/socket_map.hpp"
#include "node/planner_registration.hpp"
#include "node/settings.hpp"
#include "node/storage_node.hpp"

namespace knotvane::node {

/// One node. Lives on the thread of its loop.
class Server final : public Transport {
public:
    /// Opens the store and listens, by settings that were checked.
    /// @throws std::runtime_error if the address can't be listened on or the store can't be opened.
    Server(loop::Loop &loop, settings::File &file);
    /// Closes the store. If that fails, it is logged, and the next opening finds a store that may
    /// have lost something.
    ~Server() override;

    const std::string &address() const { return address_; }
    NodeId id() const { return id_; }
    ShardId shard() const { return shard_; }
    const Store &store() const { return *store_; }

    /// For use on the loop's thread; process_due has to follow.
    StorageNode &storage_node() { return *storage_node_; }
    /// Does what became due by calls from outside the loop's events.
    void process_due() { end_of_iteration(); }

    void send(ConnectionId connection, std::string bytes) override;
    void close(ConnectionId connection, bool reset) override;
    void listen(bool open) override;
    void log_event(std::string text) override;

private:
    void connect_planner(const Settings &settings);
    void start_registration();
    void accept(const std::shared_ptr<loop::Socket> &socket);
    Time end_of_iteration();

    loop::Loop &loop_;
    NodeId id_;
    ShardId shard_;
    std::string address_;
    std::unique_ptr<Medium> medium_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<StorageNode> storage_node_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::OutgoingConnection> planner_;
    std::unique_ptr<PlannerRegistration> registration_; // with a planner
    std::uint64_t last_connection_ = 0;
    loop::SocketMap<ConnectionId> connections_;
};

} // namespace knotvane::node
