/// \file
/// The requests that the scheduler handles, and their attempts.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "edge/ids.hpp"
#include "edge/node_request.hpp"

namespace knotvane::edge {

/// One attempt to execute a scheduled request at a node.
struct ScheduledAttempt {
    NodeId node;
    Time started_at = 0;
};

/// One part of a client's request, as the scheduler knows it.
struct ScheduledRequest {
    ClientRequestId client_request;
    std::shared_ptr<NodeRequest> node_request;
    /// When the client stops waiting.
    Time deadline = 0;
    /// How long nodes recognize and drop a repeat; 0 if the request isn't deduplicated.
    Time deduplication_window = 0;
    /// The result is no longer awaited; the entry stays until the last attempt has completed.
    bool ended = false;
    /// Indexed by AttemptId.
    std::vector<ScheduledAttempt> attempts{};
    std::size_t attempts_in_flight = 0;
};

/// All scheduled requests that have not ended or have attempts in flight.
class ScheduledRequests {
public:
    RequestId add(ScheduledRequest request) {
        RequestId id{++last_id_};
        request.node_request->request_number = id.value;
        requests_[id] = std::move(request);
        return id;
    }

    /// @throw std::out_of_range if there is no such request.
    ScheduledRequest &at(RequestId id) { return requests_.at(id); }

    /// @return null if there is no such request.
    ScheduledRequest *find(RequestId id) {
        auto it = requests_.find(id);
        return it == requests_.end() ? nullptr : &it->second;
    }

    /// Adds an attempt, which counts as in flight from the scheduler's decision on: even if the
    /// request ends before the attempt is sent, the scheduler must be notified of its outcome.
    /// @throw std::out_of_range if there is no such request.
    AttemptId add_attempt(RequestId id, NodeId node, Time now) {
        auto &request = requests_.at(id);
        AttemptId attempt{static_cast<std::uint32_t>(request.attempts.size())};
        request.attempts.push_back({node, now});
        ++request.attempts_in_flight;
        return attempt;
    }

    /// Removes a request that has ended and has no attempt in flight.
    void erase_if_done(RequestId id) {
        auto it = requests_.find(id);
        if (it != requests_.end() && it->second.ended && it->second.attempts_in_flight == 0)
            requests_.erase(it);
    }

    std::size_t size() const { return requests_.size(); }

private:
    std::uint64_t last_id_ = 0;
    std::map<RequestId, ScheduledRequest> requests_;
};

} // namespace knotvane::edge
