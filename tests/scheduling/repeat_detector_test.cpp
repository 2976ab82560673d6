#include "scheduling/repeat_detector.hpp"

#include <doctest/doctest.h>

#include <cstdint>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

// After an overload all clients send their requests again. If these repeats, which can only earn
// the value of a late answer, were served in order, all first requests behind them would be late as
// well.
TEST_CASE("a repeat of a request past its latency deadline is given up while first requests wait") {
    SchedulerFixture fixture;
    fixture.scheduler->set_workload(WorkloadId{0}, SchedulerFixture::workload(100 * ms));
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.receive(0, 2);
    fixture.receive(0, 3, 1, 77, 2); // waits behind a full window until it is given up
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(101 * ms);
    fixture.receive(102 * ms, 4, 1, 77, 2);
    fixture.receive(102 * ms, 5);
    fixture.scheduler->settle(102 * ms);
    CHECK(fixture.actions.count("reject 4") == 1);
    CHECK(fixture.actions.count("reject 5") == 0);
}

Request request_at(Time now, KeyId key = KeyId{77}) {
    Request request;
    request.key = key;
    request.units = 2;
    request.received_at = now;
    request.latency_deadline = now + 100 * ms;
    return request;
}

// Guards against memory and time that grow with the names that clients make up (issue 48).
TEST_CASE("among any number of unanswered requests the latest ones are still known") {
    RepeatDetector detector;
    constexpr std::uint64_t count = 100'000;
    for (std::uint64_t i = 1; i <= count; ++i) {
        Request request = request_at(static_cast<Time>(i) * us, KeyId{i});
        detector.detect_repeat(request, false);
        detector.record_unanswered(request);
        detector.prune(request.received_at);
    }
    CHECK(detector.size() <= 20'000);
    Request repeat = request_at(200 * ms, KeyId{count});
    detector.detect_repeat(repeat, false);
    CHECK(repeat.first_latency_deadline < repeat.received_at + 100 * ms);
}

TEST_CASE("a repeat of an unanswered request keeps the latency deadline of the first one") {
    RepeatDetector detector;
    Request first = request_at(0);
    detector.detect_repeat(first, false);
    CHECK(first.first_latency_deadline == 100 * ms);
    detector.record_unanswered(first);

    Request early_repeat = request_at(40 * ms);
    detector.detect_repeat(early_repeat, false);
    CHECK_FALSE(early_repeat.repeated);
    CHECK(early_repeat.latency_deadline == 100 * ms);
    detector.record_unanswered(early_repeat);

    Request late_repeat = request_at(100 * ms);
    detector.detect_repeat(late_repeat, false);
    CHECK(late_repeat.repeated);
    CHECK(late_repeat.first_latency_deadline == 100 * ms);
    CHECK(late_repeat.latency_deadline == 200 * ms);
}

TEST_CASE("if clients mark repeats, only a marked request counts as one") {
    for (bool marked : {false, true}) {
        RepeatDetector detector;
        Request first = request_at(0);
        detector.detect_repeat(first, true);
        detector.record_unanswered(first);
        Request second = request_at(200 * ms);
        second.repeated = marked;
        detector.detect_repeat(second, true);
        CHECK(second.first_latency_deadline == (marked ? 100 * ms : 300 * ms));
    }
}

TEST_CASE("requests without a key and requests with other units aren't taken for repeats") {
    RepeatDetector detector;
    Request first = request_at(0, no_key);
    detector.detect_repeat(first, false);
    detector.record_unanswered(first);
    Request without_key = request_at(200 * ms, no_key);
    detector.detect_repeat(without_key, false);
    CHECK_FALSE(without_key.repeated);

    Request keyed = request_at(0);
    detector.detect_repeat(keyed, false);
    detector.record_unanswered(keyed);
    Request larger = request_at(200 * ms);
    larger.units = 3;
    detector.detect_repeat(larger, false);
    CHECK_FALSE(larger.repeated);
}

TEST_CASE("above 4096 unanswered requests, those too old to be repeated are forgotten") {
    RepeatDetector detector;
    for (std::uint64_t key = 1; key <= 4097; ++key) {
        Request request = request_at(0, KeyId{key});
        detector.detect_repeat(request, false);
        detector.record_unanswered(request);
    }
    detector.prune(4 * sec + 100 * ms); // exactly four seconds after the deadline
    Request repeat = request_at(4 * sec + 100 * ms, KeyId{1});
    detector.detect_repeat(repeat, false);
    CHECK(repeat.repeated);
    detector.prune(4 * sec + 100 * ms + 1); // only 4096 are left, so none is pruned
    repeat = request_at(5 * sec, KeyId{2});
    detector.detect_repeat(repeat, false);
    CHECK(repeat.repeated);
    for (std::uint64_t key = 5000; key <= 5001; ++key) {
        Request request = request_at(5 * sec, KeyId{key});
        detector.detect_repeat(request, false);
        detector.record_unanswered(request);
    }
    detector.prune(5 * sec);
    repeat = request_at(5 * sec, KeyId{3});
    detector.detect_repeat(repeat, false);
    CHECK_FALSE(repeat.repeated);
}

} // namespace
} // namespace knotvane::scheduling
