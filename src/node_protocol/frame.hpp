// The frames between an edge and a node (docs/node-protocol.md): a fixed header, little-endian,
// then a payload. Reading them does no I/O: bytes in, a call for each whole frame out.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::node_protocol {

enum class Kind : std::uint8_t {
    hello = 1,   // from the edge: volume holds its id, life its life
    welcome = 2, // from the node: tag its id, life its store's life, offset its start, not_after
                 // its clock
    read = 3,
    write = 4,
    zero = 5,           // the range reads as zeroes after it
    flush = 6,          // all that was answered before it is durable
    status = 7,         // which parts of the range hold data
    cancel_attempt = 8, // of the ask with this tag: not to be started
    answer = 9,
};
// Whether such an ask changes what is stored.
constexpr bool changes(Kind kind) {
    return kind == Kind::write || kind == Kind::zero;
}
// The order is that on the wire.
// `stale`: of an epoch that was cut off; `no_space`: the store is full. Neither was done.
enum class Status : std::uint16_t {
    ok,
    error,
    full,
    too_late,
    bad_checksum,
    misdirected,
    called_off,
    stale,
    no_space
};

inline constexpr std::uint8_t flag_durable = 1; // the answer comes after the write is durable
inline constexpr std::uint8_t flag_numbered =
    2; // (life, number) is a mark: a repeat of it is dropped
inline constexpr std::uint8_t flag_cut =
    4; // the volume is a snapshot or a clone: where it is not there, an error
inline constexpr std::size_t header_size = 84;
// The largest payload of a frame: an edge cuts tasks smaller; past it a peer is not believed.
inline constexpr std::uint32_t most_payload = 32u << 20;

// `epoch`: of a change, the volume's when its request began; of an answer that is stale, the
// volume's at the store. Called for each whole frame; times in whole nanoseconds, units in
// thousandths, `payload` until the call returns. Returns false to stop reading.
class Sink {
public:
    virtual ~Sink() = default;
    virtual bool frame(Kind kind, std::uint8_t flags, Status status, std::uint64_t tag,
                       VolumeId volume, std::uint64_t offset, std::uint32_t length,
                       std::uint32_t units, std::uint64_t incarnation, std::uint64_t number,
                       Time not_after, ShardId shard, std::string_view payload,
                       std::uint32_t epoch) = 0;
};

// Puts one frame together, checksums included.
std::string make(Kind kind, std::uint8_t flags, Status status, std::uint64_t tag, VolumeId volume,
                 std::uint64_t offset, std::uint32_t length, std::uint32_t units,
                 std::uint64_t incarnation, std::uint64_t number, Time not_after, ShardId shard,
                 std::string_view payload, std::uint32_t epoch = 0);

class Reader {
public:
    // Takes what came, in any pieces, and passes whole frames on. An empty answer is good; else
    // what is wrong with the stream, which can't be read any further.
    std::string feed(std::string_view in, Sink &to);
    std::size_t held() const { return in_.size() - at_; }

private:
    std::string in_;
    std::size_t at_ = 0;
};

} // namespace knotvane::node_protocol
