#include "http_gateway/pipelined_input.hpp"

namespace knotvane::http_gateway {
namespace {

// Bytes that arrive within this time of the first ones of a piece are added to it and count as
// received with these. Single bytes, each kept apart, would take forty times their size.
constexpr Time max_piece_duration = 5 * ms;

} // namespace

void PipelinedInput::append(Time now, std::string_view bytes) {
    size_ += bytes.size();
    if (!pieces_.empty() && now - pieces_.back().received_at < max_piece_duration)
        pieces_.back().bytes += bytes;
    else
        pieces_.push_back({now, std::string(bytes)});
}

void PipelinedInput::prepend(Time received_at, std::string_view bytes) {
    if (bytes.empty())
        return;
    size_ += bytes.size();
    pieces_.push_front({received_at, std::string(bytes)});
}

PipelinedInput::Piece PipelinedInput::take_first() {
    Piece first = std::move(pieces_.front());
    pieces_.pop_front();
    size_ -= first.bytes.size();
    return first;
}

void PipelinedInput::clear() {
    // Frees the memory, which an assignment would keep.
    std::deque<Piece>().swap(pieces_);
    size_ = 0;
}

} // namespace knotvane::http_gateway
