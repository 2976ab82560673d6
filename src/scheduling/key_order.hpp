/// \file
/// Requests with one key run one at a time, in the order of receipt.
#pragma once

#include <deque>
#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::scheduling {

/// The requests of each key in the order of receipt. A request stays in its place until it has its
/// answer and no attempt in flight.
class KeyOrder {
public:
    void enqueue(KeyId key, RequestId request);

    /// @return whether the request is the first of its key and the key doesn't rest.
    bool may_run(KeyId key, RequestId request, Time now) const;

    /// No request of the key starts before `until`. Guards against a successor that overtakes an
    /// attempt which was given up and may still run at its node.
    void block_until(KeyId key, Time until);

    void remove(KeyId key, RequestId request);

    /// Forgets keys that have no requests and don't rest.
    void prune(Time now);

private:
    struct Key {
        std::deque<RequestId> requests;
        Time blocked_until = 0;
    };

    std::map<KeyId, Key> keys_;
};

} // namespace knotvane::scheduling
