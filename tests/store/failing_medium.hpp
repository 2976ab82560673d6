/// \file
/// A medium for tests that fails on request: permanently, as in a power failure, or once.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "store/medium.hpp"

namespace knotvane::store {

constexpr std::size_t sector_size = 512;

/// A disk with a write cache: writes are visible at once and durable after the next sync. After a
/// power failure it holds all synced writes, and any subset of the sectors written since.
struct FailingMedium final : Medium {
    struct PowerFailure : StoreError {
        PowerFailure() : StoreError(Kind::medium, "simulated power failure") {}
    };

    std::string visible;
    std::string durable;
    std::vector<std::pair<std::uint64_t, std::string>> unsynced;
    long calls_until_power_failure = -1; // negative: never
    long calls_until_error = -1;         // only one call fails; negative: never

    /// Counts a call, and throws if it is the one to fail.
    void count_call() {
        if (calls_until_power_failure >= 0 && calls_until_power_failure-- == 0) {
            calls_until_power_failure = 0;
            throw PowerFailure();
        }
        if (calls_until_error >= 0 && calls_until_error-- == 0)
            throw StoreError(StoreError::Kind::medium,
                             "simulated error: no space left on the medium");
    }

    void read(std::uint64_t offset, char *to, std::size_t size) override {
        std::fill_n(to, size, '\0');
        if (offset < visible.size())
            visible.copy(to, size, offset);
    }

    void write(std::uint64_t offset, std::string_view bytes) override {
        count_call();
        replace(visible, offset, bytes);
        unsynced.emplace_back(offset, std::string(bytes));
    }

    void sync() override {
        count_call();
        for (const auto &[offset, bytes] : unsynced)
            replace(durable, offset, bytes);
        unsynced.clear();
    }

    /// @return the bytes on the disk after a power failure, with a random subset of unsynced
    /// sectors.
    std::string after_power_failure(std::ranlux24_base &random) const {
        std::string out = durable;
        for (const auto &[offset, bytes] : unsynced)
            for (std::size_t done = 0; done < bytes.size();) {
                auto count =
                    std::min(sector_size - (offset + done) % sector_size, bytes.size() - done);
                if (random() % 2 == 0)
                    replace(out, offset + done, std::string_view(bytes).substr(done, count));
                done += count;
            }
        return out;
    }

private:
    static void replace(std::string &in, std::uint64_t offset, std::string_view bytes) {
        if (in.size() < offset + bytes.size())
            in.resize(offset + bytes.size());
        in.replace(offset, bytes.size(), bytes);
    }
};

} // namespace knotvane::store
