// What a volume's clients were told is written but not yet durable, shard by shard: which stores a
// flush has to reach, and whether one of them lost it meanwhile.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"

namespace knotvane::edge {

class UnflushedWrites {
public:
    // A write was answered by a store of this life. A life other than that of earlier writes means
    // that those are lost.
    void written(ShardId shard, std::uint64_t incarnation) {
        auto [it, is_new] = open_.try_emplace(shard, Entry{incarnation, 0});
        if (!is_new && it->second.incarnation != incarnation)
            it->second.incarnation = incarnation, ++losses_;
        it->second.last = ++count_;
    }
    // Shards that a flush must reach, and the mark that tells which writes it covers.
    std::vector<ShardId> to_reach() const {
        std::vector<ShardId> out;
        for (auto &[shard, e] : open_)
            out.push_back(shard);
        return out;
    }
    std::uint64_t mark() const { return count_; }
    // A store of this life has made durable what it was sent before the mark was taken.
    void flushed(ShardId shard, std::uint64_t incarnation, std::uint64_t mark) {
        auto it = open_.find(shard);
        if (it == open_.end())
            return;
        if (it->second.incarnation != incarnation) {
            // Guards against a flush that confirms what a restart has taken: the store answers
            // well, but it is not the one that had the writes.
            ++losses_;
            open_.erase(it);
        } else if (it->second.last <= mark) {
            open_.erase(it);
        }
    }
    // How often writes were lost. A connection that has not been told of the last one must hear of
    // it from its next flush.
    std::uint64_t losses() const { return losses_; }

private:
    struct Entry {
        std::uint64_t incarnation, last;
    };
    std::map<ShardId, Entry> open_;
    std::uint64_t count_ = 0, losses_ = 0;
};

} // namespace knotvane::edge
