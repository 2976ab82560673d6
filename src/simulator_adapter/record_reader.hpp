/// \file
/// Reads the fields of the simulator's records.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include "common/time.hpp"
#include "scheduler_setup/input_validation.hpp"

namespace knotvane::simulator_adapter {

/// Size of a node's address: 4 bytes of IPv4 address in network order and a 2-byte port.
inline constexpr std::size_t address_bytes = 6;

/// Reads little-endian fields from a sequence of bytes that it doesn't own. Later versions of the
/// wire format append fields to records, so a field past the end counts as absent and is read as
/// zero; a field that ends past the last byte is malformed. The parameter `name` of each function
/// is the field's name in error messages.
class RecordReader {
public:
    explicit RecordReader(std::string_view bytes) : rest_(bytes) {}

    bool empty() const { return rest_.empty(); }

    /// Reads a field that may be absent.
    /// @throws MalformedInput if the field is truncated.
    template <class T>
    T optional(const char *name) {
        if (rest_.empty())
            return T{};
        return load<T>(bytes(sizeof(T), name));
    }

    /// Reads a field that must be present.
    /// @throws MalformedInput if the field is absent or truncated.
    template <class T>
    T required(const char *name) {
        return load<T>(bytes(sizeof(T), name));
    }

    /// Reads the next `size` bytes.
    /// @return a view into the sequence that the reader was created with.
    /// @throws MalformedInput if fewer bytes are left.
    std::string_view bytes(std::size_t size, const char *name) {
        if (size > rest_.size())
            throw scheduler_setup::MalformedInput(std::string(name) + ": expected " +
                                                  std::to_string(size) + " bytes, but only " +
                                                  std::to_string(rest_.size()) + " are left");
        auto result = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return result;
    }

    /// Reads a node's address.
    /// @return a number with the address's bytes in the low 6 bytes; serves as the node's id.
    /// @throws MalformedInput if the field is absent or truncated.
    std::uint64_t address(const char *name) {
        auto address_field = bytes(address_bytes, name);
        std::uint64_t value = 0;
        std::memcpy(&value, address_field.data(), address_bytes);
        return value;
    }

    /// Reads a time in seconds, which may be absent.
    /// @throws MalformedInput if the field is truncated or its value isn't a valid time.
    Time time(const char *name) {
        return scheduler_setup::time_from_seconds(optional<double>(name), name);
    }

private:
    template <class T>
    static T load(std::string_view bytes) {
        static_assert(std::is_arithmetic_v<T>);
        T value{};
        std::memcpy(&value, bytes.data(), sizeof(T));
        return value;
    }

    std::string_view rest_;
};

} // namespace knotvane::simulator_adapter
