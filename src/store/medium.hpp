/// \file
/// What a store keeps its bytes on: a file, or memory for tests and simulations.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "store/error.hpp"

namespace knotvane::store {

/// A space of bytes that grows as it is written. Offsets and sizes are bytes.
class Medium {
public:
    virtual ~Medium() = default;

    /// Reads `size` bytes at an offset; what was never written reads as zeroes.
    /// @throws StoreError of kind `medium`, as the other functions.
    virtual void read(std::uint64_t offset, char *to, std::size_t size) = 0;
    /// Writes at an offset. Not durable before the next sync.
    virtual void write(std::uint64_t offset, std::string_view bytes) = 0;
    /// Returns when all that was written is durable. After a failure it is not known what is.
    virtual void sync() = 0;
};

/// A sparse file, made if it is absent.
/// @param is_durable whether sync waits for the disk; if not, a power failure loses what it may.
/// @throws StoreError naming the path.
std::unique_ptr<Medium> file_medium(const std::string &path, bool is_durable);

/// Keeps what is written in memory over a medium that is only read: to examine a store and change
/// nothing. `below` must outlive it.
std::unique_ptr<Medium> overlay_medium(Medium &below);

/// Bytes in memory. The caller owns them, so that they outlive a restart.
std::unique_ptr<Medium> memory_medium(std::string &bytes);

} // namespace knotvane::store
