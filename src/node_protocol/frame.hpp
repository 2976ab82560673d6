/// \file
/// The frames exchanged by an edge and a storage node (docs/node-protocol.md): a little-endian
/// header of fixed size, followed by a payload. Encoding and decoding do no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::node_protocol {

/// The type of a frame. The values are sent on the wire.
enum class FrameKind : std::uint8_t {
    hello = 1,   ///< From the edge: `volume` is the edge's id, `incarnation` that of its process.
    welcome = 2, ///< From the node: `tag` is its id, `offset` its start time, `not_after` its time.
    read = 3,    ///< Read the range.
    write = 4,   ///< Write the payload to the range.
    zero = 5,    ///< Make the range read as zeroes.
    flush = 6,   ///< Make durable all changes that were answered before.
    block_status = 7,   ///< Ask which parts of the range hold data.
    cancel_attempt = 8, ///< Cancel the request with this tag if it is still queued.
    answer = 9,         ///< The node's answer to the request with this tag.
};

/// Whether a request of this kind changes stored data.
constexpr bool is_mutation(FrameKind kind) {
    return kind == FrameKind::write || kind == FrameKind::zero;
}

/// The result of a request. The values are sent on the wire. `rejected`, `expired`, `misdirected`,
/// `stale_epoch` and `no_space` prove that the request was not executed.
enum class Status : std::uint16_t {
    ok = 0,
    error = 1,        ///< Failed; may have been executed in part.
    rejected = 2,     ///< The node's queue is full, or a snapshot has to be sealed first.
    expired = 3,      ///< Its `not_after` time had passed when it was to be executed.
    bad_checksum = 4, ///< A stored block does not match its checksum.
    misdirected = 5,  ///< Meant for another shard.
    canceled = 6,     ///< Canceled while it was queued: not executed.
    stale_epoch = 7,  ///< The change belongs to an epoch that a snapshot has ended; the answer's
                      ///< `epoch` is the one in force.
    no_space = 8,     ///< The store is full.
};

/// The node answers only after the change is durable.
inline constexpr std::uint8_t flag_durable = 1;
/// (incarnation, request number) is a deduplication mark: a repeated change that was already
/// applied is answered and not applied again.
inline constexpr std::uint8_t flag_deduplicated = 2;
/// The volume is a snapshot or a clone: the node answers with an error if it does not have it.
inline constexpr std::uint8_t flag_snapshot = 4;

/// Size of a frame's header in bytes.
inline constexpr std::size_t header_size = 84;
/// Maximum size of a frame's payload in bytes. Edges split requests into much smaller ones; a
/// larger payload is a protocol error.
inline constexpr std::uint32_t max_payload_size = 32U << 20;

/// One frame. Fields that its kind does not use are zero.
struct Frame {
    FrameKind kind = FrameKind::hello;
    std::uint8_t flags = 0;     ///< Bitwise combination of `flag_*`.
    Status status = Status::ok; ///< In an answer.
    std::uint64_t tag = 0;    ///< Identifies the attempt on its connection; repeated in the answer.
    VolumeId volume{};        ///< In a hello, the edge's id.
    std::uint64_t offset = 0; ///< In bytes from the volume's start; in a welcome the node's start
                              ///< time, ns since the Unix epoch.
    std::uint32_t length = 0; ///< Length of the range in bytes.
    std::uint32_t milliunits = 0;     ///< Cost of the request in thousandths of a work unit.
    std::uint64_t incarnation = 0;    ///< In a hello or request the edge's, in an answer or welcome
                                      ///< the store's.
    std::uint64_t request_number = 0; ///< Identifies the request within the edge's incarnation.
    Time not_after = 0; ///< A change is not executed after this time of the node's clock, ns;
                        ///< 0: no limit. In a welcome or answer, the clock's current time.
    ShardId shard{};    ///< The shard for which the request is meant.
    std::string_view payload{}; ///< Not owned. In a decoded frame valid only during `on_frame`.
    std::uint32_t epoch = 0;    ///< In a change, the volume's epoch when its request began; in a
                                ///< `stale_epoch` answer, the one in force.
};

/// Receives decoded frames.
class FrameHandler {
public:
    virtual ~FrameHandler() = default;

    /// Called for each complete frame, in order.
    /// @return false to stop decoding, for example because the connection was closed.
    virtual bool on_frame(const Frame &frame) = 0;
};

/// @return the bytes of the frame, including its checksums.
std::string encode(const Frame &frame);

/// Decodes one connection's byte stream.
class FrameReader {
public:
    /// Decodes the next received bytes, of any number, and passes complete frames to `handler`.
    /// @return empty if the stream is valid so far; otherwise a description of the error. After an
    ///     error nothing more can be decoded.
    std::string feed(std::string_view bytes, FrameHandler &handler);

    /// Number of buffered bytes that are not decoded yet.
    std::size_t buffered_bytes() const { return buffer_.size() - position_; }

private:
    std::string buffer_;
    std::size_t position_ = 0; // of the first byte that is not decoded yet
};

} // namespace knotvane::node_protocol
