/// \file
/// Maps ids of connections to their sockets.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "loop/socket.hpp"

namespace knotvane::loop {

/// The sockets of a server, by the id under which its core knows each connection. Sent bytes are
/// written by flush, at the end of a moment. A socket is removed before it is closed, so that none
/// of its callbacks reaches the core afterwards.
template <class ConnectionId>
class SocketMap {
public:
    /// Resets all connections.
    ~SocketMap() {
        for (auto &[id, socket] : sockets_)
            socket->close(true);
    }
    void add(ConnectionId id, const std::shared_ptr<Socket> &socket) { sockets_[id] = socket; }
    /// Returns null for an unknown id.
    std::shared_ptr<Socket> find(ConnectionId id) const {
        auto it = sockets_.find(id);
        return it == sockets_.end() ? nullptr : it->second;
    }
    /// Removes the socket without closing it and returns it; null for an unknown id.
    std::shared_ptr<Socket> remove(ConnectionId id) {
        auto socket = find(id);
        sockets_.erase(id);
        return socket;
    }
    /// Queues bytes until flush; ignored for an unknown id.
    void send(ConnectionId id, std::string bytes) {
        if (auto socket = find(id))
            socket->send(std::move(bytes)), unflushed_.insert(id);
    }
    bool has_unflushed() const { return !unflushed_.empty(); }
    /// Writes the queued bytes of all sockets.
    void flush() {
        for (auto id : std::exchange(unflushed_, {}))
            if (auto socket = find(id))
                socket->flush();
    }

private:
    std::map<ConnectionId, std::shared_ptr<Socket>> sockets_;
    std::set<ConnectionId> unflushed_; // ids with queued bytes
};

} // namespace knotvane::loop
