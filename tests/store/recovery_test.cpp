// Tests of a store after failures of its medium: changes are atomic, counts are right, and damage
// is reported with what is damaged.
#include <doctest/doctest.h>

#include <cstdlib>

#include "model.hpp"

using namespace knotvane;
using namespace knotvane::store;

namespace {

constexpr std::uint64_t capacity = 2000;

// Makes random changes until the power fails at a random call of the medium.
// @return the possible states of the store afterwards: the model after each change since the last
//     one that made everything durable, and with the interrupted change.
std::vector<Model> change_until_power_failure(FailingMedium &medium, std::ranlux24_base &random) {
    Store store(medium, capacity);
    RandomChanges changes(store, random);
    std::vector<Model> possible = {changes.model};
    medium.calls_until_power_failure = static_cast<long>(random() % 300);
    try {
        for (int i = 0; i < 60; ++i) {
            bool is_durable = changes.step();
            if (medium.calls_until_power_failure == 0)
                throw FailingMedium::PowerFailure();
            if (is_durable)
                possible.clear();
            possible.push_back(changes.model);
        }
    } catch (const StoreError &) {
    }
    possible.push_back(changes.model);
    possible.push_back(changes.model_after);
    medium.calls_until_power_failure = 0;
    return possible;
}

// Opens a store after a simulated power failure and checks its content and counts.
// @param kept_unflushed incremented if changes that were not flushed survived.
// @return a description of the first fault; empty if there is none.
std::string find_power_failure_fault(std::uint64_t seed, std::uint64_t &kept_unflushed) {
    std::ranlux24_base random(static_cast<std::ranlux24_base::result_type>(seed));
    FailingMedium medium;
    auto possible = change_until_power_failure(medium, random);
    auto bytes = medium.after_power_failure(random);
    auto reopened_medium = memory_medium(bytes);
    const std::string name = "seed " + std::to_string(seed) + ": ";
    try {
        Store store(*reopened_medium, capacity);
        auto model = model_of(store);
        auto found = std::find(possible.begin(), possible.end(), model);
        if (found == possible.end())
            return name + "the content is none of the states since the last flush";
        if (found != possible.begin())
            ++kept_unflushed;
        for (const auto &finding : store.check())
            return name + finding;

        RandomChanges changes(store, random);
        changes.model = model;
        for (int i = 0; i < 20; ++i)
            changes.step();
        if (model_of(store) != changes.model)
            return name + "changes after the recovery do not read back as expected";
    } catch (const std::exception &error) {
        return name + error.what();
    }
    return {};
}

} // namespace

TEST_SUITE("store recovery") {
    // The power fails during any operation: a write, a flush, a checkpoint. All flushed changes
    // must be there, followed by a prefix of the later changes, each of them complete, and the
    // store must keep working. The environment variable KNOTVANE_CUTS sets the number of seeds.
    TEST_CASE(
        "after a power failure at any call, all flushed changes and a prefix of the later ones "
        "are there, and all counts are right") {
        std::uint64_t kept_unflushed = 0;
        const char *requested_seeds = std::getenv("KNOTVANE_CUTS");
        std::uint64_t seeds = requested_seeds ? std::strtoull(requested_seeds, nullptr, 10) : 400;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            auto fault = find_power_failure_fault(seed, kept_unflushed);
            REQUIRE_MESSAGE(fault.empty(), fault);
        }
        // Some runs must keep unflushed changes; otherwise only flushed states would be tested.
        CHECK(kept_unflushed > seeds / 20);
    }

    // One call of the medium fails, as on a full file system. The change that made the call must be
    // applied completely or not at all. A failed flush throws, and the store rejects writes after
    // it.
    TEST_CASE("after an error at any call, the change is applied completely or not at all, and all "
              "counts are right") {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::ranlux24_base random(static_cast<std::ranlux24_base::result_type>(seed));
            FailingMedium medium;
            Store store(medium, capacity);
            RandomChanges changes(store, random);
            medium.calls_until_error = static_cast<long>(random() % 200);
            std::string fault;
            try {
                for (int i = 0; i < 50; ++i)
                    changes.step();
                if (model_of(store) != changes.model)
                    fault = "the content differs from the model";
                for (const auto &finding : store.check())
                    fault = finding;
            } catch (const StoreError &) {
                CHECK_FALSE(store.write(VolumeId{1}, 0, std::string(512, 'x')));
            }
            CHECK_MESSAGE(fault.empty(), "seed ", seed, ": ", fault);
        }
    }

    // The headers or trees of both areas are damaged. The store must refuse to open and name the
    // damage; opening as an empty store would serve zeroes. Damage of the inactive area alone must
    // have no effect.
    TEST_CASE("a store with damaged headers or trees does not open; the error names the damage") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        {
            Store store(*medium);
            store.write(VolumeId{1}, 0, std::string(512, 'a'));
        }
        auto intact = bytes;
        auto open_and_read = [&](const std::string &content) {
            bytes = content;
            try {
                Store store(*medium);
                std::string data;
                return store.read(VolumeId{1}, 0, 1, data) ? "read " + data
                                                           : std::string("damaged");
            } catch (const StoreError &error) {
                CHECK(error.kind() == StoreError::Kind::corruption);
                return std::string(error.what());
            }
        };
        constexpr std::size_t second_area = 64 << 10;
        CHECK(open_and_read(intact) == "read a");
        auto damaged = intact;
        damaged[9] ^= 1;
        damaged[second_area + 9] ^= 1;
        CHECK(open_and_read(damaged) == "store: no area header matches its checksum");
        damaged = intact;
        damaged[4096] ^= 1;
        damaged[second_area + 4096] ^= 1;
        CHECK(open_and_read(damaged) ==
              "store: the trees of the active area do not match their checksum");
    }
}
