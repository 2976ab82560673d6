// What a store is after its medium failed: whole changes, right counts, or a refusal by name.
#include <doctest/doctest.h>

#include <cstdlib>

#include "model.hpp"

using namespace knotvane;
using namespace knotvane::store;

namespace {

constexpr std::uint64_t capacity = 2000;

// Makes random changes until the power fails at a random call of the medium.
// @return the models that may be there after it: as it stood after each change since the last one
//     that made all durable, and with the change that was cut short.
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

// @return what is wrong with the store that is opened after a power failure; empty if nothing is.
std::string power_failure_fault(std::uint64_t seed, std::uint64_t &kept_unflushed) {
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
            return name + "what is there is no state since the last flush";
        if (found != possible.begin())
            ++kept_unflushed;
        for (const auto &finding : store.check())
            return name + finding;

        RandomChanges changes(store, random);
        changes.model = model;
        for (int i = 0; i < 20; ++i)
            changes.step();
        if (model_of(store) != changes.model)
            return name + "it does not go on well";
    } catch (const std::exception &error) {
        return name + error.what();
    }
    return {};
}

} // namespace

TEST_SUITE("store recovery") {
    // The power fails in the middle of anything: a write, a flush, a checkpoint. All that was
    // flushed must be there, then a whole number of the changes behind it, and the store must work
    // on. The environment variable KNOTVANE_CUTS asks for more seeds.
    TEST_CASE("the power fails at any call: all that was flushed, then a whole number of changes, "
              "no count wrong") {
        std::uint64_t kept_unflushed = 0;
        const char *asked_seeds = std::getenv("KNOTVANE_CUTS");
        std::uint64_t seeds = asked_seeds ? std::strtoull(asked_seeds, nullptr, 10) : 400;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            auto fault = power_failure_fault(seed, kept_unflushed);
            REQUIRE_MESSAGE(fault.empty(), fault);
        }
        // Unflushed changes are kept at times, so that the check sees more than flushed ones.
        CHECK(kept_unflushed > seeds / 20);
    }

    // One call of the medium fails, as on a full file system. The change that needed it must be
    // done whole or not at all; a flush that failed says so, and nothing is written after it.
    TEST_CASE("an error at any call leaves what was there before, or all of the change, and no "
              "count wrong") {
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
                    fault = "it holds something else";
                for (const auto &finding : store.check())
                    fault = finding;
            } catch (const StoreError &) {
                CHECK_FALSE(store.write(VolumeId{1}, 0, std::string(512, 'x')));
            }
            CHECK_MESSAGE(fault.empty(), "seed ", seed, ": ", fault);
        }
    }

    // The file is damaged where the store keeps its own data. It must say so by name and not serve
    // zeroes; where only the area that does not count is damaged, it must not notice.
    TEST_CASE("a damaged header or tree is refused by name") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        {
            Store store(*medium);
            store.write(VolumeId{1}, 0, std::string(512, 'a'));
        }
        auto good = bytes;
        auto opened_with = [&](const std::string &content) {
            bytes = content;
            try {
                Store store(*medium);
                std::string data;
                return store.read(VolumeId{1}, 0, 1, data) ? "read " + data
                                                           : std::string("damaged");
            } catch (const StoreError &error) {
                CHECK(error.kind() == StoreError::Kind::damage);
                return std::string(error.what());
            }
        };
        constexpr std::size_t second_area = 64 << 10;
        CHECK(opened_with(good) == "read a");
        auto damaged = good;
        damaged[9] ^= 1;
        damaged[second_area + 9] ^= 1;
        CHECK(opened_with(damaged) == "store: the header does not match its checksum");
        damaged = good;
        damaged[4096] ^= 1;
        damaged[second_area + 4096] ^= 1;
        CHECK(opened_with(damaged) == "store: its trees do not match their checksum");
    }
}
