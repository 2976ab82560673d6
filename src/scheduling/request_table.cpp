#include "scheduling/request_table.hpp"

#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {

Request &RequestTable::add(RequestId id) {
    Request &request = requests_[id];
    request.id = id;
    return request;
}

Request *RequestTable::find(RequestId id) {
    auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

const Request *RequestTable::find(RequestId id) const {
    auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

void RequestTable::set_unanswered(const Request &request) {
    answer_deadlines_.insert({request.answer_deadline, request.id});
}

void RequestTable::clear_unanswered(const Request &request) {
    answer_deadlines_.erase({request.answer_deadline, request.id});
}

std::optional<RequestId> RequestTable::past_answer_deadline(Time now) const {
    if (answer_deadlines_.empty() || answer_deadlines_.begin()->first > now)
        return std::nullopt;
    return answer_deadlines_.begin()->second;
}

Time RequestTable::next_answer_deadline() const {
    return answer_deadlines_.empty() ? never : answer_deadlines_.begin()->first;
}

} // namespace knotvane::scheduling
