#include "platform/discovery.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace knotvane::platform {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
// The agent answers at once and costs nothing to ask: we come back soon, never less often than each half second.
constexpr Time first_wait = 50 * ms, longest_wait = 500 * ms, connect_wait = 1 * sec;
// Nothing for this long, where a blank line comes each 2 s: the watch is dead.
constexpr Time silence = 5 * sec;
// A list of a hundred thousand nodes is a few ten megabytes; ours have ten.
constexpr std::size_t most_line = 4 << 20, most_head = 8 << 10;

} // namespace

Discovery::Discovery(Wires &wires, ListTold &told, Conns &conns, std::vector<std::string> zones, std::uint64_t seed)
    : wires_(wires), told_(told), conns_(conns), seed_(seed) {
    for (std::uint32_t i = 0; i < zones.size(); ++i) zones_[zones[i]] = ZoneId{i};
}

std::string Discovery::list(Time now, std::string_view json) {
    struct Entry {
        std::string id, address;
        ShardId shard;
        ZoneId zone;
        std::string state;
        Time started;
    };
    // Read whole before any of it counts.
    std::vector<Entry> entries;
    auto doc = nlohmann::json::parse(json, nullptr, false);
    if (doc.is_discarded() || !doc.is_object()) return "not a JSON object";
    if (!doc.contains("generation") || !doc["generation"].is_number_unsigned()) return "generation: not a count";
    if (!doc.contains("reset") || !doc["reset"].is_boolean()) return "reset: not true or false";
    if (!doc.contains("instances") || !doc["instances"].is_array()) return "instances: not a list";
    std::size_t at = 0;
    for (auto &e : doc["instances"]) {
        std::string path = "instances." + std::to_string(at++) + ".";
        auto text = [&](const char *name) {
            auto it = e.is_object() ? e.find(name) : e.end();
            return e.is_object() && it != e.end() && it->is_string() ? it->get<std::string>() : std::string();
        };
        Entry entry{text("instanceId"), text("hostPort"), {}, {}, text("lifecycle"), 0};
        if (entry.id.empty()) return path + "instanceId: not a name";
        if (entry.state != "active" && entry.state != "leaving" && entry.state != "left")
            return path + "lifecycle: not active, leaving or left";
        if (entry.address.empty() && entry.state != "left") return path + "hostPort: not an address";
        if (auto c = e.find("cell"); c != e.end() && c->is_number_integer())
            entry.shard = ShardId{c->get<std::int32_t>()};
        else if (entry.state != "left")
            return path + "cell: not a number";
        if (auto z = zones_.find(text("zone")); z != zones_.end()) entry.zone = z->second;
        if (auto s = e.find("startedAtMs"); s != e.end() && s->is_number())
            entry.started = static_cast<Time>(std::clamp(s->get<double>(), 0.0, 9e12)) * ms;
        entries.push_back(std::move(entry));
    }
    // An agent that is behind another tells of states that are over: by them a node that drains would look ready.
    bool whole = doc["reset"].get<bool>();
    auto generation = doc["generation"].get<std::uint64_t>();
    if (listed_ && (generation < generation_ || (!whole && generation == generation_))) return {};
    std::set<std::string> named;
    told_.list_begins(now, whole ? ListKind::whole : ListKind::changes);
    for (auto &e : entries) {
        bool left = e.state == "left";
        auto it = ids_.find(e.id);
        if (it == ids_.end()) {
            if (left) continue;
            it = ids_.emplace(e.id, NodeId{++last_id_}).first;
        }
        named.insert(e.id);
        told_.node_listed(it->second, e.address, e.shard, e.zone,
                          left               ? NodeState::gone
                          : e.state == "leaving" ? NodeState::draining
                                             : NodeState::ready,
                          e.started);
        if (left) ids_.erase(it);
    }
    told_.list_ends();
    if (whole) std::erase_if(ids_, [&](auto &i) { return !named.contains(i.first); });
    generation_ = generation;
    listed_ = true;
    return {};
}

Discovery::Watch Discovery::make(const std::string &address) {
    return {address, {}, false, 0, http::Decoder(http::Side::answers, most_head, most_line), {},
            Redial(first_wait, longest_wait, seed_ + ++watches_)};
}
void Discovery::watch(Time now, const std::string &address) {
    if (now_ && now_->address == address) {
        if (then_) lost(now, *then_, true, "");
        return then_.reset();
    }
    if (then_ && then_->address == address) return;
    if (then_) lost(now, *then_, true, "");
    (now_ ? then_ : now_).emplace(make(address));
    dial(now, now_->address == address ? *now_ : *then_);
}
void Discovery::dial(Time now, Watch &w) {
    w.conn = conns_.next(), w.connected = false, w.heard = now;
    w.in.next(), w.line.clear();
    w.redial.trying(now, connect_wait);
    wires_.connect(w.conn, w.address);
}
void Discovery::lost(Time now, Watch &w, bool close, const char *why) {
    if (close && w.conn.value) wires_.close(w.conn, false);
    if (*why) wires_.say("discovery at " + w.address + ": " + why);
    w.conn = {}, w.connected = false;
    w.redial.lost(now);
}
Discovery::Watch *Discovery::of(ConnId conn) {
    return now_ && now_->conn == conn ? &*now_ : then_ && then_->conn == conn ? &*then_ : nullptr;
}
void Discovery::up(Time now, ConnId conn) {
    Watch *w = of(conn);
    if (!w) return;
    w->redial.up(), w->connected = true, w->heard = now;
    wires_.send(conn, "GET /v1/servers?stream=1&index=" + std::to_string(generation_) +
                          " HTTP/1.1\r\nHost: discovery\r\n\r\n");
}
void Discovery::failed(Time now, ConnId conn) {
    if (Watch *w = of(conn)) lost(now, *w, false, "");
}
void Discovery::gone(Time now, ConnId conn) {
    if (Watch *w = of(conn)) lost(now, *w, false, "the watch ended");
}
void Discovery::bytes(Time now, ConnId conn, std::string_view in) {
    Watch *w = of(conn);
    if (!w) return;
    w->heard = now;
    while (!in.empty() && w->in.state() != http::State::whole && w->in.state() != http::State::broken)
        in.remove_prefix(w->in.take(in));
    if (w->in.state() == http::State::broken) return lost(now, *w, true, w->in.fault());
    if (w->in.state() == http::State::body || w->in.state() == http::State::whole) {
        if (w->in.status() != 200) return lost(now, *w, true, "it did not answer 200");
        w->line += w->in.take_body();
        for (std::size_t end; (end = w->line.find('\n')) != std::string::npos;) {
            std::string line = w->line.substr(0, end);
            w->line.erase(0, end + 1);
            if (line.find_first_not_of(" \r\t") == std::string::npos) continue;
            if (auto fault = list(now, line); !fault.empty()) return lost(now, *w, true, fault.c_str());
        }
        if (then_ && w == &*then_) { // it speaks: it takes over
            if (now_->conn.value) wires_.close(now_->conn, false);
            now_ = std::move(then_);
            then_.reset();
            w = &*now_;
        }
        if (w->line.size() > most_line) return lost(now, *w, true, "a line is too long");
    }
    if (w->in.state() == http::State::whole) lost(now, *w, true, "the watch ended");
}
Time Discovery::next_due() const {
    Time at = never;
    for (auto *w : {&now_, &then_})
        if (*w) at = std::min(at, (*w)->connected ? (*w)->heard + silence : (*w)->redial.due());
    return at;
}
void Discovery::tick(Time now) {
    for (auto *slot : {&now_, &then_}) {
        if (!*slot) continue;
        Watch &w = **slot;
        if (w.connected && now >= w.heard + silence) lost(now, w, true, "silent");
        if (!w.connected && now >= w.redial.due()) {
            if (w.redial.trying())
                lost(now, w, true, "it does not come up");
            else
                dial(now, w);
        }
    }
}

} // namespace knotvane::platform
