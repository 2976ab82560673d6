// The planner's core, of snapshots and clones: what operators may ask, what has to be durable
// before it is begun or said, and who is told. What becomes of a cut is decided in cuts.cpp.
#include "planner/core.hpp"

#include <algorithm>
#include <utility>

#include "planner/session.hpp"

namespace knotvane::planner {
namespace {

// A cut that met a loss on the way is tried again so often; then the operator hears why.
constexpr std::uint32_t most_tries = 3;
// Ranges told to an operator, in one message; the sum is of all.
constexpr std::size_t most_ranges = 20000;
constexpr Time question_time = 5 * sec;
constexpr std::size_t longest_name = 255;

} // namespace

std::set<ShardId> Core::all_shards() const {
    std::set<ShardId> out;
    for (auto &[id, n] : desired_.nodes)
        out.insert(n.shard);
    return out;
}
std::map<NodeId, ShardId> Core::connected_nodes() const {
    std::map<NodeId, ShardId> out;
    for (auto &[id, session] : nodes_)
        if (auto w = desired_.nodes.find(id); w != desired_.nodes.end())
            out[id] = w->second.shard;
    return out;
}
std::set<NodeId> Core::nodes_for_cut(std::string &why) const {
    std::set<NodeId> out;
    std::set<ShardId> met;
    for (auto &[id, shard] : connected_nodes()) {
        auto it = state_.cluster_state().nodes.find(id);
        if (it == state_.cluster_state().nodes.end() || it->second.state == NodeState::removed)
            continue;
        out.insert(id), met.insert(shard);
    }
    for (auto shard : all_shards())
        if (!met.contains(shard))
            why =
                "no node of shard " + std::to_string(shard.value) + " is connected to the planner";
    return why.empty() ? out : std::set<NodeId>{};
}
std::optional<VolumeId> Core::find(const std::string &name) const {
    auto it = state_.cluster_state().names.find(name);
    return it == state_.cluster_state().names.end() ? std::nullopt : std::optional(it->second);
}
std::vector<std::uint64_t> Core::users(VolumeId id) const {
    std::vector<std::uint64_t> out;
    if (auto it = allocation_.all().find(id); it != allocation_.all().end())
        for (auto &[edge, h] : it->second)
            if (h.serves)
                out.push_back(edge.value);
    return out;
}

// ---- The operator's word.
// Why it can't be; empty where it can, and then `p` says what is to be made.
std::string Core::refuse_cut(std::uint8_t what, const std::string &name, const std::string &as,
                             const std::string &plan, Pending &p) {
    auto of = find(name);
    if (!of)
        return "there is no volume or snapshot " + name;
    auto &source = state_.cluster_state().volumes.at(*of);
    bool take = what == 0;
    auto full = take ? name + "@" + as : as;
    if (as.empty() || as.find('@') != std::string::npos || full.size() > longest_name)
        return "the name '" + as + "' can't be: expected one without '@', " +
               std::to_string(longest_name) + " bytes at most with the volume's";
    if (auto old = find(full)) {
        auto &f = state_.cluster_state().volumes.at(*old);
        return full + " is there already" +
               (f.is_snapshot() ? ", taken " + std::to_string((now_ - f.taken) / sec) + "s ago"
                                : "");
    }
    for (auto &[id, other] : pending_)
        if (other.fact.name == full)
            return full + " is under way";
    if (take && source.frozen)
        return name + " is a snapshot, which does not change: clone it";
    if (!take && !source.frozen)
        return name + " is no snapshot: take one and clone that";
    p.of = *of, p.clone = !take;
    p.fact = source;
    p.fact.name = full, p.fact.of = *of, p.fact.place = source.lies_as(*of), p.fact.frozen = take;
    p.fact.epoch = 0;
    // It pays from its source's part, so that no reserve and no limit is there twice.
    p.fact.charge = source.charged_to(*of);
    if (!take && !plan.empty()) {
        auto &plans = state_.cluster_state().plans;
        auto it = std::find_if(plans.begin(), plans.end(),
                               [&](auto &x) { return x.second.name == plan; });
        if (it == plans.end())
            return "there is no plan " + plan;
        if (it->second.reserve > 0)
            return "plan " + plan +
                   " has a reserve, which a clone would have again: choose one without, or none "
                   "to " +
                   "pay from the source's part";
        p.fact.plan = it->first, p.fact.charge = {};
    }
    std::string why;
    if (nodes_for_cut(why).empty())
        return why.empty() ? "there are no nodes" : why;
    return {};
}
void Core::cut_asked(Session &session, std::uint8_t what, const std::string &name,
                     const std::string &as, const std::string &plan) {
    auto refuse = [&](const std::string &why) {
        transport_.send(session.id, control::effect(false, false, why));
    };
    if (what == 1) {
        auto id = find(name);
        if (!id || !state_.cluster_state().volumes.at(*id).is_snapshot())
            return refuse("there is no snapshot or clone " + name);
        return drop_cut(session, *id);
    }
    if (what == 3) {
        auto a = find(name), b = find(as);
        if (!a || !b)
            return refuse("there is no volume or snapshot " + (a ? as : name));
        auto &t = state_.cluster_state().volumes;
        if (t.at(*a).lies_as(*a) != t.at(*b).lies_as(*b))
            return refuse(name + " and " + as + " do not come from one volume");
        return compare(session, *a, *b);
    }
    Pending p;
    if (auto why = refuse_cut(what, name, as, plan, p); !why.empty())
        return refuse(why);
    // Found in virtual time: one that had failed and was about to be tried again did not count, and
    // two cuts of one volume were open at once, of which late changes met one.
    for (auto &[as_other, other] : pending_)
        if (!p.clone && !other.clone && other.of == p.of)
            return refuse("another snapshot of " + name + " is under way");
    p.session = session.id, p.began = now_;
    prepare(std::move(p));
}
// That it may have to be undone is durable before it is begun.
void Core::prepare(Pending p) {
    // Above every life's before: terms count up, and so does this.
    VolumeId as{};
    do
        as = VolumeId{std::uint64_t{1} << 63 | (term_.value & 0x7fffff) << 40 | ++next_cut_};
    while (state_.cluster_state().volumes.contains(as));
    if (!p.clone) {
        // A store that was made anew has lost count of epochs; the clock is past all that it gave
        // out.
        auto last = state_.cluster_state().volumes.at(p.of).epoch;
        p.epoch = std::max(last + 1, static_cast<std::uint32_t>(now_ / sec));
    }
    undo_rows_[as] = {p.of, p.epoch};
    state_store_.keep(StateStore::Row::undo, as.value, p.of.value, Version{1},
                      std::to_string(p.epoch));
    commit_due_ = true;
    pending_[as] = std::move(p);
}
// After a commit.
void Core::begin_prepared() {
    for (auto &[as, p] : pending_) {
        if (std::exchange(p.durable, true))
            continue;
        std::string why;
        auto nodes = nodes_for_cut(why);
        if (nodes.empty()) {
            failed(as, why, false);
        } else if (p.clone) {
            snapshots_.begin_clone(now_, p.of, as, std::move(nodes));
        } else {
            std::set<EdgeId> edges;
            for (auto &[edge, session] : edges_)
                edges.insert(edge);
            snapshots_.begin_cut(now_, p.of, as, p.epoch, std::move(edges), std::move(nodes));
        }
    }
}
void Core::whole(VolumeId as) {
    pending_.at(as).whole = true;
}
void Core::failed(VolumeId as, const std::string &why, bool again) {
    auto &p = pending_.at(as);
    p.failed = true, p.again = again, p.why = why;
}
// What came of cuts in this moment, before it is made durable.
void Core::settle_cuts() {
    std::vector<VolumeId> over;
    for (auto &[as, p] : pending_)
        if (p.failed || p.whole)
            over.push_back(as);
    for (auto as : over) {
        auto p = std::move(pending_.extract(as).mapped());
        if (auto v = state_.cluster_state().volumes.find(p.of);
            !p.clone && v != state_.cluster_state().volumes.end()) {
            // Whole or undone, the epoch is in use.
            auto source = v->second;
            source.epoch = std::max(source.epoch, p.epoch);
            state_.put(p.of, source);
        }
        commit_due_ = true;
        if (p.whole) {
            undo_rows_.erase(as);
            state_store_.drop(StateStore::Row::undo, as.value, p.of.value);
            p.fact.taken = p.began;
            state_.put(as, p.fact);
            transport_.log_event(p.fact.name + " is whole");
            after_commit_.emplace_back(
                p.session,
                control::effect(true, true,
                                p.fact.name + ": " + (p.clone ? "cloned" : "taken") + " in " +
                                    std::to_string((now_ - p.began) / ms) + "ms"));
            continue;
        }
        snapshots_.undo(as, all_shards());
        transport_.log_event(p.fact.name + " is undone: " + p.why);
        if (p.again && ++p.tries < most_tries) {
            p.failed = p.durable = p.again = false;
            prepare(std::move(p));
        } else {
            after_commit_.emplace_back(
                p.session, control::effect(true, false,
                                           p.fact.name + ": " + p.why + "; nothing is left of it"));
        }
    }
    std::vector<std::uint64_t> late;
    for (auto &[number, q] : questions_)
        if (now_ >= q.until)
            late.push_back(number);
    for (auto number : late)
        answer_question(number, "a node did not answer in time");
}
void Core::drop_cut(Session &session, VolumeId id) {
    auto fact = state_.cluster_state().volumes.at(id);
    auto refuse = [&](const std::string &why) {
        transport_.send(session.id, control::effect(true, false, why));
    };
    if (auto who = users(id); !who.empty()) {
        std::string edges;
        for (auto e : who)
            edges += (edges.empty() ? "" : ", ") + std::to_string(e);
        return refuse(fact.name + " is in use by clients of edge " + edges);
    }
    for (auto &[as, p] : pending_)
        if (p.of == id)
            return refuse(fact.name + " is being cloned to " + p.fact.name);
    state_.drop_volume(id);
    undo_rows_[id] = {fact.of, 0};
    state_store_.keep(StateStore::Row::undo, id.value, fact.of.value, Version{1}, "0");
    // Found in virtual time: ordered before it was durable, a planner that died in between came
    // back to a snapshot whose bytes were gone.
    undo_after_commit_.push_back(id);
    transport_.log_event("operator: drop " + fact.name);
    commit_due_ = true;
    after_commit_.emplace_back(
        session.id,
        control::effect(true, true,
                        fact.name + ": dropped; its space comes back in the background"));
}
void Core::undone(VolumeId as) {
    auto it = undo_rows_.find(as);
    if (it == undo_rows_.end())
        return;
    state_store_.drop(StateStore::Row::undo, as.value, it->second.first.value);
    undo_rows_.erase(it);
    commit_due_ = true;
}

// ---- What differs.
void Core::compare(Session &session, VolumeId a, VolumeId b) {
    std::string why;
    auto nodes = nodes_for_cut(why);
    if (nodes.empty())
        return transport_.send(session.id, control::effect(false, false, why));
    auto number = ++next_question_;
    Question q{session.id, a, b, {}, {}, now_ + question_time};
    for (auto n : nodes) {
        q.left[n] = 0;
        to_node(n, control::ask_diff(number, a, b, 0));
    }
    questions_[number] = std::move(q);
}
void Core::diff_told(NodeId node, std::uint64_t number, const std::vector<std::uint64_t> &ranges,
                     bool more) {
    auto it = questions_.find(number);
    if (it == questions_.end() || !it->second.left.contains(node))
        return;
    auto &q = it->second;
    for (std::size_t i = 0; i + 1 < ranges.size(); i += 2)
        q.ranges[ranges[i]] = ranges[i + 1];
    if (more && !ranges.empty()) {
        auto from = ranges[ranges.size() - 2] + 1;
        q.left[node] = from;
        return to_node(node, control::ask_diff(number, q.a, q.b, from));
    }
    q.left.erase(node);
    if (q.left.empty())
        answer_question(number, {});
}
void Core::answer_question(std::uint64_t number, std::string why) {
    auto q = std::move(questions_.extract(number).mapped());
    if (!sessions_.contains(q.session))
        return;
    if (!why.empty())
        return transport_.send(q.session, control::effect(true, false, why));
    // Ranges of two shards may touch.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> merged;
    std::uint64_t sum = 0;
    for (auto &[at, length] : q.ranges) {
        sum += length;
        if (!merged.empty() && merged.back().first + merged.back().second == at)
            merged.back().second += length;
        else
            merged.emplace_back(at, length);
    }
    std::string text =
        std::to_string(sum) + " bytes in " + std::to_string(merged.size()) + " ranges differ";
    if (merged.size() > most_ranges)
        text += ", the first " + std::to_string(most_ranges) + " are";
    for (std::size_t i = 0; i < merged.size() && i < most_ranges; ++i)
        text += "\n" + std::to_string(merged[i].first) + " " + std::to_string(merged[i].second);
    transport_.send(q.session, control::effect(true, true, text));
}

// ---- Orders, to whoever is connected.
void Core::to_edge(EdgeId edge, std::string bytes) {
    if (auto it = edges_.find(edge); it != edges_.end())
        transport_.send(it->second, std::move(bytes));
}
void Core::to_node(NodeId node, std::string bytes) {
    if (auto it = nodes_.find(node); it != nodes_.end())
        transport_.send(it->second, std::move(bytes));
}
void Core::hold(EdgeId edge, VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) {
    to_edge(edge, control::cut_hold(of, as, epoch, longest));
}
void Core::go(EdgeId edge, VolumeId of, VolumeId as, std::uint32_t epoch) {
    to_edge(edge, control::cut_go(of, as, epoch));
}
void Core::release(EdgeId edge, VolumeId of, VolumeId as) {
    to_edge(edge, control::cut_release(of, as));
}
void Core::open(NodeId node, VolumeId of, VolumeId as, std::uint32_t epoch,
                const std::vector<control::EdgeIncarnation> &late) {
    to_node(node, control::cut_open(of, as, epoch, late));
}
void Core::seal(NodeId node, VolumeId of, VolumeId as) {
    to_node(node, control::cut_seal(of, as));
}
void Core::clone(NodeId node, VolumeId of, VolumeId as) {
    to_node(node, control::cut_clone(of, as));
}
void Core::drop(NodeId node, VolumeId as) {
    to_node(node, control::cut_drop(as));
}

} // namespace knotvane::planner
