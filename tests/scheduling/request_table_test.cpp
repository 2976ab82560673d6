#include "scheduling/request_table.hpp"

#include <doctest/doctest.h>

#include <cstdint>

#include <vector>

#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("answer deadlines are returned earliest first, whatever the order of the requests") {
    RequestTable requests;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        Request &request = requests.add(RequestId{id});
        request.answer_deadline = static_cast<Time>(10 - id) * ms;
        requests.set_unanswered(request);
    }
    CHECK(requests.next_answer_deadline() == 7 * ms);
    CHECK_FALSE(requests.past_answer_deadline(7 * ms - 1).has_value());
    CHECK(requests.past_answer_deadline(7 * ms) == RequestId{3});
    requests.clear_unanswered(requests.at(RequestId{3}));
    CHECK(requests.past_answer_deadline(9 * ms) == RequestId{2});
    requests.clear_unanswered(requests.at(RequestId{2}));
    requests.clear_unanswered(requests.at(RequestId{1}));
    CHECK(requests.next_answer_deadline() == never);
}

TEST_CASE("a request is found until it is erased, and unplaced requests are sorted by id") {
    RequestTable requests;
    for (std::uint64_t id : {2U, 1U})
        requests.set_unplaced(requests.add(RequestId{id}));
    CHECK(requests.unplaced() == std::vector<RequestId>{RequestId{1}, RequestId{2}});
    requests.clear_unplaced(requests.at(RequestId{1}));
    CHECK(requests.unplaced() == std::vector<RequestId>{RequestId{2}});
    CHECK(requests.any_unplaced());
    requests.erase(RequestId{1});
    CHECK(requests.find(RequestId{1}) == nullptr);
    CHECK(requests.find(RequestId{2})->id == RequestId{2});
}

} // namespace
} // namespace knotvane::scheduling
