#include "scheduling/endpoint_list_poll.hpp"

#include <algorithm>

namespace knotvane::scheduling {
namespace {

constexpr Time min_retry_delay = 500 * ms;
constexpr Time retry_jitter_step = ms;
constexpr std::uint32_t retry_jitter_steps = 1000;

} // namespace

void EndpointListPoll::request_failed(Time now, RandomGenerator &random) {
    retry_at_ = now + min_retry_delay +
                static_cast<Time>(random() % retry_jitter_steps) * retry_jitter_step;
}

bool EndpointListPoll::request_due(Time now) const {
    return config_.on_request && (now >= retry_at_ || now - updated_at_ > config_.max_age);
}

Time EndpointListPoll::next_check() const {
    Time expires_at = config_.on_request ? updated_at_ + config_.max_age + ms : never;
    return std::min(retry_at_, expires_at);
}

} // namespace knotvane::scheduling
