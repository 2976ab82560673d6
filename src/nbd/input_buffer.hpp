/// \file
/// Bytes that were received and not yet consumed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace knotvane::nbd {

/// A queue of bytes that can also drop bytes which are still to come.
class InputBuffer {
public:
    void append(std::string_view bytes) {
        // A rejected write's payload is dropped as it comes and never gathered.
        std::uint64_t droppable = unread().empty() ? bytes.size() : 0;
        auto dropped = static_cast<std::size_t>(std::min(to_drop_, droppable));
        to_drop_ -= dropped;
        bytes_.append(bytes.substr(dropped));
    }

    /// Valid until the next append of bytes, compact or clear.
    std::string_view unread() const { return std::string_view(bytes_).substr(start_); }

    /// @param count at most the size of unread().
    void consume(std::size_t count) { start_ += count; }

    /// Drops the next `count` bytes, whether they have come or not.
    void drop(std::uint64_t count) { to_drop_ += count; }

    /// @return whether all bytes that were to be dropped have come.
    bool finish_drop() {
        auto count = static_cast<std::size_t>(std::min<std::uint64_t>(to_drop_, unread().size()));
        consume(count);
        to_drop_ -= count;
        return to_drop_ == 0;
    }

    /// Frees the room of consumed bytes once they are most of the buffer, so that many small
    /// messages cost no more than their own bytes.
    void compact() {
        if (start_ <= bytes_.size() / 2)
            return;
        bytes_.erase(0, start_);
        start_ = 0;
    }

    void clear() {
        bytes_.clear();
        start_ = 0;
    }

private:
    std::string bytes_;
    std::size_t start_ = 0;
    std::uint64_t to_drop_ = 0;
};

} // namespace knotvane::nbd
