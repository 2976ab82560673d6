/// \file
/// Ids of the HTTP gateway's connections.
#pragma once

#include "common/ids.hpp"

namespace knotvane::http_gateway {

/// Identifies a connection to a client, a node or discovery. Ids aren't reused; 0 is no connection.
using ConnectionId = Id<struct ConnectionKind, std::uint64_t>;

/// Assigns connection ids; shared by all kinds of connections of a gateway.
class ConnectionIds {
public:
    ConnectionId next() { return ConnectionId{++last_}; }

private:
    std::uint64_t last_ = 0;
};

} // namespace knotvane::http_gateway
