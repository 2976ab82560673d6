#include "planner/snapshot_coordinator.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace knotvane::planner {
namespace {

// The longest that an edge holds changes back, by its own clock from when it hears. Far below any
// client's patience, some hundred times a round trip between halls.
constexpr Time hold_time = 500 * ms;
// An edge that has not stopped by then is left out: its changes wait at the nodes until the cut is
// sealed.
constexpr Time ready_time = 100 * ms;
// After this nodes have cut or the cut ends: edges must hear to go on before they go on by
// themselves.
constexpr Time open_time = 400 * ms;
constexpr Time moved_time = sec;
// Changes that began before end by then: longer than any client timeout in use.
constexpr Time drain_time = 15 * sec;
// Making a cut durable: a node may have much to flush.
constexpr Time seal_time = 15 * sec;
constexpr Time clone_time = 15 * sec;
// How often nodes are told again of what they have to take back.
constexpr Time undo_every = 2 * sec;

const char *name(int phase) {
    static constexpr const char *names[] = {"edges to stop",  "nodes to cut",  "edges to go on",
                                            "changes to end", "nodes to seal", "nodes to clone"};
    return names[phase];
}
template <class Ids>
std::string list(const Ids &ids) {
    std::string out;
    std::size_t told = 0;
    for (auto id : ids) {
        if (told++ == 5)
            return out + ", ... (" + std::to_string(ids.size()) + ")";
        out += (out.empty() ? "" : ", ") + std::to_string(id.value);
    }
    return out;
}

} // namespace

void SnapshotCoordinator::begin_cut(Time now, VolumeId of, VolumeId as, std::uint32_t epoch,
                                    std::set<EdgeId> edges, std::set<NodeId> nodes) {
    auto &a = attempts_[as];
    a.of = of, a.epoch = epoch, a.began = now, a.until = now + ready_time;
    a.asked = a.waited = std::move(edges), a.nodes = std::move(nodes);
    for (auto e : a.asked)
        orders_.hold(e, of, as, epoch, hold_time);
    step(now, as, a);
}
void SnapshotCoordinator::begin_clone(Time now, VolumeId of, VolumeId as, std::set<NodeId> nodes) {
    auto &a = attempts_[as];
    a.of = of, a.phase = Phase::cloning, a.began = now, a.until = now + clone_time;
    a.nodes = a.missing = std::move(nodes);
    for (auto n : a.nodes)
        orders_.clone(n, of, as);
}

void SnapshotCoordinator::open(Time now, VolumeId as, Attempt &a) {
    a.phase = Phase::opening, a.until = a.began + open_time;
    a.missing = a.nodes;
    // Whoever has not stopped is not among these, and so can't change the cut: not a slow edge, not
    // one that the planner does not know of.
    for (auto e : a.waited)
        orders_.release(e, a.of, as);
    a.waited.clear();
    // By process, not by edge: one that restarts in the middle may go by an old plan.
    std::vector<control::EdgeIncarnation> late;
    for (auto &[e, incarnation] : a.late)
        late.push_back(incarnation);
    for (auto n : a.nodes)
        orders_.open(n, a.of, as, a.epoch, late);
    step(now, as, a);
}
// Goes on to the next phase where this one has all it waits for.
void SnapshotCoordinator::step(Time now, VolumeId as, Attempt &a) {
    switch (a.phase) {
    case Phase::holding:
        if (a.waited.empty())
            open(now, as, a);
        return;
    case Phase::opening:
        if (!a.missing.empty())
            return;
        a.phase = Phase::moving, a.until = now + moved_time;
        for (auto &[e, incarnation] : a.late)
            a.waited.insert(e), orders_.go(e, a.of, as, a.epoch);
        [[fallthrough]];
    case Phase::moving:
        if (!a.waited.empty())
            return;
        a.phase = Phase::draining, a.until = now + drain_time;
        for (auto &[e, incarnation] : a.late)
            if (!a.drained.contains(e))
                a.waited.insert(e);
        [[fallthrough]];
    case Phase::draining:
        if (!a.waited.empty())
            return;
        a.phase = Phase::sealing, a.until = now + seal_time, a.missing = a.nodes;
        for (auto n : a.nodes)
            orders_.seal(n, a.of, as);
        return;
    case Phase::sealing:
    case Phase::cloning:
        if (!a.missing.empty())
            return;
        attempts_.erase(as);
        orders_.whole(as);
    }
}
void SnapshotCoordinator::fail(VolumeId as, const std::string &why, bool again) {
    auto node = attempts_.extract(as);
    auto &a = node.mapped();
    if (a.phase == Phase::holding || a.phase == Phase::opening)
        for (auto e : a.asked)
            orders_.release(e, a.of, as);
    orders_.failed(as, why, again);
}

void SnapshotCoordinator::edge_told(Time now, EdgeId edge, control::EdgeIncarnation incarnation,
                                    VolumeId as, SnapshotStep what) {
    auto it = attempts_.find(as);
    if (it == attempts_.end())
        return;
    auto &a = it->second;
    if (!a.asked.contains(edge))
        return;
    switch (what) {
    case SnapshotStep::ready:
        if (a.phase != Phase::holding) {
            if (!a.late.contains(edge))
                orders_.release(edge, a.of, as);
            return;
        }
        a.waited.erase(edge);
        a.late[edge] = incarnation;
        break;
    case SnapshotStep::lapsed:
        // Guards against an edge that went on by itself, in the epoch before, while others are in
        // the new one.
        if (!a.late.contains(edge))
            return;
        return fail(
            as, "edge " + std::to_string(edge.value) + " held its changes back for too long", true);
    case SnapshotStep::drained:
        a.drained.insert(edge);
        if (a.phase == Phase::draining)
            a.waited.erase(edge);
        break;
    case SnapshotStep::moved:
        if (a.phase == Phase::moving)
            a.waited.erase(edge);
        break;
    default:
        return;
    }
    step(now, as, a);
}
void SnapshotCoordinator::node_told(Time now, NodeId node, ShardId shard, VolumeId as,
                                    SnapshotStep what, std::uint8_t how) {
    constexpr std::uint8_t done = 0, exists = 1, full = 3;
    if (what == SnapshotStep::dropped) {
        auto u = undo_.find(as);
        if (u == undo_.end() || how != done)
            return;
        u->second.erase(shard);
        if (!u->second.empty())
            return;
        undo_.erase(u);
        return orders_.undone(as);
    }
    auto it = attempts_.find(as);
    if (it == attempts_.end())
        return;
    auto &a = it->second;
    bool expected = what == SnapshotStep::opened ? a.phase == Phase::opening
                    : what == SnapshotStep::sealed
                        ? a.phase == Phase::sealing
                        : what == SnapshotStep::cloned && a.phase == Phase::cloning;
    if (!expected || !a.missing.contains(node))
        return;
    if (how != done && how != exists)
        return fail(as,
                    "node " + std::to_string(node.value) +
                        (how == full ? ": less than a tenth of its store is free"
                                     : " could not do it; see its log"),
                    false);
    a.missing.erase(node);
    step(now, as, a);
}

void SnapshotCoordinator::edge_gone(Time now, EdgeId edge) {
    std::vector<VolumeId> of;
    for (auto &[as, a] : attempts_)
        if (a.asked.contains(edge))
            of.push_back(as);
    for (auto as : of) {
        auto &a = attempts_.at(as);
        a.asked.erase(edge);
        if (a.phase == Phase::holding) {
            // It goes on by itself, and is left out.
            a.waited.erase(edge), a.late.erase(edge);
            step(now, as, a);
        } else if (a.late.contains(edge) && !a.drained.contains(edge)) {
            fail(as, "edge " + std::to_string(edge.value) + " was lost on the way", true);
        }
    }
}
void SnapshotCoordinator::node_gone(Time, NodeId node) {
    std::vector<VolumeId> of;
    for (auto &[as, a] : attempts_)
        if (a.nodes.contains(node))
            of.push_back(as);
    // Guards against a node that restarts in the middle: what it cut was not durable, and who is
    // late it has forgotten.
    for (auto as : of)
        fail(as, "node " + std::to_string(node.value) + " was lost on the way", true);
}

void SnapshotCoordinator::undo(VolumeId as, std::set<ShardId> shards) {
    undo_[as] = std::move(shards);
    undo_again_ = 0; // at the next tick
}
void SnapshotCoordinator::node_came(NodeId node, ShardId shard) {
    for (auto &[as, left] : undo_)
        if (left.contains(shard))
            orders_.drop(node, as);
}
void SnapshotCoordinator::shards(const std::set<ShardId> &all) {
    for (auto it = undo_.begin(); it != undo_.end();) {
        std::erase_if(it->second, [&](ShardId s) { return !all.contains(s); });
        auto as = it->first;
        bool over = it->second.empty();
        it = over ? undo_.erase(it) : std::next(it);
        if (over)
            orders_.undone(as);
    }
}

Time SnapshotCoordinator::next_due() const {
    Time due = std::numeric_limits<Time>::max();
    for (auto &[as, a] : attempts_)
        due = std::min(due, a.until);
    return undo_.empty() ? due : std::min(due, undo_again_);
}
void SnapshotCoordinator::tick(Time now, const std::map<NodeId, ShardId> &connected) {
    std::vector<VolumeId> late;
    for (auto &[as, a] : attempts_)
        if (now >= a.until)
            late.push_back(as);
    for (auto as : late) {
        auto &a = attempts_.at(as);
        if (a.phase == Phase::holding)
            open(now, as, a);
        else
            fail(as,
                 std::string("waited too long for ") + name(static_cast<int>(a.phase)) +
                     (a.missing.empty() ? a.waited.empty() ? "" : ": edge " + list(a.waited)
                                        : ": node " + list(a.missing)),
                 true);
    }
    if (undo_.empty() || now < undo_again_)
        return;
    undo_again_ = now + undo_every;
    for (auto &[node, shard] : connected)
        node_came(node, shard);
}

std::map<VolumeId, std::string> SnapshotCoordinator::under_way() const {
    std::map<VolumeId, std::string> out;
    for (auto &[as, a] : attempts_) {
        auto waits = a.missing.empty() ? list(a.waited) : list(a.missing);
        out[as] = std::string("waits for ") + name(static_cast<int>(a.phase)) +
                  (waits.empty() ? "" : " (" + waits + ")");
    }
    return out;
}

} // namespace knotvane::planner
