#include "scheduling/key_order.hpp"

#include <algorithm>

namespace knotvane::scheduling {

void KeyOrder::enqueue(KeyId key, RequestId request) {
    keys_[key].requests.push_back(request);
}

bool KeyOrder::may_run(KeyId key, RequestId request, Time now) const {
    auto it = keys_.find(key);
    return it == keys_.end() ||
           (it->second.requests.front() == request && now >= it->second.blocked_until);
}

void KeyOrder::block_until(KeyId key, Time until) {
    Key &entry = keys_[key];
    entry.blocked_until = std::max(entry.blocked_until, until);
}

void KeyOrder::remove(KeyId key, RequestId request) {
    std::erase(keys_[key].requests, request);
}

void KeyOrder::prune(Time now) {
    std::erase_if(keys_, [&](const auto &entry) {
        return entry.second.requests.empty() && now >= entry.second.blocked_until;
    });
}

} // namespace knotvane::scheduling
