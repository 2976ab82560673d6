/// \file
/// The requests that a scheduler knows.
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

/// Requests by id, with those that have no node yet and those that are owed an answer. A reference
/// to a request holds until it is erased.
class RequestTable {
public:
    /// @return the request of that id, a new one if there is none.
    Request &add(RequestId id);

    /// @return nullptr if there is none.
    Request *find(RequestId id);
    const Request *find(RequestId id) const;

    /// There must be one.
    Request &at(RequestId id) { return requests_.at(id); }
    const Request &at(RequestId id) const { return requests_.at(id); }

    void erase(RequestId id) { requests_.erase(id); }

    /// In the order of their ids.
    std::map<RequestId, Request> &all() { return requests_; }

    /// The request waits for its key, for quota or for a node.
    void set_unplaced(const Request &request) { unplaced_.insert(request.id); }

    /// The request has a node, or has ended.
    void clear_unplaced(const Request &request) { unplaced_.erase(request.id); }

    bool any_unplaced() const { return !unplaced_.empty(); }

    /// @return a copy, in the order of ids.
    std::vector<RequestId> unplaced() const { return {unplaced_.begin(), unplaced_.end()}; }

    /// The request is owed an answer by its deadline.
    void set_unanswered(const Request &request);

    /// It isn't any more.
    void clear_unanswered(const Request &request);

    /// @return a request whose answer deadline has come, the earliest first.
    std::optional<RequestId> past_answer_deadline(Time now) const;

    /// @return the earliest answer deadline; never if no answer is owed.
    Time next_answer_deadline() const;

private:
    std::map<RequestId, Request> requests_;
    std::set<RequestId> unplaced_;
    std::set<std::pair<Time, RequestId>> answer_deadlines_;
};

} // namespace knotvane::scheduling
