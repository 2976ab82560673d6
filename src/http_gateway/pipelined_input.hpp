/// \file
/// The bytes that a client has sent behind a request that isn't answered yet.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "common/time.hpp"

namespace knotvane::http_gateway {

/// Received bytes that wait to be parsed, with the time at which they arrived.
class PipelinedInput {
public:
    /// Bytes that arrived together.
    struct Piece {
        Time received_at;
        std::string bytes;
    };

    bool empty() const { return pieces_.empty(); }
    /// The number of bytes.
    std::size_t size() const { return size_; }

    /// Adds bytes at the end.
    void append(Time now, std::string_view bytes);
    /// Puts bytes back in front; none are ignored.
    void prepend(Time received_at, std::string_view bytes);
    /// Removes the first piece and returns it. There must be one.
    Piece take_first();
    void clear();

private:
    std::deque<Piece> pieces_;
    std::size_t size_ = 0;
};

} // namespace knotvane::http_gateway
