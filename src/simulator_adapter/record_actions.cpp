#include "simulator_adapter/record_actions.hpp"

#include <utility>

#include "simulator_adapter/record_writer.hpp"
#include "simulator_adapter/records.hpp"

namespace knotvane::simulator_adapter {

std::string RecordActions::take_records() {
    return std::exchange(records_, {});
}

void RecordActions::start_attempt(RequestId request, NodeId node, Time timeout) {
    RecordWriter(records_, OutputRecord::start_attempt)
        .put(request.value)
        .address(node.value)
        .time(timeout);
}

void RecordActions::cancel_attempt(RequestId request, AttemptId attempt) {
    RecordWriter(records_, OutputRecord::cancel_attempt)
        .put(request.value)
        .put(static_cast<std::uint8_t>(attempt.value));
}

void RecordActions::reject(RequestId request, Time retry_after) {
    RecordWriter(records_, OutputRecord::reject).put(request.value).time(retry_after);
}

void RecordActions::fail(RequestId request) {
    RecordWriter(records_, OutputRecord::fail).put(request.value);
}

void RecordActions::set_timer(TimerId timer, Time delay) {
    RecordWriter(records_, OutputRecord::set_timer).put(timer.value).time(delay);
}

void RecordActions::watch_endpoints() {
    RecordWriter(records_, OutputRecord::watch_endpoints).put(std::uint8_t{1});
}

} // namespace knotvane::simulator_adapter
