// The rules' figures as text that stands at the head of a recording, and the judging of whole
// recordings.
#pragma once

#include <string>
#include <vector>

#include "rules/rule_checker.hpp"

namespace knotvane::rules {

// The figures (JSON) of edges with this scheduling and nodes with this service, both settings' text
// that was checked; bytes where edges cut reads and writes.
std::string rule_settings_json(const std::string &scheduling, const std::string &service,
                               std::uint64_t read_cut, std::uint64_t write_cut);
// Sets a judge up. Throws std::runtime_error on what is not such text.
void configure(RuleChecker &rule_checker, const std::string &figures);
// Reads a recording and judges it. An empty answer is good; else why it can't be judged.
std::string check_recording(const std::string &path, RuleChecker &rule_checker);
// A table, a line a rule: how often judged, how often broken; then the breaches.
std::string format_report(const RuleChecker &rule_checker);
// Whether no rule was broken and something was judged at all.
bool passed(const RuleChecker &rule_checker);

} // namespace knotvane::rules
