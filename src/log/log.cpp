#include "log/log.hpp"

#include <atomic>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace knotvane::log {
namespace {
std::atomic<int> min_level{info};
std::atomic<bool> as_json{false};
std::shared_ptr<spdlog::logger> logger;
constexpr spdlog::level::level_enum spdlog_levels[] = {spdlog::level::debug, spdlog::level::info,
                                                       spdlog::level::warn, spdlog::level::err};
constexpr const char *level_names[] = {"debug", "info", "warn", "error"};
} // namespace

bool start(const std::string &level, bool json) {
    int level_index = 0;
    while (level_index < 4 && level != level_names[level_index])
        ++level_index;
    if (level_index == 4)
        return false;
    min_level = level_index, as_json = json;
    if (logger)
        return true;
    // Limit on queued lines. If standard error is read too slowly, the oldest lines are dropped
    // rather than blocking an event loop.
    constexpr std::size_t max_queued_lines = 8192;
    spdlog::init_thread_pool(max_queued_lines, 1);
    logger = std::make_shared<spdlog::async_logger>(
        "knotvane", std::make_shared<spdlog::sinks::stderr_sink_mt>(), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    logger->set_level(spdlog::level::debug);
    logger->flush_on(spdlog::level::warn);
    logger->set_pattern(json ? "%v" : "%Y-%m-%d %H:%M:%S.%e %l %v");
    return true;
}
void stop() {
    if (!logger)
        return;
    logger->flush();
    logger.reset();
    spdlog::shutdown();
}
bool is_enabled(int level) {
    return logger && level >= min_level;
}

void write(int level, std::string_view message,
           std::initializer_list<std::pair<std::string_view, std::string>> fields) {
    if (!is_enabled(level))
        return;
    if (as_json) {
        nlohmann::ordered_json line;
        line["time"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
        line["level"] = level_names[level];
        line["what"] = message;
        for (auto &[name, value] : fields)
            line[std::string(name)] = value;
        logger->log(spdlog_levels[level], "{}",
                    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        return;
    }
    std::string text(message);
    for (auto &[name, value] : fields)
        text.append(" ").append(name).append("=").append(value);
    logger->log(spdlog_levels[level], "{}", text);
}

} // namespace knotvane::log
