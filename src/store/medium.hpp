// What a store keeps its bytes on: a file, or memory for tests and virtual time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace knotvane::store {

class Medium {
public:
    virtual ~Medium() = default;
    // Reads size bytes at an offset; what was never written reads as zeroes. Throws
    // std::runtime_error.
    virtual void read(std::uint64_t at, char *to, std::size_t size) = 0;
    virtual void write(std::uint64_t at, std::string_view bytes) = 0;
    // Returns when all that was written is durable.
    virtual void sync() = 0;
};

// A sparse file, made where it is absent. Throws std::runtime_error naming the path.
std::unique_ptr<Medium> file_medium(const std::string &path, bool sync_for_real);
// What is written stays in memory, over what lies below, which is only read: to look at a store and
// change nothing.
std::unique_ptr<Medium> untouched(Medium &below);
// Bytes in memory, kept by the caller so that they outlive a restart.
std::unique_ptr<Medium> memory_medium(std::string &bytes);

} // namespace knotvane::store
