/// \file
/// A buffer of bytes that were received and not yet consumed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace knotvane::nbd {

/// A queue of received bytes that can also drop bytes before they arrive.
class InputBuffer {
public:
    void append(std::string_view bytes) {
        // The payload of a rejected write is dropped as it arrives and never buffered.
        std::uint64_t droppable = unread().empty() ? bytes.size() : 0;
        auto dropped = static_cast<std::size_t>(std::min(bytes_to_drop_, droppable));
        bytes_to_drop_ -= dropped;
        bytes_.append(bytes.substr(dropped));
    }

    /// The bytes not yet consumed; valid until the next append, compact or clear.
    std::string_view unread() const { return std::string_view(bytes_).substr(start_); }

    /// @param count at most the size of unread().
    void consume(std::size_t count) { start_ += count; }

    /// Drops the next `count` bytes, whether they have arrived or not.
    void drop(std::uint64_t count) { bytes_to_drop_ += count; }

    /// Drops received bytes as requested by drop().
    /// @return whether all of them have arrived.
    bool finish_drop() {
        auto count =
            static_cast<std::size_t>(std::min<std::uint64_t>(bytes_to_drop_, unread().size()));
        consume(count);
        bytes_to_drop_ -= count;
        return bytes_to_drop_ == 0;
    }

    /// Frees the space of consumed bytes once they fill more than half of the buffer. Many small
    /// messages thus cost time in proportion to their own size.
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
    std::uint64_t bytes_to_drop_ = 0;
};

} // namespace knotvane::nbd
