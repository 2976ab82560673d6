/// \file
/// What the parts of one edge share.
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

    /// Units of a request to a node that transfers so many bytes.
    double units(std::uint32_t bytes) const {
        return 1 + static_cast<double>(bytes) / static_cast<double>(bytes_per_unit);
    }

    Shell &shell;
    Clock clock;
    /// What nodes know this process by, and the first half of each idempotency key. It holds the
    /// edge's id, too: guards against two edges that were started at once and would share their
    /// keys, so that a node would drop one's writes as repeats of the other's.
    std::uint64_t incarnation;
    std::uint64_t bytes_per_unit;
    /// Units more for the first write to a span after a snapshot, which the node does to a copy.
    double copy_on_write_units = 0;
    Layout layout;
    /// The first rule that a request fits counts.
    std::vector<WorkloadRule> workloads;
    AdmissionControl admission;
    ScheduledRequests scheduled;
    SchedulerDriver scheduler;
    SnapshotParticipant snapshots;
    OpenVolumes volumes;
    /// Clients that have something to be sent or whose reading may go on.
    std::set<ClientId> clients_to_flush;
};

} // namespace knotvane::edge
