/// \file
/// The file in which an edge keeps the last cluster state that it received.
#pragma once

#include <string>

namespace knotvane::edge {

/// Writes encoded updates to the file, as received from the planner.
/// \param replace  whether to replace the file. It is written as PATH.new and renamed, so that the
///                 next start finds either the old or the new state. Otherwise the bytes are
///                 appended; an update that is incomplete is dropped at the next start.
/// \return false if writing failed
bool write_cluster_state(const std::string &path, const std::string &bytes, bool replace);

} // namespace knotvane::edge
