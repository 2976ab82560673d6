/// \file
/// Writes of one volume that were answered and are not yet durable, shard by shard: which stores a
/// flush has to reach, and whether one of them has lost writes.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"

namespace knotvane::edge {

class UnflushedWrites {
public:
    /// A write was answered.
    /// @param incarnation of the store that answered; one other than that of earlier writes means
    /// that those are lost.
    void write_answered(ShardId shard, std::uint64_t incarnation) {
        auto [it, is_new] = unflushed_.try_emplace(shard, Entry{incarnation, 0});
        auto &entry = it->second;
        if (!is_new && entry.incarnation != incarnation) {
            entry.incarnation = incarnation;
            ++losses_;
        }
        entry.last_write = ++writes_;
    }

    /// Shards that a flush must reach.
    std::vector<ShardId> shards_to_flush() const {
        std::vector<ShardId> shards;
        for (const auto &[shard, entry] : unflushed_)
            shards.push_back(shard);
        return shards;
    }

    /// What a flush that begins now covers.
    std::uint64_t flush_mark() const { return writes_; }

    /// A store has made durable what it was sent before the mark was taken.
    /// @param incarnation of that store.
    void flush_answered(ShardId shard, std::uint64_t incarnation, std::uint64_t mark) {
        auto it = unflushed_.find(shard);
        if (it == unflushed_.end())
            return;
        if (it->second.incarnation != incarnation) {
            // Guards against a flush that confirms writes that a restart has lost: the store
            // answers well, but it is not the incarnation that had them.
            ++losses_;
            unflushed_.erase(it);
        } else if (it->second.last_write <= mark) {
            unflushed_.erase(it);
        }
    }

    /// How often writes were lost. A client that has not been told of the last loss must hear of it
    /// from its next flush.
    std::uint64_t losses() const { return losses_; }

private:
    struct Entry {
        std::uint64_t incarnation;
        std::uint64_t last_write; // its number among all writes
    };

    std::map<ShardId, Entry> unflushed_;
    std::uint64_t writes_ = 0;
    std::uint64_t losses_ = 0;
};

} // namespace knotvane::edge
