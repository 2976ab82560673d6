/// \file
/// The node's side of its connection to the planner: registers the node, renews the registration,
/// and carries out the planner's snapshot commands. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/reconnect_backoff.hpp"
#include "control/decode.hpp"
#include "control/encode.hpp"

namespace knotvane::node {

/// What the node registers with, and how often it renews the registration.
struct PlannerRegistrationConfig {
    NodeId node;
    ShardId shard;
    ZoneId zone;
    /// The address at which edges connect to the node.
    std::string address;
    /// Random seed that spreads the reconnects of many nodes over time; any number.
    std::uint64_t seed = 1;
    /// Time between two renewals. Must be well below the time after which the planner takes a
    /// node as silent; a shorter interval means more load on the planner.
    Time renewal_interval = 500 * ms;
};

/// Keeps a node registered with its planner. The owner transports the bytes, supplies the time, and
/// calls `tick` at the time that `next_due` returns.
class PlannerRegistration final : control::MessageHandler {
public:
    /// Callbacks to the owner. Those for snapshots and clones may be empty; the operation is then
    /// reported as failed. With an empty `diff` the volumes are reported as equal.
    struct Actions {
        /// Begins to connect; the owner answers by calling `connected` or `disconnected`.
        std::function<void()> connect;
        /// Ends the connection or the attempt to connect. The owner does not call `disconnected`.
        std::function<void()> disconnect;
        std::function<void(std::string bytes)> send;
        std::function<void(std::string text)> log_event;
        /// Opens `snapshot` of `volume`. It holds the changes that began before `epoch`; such
        /// changes may still arrive from `late_writers`.
        std::function<control::SnapshotResult(
            VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
            const std::vector<control::EdgeIncarnation> &late_writers)>
            open_snapshot{};
        /// Freezes a snapshot and makes it durable. Returns false if there is no such snapshot or
        /// the medium failed.
        std::function<bool(VolumeId volume, VolumeId snapshot)> seal_snapshot{};
        /// Drops a snapshot or clone. Returns false if the medium failed.
        std::function<bool(VolumeId snapshot)> drop_snapshot{};
        std::function<control::SnapshotResult(VolumeId source, VolumeId clone)> open_clone{};
        /// Returns offset and length, in bytes, of the ranges in which two volumes differ, in order
        /// of offsets.
        std::function<std::vector<std::pair<std::uint64_t, std::uint64_t>>(VolumeId first,
                                                                           VolumeId second)>
            diff{};
    };

    PlannerRegistration(Actions actions, PlannerRegistrationConfig config);

    /// Starts registering: the node's process began as a new incarnation.
    /// @param started when the process began, by the same clock as `now`
    void start(Time now, std::uint64_t incarnation, Time started);

    /// Ends the connection because the node goes down. The planner is not notified.
    void stop(Time now);
    void connected(Time now);

    /// The connection was lost or could not be established.
    void disconnected(Time now);
    void received(Time now, std::string_view bytes);

    /// When `tick` is due next; the maximum of Time if nothing is due.
    Time next_due() const;
    void tick(Time now);

private:
    using MessageHandler::handle;
    void handle(const control::NodeStateNotice &message) override;
    void handle(const control::SnapshotOpen &message) override;
    void handle(const control::SnapshotSeal &message) override;
    void handle(const control::SnapshotDrop &message) override;
    void handle(const control::CloneOpen &message) override;
    void handle(const control::DiffRequest &message) override;
    void handle_unexpected(std::string_view message) override;
    void report(VolumeId snapshot, control::SnapshotStep step,
                control::SnapshotResult result) const;

    Actions actions_;
    PlannerRegistrationConfig config_;
    ReconnectBackoff reconnect_backoff_;
    control::MessageDecoder decoder_;
    std::string error_; // protocol error for which the connection is closed; empty: none
    Time renew_at_ = 0;
    Time started_ = 0;
    std::uint64_t incarnation_ = 0;
    bool connected_ = false;
    bool running_ = false;
    NodeState state_ = NodeState::removed; // as the planner last announced it
};

} // namespace knotvane::node
