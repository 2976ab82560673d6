/// \file
/// State shared by the components of one edge.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "common/ids.hpp"
#include "edge/admission_control.hpp"
#include "edge/config.hpp"
#include "edge/ids.hpp"
#include "edge/layout.hpp"
#include "edge/open_volumes.hpp"
#include "edge/scheduled_requests.hpp"
#include "edge/scheduler_driver.hpp"
#include "edge/shell.hpp"
#include "edge/snapshot_participant.hpp"

namespace knotvane::edge {

/// One edge's state apart from its connections and its clients' requests. The core sets the clock
/// with each event.
struct EdgeState {
    EdgeState(Shell &program, const MakeScheduler &make_scheduler, const CoreConfig &config)
        : shell(program), incarnation(hash_pair(config.edge_id, config.incarnation)),
          bytes_per_unit(config.bytes_per_unit),
          layout(config.extent_bytes, config.span_bytes, config.shards),
          scheduler(make_scheduler, scheduled, clock),
          snapshots([this](VolumeId snapshot, control::SnapshotStep step) {
              shell.snapshot_step_done(snapshot, step, control::EdgeIncarnation{incarnation});
          }),
          volumes(shell, snapshots) {}

    /// @return the units of a node request that transfers `bytes` bytes.
    double units(std::uint32_t bytes) const {
        return 1 + static_cast<double>(bytes) / static_cast<double>(bytes_per_unit);
    }

    Shell &shell;
    Clock clock;
    /// Identifies this process to nodes; the first half of each idempotency key. A hash that
    /// includes the edge's id: two edges started at the same time would otherwise use the same
    /// keys, and a node would drop the writes of one as repeats of the other's.
    std::uint64_t incarnation;
    std::uint64_t bytes_per_unit;
    /// Additional units of the first write to a span after a snapshot, for which the node has to
    /// copy data.
    double copy_on_write_units = 0;
    Layout layout;
    /// A request belongs to the workload of the first rule that it matches.
    std::vector<WorkloadRule> workloads;
    AdmissionControl admission;
    ScheduledRequests scheduled;
    SchedulerDriver scheduler;
    SnapshotParticipant snapshots;
    OpenVolumes volumes;
    /// Clients with data to send, or whose paused reading may resume.
    std::set<ClientId> clients_to_flush;
};

} // namespace knotvane::edge
