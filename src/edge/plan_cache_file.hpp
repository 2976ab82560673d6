/// \file
/// The file that an edge keeps its last cluster state in.
#pragma once

#include <string>

namespace knotvane::edge {

/// Writes updates as they came from the planner.
/// \param replace  replaces the file, beside and renamed, so that a start finds the old state or
/// the
///              new one; else the bytes go after what is there, and an update that is cut short is
///              dropped at the next start
/// \return false where it could not be written
bool write_cluster_state(const std::string &path, const std::string &bytes, bool replace);

} // namespace knotvane::edge
