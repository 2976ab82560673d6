// An edge's part in a snapshot: when changes are held back, in which epoch they begin, and which
// steps are reported.
#include <doctest/doctest.h>

#include "edge/snapshot_participant.hpp"

using namespace knotvane;
using namespace knotvane::edge;
using Lines = std::vector<std::string>;

namespace {
struct RecordedSteps {
    Lines reported;
    SnapshotParticipant participant{[this](VolumeId snapshot, control::SnapshotStep step) {
        static constexpr const char *names[] = {"ready", "moved", "drained", "lapsed"};
        reported.push_back(std::string(names[static_cast<int>(step)]) + " " +
                           std::to_string(snapshot.value));
    }};
    Lines take() { return std::exchange(reported, {}); }
};
constexpr VolumeId volume{7}, snapshot_a{90}, snapshot_b{91};
} // namespace

TEST_SUITE("an edge's part in a snapshot") {
    TEST_CASE(
        "after a hold, changes begin in the new epoch; drained is reported once all changes of the "
        "old epoch have ended") {
        RecordedSteps steps;
        CHECK(steps.participant.change_started(volume) == 0);
        CHECK(steps.participant.change_started(volume) == 0);
        steps.participant.hold(0, {volume, snapshot_a, 3}, sec);
        CHECK(steps.participant.is_holding(volume));
        CHECK(steps.take() == Lines{"ready 90"});
        steps.participant.resume(ms, {volume, snapshot_a, 3});
        CHECK(!steps.participant.is_holding(volume));
        CHECK(steps.participant.take_released() == std::set<VolumeId>{volume});
        CHECK(steps.take() == Lines{"moved 90"});
        CHECK(steps.participant.change_started(volume) == 3);
        steps.participant.change_ended(volume, 0);
        steps.participant.change_ended(volume, 3);
        CHECK(steps.take().empty());
        steps.participant.change_ended(volume, 0);
        CHECK(steps.take() == Lines{"drained 90"});
    }
    TEST_CASE("without changes in flight drained is reported at once; a repeated resume is "
              "answered again") {
        RecordedSteps steps;
        steps.participant.hold(0, {volume, snapshot_a, 3}, sec),
            steps.participant.resume(ms, {volume, snapshot_a, 3});
        CHECK(steps.take() == Lines{"ready 90", "moved 90", "drained 90"});
        steps.participant.resume(ms, {volume, snapshot_a, 3});
        CHECK(steps.take() == Lines{"moved 90", "drained 90"});
    }
    // The planner is slow: its resume arrives after the hold has expired and changes have begun in
    // the old epoch. If it were obeyed, the snapshot would not be consistent.
    TEST_CASE("an expired hold is reported, and a later resume does not start the new epoch") {
        RecordedSteps steps;
        steps.participant.hold(0, {volume, snapshot_a, 3}, 100 * ms);
        steps.take();
        CHECK(steps.participant.next_due() == 100 * ms);
        steps.participant.expire_holds(100 * ms);
        CHECK(steps.take() == Lines{"lapsed 90"});
        CHECK(steps.participant.change_started(volume) == 0);
        steps.participant.resume(101 * ms, {volume, snapshot_a, 3});
        CHECK(steps.take() == Lines{"lapsed 90"});
        CHECK(steps.participant.epoch(volume) == 0);
        // Another snapshot is possible.
        steps.participant.hold(200 * ms, {volume, snapshot_b, 4}, 100 * ms);
        steps.participant.resume(201 * ms, {volume, snapshot_b, 4});
        CHECK(steps.take() == Lines{"ready 91", "moved 91"});
        steps.participant.change_ended(volume, 0);
        CHECK(steps.take() == Lines{"drained 91"});
    }
    // The process is suspended past the end of the hold, and reads the resume before it checks for
    // expired holds.
    TEST_CASE(
        "a resume after the end of a hold is answered as expired, even if expire_holds has not "
        "been called") {
        RecordedSteps steps;
        steps.participant.hold(0, {volume, snapshot_a, 3}, 100 * ms);
        steps.participant.resume(100 * ms, {volume, snapshot_a, 3});
        CHECK(steps.take() == Lines{"ready 90", "lapsed 90"});
        CHECK(!steps.participant.is_holding(volume));
    }
    // The edge is restarted between hold and resume. Changes may have begun in between.
    TEST_CASE(
        "a resume without a hold, as after a restart of the edge, does not start the new epoch") {
        RecordedSteps steps;
        steps.participant.resume(0, {volume, snapshot_a, 3});
        CHECK(steps.take() == Lines{"lapsed 90"});
        CHECK(steps.participant.change_started(volume) == 0);
    }
    TEST_CASE("after a release or the loss of the planner, changes begin in the old epoch") {
        RecordedSteps steps;
        steps.participant.hold(0, {volume, snapshot_a, 3}, sec);
        steps.participant.release(volume, snapshot_a);
        CHECK(!steps.participant.is_holding(volume));
        steps.participant.hold(0, {volume, snapshot_b, 4}, sec);
        steps.participant.planner_lost();
        CHECK(!steps.participant.is_holding(volume));
        CHECK(steps.participant.epoch(volume) == 0);
        steps.take();
        steps.participant.resume(ms, {volume, snapshot_b, 4});
        CHECK(steps.take() == Lines{"lapsed 91"});
    }
    TEST_CASE(
        "a learned epoch never decreases, and it ends a hold for the same or an earlier epoch") {
        RecordedSteps steps;
        steps.participant.learn_epoch(volume, 5), steps.participant.learn_epoch(volume, 4);
        CHECK(steps.participant.epoch(volume) == 5);
        steps.participant.hold(0, {volume, snapshot_a, 6}, sec);
        steps.participant.learn_epoch(volume, 6);
        CHECK(!steps.participant.is_holding(volume));
        CHECK(steps.participant.change_started(volume) == 6);
    }
    TEST_CASE("a hold of one volume does not affect another") {
        RecordedSteps steps;
        steps.participant.hold(0, {volume, snapshot_a, 3}, sec);
        CHECK(!steps.participant.is_holding(VolumeId{8}));
        CHECK(steps.participant.change_started(VolumeId{8}) == 0);
    }
}
