#include "node/registration.hpp"

#include <limits>
#include <utility>

namespace knotvane::node {
namespace {
// Nodes are fewer than edges and a hall of them may start together; the planner is given a quarter
// of a second.
constexpr Time first_wait = 250 * ms, longest_wait = 2 * sec, dial_time = 2 * sec;
} // namespace

PlannerRegistration::PlannerRegistration(Actions line, NodeId node, ShardId shard, ZoneId zone,
                                         std::string address, std::uint64_t seed, Time every)
    : actions_(std::move(line)), node_(node), shard_(shard), zone_(zone),
      address_(std::move(address)), reconnect_backoff_(first_wait, longest_wait, seed),
      every_(every) {}

void PlannerRegistration::start(Time now, std::uint64_t incarnation, Time started) {
    incarnation_ = incarnation, started_ = started, running_ = true;
    reconnect_backoff_.at_once(now);
}
void PlannerRegistration::stop(Time now) {
    running_ = false;
    if (std::exchange(up_, false) || reconnect_backoff_.trying())
        actions_.hang_up();
    reconnect_backoff_.lost(now);
}
void PlannerRegistration::connected(Time now) {
    up_ = true, reader_ = {}, fault_.clear();
    reconnect_backoff_.up();
    actions_.send(
        control::node_hello(node_, shard_, zone_, address_, incarnation_, now - started_));
    renew_at_ = now + every_;
}
void PlannerRegistration::disconnected(Time now) {
    up_ = false;
    reconnect_backoff_.lost(now);
}
void PlannerRegistration::received(Time now, std::string_view in) {
    auto fault = reader_.bytes(in, *this);
    if (fault.empty())
        fault = fault_;
    if (fault.empty())
        return;
    actions_.log_event("planner: connection closed: " + fault);
    actions_.hang_up();
    disconnected(now);
}
void PlannerRegistration::node_told(NodeState state) {
    if (std::exchange(told_, state) != state)
        actions_.log_event(std::string("the planner has this node as ") +
                           (state == NodeState::ready      ? "ready"
                            : state == NodeState::draining ? "draining"
                                                           : "gone"));
}
// ---- Cuts. A failure of the medium leaves the store as it was, and is told.
namespace {
constexpr std::uint8_t well = 0, fell_short = 4;
// Ranges told at once: a message of some tens of kilobytes.
constexpr std::size_t most_ranges = 4096;
} // namespace
void PlannerRegistration::cut_open(VolumeId of, VolumeId as, std::uint32_t epoch,
                                   const std::vector<control::EdgeIncarnation> &late) {
    actions_.send(
        control::tell_cut(as, control::SnapshotStep::opened,
                          actions_.open_cut ? actions_.open_cut(of, as, epoch, late) : fell_short));
}
void PlannerRegistration::cut_seal(VolumeId of, VolumeId as) {
    actions_.send(control::tell_cut(as, control::SnapshotStep::sealed,
                                    actions_.seal && actions_.seal(of, as) ? well : fell_short));
}
void PlannerRegistration::cut_drop(VolumeId as) {
    actions_.send(control::tell_cut(as, control::SnapshotStep::dropped,
                                    actions_.drop && actions_.drop(as) ? well : fell_short));
}
void PlannerRegistration::cut_clone(VolumeId of, VolumeId as) {
    actions_.send(control::tell_cut(as, control::SnapshotStep::cloned,
                                    actions_.clone ? actions_.clone(of, as) : fell_short));
}
void PlannerRegistration::diff_asked(std::uint64_t question, VolumeId a, VolumeId b,
                                     std::uint64_t from) {
    std::vector<std::uint64_t> flat;
    bool more = false;
    if (actions_.diff)
        for (auto [at, length] : actions_.diff(a, b)) {
            if (at < from)
                continue;
            if ((more = flat.size() == 2 * most_ranges))
                break;
            flat.push_back(at), flat.push_back(length);
        }
    actions_.send(control::tell_diff(question, flat, more));
}
Time PlannerRegistration::next_due() const {
    if (!running_)
        return std::numeric_limits<Time>::max();
    return up_ ? renew_at_ : reconnect_backoff_.due();
}
void PlannerRegistration::tick(Time now) {
    if (!running_ || now < next_due())
        return;
    if (up_) {
        actions_.send(control::node_renew());
        renew_at_ = now + every_;
        return;
    }
    if (reconnect_backoff_.trying())
        actions_.hang_up();
    reconnect_backoff_.trying(now, dial_time);
    actions_.dial();
}

} // namespace knotvane::node
