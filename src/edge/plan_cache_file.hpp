// The edge's last plan on disk.
#pragma once

#include <string>

namespace knotvane::edge {

// Writes it anew, beside and renamed, so that a start finds the old plan or the new one; or after
// what is there. What is added and cut short is dropped at the next start. False where it could not
// be written.
bool write_plan(const std::string &path, const std::string &bytes, bool anew);

} // namespace knotvane::edge
