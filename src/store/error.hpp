/// \file
/// How a store says that it can't go on.
#pragma once

#include <stdexcept>
#include <string>

namespace knotvane::store {

/// A fault of a store or of its medium. The message says what, where, and what was expected.
class StoreError : public std::runtime_error {
public:
    enum class Kind {
        medium, ///< The medium can't be opened, read, written or made durable.
        damage, ///< What is stored is not what was written: a checksum or a reference does not
                ///< hold.
    };

    StoreError(Kind kind, const std::string &message) : std::runtime_error(message), kind_(kind) {}

    Kind kind() const { return kind_; }

private:
    Kind kind_;
};

} // namespace knotvane::store
