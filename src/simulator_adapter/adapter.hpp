/// \file
/// Runs schedulers that are driven over the simulator's wire protocol.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/scheduler.hpp"
#include "simulator_adapter/record_actions.hpp"
#include "simulator_adapter/record_reader.hpp"
#include "simulator_adapter/records.hpp"

namespace knotvane::simulator_adapter {

/// Runs any number of schedulers, one for each scheduler instance of the simulated site. It makes
/// no decisions: each input record becomes a call of a scheduler, and each action of a scheduler
/// becomes an output record.
class SimulatorAdapter {
public:
    /// Handles one input frame.
    /// @param frame includes its length field.
    /// @return the reply frame. If a scheduler throws, the reply ends with a fault record.
    /// @throws scheduler_setup::MalformedInput if the frame violates the wire format.
    std::string handle_frame(std::string_view frame);

private:
    /// A scheduler instance of the simulated site.
    struct Instance {
        RecordActions actions;
        std::unique_ptr<Scheduler> scheduler;
    };

    /// An exception that a scheduler threw, with the instance that it is reported for.
    struct Fault {
        std::uint32_t instance;
        std::string text;
    };

    std::optional<Fault> handle_records(RecordReader records);
    void handle_record(std::uint16_t code, RecordReader fields);
    void handle_event(InputRecord code, RecordReader fields);
    void store_endpoint_list(RecordReader fields);
    void start_instance(RecordReader fields);
    void kill_instance();
    void update_endpoints(Scheduler &scheduler, RecordReader fields);

    /// Calls settle for every instance that had an event in this frame, and appends the records of
    /// their actions to the reply.
    std::optional<Fault> settle(std::string &reply);

    /// @throws MalformedInput if no target was named in this frame or the target isn't running.
    Instance &target_instance();

    Time now_ = 0;
    /// The instance that the last target_instance record of this frame named.
    std::optional<std::uint32_t> target_;
    /// Instances that had an event in this frame, in the order of their first events.
    std::vector<std::uint32_t> instances_with_events_;
    std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
    std::array<std::optional<std::vector<Endpoint>>, endpoint_list_count> endpoint_lists_;
};

} // namespace knotvane::simulator_adapter
