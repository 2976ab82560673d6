/// \file
/// Statistics of a gateway's trace.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/events.hpp"

namespace knotvane::http_gateway {

/// Reads the trace that a gateway writes to its log (see TraceLine) and compares the scheduler's
/// view with what happened on the sockets: durations by outcome, how late the scheduler learned of
/// outcomes, and its counts of attempts in flight against the busy connections.
class TraceSummary {
public:
    /// Adds a line of the log; a line that isn't part of the trace is skipped.
    void add_line(std::string_view line);
    /// Returns the statistics as text, one figure on each line.
    std::string report() const;

private:
    /// The attempts with the same outcome; times in microseconds.
    struct Attempts {
        /// From the scheduler's decision to the attempt's end.
        std::vector<std::int64_t> durations;
        /// From the decision until the new connection was established; only of attempts that opened
        /// one.
        std::vector<std::int64_t> connect_times;
        /// From the response's first byte to its end.
        std::vector<std::int64_t> response_times;
        /// The number of attempts for which at least one byte of a response was received.
        std::size_t responses_started = 0;
    };

    void add_attempt(std::string_view fields);
    void add_time(std::string_view fields, const char *name, std::vector<std::int64_t> &times);
    void add_node(std::string_view fields);

    std::map<AttemptOutcome, Attempts> attempts_;
    /// How late events of the loop were handled, in microseconds.
    std::vector<std::int64_t> loop_lateness_;
    /// How long after its end an attempt's outcome was reported to the scheduler, in microseconds.
    std::vector<std::int64_t> outcome_lateness_;
    /// By how much the scheduler's count of attempts in flight at a node exceeded the node's busy
    /// connections, and how often each difference occurred.
    std::map<std::int64_t, std::size_t> count_excess_;
    std::size_t node_samples_ = 0;
    std::size_t unreadable_lines_ = 0;
};

} // namespace knotvane::http_gateway
