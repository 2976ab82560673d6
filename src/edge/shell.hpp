/// \file
/// The interface through which the edge uses the program that runs it.
#pragma once

#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "control/cluster_state.hpp"
#include "edge/ids.hpp"
#include "edge/node_connections.hpp"
#include "scheduling/events.hpp"

namespace knotvane::edge {

/// Sockets, log and planner. Closing is final: no event of a closed connection may follow.
class Shell : public Transport {
public:
    virtual void send_client(ClientId client, std::string bytes) = 0;
    /// Closes the connection once all output has been sent.
    virtual void close_client(ClientId client) = 0;
    /// Pauses or resumes reading from a client's socket.
    virtual void pause_client(ClientId client, bool paused) = 0;
    /// Writes an event of a connection to the log.
    virtual void log_event(std::string text) = 0;
    /// Reports that an attempt has ended, for the log and for the reports on node reachability.
    virtual void attempt_completed(RequestId request, NodeId node, AttemptOutcome outcome,
                                   Time duration) = 0;
    /// Reports that a volume has come into use at this edge, or is no longer used.
    virtual void volume_used(VolumeId, bool /*used*/) {}
    /// Reports to the planner that this edge has completed a step of a snapshot.
    virtual void snapshot_step_done(VolumeId /*snapshot*/, control::SnapshotStep,
                                    control::EdgeIncarnation) {}
};

} // namespace knotvane::edge
