/// \file
/// Ids and counters of the control plane.
#pragma once

#include <cstdint>

#include "common/ids.hpp"

namespace knotvane::control {

/// An edge's number in the settings.
using EdgeId = Id<struct EdgeKind, std::uint64_t>;

/// One run of an edge's process. Nodes identify the edge of a write by it.
using EdgeIncarnation = Id<struct EdgeIncarnationKind, std::uint64_t>;

/// Counts the planner starts on one store; a higher term takes precedence over lower ones.
using Term = Id<struct TermKind, std::uint64_t>;

/// Counts the changes of the cluster state, across terms; 0 means none.
using Version = Id<struct VersionKind, std::uint64_t>;

} // namespace knotvane::control
