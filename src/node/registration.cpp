#include "node/registration.hpp"

#include <limits>
#include <utility>

namespace knotvane::node {
namespace {
// Nodes are fewer than edges and a hall of them may start together; the planner is given a quarter
// of a second.
constexpr Time first_wait = 250 * ms, longest_wait = 2 * sec, dial_time = 2 * sec;
} // namespace

Registration::Registration(Line line, NodeId node, ShardId shard, ZoneId zone, std::string address,
                           std::uint64_t seed, Time every)
    : line_(std::move(line)), node_(node), shard_(shard), zone_(zone), address_(std::move(address)),
      reconnect_backoff_(first_wait, longest_wait, seed), every_(every) {}

void Registration::start(Time now, std::uint64_t incarnation, Time started) {
    incarnation_ = incarnation, started_ = started, running_ = true;
    reconnect_backoff_.at_once(now);
}
void Registration::stop(Time now) {
    running_ = false;
    if (std::exchange(up_, false) || reconnect_backoff_.trying())
        line_.hang_up();
    reconnect_backoff_.lost(now);
}
void Registration::up(Time now) {
    up_ = true, reader_ = {}, fault_.clear();
    reconnect_backoff_.up();
    line_.send(control::node_hello(node_, shard_, zone_, address_, incarnation_, now - started_));
    renew_at_ = now + every_;
}
void Registration::down(Time now) {
    up_ = false;
    reconnect_backoff_.lost(now);
}
void Registration::bytes(Time now, std::string_view in) {
    auto fault = reader_.bytes(in, *this);
    if (fault.empty())
        fault = fault_;
    if (fault.empty())
        return;
    line_.say("planner: connection closed: " + fault);
    line_.hang_up();
    down(now);
}
void Registration::node_told(NodeState state) {
    if (std::exchange(told_, state) != state)
        line_.say(std::string("the planner has this node as ") +
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
void Registration::cut_open(VolumeId of, VolumeId as, std::uint32_t epoch,
                            const std::vector<control::EdgeIncarnation> &late) {
    line_.send(
        control::tell_cut(as, control::SnapshotStep::opened,
                          line_.open_cut ? line_.open_cut(of, as, epoch, late) : fell_short));
}
void Registration::cut_seal(VolumeId of, VolumeId as) {
    line_.send(control::tell_cut(as, control::SnapshotStep::sealed,
                                 line_.seal && line_.seal(of, as) ? well : fell_short));
}
void Registration::cut_drop(VolumeId as) {
    line_.send(control::tell_cut(as, control::SnapshotStep::dropped,
                                 line_.drop && line_.drop(as) ? well : fell_short));
}
void Registration::cut_clone(VolumeId of, VolumeId as) {
    line_.send(control::tell_cut(as, control::SnapshotStep::cloned,
                                 line_.clone ? line_.clone(of, as) : fell_short));
}
void Registration::diff_asked(std::uint64_t question, VolumeId a, VolumeId b, std::uint64_t from) {
    std::vector<std::uint64_t> flat;
    bool more = false;
    if (line_.diff)
        for (auto [at, length] : line_.diff(a, b)) {
            if (at < from)
                continue;
            if ((more = flat.size() == 2 * most_ranges))
                break;
            flat.push_back(at), flat.push_back(length);
        }
    line_.send(control::tell_diff(question, flat, more));
}
Time Registration::next_due() const {
    if (!running_)
        return std::numeric_limits<Time>::max();
    return up_ ? renew_at_ : reconnect_backoff_.due();
}
void Registration::tick(Time now) {
    if (!running_ || now < next_due())
        return;
    if (up_) {
        line_.send(control::node_renew());
        renew_at_ = now + every_;
        return;
    }
    if (reconnect_backoff_.trying())
        line_.hang_up();
    reconnect_backoff_.trying(now, dial_time);
    line_.dial();
}

} // namespace knotvane::node
