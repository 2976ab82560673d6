/// \file
/// CRC32C checksums, computed by the ISA-L library.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <isa-l/crc.h>

namespace knotvane {

/// @param previous the checksum of the preceding bytes, to compute one checksum over several
/// pieces.
/// @return the CRC32C of `bytes`.
inline std::uint32_t crc32c(std::string_view bytes, std::uint32_t previous = 0) {
    // The library takes the length as an int, so longer input is processed in chunks.
    constexpr std::size_t max_chunk = 1 << 30;
    std::uint32_t crc = ~previous;
    for (std::size_t offset = 0; offset < bytes.size(); offset += max_chunk) {
        auto chunk = bytes.substr(offset, max_chunk);
        // The library's parameter is a pointer to non-const, but the data is not modified.
        auto *data = reinterpret_cast<unsigned char *>(const_cast<char *>(chunk.data()));
        crc = crc32_iscsi(data, static_cast<int>(chunk.size()), crc);
    }
    return ~crc;
}

} // namespace knotvane
