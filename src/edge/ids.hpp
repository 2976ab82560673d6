/// \file
/// The edge's own ids.
#pragma once

#include <cstdint>

#include "common/ids.hpp"

namespace knotvane::edge {

/// A client's NBD connection.
using ClientId = Id<struct ClientKind, std::uint64_t>;
/// A connection to a node.
using NodeConnectionId = Id<struct NodeConnectionKind, std::uint64_t>;
/// A client's request, which may be split into several scheduled requests.
using ClientRequestId = Id<struct ClientRequestKind, std::uint64_t>;

} // namespace knotvane::edge
