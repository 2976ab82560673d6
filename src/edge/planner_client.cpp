#include "edge/planner_client.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::edge {
namespace {

// The first attempt after a loss comes within this; each failure doubles it, up to the longest.
// 280 edges that lose a planner together come back over a quarter of a second, and load a dead
// one's host with under a hundred attempts a second.
constexpr Time first_reconnect_within = 250 * ms;
constexpr Time max_reconnect_within = 4 * sec;
constexpr Time connect_timeout = 2 * sec;
// As how many failures it counts that a planner was left for what it sent.
constexpr std::uint32_t failures_of_bad_planner = 4;
// A planner that answers nothing for so many renewals is taken for hung, and the connection for
// lost.
constexpr Time silent_renewals = 5;
// Past so much on the disk the full state is asked for again, which replaces the file.
constexpr std::size_t max_stored_bytes = 8 << 20;
// Read at once: about three hundred volumes, under a third of a millisecond.
constexpr std::size_t max_bytes_read_at_once = 16 << 10;
// A state from the disk may be from the future by this, for clocks that are set.
constexpr Time clock_slack = 60 * sec;
// Seeds of neighbouring edges must not give neighbouring sequences.
constexpr std::uint64_t seed_factor = 7919;

} // namespace

PlannerClient::PlannerClient(PlannerClientActions &actions, PlannerClientConfig config)
    : actions_(actions), config_(std::move(config)),
      reconnect_backoff_(first_reconnect_within, max_reconnect_within,
                         config_.seed * seed_factor + config_.edge.value + 1) {}

// ---- The state on the disk.

void PlannerClient::start(Time now, std::string_view stored_state) {
    now_ = now;
    reconnect_backoff_.retry_now(now);
    if (stored_state.empty())
        return;
    restoring_ = true;
    restore_state(stored_state);
    restoring_ = false;
}

void PlannerClient::restore_state(std::string_view stored_state) {
    try {
        decoder_.decode(stored_state, *this);
    } catch (const control::ProtocolError &) {
        // Whole updates before the damage count. The replica drops one that is there in part, as
        // if its end were lost on the way.
    }
    decoder_ = {};
    error_.clear();
    auto age = now_ - planner_time_;
    if (replica_.term() == control::Term{0}) {
        actions_.log_event("the plan on disk is not used: it holds nothing whole");
    } else if (age > config_.max_cache_age || age < -clock_slack) {
        actions_.log_event("the plan on disk is not used: it is " + std::to_string(age / sec) +
                           "s old, at most " + std::to_string(config_.max_cache_age / sec) +
                           "s are trusted");
        replica_ = {};
    } else {
        actions_.log_event("started from the plan on disk, stale: term " +
                           std::to_string(replica_.term().value) + ", version " +
                           std::to_string(replica_.version().value) + ", " +
                           std::to_string(age / sec) + "s old");
        rewrite_stored_state();
        state_changed(true, true);
    }
}

// What is added after a piece that was cut short would never be read.
void PlannerClient::rewrite_stored_state() {
    const auto &state = replica_.cluster_state();
    auto bytes = control::encode(control::UpdateBegin{replica_.term(), replica_.instance(),
                                                      replica_.lineage(), replica_.version(),
                                                      control::Version{0}, planner_time_});
    for (const auto &[id, plan] : state.plans)
        bytes += control::encode(control::PlanUpdate{id, plan});
    for (const auto &[id, volume] : state.volumes)
        bytes += control::encode(control::VolumeUpdate{id, volume});
    for (const auto &[id, node] : state.nodes)
        bytes += control::encode(control::NodeUpdate{id, node});
    for (const auto &[id, share] : state.quota_shares)
        bytes += control::encode(control::QuotaShareUpdate{id, share});
    auto entries =
        state.plans.size() + state.volumes.size() + state.nodes.size() + state.quota_shares.size();
    bytes += control::encode(control::UpdateEnd{replica_.version(), entries});
    stored_bytes_ = bytes.size();
    actions_.store_cluster_state(std::move(bytes), true);
}

// ---- The connection.

void PlannerClient::connected(Time now) {
    now_ = now;
    last_received_ = now;
    connected_ = true;
    reconnect_backoff_.connect_succeeded();
    decoder_ = {};
    unread_.clear();
    read_bytes_ = 0;
    error_.clear();

    control::EdgeHello hello;
    hello.edge = config_.edge;
    hello.listen_address = config_.listen_address;
    hello.term = replica_.term();
    hello.instance = replica_.instance();
    hello.lineage = replica_.lineage();
    hello.version = replica_.version();
    for (const auto &[id, node] : replica_.cluster_state().nodes)
        if (node.state == NodeState::draining)
            hello.draining_nodes.push_back(id);
    hello.served_volumes = {used_.begin(), used_.end()};
    send(control::encode(hello));
    for (auto node : reachability_.unreachable())
        report_reachability(node, false);
    send_renewal();
}

void PlannerClient::disconnected(Time now) {
    now_ = now;
    connected_ = false;
    renew_at_ = never;
    reconnect_backoff_.failed(now);
    actions_.planner_lost();
}

void PlannerClient::close_connection(const std::string &why) {
    actions_.log_event("planner: connection closed: " + why);
    actions_.disconnect_planner();
    connected_ = false;
    renew_at_ = never;
    reconnect_backoff_.failed(now_, failures_of_bad_planner);
    actions_.planner_lost();
}

void PlannerClient::send(std::string bytes) {
    if (connected_)
        actions_.send_planner(std::move(bytes));
}

void PlannerClient::send_renewal() {
    // What the planner seems not to have heard is said again, both ways.
    const auto &shares = replica_.cluster_state().quota_shares;
    for (auto volume : used_)
        if (!shares.contains(volume))
            send(control::encode(control::VolumeServed{volume, true}));
    for (const auto &[volume, share] : shares)
        if (!used_.contains(volume))
            send(control::encode(control::VolumeServed{volume, false}));
    send(control::encode(control::LeaseRenewal{now_, replica_.term(), replica_.version()}));
    renew_at_ = now_ + config_.renewal_interval;
}

void PlannerClient::received(Time now, std::string_view bytes) {
    now_ = now;
    last_received_ = now;
    unread_.append(bytes);
    decode_next_piece();
}

// Guards against a full state that comes at once: clients would wait for all of it to be read.
void PlannerClient::decode_next_piece() {
    auto piece = std::string_view(unread_).substr(read_bytes_, max_bytes_read_at_once);
    if (piece.empty())
        return;
    read_bytes_ += piece.size();
    std::string why;
    try {
        decoder_.decode(piece, *this);
    } catch (const control::ProtocolError &error) {
        why = error.what();
    }
    if (read_bytes_ == unread_.size()) {
        unread_.clear();
        read_bytes_ = 0;
    }
    if (why.empty())
        why = error_;
    if (!why.empty() && connected_)
        close_connection(why);
}

void PlannerClient::handle_unexpected(std::string_view message) {
    if (error_.empty())
        error_ = std::string(message) + " is not expected from a planner";
}

// ---- Updates.

void PlannerClient::handle(const control::UpdateBegin &message) {
    update_bytes_ = control::encode(message);
    planner_time_ = message.planner_time;
    replica_.begin(message);
}

void PlannerClient::handle(const control::UpdateEnd &message) {
    update_bytes_ += control::encode(message);
    auto result = replica_.end(message);
    auto bytes = std::exchange(update_bytes_, {});
    if (restoring_)
        return;
    switch (result) {
    case control::UpdateResult::outdated:
        break;
    case control::UpdateResult::wrong_planner:
        send(control::encode(control::Superseded{replica_.term()}));
        if (error_.empty())
            error_ = "it plans with an older term, or twice under one; term " +
                     std::to_string(replica_.term().value) + " is followed";
        return;
    case control::UpdateResult::version_gap:
    case control::UpdateResult::malformed:
        send(control::encode(control::FullStateRequest{}));
        return;
    case control::UpdateResult::full_state_applied:
    case control::UpdateResult::changes_applied:
        update_applied(result, std::move(bytes));
        break;
    }
    send_renewal(); // acknowledges what is held now
}

void PlannerClient::update_applied(control::UpdateResult result, std::string bytes) {
    bool whole = result == control::UpdateResult::full_state_applied;
    stored_bytes_ = bytes.size() + (whole ? 0 : stored_bytes_);
    actions_.store_cluster_state(std::move(bytes), whole);
    if (!whole && stored_bytes_ >= max_stored_bytes) {
        send(control::encode(control::FullStateRequest{}));
        stored_bytes_ = 0;
    }
    state_changed(replica_.nodes_changed(), replica_.plans_changed());
}

void PlannerClient::state_changed(bool nodes, bool plans) {
    const auto &state = replica_.cluster_state();
    auto starts = node_starts();
    reachability_.retain([&](NodeId node) { return state.nodes.contains(node); });
    has_replaced_state_ = true;
    actions_.cluster_state_changed(state, nodes, plans, starts);
    announce_quota_shares();
}

// A node's start by this edge's clock. One incarnation keeps the start that was worked out first:
// told again it would differ by what the message took. A late update makes a node younger, and so
// its slow start longer, never shorter.
std::map<NodeId, Time> PlannerClient::node_starts() {
    const auto &nodes = replica_.cluster_state().nodes;
    std::map<NodeId, Time> out;
    for (const auto &[id, node] : nodes) {
        auto [it, is_new] = node_starts_.try_emplace(id);
        if (is_new || it->second.incarnation != node.incarnation)
            it->second = {node.incarnation, now_ - (planner_time_ - node.started)};
        out[id] = it->second.started;
    }
    std::erase_if(node_starts_, [&](const auto &entry) { return !nodes.contains(entry.first); });
    return out;
}

// ---- Quota shares.

void PlannerClient::handle(const control::LeaseRenewed &message) {
    // Of a version that this edge does not hold yet, it would prolong shares that have been lowered
    // since.
    if (restoring_ || message.term != replica_.term() || replica_.version() < message.min_version)
        return;
    lease_.renew(message.sent_at, message.lease, message.fade);
    auto stage = lease_.stage(now_);
    if (std::exchange(announced_stage_, stage) != stage)
        announce_quota_shares();
}

void PlannerClient::announce_quota_shares() {
    const auto &shares = replica_.cluster_state().quota_shares;
    for (auto volume : used_) {
        auto it = shares.find(volume);
        auto usable = control::usable_millionths(it == shares.end() ? 0 : it->second.millionths,
                                                 lease_.past(now_), lease_.fade());
        auto [announced, is_new] = announced_millionths_.try_emplace(volume, usable);
        if (!is_new && std::exchange(announced->second, usable) == usable)
            continue;
        actions_.quota_share_changed(
            volume, usable == 0 ? std::numeric_limits<double>::infinity()
                                : static_cast<double>(control::full_limit_millionths) / usable);
    }
}

void PlannerClient::volume_used(Time now, VolumeId volume, bool used) {
    now_ = now;
    if (used) {
        used_.insert(volume);
        announce_quota_shares();
    } else {
        // No request may use it meanwhile: the share may be another's when the volume's next
        // client comes.
        used_.erase(volume);
        announced_millionths_.erase(volume);
        actions_.quota_share_changed(volume, std::numeric_limits<double>::infinity());
    }
    send(control::encode(control::VolumeServed{volume, used}));
}

// ---- Nodes.

void PlannerClient::report_reachability(NodeId node, bool reachable) {
    send(control::encode(control::ReachabilityReport{node, reachable}));
}

void PlannerClient::attempt_completed(Time now, NodeId node, AttemptOutcome outcome) {
    now_ = now;
    if (auto reachable = reachability_.attempt_completed(now, node, outcome))
        report_reachability(node, *reachable);
}

void PlannerClient::handle(const control::ReachabilityRequest &message) {
    if (auto reachable = reachability_.is_reachable(now_, message.node))
        report_reachability(message.node, *reachable);
}

// ---- Snapshots. Bytes from the disk order nothing.

void PlannerClient::handle(const control::SnapshotHold &message) {
    if (!restoring_)
        actions_.snapshot_hold(message);
}

void PlannerClient::handle(const control::SnapshotResume &message) {
    if (!restoring_)
        actions_.snapshot_resume(message);
}

void PlannerClient::handle(const control::SnapshotRelease &message) {
    if (!restoring_)
        actions_.snapshot_release(message);
}

void PlannerClient::report_snapshot_step(VolumeId snapshot, control::SnapshotStep step,
                                         control::EdgeIncarnation incarnation) {
    send(control::encode(
        control::SnapshotStepReport{snapshot, step, control::SnapshotResult::done, incarnation}));
}

// ---- Time.

Time PlannerClient::next_due() const {
    Time due = connected_ ? std::min(renew_at_,
                                     last_received_ + silent_renewals * config_.renewal_interval)
                          : reconnect_backoff_.deadline();
    due = std::min(due, lease_.next_change(announced_stage_));
    if (has_replaced_state_ || read_bytes_ < unread_.size())
        due = std::min(due, now_);
    return due;
}

void PlannerClient::tick(Time now) {
    now_ = now;
    if (connected_)
        decode_next_piece();
    if (auto stage = lease_.stage(now); std::exchange(announced_stage_, stage) != stage) {
        actions_.log_event(stage == QuotaLease::Stage::faded
                               ? "planner: the lease ran out; a quarter of each quota share is "
                                 "used, all else as last told"
                               : "planner: the lease ran out for long; no quota share is used, all "
                                 "else as last told");
        announce_quota_shares();
    }
    if (has_replaced_state_)
        has_replaced_state_ = replica_.free_replaced_state();
    if (connected_ && now - last_received_ >= silent_renewals * config_.renewal_interval)
        return close_connection("it has answered nothing for long");
    if (connected_ && now >= renew_at_)
        send_renewal();
    if (connected_ || now < reconnect_backoff_.deadline())
        return;
    if (reconnect_backoff_.connecting())
        actions_.disconnect_planner();
    reconnect_backoff_.connect_started(now, connect_timeout);
    actions_.connect_planner();
}

} // namespace knotvane::edge
