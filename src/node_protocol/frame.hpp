/// \file
/// The frames between an edge and a storage node (docs/node-protocol.md): a fixed header,
/// little-endian, then a payload. Encoding and decoding do no I/O: bytes in, one call for each
/// whole frame out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::node_protocol {

/// What a frame asks for or tells. The values are those on the wire.
enum class FrameKind : std::uint8_t {
    hello = 1, ///< From the edge: `volume` holds the edge's id, `incarnation` that of its process.
    welcome = 2, ///< From the node: `tag` its id, `offset` its start time, `not_after` its clock.
    read = 3,    ///< Read the range.
    write = 4,   ///< Write the payload to the range.
    zero = 5,    ///< The range reads as zeroes afterwards.
    flush = 6,   ///< Make durable all that was answered before.
    block_status = 7,   ///< Ask which parts of the range hold data.
    cancel_attempt = 8, ///< Do not start the request with this tag.
    answer = 9,         ///< The node's answer to the request with this tag.
};

/// Whether a request of this kind changes what is stored.
constexpr bool is_mutation(FrameKind kind) {
    return kind == FrameKind::write || kind == FrameKind::zero;
}

/// How a request ended. The values are those on the wire. `rejected`, `expired`, `misdirected`,
/// `stale_epoch` and `no_space` prove that the request was not executed.
enum class Status : std::uint16_t {
    ok = 0,
    error = 1,        ///< Failed; it may have been executed in part.
    rejected = 2,     ///< The node's queue is full, or it waits for a snapshot to be sealed.
    expired = 3,      ///< Came to its turn after its `not_after` time.
    bad_checksum = 4, ///< A stored block does not match its checksum.
    misdirected = 5,  ///< Meant for another shard.
    canceled = 6,     ///< Canceled while it was queued: not executed.
    stale_epoch = 7,  ///< A change of an epoch that a snapshot has ended; the answer's `epoch` is
                      ///< the one in force.
    no_space = 8,     ///< The store is full.
};

/// The answer comes only after the write is durable.
inline constexpr std::uint8_t flag_durable = 1;
/// (incarnation, request number) is a deduplication mark: a repeat of a change that was done is not
/// done again.
inline constexpr std::uint8_t flag_deduplicated = 2;
/// The volume is a snapshot or a clone: an error where the node does not have it.
inline constexpr std::uint8_t flag_snapshot = 4;

/// Size of a frame's header, bytes.
inline constexpr std::size_t header_size = 84;
/// The largest payload of a frame, bytes. Edges split requests well below it; a larger one is a
/// protocol error.
inline constexpr std::uint32_t max_payload_size = 32U << 20;

/// One frame. What a kind does not use stays zero.
struct Frame {
    FrameKind kind = FrameKind::hello;
    std::uint8_t flags = 0;     ///< `flag_*`, combined.
    Status status = Status::ok; ///< Of an answer.
    std::uint64_t tag = 0;      ///< The attempt on this connection; an answer repeats it.
    VolumeId volume{};          ///< The volume; in a hello the edge's id.
    std::uint64_t offset =
        0; ///< Bytes into the volume; in a welcome the node's start, ns since the epoch.
    std::uint32_t length = 0;     ///< Bytes.
    std::uint32_t milliunits = 0; ///< Cost of the request, thousandths of a work unit.
    std::uint64_t incarnation =
        0; ///< Of the edge in a request, of the store in an answer or a welcome.
    std::uint64_t request_number = 0; ///< Identifies the request within the edge's incarnation.
    Time not_after = 0; ///< Node's clock, ns: not executed later than this; 0: no limit. In a
                        ///< welcome and an answer: that clock now.
    ShardId shard{};    ///< The shard that the request is meant for.
    std::string_view payload{}; ///< Of a decoded frame valid only during the call.
    std::uint32_t epoch = 0;    ///< Of a change: the volume's when its request began. Of a
                                ///< `stale_epoch` answer: the one in force.
};

/// Receives decoded frames.
class FrameHandler {
public:
    virtual ~FrameHandler() = default;

    /// Called for each whole frame, in order.
    /// @return false to stop decoding, for example because the connection was closed.
    virtual bool on_frame(const Frame &frame) = 0;
};

/// @return the frame's bytes, checksums included.
std::string encode(const Frame &frame);

/// Decodes one connection's byte stream.
class FrameReader {
public:
    /// Takes the next received bytes, in any pieces, and passes whole frames to `handler`.
    /// @return empty if the stream is sound so far; else what is wrong with it, and nothing more
    /// can be decoded.
    std::string feed(std::string_view bytes, FrameHandler &handler);

    /// Bytes of a frame that is not complete yet.
    std::size_t buffered_bytes() const { return buffer_.size() - position_; }

private:
    std::string buffer_;
    std::size_t position_ = 0; // of the first byte that is not decoded
};

} // namespace knotvane::node_protocol
