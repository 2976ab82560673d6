/// \file
/// The exception type of the store package.
#pragma once

#include <stdexcept>
#include <string>

namespace knotvane::store {

/// A failure of a store or of its medium. The message says what failed, where, and what was
/// expected.
class StoreError : public std::runtime_error {
public:
    enum class Kind {
        medium,     ///< The medium can't be opened, read, written or synced.
        corruption, ///< The stored data is not what was written: a checksum does not match, or a
                    ///< reference is invalid.
    };

    StoreError(Kind kind, const std::string &message) : std::runtime_error(message), kind_(kind) {}

    Kind kind() const { return kind_; }

private:
    Kind kind_;
};

} // namespace knotvane::store
