// CRC32C by the library.
#pragma once

#include <cstdint>
#include <string_view>

#include <isa-l/crc.h>

namespace knotvane {

inline std::uint32_t crc32c(std::string_view bytes, std::uint32_t before = 0) {
    // The library takes a pointer to what it does not change, and at most an int's worth at once.
    constexpr std::size_t piece = 1 << 30;
    std::uint32_t crc = ~before;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        auto part = bytes.substr(at, piece);
        crc = crc32_iscsi(reinterpret_cast<unsigned char *>(const_cast<char *>(part.data())),
                          static_cast<int>(part.size()), crc);
    }
    return ~crc;
}

} // namespace knotvane
