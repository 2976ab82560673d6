/// \file
/// The byte storage under a store: a file, or memory for tests and simulations.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "store/error.hpp"

namespace knotvane::store {

/// Random-access byte storage that grows when it is written past its end. Offsets and sizes are in
/// bytes.
class Medium {
public:
    virtual ~Medium() = default;

    /// Reads `size` bytes at an offset into `to`; bytes that were never written read as zeroes.
    /// @throws StoreError of kind `medium` on failure; so do write and sync.
    virtual void read(std::uint64_t offset, char *to, std::size_t size) = 0;
    /// Writes at an offset. The bytes are durable only after the next sync.
    virtual void write(std::uint64_t offset, std::string_view bytes) = 0;
    /// Returns once everything written so far is durable. After a failure it is unknown which of
    /// the writes since the last successful sync are durable.
    virtual void sync() = 0;
};

/// Opens a sparse file for reading and writing; creates it if it does not exist.
/// @param is_durable whether sync waits for the disk. If false, sync does nothing, and a power
///     failure may lose any write.
/// @throws StoreError that names the path.
std::unique_ptr<Medium> file_medium(const std::string &path, bool is_durable);

/// Returns a medium that reads from `below` and keeps all writes in memory, so that a store can be
/// opened and checked without changing it. `below` must outlive the result.
std::unique_ptr<Medium> overlay_medium(Medium &below);

/// Returns a medium over a string in memory. The caller owns the string, which must outlive the
/// result; a new medium over it simulates a restart.
std::unique_ptr<Medium> memory_medium(std::string &bytes);

} // namespace knotvane::store
