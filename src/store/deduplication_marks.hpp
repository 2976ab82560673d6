/// \file
/// Remembers which deduplicated changes were applied, so that a repeated request is not applied
/// again.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "common/time.hpp"

namespace knotvane::store {

/// Identifies a change by its edge's incarnation and the request's number within that incarnation.
struct DeduplicationMark {
    std::uint64_t incarnation = 0;
    std::uint64_t request_number = 0;

    auto operator<=>(const DeduplicationMark &) const = default;
};

/// The marks of applied changes. Each is kept until its `not_after` time; later repeats of the
/// change are rejected anyway.
class DeduplicationMarks {
public:
    /// Whether the mark is remembered. Forgets expired marks.
    bool contains(const DeduplicationMark &mark, Time now);
    void add(const DeduplicationMark &mark, Time not_after);
    void clear();

    std::size_t size() const { return not_after_.size(); }
    const std::map<DeduplicationMark, Time> &all() const { return not_after_; }
    std::size_t memory_bytes() const { return size() * bytes_per_mark; }

private:
    static constexpr std::size_t bytes_per_mark = 160; // estimate, including the nodes of both maps

    std::map<DeduplicationMark, Time> not_after_;
    std::multimap<Time, DeduplicationMark> by_not_after_;
};

} // namespace knotvane::store
