/// \file
/// What a gateway's trace shows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/events.hpp"

namespace knotvane::http_gateway {

/// Reads the trace's lines, as TraceLine writes them to the log, and sums up what the scheduler
/// believed against what crossed the sockets.
class TraceSummary {
public:
    /// Reads a line of the log; one without a trace is skipped.
    void add_line(std::string_view line);
    /// Returns the figures, a line each.
    std::string report() const;

private:
    /// Attempts of one outcome; times in microseconds.
    struct Attempts {
        /// From the decision to the end.
        std::vector<std::int64_t> durations;
        /// Until a new connection was up.
        std::vector<std::int64_t> connect_times;
        /// From the response's first byte to its end.
        std::vector<std::int64_t> response_times;
        /// Something came back.
        std::size_t responses_started = 0;
    };

    void add_attempt(std::string_view fields);
    void add_time(std::string_view fields, const char *name, std::vector<std::int64_t> &times);
    void add_node(std::string_view fields);

    std::map<AttemptOutcome, Attempts> attempts_;
    std::vector<std::int64_t> loop_lateness_;
    std::vector<std::int64_t> outcome_lateness_;
    /// How often the scheduler's count of a node's attempts exceeded its busy connections by so
    /// much.
    std::map<std::int64_t, std::size_t> count_excess_;
    std::size_t node_samples_ = 0;
    std::size_t unreadable_lines_ = 0;
};

} // namespace knotvane::http_gateway
