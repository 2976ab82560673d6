/// \file
/// A node's side of its connection to the planner: it registers, renews its registration, and does
/// the planner's orders on snapshots. No I/O.
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

/// Who the node is, and how often it says so.
struct PlannerRegistrationConfig {
    NodeId node;
    ShardId shard;
    ZoneId zone;
    /// Where edges reach it.
    std::string address;
    /// Spreads the reconnects of many nodes; any number.
    std::uint64_t seed = 1;
    /// Between two renewals. Well below the planner's patience for a silent node; shorter loads
    /// the planner more.
    Time renewal_interval = 500 * ms;
};

/// Keeps a node registered with its planner. Its owner carries bytes and time, and calls `tick`
/// when `next_due` says.
class PlannerRegistration final : control::MessageHandler {
public:
    /// What it asks of its owner. Those of the store may be empty; then they count as failed.
    struct Actions {
        /// Try to connect; answered by connected or disconnected.
        std::function<void()> connect;
        /// End the connection, or the attempt to connect; not answered.
        std::function<void()> disconnect;
        std::function<void(std::string bytes)> send;
        std::function<void(std::string text)> log_event;
        /// Opens `snapshot` of `volume`: all writes of before `epoch`, of which those of
        /// `late_writers` may still come.
        std::function<control::SnapshotResult(
            VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
            const std::vector<control::EdgeIncarnation> &late_writers)>
            open_snapshot{};
        /// Makes a snapshot whole and durable. False where the medium failed.
        std::function<bool(VolumeId volume, VolumeId snapshot)> seal_snapshot{};
        /// Drops a snapshot or clone. False where the medium failed.
        std::function<bool(VolumeId snapshot)> drop_snapshot{};
        std::function<control::SnapshotResult(VolumeId source, VolumeId clone)> open_clone{};
        /// Offsets and lengths of the ranges in which two volumes differ, in order of offsets.
        std::function<std::vector<std::pair<std::uint64_t, std::uint64_t>>(VolumeId first,
                                                                           VolumeId second)>
            diff{};
    };

    PlannerRegistration(Actions actions, PlannerRegistrationConfig config);

    /// The node's process began, as a new incarnation.
    /// \param started  when, by the clock of `now`
    void start(Time now, std::uint64_t incarnation, Time started);

    /// The node goes down: the connection ends, nobody is told.
    void stop(Time now);
    void connected(Time now);

    /// The connection failed or went.
    void disconnected(Time now);
    void received(Time now, std::string_view bytes);

    /// The maximum of Time where nothing is due.
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
    std::string error_; // why the connection has to be closed
    Time renew_at_ = 0;
    Time started_ = 0;
    std::uint64_t incarnation_ = 0;
    bool connected_ = false;
    bool running_ = false;
    NodeState state_ = NodeState::removed; // as the planner has it
};

} // namespace knotvane::node
