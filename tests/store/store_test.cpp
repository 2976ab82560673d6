// The store: arrays, snapshots and clones, power cut anywhere, errors anywhere, marks, what a check
// finds.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::store;

namespace {

// Half a cut day: changes, a cut at some call, and what is there after it. Gives what is wrong.
std::string cut_once(std::uint64_t seed, std::uint64_t &kept_more) {
    std::ranlux24_base chance(static_cast<std::ranlux24_base::result_type>(seed));
    Cutting medium;
    medium.durable = medium.seen;
    std::vector<Model> since; // as it stood after each change since the last that made all durable
    {
        Store s(medium, 2000);
        Driven d(s, chance);
        since = {d.m};
        medium.left = static_cast<long>(chance() % 300);
        try {
            for (int i = 0; i < 60; ++i) {
                bool durable = d.step();
                if (medium.left == 0)
                    throw Cutting::Cut();
                if (durable)
                    since.clear();
                since.push_back(d.m);
            }
        } catch (const std::runtime_error &) {
        }
        // The change that was cut may have come about or not.
        since.push_back(d.m);
        since.push_back(d.maybe);
        medium.left = 0;
    }
    auto bytes = medium.after(chance);
    auto again = memory_medium(bytes);
    try {
        Store s(*again, 2000);
        auto now = held(s, Driven::volumes);
        bool found = false;
        std::size_t at = 0;
        for (; at < since.size() && !found; ++at)
            found = now == since[at];
        kept_more += found && at > 1;
        if (!found)
            return "seed " + std::to_string(seed) +
                   ": what is there is no state since the last flush";
        for (auto &f : s.check())
            return "seed " + std::to_string(seed) + ": " + f;
        // And it goes on well from there.
        Driven d(s, chance);
        d.m = now;
        for (int i = 0; i < 20; ++i)
            d.step();
        if (held(s, Driven::volumes) != d.m)
            return "seed " + std::to_string(seed) + ": it does not go on well";
    } catch (const std::exception &e) {
        return "seed " + std::to_string(seed) + ": " + e.what();
    }
    return {};
}

} // namespace

TEST_SUITE("store") {
    TEST_CASE("any writes, snapshots, clones and drops read back as arrays would hold them, also "
              "opened again") {
        CHECK(rc::check([](std::uint16_t seed) {
            std::ranlux24_base chance(seed);
            std::string bytes;
            auto medium = memory_medium(bytes);
            Store s(*medium, 3000);
            Driven d(s, chance);
            for (int i = 0; i < 80; ++i)
                d.step();
            RC_ASSERT(held(s, Driven::volumes) == d.m);
            RC_ASSERT(s.check().empty());
            Store again(*medium, 3000);
            RC_ASSERT(held(again, Driven::volumes) == d.m);
            while (s.reclaim(8)) {
            }
            RC_ASSERT(s.check().empty());
        }));
    }
    TEST_CASE("the power cut at any call: all that was flushed, then a whole number of changes, no "
              "count wrong") {
        std::uint64_t more = 0;
        auto *days = std::getenv("KNOTVANE_CUTS");
        std::uint64_t n = days ? std::strtoull(days, nullptr, 10) : 400;
        for (std::uint64_t seed = 1; seed <= n; ++seed) {
            auto wrong = cut_once(seed, more);
            REQUIRE_MESSAGE(wrong.empty(), wrong);
        }
        CHECK(more > n / 20); // unflushed changes are kept at times, so the check sees more than
                              // flushed ones
    }
    TEST_CASE("an error at any call leaves what was there before, or all of the change, and no "
              "count wrong") {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::ranlux24_base chance(static_cast<std::ranlux24_base::result_type>(seed));
            Cutting medium;
            Store s(medium, 2000);
            Driven d(s, chance);
            medium.fails = static_cast<long>(chance() % 200);
            std::string wrong;
            try {
                for (int i = 0; i < 50; ++i)
                    d.step();
                if (held(s, Driven::volumes) != d.m)
                    wrong = "it holds something else";
                for (auto &f : s.check())
                    wrong = f;
            } catch (const std::runtime_error &) {
                // A flush that failed says so, and nothing is served after it.
                CHECK_FALSE(s.write(VolumeId{1}, 0, std::string(512, 'x')));
            }
            CHECK_MESSAGE(wrong.empty(), "seed ", seed, ": ", wrong);
        }
    }
    TEST_CASE("a stored bit turned over is found, and only there; a check names it") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        Store s(*medium);
        s.write(VolumeId{1}, 0, std::string(8192, 'x'));
        s.flip_bit(VolumeId{1}, 5000);
        std::string got;
        CHECK(s.read(VolumeId{1}, 0, 4096, got));
        CHECK_FALSE(s.read(VolumeId{1}, 4096, 512, got));
        CHECK_FALSE(s.write(VolumeId{1}, 4096, std::string(512, 'y'))); // the rest would be blessed
        CHECK(s.check() ==
              std::vector<std::string>{"volume 1: block 1 does not match its checksum"});
        CHECK(s.write(VolumeId{1}, 4096, std::string(4096, 'y')));
        CHECK(s.check().empty());
    }
    TEST_CASE("a look over a store changes no byte of it, and sees what is there") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        {
            Store s(*medium);
            s.write(VolumeId{1}, 100, std::string(9000, 'x'));
        }
        auto before = bytes;
        auto over = overlay_medium(*medium);
        Store look(*over);
        std::string got;
        CHECK(look.read(VolumeId{1}, 100, 9000, got));
        CHECK(got == std::string(9000, 'x'));
        CHECK(look.check().empty());
        CHECK(bytes == before);
    }
    TEST_CASE("what was not flushed is lost with its marks, the rest stays, the life is another") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        Store s(*medium);
        s.write(VolumeId{1}, 0, std::string(512, 'a'));
        s.mark_applied({1, 1}, 10 * sec, 0);
        s.flush();
        s.write(VolumeId{1}, 0, std::string(512, 'b'));
        s.write(VolumeId{1}, 1 << 20, std::string(512, 'c'));
        s.mark_applied({1, 2}, 10 * sec, 0);
        auto incarnation = s.incarnation();
        s.discard_unflushed();
        std::string got;
        s.read(VolumeId{1}, 0, 512, got);
        s.read(VolumeId{1}, 1 << 20, 512, got);
        CHECK(got == std::string(512, 'a') + std::string(512, '\0'));
        CHECK(s.was_applied({1, 1}, 0));
        CHECK_FALSE(s.was_applied({1, 2}, 0));
        CHECK(s.incarnation() == incarnation + 1);
    }
    TEST_CASE("the life goes on over a close, and is another where the process just ended") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        std::uint64_t incarnation = 0;
        {
            Store s(*medium);
            s.write(VolumeId{1}, 0, std::string(512, 'a'));
            s.close();
            incarnation = s.incarnation();
        }
        {
            Store s(*medium);
            CHECK(s.incarnation() == incarnation);
            s.write(VolumeId{1}, 0, std::string(512, 'b'));
            s.flush();
        }
        CHECK(Store(*medium).incarnation() == incarnation + 1);
    }
    TEST_CASE("marks outlive the process and are forgotten after their time") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        Store s(*medium);
        s.mark_applied({1, 7}, 5 * sec, 0);
        Store again(*medium);
        CHECK(again.was_applied({1, 7}, 5 * sec));
        CHECK_FALSE(again.was_applied({1, 7}, 5 * sec + 1));
        CHECK(again.mark_count() == 0);
    }
    TEST_CASE("a header or a tree that was changed is refused by name; one area's harm is not the "
              "other's") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        {
            Store s(*medium);
            s.write(VolumeId{1}, 0, std::string(512, 'a'));
        }
        auto good = bytes;
        auto opened = [&](const std::string &other) {
            bytes = other;
            try {
                Store s(*medium);
                std::string got;
                return s.read(VolumeId{1}, 0, 1, got) ? "read " + got : std::string("damaged");
            } catch (const std::exception &e) {
                return std::string(e.what());
            }
        };
        CHECK(opened(good) == "read a");
        auto spoilt = good;
        spoilt[9] ^= 1, spoilt[(64 << 10) + 9] ^= 1;
        CHECK(opened(spoilt) == "store: the header does not match its checksum");
        spoilt = good;
        spoilt[4096] ^= 1, spoilt[(64 << 10) + 4096] ^= 1;
        CHECK(opened(spoilt) == "store: its trees do not match their checksum");
    }
}

TEST_SUITE("snapshots and clones") {
    struct Held {
        std::string bytes;
        std::unique_ptr<Medium> medium = memory_medium(bytes);
        Store s;
        explicit Held(std::uint64_t blocks = 1000) : s(*medium, blocks) {}
        char at(std::uint64_t v, std::uint64_t offset = 0) {
            std::string got;
            return s.read(VolumeId{v}, offset, 1, got) ? got[0] : '!';
        }
        void fill(std::uint64_t v, char c, std::uint64_t blocks = 1, std::uint64_t from = 0) {
            CHECK(s.write(VolumeId{v}, from * block_size, std::string(blocks * block_size, c)));
        }
    };
    TEST_CASE(
        "a resend is harmless, an id that is another's is refused, a snapshot is not written") {
        Held h;
        h.fill(1, 'a');
        CHECK(h.s.take_snapshot(VolumeId{1}, VolumeId{2}) == SnapshotResult::created);
        h.fill(1, 'b');
        CHECK(h.s.take_snapshot(VolumeId{1}, VolumeId{2}) == SnapshotResult::already_exists);
        CHECK(h.at(2) == 'a');
        CHECK(h.s.clone(VolumeId{1}, VolumeId{2}) == SnapshotResult::id_taken);
        CHECK(h.s.take_snapshot(VolumeId{3}, VolumeId{2}) == SnapshotResult::id_taken);
        CHECK(h.s.take_snapshot(VolumeId{1}, VolumeId{1}) == SnapshotResult::id_taken);
        CHECK_FALSE(h.s.write(VolumeId{2}, 0, "x"));
        CHECK_FALSE(h.s.zero(VolumeId{2}, 0, 512));
        CHECK(h.s.clone(VolumeId{2}, VolumeId{4}) ==
              SnapshotResult::created); // a clone of a snapshot
        h.fill(4, 'c');
        CHECK(h.at(2) == 'a');
        CHECK(h.at(4) == 'c');
        CHECK(h.s.drop(VolumeId{2}));
        CHECK_FALSE(h.s.drop(VolumeId{2}));
    }
    TEST_CASE(
        "what is unchanged is shared; space of a dropped snapshot comes back, so much at a time") {
        Held h;
        h.fill(1, 'a', 500);
        CHECK(h.s.take_snapshot(VolumeId{1}, VolumeId{2}) == SnapshotResult::created);
        CHECK(h.s.blocks_used() == 500);
        CHECK(h.s.is_shared(VolumeId{1}, 0));
        h.fill(1, 'b', 100);
        CHECK_FALSE(h.s.is_shared(VolumeId{1}, 0));
        CHECK(h.s.is_shared(VolumeId{1}, 499 * block_size));
        CHECK(h.s.blocks_used() == 600);
        h.s.drop(VolumeId{2});
        CHECK(h.s.blocks_used() == 600);
        int steps = 1;
        while (h.s.reclaim(1))
            ++steps;
        CHECK(steps > 1);
        CHECK(h.s.blocks_used() == 500);
        CHECK(h.s.check().empty());
    }
    TEST_CASE("diff tells the ranges, and does not look into what is shared") {
        Held h;
        h.fill(1, 'a', 200);
        h.s.take_snapshot(VolumeId{1}, VolumeId{2});
        h.fill(1, 'b', 2, 5);
        h.fill(1, 'b', 1, 190);
        h.s.zero(VolumeId{1}, 100 * block_size, block_size);
        h.s.write(VolumeId{1}, 5000 * block_size, std::string(block_size, 'z'));
        std::uint64_t b = block_size;
        CHECK(h.s.diff(VolumeId{2}, VolumeId{1}) ==
              std::vector<std::pair<std::uint64_t, std::uint64_t>>{
                  {5 * b, 2 * b}, {100 * b, b}, {190 * b, b}, {5000 * b, b}});
        CHECK(h.s.diff(VolumeId{2}, VolumeId{2}).empty());
    }
    TEST_CASE("a full store: snapshots are refused first, writes next, nothing is harmed, a drop "
              "makes room") {
        Held h(500);
        h.fill(1, 'a', 300);
        CHECK(h.s.take_snapshot(VolumeId{1}, VolumeId{2}) == SnapshotResult::created);
        h.fill(1, 'b', 160);
        CHECK(h.s.take_snapshot(VolumeId{1}, VolumeId{3}) == SnapshotResult::no_space);
        h.fill(1, 'c', 40, 200);
        CHECK_FALSE(h.s.write(VolumeId{1}, 0, std::string(2 * block_size, 'd')));
        CHECK(h.at(1) == 'b');
        CHECK(h.at(2) == 'a');
        CHECK(h.s.check().empty());
        h.s.drop(VolumeId{2});
        while (h.s.reclaim(100)) {
        }
        h.fill(1, 'd', 2);
        CHECK(h.s.take_snapshot(VolumeId{1}, VolumeId{3}) == SnapshotResult::created);
    }
}
