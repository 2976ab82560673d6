#include "scheduling/slow_start.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("a share that holds the largest request is a strict limit") {
    CHECK(slow_start_admits({8, 8, 16, 8, 0, 1}));
    CHECK_FALSE(slow_start_admits({8, 9, 16, 8, 0, 0}));
}

TEST_CASE("a share below the largest request admits at random, at most one request per window") {
    CHECK(slow_start_admits({0, 8, 1, 8, 4, 0.25}));
    CHECK_FALSE(slow_start_admits({0, 8, 1, 8, 4, 0.26}));
    CHECK_FALSE(slow_start_admits({1, 1, 1, 8, 4, 0}));
}

// A scheduler that restarts doesn't know what it sent before. If it used its share again
// immediately, the node would get twice the share within one window.
TEST_CASE("a scheduler that just started sends nothing to a node in slow start") {
    SchedulerFixture fixture;
    fixture.scheduler->start(100 * sec);
    fixture.list_endpoints(100 * sec, NodeState::ready, 99 * sec);
    fixture.receive(100 * sec, 1);
    fixture.scheduler->settle(100 * sec);
    CHECK(fixture.actions.count("start") == 0);
}

TEST_CASE("the share of a node in slow start grows with its age") {
    SchedulerFixture fixture;
    fixture.config.slow_start = {8, sec, 10 * sec, 0.1};
    fixture.scheduler->configure(fixture.config);
    fixture.list_endpoints(9 * sec, NodeState::ready, sec);
    fixture.receive(9 * sec, 1, 1, 0, 8);
    fixture.scheduler->settle(9 * sec);
    CHECK(fixture.actions.count("start") == 1);
}

TEST_CASE("per window, a node in slow start gets the share of its units plus half of the margin") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0, NodeState::ready, 5 * sec);
    for (std::uint64_t i = 1; i < 40; ++i) {
        fixture.receive(5 * sec, i, 1, 0, 4);
        fixture.scheduler->settle(5 * sec);
        fixture.complete(5 * sec, i, AttemptOutcome::answered, ms);
    }
    // 32 units and a margin of 2 * (4 + 1), divided by two schedulers: 21 units, in attempts of 4.
    CHECK(fixture.actions.count("start") == 5);
}

// The settings of the node in the test below, and the load on it.
constexpr double node_units = 72;
constexpr double mean_units = 2;
constexpr double initial_capacity = 0.24;
constexpr Time window = 2 * sec;
constexpr Time slow_start_duration = 18 * sec;
// After the time in which schedulers send nothing because they just started.
constexpr Time node_started_at = 3 * sec;
constexpr Time end_time = 18 * sec;
constexpr Time time_step = 20 * ms;

struct SentRequest {
    Time at;
    /// Its size in requests of mean size.
    double mean_requests;
};

/// A number of schedulers that share one node in slow start, and the requests that they send to it.
class SchedulerGroup {
public:
    SchedulerGroup(std::uint32_t count, std::uint32_t seed)
        : schedulers_(count), lines_read_(count), random_(seed) {
        for (std::uint32_t i = 0; i < count; ++i) {
            SchedulerFixture &fixture = schedulers_[i];
            fixture.config.self = SchedulerId{i};
            fixture.config.scheduler_count = count;
            fixture.config.units = {mean_units, 8, 0.3, 0.05};
            fixture.config.slow_start = {node_units, window, slow_start_duration, initial_capacity};
            fixture.scheduler->configure(fixture.config);
            fixture.scheduler->start(0);
            fixture.list_endpoints(0, NodeState::ready, node_started_at);
        }
    }

    std::vector<SentRequest> run() {
        for (Time now = node_started_at; now < end_time; now += time_step) {
            // 200 requests per second, eleven times what the node can serve at first.
            for (int i = 0; i < 4; ++i)
                receive_one(now);
            for (std::size_t i = 0; i < schedulers_.size(); ++i)
                settle(i, now);
        }
        return std::move(sent_);
    }

private:
    // Half of the requests go to the first third of the schedulers, the others to any.
    void receive_one(Time now) {
        std::size_t count = schedulers_.size();
        bool to_any_scheduler = random_() % 2 != 0;
        std::size_t scheduler = random_() % (to_any_scheduler ? count : count / 3 + 1);
        double units = 1; // 2.4 in the mean
        if (random_() % 4 == 0)
            units = 4;
        else if (random_() % 8 == 0)
            units = 8;
        units_.push_back(units);
        schedulers_[scheduler].receive(now, units_.size(), 1, 0, units);
    }

    void settle(std::size_t scheduler, Time now) {
        SchedulerFixture &fixture = schedulers_[scheduler];
        fixture.scheduler->settle(now);
        const auto &lines = fixture.actions.lines;
        std::size_t &next = lines_read_[scheduler];
        for (; next < lines.size(); ++next) {
            const std::string prefix = "start ";
            if (!lines[next].starts_with(prefix))
                continue;
            auto request = std::stoull(lines[next].substr(prefix.size()));
            sent_.push_back({now, units_[request - 1] / mean_units});
            fixture.complete(now, request, AttemptOutcome::answered, 15 * ms);
        }
    }

    std::vector<SchedulerFixture> schedulers_;
    std::vector<std::size_t> lines_read_;
    std::ranlux24_base random_;
    // The units of each request; its index is the request's id minus one.
    std::vector<double> units_;
    std::vector<SentRequest> sent_;
};

/// @param first index of the request that begins the window.
/// @return by how many requests of mean size the sum of the window exceeds N + 2 sqrt(N) + 2: the
///     largest excess at any time in the window; negative if it stays below the bound.
double excess_in_window(const std::vector<SentRequest> &sent, std::size_t first) {
    double excess = -1e9;
    double sum = 0;
    for (std::size_t i = first; i < sent.size() && sent[i].at <= sent[first].at + window; ++i) {
        sum += sent[i].mean_requests;
        double age = seconds(sent[i].at - node_started_at) / seconds(slow_start_duration);
        double growth = 1 + age * (1 - initial_capacity) / initial_capacity;
        double node_capacity = node_units / mean_units * growth;
        excess = std::max(excess, sum - (node_capacity + 2 * std::sqrt(node_capacity) + 2));
    }
    return excess;
}

void check_sum_of_shares(std::uint32_t scheduler_count, std::uint32_t seed) {
    CAPTURE(scheduler_count);
    CAPTURE(seed);
    std::vector<SentRequest> sent = SchedulerGroup(scheduler_count, seed).run();
    double largest_excess = -1e9;
    double served = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        largest_excess = std::max(largest_excess, excess_in_window(sent, i));
        served += sent[i].mean_requests;
    }
    CHECK(largest_excess <= 0);
    // The limit must not leave the node idle, either.
    double windows = seconds(end_time - node_started_at) / seconds(window);
    CHECK(served > 0.4 * node_units / mean_units * windows);
}

// The shares of three schedulers once added up to twice the node's capacity, and with random
// admission the mean of the sum was as high as the bound.
TEST_CASE("all schedulers together send a node in slow start at most N + 2 sqrt(N) + 2 requests") {
    check_sum_of_shares(3, 1);
    for (std::uint32_t seed = 1; seed <= 3; ++seed)
        check_sum_of_shares(30, seed);
    for (std::uint32_t seed = 1; seed <= 4; ++seed)
        check_sum_of_shares(300, seed);
}

TEST_CASE("an unresponsive node gets no more than a node that just started") {
    SchedulerConfig config;
    config.units = {1, 2, 1, 0};
    config.slow_start = {8, sec, 10 * sec, 0.1};
    SlowStart slow_start;
    slow_start.configure(config);
    NodeSlowStart node;
    slow_start.node_started(node, 0);
    // 8 units plus half of the margin, sqrt(8) + 1: 11 units at the start. After 5 seconds a node
    // that responds can serve 44 units.
    CHECK_FALSE(slow_start.admits(node, 5 * sec, true, 12, 0));
    CHECK(slow_start.admits(node, 5 * sec, true, 11, 0));
    CHECK(slow_start.admits(node, 5 * sec, false, 12, 0));
}

TEST_CASE("a node in slow start gets any request if the settings set no limit") {
    SlowStart slow_start;
    slow_start.configure(SchedulerConfig());
    NodeSlowStart node;
    CHECK(slow_start.admits(node, sec, false, 1000, 1));
}

} // namespace
} // namespace knotvane::scheduling
