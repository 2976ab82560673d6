#include "edge/planner_client.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::edge {
namespace {

// Upper limit of the random delay before the first reconnect; it doubles with each failure, up to
// max_reconnect_within. 280 edges that lose a planner at once reconnect spread over a quarter of a
// second. While the planner is down, they make fewer than a hundred attempts a second.
constexpr Time first_reconnect_within = 250 * ms;
constexpr Time max_reconnect_within = 4 * sec;
constexpr Time connect_timeout = 2 * sec;
// Number of failed reconnects that closing a connection for a fault of the planner counts as.
constexpr std::uint32_t failures_of_bad_planner = 4;
// The connection is closed if nothing is received for this many renewal intervals: the planner
// hangs or the connection is lost.
constexpr Time silent_renewals = 5;
// Once the file reaches this size the full state is requested, which then replaces the file.
constexpr std::size_t max_stored_bytes = 8 << 20;
// Bytes decoded in one call: about three hundred volumes, which take less than a third of a
// millisecond.
constexpr std::size_t max_bytes_read_at_once = 16 << 10;
// A stored state may be this far in the future, because a clock may have been set back.
constexpr Time clock_slack = 60 * sec;
// Multiplies the seed, so that edges with adjacent ids and seeds do not use the same random delays.
constexpr std::uint64_t seed_factor = 7919;

} // namespace

PlannerClient::PlannerClient(PlannerClientActions &actions, PlannerClientConfig config)
    : actions_(actions), config_(std::move(config)),
      reconnect_backoff_(first_reconnect_within, max_reconnect_within,
                         config_.seed * seed_factor + config_.edge.value + 1) {}

// ---- The stored state.

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
        // Complete updates before the damage are used. The replica drops an incomplete one, as if
        // its end had been lost in transmission.
    }
    decoder_ = {};
    error_.clear();
    auto age = now_ - planner_time_;
    if (replica_.term() == control::Term{0}) {
        actions_.log_event("stored cluster state not used: it contains no complete update; waiting "
                           "for the planner");
    } else if (age > config_.max_cache_age || age < -clock_slack) {
        actions_.log_event("stored cluster state not used: its age is " +
                           std::to_string(age / sec) + " s, expected at most " +
                           std::to_string(config_.max_cache_age / sec) +
                           " s and not in the future; waiting for the planner");
        replica_ = {};
    } else {
        actions_.log_event(
            "started with the stored cluster state, without quota shares until the planner renews "
            "the lease: term " +
            std::to_string(replica_.term().value) + ", version " +
            std::to_string(replica_.version().value) + ", " + std::to_string(age / sec) + " s old");
        rewrite_stored_state();
        state_changed(true, true);
    }
}

// Replaces the file by the restored state: updates appended after an incomplete one could not be
// read.
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
    received_bytes_.clear();
    decoded_bytes_ = 0;
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
    hello.served_volumes = {used_volumes_.begin(), used_volumes_.end()};
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

void PlannerClient::close_connection(const std::string &reason) {
    actions_.log_event("planner: closing the connection and reconnecting later: " + reason);
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
    // Repeats the messages about used and unused volumes that the planner seems not to have
    // received.
    const auto &shares = replica_.cluster_state().quota_shares;
    for (auto volume : used_volumes_)
        if (!shares.contains(volume))
            send(control::encode(control::VolumeServed{volume, true}));
    for (const auto &[volume, share] : shares)
        if (!used_volumes_.contains(volume))
            send(control::encode(control::VolumeServed{volume, false}));
    send(control::encode(control::LeaseRenewal{now_, replica_.term(), replica_.version()}));
    renew_at_ = now_ + config_.renewal_interval;
}

void PlannerClient::received(Time now, std::string_view bytes) {
    now_ = now;
    last_received_ = now;
    received_bytes_.append(bytes);
    decode_next_piece();
}

// Decodes a limited number of bytes, because clients would have to wait while a full state is
// decoded in one call.
void PlannerClient::decode_next_piece() {
    auto piece = std::string_view(received_bytes_).substr(decoded_bytes_, max_bytes_read_at_once);
    if (piece.empty())
        return;
    decoded_bytes_ += piece.size();
    std::string reason;
    try {
        decoder_.decode(piece, *this);
    } catch (const control::ProtocolError &error) {
        reason = error.what();
    }
    if (decoded_bytes_ == received_bytes_.size()) {
        received_bytes_.clear();
        decoded_bytes_ = 0;
    }
    if (reason.empty())
        reason = error_;
    if (!reason.empty() && connected_)
        close_connection(reason);
}

void PlannerClient::handle_unexpected(std::string_view message) {
    if (error_.empty())
        error_ = std::string(message) + " is not a message that a planner may send";
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
            error_ = "it has an older term than this edge, or another planner has the same term; "
                     "keeping the state of term " +
                     std::to_string(replica_.term().value);
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
    send_renewal(); // acknowledges the current version
}

void PlannerClient::update_applied(control::UpdateResult result, std::string bytes) {
    bool is_full_state = result == control::UpdateResult::full_state_applied;
    stored_bytes_ = bytes.size() + (is_full_state ? 0 : stored_bytes_);
    actions_.store_cluster_state(std::move(bytes), is_full_state);
    if (!is_full_state && stored_bytes_ >= max_stored_bytes) {
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

// Returns the start times of the nodes by this edge's clock. The time computed first for an
// incarnation is kept, because later results would differ by the messages' transfer times. A
// delayed update makes a node seem younger, so its slow start gets longer, never shorter.
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
    // If this edge does not have min_version yet, a renewal would extend the lease on shares that
    // have been reduced since.
    if (restoring_ || message.term != replica_.term() || replica_.version() < message.min_version)
        return;
    lease_.renew(message.sent_at, message.lease, message.fade);
    auto stage = lease_.stage(now_);
    if (std::exchange(announced_stage_, stage) != stage)
        announce_quota_shares();
}

void PlannerClient::announce_quota_shares() {
    const auto &shares = replica_.cluster_state().quota_shares;
    for (auto volume : used_volumes_) {
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
        used_volumes_.insert(volume);
        announce_quota_shares();
    } else {
        // The share must not be used from now on: when the volume's next client connects, it may
        // belong to another edge.
        used_volumes_.erase(volume);
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

// ---- Snapshots. Messages in the stored state are ignored.

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
    if (has_replaced_state_ || decoded_bytes_ < received_bytes_.size())
        due = std::min(due, now_);
    return due;
}

void PlannerClient::tick(Time now) {
    now_ = now;
    if (connected_)
        decode_next_piece();
    if (auto stage = lease_.stage(now); std::exchange(announced_stage_, stage) != stage) {
        actions_.log_event(stage == QuotaLease::Stage::faded
                               ? "planner: the lease on quota shares has expired; using a quarter "
                                 "of each share, and all else as of the last update"
                               : "planner: the lease on quota shares and its fade time have "
                                 "expired; using no share, and all else as of the last update");
        announce_quota_shares();
    }
    if (has_replaced_state_)
        has_replaced_state_ = replica_.free_replaced_state();
    if (connected_ && now - last_received_ >= silent_renewals * config_.renewal_interval)
        return close_connection("nothing was received for " +
                                std::to_string((now - last_received_) / ms) + " ms");
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
