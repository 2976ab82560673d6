// Quota shares over edges that join, leave, fall silent and come back.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::planner;

TEST_SUITE("quota shares") {
    // A second client of a volume comes by another edge. Given a share before the first edge goes
    // by less, both together would use more than the tenant's limit.
    TEST_CASE("a share shrinks first; another grows once the first edge has acknowledged that") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        CHECK(p.share(1) == 1000000);
        p.hello(ms, 2, {VolumeId{7}});
        CHECK(p.share(2) == 0);
        CHECK(p.core.allocation().bound(VolumeId{7}) == 1000000);
        p.read(1);
        CHECK(p.share(1) == 500000);
        p.renew(2 * ms, 1); // says that it goes by less
        p.renew(3 * ms, 2);
        CHECK(p.share(2) == 500000);
    }
    // An edge loses its planner and goes on serving. The planner may give to others only what that
    // edge no longer uses by its own clock.
    TEST_CASE("a silent edge keeps a quarter past its lease, and nothing past the fade") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        p.hello(0, 2, {VolumeId{7}}); // the first never says that it heard of this
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
    // An edge stood still past its lease; the update that lowered its share lies unread in its
    // socket. A lease renewed now would let it use the old share whole.
    TEST_CASE("a lapsed edge's lease is renewed only once it holds what lowered its share") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        p.renew(0, 1);
        auto before = p.edges[1].renewals.size();
        p.core.settle(1200 * ms); // lapsed; the news of it is sent, and lies unread
        p.deliver(1300 * ms, 1,
                  control::LeaseRenewal{1300 * ms, Term{1}, p.edges[1].replica.version()});
        p.core.settle(1300 * ms);
        p.read(1);
        CHECK(p.edges[1].renewals.size() == before);
        p.renew(1301 * ms, 1);
        CHECK(p.edges[1].renewals.size() == before + 1);
    }
    // Edges hold what they were last delivered, in any order, some of it never; and they fade on
    // their own.
    TEST_CASE(
        "in any order of joins, leaves, updates and lapses no more is held than the whole limit") {
        CHECK(rc::check([] {
            QuotaAllocation allocation;
            std::uint64_t version = 0;
            VolumeId v{1};
            struct Edge {
                std::uint32_t part = 0;
                Version at, least;
                int stage = 0; // 0 held, 1 a piece, 2 none
            };
            std::map<std::uint64_t, Edge> edges;
            std::map<std::uint64_t, std::vector<std::pair<Version, std::uint32_t>>>
                mail; // never lost, any order
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
                case 2: // an edge takes one of its letters; older ones are dropped
                case 3:
                    if (!mail[id].empty()) {
                        auto at = *rc::gen::inRange<std::size_t>(0, mail[id].size());
                        auto [ver, part] = mail[id][at];
                        if (ver > e.at)
                            e.at = ver, e.part = part;
                    }
                    break;
                case 4: // its word comes in, perhaps an old one
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
                    // It has faded out, or comes back with nothing.
                    if (e.stage == 1)
                        allocation.forgotten(edge), mail[id].clear(),
                            e = {0, Version{version}, {}, 0};
                    break;
                }
                ++version;
                allocation.allocate(
                    Version{version},
                    [&](VolumeId, EdgeId to, const control::QuotaShare &part) {
                        mail[to.value].emplace_back(Version{version}, part.millionths);
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
    // The store is lost and made anew. Edges may still use shares that nobody remembers.
    TEST_CASE("a rebuilt store gives out nothing until what the lost one gave must have run out") {
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
