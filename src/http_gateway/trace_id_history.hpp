/// \file
/// Remembers the trace ids of requests, so that no request is executed twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "common/time.hpp"

namespace knotvane::http_gateway {

/// The trace ids of requests that are open or have ended. A client that sends one of them again
/// must not have its request executed a second time. An id whose request was sent to a node is
/// remembered for `retention`, however many others follow; one that no node got is among the last
/// `max_unsent_ids` only.
class TraceIdHistory {
public:
    /// Longer than any client waits for an answer or tries again.
    static constexpr Time retention = 60 * sec;
    static constexpr std::size_t max_unsent_ids = 4096;
    /// What the smallest host has memory for: over `retention`, 500 requests per second.
    static constexpr std::size_t max_sent_ids = 32768;

    /// Adds the id of a new request.
    /// @return false if the id is remembered already; it then belongs to the earlier request.
    bool add(std::string_view trace_id);
    /// The request has ended and none of its attempts is in flight.
    /// @param sent whether a node may have got it.
    void request_done(Time now, std::string_view trace_id, bool sent);

    /// The number of ids that are remembered.
    std::size_t size() const { return hashes_.size(); }

private:
    using Hash = std::uint64_t;

    void forget_old(Time now);

    /// Of all ids that are remembered.
    std::unordered_set<Hash> hashes_;
    /// Those of ended requests, oldest first. Open requests have no limit here: connections bound
    /// their number.
    std::deque<Hash> unsent_;
    std::deque<std::pair<Time, Hash>> sent_;
};

} // namespace knotvane::http_gateway
