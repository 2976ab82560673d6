/// \file
#pragma once

namespace knotvane {

/// What the endpoint list says of a node. The order is that of the platform's wire.
enum class NodeState { draining, removed, ready };

} // namespace knotvane
