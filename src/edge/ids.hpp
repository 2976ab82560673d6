// The edge's own ids.
#pragma once

#include "common/ids.hpp"

namespace knotvane::edge {

using ClientId = Id<struct ClientKind, std::uint64_t>;
using NodeConnectionId = Id<struct LinkKind, std::uint64_t>;
// A client's request, which may be several tasks.
using ClientRequestId = Id<struct ClientRequestKind, std::uint64_t>;

} // namespace knotvane::edge
