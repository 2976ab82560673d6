/// \file
/// The bytes that wait to be written to a socket.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <uv.h>

namespace knotvane::loop {

/// Bytes that wait to be written, in the pieces in which they were queued.
class SendQueue {
public:
    bool empty() const { return first_ == pieces_.size(); }

    /// Queues bytes; an empty piece is ignored.
    void append(std::string bytes) {
        if (!bytes.empty())
            pieces_.push_back(std::move(bytes));
    }

    /// Sets `buffers` to the first pieces that are queued, as many as there is room for, and
    /// returns the part that was set. It is valid until the queue changes.
    std::span<uv_buf_t> first_buffers(std::span<uv_buf_t> buffers) {
        std::size_t count = 0;
        for (; count < buffers.size() && first_ + count < pieces_.size(); ++count) {
            std::string &piece = pieces_[first_ + count];
            std::size_t skipped = count == 0 ? written_of_first_ : 0;
            buffers[count] =
                uv_buf_init(piece.data() + skipped, static_cast<unsigned>(piece.size() - skipped));
        }
        return buffers.first(count);
    }

    /// Removes the first bytes. There must be that many.
    void remove_prefix(std::size_t bytes) {
        while (bytes > 0) {
            std::size_t left_of_first = pieces_[first_].size() - written_of_first_;
            if (bytes < left_of_first) {
                written_of_first_ += bytes;
                return;
            }
            bytes -= left_of_first;
            written_of_first_ = 0;
            ++first_;
        }
        if (empty())
            clear();
    }

    /// Removes all bytes and returns them in one piece.
    std::string take_all() {
        std::string all;
        for (std::size_t i = first_; i < pieces_.size(); ++i)
            all.append(pieces_[i], i == first_ ? written_of_first_ : 0);
        clear();
        return all;
    }

    void clear() {
        pieces_.clear();
        first_ = 0;
        written_of_first_ = 0;
    }

private:
    std::vector<std::string> pieces_;
    /// The first piece that is not written to its end.
    std::size_t first_ = 0;
    /// How many bytes of that piece are written.
    std::size_t written_of_first_ = 0;
};

} // namespace knotvane::loop
