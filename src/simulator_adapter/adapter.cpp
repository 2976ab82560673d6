#include "simulator_adapter/adapter.hpp"

#include <algorithm>
#include <cstring>

#include "scheduler_setup/options.hpp"
#include "scheduler_setup/setup.hpp"
#include "scheduler_setup/record_writer.hpp"

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
    void error(RequestId task) override { Record(bytes, 263).put(task.value); }
    void set_timer(TimerId alarm, Time wait) override {
        Record(bytes, 260).put(alarm.value).time(wait);
    }
    void watch_endpoints() override { Record(bytes, 265).put(std::uint8_t{1}); }
    void ask_list() override { Record(bytes, 262); }
    void probe(NodeId node) override { Record(bytes, 258).address(node.value); }
    void tell_all(std::string_view text) override {
        Record(bytes, 267).put(std::uint32_t{0xffffffff}).text(text);
    }
    void note(std::string_view text) override { Record(bytes, 266).text(text); }
};

// The order of an outcome's numbers on the wire is that of the enumerators.
AttemptOutcome outcome_of(std::uint16_t rc) {
    if (rc > 7)
        throw Malformed("outcome " + std::to_string(rc) + " is unknown");
    return static_cast<AttemptOutcome>(rc);
}

std::vector<float> report_of(Reader &in) {
    std::vector<float> values(in.get<std::uint8_t>("report size"));
    for (auto &v : values)
        v = in.need<float>("report value");
    return values;
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
    std::vector<Entry> entries;
    for (std::uint32_t i = 0; i < n; ++i) {
        Reader e(in.take(24, "list entry"));
        Entry entry;
        entry.shard = ShardId{e.need<std::uint16_t>("shard")};
        entry.node = NodeId{e.address("node")};
        entry.zone = ZoneId{e.need<std::uint8_t>("zone")};
        entry.state = e.need<std::uint8_t>("state");
        e.need<float>("size");
        entry.started = e.time("start");
        if (entry.state > 2)
            throw Malformed("node state " + std::to_string(entry.state) + " is unknown");
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
    born->scheduler->ready(now_);
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
        to.endpoint_listed(e.node, e.shard, e.zone, static_cast<NodeState>(e.state), e.started);
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
        RequestId task{in.need<std::uint64_t>("task")};
        auto bits = in.get<std::uint8_t>("bits");
        WorkloadId workload{in.get<std::uint16_t>("workload")};
        double hosts = in.get<float>("hosts");
        VolumeId volume{in.get<std::uint64_t>("volume")};
        ShardId shard = shard_of(in.empty() ? -1.0f : in.get<float>("shard"));
        KeyId key{in.get<std::uint64_t>("key")};
        PlanId plan{in.get<std::uint32_t>("plan")};
        Time client_timeout = in.time("client timeout");
        double units = in.get<float>("units");
        if (!std::isfinite(hosts) || !std::isfinite(units))
            throw Malformed("task: hosts or units is not a number");
        to.request_received(now_, task, workload, volume, plan, shard, key, units, hosts, (bits & 4) != 0,
                      (bits & 2) != 0, client_timeout);
        break;
    }
    case 260: {
        RequestId task{in.need<std::uint64_t>("task")};
        AttemptId shot{in.need<std::uint8_t>("shot")};
        NodeId node{in.address("node")};
        AttemptOutcome how = outcome_of(in.need<std::uint16_t>("outcome"));
        Time took = in.time("time taken");
        bool ended = in.get<std::uint8_t>("last") != 0;
        auto used = in.get<std::uint16_t>("use");
        auto elsewhere = in.get<std::uint16_t>("others");
        auto report = report_of(in);
        to.attempt_completed(now_, task, shot, node, how, took, ended, (used - 1) / 100.0, elsewhere,
                      report);
        break;
    }
    case 261:
        to.request_canceled(now_, RequestId{in.need<std::uint64_t>("task")}, true);
        break;
    case 262:
        to.alarm(now_, TimerId{in.get<std::uint32_t>("alarm")});
        break;
    case 263: {
        NodeId node{in.address("node")};
        auto rc = in.get<std::uint16_t>("result");
        Time took = in.time("time taken");
        auto report = report_of(in);
        to.probe_ended(now_, node, rc == 0, took, report);
        break;
    }
    case 264: {
        PeerId from{in.need<std::uint16_t>("sender")};
        to.peer_told(now_, from, in.take(in.get<std::uint16_t>("size"), "text"));
        break;
    }
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
