/// \file
/// CRC32C, by the ISA-L library.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <isa-l/crc.h>

namespace knotvane {

/// @param previous the checksum of the bytes before these, to continue it over several pieces.
/// @return the CRC32C of `bytes`.
inline std::uint32_t crc32c(std::string_view bytes, std::uint32_t previous = 0) {
    // The library takes a length as an int.
    constexpr std::size_t max_chunk = 1 << 30;
    std::uint32_t crc = ~previous;
    for (std::size_t at = 0; at < bytes.size(); at += max_chunk) {
        auto chunk = bytes.substr(at, max_chunk);
        // The library takes a pointer to non-const and does not write to it.
        auto *data = reinterpret_cast<unsigned char *>(const_cast<char *>(chunk.data()));
        crc = crc32_iscsi(data, static_cast<int>(chunk.size()), crc);
    }
    return ~crc;
}

} // namespace knotvane
