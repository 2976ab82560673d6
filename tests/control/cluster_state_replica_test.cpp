// An edge's replica of the cluster state: which updates it applies, and which it ignores.
#include <doctest/doctest.h>

#include "control/cluster_state_replica.hpp"

using namespace knotvane;
using control::Term;
using control::Version;

TEST_SUITE("cluster state replica") {
    // Updates can be lost, truncated or repeated, or come from a planner that the edge no longer
    // follows. An edge that applied part of one would have a state that no planner ever decided on.
    TEST_CASE("an update with a version gap, a wrong entry count, an older term or another planner "
              "instance changes nothing") {
        control::ClusterStateReplica replica;
        auto receive_update = [&](std::uint64_t term, std::uint64_t instance, std::uint64_t version,
                                  std::uint64_t from_version, std::uint64_t entries = 1) {
            replica.begin({Term{term}, instance, 1, Version{version}, Version{from_version}, 0});
            control::Volume volume;
            volume.name = "v" + std::to_string(version);
            volume.size = 512;
            replica.apply(control::VolumeUpdate{VolumeId{version}, volume});
            return replica.end({Version{version}, entries});
        };
        CHECK(receive_update(2, 1, 5, 0) == control::UpdateResult::full_state_applied);
        CHECK(receive_update(2, 1, 7, 6) == control::UpdateResult::version_gap);
        CHECK(receive_update(2, 1, 6, 5, 2) == control::UpdateResult::malformed);
        CHECK(receive_update(2, 1, 5, 0) == control::UpdateResult::outdated);
        CHECK(receive_update(1, 1, 9, 0) == control::UpdateResult::wrong_planner);
        CHECK(receive_update(2, 2, 9, 0) == control::UpdateResult::wrong_planner);
        CHECK(replica.cluster_state().names.size() == 1);
        CHECK(receive_update(2, 1, 6, 5) == control::UpdateResult::changes_applied);
        CHECK(receive_update(3, 9, 8, 6) == control::UpdateResult::changes_applied);
        CHECK(replica.cluster_state().names.size() == 3);
        CHECK(replica.end({Version{8}, 0}) == control::UpdateResult::malformed);
    }
}
