/// \file
/// Reads the fields of the simulator's records.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include "common/time.hpp"
#include "scheduler_setup/checked_input.hpp"

namespace knotvane::simulator_adapter {

/// Bytes of a node's address: four of IP, first byte first, and a port.
inline constexpr std::size_t address_bytes = 6;

/// Reads little-endian fields from a run of bytes, which it doesn't own. Later versions of the wire
/// add fields at a record's end: a field past the end counts as absent and reads as zero; one that
/// is cut in two is malformed. `name` is what an error calls the field.
class RecordReader {
public:
    explicit RecordReader(std::string_view bytes) : rest_(bytes) {}

    bool empty() const { return rest_.empty(); }

    /// Reads a field that may be absent.
    /// @throws MalformedInput if it is cut in two.
    template <class T>
    T optional(const char *name) {
        if (rest_.empty())
            return T{};
        return load<T>(bytes(sizeof(T), name));
    }

    /// Reads a field that may not be absent.
    /// @throws MalformedInput if it is absent or cut in two.
    template <class T>
    T required(const char *name) {
        return load<T>(bytes(sizeof(T), name));
    }

    /// Reads `size` bytes; the result points into the reader's bytes.
    /// @throws MalformedInput if there are fewer.
    std::string_view bytes(std::size_t size, const char *name) {
        if (size > rest_.size())
            throw scheduler_setup::MalformedInput(std::string(name) + ": " + std::to_string(size) +
                                                  " bytes wanted, " + std::to_string(rest_.size()) +
                                                  " left");
        auto taken = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return taken;
    }

    /// Reads a node's address, as one number whose bytes are the wire's.
    std::uint64_t address(const char *name) {
        auto taken = bytes(address_bytes, name);
        std::uint64_t value = 0;
        std::memcpy(&value, taken.data(), address_bytes);
        return value;
    }

    /// Reads a time in seconds, which may be absent.
    /// @throws MalformedInput as time_from_seconds does.
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
