/// \file
/// Runs schedulers behind the simulator's wire.
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

/// Runs any number of schedulers, each for an instance of the simulated site. It decides nothing: a
/// decoded record goes straight into a call, and a call goes straight out as a record.
class SimulatorAdapter {
public:
    /// Handles one frame, its length included, and returns the frame that answers it. A scheduler
    /// that throws is answered with a fault record.
    /// @throws scheduler_setup::MalformedInput on what the wire doesn't allow.
    std::string handle_frame(std::string_view frame);

private:
    /// One scheduler process of the simulated site.
    struct Instance {
        RecordActions actions;
        std::unique_ptr<Scheduler> scheduler;
    };

    /// A scheduler's failure: the instance and what to tell of it.
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

    /// Ends the moment for every instance that had an event, and appends their actions.
    std::optional<Fault> settle(std::string &reply);

    /// @throws MalformedInput if no instance was named or the one named last isn't running.
    Instance &target_instance();

    Time now_ = 0;
    /// The instance that the frame named last.
    std::optional<std::uint32_t> target_;
    /// Those that had an event in this frame, in the order of their first ones.
    std::vector<std::uint32_t> instances_with_events_;
    std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
    std::array<std::optional<std::vector<Endpoint>>, endpoint_list_count> endpoint_lists_;
};

} // namespace knotvane::simulator_adapter
