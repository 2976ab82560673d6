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

/// Appends one record to a run of bytes: its code, the length of its fields and the fields, all
/// little-endian. The length is filled in when the writer is destroyed; nothing else may be
/// appended before that but the record's own fields.
class RecordWriter {
public:
    /// @param out must outlive the writer.
    RecordWriter(std::string &out, std::uint16_t code) : out_(out) {
        put(code);
        length_at_ = out_.size();
        put(std::uint32_t{0});
    }

    template <class Code>
    requires std::is_enum_v<Code> RecordWriter(std::string &out, Code code)
        : RecordWriter(out, static_cast<std::uint16_t>(code)) {}

    ~RecordWriter() {
        auto length = static_cast<std::uint32_t>(out_.size() - length_at_ - sizeof(std::uint32_t));
        std::memcpy(out_.data() + length_at_, &length, sizeof length);
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

    RecordWriter &time(Time time) { return put(seconds(time)); }

    RecordWriter &address(std::uint64_t node) {
        char bytes[address_bytes];
        std::memcpy(bytes, &node, address_bytes);
        out_.append(bytes, address_bytes);
        return *this;
    }

    /// Appends a text, cut at the largest size that its two bytes of length can tell.
    RecordWriter &text(std::string_view text) {
        text = text.substr(0, std::numeric_limits<std::uint16_t>::max());
        put(static_cast<std::uint16_t>(text.size()));
        out_.append(text);
        return *this;
    }

private:
    std::string &out_;
    std::size_t length_at_ = 0;
};

} // namespace knotvane::simulator_adapter
