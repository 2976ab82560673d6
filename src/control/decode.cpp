#include "control/decode.hpp"

#include <cmath>
#include <cstring>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

#include "control/message_layout.hpp"
#include "node_protocol/crc.hpp"

namespace knotvane::control {
namespace {

// 32 bits of length and 32 bits of checksum.
constexpr std::size_t header_bytes = 8;
// The longest message is the status of a few hundred edges. A greater length can only come from
// bytes that are not of this protocol.
constexpr std::uint32_t max_message_bytes = 1u << 20;
// Messages nest no deeper than a list within the message's array.
constexpr std::size_t max_depth = 4;
constexpr std::size_t max_list_entries = 1 << 16;

// The highest valid value of each enumeration on the wire.
constexpr NodeState max_value(NodeState) {
    return NodeState::ready;
}
constexpr DrainMode max_value(DrainMode) {
    return DrainMode::force;
}
constexpr SnapshotOperation max_value(SnapshotOperation) {
    return SnapshotOperation::compare;
}
constexpr SnapshotStep max_value(SnapshotStep) {
    return SnapshotStep::cloned;
}
constexpr SnapshotResult max_value(SnapshotResult) {
    return SnapshotResult::failed;
}

// Reads the fields of one message, in wire order.
class FieldReader {
public:
    explicit FieldReader(const msgpack::object &message) {
        if (message.type != msgpack::type::ARRAY || message.via.array.size == 0)
            throw ProtocolError("expected a non-empty array of the type and the fields");
        next_ = message.via.array.ptr;
        end_ = next_ + message.via.array.size;
    }

    template <class Field>
    void read(Field &field) {
        if (next_ == end_)
            throw ProtocolError("fewer fields than this message type has");
        convert(*next_++, field);
    }

    void expect_end() const {
        if (next_ != end_)
            throw ProtocolError("more fields than this message type has");
    }

private:
    template <class Field>
    static void convert(const msgpack::object &from, Field &field) {
        if constexpr (std::is_enum_v<Field>) {
            auto value = from.as<std::uint8_t>();
            constexpr auto max = static_cast<std::uint8_t>(max_value(Field{}));
            if (value > max)
                throw ProtocolError("enumeration value " + std::to_string(value) +
                                    ", expected 0 to " + std::to_string(max));
            field = static_cast<Field>(value);
        } else {
            field = from.as<Field>();
        }
    }

    template <class Kind, class Representation>
    static void convert(const msgpack::object &from, Id<Kind, Representation> &id) {
        id.value = from.as<Representation>();
    }

    static void convert(const msgpack::object &from, double &number) {
        number = from.as<double>();
        if (!std::isfinite(number))
            throw ProtocolError("a number is not finite, expected a finite one");
    }

    static void convert(const msgpack::object &from, ProtocolVersion &version) {
        version.value = from.as<std::uint32_t>();
        if (version.value != ProtocolVersion::current)
            throw ProtocolError("protocol version " + std::to_string(version.value) +
                                ", expected " + std::to_string(ProtocolVersion::current));
    }

    template <class Kind, class Representation>
    static void convert(const msgpack::object &from, std::vector<Id<Kind, Representation>> &ids) {
        if (from.type != msgpack::type::ARRAY)
            throw ProtocolError("expected an array of ids");
        for (std::uint32_t i = 0; i < from.via.array.size; ++i)
            convert(from.via.array.ptr[i], ids.emplace_back());
    }

    static void convert(const msgpack::object &from, std::vector<ByteRange> &ranges) {
        if (from.type != msgpack::type::ARRAY || from.via.array.size % 2 != 0)
            throw ProtocolError("expected an array of alternating offsets and lengths");
        for (std::uint32_t i = 0; i < from.via.array.size; i += 2) {
            auto &range = ranges.emplace_back();
            convert(from.via.array.ptr[i], range.offset);
            convert(from.via.array.ptr[i + 1], range.length);
        }
    }

    const msgpack::object *next_;
    const msgpack::object *end_;
};

// Checks that go beyond the type of a single field. Throws ProtocolError.
template <class Message>
void validate(const Message &) {}

void validate(const NodeHello &hello) {
    if (hello.age < 0)
        throw ProtocolError("process age " + std::to_string(hello.age) + " ns, expected 0 or more");
}

void validate(const QuotaShareUpdate &update) {
    if (update.share.millionths > full_limit_millionths)
        throw ProtocolError("quota share of " + std::to_string(update.share.millionths) +
                            " millionths, expected at most " +
                            std::to_string(full_limit_millionths));
}

template <class Message>
void decode_as(FieldReader &reader, MessageHandler &handler) {
    Message message;
    std::apply([&reader](auto &...fields) { (reader.read(fields), ...); },
               MessageLayout<Message>::fields(message));
    reader.expect_end();
    validate(message);
    handler.handle(message);
}

// Decodes the fields as the message that has this type. Returns false if no message has it.
template <class... Messages>
bool decode_as_one_of(std::tuple<Messages...> *, std::uint8_t type, FieldReader &reader,
                      MessageHandler &handler) {
    return ((type == static_cast<std::uint8_t>(MessageLayout<Messages>::type) &&
             (decode_as<Messages>(reader, handler), true)) ||
            ...);
}

void decode_message(std::string_view body, MessageHandler &handler) {
    auto handle = msgpack::unpack(body.data(), body.size(), nullptr, nullptr,
                                  msgpack::unpack_limit(max_list_entries, 0, max_message_bytes,
                                                        max_message_bytes, 0, max_depth));
    FieldReader reader(handle.get());
    std::uint8_t type = 0;
    reader.read(type);
    if (!decode_as_one_of(static_cast<AllMessages *>(nullptr), type, reader, handler))
        throw ProtocolError("unknown message type " + std::to_string(type));
}

} // namespace

void MessageDecoder::decode(std::string_view bytes, MessageHandler &handler) {
    if (error_)
        throw *error_;
    buffer_.append(bytes);
    try {
        decode_messages(handler);
    } catch (const ProtocolError &error) {
        error_ = error;
        throw;
    }
}

void MessageDecoder::decode_messages(MessageHandler &handler) {
    std::string_view rest = buffer_;
    while (rest.size() >= header_bytes) {
        std::uint32_t header[2];
        static_assert(sizeof header == header_bytes);
        std::memcpy(header, rest.data(), sizeof header);
        const auto [length, checksum] = header;
        if (length == 0 || length > max_message_bytes)
            throw ProtocolError("message length " + std::to_string(length) +
                                " bytes, expected 1 to " + std::to_string(max_message_bytes));
        if (rest.size() < header_bytes + length)
            break;
        auto body = rest.substr(header_bytes, length);
        if (crc32c(body) != checksum)
            throw ProtocolError("checksum mismatch in a message of " + std::to_string(length) +
                                " bytes");
        try {
            decode_message(body, handler);
        } catch (const std::exception &error) {
            throw ProtocolError(std::string("invalid message: ") + error.what());
        }
        rest.remove_prefix(header_bytes + length);
    }
    buffer_.erase(0, buffer_.size() - rest.size());
}

} // namespace knotvane::control
