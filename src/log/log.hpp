// The log: lines of text or JSON on standard error. A separate thread writes them, so that no event
// loop blocks on the output.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace knotvane::log {

// Starts the log; must be called once before all else. `level` is the least severe level that is
// written: debug, info, warn or error. Returns false for any other name.
bool start(const std::string &level, bool json);
// Writes the queued lines and stops the log.
void stop();
// Whether lines of this level are written.
bool is_enabled(int level);
// Levels, in order of severity.
inline constexpr int debug = 0, info = 1, warn = 2, error = 3;
// Writes a line: a message and named fields. Does nothing while the log isn't started.
void write(int level, std::string_view message,
           std::initializer_list<std::pair<std::string_view, std::string>> fields = {});

} // namespace knotvane::log
