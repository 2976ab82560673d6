/// \file
/// Writes the simulator's records.
#pragma once

#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

#include "common/time.hpp"
#include "simulator_adapter/record_reader.hpp"

namespace knotvane::simulator_adapter {

/// Appends one record to a byte string: its code, the length of its fields and the fields, all
/// little-endian. The destructor fills in the length; until then only the record's own fields may
/// be appended to the byte string.
class RecordWriter {
public:
    /// @param out the byte string, which must outlive the writer.
    RecordWriter(std::string &out, std::uint16_t code) : out_(out) {
        put(code);
        length_position_ = out_.size();
        put(std::uint32_t{0});
    }

    template <class Code>
    requires std::is_enum_v<Code> RecordWriter(std::string &out, Code code)
        : RecordWriter(out, static_cast<std::uint16_t>(code)) {}

    ~RecordWriter() {
        auto length =
            static_cast<std::uint32_t>(out_.size() - length_position_ - sizeof(std::uint32_t));
        std::memcpy(out_.data() + length_position_, &length, sizeof length);
    }

    RecordWriter(const RecordWriter &) = delete;
    RecordWriter &operator=(const RecordWriter &) = delete;

    template <class T>
    RecordWriter &put(T value) {
        char bytes[sizeof(T)];
        std::memcpy(bytes, &value, sizeof(T));
        out_.append(bytes, sizeof(T));
        return *this;
    }

    /// Appends a time in seconds.
    RecordWriter &time(Time time) { return put(seconds(time)); }

    /// Appends a node's address.
    /// @param node id as RecordReader::address returns it.
    RecordWriter &address(std::uint64_t node) {
        char bytes[address_bytes];
        std::memcpy(bytes, &node, address_bytes);
        out_.append(bytes, address_bytes);
        return *this;
    }

    /// Appends a text and its 2-byte length. A text over 65535 bytes is truncated.
    RecordWriter &text(std::string_view text) {
        text = text.substr(0, std::numeric_limits<std::uint16_t>::max());
        put(static_cast<std::uint16_t>(text.size()));
        out_.append(text);
        return *this;
    }

private:
    std::string &out_;
    std::size_t length_position_ = 0;
};

} // namespace knotvane::simulator_adapter
