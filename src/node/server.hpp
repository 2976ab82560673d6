/// \file
/// The server of the storage node program: runs a StorageNode with sockets, a store file and a
/// connection to the planner.
#pragma once

#include <memory>
#include <string>

#include "loop/listener.hpp"
#include "loop/loop.hpp"
#include "loop/outgoing_connection.hpp"
#include "loop/socket.hpp"
#include "loop/socket_map.hpp"
#include "node/planner_registration.hpp"
#include "node/settings.hpp"
#include "node/storage_node.hpp"

namespace knotvane::node {

/// One storage node. To be used only on the thread of its event loop.
class Server final : public Transport {
public:
    /// Opens the store and begins to listen. `file` must hold settings that were checked.
    /// @throws std::runtime_error if the server can't listen on the address or can't open the
    /// store.
    Server(loop::Loop &loop, settings::File &file);
    /// Closes the store. A failure is logged; the store may then have lost data when it is opened
    /// again.
    ~Server() override;

    const std::string &address() const { return address_; }
    NodeId id() const { return id_; }
    ShardId shard() const { return shard_; }
    const Store &store() const { return *store_; }

    /// For use on the loop's thread. After the calls on it, call process_due.
    StorageNode &storage_node() { return *storage_node_; }
    /// Does the work that became due through calls made outside the loop's events.
    void process_due() { process_due_and_flush(); }

    void send(ConnectionId connection, std::string bytes) override;
    void close(ConnectionId connection, bool reset) override;
    void listen(bool open) override;
    void log_event(std::string text) override;

private:
    void connect_planner(const Settings &settings);
    void start_registration();
    void accept(const std::shared_ptr<loop::Socket> &socket);
    Time process_due_and_flush();

    loop::Loop &loop_;
    NodeId id_;
    ShardId shard_;
    std::string address_;
    std::unique_ptr<Medium> medium_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<StorageNode> storage_node_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::OutgoingConnection> planner_;
    std::unique_ptr<PlannerRegistration> registration_; // null without a planner
    std::uint64_t last_connection_ = 0;
    loop::SocketMap<ConnectionId> connections_;
};

} // namespace knotvane::node
