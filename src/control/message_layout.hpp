/// \file
/// The type number and the field order of each message on the wire, used for both encoding and
/// decoding. Internal to the control package.
#pragma once

#include <cstdint>
#include <tuple>

#include "control/messages.hpp"

namespace knotvane::control {

/// The first field of each message on the wire.
enum class MessageType : std::uint8_t {
    edge_hello = 1,
    lease_renewal = 2,
    full_state_request = 3,
    volume_served = 4,
    reachability_report = 5,
    superseded = 6,
    node_hello = 7,
    node_renewal = 8,
    status_request = 9,
    drain_request = 10,
    snapshot_request = 11,
    snapshot_step_report = 12,
    diff_report = 13,
    update_begin = 20,
    node_update = 21,
    plan_update = 22,
    volume_update = 23,
    quota_share_update = 24,
    node_removal = 25,
    plan_removal = 26,
    volume_removal = 27,
    quota_share_removal = 28,
    update_end = 29,
    lease_renewed = 30,
    node_state_notice = 31,
    status = 32,
    operation_result = 33,
    reachability_request = 34,
    snapshot_hold = 35,
    snapshot_resume = 36,
    snapshot_release = 37,
    snapshot_open = 38,
    snapshot_seal = 39,
    snapshot_drop = 40,
    clone_open = 41,
    diff_request = 42,
};

/// Type and fields of a message. `fields` returns references to them, in wire order.
template <class Message>
struct MessageLayout;

template <>
struct MessageLayout<EdgeHello> {
    static constexpr auto type = MessageType::edge_hello;
    static auto fields(auto &message) {
        return std::tie(message.protocol, message.edge, message.listen_address, message.term,
                        message.instance, message.lineage, message.version, message.draining_nodes,
                        message.served_volumes);
    }
};

template <>
struct MessageLayout<LeaseRenewal> {
    static constexpr auto type = MessageType::lease_renewal;
    static auto fields(auto &message) {
        return std::tie(message.sent_at, message.term, message.version);
    }
};

template <>
struct MessageLayout<FullStateRequest> {
    static constexpr auto type = MessageType::full_state_request;
    static auto fields(auto &) { return std::tie(); }
};

template <>
struct MessageLayout<VolumeServed> {
    static constexpr auto type = MessageType::volume_served;
    static auto fields(auto &message) { return std::tie(message.volume, message.served); }
};

template <>
struct MessageLayout<ReachabilityReport> {
    static constexpr auto type = MessageType::reachability_report;
    static auto fields(auto &message) { return std::tie(message.node, message.reachable); }
};

template <>
struct MessageLayout<Superseded> {
    static constexpr auto type = MessageType::superseded;
    static auto fields(auto &message) { return std::tie(message.term); }
};

template <>
struct MessageLayout<NodeHello> {
    static constexpr auto type = MessageType::node_hello;
    static auto fields(auto &message) {
        return std::tie(message.protocol, message.node, message.shard, message.zone,
                        message.address, message.incarnation, message.age);
    }
};

template <>
struct MessageLayout<NodeRenewal> {
    static constexpr auto type = MessageType::node_renewal;
    static auto fields(auto &) { return std::tie(); }
};

template <>
struct MessageLayout<StatusRequest> {
    static constexpr auto type = MessageType::status_request;
    static auto fields(auto &) { return std::tie(); }
};

template <>
struct MessageLayout<DrainRequest> {
    static constexpr auto type = MessageType::drain_request;
    static auto fields(auto &message) {
        return std::tie(message.node, message.draining, message.mode);
    }
};

template <>
struct MessageLayout<SnapshotRequest> {
    static constexpr auto type = MessageType::snapshot_request;
    static auto fields(auto &message) {
        return std::tie(message.operation, message.name, message.other_name, message.plan);
    }
};

template <>
struct MessageLayout<SnapshotStepReport> {
    static constexpr auto type = MessageType::snapshot_step_report;
    static auto fields(auto &message) {
        return std::tie(message.snapshot, message.step, message.result, message.incarnation);
    }
};

template <>
struct MessageLayout<DiffReport> {
    static constexpr auto type = MessageType::diff_report;
    static auto fields(auto &message) {
        return std::tie(message.query_id, message.ranges, message.more);
    }
};

template <>
struct MessageLayout<UpdateBegin> {
    static constexpr auto type = MessageType::update_begin;
    static auto fields(auto &message) {
        return std::tie(message.term, message.instance, message.lineage, message.version,
                        message.from_version, message.planner_time);
    }
};

template <>
struct MessageLayout<NodeUpdate> {
    static constexpr auto type = MessageType::node_update;
    static auto fields(auto &message) {
        return std::tie(message.id, message.node.address, message.node.shard, message.node.zone,
                        message.node.state, message.node.started, message.node.incarnation);
    }
};

template <>
struct MessageLayout<PlanUpdate> {
    static constexpr auto type = MessageType::plan_update;
    static auto fields(auto &message) {
        return std::tie(message.id, message.plan.name, message.plan.weight,
                        message.plan.expected_rate, message.plan.reserved_rate, message.plan.price,
                        message.plan.rate_limit, message.plan.burst);
    }
};

template <>
struct MessageLayout<VolumeUpdate> {
    static constexpr auto type = MessageType::volume_update;
    static auto fields(auto &message) {
        return std::tie(message.id, message.volume.name, message.volume.size,
                        message.volume.alignment_bytes, message.volume.plan,
                        message.volume.layout_volume, message.volume.quota_volume,
                        message.volume.source, message.volume.epoch, message.volume.frozen,
                        message.volume.created_at);
    }
};

template <>
struct MessageLayout<QuotaShareUpdate> {
    static constexpr auto type = MessageType::quota_share_update;
    static auto fields(auto &message) {
        return std::tie(message.volume, message.share.millionths, message.share.sharers);
    }
};

template <>
struct MessageLayout<NodeRemoval> {
    static constexpr auto type = MessageType::node_removal;
    static auto fields(auto &message) { return std::tie(message.id); }
};

template <>
struct MessageLayout<PlanRemoval> {
    static constexpr auto type = MessageType::plan_removal;
    static auto fields(auto &message) { return std::tie(message.id); }
};

template <>
struct MessageLayout<VolumeRemoval> {
    static constexpr auto type = MessageType::volume_removal;
    static auto fields(auto &message) { return std::tie(message.id); }
};

template <>
struct MessageLayout<QuotaShareRemoval> {
    static constexpr auto type = MessageType::quota_share_removal;
    static auto fields(auto &message) { return std::tie(message.volume); }
};

template <>
struct MessageLayout<UpdateEnd> {
    static constexpr auto type = MessageType::update_end;
    static auto fields(auto &message) { return std::tie(message.version, message.entries); }
};

template <>
struct MessageLayout<LeaseRenewed> {
    static constexpr auto type = MessageType::lease_renewed;
    static auto fields(auto &message) {
        return std::tie(message.sent_at, message.term, message.lease, message.fade,
                        message.min_version);
    }
};

template <>
struct MessageLayout<NodeStateNotice> {
    static constexpr auto type = MessageType::node_state_notice;
    static auto fields(auto &message) { return std::tie(message.state); }
};

template <>
struct MessageLayout<Status> {
    static constexpr auto type = MessageType::status;
    static auto fields(auto &message) { return std::tie(message.json); }
};

template <>
struct MessageLayout<OperationResult> {
    static constexpr auto type = MessageType::operation_result;
    static auto fields(auto &message) {
        return std::tie(message.allowed, message.done, message.text);
    }
};

template <>
struct MessageLayout<ReachabilityRequest> {
    static constexpr auto type = MessageType::reachability_request;
    static auto fields(auto &message) { return std::tie(message.node); }
};

template <>
struct MessageLayout<SnapshotHold> {
    static constexpr auto type = MessageType::snapshot_hold;
    static auto fields(auto &message) {
        return std::tie(message.volume, message.snapshot, message.epoch, message.max_hold);
    }
};

template <>
struct MessageLayout<SnapshotResume> {
    static constexpr auto type = MessageType::snapshot_resume;
    static auto fields(auto &message) {
        return std::tie(message.volume, message.snapshot, message.epoch);
    }
};

template <>
struct MessageLayout<SnapshotRelease> {
    static constexpr auto type = MessageType::snapshot_release;
    static auto fields(auto &message) { return std::tie(message.volume, message.snapshot); }
};

template <>
struct MessageLayout<SnapshotOpen> {
    static constexpr auto type = MessageType::snapshot_open;
    static auto fields(auto &message) {
        return std::tie(message.volume, message.snapshot, message.epoch, message.late_writers);
    }
};

template <>
struct MessageLayout<SnapshotSeal> {
    static constexpr auto type = MessageType::snapshot_seal;
    static auto fields(auto &message) { return std::tie(message.volume, message.snapshot); }
};

template <>
struct MessageLayout<SnapshotDrop> {
    static constexpr auto type = MessageType::snapshot_drop;
    static auto fields(auto &message) { return std::tie(message.snapshot); }
};

template <>
struct MessageLayout<CloneOpen> {
    static constexpr auto type = MessageType::clone_open;
    static auto fields(auto &message) { return std::tie(message.source, message.clone); }
};

template <>
struct MessageLayout<DiffRequest> {
    static constexpr auto type = MessageType::diff_request;
    static auto fields(auto &message) {
        return std::tie(message.query_id, message.first, message.second, message.from_offset);
    }
};

/// Every message.
using AllMessages =
    std::tuple<EdgeHello, LeaseRenewal, FullStateRequest, VolumeServed, ReachabilityReport,
               Superseded, NodeHello, NodeRenewal, StatusRequest, DrainRequest, SnapshotRequest,
               SnapshotStepReport, DiffReport, UpdateBegin, NodeUpdate, PlanUpdate, VolumeUpdate,
               QuotaShareUpdate, NodeRemoval, PlanRemoval, VolumeRemoval, QuotaShareRemoval,
               UpdateEnd, LeaseRenewed, NodeStateNotice, Status, OperationResult,
               ReachabilityRequest, SnapshotHold, SnapshotResume, SnapshotRelease, SnapshotOpen,
               SnapshotSeal, SnapshotDrop, CloneOpen, DiffRequest>;

} // namespace knotvane::control
