#include "node/planner_registration.hpp"

#include <limits>
#include <utility>

namespace knotvane::node {
namespace {

// There are fewer nodes than edges, but a whole data hall may start at the same time: the first
// reconnects after a lost connection are spread over a quarter of a second.
constexpr Time first_reconnect_within = 250 * ms;
constexpr Time max_reconnect_within = 2 * sec;
constexpr Time connect_timeout = 2 * sec;
// Maximum number of ranges in one DiffReport, for a message of some tens of kilobytes.
constexpr std::size_t max_ranges_per_report = 4096;

const char *name(NodeState state) {
    switch (state) {
    case NodeState::draining:
        return "draining";
    case NodeState::removed:
        return "removed";
    case NodeState::ready:
        return "ready";
    }
    return "unknown";
}

control::SnapshotResult result_of(bool done) {
    return done ? control::SnapshotResult::done : control::SnapshotResult::failed;
}

} // namespace

PlannerRegistration::PlannerRegistration(Actions actions, PlannerRegistrationConfig config)
    : actions_(std::move(actions)), config_(std::move(config)),
      reconnect_backoff_(first_reconnect_within, max_reconnect_within, config_.seed) {}

void PlannerRegistration::start(Time now, std::uint64_t incarnation, Time started) {
    incarnation_ = incarnation;
    started_ = started;
    running_ = true;
    reconnect_backoff_.retry_now(now);
}

void PlannerRegistration::stop(Time now) {
    running_ = false;
    if (std::exchange(connected_, false) || reconnect_backoff_.connecting())
        actions_.disconnect();
    reconnect_backoff_.failed(now);
}

void PlannerRegistration::connected(Time now) {
    connected_ = true;
    decoder_ = {};
    error_.clear();
    reconnect_backoff_.connect_succeeded();
    control::NodeHello hello;
    hello.node = config_.node;
    hello.shard = config_.shard;
    hello.zone = config_.zone;
    hello.address = config_.address;
    hello.incarnation = incarnation_;
    hello.age = now - started_;
    actions_.send(control::encode(hello));
    renew_at_ = now + config_.renewal_interval;
}

void PlannerRegistration::disconnected(Time now) {
    connected_ = false;
    reconnect_backoff_.failed(now);
}

void PlannerRegistration::received(Time now, std::string_view bytes) {
    std::string why;
    try {
        decoder_.decode(bytes, *this);
        why = error_;
    } catch (const control::ProtocolError &error) {
        why = error.what();
    }
    if (why.empty())
        return;
    actions_.log_event("closing the planner connection after a protocol error, will reconnect: " +
                       why);
    actions_.disconnect();
    disconnected(now);
}

void PlannerRegistration::handle_unexpected(std::string_view message) {
    error_ = message;
}

void PlannerRegistration::handle(const control::NodeStateNotice &message) {
    if (std::exchange(state_, message.state) != message.state)
        actions_.log_event(std::string("the planner changed the state of this node to ") +
                           name(message.state));
}

// ---- Snapshots. If the medium fails, the store stays as it was and the failure is reported.

void PlannerRegistration::report(VolumeId snapshot, control::SnapshotStep step,
                                 control::SnapshotResult result) const {
    actions_.send(control::encode(control::SnapshotStepReport{snapshot, step, result, {}}));
}

void PlannerRegistration::handle(const control::SnapshotOpen &message) {
    auto result = actions_.open_snapshot
                      ? actions_.open_snapshot(message.volume, message.snapshot, message.epoch,
                                               message.late_writers)
                      : control::SnapshotResult::failed;
    report(message.snapshot, control::SnapshotStep::opened, result);
}

void PlannerRegistration::handle(const control::SnapshotSeal &message) {
    bool done = actions_.seal_snapshot && actions_.seal_snapshot(message.volume, message.snapshot);
    report(message.snapshot, control::SnapshotStep::sealed, result_of(done));
}

void PlannerRegistration::handle(const control::SnapshotDrop &message) {
    bool done = actions_.drop_snapshot && actions_.drop_snapshot(message.snapshot);
    report(message.snapshot, control::SnapshotStep::dropped, result_of(done));
}

void PlannerRegistration::handle(const control::CloneOpen &message) {
    auto result = actions_.open_clone ? actions_.open_clone(message.source, message.clone)
                                      : control::SnapshotResult::failed;
    report(message.clone, control::SnapshotStep::cloned, result);
}

void PlannerRegistration::handle(const control::DiffRequest &message) {
    control::DiffReport answer;
    answer.query_id = message.query_id;
    if (actions_.diff)
        for (auto [offset, length] : actions_.diff(message.first, message.second)) {
            if (offset < message.from_offset)
                continue;
            answer.more = answer.ranges.size() == max_ranges_per_report;
            if (answer.more)
                break;
            answer.ranges.push_back({offset, length});
        }
    actions_.send(control::encode(answer));
}

// ---- Time.

Time PlannerRegistration::next_due() const {
    if (!running_)
        return std::numeric_limits<Time>::max();
    return connected_ ? renew_at_ : reconnect_backoff_.deadline();
}

void PlannerRegistration::tick(Time now) {
    if (!running_ || now < next_due())
        return;
    if (connected_) {
        actions_.send(control::encode(control::NodeRenewal{}));
        renew_at_ = now + config_.renewal_interval;
        return;
    }
    if (reconnect_backoff_.connecting())
        actions_.disconnect();
    reconnect_backoff_.connect_started(now, connect_timeout);
    actions_.connect();
}

} // namespace knotvane::node
