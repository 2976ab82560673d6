/// \file
/// What a store should hold, by plain arrays, and random changes to both.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "failing_medium.hpp"
#include "store/store.hpp"

namespace knotvane::store {

/// Volumes as arrays of sectors, a letter each, since every write is of one letter; a copy of a
/// volume is a copy of its array.
using Model = std::map<VolumeId, std::string>;

constexpr std::size_t volume_blocks = 80;
constexpr std::size_t volume_size = volume_blocks * block_size;
constexpr std::size_t volume_sectors = volume_size / sector_size;
constexpr std::uint64_t model_volumes = 6;

/// A model of volumes that were never written.
inline Model empty_model() {
    Model model;
    for (std::uint64_t volume = 1; volume <= model_volumes; ++volume)
        model[VolumeId{volume}] = std::string(volume_sectors, '\0');
    return model;
}

/// What a store holds, as a model; '?' for a sector of more than one letter.
inline Model model_of(Store &store) {
    Model model;
    for (std::uint64_t volume = 1; volume <= model_volumes; ++volume) {
        std::string bytes;
        auto &sectors = model[VolumeId{volume}];
        if (!store.read(VolumeId{volume}, 0, volume_size, bytes))
            sectors = "damaged";
        for (std::size_t at = 0; at < bytes.size(); at += sector_size) {
            auto sector = std::string_view(bytes).substr(at, sector_size);
            bool is_uniform = sector.find_first_not_of(sector[0]) == std::string_view::npos;
            sectors += is_uniform ? sector[0] : '?';
        }
    }
    return model;
}

/// Makes random changes to a store, and to a model what should come of them.
class RandomChanges {
public:
    RandomChanges(Store &store, std::ranlux24_base &random)
        : model(empty_model()), store_(store), random_(random) {}

    Model model;
    /// The model with the change that is being made: what may be there if it is cut short.
    Model model_after;

    /// Makes one change.
    /// @return whether all before it is durable now.
    bool step() {
        volume_ = VolumeId{1 + random_() % model_volumes};
        other_ = VolumeId{1 + random_() % model_volumes};
        first_ = random_() % volume_sectors;
        count_ = std::min<std::uint64_t>(1 + random_() % max_sectors, volume_sectors - first_);
        switch (random_() % 16) {
        case 0:
            return zero();
        case 1:
            return copy();
        case 2:
        case 3:
            return drop();
        case 4:
            return flush();
        case 5:
            return reclaim();
        case 12:
            return open_snapshot();
        case 13:
            return seal();
        case 14:
        case 15:
            return write_both();
        default:
            return write();
        }
    }

private:
    static constexpr std::uint64_t max_sectors = 40;

    std::uint64_t offset() const { return first_ * sector_size; }
    std::uint32_t length() const { return static_cast<std::uint32_t>(count_ * sector_size); }
    char random_letter(char first) {
        return static_cast<char>(first + static_cast<int>(random_() % 26));
    }

    void fill(Model &in, VolumeId volume, char letter) const {
        in[volume].replace(first_, count_, count_, letter);
    }

    bool zero() {
        if (store_.is_frozen(volume_))
            return false;
        model_after = model;
        fill(model_after, volume_, '\0');
        if (store_.zero(volume_, offset(), length()))
            fill(model, volume_, '\0');
        return false;
    }

    bool write() {
        char letter = random_letter('a');
        model_after = model;
        if (!store_.is_frozen(volume_))
            fill(model_after, volume_, letter);
        if (store_.write(volume_, offset(), std::string(length(), letter)))
            fill(model, volume_, letter);
        return false;
    }

    // A late change, into a volume and the open snapshot of it.
    bool write_both() {
        auto snapshot = store_.open_snapshot_of(volume_);
        model_after = model;
        if (!snapshot)
            return false;
        char letter = random_letter('A');
        bool is_zero = random_() % 4 == 0;
        if (is_zero)
            letter = '\0';
        for (VolumeId id : {volume_, *snapshot})
            if (!store_.is_frozen(volume_))
                fill(model_after, id, letter);
        bool is_done = is_zero ? store_.zero_both(volume_, *snapshot, offset(), length())
                               : store_.write_both(volume_, *snapshot, offset(),
                                                   std::string(length(), letter));
        if (is_done)
            model = model_after;
        return false;
    }

    void expect_copy() {
        model_after = model;
        if (!store_.contains(other_) && volume_ != other_)
            model_after[other_] = model[volume_];
    }

    bool copy() {
        bool is_frozen = random_() % 2 != 0;
        expect_copy();
        auto result =
            is_frozen ? store_.take_snapshot(volume_, other_) : store_.clone(volume_, other_);
        if (result == SnapshotResult::created)
            model[other_] = model[volume_];
        return result == SnapshotResult::created;
    }

    bool open_snapshot() {
        expect_copy();
        auto result = store_.open_snapshot(volume_, other_, store_.epoch(volume_) + 1);
        if (result == SnapshotResult::created)
            model[other_] = model[volume_];
        return false;
    }

    bool seal() {
        model_after = model;
        return store_.seal_snapshot(volume_);
    }

    bool drop() {
        model_after = model;
        model_after[volume_].assign(volume_sectors, '\0');
        if (!store_.drop(volume_))
            return false;
        model[volume_].assign(volume_sectors, '\0');
        return true;
    }

    bool flush() {
        model_after = model;
        store_.flush();
        return true;
    }

    bool reclaim() {
        model_after = model;
        store_.reclaim(1 + random_() % 4);
        return false;
    }

    Store &store_;
    std::ranlux24_base &random_;
    // Drawn for each step.
    VolumeId volume_;
    VolumeId other_;
    std::uint64_t first_ = 0; // sector
    std::uint64_t count_ = 0; // of sectors
};

} // namespace knotvane::store
