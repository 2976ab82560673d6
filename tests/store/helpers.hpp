// What the store's tests share: a medium that is cut off, and what a store should hold by an array.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "store/store.hpp"

namespace knotvane::store {

// A disk with a cache: what is written is seen at once and durable at a sync. It stops for good at
// a chosen call, and its durable bytes are then those of the last sync with any of the sectors
// written since, in any mix.
struct Cutting final : Medium {
    struct Cut : StoreError {
        Cut() : StoreError(Kind::medium, "the power is gone") {}
    };
    static constexpr std::size_t sector = 512;
    std::string seen, durable;
    std::vector<std::pair<std::uint64_t, std::string>> since;
    long left = -1;  // calls until it stops; below 0: never
    long fails = -1; // calls until one fails with an error and the next ones are well again
    long calls = 0;

    void step() {
        ++calls;
        if (left >= 0 && left-- == 0) {
            left = 0;
            throw Cut();
        }
        if (fails >= 0 && fails-- == 0)
            throw StoreError(StoreError::Kind::medium, "no space left on the medium");
    }
    void read(std::uint64_t at, char *to, std::size_t size) override {
        std::fill_n(to, size, '\0');
        if (at < seen.size())
            seen.copy(to, size, at);
    }
    void write(std::uint64_t at, std::string_view bytes) override {
        step();
        if (seen.size() < at + bytes.size())
            seen.resize(at + bytes.size());
        seen.replace(at, bytes.size(), bytes);
        since.emplace_back(at, std::string(bytes));
    }
    void sync() override {
        step();
        for (auto &[at, bytes] : since) {
            if (durable.size() < at + bytes.size())
                durable.resize(at + bytes.size());
            durable.replace(at, bytes.size(), bytes);
        }
        since.clear();
    }
    // What is there when the power is back.
    std::string after(std::ranlux24_base &chance) const {
        std::string out = durable;
        for (auto &[at, bytes] : since)
            for (std::size_t i = 0; i < bytes.size();) {
                auto n = std::min(sector - (at + i) % sector, bytes.size() - i);
                if (chance() % 2 == 0) {
                    if (out.size() < at + i + n)
                        out.resize(at + i + n);
                    out.replace(at + i, n, bytes, i, n);
                }
                i += n;
            }
        return out;
    }
};

// Volumes as arrays of sectors, a letter each, since what is written is one letter all over; a copy
// is a snapshot.
using Model = std::map<VolumeId, std::string>;
constexpr std::size_t volume_size = 80 * block_size, sectors = volume_size / 512;

inline Model held(Store &s, std::size_t volumes) {
    Model out;
    for (std::uint64_t v = 1; v <= volumes; ++v) {
        std::string got;
        auto &to = out[VolumeId{v}];
        if (!s.read(VolumeId{v}, 0, volume_size, got))
            to = "damaged";
        for (std::size_t at = 0; at < got.size(); at += 512)
            to += std::string_view(got).substr(at, 512).find_first_not_of(got[at]) !=
                          std::string::npos
                      ? '?'
                      : got[at];
    }
    return out;
}

// One random change to both.
struct Driven {
    static constexpr std::uint64_t volumes = 6;
    Store &s;
    Model m, maybe; // maybe: with the change that is being made, should it be cut
    std::ranlux24_base &chance;

    Driven(Store &store, std::ranlux24_base &c) : s(store), chance(c) {
        for (std::uint64_t v = 1; v <= volumes; ++v)
            m[VolumeId{v}] = std::string(sectors, '\0');
    }
    // Gives whether all before it is durable now.
    bool step() {
        VolumeId v{1 + chance() % volumes}, w{1 + chance() % volumes};
        std::uint64_t at = chance() % sectors,
                      n = std::min<std::uint64_t>(1 + chance() % 40, sectors - at);
        switch (chance() % 16) {
        case 0:
            if (s.is_frozen(v))
                return false;
            (maybe = m)[v].replace(at, n, n, '\0');
            if (s.zero(v, at * 512, static_cast<std::uint32_t>(n * 512)))
                m[v].replace(at, n, n, '\0');
            return false;
        case 1: {
            bool freeze = chance() % 2;
            maybe = m;
            if (!s.contains(w) && v != w)
                maybe[w] = m[v];
            auto how = freeze ? s.take_snapshot(v, w) : s.clone(v, w);
            if (how == SnapshotResult::created)
                m[w] = m[v];
            return how == SnapshotResult::created;
        }
        case 2:
        case 3:
            (maybe = m)[v].assign(sectors, '\0');
            if (!s.drop(v))
                return false;
            m[v].assign(sectors, '\0');
            return true;
        case 12: { // a cut in two steps
            maybe = m;
            if (!s.contains(w) && v != w)
                maybe[w] = m[v];
            if (s.open_snapshot(v, w, s.epoch(v) + 1) == SnapshotResult::created)
                m[w] = m[v];
            return false;
        }
        case 13:
            maybe = m;
            return s.seal_snapshot(v);
        case 14:
        case 15: { // what comes late goes into both
            auto as = s.open_snapshot_of(v);
            maybe = m;
            if (!as)
                return false;
            auto letter = static_cast<char>('A' + chance() % 26);
            bool zeroes = chance() % 4 == 0;
            if (zeroes)
                letter = '\0';
            for (auto id : {v, *as})
                if (!s.is_frozen(v))
                    maybe[id].replace(at, n, n, letter);
            bool well = zeroes ? s.zero_both(v, *as, at * 512, static_cast<std::uint32_t>(n * 512))
                               : s.write_both(v, *as, at * 512, std::string(n * 512, letter));
            if (well)
                m = maybe;
            return false;
        }
        case 4:
            maybe = m;
            s.flush();
            return true;
        case 5:
            maybe = m;
            s.reclaim(1 + chance() % 4);
            return false;
        default: {
            auto letter = static_cast<char>('a' + chance() % 26);
            maybe = m;
            if (!s.is_frozen(v))
                maybe[v].replace(at, n, n, letter);
            if (s.write(v, at * 512, std::string(n * 512, letter)))
                m[v].replace(at, n, n, letter);
            return false;
        }
        }
    }
};

} // namespace knotvane::store
