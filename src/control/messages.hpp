/// \file
/// The messages between the planner, edges, nodes and operators (docs/planner-protocol.md). Times
/// are in nanoseconds. Encoding: control/encode.hpp; decoding: control/decode.hpp.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/cluster_state.hpp"
#include "control/ids.hpp"
#include "control/snapshot_types.hpp"

namespace knotvane::control {

/// The version of the protocol that a process uses. Decoding fails on any version but `current`.
struct ProtocolVersion {
    static constexpr std::uint32_t current = 2;
    std::uint32_t value = current;
};

// ---- To the planner

/// The first message of an edge on a connection.
struct EdgeHello {
    ProtocolVersion protocol{};
    EdgeId edge;
    std::string listen_address;           ///< address that clients connect to
    Term term;                            ///< of its last applied update; 0: none
    std::uint64_t instance = 0;           ///< of the planner it follows
    std::uint64_t lineage = 0;            ///< of the store that `version` belongs to
    Version version;                      ///< of its last applied update
    std::vector<NodeId> draining_nodes;   ///< nodes it knows to be draining
    std::vector<VolumeId> served_volumes; ///< volumes with a client at this edge
};

/// Sent by an edge to renew the lease on its quota shares and to acknowledge its version.
struct LeaseRenewal {
    Time sent_at = 0; ///< by the edge's clock; returned in LeaseRenewed
    Term term;
    Version version;
};

/// Sent by an edge that has missed updates and needs the full state.
struct FullStateRequest {};

/// Sent by an edge when a volume's first client connects or its last client disconnects.
struct VolumeServed {
    VolumeId volume;
    bool served = false;
};

/// Whether an edge can reach a node. Sent when that changes and in answer to ReachabilityRequest.
struct ReachabilityReport {
    NodeId node;
    bool reachable = false;
};

/// Sent by an edge to a planner that it does not follow: it follows another one.
struct Superseded {
    Term term; ///< of the planner it follows
};

/// The first message of a node on a connection.
struct NodeHello {
    ProtocolVersion protocol{};
    NodeId node;
    ShardId shard;
    ZoneId zone;
    std::string address;
    std::uint64_t incarnation = 0; ///< identifies its process; differs after each restart
    Time age = 0;                  ///< time since its process started
};

/// Sent by a node at regular intervals to show that it is alive.
struct NodeRenewal {};

/// Sent by an operator's client; answered by Status.
struct StatusRequest {};

/// What a drain request does.
enum class DrainMode : std::uint8_t {
    preview = 0, ///< only report the effect
    apply = 1,   ///< apply it unless no other ready node holds the node's shard
    force = 2,   ///< apply it in any case
};

/// Sent by an operator's client to start or end the drain of a node; answered by OperationResult.
struct DrainRequest {
    NodeId node;
    bool draining = false;
    DrainMode mode = DrainMode::preview;
};

/// Sent by an operator's client for an operation on snapshots; answered by OperationResult.
struct SnapshotRequest {
    SnapshotOperation operation = SnapshotOperation::take;
    /// take: the volume; clone: the snapshot; drop: the snapshot or clone; compare: one volume.
    std::string name;
    /// take: the new name's part after the @; clone: the new name; compare: the other volume.
    std::string other_name;
    std::string plan; ///< clone: its plan; empty: it uses its source's quota
};

/// Sent by an edge or a node that has finished a step of a snapshot or clone.
struct SnapshotStepReport {
    VolumeId snapshot;
    SnapshotStep step = SnapshotStep::holding;
    SnapshotResult result = SnapshotResult::done; ///< set by nodes
    EdgeIncarnation incarnation{};                ///< set by edges
};

/// A byte range of a volume.
struct ByteRange {
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
};

/// A node's answer to a DiffRequest.
struct DiffReport {
    std::uint64_t query_id = 0;    ///< as in the request
    std::vector<ByteRange> ranges; ///< in ascending order of offsets
    bool more = false;             ///< there are further ranges after the last one
};

// ---- From the planner to edges

/// Begins an update. Its entries follow, then UpdateEnd.
struct UpdateBegin {
    Term term;
    std::uint64_t instance =
        0;                     ///< identifies the planner's process, even if two have the same term
    std::uint64_t lineage = 0; ///< of the planner's store; versions of different ones don't compare
    Version version;
    Version from_version;  ///< the changes apply to this version; 0: the full state follows
    Time planner_time = 0; ///< when it was sent, by the planner's clock
};

struct NodeUpdate {
    NodeId id;
    Node node;
};

struct PlanUpdate {
    PlanId id;
    Plan plan;
};

struct VolumeUpdate {
    VolumeId id;
    Volume volume;
};

struct QuotaShareUpdate {
    VolumeId volume;
    QuotaShare share;
};

struct NodeRemoval {
    NodeId id;
};

struct PlanRemoval {
    PlanId id;
};

struct VolumeRemoval {
    VolumeId id;
};

struct QuotaShareRemoval {
    VolumeId volume;
};

/// Ends an update.
struct UpdateEnd {
    Version version;           ///< as in UpdateBegin
    std::uint64_t entries = 0; ///< number of entries between UpdateBegin and UpdateEnd
};

/// Answers LeaseRenewal. The lease on the edge's quota shares lasts until `sent_at` + `lease`,
/// provided that the edge has version `min_version` or a later one.
struct LeaseRenewed {
    Time sent_at = 0; ///< as in the LeaseRenewal, by the edge's clock
    Term term;
    Time lease = 0;
    Time fade = 0; ///< time after the lease in which a quarter of each share is usable
    Version min_version;
};

/// Asks an edge whether it can reach a node from which the planner receives no renewals.
struct ReachabilityRequest {
    NodeId node;
};

/// Asks an edge to delay new writes of the volume until SnapshotResume or SnapshotRelease.
struct SnapshotHold {
    VolumeId volume;
    VolumeId snapshot;
    std::uint32_t epoch = 0; ///< of the writes after the snapshot
    Time max_hold = 0;       ///< the edge ends the hold by itself after this time
};

/// Ends an edge's hold; its writes belong to the new epoch from now on.
struct SnapshotResume {
    VolumeId volume;
    VolumeId snapshot;
    std::uint32_t epoch = 0;
};

/// Cancels an edge's hold: the edge does not take part in the snapshot and stays in its epoch.
struct SnapshotRelease {
    VolumeId volume;
    VolumeId snapshot;
};

// ---- From the planner to nodes

/// Asks a node to open a snapshot that contains all writes of epochs before `epoch`.
struct SnapshotOpen {
    VolumeId volume;
    VolumeId snapshot;
    std::uint32_t epoch = 0;
    std::vector<EdgeIncarnation> late_writers; ///< edges that may still send such writes
};

/// Asks a node to complete a snapshot and make it durable; no late writes follow.
struct SnapshotSeal {
    VolumeId volume;
    VolumeId snapshot;
};

/// Asks a node to delete its data of a snapshot or clone.
struct SnapshotDrop {
    VolumeId snapshot;
};

/// Asks a node to create a clone, a writable copy of a snapshot.
struct CloneOpen {
    VolumeId source;
    VolumeId clone;
};

/// Asks a node for the ranges in which two volumes differ; answered by DiffReport.
struct DiffRequest {
    std::uint64_t query_id = 0; ///< returned in the answer
    VolumeId first;
    VolumeId second;
    std::uint64_t from_offset = 0; ///< only ranges from this offset on are reported
};

/// Tells a node which state the planner has assigned to it.
struct NodeStateNotice {
    NodeState state = NodeState::removed;
};

// ---- From the planner to operators

/// The state of the planner, its nodes and edges, as JSON.
struct Status {
    std::string json;
};

/// The effect that an operator's request would have or has had.
struct OperationResult {
    bool allowed = false; ///< it is possible without force
    bool done = false;    ///< it has been carried out and is durable
    std::string text;     ///< the effect, or why it was refused or failed
};

} // namespace knotvane::control
