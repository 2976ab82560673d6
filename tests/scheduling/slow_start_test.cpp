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

TEST_CASE("a share that holds the largest request is kept exactly") {
    CHECK(slow_start_admits({8, 8, 16, 8, 0, 1}));
    CHECK_FALSE(slow_start_admits({8, 9, 16, 8, 0, 0}));
}

TEST_CASE("a share below the largest request is met in the mean: by lot, one request a window") {
    CHECK(slow_start_admits({0, 8, 1, 8, 4, 0.25}));
    CHECK_FALSE(slow_start_admits({0, 8, 1, 8, 4, 0.26}));
    CHECK_FALSE(slow_start_admits({1, 1, 1, 8, 4, 0}));
}

// A scheduler that restarts has forgotten what it sent. If it sent its share again at once, the
// node would get twice the share within one window.
TEST_CASE("a scheduler just started sends nothing to a node in slow start") {
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

TEST_CASE("a node in slow start gets the share of its units and of half the margin in a window") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0, NodeState::ready, 5 * sec);
    for (std::uint64_t i = 1; i < 40; ++i) {
        fixture.receive(5 * sec, i, 1, 0, 4);
        fixture.scheduler->settle(5 * sec);
        fixture.complete(5 * sec, i, AttemptOutcome::answered, ms);
    }
    // 32 units and 2 x (4 + 1) over two schedulers: 21 units, in attempts of 4.
    CHECK(fixture.actions.count("start") == 5);
}

// The node of the test below, by the settings, and its load.
constexpr double node_units = 72;
constexpr double mean_units = 2;
constexpr double initial_capacity = 0.24;
constexpr Time window = 2 * sec;
constexpr Time slow_start_duration = 18 * sec;
// Past what a scheduler waits out after its own start.
constexpr Time node_started_at = 3 * sec;
constexpr Time end = 18 * sec;
constexpr Time step = 20 * ms;

struct Sent {
    Time at;
    /// Requests of mean size.
    double requests;
};

/// Some schedulers of one node in slow start, and all that they send to it.
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

    std::vector<Sent> run() {
        for (Time now = node_started_at; now < end; now += step) {
            // Two hundred requests a second, eleven times what the node bears at first.
            for (int i = 0; i < 4; ++i)
                receive_one(now);
            for (std::size_t i = 0; i < schedulers_.size(); ++i)
                settle(i, now);
        }
        return std::move(sent_);
    }

private:
    // Half of the requests come through a third of the schedulers.
    void receive_one(Time now) {
        std::size_t count = schedulers_.size();
        bool through_any = random_() % 2 != 0;
        std::size_t scheduler = random_() % (through_any ? count : count / 3 + 1);
        double units = 1; // 2.3 in the mean
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
    // Of each request, by its id less one.
    std::vector<double> units_;
    std::vector<Sent> sent_;
};

/// How many requests more than N + 2 root N + 2 were sent in the window that begins at `first`, at
/// most at any time in it.
double excess_in_window(const std::vector<Sent> &sent, std::size_t first) {
    double excess = -1e9;
    double sum = 0;
    for (std::size_t i = first; i < sent.size() && sent[i].at <= sent[first].at + window; ++i) {
        sum += sent[i].requests;
        double age = seconds(sent[i].at - node_started_at) / seconds(slow_start_duration);
        double growth = 1 + age * (1 - initial_capacity) / initial_capacity;
        double node_bears = node_units / mean_units * growth;
        excess = std::max(excess, sum - (node_bears + 2 * std::sqrt(node_bears) + 2));
    }
    return excess;
}

void check_sum_of_shares(std::uint32_t schedulers, std::uint32_t seed) {
    CAPTURE(schedulers);
    CAPTURE(seed);
    std::vector<Sent> sent = SchedulerGroup(schedulers, seed).run();
    double largest_excess = -1e9;
    double served = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        largest_excess = std::max(largest_excess, excess_in_window(sent, i));
        served += sent[i].requests;
    }
    CHECK(largest_excess <= 0);
    // And the node isn't left idle.
    double windows = seconds(end - node_started_at) / seconds(window);
    CHECK(served > 0.4 * node_units / mean_units * windows);
}

// The shares of three schedulers added up to twice what the node bears. By lot the sum had its mean
// at the bound.
TEST_CASE("all schedulers together send a node in slow start no more than N + 2 root N + 2") {
    check_sum_of_shares(3, 1);
    for (std::uint32_t seed = 1; seed <= 3; ++seed)
        check_sum_of_shares(30, seed);
    for (std::uint32_t seed = 1; seed <= 4; ++seed)
        check_sum_of_shares(300, seed);
}

TEST_CASE("a node that doesn't answer bears no more than at its start") {
    SchedulerConfig config;
    config.units = {1, 2, 1, 0};
    config.slow_start = {8, sec, 10 * sec, 0.1};
    SlowStart slow_start;
    slow_start.configure(config);
    NodeSlowStart node;
    slow_start.node_started(node, 0);
    // 8 units, and root 8 and 1 of the margin: 11 at the start, twenty and more in half a second.
    CHECK_FALSE(slow_start.admits(node, 5 * sec, true, 12, 0));
    CHECK(slow_start.admits(node, 5 * sec, true, 11, 0));
    CHECK(slow_start.admits(node, 5 * sec, false, 12, 0));
}

TEST_CASE("without a bound in the settings a node in slow start bears any request") {
    SlowStart slow_start;
    slow_start.configure(SchedulerConfig());
    NodeSlowStart node;
    CHECK(slow_start.admits(node, sec, false, 1000, 1));
}

} // namespace
} // namespace knotvane::scheduling
