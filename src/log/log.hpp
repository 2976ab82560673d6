// The log: lines of text or JSON to standard error, written by another thread so that no loop waits
// for them.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace knotvane::log {

// Call once, first. `level`: debug, info, warn or error; false if it is none of these.
bool start(const std::string &level, bool json);
// Writes out what is queued and ends.
void stop();
bool is_enabled(int level);
inline constexpr int debug = 0, info = 1, warn = 2, error = 3;
// A line: what happened, and facts by name.
void write(int level, std::string_view what,
           std::initializer_list<std::pair<std::string_view, std::string>> facts = {});

} // namespace knotvane::log
