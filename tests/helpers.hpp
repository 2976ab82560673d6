// What the tests share: actions written down, and a scheduler set up by hand.
#pragma once

#include <string>
#include <vector>

#include "policy.hpp"

namespace knotvane {

// Writes each action down as a line, in order.
struct Written final : Actions {
    std::vector<std::string> lines;
    void put(std::string s) { lines.push_back(std::move(s)); }
    void shoot(TaskId t, NodeId n, Time) override {
        put("shoot " + std::to_string(t.value) + " " + std::to_string(n.value));
    }
    void call_off(TaskId t, ShotId) override { put("call_off " + std::to_string(t.value)); }
    void deny(TaskId t, Time) override { put("deny " + std::to_string(t.value)); }
    void error(TaskId t) override { put("error " + std::to_string(t.value)); }
    void set_alarm(AlarmId, Time) override {}
    void follow_list() override { put("follow"); }
    void ask_list() override { put("ask"); }
    void probe(NodeId) override {}
    void tell_all(std::string_view) override {}
    void note(std::string_view) override {}
    std::size_t count(const std::string &start) const {
        std::size_t n = 0;
        for (const auto &l : lines)
            n += l.starts_with(start);
        return n;
    }
};

// One of two schedulers before two nodes, with one plain workload (0) and one plan (0); tests
// change what they need.
struct Bench {
    Written did;
    std::unique_ptr<Scheduler> s = make_scheduler(did, 7);
    Bench() {
        s->set_place(PeerId{0}, 2, ZoneId{0});
        s->set_clock(2 * ms, 8 * ms);
        s->add_workload(WorkloadId{0}, 500 * ms, 2 * sec, 1, 0.1);
        s->add_plan(PlanId{0}, 1, 10, 0, 1);
        s->set_units(2, 8, 0.3, 0.05);
        s->set_shots(3, false, false);
        s->set_cold(32, 2 * sec, 10 * sec, 0.25);
    }
    void list(Time now, NodeState first = NodeState::ready, Time first_started = 0) {
        s->list_begins(now, ListKind::whole);
        s->node_listed(NodeId{1}, ShardId{1}, ZoneId{0}, first, first_started);
        s->node_listed(NodeId{2}, ShardId{2}, ZoneId{0}, NodeState::ready, 0);
        s->list_ends();
    }
    void task(Time now, std::uint64_t id, int shard = 1, std::uint64_t key = 0, double units = 2) {
        s->task_taken(now, TaskId{id}, WorkloadId{0}, VolumeId{5}, PlanId{0}, ShardId{shard},
                      KeyId{key}, units, 2, false, false, now + 2 * sec);
    }
    void outcome(Time now, std::uint64_t id, Outcome how, Time took = 10 * ms,
                 std::uint32_t shot = 0) {
        s->shot_ended(now, TaskId{id}, ShotId{shot}, NodeId{1}, how, took, how == Outcome::answered,
                      -1, 0, {});
    }
};

} // namespace knotvane
