#include "relay/relay.hpp"

#include <deque>
#include <utility>

namespace knotvane::relay {
namespace {
// While more bytes than this are unsent to one side, the other side is not read, so that
// back-pressure works across the relay.
constexpr std::size_t max_unsent_bytes = 1 << 20;
} // namespace

struct Relay::Route {
    std::uint64_t edge;
    NodeId node; // 0: connections of clients
    std::string address;
    std::unique_ptr<loop::Listener> listener;
};

struct Relay::Connection {
    Relay &relay;
    std::uint64_t id, edge;
    NodeId node;
    // sockets[0] is the side that connected, sockets[1] the side that it is forwarded to. The edge
    // is side 0 of a connection to a node, and side 1 of a client's connection.
    std::shared_ptr<loop::Socket> sockets[2];
    std::size_t unsent_bytes[2] = {0, 0};         // by the side that they are sent to
    std::deque<std::pair<int, std::string>> held; // destination side and bytes
    Time hold_until = 0, split_until = 0, swallow_until = 0;
    int closed_side = -1; // the side that closed while bytes were held; -1: none
    bool is_connected = false;

    int edge_side() const { return node == NodeId{0} ? 1 : 0; }
    void forward(int to, std::string bytes) {
        if (!sockets[to])
            return;
        // Times are those at the edge: bytes to the edge are recorded here, when they are
        // forwarded, and bytes from the edge in receive(), when they arrive.
        if (to == edge_side())
            relay.put_record(record::Kind::bytes, id, 0, 0, bytes);
        unsent_bytes[to] += bytes.size();
        if (loop::now() < split_until) {
            for (std::size_t at = 0; at < bytes.size(); at += 7) {
                sockets[to]->send(bytes.substr(at, 7));
                sockets[to]->flush();
            }
        } else {
            sockets[to]->send(std::move(bytes));
            sockets[to]->flush();
        }
        if (sockets[1 - to] && sockets[to])
            sockets[1 - to]->set_reading_paused(unsent_bytes[to] > max_unsent_bytes);
    }
    void receive(int from, std::string_view bytes) {
        if (from == edge_side())
            relay.put_record(record::Kind::bytes, id, 1, 0, bytes);
        if (loop::now() < swallow_until)
            return;
        if (loop::now() < hold_until || !held.empty() || !is_connected)
            held.emplace_back(1 - from, std::string(bytes));
        else
            forward(1 - from, std::string(bytes));
    }
    // Resets the connection once its period of discarding traffic is over. If no hold is in effect,
    // forwards the held bytes and completes a close that waited for them.
    void update() {
        if (swallow_until > 0 && loop::now() >= swallow_until)
            return end(-1, true);
        if (!is_connected || loop::now() < hold_until)
            return;
        while (!held.empty()) {
            auto [to, bytes] = std::move(held.front());
            held.pop_front();
            forward(to, std::move(bytes));
        }
        if (closed_side >= 0)
            end(closed_side, false);
    }
    // Ends the connection. `by` is the side that closed it, or -1 if it is cut. The sockets are
    // reset or else closed once all bytes are sent.
    void end(int by, bool reset) {
        auto it = relay.connections_.find(id);
        if (it == relay.connections_.end())
            return;
        auto keep_alive = it->second;
        if (by >= 0 && !held.empty() && closed_side < 0 && loop::now() < hold_until) {
            // Held bytes are still delivered, so that a copy of a request can arrive late, long
            // after its edge has given up on it.
            closed_side = by;
            if (by == edge_side())
                relay.put_record(record::Kind::connection_closed, id, 1, 0);
            sockets[by].reset();
            return;
        }
        if (!(closed_side >= 0 && closed_side == edge_side()))
            relay.put_record(record::Kind::connection_closed, id, by == edge_side(), 0);
        relay.connections_.erase(it);
        for (int i = 0; i < 2; ++i)
            if (auto socket = std::exchange(sockets[i], nullptr)) {
                if (reset)
                    socket->close(true);
                else
                    socket->close_when_sent();
            }
    }
};

Relay::Relay(loop::Loop &loop, record::Writer &writer)
    : loop_(loop), writer_(writer), timer_(new uv_timer_t) {
    uv_timer_init(loop_.raw(), timer_);
    timer_->data = this;
    uv_timer_start(
        timer_, [](uv_timer_t *timer) { static_cast<Relay *>(timer->data)->update_connections(); },
        1, 1);
}
Relay::~Relay() {
    while (!connections_.empty())
        connections_.begin()->second->end(-1, true);
    uv_close(reinterpret_cast<uv_handle_t *>(timer_),
             [](uv_handle_t *handle) { delete reinterpret_cast<uv_timer_t *>(handle); });
}

void Relay::put_record(record::Kind kind, std::uint64_t a, std::uint64_t b, std::uint64_t c,
                       std::string_view text) {
    writer_.put(loop::now(), kind, a, b, c, text);
}

std::string Relay::listen_for_clients(std::uint64_t edge, const std::string &address) {
    return listen_for_node(edge, NodeId{0}, address);
}
std::string Relay::listen_for_node(std::uint64_t edge, NodeId node, const std::string &address) {
    routes_.push_back(std::make_unique<Route>(Route{edge, node, address, nullptr}));
    auto &route = *routes_.back();
    route.listener = std::make_unique<loop::Listener>(
        loop_, "127.0.0.1:0",
        [this, &route](std::shared_ptr<loop::Socket> socket) { accept(route, std::move(socket)); });
    return route.listener->address();
}

void Relay::accept(Route &route, std::shared_ptr<loop::Socket> socket) {
    if (route.node != NodeId{0} && blocked_nodes_[route.node])
        return socket->close(true);
    auto connection =
        std::make_shared<Connection>(*this, ++last_connection_id_, route.edge, route.node);
    connections_[connection->id] = connection;
    connection->sockets[0] = socket;
    connection->sockets[1] = std::make_shared<loop::Socket>(loop_);
    if (route.node == NodeId{0})
        put_record(record::Kind::client_connected, connection->id, route.edge, 0);
    else
        put_record(record::Kind::node_connected, connection->id, route.edge, route.node.value);
    for (int i = 0; i < 2; ++i) {
        auto &side = *connection->sockets[i];
        side.on_received = [connection = connection.get(), i](std::string_view bytes) {
            connection->receive(i, bytes);
        };
        side.on_written = [connection = connection.get(), i](std::size_t sent_bytes) {
            connection->unsent_bytes[i] -= std::min(sent_bytes, connection->unsent_bytes[i]);
            if (connection->sockets[1 - i])
                connection->sockets[1 - i]->set_reading_paused(connection->unsent_bytes[i] >
                                                               max_unsent_bytes);
        };
        side.on_disconnected = [connection = connection.get(), i](loop::DisconnectReason) {
            connection->end(i, false);
        };
    }
    socket->start();
    connection->sockets[1]->connect(route.address, [connection = connection.get()](bool success) {
        if (!success)
            return connection->end(1, true);
        connection->is_connected = true;
        connection->update();
    });
}

void Relay::for_each_connection(std::uint64_t edge, NodeId node,
                                const std::function<void(Connection &)> &callback) {
    std::vector<std::shared_ptr<Connection>> selected;
    for (auto &[id, connection] : connections_)
        if (connection->node == node && (edge == ~0ull || connection->edge == edge))
            selected.push_back(connection);
    for (auto &connection : selected)
        callback(*connection);
}
void Relay::update_connections() {
    std::vector<std::shared_ptr<Connection>> selected;
    for (auto &[id, connection] : connections_)
        if (!connection->held.empty() || connection->swallow_until > 0)
            selected.push_back(connection);
    for (auto &connection : selected)
        connection->update();
}
void Relay::hold(std::uint64_t edge, NodeId node, Time until) {
    for_each_connection(edge, node, [&](Connection &connection) { connection.hold_until = until; });
}
void Relay::split(std::uint64_t edge, NodeId node, Time until) {
    for_each_connection(edge, node,
                        [&](Connection &connection) { connection.split_until = until; });
}
void Relay::swallow(std::uint64_t edge, NodeId node, Time until) {
    for_each_connection(edge, node,
                        [&](Connection &connection) { connection.swallow_until = until; });
}
void Relay::cut(std::uint64_t edge, NodeId node) {
    for_each_connection(edge, node, [](Connection &connection) { connection.end(-1, true); });
}
void Relay::block(NodeId node) {
    blocked_nodes_[node] = true;
    cut(~0ull, node);
}
void Relay::unblock(NodeId node) {
    blocked_nodes_[node] = false;
}

} // namespace knotvane::relay
