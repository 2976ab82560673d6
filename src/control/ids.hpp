/// \file
/// Ids and counters of the control plane.
#pragma once

#include <cstdint>

#include "common/ids.hpp"

namespace knotvane::control {

/// An edge, by its number in the settings.
using EdgeId = Id<struct EdgeKind, std::uint64_t>;

/// One run of an edge's process; nodes know an edge by it.
using EdgeIncarnation = Id<struct EdgeIncarnationKind, std::uint64_t>;

/// Counts the starts of planners over one store; a later term outranks all earlier ones.
using Term = Id<struct TermKind, std::uint64_t>;

/// Counts the changes of the cluster state, across terms; 0 is no version.
using Version = Id<struct VersionKind, std::uint64_t>;

} // namespace knotvane::control
