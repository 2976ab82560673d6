#include "scheduling/endpoint_list_poll.hpp"

#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("an endpoint list that comes on request is requested at the start") {
    SchedulerFixture fixture;
    fixture.config.endpoint_list = {true, 10 * sec};
    fixture.scheduler->configure(fixture.config);
    fixture.scheduler->start(0);
    CHECK(fixture.actions.count("watch") == 1);
}

TEST_CASE("a list that comes on request is requested again when it is too old") {
    EndpointListPoll poll;
    poll.configure({true, 10 * sec});
    poll.reset_age(sec);
    CHECK_FALSE(poll.request_due(11 * sec));
    CHECK(poll.request_due(11 * sec + 1));
    CHECK(poll.next_check() == 11 * sec + ms);
}

TEST_CASE("a list that is pushed is never requested") {
    EndpointListPoll poll;
    poll.configure({false, 10 * sec});
    poll.reset_age(0);
    CHECK_FALSE(poll.request_due(3600 * sec));
    CHECK(poll.next_check() == never);
}

// If all schedulers retried immediately and at the same time after a failed request, the retries
// would overload the source of the list.
TEST_CASE("a failed request is retried after a random delay of 0.5 to 1.5 seconds") {
    RandomGenerator random(1);
    Time first_retry = 0;
    bool differ = false;
    for (int i = 0; i < 20; ++i) {
        EndpointListPoll poll;
        poll.configure({true, 10 * sec});
        poll.reset_age(0);
        poll.request_failed(sec, random);
        CHECK_FALSE(poll.request_due(sec + 499 * ms));
        CHECK(poll.request_due(sec + 1500 * ms));
        if (i == 0)
            first_retry = poll.next_check();
        differ = differ || poll.next_check() != first_retry;
        poll.reset_age(1200 * ms);
        CHECK_FALSE(poll.request_due(3 * sec));
    }
    CHECK(differ);
}

} // namespace
} // namespace knotvane::scheduling
