/// \file
/// Tracks, for each shard, the writes of one volume that were answered but are not yet durable:
/// which stores a flush has to reach, and whether one of them has lost writes.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"

namespace knotvane::edge {

/// The unflushed writes of one volume.
class UnflushedWrites {
public:
    /// Records a write that was answered.
    /// @param incarnation of the store that answered; if it differs from that of earlier unflushed
    /// writes, those are lost.
    void write_answered(ShardId shard, std::uint64_t incarnation) {
        auto [it, is_new] = unflushed_.try_emplace(shard, Entry{incarnation, 0});
        auto &entry = it->second;
        if (!is_new && entry.incarnation != incarnation) {
            entry.incarnation = incarnation;
            ++losses_;
        }
        entry.last_write = ++writes_;
    }

    /// The shards with unflushed writes.
    std::vector<ShardId> shards_to_flush() const {
        std::vector<ShardId> shards;
        for (const auto &[shard, entry] : unflushed_)
            shards.push_back(shard);
        return shards;
    }

    /// Marks the writes that a flush beginning now covers.
    std::uint64_t flush_mark() const { return writes_; }

    /// Records that a store has made durable all writes up to the mark.
    /// @param incarnation of that store.
    void flush_answered(ShardId shard, std::uint64_t incarnation, std::uint64_t mark) {
        auto it = unflushed_.find(shard);
        if (it == unflushed_.end())
            return;
        if (it->second.incarnation != incarnation) {
            // Prevents a flush from confirming writes that a restart has lost: the store answers
            // with success, but it is not the incarnation that received them.
            ++losses_;
            unflushed_.erase(it);
        } else if (it->second.last_write <= mark) {
            unflushed_.erase(it);
        }
    }

    /// Number of times that writes were lost. The next flush of each client that has not had the
    /// last loss reported must fail.
    std::uint64_t losses() const { return losses_; }

private:
    struct Entry {
        std::uint64_t incarnation;
        std::uint64_t last_write; // value of writes_ after the shard's last write
    };

    std::map<ShardId, Entry> unflushed_;
    std::uint64_t writes_ = 0;
    std::uint64_t losses_ = 0;
};

} // namespace knotvane::edge
