#include "node_protocol/frame.hpp"

#include "node_protocol/crc.hpp"

namespace knotvane::node_protocol {
namespace {

constexpr std::uint32_t frame_magic = 0x314e564b; // "KVN1"

constexpr std::uint8_t lowest_kind = static_cast<std::uint8_t>(FrameKind::hello);
constexpr std::uint8_t highest_kind = static_cast<std::uint8_t>(FrameKind::answer);
constexpr std::uint16_t highest_status = static_cast<std::uint16_t>(Status::no_space);

// Byte positions in the header.
constexpr std::size_t at_magic = 0;
constexpr std::size_t at_kind = 4;
constexpr std::size_t at_flags = 5;
constexpr std::size_t at_status = 6;
constexpr std::size_t at_payload_size = 8;
constexpr std::size_t at_header_crc = 12;
constexpr std::size_t at_tag = 16;
constexpr std::size_t at_volume = 24;
constexpr std::size_t at_offset = 32;
constexpr std::size_t at_length = 40;
constexpr std::size_t at_milliunits = 44;
constexpr std::size_t at_incarnation = 48;
constexpr std::size_t at_request_number = 56;
constexpr std::size_t at_not_after = 64;
constexpr std::size_t at_shard = 72;
constexpr std::size_t at_payload_crc = 76;
constexpr std::size_t at_epoch = 80;
static_assert(at_epoch + sizeof(std::uint32_t) == header_size);

constexpr unsigned bits_per_byte = 8;

template <class T>
void store_field(char *header, std::size_t at, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
        header[at + i] =
            static_cast<char>(static_cast<std::uint64_t>(value) >> (bits_per_byte * i));
}

template <class T>
T load_field(std::string_view header, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = sizeof(T); i-- > 0;)
        value = value << bits_per_byte | static_cast<unsigned char>(header[at + i]);
    return static_cast<T>(value);
}

// The checksum of a header whose own checksum field counts as zero.
std::uint32_t header_crc(std::string_view header) {
    constexpr std::string_view zeroes("\0\0\0\0", sizeof(std::uint32_t));
    std::uint32_t crc = crc32c(header.substr(0, at_header_crc));
    crc = crc32c(zeroes, crc);
    return crc32c(
        header.substr(at_header_crc + zeroes.size(), header_size - at_header_crc - zeroes.size()),
        crc);
}

// What is wrong with a header; empty if nothing is.
std::string header_fault(std::string_view header) {
    if (load_field<std::uint32_t>(header, at_magic) != frame_magic)
        return "a frame does not begin with its magic";
    if (load_field<std::uint32_t>(header, at_header_crc) != header_crc(header))
        return "a frame's header does not match its checksum";

    auto payload_size = load_field<std::uint32_t>(header, at_payload_size);
    if (payload_size > max_payload_size)
        return "a payload of " + std::to_string(payload_size) + " bytes; at most " +
               std::to_string(max_payload_size) + " are taken";

    auto kind = load_field<std::uint8_t>(header, at_kind);
    auto status = load_field<std::uint16_t>(header, at_status);
    if (kind < lowest_kind || kind > highest_kind || status > highest_status)
        return "a frame of kind " + std::to_string(kind) + " and status " + std::to_string(status) +
               "; kinds are " + std::to_string(lowest_kind) + " to " +
               std::to_string(highest_kind) + ", statuses 0 to " + std::to_string(highest_status);
    return {};
}

Frame decode(std::string_view header, std::string_view payload) {
    Frame frame;
    frame.kind = static_cast<FrameKind>(load_field<std::uint8_t>(header, at_kind));
    frame.flags = load_field<std::uint8_t>(header, at_flags);
    frame.status = static_cast<Status>(load_field<std::uint16_t>(header, at_status));
    frame.tag = load_field<std::uint64_t>(header, at_tag);
    frame.volume = VolumeId{load_field<std::uint64_t>(header, at_volume)};
    frame.offset = load_field<std::uint64_t>(header, at_offset);
    frame.length = load_field<std::uint32_t>(header, at_length);
    frame.milliunits = load_field<std::uint32_t>(header, at_milliunits);
    frame.incarnation = load_field<std::uint64_t>(header, at_incarnation);
    frame.request_number = load_field<std::uint64_t>(header, at_request_number);
    frame.not_after = load_field<Time>(header, at_not_after);
    frame.shard = ShardId{load_field<std::int32_t>(header, at_shard)};
    frame.payload = payload;
    frame.epoch = load_field<std::uint32_t>(header, at_epoch);
    return frame;
}

} // namespace

std::string encode(const Frame &frame) {
    std::string out;
    out.reserve(header_size + frame.payload.size());
    out.assign(header_size, '\0');

    char *header = out.data();
    store_field(header, at_magic, frame_magic);
    store_field(header, at_kind, static_cast<std::uint8_t>(frame.kind));
    store_field(header, at_flags, frame.flags);
    store_field(header, at_status, static_cast<std::uint16_t>(frame.status));
    store_field(header, at_payload_size, static_cast<std::uint32_t>(frame.payload.size()));
    store_field(header, at_tag, frame.tag);
    store_field(header, at_volume, frame.volume.value);
    store_field(header, at_offset, frame.offset);
    store_field(header, at_length, frame.length);
    store_field(header, at_milliunits, frame.milliunits);
    store_field(header, at_incarnation, frame.incarnation);
    store_field(header, at_request_number, frame.request_number);
    store_field(header, at_not_after, frame.not_after);
    store_field(header, at_shard, frame.shard.value);
    store_field(header, at_payload_crc, crc32c(frame.payload));
    store_field(header, at_epoch, frame.epoch);
    store_field(header, at_header_crc, header_crc({header, header_size}));

    out += frame.payload;
    return out;
}

std::string FrameReader::feed(std::string_view bytes, FrameHandler &handler) {
    buffer_.append(bytes);
    std::string fault;
    while (buffered_bytes() >= header_size) {
        std::string_view header = std::string_view(buffer_).substr(position_, header_size);
        fault = header_fault(header);
        if (!fault.empty())
            break;

        auto payload_size = load_field<std::uint32_t>(header, at_payload_size);
        if (buffered_bytes() < header_size + payload_size)
            break;
        std::string_view payload =
            std::string_view(buffer_).substr(position_ + header_size, payload_size);
        if (load_field<std::uint32_t>(header, at_payload_crc) != crc32c(payload)) {
            fault = "a frame's payload does not match its checksum";
            break;
        }

        position_ += header_size + payload_size;
        if (!handler.on_frame(decode(header, payload)))
            break;
    }

    // Decoded bytes are let go of once they are more than half, so that each byte is moved at most
    // once or so.
    if (position_ > buffer_.size() / 2) {
        buffer_.erase(0, position_);
        position_ = 0;
    }
    return fault;
}

} // namespace knotvane::node_protocol
