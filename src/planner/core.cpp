#include "planner/core.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "planner/session.hpp"

namespace knotvane::planner {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
// News that is not answered in this time is taken for lost and told again. Well above a round trip
// between halls.
constexpr Time answer_time = sec;
// News past this counts as long, and so many go out at once: with 280 edges asking for all of
// 10,000 volumes together, the planner holds some megabytes, not hundreds.
constexpr std::size_t long_news = 64 << 10, most_long = 8;
// How far back a node's outs count for how long it has to be steady.
constexpr Time outs_memory = 60 * sec;
// A commit that failed (a full disk) is tried again this much later.
constexpr Time commit_again = 500 * ms;

const char *name(NodeState s) {
    static constexpr const char *names[] = {"draining", "gone", "ready"};
    return names[static_cast<int>(s)];
}

} // namespace

Core::Core(PlannerTransport &shell, StateStore &state_store, Time lease, Time margin, Time fade,
           Time silent_for, Time out_after, Time back_after, Time drain_time)
    : transport_(shell), state_store_(state_store), silent_for_(silent_for), out_after_(out_after),
      back_after_(back_after), drain_time_(drain_time), lease_table_(lease, margin, fade) {}
Core::~Core() = default;

// ---- Start.
std::string Core::restore(StateStore::Row row, std::uint64_t a, std::uint64_t b, Version stamp,
                          std::string_view body) {
    struct Rows final : control::MessageHandler {
        Core &core;
        std::string fault;
        explicit Rows(Core &c) : core(c) {}
        void plan(PlanId id, control::Plan p) override {
            core.desired_.plans[p.name] = p;
            core.state_.put(id, p);
        }
        void volume(VolumeId id, control::Volume v) override { core.state_.put(id, v); }
        void node(NodeId id, control::Node n) override { core.state_.put(id, n); }
        void part(VolumeId, control::QuotaShare) override {}
        void unexpected(const char *what) override { fault = what; }
    } rows(*this);
    state_.restoring(stamp);
    switch (row) {
    case StateStore::Row::plan:
    case StateStore::Row::volume:
    case StateStore::Row::node: {
        control::Reader reader;
        auto fault = reader.bytes(body, rows);
        return fault.empty() ? rows.fault : fault;
    }
    case StateStore::Row::hold: {
        // part, bound, since, serves, lapsed: see keep_changes.
        std::uint64_t f[5];
        std::size_t at = 0;
        for (auto &v : f) {
            auto end = body.find(' ', at);
            try {
                v = std::stoull(std::string(body.substr(at, end - at)));
            } catch (const std::exception &) {
                return "a part's row can't be read";
            }
            at = end == std::string_view::npos ? body.size() : end + 1;
        }
        if (f[0] > control::whole_limit || f[1] > control::whole_limit)
            return "a part's row is past the whole";
        allocation_.restore(VolumeId{b}, EdgeId{a}, static_cast<std::uint32_t>(f[0]),
                            static_cast<std::uint32_t>(f[1]), Version{f[2]}, f[3] != 0, f[4] != 0);
        return {};
    }
    case StateStore::Row::drained:
        drained_.insert(NodeId{a});
        return {};
    case StateStore::Row::undo: {
        std::uint32_t epoch = 0;
        for (char c : body) {
            if (c < '0' || c > '9')
                return "an undone cut's row can't be read";
            epoch = epoch * 10 + static_cast<std::uint32_t>(c - '0');
        }
        undo_rows_[VolumeId{a}] = {VolumeId{b}, epoch};
        return {};
    }
    case StateStore::Row::desired: {
        control::Reader reader;
        struct Line final : control::MessageHandler {
            DesiredState::Node node;
            void node_hello(NodeId, ShardId s, ZoneId z, const std::string &at,
                            std::uint64_t draining, Time) override {
                node = {s, z, draining != 0, at, 0};
            }
            void unexpected(const char *) override {}
        } line;
        if (auto fault = reader.bytes(body, line); !fault.empty())
            return fault;
        desired_.nodes[NodeId{a}] = line.node;
        return {};
    }
    }
    return "a row of no known kind";
}

bool Core::start(Time now, Term term, std::uint64_t instance, std::uint64_t lineage,
                 Version version, Version oldest, std::uint64_t settings, bool rebuilt) {
    now_ = started_ = now;
    term_ = term, instance_ = instance, lineage_ = lineage;
    desired_.version = settings;
    // What edges were told before, they may still be about to go by: none has its right prolonged
    // by this life before it goes by all that the last one decided.
    least_all_ = version;
    state_.restore(version, oldest);
    for (auto &[id, v] : state_.cluster_state().volumes) {
        if (v.is_snapshot())
            continue; // an operator's, not the settings'
        desired_.volumes[id] = {v,
                                state_.cluster_state().plans.contains(v.plan)
                                    ? state_.cluster_state().plans.at(v.plan).name
                                    : "",
                                0};
    }
    for (auto &[id, n] : state_.cluster_state().nodes)
        if (n.state != NodeState::removed) {
            liveness(id).assume(now, n.address, n.incarnation, n.started);
            if (n.state == NodeState::draining)
                draining_since_[id] = {version, now};
        }
    for (auto &[volume, holds] : allocation_.all())
        for (auto &[edge, hold] : holds) {
            lease_table_.known(edge, now, allocation_.is_lapsed(edge));
            if (const control::QuotaShare part{hold.part, 0}; hold.part > 0 || hold.serves) {
                state_.restoring(hold.since);
                state_.put_quota_share(edge, volume,
                                       {part.millionths, allocation_.sharers(volume)});
            }
        }
    state_.restore(version, oldest);
    // A cut that the last life did not make whole is undone, and its epoch, by which some may go,
    // is not given twice.
    for (auto &[as, row] : undo_rows_) {
        snapshots_.undo(as, all_shards());
        if (auto v = state_.cluster_state().volumes.find(row.first);
            v != state_.cluster_state().volumes.end() && v->second.epoch < row.second) {
            auto fact = v->second;
            fact.epoch = row.second;
            state_.put(row.first, fact);
        }
    }
    if (rebuilt) {
        // Any edge may go by the whole of any limit until what it was told must have run out.
        allocation_.unknown(control::whole_limit);
        unknown_until_ = now + lease_table_.lease() + lease_table_.lease() / 10 + sec;
    }
    started_up_ = state_store_.commit(term_, lineage_, state_.version(), state_.oldest_told(),
                                      desired_.version);
    return started_up_;
}

// ---- Settings.
void Core::apply_desired_state(Time now, const DesiredState &desired,
                               std::vector<std::pair<int, std::string>> &faults) {
    now_ = now;
    if (desired.version <= desired_.version && desired_.version > 0) {
        if (desired.version < desired_.version)
            faults.emplace_back(0, "version " + std::to_string(desired.version) +
                                       " is older than the one in use, " +
                                       std::to_string(desired_.version));
        return;
    }
    for (auto &[id, n] : desired_.nodes) {
        if (desired.nodes.contains(id)) {
            if (desired.nodes.at(id).shard != n.shard)
                faults.emplace_back(desired.nodes.at(id).line, "node " + text(id) +
                                                                   " holds shard " + text(n.shard) +
                                                                   " and can't change to another");
            continue;
        }
        auto it = state_.cluster_state().nodes.find(id);
        if (it == state_.cluster_state().nodes.end() || it->second.state == NodeState::removed)
            continue;
        auto since = draining_since_.find(id);
        bool known = since != draining_since_.end() && now - since->second.second >= drain_time_;
        if (known)
            for (auto &[edge, session] : edges_)
                known = known && (lease_table_.stage(edge) != LeaseTable::Stage::held ||
                                  sessions_.at(session)->acked >= since->second.first);
        if (!known)
            faults.emplace_back(0,
                                "node " + text(id) +
                                    " is in use and left out: drain it first, and remove it once " +
                                    "every edge has known of the drain for " +
                                    std::to_string(drain_time_ / ms) + "ms");
    }
    for (auto &[id, v] : desired_.volumes) {
        auto it = desired.volumes.find(id);
        if (it == desired.volumes.end()) {
            for (auto &[cut, f] : state_.cluster_state().volumes)
                if (f.is_snapshot() && f.lies_as(cut) == id)
                    faults.emplace_back(0, "volume " + v.fact.name +
                                               " is left out and has a snapshot or clone, " +
                                               f.name + ": drop it first");
            if (allocation_.sharers(id) > 0)
                faults.emplace_back(0, "volume " + v.fact.name +
                                           " is left out and has clients at " +
                                           std::to_string(allocation_.sharers(id)) + " edges");
        } else if (it->second.fact.size < v.fact.size) {
            faults.emplace_back(it->second.line, "volume " + v.fact.name + " would shrink from " +
                                                     std::to_string(v.fact.size) + " bytes");
        }
    }
    for (auto &[id, f] : state_.cluster_state().volumes) {
        if (!f.is_snapshot())
            continue;
        auto plan = state_.cluster_state().plans.find(f.plan);
        if (f.charged_to(id) == id && plan != state_.cluster_state().plans.end() &&
            !desired.plans.contains(plan->second.name))
            faults.emplace_back(0, "plan " + plan->second.name + " is left out and " + f.name +
                                       " is of it");
        for (auto &[other, v] : desired.volumes)
            if (v.fact.name == f.name)
                faults.emplace_back(v.line, "volume " + f.name + ": a clone has this name");
    }
    if (!faults.empty())
        return;
    // Whole, from here on.
    for (auto &[id, n] : desired_.nodes)
        if (!desired.nodes.contains(id)) {
            state_.drop(id);
            liveness_.erase(id), draining_since_.erase(id);
            if (drained_.erase(id))
                state_store_.drop(StateStore::Row::drained, id.value, 0);
            state_store_.drop(StateStore::Row::desired, id.value, 0);
        }
    std::map<std::string, PlanId> ids;
    std::uint32_t next = 0;
    for (auto &[id, p] : state_.cluster_state().plans)
        ids[p.name] = id, next = std::max(next, id.value + 1);
    for (auto &[plan, p] : desired.plans) {
        auto [it, is_new] = ids.try_emplace(plan, PlanId{next});
        next += is_new;
        state_.put(it->second, p);
    }
    for (auto &[id, v] : desired.volumes) {
        auto fact = v.fact;
        fact.plan = ids.at(v.plan);
        if (auto was = state_.cluster_state().volumes.find(id);
            was != state_.cluster_state().volumes.end())
            fact.epoch = was->second.epoch;
        state_.put(id, fact);
    }
    std::vector<VolumeId> left_out;
    for (auto &[id, v] : state_.cluster_state().volumes)
        if (!desired.volumes.contains(id) && !v.is_snapshot())
            left_out.push_back(id);
    for (auto id : left_out)
        state_.drop_volume(id);
    for (auto &[plan, id] : ids)
        if (!desired.plans.contains(plan))
            state_.drop(id);
    desired_ = desired;
    snapshots_.shards(all_shards());
    keep_wanted();
    commit_due_ = true;
    transport_.log_event("settings taken: version " + std::to_string(desired.version) + ", " +
                         std::to_string(desired.nodes.size()) + " nodes, " +
                         std::to_string(desired.volumes.size()) + " volumes");
}
void Core::keep_wanted() {
    for (auto &[id, n] : desired_.nodes)
        state_store_.keep(StateStore::Row::desired, id.value, 0, Version{1},
                          control::node_hello(id, n.shard, n.zone, n.address, n.draining, 0));
}

// ---- Connections.
void Core::connected(Time now, SessionId session) {
    now_ = now;
    sessions_[session] = std::make_unique<Session>(*this, session);
    sessions_[session]->heard = now;
}
void Core::received(Time now, SessionId id, std::string_view in) {
    now_ = now;
    auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->closed)
        return;
    auto &session = *it->second;
    session.heard = now;
    auto fault = session.reader.bytes(in, session);
    if (fault.empty())
        fault = session.fault;
    if (!fault.empty() && !session.closed)
        close(session, fault);
}
void Core::disconnected(Time now, SessionId id) {
    now_ = now;
    auto it = sessions_.find(id);
    if (it == sessions_.end())
        return;
    auto &session = *it->second;
    if (session.role == Session::Role::edge && edges_[session.edge] == id) {
        edges_.erase(session.edge);
        for (auto &[n, p] : liveness_)
            p.no_witness(session.edge);
        snapshots_.edge_gone(now, session.edge);
    }
    if (session.role == Session::Role::node && nodes_[session.node] == id) {
        nodes_.erase(session.node);
        snapshots_.node_gone(now, session.node);
    }
    sessions_.erase(it);
}
void Core::close(Session &session, const std::string &why) {
    session.closed = true;
    static constexpr const char *roles[] = {"a peer", "edge ", "node ", "a visitor"};
    auto who = std::string(roles[static_cast<int>(session.role)]);
    if (session.role == Session::Role::edge)
        who += text(session.edge);
    if (session.role == Session::Role::node)
        who += text(session.node);
    transport_.log_event(who + ": connection closed: " + why);
    transport_.close(session.id);
}

void Core::edge_hello(Session &session, EdgeId edge, const std::string &listen, Term term,
                      std::uint64_t instance, std::uint64_t lineage, Version version,
                      const std::vector<NodeId> &draining, const std::vector<VolumeId> &serving) {
    if ((term > term_ || (term == term_ && instance != instance_)) &&
        !outranked(term, "edge " + text(edge)))
        return;
    if (lineage == lineage_ && version > state_.version())
        return retire("edge " + text(edge) + " goes by version " + text(version) +
                      " of this store, which stands at " + text(state_.version()) +
                      ": the store is an old copy; start with the right one, or rebuild");
    if (auto old = edges_.find(edge); old != edges_.end() && old->second != session.id) {
        auto was = old->second;
        session.role = Session::Role::unknown;
        close(*sessions_.at(was), "another connection says it is this edge");
        disconnected(now_, was);
    }
    session.role = Session::Role::edge, session.edge = edge, session.listen = listen;
    session.edge_term = term, session.edge_lineage = lineage;
    session.acked = session.told = lineage == lineage_ ? version : Version{0};
    edges_[edge] = session.id;
    if (session.acked > Version{0})
        allocation_.acked(edge, session.acked);
    std::set<VolumeId> now_serving(serving.begin(), serving.end());
    for (auto v : allocation_.served_by(edge))
        if (!now_serving.contains(v))
            allocation_.serve(v, edge, false);
    for (auto v : now_serving)
        allocation_.serve(v, edge, true);
    if (unknown_until_ > 0)
        // The store that knew of these drains is lost; the edges still do.
        for (auto node : draining)
            if (desired_.nodes.contains(node) && drained_.insert(node).second)
                state_store_.keep(StateStore::Row::drained, node.value, 0, state_.next(), {}),
                    commit_due_ = true;
}

void Core::renew(Session &session, Time at, Term term, Version version) {
    if (term > term_)
        return void(outranked(term, "edge " + text(session.edge)));
    session.edge_term = term;
    // Versions of another store say nothing here, until the edge goes by one of ours.
    if (term == term_)
        session.edge_lineage = lineage_;
    if (session.edge_lineage != lineage_)
        return;
    if (version > session.acked)
        session.acked = version;
    if (term == term_ && session.acked >= session.told)
        session.in_flight = false;
    if (session.told < session.acked)
        session.told = session.acked;
    allocation_.acked(session.edge, session.acked);
    // Its right goes on only once it goes by what lowered its parts while it was away.
    if (term != term_ || version < least(session.edge) || retired_)
        return;
    bool away = lease_table_.stage(session.edge) != LeaseTable::Stage::held;
    lease_table_.renewed(session.edge, now_);
    if (away)
        allocation_.back(session.edge);
    transport_.send(session.id, control::renewed(at, term_, lease_table_.lease(),
                                                 lease_table_.fade(), least(session.edge)));
}
Version Core::least(EdgeId edge) const {
    auto it = least_.find(edge);
    return it == least_.end() ? least_all_ : std::max(it->second, least_all_);
}

void Core::node_hello(Session &session, NodeId node, ShardId shard, ZoneId zone,
                      const std::string &address, std::uint64_t incarnation, Time age) {
    auto it = desired_.nodes.find(node);
    auto refuse = [&](const std::string &why) {
        if (logged_refusals_.insert("node " + text(node) + why).second)
            transport_.log_event("node " + text(node) + " at " + address + " is not taken: " + why);
        session.closed = true;
        transport_.close(session.id);
    };
    if (it == desired_.nodes.end())
        return refuse("the settings don't list it");
    if (it->second.shard != shard || it->second.zone != zone)
        return refuse("it says shard " + text(shard) + ", zone " + text(zone) +
                      "; the settings shard " + text(it->second.shard) + ", zone " +
                      text(it->second.zone));
    if (auto old = nodes_.find(node); old != nodes_.end() && old->second != session.id) {
        auto was = old->second;
        close(*sessions_.at(was), "another connection says it is this node");
        disconnected(now_, was);
    }
    session.role = Session::Role::node, session.node = node;
    nodes_[node] = session.id;
    liveness(node).heard(now_, address, incarnation, now_ - age);
    snapshots_.node_came(node, shard);
}

NodeLiveness &Core::liveness(NodeId node) {
    return liveness_.try_emplace(node, silent_for_, out_after_, back_after_, outs_memory)
        .first->second;
}

// ---- Other planners.
void Core::retire(const std::string &why) {
    if (std::exchange(retired_, true))
        return;
    transport_.log_event("this planner (term " + text(term_) + ") stops planning: " + why);
    transport_.retired();
}
bool Core::outranked(Term term, const std::string &who) {
    if (unknown_until_ > 0 && term >= term_) {
        // A store made anew knows nothing of the terms before: it goes above each that it meets.
        term_ = Term{term.value + 1};
        commit_due_ = true;
        for (auto &[id, session] : sessions_)
            session->in_flight = false;
        transport_.log_event(who + " follows term " + text(term) + ": going on as term " +
                             text(term_));
        return true;
    }
    retire(who + " follows another planner with term " + text(term));
    return false;
}

// ---- The operator's word.
std::string Core::effect(NodeId node, bool draining, bool &allowed, bool &serves) const {
    allowed = serves = false;
    auto w = desired_.nodes.find(node);
    if (w == desired_.nodes.end())
        return "node " + text(node) + " is not in the settings; nothing to do";
    auto it = state_.cluster_state().nodes.find(node);
    auto is = it == state_.cluster_state().nodes.end() ? std::string("not registered")
                                                       : name(it->second.state);
    auto what = "node " + text(node) + " (shard " + text(w->second.shard) + ", " + is + "): ";
    std::string others;
    std::size_t count = 0;
    for (auto &[id, n] : state_.cluster_state().nodes)
        if (id != node && n.shard == w->second.shard && n.state == NodeState::ready)
            others += (others.empty() ? "" : ", ") + text(id), ++count;
    if (draining) {
        allowed = true, serves = count > 0;
        if (drained_.contains(node) || w->second.draining)
            return what + "drains already" + (w->second.draining ? " by the settings" : "");
        return what + "would get no new work from any of " + std::to_string(edges_.size()) +
               " edges; " +
               (serves ? "its shard goes on at node " + others
                       : "no other ready node holds its shard, whose requests would wait and be "
                         "denied until one does");
    }
    if (w->second.draining)
        return what + "drains by the settings: change its state there";
    allowed = serves = true;
    return drained_.contains(node)
               ? what + "would get new work again from " + std::to_string(edges_.size()) + " edges"
               : what + "does not drain by an operator's word; nothing to do";
}
void Core::drain_asked(Session &session, NodeId node, bool draining, std::uint8_t how) {
    bool allowed = false, serves = false;
    auto text_of = effect(node, draining, allowed, serves);
    bool act = allowed && (how == 2 || (how == 1 && serves));
    if (!act)
        return transport_.send(session.id, control::effect(allowed && serves, false, text_of));
    if (draining && drained_.insert(node).second)
        state_store_.keep(StateStore::Row::drained, node.value, 0, state_.next(), {});
    if (!draining && drained_.erase(node))
        state_store_.drop(StateStore::Row::drained, node.value, 0);
    transport_.log_event("operator: " + std::string(draining ? "drain" : "undrain") + " node " +
                         text(node));
    commit_due_ = true;
    // Said to be done once it is durable.
    after_commit_.emplace_back(session.id, control::effect(true, true, text_of));
}

// ---- The end of a moment.
void Core::decide_nodes() {
    for (auto &[id, w] : desired_.nodes) {
        auto &p = liveness(id);
        if (!w.address.empty())
            p.heard(now_, w.address, 1, 0);
        bool in = p.in(now_, lease_table_.held());
        if (!p.ever_heard())
            continue;
        if (p.to_ask(now_))
            for (auto &[edge, session] : edges_)
                transport_.send(session, control::ask_witness(id));
        auto state = !in                                     ? NodeState::removed
                     : (w.draining || drained_.contains(id)) ? NodeState::draining
                                                             : NodeState::ready;
        auto was = state_.cluster_state().nodes.find(id);
        if (was == state_.cluster_state().nodes.end() || was->second.state != state)
            transport_.log_event("node " + text(id) + " is " + name(state));
        state_.put(
            id, control::Node{p.address(), w.shard, w.zone, state, p.started(), p.incarnation()});
        if (state == NodeState::draining)
            draining_since_.try_emplace(id, state_.next(), now_);
        else
            draining_since_.erase(id);
    }
}

void Core::keep_changes() {
    auto version = state_.next();
    allocation_.allocate(
        version,
        [&](VolumeId volume, EdgeId edge, const control::QuotaShare &part) {
            state_.put_quota_share(edge, volume, part);
        },
        [&](VolumeId volume, EdgeId edge, const QuotaAllocation::Hold *h) {
            if (!h)
                return state_store_.drop(StateStore::Row::hold, edge.value, volume.value);
            state_store_.keep(StateStore::Row::hold, edge.value, volume.value, version,
                              std::to_string(h->part) + " " + std::to_string(h->bound) + " " +
                                  text(h->since) + " " + std::to_string(h->serves) + " " +
                                  std::to_string(allocation_.is_lapsed(edge)));
        });
    using Kind = VersionedState::Kind;
    for (auto &key : state_.changed()) {
        if (key.kind == Kind::part)
            continue; // kept as holds
        auto row = key.kind == Kind::plan     ? StateStore::Row::plan
                   : key.kind == Kind::volume ? StateStore::Row::volume
                                              : StateStore::Row::node;
        if (!state_.has(key)) {
            state_store_.drop(row, key.id, 0);
            continue;
        }
        auto &t = state_.cluster_state();
        PlanId plan{static_cast<std::uint32_t>(key.id)};
        state_store_.keep(row, key.id, 0, version,
                          key.kind == Kind::plan ? control::put(plan, t.plans.at(plan))
                          : key.kind == Kind::volume
                              ? control::put(VolumeId{key.id}, t.volumes.at(VolumeId{key.id}))
                              : control::put(NodeId{key.id}, t.nodes.at(NodeId{key.id})));
    }
    if (state_.close())
        commit_due_ = true;
}

void Core::tell_sides() {
    std::size_t longs = 0;
    for (auto &[id, session] : sessions_)
        longs += session->in_flight && session->is_long && now_ - session->told_at < answer_time;
    for (auto &[id, s] : sessions_) {
        auto &session = *s;
        if (session.closed)
            continue;
        if (session.role == Session::Role::node) {
            auto it = state_.cluster_state().nodes.find(session.node);
            if (it != state_.cluster_state().nodes.end() &&
                session.state_told != it->second.state) {
                session.state_told = it->second.state;
                transport_.send(id, control::tell_node(it->second.state));
            }
        }
        if (session.role != Session::Role::edge)
            continue;
        // One piece of news at a time: what changes while an edge is slow comes together in the
        // next.
        if (session.in_flight && now_ - session.told_at < answer_time)
            continue;
        bool behind = session.acked < state_.version() || session.edge_term != term_ ||
                      session.edge_lineage != lineage_;
        if (!behind)
            continue;
        Version from = session.edge_lineage == lineage_ ? session.acked : Version{0};
        std::string facts_out;
        auto count = state_.news(session.edge, from, facts_out);
        session.is_long = facts_out.size() > long_news;
        if (session.is_long && longs >= most_long)
            continue;
        longs += session.is_long;
        session.in_flight = true, session.told = state_.version(), session.told_at = now_;
        transport_.send(id,
                        control::begins(term_, instance_, lineage_, state_.version(), from, now_) +
                            facts_out + control::ends(state_.version(), count));
    }
}

void Core::settle(Time now) {
    now_ = now;
    if (retired_ || !started_up_)
        return;
    lease_table_.pass(now, [&](EdgeId edge, LeaseTable::Stage stage) {
        if (stage == LeaseTable::Stage::lapsed) {
            transport_.log_event("edge " + text(edge) +
                                 " has not renewed: its parts fall to a piece");
            // Not before it goes by all that it was told until now, too: what was lowered and never
            // reached it counts for a piece from here on, and must not be whole again.
            least_[edge] = allocation_.lapsed(edge) ? state_.next() : state_.version();
        } else {
            transport_.log_event("edge " + text(edge) + " is forgotten: its parts go to others");
            allocation_.forgotten(edge);
            least_[edge] = state_.next();
        }
    });
    if (unknown_until_ > 0 && now > unknown_until_ && !std::exchange(unknown_faded_, true))
        allocation_.unknown(control::usable_millionths(control::whole_limit, 1, 1));
    if (unknown_until_ > 0 && now > unknown_until_ + lease_table_.fade())
        allocation_.unknown(0), unknown_until_ = 0;
    decide_nodes();
    snapshots_.tick(now, connected_nodes());
    settle_cuts();
    keep_changes();
    if (commit_due_) {
        // Nothing is told that is not durable: a planner that comes back from its store must know
        // all that it said.
        if (!state_store_.commit(term_, lineage_, state_.version(), state_.oldest_told(),
                                 desired_.version))
            return;
        commit_due_ = false;
    }
    for (auto id : std::exchange(undo_after_commit_, {}))
        snapshots_.undo(id, all_shards());
    for (auto &[session, bytes] : std::exchange(after_commit_, {}))
        if (sessions_.contains(session))
            transport_.send(session, std::move(bytes));
    tell_sides();
    begin_prepared();
}

Time Core::next_due() const {
    if (retired_)
        return never;
    Time due = std::min(lease_table_.next_due(), snapshots_.next_due());
    for (auto &[number, q] : questions_)
        due = std::min(due, q.until);
    for (auto &[as, p] : pending_)
        if (p.failed || p.whole)
            due = std::min(due, now_);
    for (auto &[id, p] : liveness_)
        due = std::min(due, p.next_due());
    if (unknown_until_ > 0)
        due = std::min(due, unknown_until_ + (unknown_faded_ ? lease_table_.fade() : 0) + 1);
    if (commit_due_)
        due = std::min(due, now_ + commit_again);
    for (auto &[id, session] : sessions_)
        if (session->role == Session::Role::edge && session->in_flight)
            due = std::min(due, session->told_at + answer_time);
    return due;
}

std::string Core::status_json(Time now) const {
    using nlohmann::json;
    json out{{"term", term_.value},
             {"version", state_.version().value},
             {"lineage", lineage_},
             {"settings", desired_.version},
             {"up_ms", (now - started_) / ms},
             {"volumes", state_.cluster_state().volumes.size()},
             {"retired", retired_}};
    out["nodes"] = json::array();
    for (auto &[id, w] : desired_.nodes) {
        auto it = state_.cluster_state().nodes.find(id);
        auto p = liveness_.find(id);
        bool known = it != state_.cluster_state().nodes.end();
        out["nodes"].push_back(
            {{"id", id.value},
             {"shard", w.shard.value},
             {"zone", w.zone.value},
             {"state", known ? name(it->second.state) : "never heard"},
             {"word", drained_.contains(id) ? "drain"
                      : w.draining          ? "drain (settings)"
                                            : "ready"},
             {"address", known ? it->second.address : w.address},
             {"age_ms", known && it->second.started > 0 ? (now - it->second.started) / ms : 0},
             {"silent_ms",
              p != liveness_.end() && p->second.ever_heard() ? p->second.silent(now) / ms : -1},
             {"out_of_reach_for", p != liveness_.end() ? p->second.against() : 0}});
    }
    out["cuts"] = json::array();
    for (auto &[id, f] : state_.cluster_state().volumes) {
        if (!f.is_snapshot())
            continue;
        auto of = state_.cluster_state().volumes.find(f.of);
        out["cuts"].push_back(
            {{"id", id.value},
             {"name", f.name},
             {"kind", f.frozen ? "snapshot" : "clone"},
             {"of", of == state_.cluster_state().volumes.end() ? "(dropped)" : of->second.name},
             {"size", f.size},
             {"age_ms", (now - f.taken) / ms},
             {"pays", f.charge.value ? "its source" : "itself"},
             {"used_by", users(id)}});
    }
    out["cuts_under_way"] = json::array();
    for (auto &[as, waits] : snapshots_.under_way())
        if (auto p = pending_.find(as); p != pending_.end())
            out["cuts_under_way"].push_back({{"name", p->second.fact.name},
                                             {"since_ms", (now - p->second.began) / ms},
                                             {"what", waits}});
    out["cuts_undone"] = json::array();
    for (auto &[as, left] : snapshots_.undoing()) {
        json shards = json::array();
        for (auto s : left)
            shards.push_back(s.value);
        out["cuts_undone"].push_back({{"id", as.value}, {"shards_left", shards}});
    }
    out["edges"] = json::array();
    std::set<EdgeId> all;
    for (auto &[e, s] : edges_)
        all.insert(e);
    for (auto &[v, holds] : allocation_.all())
        for (auto &[e, h] : holds)
            all.insert(e);
    for (auto e : all) {
        static constexpr const char *stages[] = {"held", "lapsed", "none"};
        json x{{"id", e.value}, {"lease", stages[static_cast<int>(lease_table_.stage(e))]}};
        x["serving"] = allocation_.served_by(e).size();
        if (auto it = edges_.find(e); it != edges_.end()) {
            auto &s = *sessions_.at(it->second);
            x["listen"] = s.listen, x["version"] = s.acked.value, x["term"] = s.edge_term.value;
            x["behind"] = state_.version().value - std::min(s.acked, state_.version()).value;
            x["silent_ms"] = (now - s.heard) / ms, x["connected"] = true;
        } else {
            x["connected"] = false;
        }
        out["edges"].push_back(std::move(x));
    }
    return out.dump();
}

} // namespace knotvane::planner
