#include "http_gateway/trace.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace knotvane::http_gateway {
namespace {

/// Returns the whole number in the field " name="; nothing if the field is absent or has no number,
/// such as a dash.
std::optional<std::int64_t> number_field(std::string_view fields, const std::string &name) {
    std::string key = " " + name + "=";
    auto position = fields.find(key);
    if (position == std::string_view::npos)
        return std::nullopt;
    auto text = fields.substr(position + key.size());
    std::int64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end == text.data())
        return std::nullopt;
    return value;
}

/// Returns the number of values and their median, 99th percentile and maximum in microseconds.
std::string percentiles(std::vector<std::int64_t> values) {
    if (values.empty())
        return "none";
    std::sort(values.begin(), values.end());
    auto percentile = [&](std::size_t percent) {
        return std::to_string(values[(values.size() - 1) * percent / 100]);
    };
    return std::to_string(values.size()) + ", median " + percentile(50) + " us, 99th percentile " +
           percentile(99) + " us, maximum " + percentile(100) + " us";
}

/// Returns an outcome's name in the report.
const char *name_of(AttemptOutcome outcome) {
    switch (outcome) {
    case AttemptOutcome::answered:
        return "answered";
    case AttemptOutcome::error:
        return "error";
    case AttemptOutcome::overloaded:
        return "full";
    case AttemptOutcome::timed_out:
        return "timed_out";
    case AttemptOutcome::unreachable:
        return "unreachable";
    case AttemptOutcome::reset:
        return "reset";
    case AttemptOutcome::canceled:
        return "called_off";
    case AttemptOutcome::not_sent:
        return "unsent";
    }
    return "unknown";
}

} // namespace

void TraceSummary::add_line(std::string_view line) {
    constexpr std::string_view marker = "trace ";
    auto position = line.find(marker);
    if (position == std::string_view::npos)
        return;
    // Keeps the blank in front of the event's name: fields are searched with the blank before them.
    auto fields = line.substr(position + marker.size() - 1);
    if (fields.starts_with(" attempt "))
        add_attempt(fields);
    else if (fields.starts_with(" told "))
        add_time(fields, "late", outcome_lateness_);
    else if (fields.starts_with(" late "))
        add_time(fields, "us", loop_lateness_);
    else if (fields.starts_with(" node "))
        add_node(fields);
}

void TraceSummary::add_attempt(std::string_view fields) {
    auto outcome = number_field(fields, "how");
    auto duration = number_field(fields, "over");
    constexpr auto last_outcome = static_cast<std::int64_t>(AttemptOutcome::not_sent);
    if (!outcome || !duration || *outcome < 0 || *outcome > last_outcome) {
        ++unreadable_lines_;
        return;
    }
    Attempts &attempts = attempts_[static_cast<AttemptOutcome>(*outcome)];
    attempts.durations.push_back(*duration);
    if (auto first_byte = number_field(fields, "first")) {
        ++attempts.responses_started;
        attempts.response_times.push_back(*duration - *first_byte);
    }
    if (auto connected = number_field(fields, "connected"))
        attempts.connect_times.push_back(*connected);
}

void TraceSummary::add_time(std::string_view fields, const char *name,
                            std::vector<std::int64_t> &times) {
    if (auto time = number_field(fields, name))
        times.push_back(*time);
    else
        ++unreadable_lines_;
}

void TraceSummary::add_node(std::string_view fields) {
    auto counted = number_field(fields, "counted");
    auto open = number_field(fields, "open");
    if (!counted || !open) {
        ++unreadable_lines_;
        return;
    }
    ++node_samples_;
    ++count_excess_[*counted - *open];
}

std::string TraceSummary::report() const {
    std::string text;
    for (const auto &[outcome, attempts] : attempts_) {
        text += std::string(name_of(outcome)) + ": " + percentiles(attempts.durations) + "\n";
        text += "  time to open a connection: " + percentiles(attempts.connect_times) + "\n";
        text += "  responses started: " + std::to_string(attempts.responses_started) +
                "; first byte to end: " + percentiles(attempts.response_times) + "\n";
    }
    text += "delay before the scheduler learned of an outcome: " + percentiles(outcome_lateness_) +
            "\n";
    text += "loop iterations over 2 ms late: " + percentiles(loop_lateness_) + "\n";
    text += "samples of a node's counts: " + std::to_string(node_samples_) + "\n";
    for (const auto &[excess, count] : count_excess_)
        if (excess != 0)
            text += "  attempts counted by the scheduler minus busy connections = " +
                    std::to_string(excess) + ": " + std::to_string(count) + " samples\n";
    if (unreadable_lines_ > 0)
        text += "trace lines that could not be parsed: " + std::to_string(unreadable_lines_) + "\n";
    return text;
}

} // namespace knotvane::http_gateway
