/// \file
/// What the edge asks of the program that runs it.
#pragma once

#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "control/cluster_state.hpp"
#include "edge/ids.hpp"
#include "edge/node_connections.hpp"
#include "scheduling/events.hpp"

namespace knotvane::edge {

/// Sockets, log and planner. Closing is final: no event of what was closed may follow.
class Shell : public Transport {
public:
    virtual void send_client(ClientId client, std::string bytes) = 0;
    /// Closes once all that was sent has left.
    virtual void close_client(ClientId client) = 0;
    /// Whether to stop reading from a client's socket.
    virtual void pause_client(ClientId client, bool paused) = 0;
    /// For the log: what happened to a connection.
    virtual void log_event(std::string text) = 0;
    /// An attempt has ended, for the log and for reports on which nodes are reached.
    virtual void attempt_completed(RequestId request, NodeId node, AttemptOutcome outcome,
                                   Time duration) = 0;
    /// A volume has its first client here, or lost its last.
    virtual void volume_used(VolumeId, bool /*used*/) {}
    /// This edge has done a step of a snapshot; for the planner.
    virtual void snapshot_step_done(VolumeId /*snapshot*/, control::SnapshotStep,
                                    control::EdgeIncarnation) {}
};

} // namespace knotvane::edge
