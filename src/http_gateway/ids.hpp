/// \file
/// Ids of the gateway's connections.
#pragma once

#include "common/ids.hpp"

namespace knotvane::http_gateway {

/// A connection of any kind, never used again. 0 is no connection.
using ConnectionId = Id<struct ConnectionKind, std::uint64_t>;

/// Gives out the ids of connections.
class ConnectionIds {
public:
    ConnectionId next() { return ConnectionId{++last_}; }

private:
    std::uint64_t last_ = 0;
};

} // namespace knotvane::http_gateway
