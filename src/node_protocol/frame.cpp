#include "node_protocol/frame.hpp"

#include <cstring>

#include "node_protocol/crc.hpp"

namespace knotvane::node_protocol {
namespace {

constexpr std::uint32_t magic = 0x314e564b; // "KVN1"

// Byte positions in the header.
constexpr std::size_t at_kind = 4, at_flags = 5, at_status = 6, at_payload = 8, at_crc = 12,
                      at_tag = 16, at_volume = 24, at_offset = 32, at_length = 40, at_units = 44,
                      at_incarnation = 48, at_number = 56, at_not_after = 64, at_shard = 72,
                      at_payload_crc = 76, at_epoch = 80;
static_assert(at_epoch + 4 == header_size);

template <class T>
void set(char *header, std::size_t at, T v) {
    for (std::size_t i = 0; i < sizeof v; ++i)
        header[at + i] = static_cast<char>(static_cast<std::uint64_t>(v) >> (8 * i));
}
template <class T>
T get(std::string_view header, std::size_t at) {
    std::uint64_t v = 0;
    for (std::size_t i = sizeof(T); i-- > 0;)
        v = v << 8 | static_cast<unsigned char>(header[at + i]);
    return static_cast<T>(v);
}
std::uint32_t header_crc(std::string_view header) {
    constexpr std::string_view none("\0\0\0\0", 4);
    return crc32c(header.substr(at_crc + 4, header_size - at_crc - 4),
                  crc32c(none, crc32c(header.substr(0, at_crc))));
}

} // namespace

std::string make(Kind kind, std::uint8_t flags, Status status, std::uint64_t tag, VolumeId volume,
                 std::uint64_t offset, std::uint32_t length, std::uint32_t units,
                 std::uint64_t incarnation, std::uint64_t number, Time not_after, ShardId shard,
                 std::string_view payload, std::uint32_t epoch) {
    std::string out;
    out.reserve(header_size + payload.size());
    out.assign(header_size, '\0');
    char *h = out.data();
    set(h, 0, magic);
    set(h, at_kind, static_cast<std::uint8_t>(kind));
    set(h, at_flags, flags);
    set(h, at_status, static_cast<std::uint16_t>(status));
    set(h, at_payload, static_cast<std::uint32_t>(payload.size()));
    set(h, at_tag, tag);
    set(h, at_volume, volume.value);
    set(h, at_offset, offset);
    set(h, at_length, length);
    set(h, at_units, units);
    set(h, at_incarnation, incarnation);
    set(h, at_number, number);
    set(h, at_not_after, not_after);
    set(h, at_shard, shard.value);
    set(h, at_payload_crc, crc32c(payload));
    set(h, at_epoch, epoch);
    set(h, at_crc, header_crc({h, header_size}));
    out += payload;
    return out;
}

std::string Reader::feed(std::string_view in, Sink &to) {
    in_.append(in);
    std::string fault;
    while (in_.size() - at_ >= header_size) {
        std::string_view h = std::string_view(in_).substr(at_, header_size);
        if (get<std::uint32_t>(h, 0) != magic) {
            fault = "a frame does not begin with its magic";
            break;
        }
        if (get<std::uint32_t>(h, at_crc) != header_crc(h)) {
            fault = "a frame's header does not match its checksum";
            break;
        }
        auto payload = get<std::uint32_t>(h, at_payload);
        auto kind = get<std::uint8_t>(h, at_kind);
        auto status = get<std::uint16_t>(h, at_status);
        if (payload > most_payload || kind < 1 || kind > 9 || status > 8) {
            fault = payload > most_payload
                        ? "a payload of " + std::to_string(payload) + " bytes; at most " +
                              std::to_string(most_payload) + " are taken"
                        : "a frame of kind " + std::to_string(kind) + " and status " +
                              std::to_string(status) + "; kinds are 1 to 9, statuses 0 to 8";
            break;
        }
        if (in_.size() - at_ < header_size + payload)
            break;
        std::string_view body = std::string_view(in_).substr(at_ + header_size, payload);
        if (get<std::uint32_t>(h, at_payload_crc) != crc32c(body)) {
            fault = "a frame's payload does not match its checksum";
            break;
        }
        at_ += header_size + payload;
        if (!to.frame(static_cast<Kind>(kind), get<std::uint8_t>(h, at_flags),
                      static_cast<Status>(status), get<std::uint64_t>(h, at_tag),
                      VolumeId{get<std::uint64_t>(h, at_volume)}, get<std::uint64_t>(h, at_offset),
                      get<std::uint32_t>(h, at_length), get<std::uint32_t>(h, at_units),
                      get<std::uint64_t>(h, at_incarnation), get<std::uint64_t>(h, at_number),
                      get<Time>(h, at_not_after), ShardId{get<std::int32_t>(h, at_shard)}, body,
                      get<std::uint32_t>(h, at_epoch)))
            break;
    }
    if (at_ > in_.size() / 2)
        in_.erase(0, at_), at_ = 0;
    return fault;
}

} // namespace knotvane::node_protocol
