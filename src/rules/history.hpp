// Judges a snapshot from what clients saw: which writes began and ended when, and what the snapshot
// holds. It knows nothing of epochs, edges or nodes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::rules {

using WriteNumber = Id<struct WriteKind, std::uint64_t>; // from 1; 0: nothing was written there

class History {
public:
    // A write of whole blocks, from `block` on, was sent.
    WriteNumber write_started(Time at, std::uint64_t block, std::uint32_t blocks, bool durable);
    // Its answer came: well, or with an error, after which it may be there or not.
    void write_ended(WriteNumber write, Time at, bool well);
    // A store lost what was not made durable: writes that were not asked to be, and began before,
    // prove nothing.
    void unflushed_data_lost(Time at);

    // `held`: by block, the write whose bytes the snapshot has there; a block that is left out has
    // nothing. `called`, `returned`: of the take. What does not hold, one line each:
    // - a write answered before the call is in (or one that came over it), and one begun after the
    // return is not;
    // - a write that is in brings with it every write that was answered before it began;
    // - a write that was answered is in or out with all its blocks.
    std::vector<std::string> check_snapshot(Time called, Time returned,
                                            const std::map<std::uint64_t, WriteNumber> &held) const;
    std::size_t writes() const { return writes_.size(); }

private:
    struct Write {
        Time began, ended; // ended: never, where it was not answered well
        std::uint64_t block;
        std::uint32_t blocks;
        bool durable, excused;
    };
    const Write &at(WriteNumber w) const { return writes_[w.value - 1]; }
    bool older(WriteNumber x, const Write &than) const;
    std::vector<Write> writes_;
};

} // namespace knotvane::rules
