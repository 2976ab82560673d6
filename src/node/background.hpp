// When a node may work at what nobody waits for: a bounded part of its time, behind the tasks that
// wait, but never not at all. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>

#include "common/time.hpp"

namespace knotvane::node {

class Background {
public:
    // Whether a piece may begin, given the tasks at work, how many can be, and those that wait.
    bool may(Time now, std::size_t working, std::size_t slots, std::size_t waiting) const {
        return now >= due(working, slots, waiting);
    }
    // When the next piece may begin if nothing changes.
    Time due(std::size_t working, std::size_t slots, std::size_t waiting) const {
        bool crowded = waiting > 0 || working + 1 >= slots;
        return crowded ? std::max(next_, last_ + patience) : next_;
    }
    // One began that takes so long.
    void began(Time now, Time cost) {
        last_ = now;
        next_ = now + std::max<Time>(cost * rest, least);
    }
    // A new process: nothing is known of what was done.
    void restart() { next_ = last_ = 0; }

private:
    // A piece's time is at most a tenth of all: a tenth of one slot is a fortieth of a node of
    // four, under the one percent of service that background work may take when tasks wait.
    static constexpr Time rest = 10;
    // Pieces that cost next to nothing do not wake a node more often than this.
    static constexpr Time least = ms;
    // Behind waiting tasks a piece goes every so often: space must come back on a node that is
    // never idle.
    static constexpr Time patience = 50 * ms;
    Time next_ = 0, last_ = 0;
};

} // namespace knotvane::node
