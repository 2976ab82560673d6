#include "rules/history.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace knotvane::rules {
namespace {
constexpr Time never = std::numeric_limits<Time>::max();
std::string text(WriteNumber w) {
    return w.value == 0 ? "nothing" : "write " + std::to_string(w.value);
}
} // namespace

WriteNumber History::write_started(Time at, std::uint64_t block, std::uint32_t blocks,
                                   bool durable) {
    writes_.push_back({at, never, block, blocks, durable, false});
    return WriteNumber{writes_.size()};
}
void History::write_ended(WriteNumber write, Time at, bool well) {
    auto &w = writes_[write.value - 1];
    if (well)
        w.ended = at;
}
void History::unflushed_data_lost(Time at) {
    for (auto &w : writes_)
        if (!w.durable && w.began <= at)
            w.excused = true;
}
// Whether what is held was over before the write began, so that the write must have come over it.
bool History::older(WriteNumber x, const Write &than) const {
    return x.value == 0 || at(x).ended < than.began;
}

std::vector<std::string>
History::check_snapshot(Time called, Time returned,
                        const std::map<std::uint64_t, WriteNumber> &held) const {
    std::vector<std::string> out;
    auto holds = [&](std::uint64_t block) {
        auto it = held.find(block);
        return it == held.end() ? WriteNumber{0} : it->second;
    };
    std::set<WriteNumber> in;
    for (auto &[block, w] : held)
        if (w.value > 0)
            in.insert(w);
    // All that was answered before this moment has to be in.
    Time before = called;
    for (auto w : in) {
        if (at(w).began > returned)
            out.push_back(text(w) + " is in and began after the snapshot returned");
        before = std::max(before, at(w).began);
    }
    for (std::size_t i = 0; i < writes_.size(); ++i) {
        WriteNumber no{i + 1};
        auto &w = writes_[i];
        if (w.excused || w.ended == never)
            continue;
        bool must = w.ended < before, is_in = in.contains(no);
        if (!must && !is_in)
            continue;
        for (std::uint64_t b = w.block; b < w.block + w.blocks; ++b) {
            if (holds(b) == no || !older(holds(b), w))
                continue;
            out.push_back(text(no) +
                          (is_in ? " is in, but not at block "
                           : w.ended < called
                               ? " was answered before the call, but block "
                               : " was answered before one that is in began, but block ") +
                          std::to_string(b) + " holds " + text(holds(b)));
            break;
        }
    }
    return out;
}

} // namespace knotvane::rules
