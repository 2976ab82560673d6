#include "planner/membership.hpp"

#include <algorithm>
#include <limits>

namespace knotvane::planner {
namespace {
constexpr Time never = std::numeric_limits<Time>::max();
// Times the usual silence for which a node that no edge vouches for stays in: edges are asked each
// second.
constexpr Time unvouched = 5;
} // namespace

LeaseTable::Stage LeaseTable::stage(EdgeId edge) const {
    auto it = until_.find(edge);
    return it == until_.end() ? Stage::forgotten : it->second.stage;
}

void LeaseTable::pass(Time now, const std::function<void(EdgeId, Stage)> &call) {
    for (auto it = until_.begin(); it != until_.end();) {
        auto &[edge, e] = *it;
        if (e.stage == Stage::held && now > e.until) {
            e.stage = Stage::lapsed;
            call(edge, e.stage);
        }
        if (e.stage == Stage::lapsed && now > e.until + fade_) {
            auto gone = edge;
            it = until_.erase(it);
            call(gone, Stage::forgotten);
            continue;
        }
        ++it;
    }
}
Time LeaseTable::next_due() const {
    Time due = never;
    for (auto &[edge, e] : until_)
        due = std::min(due, (e.stage == Stage::held ? e.until : e.until + fade_) + 1);
    return due;
}
std::size_t LeaseTable::held() const {
    std::size_t n = 0;
    for (auto &[edge, e] : until_)
        n += e.stage == Stage::held;
    return n;
}

void NodeLiveness::heard(Time now, const std::string &address, std::uint64_t incarnation,
                         Time started) {
    bool another = incarnation != incarnation_ || !ever_heard();
    heard_ = now, address_ = address;
    // What edges met was the life before. Of one life the first start told stays: told again it
    // differs by what the message took, and edges would take that for a restart.
    if (another) {
        incarnation_ = incarnation, started_ = started;
        in_ = true, bad_ = good_ = false, unreached_.clear(), reached_.clear();
    }
}
void NodeLiveness::assume(Time now, const std::string &address, std::uint64_t incarnation,
                          Time started) {
    heard_ = now, address_ = address, incarnation_ = incarnation, started_ = started, in_ = true;
}
void NodeLiveness::witness(EdgeId edge, bool reached) {
    (reached ? unreached_ : reached_).erase(edge);
    (reached ? reached_ : unreached_).insert(edge);
}

bool NodeLiveness::in(Time now, std::size_t edges) {
    if (!ever_heard())
        return false;
    bool silent = now - heard_ > silent_for_;
    if (!silent)
        reached_.clear(); // what edges say when asked counts for one silence
    // Both are needed: a node that only the planner lost still serves, and one that only some edges
    // lost is theirs to go around. Where no edge vouches for it at all, long silence is enough.
    bool lost = silent && (edges == 0 || unreached_.size() * 2 > edges ||
                           (reached_.empty() && now - heard_ > unvouched * silent_for_));
    if (lost && !bad_)
        bad_since_ = now;
    bad_ = lost;
    if (!silent && !good_)
        good_since_ = now;
    good_ = !silent;
    while (!outs_.empty() && now - outs_.front() > memory_)
        outs_.pop_front();
    if (in_ && bad_ && now - bad_since_ >= out_after_) {
        in_ = false;
        outs_.push_back(now);
    } else if (!in_ && good_ &&
               now - good_since_ >=
                   back_after_ * static_cast<Time>(std::max<std::size_t>(1, outs_.size()))) {
        // Guards against flapping: each time it went out of late it has to be steady for longer.
        in_ = true;
    }
    return in_;
}
bool NodeLiveness::to_ask(Time now) {
    if (!in_ || good_ || !ever_heard() || now - asked_ < ask_every)
        return false;
    asked_ = now;
    return true;
}
Time NodeLiveness::next_due() const {
    if (!ever_heard())
        return never;
    if (in_)
        return bad_    ? bad_since_ + out_after_
               : good_ ? heard_ + silent_for_ + 1
                       : std::min(std::max(asked_, heard_ + unvouched * silent_for_ + 1),
                                  asked_ + ask_every);
    if (!good_)
        return never;
    return good_since_ + back_after_ * static_cast<Time>(std::max<std::size_t>(1, outs_.size()));
}

} // namespace knotvane::planner
