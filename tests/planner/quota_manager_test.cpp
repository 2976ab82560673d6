// Quota shares of edges that join, leave, fall silent and return.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::planner;

TEST_SUITE("quota shares") {
    // A second client of a volume connects through another edge. If that edge got a share before
    // the first edge has applied its reduced one, both together would exceed the tenant's limit.
    TEST_CASE(
        "a share shrinks first; another grows once the first edge has acknowledged the reduction") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        CHECK(p.share(1) == 1000000);
        p.hello(ms, 2, {VolumeId{7}});
        CHECK(p.share(2) == 0);
        CHECK(p.core.allocation().bound(VolumeId{7}) == 1000000);
        p.read(1);
        CHECK(p.share(1) == 500000);
        p.renew(2 * ms, 1); // acknowledges the reduced share
        p.renew(3 * ms, 2);
        CHECK(p.share(2) == 500000);
    }
    // An edge loses its connection to the planner and continues to serve. The planner may grant to
    // others only what that edge no longer uses by its own clock.
    TEST_CASE("a silent edge keeps a quarter of its share after its lease and nothing after the "
              "fade time") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        p.hello(0, 2, {VolumeId{7}}); // edge 1 never acknowledges this update
        p.renew(0, 2);
        p.renew(1100 * ms, 2);
        CHECK(p.share(2) == 0);
        p.renew(1101 * ms, 2);
        p.renew(1102 * ms, 2);
        CHECK(p.share(2) == 750000);
        for (Time t = 2 * sec; t < 11 * sec; t += sec)
            p.renew(t, 2);
        CHECK(p.share(2) == 750000);
        for (Time t = 11101 * ms; t < 11105 * ms; t += ms)
            p.renew(t, 2);
        CHECK(p.share(2) == 1000000);
    }
    // An edge was stalled beyond its lease, and the update that lowered its share is unread in its
    // socket. If its lease were renewed now, it could use the whole of its old share.
    TEST_CASE("a lapsed edge's lease is renewed only after it has applied the update that lowered "
              "its share") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        p.renew(0, 1);
        auto before = p.edges[1].renewals.size();
        p.core.settle(1200 * ms); // the lease has lapsed; the update is sent but not read
        p.deliver(1300 * ms, 1,
                  control::LeaseRenewal{1300 * ms, Term{1}, p.edges[1].replica.version()});
        p.core.settle(1300 * ms);
        p.read(1);
        CHECK(p.edges[1].renewals.size() == before);
        p.renew(1301 * ms, 1);
        CHECK(p.edges[1].renewals.size() == before + 1);
    }
    // Edges use the newest share delivered to them. Updates arrive in any order or never, and each
    // edge fades by its own clock.
    TEST_CASE("edges never use more than the whole limit in any order of joins, leaves, updates "
              "and lapses") {
        CHECK(rc::check([] {
            QuotaAllocation allocation;
            std::uint64_t version = 0;
            VolumeId v{1};
            struct Edge {
                std::uint32_t part = 0;
                Version at, least;
                int stage = 0; // 0: lease held, 1: lapsed, 2: forgotten
            };
            std::map<std::uint64_t, Edge> edges;
            std::map<std::uint64_t, std::vector<std::pair<Version, std::uint32_t>>>
                updates_in_transit; // delivered in any order, or never
            for (int i = 0, n = *rc::gen::inRange(1, 120); i < n; ++i) {
                auto id = *rc::gen::inRange<std::uint64_t>(0, 4);
                auto &e = edges[id];
                EdgeId edge{id};
                switch (*rc::gen::inRange(0, 7)) {
                case 0:
                    allocation.set_served(v, edge, true);
                    break;
                case 1:
                    allocation.set_served(v, edge, false);
                    break;
                case 2: // an edge receives one of its updates; it ignores older versions
                case 3:
                    if (!updates_in_transit[id].empty()) {
                        auto at = *rc::gen::inRange<std::size_t>(0, updates_in_transit[id].size());
                        auto [ver, part] = updates_in_transit[id][at];
                        if (ver > e.at)
                            e.at = ver, e.part = part;
                    }
                    break;
                case 4: // its acknowledgement and renewal arrive
                    allocation.acknowledged(edge, e.at);
                    if (e.at >= e.least && e.stage < 2)
                        e.stage = 0, allocation.renewed(edge);
                    break;
                case 5:
                    if (e.stage == 0) {
                        e.stage = 1;
                        e.least = Version{version + allocation.lapsed(edge)};
                    }
                    break;
                case 6:
                    // Its fade time has ended, and it returns without any share.
                    if (e.stage == 1)
                        allocation.forgotten(edge), updates_in_transit[id].clear(),
                            e = {0, Version{version}, {}, 0};
                    break;
                }
                ++version;
                allocation.allocate(
                    Version{version},
                    [&](VolumeId, EdgeId to, const control::QuotaShare &part) {
                        updates_in_transit[to.value].emplace_back(Version{version},
                                                                  part.millionths);
                    },
                    [](VolumeId, EdgeId, const QuotaAllocation::Holding *) {});
                std::uint64_t sum = 0;
                for (auto &[_, x] : edges)
                    sum += x.stage == 0 ? x.part : control::usable_millionths(x.part, 1, 1);
                RC_ASSERT(sum <= control::full_limit_millionths);
                RC_ASSERT(allocation.bound(v) <= control::full_limit_millionths);
            }
        }));
    }
    // The store is lost and rebuilt. Edges may still use shares that it has no record of.
    TEST_CASE("a rebuilt planner grants no shares until those granted from the lost store must "
              "have expired") {
        PlannerFixture p(Term{1}, true);
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        CHECK(p.share(1) == 0);
        for (Time t = 0; t <= 2200 * ms; t += 100 * ms)
            p.renew(t, 1);
        CHECK(p.share(1) == 750000);
        for (Time t = 2200 * ms; t <= 13 * sec; t += 100 * ms)
            p.renew(t, 1);
        CHECK(p.share(1) == 1000000);
    }
}
