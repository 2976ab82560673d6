// Who is there: edges by leases, nodes by registration and by what edges say of them. No I/O; time
// is given, nanoseconds of a clock that never goes back.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "control/cluster_state.hpp"

namespace knotvane::planner {

using control::EdgeId;
using control::Version;

// Edges' rights to their parts, as the planner has to count them.
class LeaseTable {
public:
    enum class Stage { held, lapsed, forgotten };
    // `lease`: from the edge's own sending on; here it runs `margin` longer, for clocks that run
    // unlike. `fade`: how much longer a lapsed edge keeps a piece.
    LeaseTable(Time lease, Time margin, Time fade) : lease_(lease), margin_(margin), fade_(fade) {}
    // An edge that may hold parts from before this planner's life, renewed by then at the latest.
    void known(EdgeId edge, Time now, bool lapsed) {
        until_[edge] = {now + lease_ + margin_, lapsed ? Stage::lapsed : Stage::held};
    }
    void renewed(EdgeId edge, Time now) { until_[edge] = {now + lease_ + margin_, Stage::held}; }
    Stage stage(EdgeId edge) const;
    bool knows(EdgeId edge) const { return until_.contains(edge); }
    // Calls for each edge whose stage has changed by now; a forgotten one is known no more.
    void pass(Time now, const std::function<void(EdgeId, Stage)> &call);
    Time next_due() const;
    std::size_t held() const;
    Time lease() const { return lease_; }
    Time fade() const { return fade_; }

private:
    struct Entry {
        Time until;
        Stage stage;
    };
    Time lease_, margin_, fade_;
    std::map<EdgeId, Entry> until_;
};

// One node's life as the planner makes it out.
class NodeLiveness {
public:
    // `silent_for`: how long a registration lasts without word. `out_after`: how long a node must
    // be both silent and out of reach before it is out; `back_after`: how long it must be heard
    // before it is in again, times how often it went out within `memory`.
    NodeLiveness(Time silent_for, Time out_after, Time back_after, Time memory)
        : silent_for_(silent_for), out_after_(out_after), back_after_(back_after), memory_(memory) {
    }
    // `started`: when its process did. Another life is in at once, and cold for all.
    void heard(Time now, const std::string &address, std::uint64_t incarnation, Time started);
    void renewed(Time now) { heard_ = now; }
    // Restored: it was there when the planner last wrote, and has as long as any to say so again.
    void assume(Time now, const std::string &address, std::uint64_t incarnation, Time started);
    void witness(EdgeId edge, bool reached);
    void no_witness(EdgeId edge) { unreached_.erase(edge), reached_.erase(edge); }
    // Whether it is in by now. `edges`: how many live edges there are, for the quorum.
    bool in(Time now, std::size_t edges);
    // It is silent, and edges are to be asked (again) whether they reach it. Call after in.
    bool to_ask(Time now);
    bool ever_heard() const { return heard_ != never_heard; }
    const std::string &address() const { return address_; }
    Time started() const { return started_; }
    std::uint64_t incarnation() const { return incarnation_; }
    Time silent(Time now) const { return now - heard_; }
    std::size_t against() const { return unreached_.size(); }
    // When in() may change with nothing heard.
    Time next_due() const;

private:
    static constexpr Time never_heard = -1'000'000 * sec, ask_every = sec;
    Time silent_for_, out_after_, back_after_, memory_;
    std::string address_;
    std::uint64_t incarnation_ = 0;
    Time started_ = 0, heard_ = never_heard, bad_since_ = 0, good_since_ = 0, asked_ = never_heard;
    bool in_ = false, bad_ = false, good_ = false;
    std::set<EdgeId> unreached_, reached_;
    std::deque<Time> outs_;
};

} // namespace knotvane::planner
