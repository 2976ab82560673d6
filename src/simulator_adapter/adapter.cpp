#include "simulator_adapter/adapter.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <exception>
#include <utility>

#include "scheduler_setup/options.hpp"
#include "scheduler_setup/setup.hpp"
#include "simulator_adapter/record_writer.hpp"

namespace knotvane::simulator_adapter {
namespace {

using scheduler_setup::MalformedInput;

AttemptOutcome to_outcome(std::uint16_t number) {
    // The enumerators have the numbers of the wire format.
    if (number > static_cast<std::uint16_t>(AttemptOutcome::not_sent))
        throw MalformedInput("outcome: unknown number " + std::to_string(number));
    return static_cast<AttemptOutcome>(number);
}

NodeState to_node_state(std::uint8_t number) {
    // The enumerators have the numbers of the wire format.
    if (number > static_cast<std::uint8_t>(NodeState::ready))
        throw MalformedInput("node state: unknown number " + std::to_string(number));
    return static_cast<NodeState>(number);
}

ShardId to_shard(float number) {
    constexpr float max_shard = 65535;
    if (!(number >= static_cast<float>(no_shard.value) && number <= max_shard))
        throw MalformedInput("shard: expected a number from -1 to 65535");
    return ShardId{static_cast<std::int32_t>(number)};
}

/// Checks the format of a load report, which is otherwise not used.
void skip_load_report(RecordReader &fields) {
    auto size = fields.optional<std::uint8_t>("report size");
    for (std::uint8_t i = 0; i < size; ++i)
        fields.required<float>("report value");
}

void skip_health_check(RecordReader fields) {
    fields.address("node");
    fields.optional<std::uint16_t>("result");
    fields.time("duration");
    skip_load_report(fields);
}

void skip_peer_message(RecordReader fields) {
    fields.required<std::uint16_t>("sender");
    fields.bytes(fields.optional<std::uint16_t>("text size"), "text");
}

Endpoint read_endpoint(RecordReader fields) {
    Endpoint endpoint;
    endpoint.shard = ShardId{fields.required<std::uint16_t>("shard")};
    endpoint.node = NodeId{fields.address("node")};
    endpoint.zone = ZoneId{fields.required<std::uint8_t>("zone")};
    auto state = fields.required<std::uint8_t>("state");
    fields.required<float>("weight");
    endpoint.started_at = fields.time("start");
    endpoint.state = to_node_state(state);
    return endpoint;
}

RequestInfo read_request(RecordReader fields) {
    RequestInfo request;
    request.id = RequestId{fields.required<std::uint64_t>("request")};
    auto flags = fields.optional<std::uint8_t>("flags");
    request.repeated = (flags & request_flag::repeated) != 0;
    request.writes = (flags & request_flag::writes) != 0;
    request.workload = WorkloadId{fields.optional<std::uint16_t>("workload")};
    request.sharers = fields.optional<float>("sharers");
    request.volume = VolumeId{fields.optional<std::uint64_t>("volume")};
    request.shard = fields.empty() ? no_shard : to_shard(fields.optional<float>("shard"));
    request.key = KeyId{fields.optional<std::uint64_t>("key")};
    request.plan = PlanId{fields.optional<std::uint32_t>("plan")};
    request.client_timeout = fields.time("client timeout");
    request.units = fields.optional<float>("units");
    if (!std::isfinite(request.sharers) || !std::isfinite(request.units))
        throw MalformedInput("sharers and units: expected finite numbers");
    return request;
}

AttemptResult read_attempt_result(RecordReader fields) {
    AttemptResult result;
    result.request = RequestId{fields.required<std::uint64_t>("request")};
    result.attempt = AttemptId{fields.required<std::uint8_t>("attempt")};
    result.node = NodeId{fields.address("node")};
    result.outcome = to_outcome(fields.required<std::uint16_t>("outcome"));
    result.duration = fields.time("duration");
    result.client_answered = fields.optional<std::uint8_t>("client answered") != 0;
    fields.optional<std::uint16_t>("volume use");
    fields.optional<std::uint16_t>("units through other schedulers");
    skip_load_report(fields);
    return result;
}

} // namespace

std::string SimulatorAdapter::handle_frame(std::string_view frame) {
    RecordReader in(frame);
    in.required<std::uint32_t>("frame length");
    now_ = scheduler_setup::time_from_seconds(in.required<double>("clock"), "clock");
    target_.reset();
    instances_with_events_.clear();

    std::string reply(sizeof(std::uint32_t), '\0');
    auto fault = handle_records(in);
    if (!fault)
        fault = settle(reply);
    if (fault) {
        RecordWriter(reply, OutputRecord::instance).put(fault->instance);
        RecordWriter(reply, OutputRecord::fault).text(fault->text);
    }
    auto length = static_cast<std::uint32_t>(reply.size());
    std::memcpy(reply.data(), &length, sizeof length);
    return reply;
}

std::optional<SimulatorAdapter::Fault> SimulatorAdapter::handle_records(RecordReader records) {
    while (!records.empty()) {
        auto code = records.required<std::uint16_t>("record code");
        auto length = records.required<std::uint32_t>("record length");
        RecordReader fields(records.bytes(length, "record"));
        try {
            handle_record(code, fields);
        } catch (const MalformedInput &error) {
            throw MalformedInput("record " + std::to_string(code) + ": " + error.what());
        } catch (const std::exception &error) {
            return Fault{target_.value_or(0), std::string("scheduler failed on record ") +
                                                  std::to_string(code) + ": " + error.what()};
        }
    }
    return std::nullopt;
}

void SimulatorAdapter::handle_record(std::uint16_t code, RecordReader fields) {
    auto record = static_cast<InputRecord>(code);
    if (record == InputRecord::endpoint_list)
        return store_endpoint_list(fields);
    if (record == InputRecord::target_instance) {
        target_ = fields.required<std::uint32_t>("instance");
        return;
    }
    if (record >= InputRecord::start && record <= InputRecord::kill)
        handle_event(record, fields);
}

void SimulatorAdapter::handle_event(InputRecord code, RecordReader fields) {
    if (!target_)
        throw MalformedInput("event without a preceding target_instance record in its frame");
    if (code == InputRecord::kill)
        return kill_instance();

    auto &instances = instances_with_events_;
    if (std::find(instances.begin(), instances.end(), *target_) == instances.end())
        instances.push_back(*target_);
    if (code == InputRecord::start)
        return start_instance(fields);

    Scheduler &scheduler = *target_instance().scheduler;
    switch (code) {
    case InputRecord::endpoint_update:
        return update_endpoints(scheduler, fields);
    case InputRecord::request_received:
        return scheduler.request_received(now_, read_request(fields));
    case InputRecord::attempt_completed:
        return scheduler.attempt_completed(now_, read_attempt_result(fields));
    case InputRecord::request_canceled:
        return scheduler.request_canceled(now_,
                                          RequestId{fields.required<std::uint64_t>("request")},
                                          CancelReason::client_disconnected);
    case InputRecord::timer_expired:
        return scheduler.timer_expired(now_, TimerId{fields.optional<std::uint32_t>("timer")});
    case InputRecord::health_check_completed:
        return skip_health_check(fields);
    case InputRecord::peer_message:
        return skip_peer_message(fields);
    case InputRecord::stream_started:
    case InputRecord::start:
    case InputRecord::kill:
    case InputRecord::endpoint_list:
    case InputRecord::target_instance:
        return;
    }
}

void SimulatorAdapter::store_endpoint_list(RecordReader fields) {
    auto number = fields.required<std::uint16_t>("list number");
    if (number >= endpoint_lists_.size())
        throw MalformedInput("list number " + std::to_string(number) + ": expected at most " +
                             std::to_string(endpoint_lists_.size() - 1));
    auto count = fields.optional<std::uint32_t>("list size");
    std::vector<Endpoint> endpoints;
    for (std::uint32_t i = 0; i < count; ++i)
        endpoints.push_back(
            read_endpoint(RecordReader(fields.bytes(endpoint_entry_bytes, "list entry"))));
    endpoint_lists_[number] = std::move(endpoints);
}

void SimulatorAdapter::start_instance(RecordReader fields) {
    auto seed = fields.required<std::uint64_t>("seed");
    auto settings_size = fields.required<std::uint32_t>("settings size");
    scheduler_setup::Options options(fields.bytes(settings_size, "settings"));
    auto instance = std::make_unique<Instance>();
    instance->scheduler = make_scheduler(instance->actions, seed);
    scheduler_setup::configure_scheduler(*instance->scheduler, options);
    instance->scheduler->start(now_);
    instances_[*target_] = std::move(instance);
}

void SimulatorAdapter::kill_instance() {
    target_instance();
    instances_.erase(*target_);
}

void SimulatorAdapter::update_endpoints(Scheduler &scheduler, RecordReader fields) {
    auto kind_number = fields.required<std::uint8_t>("list kind");
    auto kind = static_cast<EndpointUpdateKind>(kind_number);
    fields.optional<std::uint64_t>("list version");
    auto list_number = fields.optional<std::uint16_t>("list number");
    if (kind == EndpointUpdateKind::failed)
        return scheduler.endpoint_list_failed(now_);
    if (kind > EndpointUpdateKind::delta)
        throw MalformedInput("list kind: unknown number " + std::to_string(kind_number));
    if (list_number >= endpoint_lists_.size() || !endpoint_lists_[list_number])
        throw MalformedInput("list number " + std::to_string(list_number) +
                             ": no endpoint_list record with this number was received");

    scheduler.endpoint_list_begin(now_, kind == EndpointUpdateKind::delta ? EndpointListKind::delta
                                                                          : EndpointListKind::full);
    for (const auto &endpoint : *endpoint_lists_[list_number])
        scheduler.endpoint_listed(endpoint);
    scheduler.endpoint_list_end();
}

std::optional<SimulatorAdapter::Fault> SimulatorAdapter::settle(std::string &reply) {
    for (auto id : instances_with_events_) {
        auto it = instances_.find(id);
        if (it == instances_.end())
            continue;
        Instance &instance = *it->second;
        try {
            instance.scheduler->settle(now_);
        } catch (const std::exception &error) {
            return Fault{id, std::string("scheduler failed in settle: ") + error.what()};
        }
        std::string records = instance.actions.take_records();
        if (!records.empty())
            RecordWriter(reply, OutputRecord::instance).put(id);
        reply += records;
    }
    return std::nullopt;
}

SimulatorAdapter::Instance &SimulatorAdapter::target_instance() {
    if (!target_)
        throw MalformedInput("event without a preceding target_instance record in its frame");
    auto it = instances_.find(*target_);
    if (it == instances_.end())
        throw MalformedInput("event for instance " + std::to_string(*target_) +
                             ", which isn't running");
    return *it->second;
}

} // namespace knotvane::simulator_adapter
