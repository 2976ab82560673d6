/// \file
/// The table of a scheduler's requests.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/request.hpp"

namespace knotvane::scheduling {

/// Requests by id. It also tracks which of them have no node yet (unplaced) and which still need an
/// answer (unanswered). A reference to a request stays valid until the request is erased.
class RequestTable {
public:
    /// @return the request with that id, newly created if there was none.
    Request &add(RequestId id);

    /// @return nullptr if there is no request with that id.
    Request *find(RequestId id);
    const Request *find(RequestId id) const;

    /// The request must exist.
    Request &at(RequestId id) { return requests_.at(id); }
    const Request &at(RequestId id) const { return requests_.at(id); }

    void erase(RequestId id) { requests_.erase(id); }

    /// @return all requests, in the order of their ids.
    std::map<RequestId, Request> &all() { return requests_; }

    /// Marks a request that waits for its key, for quota or for a node.
    void set_unplaced(const Request &request) { unplaced_.insert(request.id); }

    /// Removes the mark from a request that has a node or has ended.
    void clear_unplaced(const Request &request) { unplaced_.erase(request.id); }

    bool any_unplaced() const { return !unplaced_.empty(); }

    /// @return the ids of the unplaced requests in ascending order, as a copy.
    std::vector<RequestId> unplaced() const { return {unplaced_.begin(), unplaced_.end()}; }

    /// Marks a request that must be answered by its answer deadline, which must not change until
    /// clear_unanswered.
    void set_unanswered(const Request &request);

    /// Removes the mark from a request that needs no answer any more.
    void clear_unanswered(const Request &request);

    /// @return the unanswered request with the earliest answer deadline, if that deadline is at or
    ///     before `now`.
    std::optional<RequestId> past_answer_deadline(Time now) const;

    /// @return the earliest answer deadline; `never` if no request is unanswered.
    Time next_answer_deadline() const;

private:
    std::map<RequestId, Request> requests_;
    std::set<RequestId> unplaced_;
    std::set<std::pair<Time, RequestId>> answer_deadlines_;
};

} // namespace knotvane::scheduling
