#include "simulator_adapter/adapter.hpp"

#include <algorithm>
#include <cstring>

#include "scheduler_setup/options.hpp"
#include "scheduler_setup/record_writer.hpp"
#include "scheduler_setup/setup.hpp"

namespace knotvane::simulator_adapter {
namespace {

using scheduler_setup::Malformed;
using scheduler_setup::Options;
using scheduler_setup::Reader;
using scheduler_setup::Record;

// Decisions go out as records, gathered until the frame is done.
class Out final : public SchedulerActions {
public:
    std::string bytes;

    void start_attempt(RequestId task, NodeId node, Time timeout) override {
        Record(bytes, 261).put(task.value).address(node.value).time(timeout);
    }
    void cancel_attempt(RequestId task, AttemptId shot) override {
        Record(bytes, 264).put(task.value).put(static_cast<std::uint8_t>(shot.value));
    }
    void reject(RequestId task, Time retry_after) override {
        Record(bytes, 268).put(task.value).time(retry_after);
    }
    void fail(RequestId task) override { Record(bytes, 263).put(task.value); }
    void set_timer(TimerId alarm, Time wait) override {
        Record(bytes, 260).put(alarm.value).time(wait);
    }
    void watch_endpoints() override { Record(bytes, 265).put(std::uint8_t{1}); }
};

// The order of an outcome's numbers on the wire is that of the enumerators.
AttemptOutcome outcome_of(std::uint16_t rc) {
    if (rc > 7)
        throw Malformed("outcome " + std::to_string(rc) + " is unknown");
    return static_cast<AttemptOutcome>(rc);
}

// Load reports are checked and not used.
void check_report(Reader &in) {
    auto size = in.get<std::uint8_t>("report size");
    for (std::uint8_t i = 0; i < size; ++i)
        in.need<float>("report value");
}

ShardId shard_of(float placement) {
    if (!(placement >= -1 && placement <= 65535))
        throw Malformed("placement: not a shard");
    return ShardId{static_cast<std::int32_t>(placement)};
}

} // namespace

struct Host::Instance {
    Out out;
    std::unique_ptr<Scheduler> scheduler;
};

Host::Host() = default;
Host::~Host() = default;

Host::Instance &Host::instance() {
    if (!target_)
        throw Malformed("event before any instance is named");
    auto it = instances_.find(*target_);
    if (it == instances_.end())
        throw Malformed("event for instance " + std::to_string(*target_) +
                        ", which was never booted");
    return *it->second;
}

void Host::census(Reader in) {
    auto slot = in.need<std::uint16_t>("list number");
    if (slot >= census_.size())
        throw Malformed("list number " + std::to_string(slot) + " is past 15");
    auto n = in.get<std::uint32_t>("list size");
    std::vector<Endpoint> entries;
    for (std::uint32_t i = 0; i < n; ++i) {
        Reader e(in.take(24, "list entry"));
        Endpoint entry;
        entry.shard = ShardId{e.need<std::uint16_t>("shard")};
        entry.node = NodeId{e.address("node")};
        entry.zone = ZoneId{e.need<std::uint8_t>("zone")};
        auto state = e.need<std::uint8_t>("state");
        e.need<float>("size");
        entry.started_at = e.time("start");
        if (state > 2)
            throw Malformed("node state " + std::to_string(state) + " is unknown");
        entry.state = static_cast<NodeState>(state);
        entries.push_back(entry);
    }
    census_[slot] = std::move(entries);
}

void Host::boot(Reader &in) {
    auto seed = in.need<std::uint64_t>("seed");
    Options options(in.take(in.need<std::uint32_t>("settings size"), "settings"));
    auto born = std::make_unique<Instance>();
    born->scheduler = make_scheduler(born->out, seed);
    scheduler_setup::set_up(*born->scheduler, options);
    born->scheduler->start(now_);
    instances_[*target_] = std::move(born);
}

void Host::membership(Scheduler &to, Reader &in) {
    auto how = in.need<std::uint8_t>("list kind");
    in.get<std::uint64_t>("list version");
    auto slot = in.get<std::uint16_t>("list number");
    if (how == 1)
        return to.endpoint_list_failed(now_);
    if (how > 3)
        throw Malformed("list kind " + std::to_string(how) + " is unknown");
    if (slot >= census_.size() || !census_[slot])
        throw Malformed("list number " + std::to_string(slot) + " was never given");
    to.endpoint_list_begin(now_, how == 3 ? EndpointListKind::delta : EndpointListKind::full);
    for (const auto &e : *census_[slot])
        to.endpoint_listed(e);
    to.endpoint_list_end();
}

void Host::event(std::uint16_t code, Reader in) {
    if (code == 266)
        return census(in);
    if (code == 267) {
        target_ = in.need<std::uint32_t>("instance");
        return;
    }
    if (code < 256 || code > 265)
        return;
    if (!target_)
        throw Malformed("event before any instance is named");
    if (code == 265) {
        instance();
        instances_.erase(*target_);
        return;
    }
    if (std::find(touched_.begin(), touched_.end(), *target_) == touched_.end())
        touched_.push_back(*target_);
    if (code == 256)
        return boot(in);
    Scheduler &to = *instance().scheduler;
    switch (code) {
    case 257:
        membership(to, in);
        break;
    case 258: {
        RequestInfo request;
        request.id = RequestId{in.need<std::uint64_t>("task")};
        auto bits = in.get<std::uint8_t>("bits");
        request.repeated = (bits & 2) != 0;
        request.writes = (bits & 4) != 0;
        request.workload = WorkloadId{in.get<std::uint16_t>("workload")};
        request.sharers = in.get<float>("hosts");
        request.volume = VolumeId{in.get<std::uint64_t>("volume")};
        request.shard = shard_of(in.empty() ? -1.0f : in.get<float>("shard"));
        request.key = KeyId{in.get<std::uint64_t>("key")};
        request.plan = PlanId{in.get<std::uint32_t>("plan")};
        request.client_timeout = in.time("client timeout");
        request.units = in.get<float>("units");
        if (!std::isfinite(request.sharers) || !std::isfinite(request.units))
            throw Malformed("task: hosts or units is not a number");
        to.request_received(now_, request);
        break;
    }
    case 260: {
        AttemptResult result;
        result.request = RequestId{in.need<std::uint64_t>("task")};
        result.attempt = AttemptId{in.need<std::uint8_t>("shot")};
        result.node = NodeId{in.address("node")};
        result.outcome = outcome_of(in.need<std::uint16_t>("outcome"));
        result.duration = in.time("time taken");
        result.client_answered = in.get<std::uint8_t>("last") != 0;
        in.get<std::uint16_t>("use");
        in.get<std::uint16_t>("others");
        check_report(in);
        to.attempt_completed(now_, result);
        break;
    }
    case 261:
        to.request_canceled(now_, RequestId{in.need<std::uint64_t>("task")},
                            CancelReason::client_disconnected);
        break;
    case 262:
        to.timer_expired(now_, TimerId{in.get<std::uint32_t>("alarm")});
        break;
    case 263: // a health check's end: none is ever started
        in.address("node");
        in.get<std::uint16_t>("result");
        in.time("time taken");
        check_report(in);
        break;
    case 264: // a peer's message: not used
        in.need<std::uint16_t>("sender");
        in.take(in.get<std::uint16_t>("size"), "text");
        break;
    default: // a stream's start: no workload here streams
        break;
    }
}

std::string Host::reply_to(std::string_view frame) {
    Reader in(frame);
    in.need<std::uint32_t>("frame length");
    now_ = Reader::to_time(in.need<double>("clock"), "clock");
    target_.reset();
    touched_.clear();
    std::string fault;
    std::uint32_t faulty = 0;
    while (!in.empty() && fault.empty()) {
        auto code = in.need<std::uint16_t>("record code");
        Reader fields(in.take(in.need<std::uint32_t>("record length"), "record"));
        try {
            event(code, fields);
        } catch (const Malformed &e) {
            throw Malformed("record " + std::to_string(code) + ": " + e.what());
        } catch (const std::exception &e) {
            fault = std::string("decisions failed: ") + e.what();
            faulty = target_.value_or(0);
        }
    }
    std::string reply(4, '\0');
    for (auto id : touched_) {
        auto it = instances_.find(id);
        if (it == instances_.end() || !fault.empty())
            continue;
        try {
            it->second->scheduler->settle(now_);
        } catch (const std::exception &e) {
            fault = std::string("decisions failed: ") + e.what();
            faulty = id;
            break;
        }
        std::string &out = it->second->out.bytes;
        if (!out.empty())
            Record(reply, 257).put(id);
        reply += out;
        out.clear();
    }
    if (!fault.empty()) {
        Record(reply, 257).put(faulty);
        Record(reply, 256).text(fault);
    }
    auto n = static_cast<std::uint32_t>(reply.size());
    std::memcpy(reply.data(), &n, 4);
    return reply;
}

} // namespace knotvane::simulator_adapter
