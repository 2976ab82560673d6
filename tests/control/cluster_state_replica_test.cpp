// An edge's copy of the cluster state: what it takes, and what changes nothing.
#include <doctest/doctest.h>

#include "control/cluster_state_replica.hpp"

using namespace knotvane;
using control::Term;
using control::Version;

TEST_SUITE("an edge's replica") {
    // Updates are lost, cut short, repeated, or come from a planner that is not followed any more.
    // An edge that took one in part would hold a state that no planner ever decided.
    TEST_CASE("a gap, a broken count, an older term and another instance change nothing") {
        control::ClusterStateReplica c;
        auto news = [&](std::uint64_t term, std::uint64_t instance, std::uint64_t version,
                        std::uint64_t from, std::uint64_t count = 1) {
            c.begin({Term{term}, instance, 1, Version{version}, Version{from}, 0});
            control::Volume volume;
            volume.name = "v" + std::to_string(version);
            volume.size = 512;
            c.apply(control::VolumeUpdate{VolumeId{version}, volume});
            return c.end({Version{version}, count});
        };
        CHECK(news(2, 1, 5, 0) == control::UpdateResult::full_state_applied);
        CHECK(news(2, 1, 7, 6) == control::UpdateResult::version_gap);
        CHECK(news(2, 1, 6, 5, 2) == control::UpdateResult::malformed);
        CHECK(news(2, 1, 5, 0) == control::UpdateResult::outdated);
        CHECK(news(1, 1, 9, 0) == control::UpdateResult::wrong_planner);
        CHECK(news(2, 2, 9, 0) == control::UpdateResult::wrong_planner);
        CHECK(c.cluster_state().names.size() == 1);
        CHECK(news(2, 1, 6, 5) == control::UpdateResult::changes_applied);
        CHECK(news(3, 9, 8, 6) == control::UpdateResult::changes_applied);
        CHECK(c.cluster_state().names.size() == 3);
        CHECK(c.end({Version{8}, 0}) == control::UpdateResult::malformed);
    }
}
