#include "node_protocol/frame.hpp"

#include "node_protocol/crc.hpp"

namespace knotvane::node_protocol {
namespace {

constexpr std::uint32_t frame_magic = 0x314e564b; // "KVN1"

constexpr std::uint8_t lowest_kind = static_cast<std::uint8_t>(FrameKind::hello);
constexpr std::uint8_t highest_kind = static_cast<std::uint8_t>(FrameKind::answer);
constexpr std::uint16_t highest_status = static_cast<std::uint16_t>(Status::no_space);

// Byte positions in the header.
constexpr std::size_t magic_position = 0;
constexpr std::size_t kind_position = 4;
constexpr std::size_t flags_position = 5;
constexpr std::size_t status_position = 6;
constexpr std::size_t payload_size_position = 8;
constexpr std::size_t header_crc_position = 12;
constexpr std::size_t tag_position = 16;
constexpr std::size_t volume_position = 24;
constexpr std::size_t offset_position = 32;
constexpr std::size_t length_position = 40;
constexpr std::size_t milliunits_position = 44;
constexpr std::size_t incarnation_position = 48;
constexpr std::size_t request_number_position = 56;
constexpr std::size_t not_after_position = 64;
constexpr std::size_t shard_position = 72;
constexpr std::size_t payload_crc_position = 76;
constexpr std::size_t epoch_position = 80;
static_assert(epoch_position + sizeof(std::uint32_t) == header_size);

constexpr unsigned bits_per_byte = 8;

template <class T>
void encode_field(char *header, std::size_t position, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
        header[position + i] =
            static_cast<char>(static_cast<std::uint64_t>(value) >> (bits_per_byte * i));
}

template <class T>
T decode_field(std::string_view header, std::size_t position) {
    std::uint64_t value = 0;
    for (std::size_t i = sizeof(T); i-- > 0;)
        value = value << bits_per_byte | static_cast<unsigned char>(header[position + i]);
    return static_cast<T>(value);
}

// The checksum of a header, computed with zeroes in place of its checksum field.
std::uint32_t header_crc(std::string_view header) {
    constexpr std::string_view zeroes("\0\0\0\0", sizeof(std::uint32_t));
    std::uint32_t crc = crc32c(header.substr(0, header_crc_position));
    crc = crc32c(zeroes, crc);
    return crc32c(header.substr(header_crc_position + zeroes.size(),
                                header_size - header_crc_position - zeroes.size()),
                  crc);
}

// A description of what is wrong with a header; empty if it is valid.
std::string header_fault(std::string_view header) {
    if (decode_field<std::uint32_t>(header, magic_position) != frame_magic)
        return "a frame does not begin with the magic number KVN1";
    if (decode_field<std::uint32_t>(header, header_crc_position) != header_crc(header))
        return "a frame's header does not match its checksum";

    auto payload_size = decode_field<std::uint32_t>(header, payload_size_position);
    if (payload_size > max_payload_size)
        return "a frame has a payload of " + std::to_string(payload_size) +
               " bytes; expected at most " + std::to_string(max_payload_size);

    auto kind = decode_field<std::uint8_t>(header, kind_position);
    auto status = decode_field<std::uint16_t>(header, status_position);
    if (kind < lowest_kind || kind > highest_kind || status > highest_status)
        return "a frame of kind " + std::to_string(kind) + " and status " + std::to_string(status) +
               "; kinds are " + std::to_string(lowest_kind) + " to " +
               std::to_string(highest_kind) + ", statuses 0 to " + std::to_string(highest_status);
    return {};
}

Frame decode(std::string_view header, std::string_view payload) {
    Frame frame;
    frame.kind = static_cast<FrameKind>(decode_field<std::uint8_t>(header, kind_position));
    frame.flags = decode_field<std::uint8_t>(header, flags_position);
    frame.status = static_cast<Status>(decode_field<std::uint16_t>(header, status_position));
    frame.tag = decode_field<std::uint64_t>(header, tag_position);
    frame.volume = VolumeId{decode_field<std::uint64_t>(header, volume_position)};
    frame.offset = decode_field<std::uint64_t>(header, offset_position);
    frame.length = decode_field<std::uint32_t>(header, length_position);
    frame.milliunits = decode_field<std::uint32_t>(header, milliunits_position);
    frame.incarnation = decode_field<std::uint64_t>(header, incarnation_position);
    frame.request_number = decode_field<std::uint64_t>(header, request_number_position);
    frame.not_after = decode_field<Time>(header, not_after_position);
    frame.shard = ShardId{decode_field<std::int32_t>(header, shard_position)};
    frame.payload = payload;
    frame.epoch = decode_field<std::uint32_t>(header, epoch_position);
    return frame;
}

} // namespace

std::string encode(const Frame &frame) {
    std::string out;
    out.reserve(header_size + frame.payload.size());
    out.assign(header_size, '\0');

    char *header = out.data();
    encode_field(header, magic_position, frame_magic);
    encode_field(header, kind_position, static_cast<std::uint8_t>(frame.kind));
    encode_field(header, flags_position, frame.flags);
    encode_field(header, status_position, static_cast<std::uint16_t>(frame.status));
    encode_field(header, payload_size_position, static_cast<std::uint32_t>(frame.payload.size()));
    encode_field(header, tag_position, frame.tag);
    encode_field(header, volume_position, frame.volume.value);
    encode_field(header, offset_position, frame.offset);
    encode_field(header, length_position, frame.length);
    encode_field(header, milliunits_position, frame.milliunits);
    encode_field(header, incarnation_position, frame.incarnation);
    encode_field(header, request_number_position, frame.request_number);
    encode_field(header, not_after_position, frame.not_after);
    encode_field(header, shard_position, frame.shard.value);
    encode_field(header, payload_crc_position, crc32c(frame.payload));
    encode_field(header, epoch_position, frame.epoch);
    encode_field(header, header_crc_position, header_crc({header, header_size}));

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

        auto payload_size = decode_field<std::uint32_t>(header, payload_size_position);
        if (buffered_bytes() < header_size + payload_size)
            break;
        std::string_view payload =
            std::string_view(buffer_).substr(position_ + header_size, payload_size);
        if (decode_field<std::uint32_t>(header, payload_crc_position) != crc32c(payload)) {
            fault = "a frame's payload does not match its checksum";
            break;
        }

        position_ += header_size + payload_size;
        if (!handler.on_frame(decode(header, payload)))
            break;
    }

    // Decoded bytes are erased only when they are more than half of the buffer. This way each byte
    // is moved about once at most.
    if (position_ > buffer_.size() / 2) {
        buffer_.erase(0, position_);
        position_ = 0;
    }
    return fault;
}

} // namespace knotvane::node_protocol
