#include "relay/relay.hpp"

#include <deque>
#include <utility>

namespace knotvane::relay {
namespace {
// Bytes under way to one side before the other side is not read: keeps back-pressure working across
// the relay.
constexpr std::size_t most_under_way = 1 << 20;
} // namespace

struct Relay::Front {
    std::uint64_t edge;
    NodeId node; // 0: of clients
    std::string address;
    std::unique_ptr<loop::Listener> listener;
};

struct Relay::Wire {
    Relay &relay;
    std::uint64_t id, edge;
    NodeId node;
    // side[0] is whoever connected, side[1] whom they meant. The edge is side 0 of a node's wire, 1
    // of a client's.
    std::shared_ptr<loop::Socket> side[2];
    std::size_t under_way[2] = {0, 0}; // to that side
    std::deque<std::pair<int, std::string>> held;
    Time hold_until = 0, split_until = 0, swallow_until = 0;
    int ends = -1; // which side has closed while something was held
    bool up = false;

    int edge_side() const { return node == NodeId{0} ? 1 : 0; }
    void forward(int to, std::string bytes) {
        if (!side[to])
            return;
        // Beside the edge: what comes to it counts when it arrives, what leaves it when it left.
        if (to == edge_side())
            relay.put(record::Kind::bytes, id, 0, 0, bytes);
        under_way[to] += bytes.size();
        if (loop::now() < split_until) {
            for (std::size_t at = 0; at < bytes.size(); at += 7) {
                side[to]->send(bytes.substr(at, 7));
                side[to]->flush();
            }
        } else {
            side[to]->send(std::move(bytes));
            side[to]->flush();
        }
        if (side[1 - to] && side[to])
            side[1 - to]->set_reading_paused(under_way[to] > most_under_way);
    }
    void got(int from, std::string_view in) {
        if (from == edge_side())
            relay.put(record::Kind::bytes, id, 1, 0, in);
        if (loop::now() < swallow_until)
            return;
        if (loop::now() < hold_until || !held.empty() || !up)
            held.emplace_back(1 - from, std::string(in));
        else
            forward(1 - from, std::string(in));
    }
    void look() {
        if (swallow_until > 0 && loop::now() >= swallow_until)
            return end(-1, true);
        if (!up || loop::now() < hold_until)
            return;
        while (!held.empty()) {
            auto [to, bytes] = std::move(held.front());
            held.pop_front();
            forward(to, std::move(bytes));
        }
        if (ends >= 0)
            end(ends, false);
    }
    // The wire is over: closed by a side (the other side hears it once all is sent), or cut.
    void end(int by, bool reset) {
        auto self = relay.transport_.find(id);
        if (self == relay.transport_.end())
            return;
        auto keep = self->second;
        if (by >= 0 && !held.empty() && ends < 0 && loop::now() < hold_until) {
            // What was held still arrives: a copy that is late although its edge has long given it
            // up.
            ends = by;
            if (by == edge_side())
                relay.put(record::Kind::closed, id, 1, 0);
            side[by].reset();
            return;
        }
        if (!(ends >= 0 && ends == edge_side()))
            relay.put(record::Kind::closed, id, by == edge_side(), 0);
        relay.transport_.erase(self);
        for (int i = 0; i < 2; ++i)
            if (auto s = std::exchange(side[i], nullptr)) {
                if (reset)
                    s->close(true);
                else
                    s->close_when_sent();
            }
    }
};

Relay::Relay(loop::Loop &loop, record::Writer &to) : loop_(loop), to_(to), timer_(new uv_timer_t) {
    uv_timer_init(loop_.raw(), timer_);
    timer_->data = this;
    uv_timer_start(
        timer_, [](uv_timer_t *t) { static_cast<Relay *>(t->data)->release(); }, 1, 1);
}
Relay::~Relay() {
    while (!transport_.empty())
        transport_.begin()->second->end(-1, true);
    uv_close(reinterpret_cast<uv_handle_t *>(timer_),
             [](uv_handle_t *h) { delete reinterpret_cast<uv_timer_t *>(h); });
}

void Relay::put(record::Kind kind, std::uint64_t a, std::uint64_t b, std::uint64_t c,
                std::string_view text) {
    to_.put(loop::now(), kind, a, b, c, text);
}

std::string Relay::front_of_edge(std::uint64_t edge, const std::string &address) {
    return front_of_node(edge, NodeId{0}, address);
}
std::string Relay::front_of_node(std::uint64_t edge, NodeId node, const std::string &address) {
    fronts_.push_back(std::make_unique<Front>(Front{edge, node, address, nullptr}));
    auto &f = *fronts_.back();
    f.listener = std::make_unique<loop::Listener>(
        loop_, "127.0.0.1:0",
        [this, &f](std::shared_ptr<loop::Socket> s) { came(f, std::move(s)); });
    return f.listener->address();
}

void Relay::came(Front &front, std::shared_ptr<loop::Socket> from) {
    if (front.node != NodeId{0} && blocked_[front.node])
        return from->close(true);
    auto wire = std::make_shared<Wire>(*this, ++next_, front.edge, front.node);
    transport_[wire->id] = wire;
    wire->side[0] = from;
    wire->side[1] = std::make_shared<loop::Socket>(loop_);
    if (front.node == NodeId{0})
        put(record::Kind::client_wire, wire->id, front.edge, 0);
    else
        put(record::Kind::node_wire, wire->id, front.edge, front.node.value);
    for (int i = 0; i < 2; ++i) {
        auto &s = *wire->side[i];
        s.on_received = [wire = wire.get(), i](std::string_view in) { wire->got(i, in); };
        s.on_written = [wire = wire.get(), i](std::size_t n) {
            wire->under_way[i] -= std::min(n, wire->under_way[i]);
            if (wire->side[1 - i])
                wire->side[1 - i]->set_reading_paused(wire->under_way[i] > most_under_way);
        };
        s.on_disconnected = [wire = wire.get(), i](loop::DisconnectReason) { wire->end(i, false); };
    }
    from->start();
    wire->side[1]->connect(front.address, [wire = wire.get()](bool well) {
        if (!well)
            return wire->end(1, true);
        wire->up = true;
        wire->look();
    });
}

void Relay::each(std::uint64_t edge, NodeId node, const std::function<void(Wire &)> &call) {
    std::vector<std::shared_ptr<Wire>> all;
    for (auto &[id, w] : transport_)
        if (w->node == node && (edge == ~0ull || w->edge == edge))
            all.push_back(w);
    for (auto &w : all)
        call(*w);
}
void Relay::release() {
    std::vector<std::shared_ptr<Wire>> all;
    for (auto &[id, w] : transport_)
        if (!w->held.empty() || w->swallow_until > 0)
            all.push_back(w);
    for (auto &w : all)
        w->look();
}
void Relay::hold(std::uint64_t edge, NodeId node, Time until) {
    each(edge, node, [&](Wire &w) { w.hold_until = until; });
}
void Relay::split(std::uint64_t edge, NodeId node, Time until) {
    each(edge, node, [&](Wire &w) { w.split_until = until; });
}
void Relay::swallow(std::uint64_t edge, NodeId node, Time until) {
    each(edge, node, [&](Wire &w) { w.swallow_until = until; });
}
void Relay::cut(std::uint64_t edge, NodeId node) {
    each(edge, node, [](Wire &w) { w.end(-1, true); });
}
void Relay::block(NodeId node) {
    blocked_[node] = true;
    cut(~0ull, node);
}
void Relay::unblock(NodeId node) {
    blocked_[node] = false;
}

} // namespace knotvane::relay
