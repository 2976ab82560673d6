/// \file
/// The states of a node.
#pragma once

namespace knotvane {

/// The state of a node according to the endpoint list. The order is that of the numbers in the
/// platform's wire protocol, which are converted by a cast.
enum class NodeState { draining, removed, ready };

} // namespace knotvane
