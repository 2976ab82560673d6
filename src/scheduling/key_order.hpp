/// \file
/// Ensures that requests with the same key are executed one at a time, in the order of receipt.
#pragma once

#include <deque>
#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::scheduling {

/// The requests of each key in the order of receipt. The owner removes a request once it has ended
/// and none of its attempts is in flight.
class KeyOrder {
public:
    void enqueue(KeyId key, RequestId request);

    /// @return whether the request is the first of its key and the key isn't blocked.
    bool may_run(KeyId key, RequestId request, Time now) const;

    /// Blocks the key: none of its requests may run before `until`. Without this the key's next
    /// request could overtake an abandoned attempt that its node is still executing. A call never
    /// shortens an earlier block.
    void block_until(KeyId key, Time until);

    void remove(KeyId key, RequestId request);

    /// Erases keys that have no requests and aren't blocked.
    void prune(Time now);

private:
    struct Key {
        std::deque<RequestId> requests;
        Time blocked_until = 0;
    };

    std::map<KeyId, Key> keys_;
};

} // namespace knotvane::scheduling
