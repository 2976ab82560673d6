// An edge's side of a cut: when changes are held back, in which epoch they begin, what is told.
#include <doctest/doctest.h>

#include "edge/snapshot_participant.hpp"

using namespace knotvane;
using namespace knotvane::edge;
using Lines = std::vector<std::string>;

namespace {
struct Telling {
    Lines told;
    SnapshotParticipant participant{[this](VolumeId as, control::SnapshotStep step) {
        static constexpr const char *names[] = {"ready", "moved", "drained", "lapsed"};
        told.push_back(std::string(names[static_cast<int>(step)]) + " " + std::to_string(as.value));
    }};
    Lines take() { return std::exchange(told, {}); }
};
constexpr VolumeId v{7}, a{90}, b{91};
} // namespace

TEST_SUITE("an edge's side of a cut") {
    TEST_CASE(
        "held, let go in the new epoch; drained once all of the old one are over, not before") {
        Telling t;
        CHECK(t.participant.change_started(v) == 0);
        CHECK(t.participant.change_started(v) == 0);
        t.participant.hold(0, {v, a, 3}, sec);
        CHECK(t.participant.is_holding(v));
        CHECK(t.take() == Lines{"ready 90"});
        t.participant.resume(ms, {v, a, 3});
        CHECK(!t.participant.is_holding(v));
        CHECK(t.participant.take_released() == std::set<VolumeId>{v});
        CHECK(t.take() == Lines{"moved 90"});
        CHECK(t.participant.change_started(v) == 3);
        t.participant.change_ended(v, 0);
        t.participant.change_ended(v, 3);
        CHECK(t.take().empty());
        t.participant.change_ended(v, 0);
        CHECK(t.take() == Lines{"drained 90"});
    }
    TEST_CASE(
        "without changes at work it is drained at once; what is said again is answered again") {
        Telling t;
        t.participant.hold(0, {v, a, 3}, sec), t.participant.resume(ms, {v, a, 3});
        CHECK(t.take() == Lines{"ready 90", "moved 90", "drained 90"});
        t.participant.resume(ms, {v, a, 3});
        CHECK(t.take() == Lines{"moved 90", "drained 90"});
    }
    TEST_CASE("a hold that runs out ends by itself, is told, and no go brings it back") {
        Telling t;
        t.participant.hold(0, {v, a, 3}, 100 * ms);
        t.take();
        CHECK(t.participant.next_due() == 100 * ms);
        t.participant.expire_holds(100 * ms);
        CHECK(t.take() == Lines{"lapsed 90"});
        CHECK(t.participant.change_started(v) == 0);
        t.participant.resume(101 * ms, {v, a, 3});
        CHECK(t.take() == Lines{"lapsed 90"});
        CHECK(t.participant.epoch(v) == 0);
        // Another one may come.
        t.participant.hold(200 * ms, {v, b, 4}, 100 * ms);
        t.participant.resume(201 * ms, {v, b, 4});
        CHECK(t.take() == Lines{"ready 91", "moved 91"});
        t.participant.change_ended(v, 0);
        CHECK(t.take() == Lines{"drained 91"});
    }
    TEST_CASE("a go that comes after the hold's time says so, though nobody has looked at the "
              "clock between") {
        Telling t;
        t.participant.hold(0, {v, a, 3}, 100 * ms);
        t.participant.resume(100 * ms, {v, a, 3});
        CHECK(t.take() == Lines{"ready 90", "lapsed 90"});
        CHECK(!t.participant.is_holding(v));
    }
    TEST_CASE("a go without a hold, as to an edge that was restarted meanwhile, is not followed") {
        Telling t;
        t.participant.resume(0, {v, a, 3});
        CHECK(t.take() == Lines{"lapsed 90"});
        CHECK(t.participant.change_started(v) == 0);
    }
    TEST_CASE("released, or the planner lost: as before, in the old epoch") {
        Telling t;
        t.participant.hold(0, {v, a, 3}, sec);
        t.participant.release(v, a);
        CHECK(!t.participant.is_holding(v));
        t.participant.hold(0, {v, b, 4}, sec);
        t.participant.planner_lost();
        CHECK(!t.participant.is_holding(v));
        CHECK(t.participant.epoch(v) == 0);
        t.take();
        t.participant.resume(ms, {v, b, 4});
        CHECK(t.take() == Lines{"lapsed 91"});
    }
    TEST_CASE("an epoch is learned from facts or a store, never unlearned; learned, a hold for it "
              "is over") {
        Telling t;
        t.participant.learn_epoch(v, 5), t.participant.learn_epoch(v, 4);
        CHECK(t.participant.epoch(v) == 5);
        t.participant.hold(0, {v, a, 6}, sec);
        t.participant.learn_epoch(v, 6);
        CHECK(!t.participant.is_holding(v));
        CHECK(t.participant.change_started(v) == 6);
    }
    TEST_CASE("volumes are held apart") {
        Telling t;
        t.participant.hold(0, {v, a, 3}, sec);
        CHECK(!t.participant.is_holding(VolumeId{8}));
        CHECK(t.participant.change_started(VolumeId{8}) == 0);
    }
}
