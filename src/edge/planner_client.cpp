#include "edge/planner_client.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::edge {
namespace {

// The first try after a loss comes within this; each failure doubles it, up to the longest. 280
// edges that lose a planner together come back over a quarter of a second, and load a dead one's
// host with under a hundred tries a second.
constexpr Time first_wait = 250 * ms, longest_wait = 4 * sec;
// A try that has come to nothing by then is given up.
constexpr Time dial_time = 2 * sec;
// How many failures a planner that was left for what it said counts as.
constexpr std::uint32_t left = 4;
// A planner that answers nothing for so many renewals is taken for hung, and the connection for
// lost.
constexpr Time silent_renewals = 5;
// A node is called out of reach after so many shots in a row came to nothing, over at least this
// time; answered even once, it is in reach.
constexpr std::uint32_t failures_enough = 3;
constexpr Time failing_for = 500 * ms;
// Past so much on disk the whole is asked for again, which starts the file anew.
constexpr std::size_t most_on_disk = 8 << 20;
// An answer this old still says that a node is reached: a few renewals' time.
constexpr Time vouch_for = 5 * sec;
// News is read so many bytes a moment: about three hundred volumes, under a third of a millisecond.
constexpr std::size_t slice = 16 << 10;
// A plan from the disk may be from the future by this, for clocks that are set.
constexpr Time clock_slack = 60 * sec;

} // namespace

PlannerClient::PlannerClient(PlannerClientActions &line, control::EdgeId edge, std::string listen,
                             std::uint64_t seed, Time renew_every, Time trust)
    : actions_(line), edge_(edge), listen_(std::move(listen)),
      reconnect_backoff_(first_wait, longest_wait, seed * 7919 + edge.value + 1),
      renew_every_(renew_every), trust_(trust) {}

void PlannerClient::start(Time now, std::string_view disk) {
    now_ = now;
    reconnect_backoff_.at_once(now);
    if (disk.empty())
        return;
    from_disk_ = true;
    // News that the file holds only in part is dropped by the copy, as if its end were lost on the
    // way.
    auto fault = reader_.bytes(disk, *this);
    reader_ = {};
    fault_.clear();
    auto age = now - planner_now_;
    if (replica_.term() == control::Term{0}) {
        actions_.log_event("the plan on disk is not used: it holds nothing whole");
    } else if (age > trust_ || age < -clock_slack) {
        actions_.log_event("the plan on disk is not used: it is " + std::to_string(age / sec) +
                           "s old, at most " + std::to_string(trust_ / sec) + "s are trusted");
        replica_ = {};
    } else {
        actions_.log_event("started from the plan on disk, stale: term " +
                           std::to_string(replica_.term().value) + ", version " +
                           std::to_string(replica_.version().value) + ", " +
                           std::to_string(age / sec) + "s old");
        // Written anew: what is added after a piece that was cut short would never be read.
        auto &t = replica_.cluster_state();
        std::string all = control::begins(replica_.term(), replica_.instance(), replica_.lineage(),
                                          replica_.version(), control::Version{0}, planner_now_);
        for (auto &[id, p] : t.plans)
            all += control::put(id, p);
        for (auto &[id, v] : t.volumes)
            all += control::put(id, v);
        for (auto &[id, n] : t.nodes)
            all += control::put(id, n);
        for (auto &[id, p] : t.quota_shares)
            all += control::put(id, p);
        all += control::ends(replica_.version(), t.plans.size() + t.volumes.size() +
                                                     t.nodes.size() + t.quota_shares.size());
        on_disk_ = all.size();
        actions_.store_plan(std::move(all), true);
        taken(true, true);
    }
    from_disk_ = false;
}

// ---- The connection.
void PlannerClient::connected(Time now) {
    now_ = heard_ = now;
    up_ = true;
    reconnect_backoff_.up();
    reader_ = {}, unread_.clear(), read_ = 0;
    fault_.clear();
    std::vector<NodeId> draining;
    for (auto &[id, n] : replica_.cluster_state().nodes)
        if (n.state == NodeState::draining)
            draining.push_back(id);
    send(control::edge_hello(edge_, listen_, replica_.term(), replica_.instance(),
                             replica_.lineage(), replica_.version(), draining,
                             {used_.begin(), used_.end()}));
    for (auto &[id, r] : reach_)
        if (r.unreached)
            send(control::witness(id, false));
    send_renewal();
}
void PlannerClient::disconnected(Time now) {
    now_ = now;
    up_ = false, renew_at_ = never;
    reconnect_backoff_.lost(now);
    actions_.planner_lost();
}
void PlannerClient::leave(const std::string &why) {
    actions_.log_event("planner: connection closed: " + why);
    actions_.disconnect_planner();
    up_ = false, renew_at_ = never;
    reconnect_backoff_.lost(now_, left);
    actions_.planner_lost();
}
void PlannerClient::send(std::string bytes) {
    if (up_)
        actions_.send_planner(std::move(bytes));
}
void PlannerClient::send_renewal() {
    // What the planner seems not to have heard is said again, both ways.
    auto &quota_shares = replica_.cluster_state().quota_shares;
    for (auto v : used_)
        if (!quota_shares.contains(v))
            send(control::serve(v, true));
    for (auto &[v, p] : quota_shares)
        if (!used_.contains(v))
            send(control::serve(v, false));
    send(control::renew(now_, replica_.term(), replica_.version()));
    renew_at_ = now_ + renew_every_;
}

void PlannerClient::received(Time now, std::string_view in) {
    now_ = heard_ = now;
    unread_.append(in);
    read_some();
}
void PlannerClient::read_some() {
    // Guards against a whole list that comes at once: clients would wait for all of it to be read.
    auto some = std::string_view(unread_).substr(read_, slice);
    if (some.empty())
        return;
    read_ += some.size();
    auto fault = reader_.bytes(some, *this);
    if (read_ == unread_.size())
        unread_.clear(), read_ = 0;
    if (fault.empty())
        fault = fault_;
    if (!fault.empty() && up_)
        leave(fault);
}
void PlannerClient::unexpected(const char *what) {
    if (fault_.empty())
        fault_ = std::string(what) + " is not expected from a planner";
}

// ---- News.
void PlannerClient::begins(control::Term term, std::uint64_t instance, std::uint64_t lineage,
                           control::Version version, control::Version from, Time planner_now) {
    raw_ = control::begins(term, instance, lineage, version, from, planner_now);
    planner_now_ = planner_now;
    replica_.begins(term, instance, lineage, version, from);
}
void PlannerClient::ends(control::Version version, std::uint64_t count) {
    raw_ += control::ends(version, count);
    auto how = replica_.ends(version, count);
    auto raw = std::exchange(raw_, {});
    if (from_disk_)
        return;
    switch (how) {
    case control::UpdateResult::old:
        break;
    case control::UpdateResult::foreign:
        send(control::superseded(replica_.term()));
        if (fault_.empty())
            fault_ = "it plans with an older term, or twice under one; term " +
                     std::to_string(replica_.term().value) + " is followed";
        return;
    case control::UpdateResult::gap:
    case control::UpdateResult::broken:
        send(control::ask());
        return;
    case control::UpdateResult::whole:
        on_disk_ = raw.size();
        actions_.store_plan(std::move(raw), true);
        taken(replica_.nodes_changed(), replica_.plans_changed());
        break;
    case control::UpdateResult::changes:
        on_disk_ += raw.size();
        actions_.store_plan(std::move(raw), false);
        if (on_disk_ >= most_on_disk)
            send(control::ask()), on_disk_ = 0;
        taken(replica_.nodes_changed(), replica_.plans_changed());
        break;
    }
    send_renewal(); // says what is held now
}
void PlannerClient::taken(bool nodes, bool plans) {
    std::map<NodeId, Time> started;
    for (auto &[id, n] : replica_.cluster_state().nodes) {
        // One life of a node keeps the start that was first worked out here: told again it would
        // differ by what the message took. Late news makes a node younger, and so colder, never
        // warmer.
        auto [it, is_new] = started_.try_emplace(id, n.incarnation, 0);
        if (is_new || it->second.first != n.incarnation)
            it->second = {n.incarnation, now_ - (planner_now_ - n.started)};
        started[id] = it->second.second;
    }
    std::erase_if(started_,
                  [&](auto &s) { return !replica_.cluster_state().nodes.contains(s.first); });
    std::erase_if(reach_,
                  [&](auto &r) { return !replica_.cluster_state().nodes.contains(r.first); });
    clearing_ = true;
    actions_.cluster_state_changed(replica_.cluster_state(), nodes, plans, started);
    tell_parts();
}

// ---- Rights.
void PlannerClient::renewed(Time at, control::Term term, Time lease, Time fade,
                            control::Version least) {
    // Of a version that this edge does not go by yet, it would prolong parts that have been lowered
    // since.
    if (from_disk_ || term != replica_.term() || replica_.version() < least)
        return;
    // From when it was asked for, by this clock: the planner counts from later on.
    lease_until_ = std::max(lease_until_, at + lease), fade_ = fade;
    if (std::exchange(stage_, stage()) != stage())
        tell_parts();
}
void PlannerClient::tell_parts() {
    for (auto v : used_) {
        auto it = replica_.cluster_state().quota_shares.find(v);
        auto millionths =
            it == replica_.cluster_state().quota_shares.end() ? 0 : it->second.millionths;
        auto now_usable = control::usable_millionths(millionths, past_lease(now_), fade_);
        auto [told, is_new] = told_.try_emplace(v, now_usable);
        if (!is_new && std::exchange(told->second, now_usable) == now_usable)
            continue;
        actions_.quota_share_changed(
            v, now_usable == 0 ? std::numeric_limits<double>::infinity()
                               : static_cast<double>(control::whole_limit) / now_usable);
    }
}
void PlannerClient::volume_used(Time now, VolumeId volume, bool on) {
    now_ = now;
    if (on) {
        used_.insert(volume);
        tell_parts();
    } else {
        // Nothing may come in meanwhile: the part may be another's when the next client of the
        // volume comes.
        used_.erase(volume), told_.erase(volume);
        actions_.quota_share_changed(volume, std::numeric_limits<double>::infinity());
    }
    send(control::serve(volume, on));
}

// ---- Witness.
void PlannerClient::attempt_completed(Time now, NodeId node, AttemptOutcome how) {
    now_ = now;
    auto &r = reach_[node];
    bool met = how == AttemptOutcome::answered || how == AttemptOutcome::error ||
               how == AttemptOutcome::overloaded;
    bool lost = how == AttemptOutcome::unreachable || how == AttemptOutcome::reset ||
                how == AttemptOutcome::timed_out;
    if (met) {
        r.failures = 0, r.met = now;
        if (std::exchange(r.unreached, false))
            send(control::witness(node, true));
    } else if (lost) {
        if (r.failures++ == 0)
            r.first = now;
        if (r.failures >= failures_enough && now - r.first >= failing_for &&
            !std::exchange(r.unreached, true))
            send(control::witness(node, false));
    }
}

void PlannerClient::witness_asked(NodeId node) {
    auto it = reach_.find(node);
    if (it == reach_.end())
        return;
    if (it->second.unreached)
        send(control::witness(node, false));
    else if (now_ - it->second.met <= vouch_for)
        send(control::witness(node, true));
}

// ---- Time.
Time PlannerClient::next_due() const {
    Time due = up_ ? std::min(renew_at_, heard_ + silent_renewals * renew_every_)
                   : reconnect_backoff_.due();
    // The right runs out at a moment of its own, told before anything is done in it.
    if (stage_ < 2)
        due = std::min(due, lease_until_ + (stage_ == 0 ? 0 : fade_) + 1);
    if (clearing_ || read_ < unread_.size())
        due = std::min(due, now_);
    return due;
}
void PlannerClient::tick(Time now) {
    now_ = now;
    if (up_)
        read_some();
    if (auto is = stage(); std::exchange(stage_, is) != is) {
        actions_.log_event(
            is == 1
                ? "planner: no word for a lease; parts of limits fall to a piece, all else as last "
                  "told"
                : "planner: no word for long; no part of any limit is used, all else as last told");
        tell_parts();
    }
    if (clearing_)
        clearing_ = replica_.clear_away();
    if (up_ && now - heard_ >= silent_renewals * renew_every_)
        return leave("it has answered nothing for long");
    if (up_ && now >= renew_at_)
        send_renewal();
    if (up_ || now < reconnect_backoff_.due())
        return;
    if (reconnect_backoff_.trying())
        actions_.disconnect_planner();
    reconnect_backoff_.trying(now, dial_time);
    actions_.connect_planner();
}

} // namespace knotvane::edge
