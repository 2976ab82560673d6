/// \file
/// A reference model of a store made of plain arrays, and random changes to the store and the
/// model.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "failing_medium.hpp"
#include "store/store.hpp"

namespace knotvane::store {

/// The expected content by volume: one letter for each sector, since every write consists of a
/// single letter. A copy of a volume is a copy of its array.
using Model = std::map<VolumeId, std::string>;

constexpr std::size_t volume_blocks = 80;
constexpr std::size_t volume_size = volume_blocks * block_size;
constexpr std::size_t volume_sectors = volume_size / sector_size;
constexpr std::uint64_t model_volumes = 6;

/// Returns the model of a store whose volumes were never written.
inline Model empty_model() {
    Model model;
    for (std::uint64_t volume = 1; volume <= model_volumes; ++volume)
        model[VolumeId{volume}] = std::string(volume_sectors, '\0');
    return model;
}

/// Reads a store's content as a model; '?' stands for a sector with several letters.
inline Model model_of(Store &store) {
    Model model;
    for (std::uint64_t volume = 1; volume <= model_volumes; ++volume) {
        std::string bytes;
        auto &sectors = model[VolumeId{volume}];
        if (!store.read(VolumeId{volume}, 0, volume_size, bytes))
            sectors = "damaged";
        for (std::size_t offset = 0; offset < bytes.size(); offset += sector_size) {
            auto sector = std::string_view(bytes).substr(offset, sector_size);
            bool is_uniform = sector.find_first_not_of(sector[0]) == std::string_view::npos;
            sectors += is_uniform ? sector[0] : '?';
        }
    }
    return model;
}

/// Makes random changes to a store, and applies their expected results to a model.
class RandomChanges {
public:
    RandomChanges(Store &store, std::ranlux24_base &random)
        : model(empty_model()), store_(store), random_(random) {}

    /// The expected content of the store.
    Model model;
    /// The model as it is after the present change; a change that is interrupted leaves this state
    /// or the one before it.
    Model model_after;

    /// Makes one random change.
    /// @return whether all changes so far are durable now.
    bool step() {
        volume_ = VolumeId{1 + random_() % model_volumes};
        other_ = VolumeId{1 + random_() % model_volumes};
        first_sector_ = random_() % volume_sectors;
        sector_count_ =
            std::min<std::uint64_t>(1 + random_() % max_sectors, volume_sectors - first_sector_);
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

    std::uint64_t offset() const { return first_sector_ * sector_size; }
    std::uint32_t length() const { return static_cast<std::uint32_t>(sector_count_ * sector_size); }
    char random_letter(char first) {
        return static_cast<char>(first + static_cast<int>(random_() % 26));
    }

    void fill(Model &in, VolumeId volume, char letter) const {
        in[volume].replace(first_sector_, sector_count_, sector_count_, letter);
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

    // Applies a late change to a volume and to its open snapshot.
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
        bool succeeded = is_zero ? store_.zero_both(volume_, *snapshot, offset(), length())
                                 : store_.write_both(volume_, *snapshot, offset(),
                                                     std::string(length(), letter));
        if (succeeded)
            model = model_after;
        return false;
    }

    void predict_copy() {
        model_after = model;
        if (!store_.contains(other_) && volume_ != other_)
            model_after[other_] = model[volume_];
    }

    bool copy() {
        bool is_frozen = random_() % 2 != 0;
        predict_copy();
        auto result =
            is_frozen ? store_.take_snapshot(volume_, other_) : store_.clone(volume_, other_);
        if (result == SnapshotResult::created)
            model[other_] = model[volume_];
        return result == SnapshotResult::created;
    }

    bool open_snapshot() {
        predict_copy();
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
    // Drawn at random for each step.
    VolumeId volume_;
    VolumeId other_;
    std::uint64_t first_sector_ = 0;
    std::uint64_t sector_count_ = 0;
};

} // namespace knotvane::store
