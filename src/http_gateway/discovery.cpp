#include "http_gateway/discovery.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace knotvane::http_gateway {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
// What the agent has counts as told from the moment in which it can be reached again: we come back
// sooner than the shortest grace that a drain was seen with (250 ms). It is on this machine,
// answers at once and costs nothing to ask.
constexpr Time first_wait = 50 * ms, longest_wait = 150 * ms, connect_wait = 250 * ms;
// A call that brings nothing for this long is made anew: the agent answers at once, or is down.
constexpr Time answers_within = 500 * ms;
// A service that all share has calls wait in turn, and what it turns away costs it, too: thirteen
// of thirty-two schedulers that came back within 50 ms were turned away for a whole day. Such a
// call waits longer, the first one and those after a refusal are spread, and each further refusal
// doubles that, inside the 6 s after which all counts as told.
constexpr Time first_wait_shared = 1 * sec, longest_wait_shared = 4 * sec,
               answers_within_shared = 2500 * ms;
// A blank line comes each 2 s: half as long again without one, and the watch is silent. What it
// misses counts as told 6 s after it fell silent, so that three seconds are left for calls that
// fail.
constexpr Time silence = 3 * sec;
// How long a new process waits for the agent's word before it goes by the list that it was given.
// Clients come once it is ready, 6 s after its start at the latest.
constexpr Time first_word = 2 * sec;
// What discovery has to tell comes 6 s late at most: an agent that is older than our list for twice
// as long is not late but new, and counts from the start.
constexpr Time made_anew = 12 * sec;
// A list of a hundred thousand nodes is a few ten megabytes; ours have ten to two hundred.
constexpr std::size_t most_object = 4 << 20, most_head = 8 << 10;

} // namespace

Discovery::Discovery(Transport &transport, EndpointListEvents &told, ConnectionIds &connection_ids,
                     std::vector<std::string> zones, bool on_request, std::uint64_t seed)
    : transport_(transport), told_(told), connection_ids_(connection_ids), on_request_(on_request),
      seed_(seed) {
    for (std::uint32_t i = 0; i < zones.size(); ++i)
        zones_[zones[i]] = ZoneId{i};
}

std::string Discovery::start(Time now, std::string_view known, const std::string &address) {
    std::string fault;
    if (!known.empty() && (known_ = read(known, fault)))
        generation_ = known_->generation;
    known_until_ = now + first_word;
    watch(now, address);
    return fault;
}

// Read whole before any of it counts.
std::optional<Discovery::List> Discovery::read(std::string_view json, std::string &fault) const {
    auto bad = [&](std::string why) {
        fault = std::move(why);
        return std::nullopt;
    };
    auto doc = nlohmann::json::parse(json, nullptr, false);
    if (doc.is_discarded() || !doc.is_object())
        return bad("not a JSON object");
    if (!doc.contains("generation") || !doc["generation"].is_number_unsigned())
        return bad("generation: not a count");
    if (!doc.contains("reset") || !doc["reset"].is_boolean())
        return bad("reset: not true or false");
    if (!doc.contains("instances") || !doc["instances"].is_array())
        return bad("instances: not a list");
    List list{doc["generation"].get<std::uint64_t>(), doc["reset"].get<bool>(), {}};
    std::size_t at = 0;
    for (auto &e : doc["instances"]) {
        std::string path = "instances." + std::to_string(at++) + ".";
        auto text = [&](const char *name) {
            auto it = e.is_object() ? e.find(name) : e.end();
            return e.is_object() && it != e.end() && it->is_string() ? it->get<std::string>()
                                                                     : std::string();
        };
        Entry entry{text("instanceId"), text("hostPort"), {}, {}, text("lifecycle"), 0};
        if (entry.id.empty())
            return bad(path + "instanceId: not a name");
        if (entry.state != "active" && entry.state != "leaving" && entry.state != "left")
            return bad(path + "lifecycle: not active, leaving or left");
        if (entry.address.empty() && entry.state != "left")
            return bad(path + "hostPort: not an address");
        if (auto c = e.find("cell"); c != e.end() && c->is_number_integer())
            entry.shard = ShardId{c->get<std::int32_t>()};
        else if (entry.state != "left")
            return bad(path + "cell: not a number");
        if (auto z = zones_.find(text("zone")); z != zones_.end())
            entry.zone = z->second;
        if (auto s = e.find("startedAtMs"); s != e.end() && s->is_number())
            entry.started = static_cast<Time>(std::clamp(s->get<double>(), 0.0, 9e12)) * ms;
        list.entries.push_back(std::move(entry));
    }
    return list;
}

void Discovery::tell_known(Time now) {
    if (auto known = std::exchange(known_, std::nullopt))
        tell(now, *known);
}
void Discovery::tell(Time now, const List &list) {
    std::set<std::string> named;
    told_.endpoint_list_begin(now, list.whole ? EndpointListKind::full : EndpointListKind::delta);
    for (auto &e : list.entries) {
        bool left = e.state == "left";
        auto it = ids_.find(e.id);
        if (it == ids_.end()) {
            if (left)
                continue;
            it = ids_.emplace(e.id, NodeId{++last_id_}).first;
        }
        named.insert(e.id);
        told_.endpoint_listed(it->second, e.address, e.shard, e.zone,
                              left                   ? NodeState::removed
                              : e.state == "leaving" ? NodeState::draining
                                                     : NodeState::ready,
                              e.started);
        if (left)
            ids_.erase(it);
    }
    told_.endpoint_list_end();
    if (list.whole)
        std::erase_if(ids_, [&](auto &i) { return !named.contains(i.first); });
    generation_ = list.generation;
    listed_ = true;
}

Discovery::Watch Discovery::make(const std::string &address) {
    return {address,
            {},
            false,
            false,
            0,
            0,
            http::Decoder(http::MessageKind::response, most_head, most_object),
            JsonStream(most_object),
            ReconnectBackoff(on_request_ ? first_wait_shared : first_wait,
                             on_request_ ? longest_wait_shared : longest_wait, seed_ + ++watches_)};
}
Time Discovery::silent_at(const Watch &w) const {
    return w.heard + (w.spoke ? silence : on_request_ ? answers_within_shared : answers_within);
}

void Discovery::watch(Time now, const std::string &address) {
    if (now_ && now_->address == address) {
        if (then_)
            takes_over(*now_);
        return;
    }
    if (then_ && then_->address == address)
        return;
    if (then_ && then_->conn.value)
        transport_.close(then_->conn);
    Watch &w = (now_ ? then_ : now_).emplace(make(address));
    if (on_request_)
        w.reconnect_backoff.lost(
            now); // all schedulers may start, or be sent elsewhere, in one moment
    else
        dial(now, w);
}
void Discovery::dial(Time now, Watch &w) {
    w.conn = connection_ids_.next(), w.connected = w.spoke = false, w.heard = now, w.older = 0;
    w.in.next(), w.objects = JsonStream(most_object);
    w.reconnect_backoff.trying(now, connect_wait);
    transport_.connect(w.conn, w.address);
}
void Discovery::lost(Time now, ConnectionId conn, bool close, const char *why) {
    Watch &w = *of(conn);
    if (close)
        transport_.close(conn);
    if (*why)
        transport_.log_event("discovery at " + w.address + ": " + why);
    if (&w == &*now_ &&
        then_) { // the other one is on its way, to the same place or to the one that counts now
        now_.emplace(std::move(*then_));
        return then_.reset();
    }
    w.conn = {}, w.connected = false;
    w.reconnect_backoff.lost(now);
}
Discovery::Watch &Discovery::takes_over(Watch &w) {
    Watch &other = &w == &*now_ ? *then_ : *now_;
    if (other.conn.value)
        transport_.close(other.conn);
    if (&w == &*then_)
        now_.emplace(std::move(*then_));
    then_.reset();
    return *now_;
}
Discovery::Watch *Discovery::of(ConnectionId conn) {
    return now_ && now_->conn == conn ? &*now_ : then_ && then_->conn == conn ? &*then_ : nullptr;
}
void Discovery::connected(Time now, ConnectionId conn) {
    Watch *w = of(conn);
    if (!w)
        return;
    w->connected = true, w->heard = now;
    transport_.send(conn, "GET /v1/servers?stream=1&index=" + std::to_string(generation_) +
                              " HTTP/1.1\r\nHost: discovery\r\n\r\n");
}
void Discovery::connect_failed(Time now, ConnectionId conn) {
    if (of(conn))
        lost(now, conn, false, "");
}
void Discovery::disconnected(Time now, ConnectionId conn) {
    if (of(conn))
        lost(now, conn, false, "the watch ended");
}
void Discovery::received(Time now, ConnectionId conn, std::string_view in) {
    Watch *w = of(conn);
    if (!w)
        return;
    while (!in.empty() && w->in.state() != http::State::whole &&
           w->in.state() != http::State::broken)
        in.remove_prefix(w->in.take(in));
    if (w->in.state() == http::State::broken)
        return lost(now, conn, true, w->in.fault());
    if (w->in.state() != http::State::body && w->in.state() != http::State::whole)
        return;
    if (w->in.status() != 200)
        return lost(now, conn, true, ("it answered " + std::to_string(w->in.status())).c_str());
    auto body = w->in.take_body();
    std::string_view rest = body;
    while (!rest.empty()) {
        rest.remove_prefix(w->objects.take(rest));
        bool spoke = w->objects.blank();
        if (*w->objects.fault())
            return lost(now, conn, true, w->objects.fault());
        if (auto object = w->objects.object()) {
            std::string fault;
            auto list = read(*object, fault);
            if (!list)
                return lost(now, conn, true, fault.c_str());
            spoke = true;
            if (!list->whole || list->generation < generation_)
                tell_known(now);
            known_.reset();
            // An agent that is behind another tells of states that are over: by them a node that
            // drains would look ready.
            bool older = listed_ && list->generation < generation_;
            if (!older)
                w->older = 0;
            if (older && w->older == 0)
                w->older = now;
            if (older && now >= w->older + made_anew) {
                generation_ = 0; // asked for anew, from the start
                return lost(now, conn, true, "tells of older lists only: taken for one made anew");
            }
            if (!older && !(listed_ && !list->whole && list->generation == generation_))
                tell(now, *list);
        }
        if (!spoke)
            continue;
        tell_known(now);
        w->heard = now, w->spoke = true, w->reconnect_backoff.up();
        if (then_ && (w == &*then_ || then_->address == now_->address))
            w = &takes_over(*w);
    }
    if (w->in.state() == http::State::whole)
        lost(now, conn, true, "the watch ended");
}
Time Discovery::next_due() const {
    Time at = known_ ? known_until_ : never;
    for (auto *w : {&now_, &then_}) {
        if (!*w)
            continue;
        // One that has spoken and is silent stays, beside the one that is to take over.
        bool waits = w == &now_ && (*w)->spoke && then_;
        if (!waits)
            at = std::min(at, (*w)->connected ? silent_at(**w) : (*w)->reconnect_backoff.due());
    }
    return at;
}
void Discovery::tick(Time now) {
    if (now >= known_until_)
        tell_known(now);
    if (now_ && now_->connected && now_->spoke && now >= silent_at(*now_) && !then_) {
        transport_.log_event("discovery at " + now_->address + ": silent");
        then_.emplace(make(now_->address));
        dial(now, *then_);
    }
    for (auto *slot : {&then_, &now_}) {
        if (!*slot)
            continue;
        Watch &w = **slot;
        if (w.connected && !w.spoke && now >= silent_at(w)) {
            lost(now, w.conn, true, "");
        } else if (!w.connected && now >= w.reconnect_backoff.due()) {
            if (w.reconnect_backoff.trying())
                lost(now, w.conn, true, "");
            else
                dial(now, w);
        }
    }
}

} // namespace knotvane::http_gateway
