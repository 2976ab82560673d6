/// \file
/// A medium that fails: for good, as when the power does, or once, with an error.
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

/// A disk with a cache: what is written is seen at once, and durable at the next sync. After a
/// power failure it holds what was synced, and of the sectors written since any may be there.
struct FailingMedium final : Medium {
    struct PowerFailure : StoreError {
        PowerFailure() : StoreError(Kind::medium, "the power is gone") {}
    };

    std::string visible;
    std::string durable;
    std::vector<std::pair<std::uint64_t, std::string>> unsynced;
    long calls_until_power_failure = -1; // below 0: never
    long calls_until_error = -1; // of one call; the next ones are well again. Below 0: never

    void count_call() {
        if (calls_until_power_failure >= 0 && calls_until_power_failure-- == 0) {
            calls_until_power_failure = 0;
            throw PowerFailure();
        }
        if (calls_until_error >= 0 && calls_until_error-- == 0)
            throw StoreError(StoreError::Kind::medium, "no space left on the medium");
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

    /// What is there when the power is back.
    std::string after_power_failure(std::ranlux24_base &random) const {
        std::string out = durable;
        for (const auto &[offset, bytes] : unsynced)
            for (std::size_t i = 0; i < bytes.size();) {
                auto count = std::min(sector_size - (offset + i) % sector_size, bytes.size() - i);
                if (random() % 2 == 0)
                    replace(out, offset + i, std::string_view(bytes).substr(i, count));
                i += count;
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
