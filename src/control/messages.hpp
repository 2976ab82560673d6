/// \file
/// The messages between planner, edges, nodes and operators (docs/planner-protocol.md). Times are
/// nanoseconds. Encoding: control/encode.hpp; decoding: control/decode.hpp.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/cluster_state.hpp"
#include "control/ids.hpp"
#include "control/snapshot_types.hpp"

namespace knotvane::control {

/// The version of the protocol that a process speaks. One of another version is refused where it
/// is decoded.
struct ProtocolVersion {
    static constexpr std::uint32_t current = 2;
    std::uint32_t value = current;
};

// ---- To the planner.

/// An edge's first message.
struct EdgeHello {
    ProtocolVersion protocol{};
    EdgeId edge;
    std::string listen_address;           ///< where clients reach it
    Term term;                            ///< of the update that it holds; 0: none
    std::uint64_t instance = 0;           ///< of the planner that it follows
    std::uint64_t lineage = 0;            ///< of the store that its version belongs to
    Version version;                      ///< of the update that it holds
    std::vector<NodeId> draining_nodes;   ///< nodes that are draining as far as it knows
    std::vector<VolumeId> served_volumes; ///< volumes with a client at this edge
};

/// An edge asks to prolong the lease on its quota shares, and acknowledges the version it holds.
struct LeaseRenewal {
    Time sent_at = 0; ///< by the edge's clock; comes back in LeaseRenewed
    Term term;
    Version version;
};

/// An edge has missed updates and needs the full state.
struct FullStateRequest {};

/// A volume's first client came to an edge, or its last one left.
struct VolumeServed {
    VolumeId volume;
    bool served = false;
};

/// Whether an edge reaches a node.
struct ReachabilityReport {
    NodeId node;
    bool reachable = false;
};

/// An edge follows a newer planner.
struct Superseded {
    Term term; ///< of the planner that it follows
};

/// A node's first message.
struct NodeHello {
    ProtocolVersion protocol{};
    NodeId node;
    ShardId shard;
    ZoneId zone;
    std::string address;
    std::uint64_t incarnation = 0; ///< of its process; another with each start
    Time age = 0;                  ///< since the start of its process
};

/// A node is there.
struct NodeRenewal {};

/// An operator asks for Status.
struct StatusRequest {};

/// How far a drain request goes.
enum class DrainMode : std::uint8_t {
    preview = 0, ///< only tell the effect
    apply = 1,   ///< do it unless nothing else serves the node's shard
    force = 2,   ///< do it in any case
};

/// An operator asks to drain a node, or to end its drain; answered by OperationResult.
struct DrainRequest {
    NodeId node;
    bool draining = false;
    DrainMode mode = DrainMode::preview;
};

/// An operator asks for an operation on snapshots; answered by OperationResult.
struct SnapshotRequest {
    SnapshotOperation operation = SnapshotOperation::take;
    std::string name;       ///< take: the volume; clone: the snapshot; drop, compare: the one meant
    std::string other_name; ///< take: name after the @; clone: its name; compare: the other one
    std::string plan;       ///< clone: its plan; empty: it shares its source's quota
};

/// An edge or a node has done its step of a snapshot or clone.
struct SnapshotStepReport {
    VolumeId snapshot;
    SnapshotStep step = SnapshotStep::holding;
    SnapshotResult result = SnapshotResult::done; ///< of a node's step
    EdgeIncarnation incarnation{};                ///< of an edge's step
};

/// Bytes of a volume.
struct ByteRange {
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
};

/// A node's answer to a DiffRequest.
struct DiffReport {
    std::uint64_t query_id = 0;
    std::vector<ByteRange> ranges; ///< in order of their offsets
    bool more = false;             ///< further ranges follow the last
};

// ---- From the planner to edges.

/// Begins an update: entries follow, then UpdateEnd.
struct UpdateBegin {
    Term term;
    std::uint64_t instance = 0; ///< of the planner's process: tells two under one term apart
    std::uint64_t lineage = 0;  ///< of the planner's store; versions of another can't be compared
    Version version;
    Version from_version;  ///< the version that these are changes to; 0: the full state follows
    Time planner_time = 0; ///< the planner's clock
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
    Version version;           ///< that of UpdateBegin
    std::uint64_t entries = 0; ///< how many came in between
};

/// The lease on an edge's quota shares runs for `lease` from `sent_at`, where the edge holds
/// `min_version` or a later one.
struct LeaseRenewed {
    Time sent_at = 0; ///< as in the LeaseRenewal that is answered, by the edge's clock
    Term term;
    Time lease = 0;
    Time fade = 0; ///< how long after the lease a quarter of each share may still be used
    Version min_version;
};

/// The planner does not hear a node and asks whether the edge reaches it.
struct ReachabilityRequest {
    NodeId node;
};

/// Begin no write of the volume until SnapshotResume or SnapshotRelease.
struct SnapshotHold {
    VolumeId volume;
    VolumeId snapshot;
    std::uint32_t epoch = 0; ///< of the writes after the snapshot
    Time max_hold = 0;       ///< after it the edge goes on by itself
};

/// Go on, with writes of the new epoch.
struct SnapshotResume {
    VolumeId volume;
    VolumeId snapshot;
    std::uint32_t epoch = 0;
};

/// Go on as before: no snapshot is taken with this edge's help.
struct SnapshotRelease {
    VolumeId volume;
    VolumeId snapshot;
};

// ---- From the planner to nodes.

/// Open a snapshot: it has all writes of before `epoch`.
struct SnapshotOpen {
    VolumeId volume;
    VolumeId snapshot;
    std::uint32_t epoch = 0;
    std::vector<EdgeIncarnation> late_writers; ///< edges whose writes of before may still come
};

/// Make a snapshot whole and durable; no late write comes any more.
struct SnapshotSeal {
    VolumeId volume;
    VolumeId snapshot;
};

/// Drop a snapshot or a clone.
struct SnapshotDrop {
    VolumeId snapshot;
};

/// Make a writable copy of a snapshot.
struct CloneOpen {
    VolumeId source;
    VolumeId clone;
};

/// Which ranges of two volumes differ; answered by DiffReport.
struct DiffRequest {
    std::uint64_t query_id = 0; ///< comes back in the answer
    VolumeId first;
    VolumeId second;
    std::uint64_t from_offset = 0; ///< ranges before it are not wanted
};

/// What the planner has the node as.
struct NodeStateNotice {
    NodeState state = NodeState::removed;
};

// ---- From the planner to operators.

/// The state of the planner, its nodes and edges.
struct Status {
    std::string json;
};

/// What an operator's request would do, or did.
struct OperationResult {
    bool allowed = false; ///< may be done, without force
    bool done = false;    ///< was done, and is durable
    std::string text;     ///< the effect, or the reason why not
};

} // namespace knotvane::control
