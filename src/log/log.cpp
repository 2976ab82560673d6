#include "log/log.hpp"

#include <atomic>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace knotvane::log {
namespace {
std::atomic<int> least{info};
std::atomic<bool> as_json{false};
std::shared_ptr<spdlog::logger> logger;
constexpr spdlog::level::level_enum levels[] = {spdlog::level::debug, spdlog::level::info,
                                                spdlog::level::warn, spdlog::level::err};
constexpr const char *names[] = {"debug", "info", "warn", "error"};
} // namespace

bool start(const std::string &level, bool json) {
    int n = 0;
    while (n < 4 && level != names[n])
        ++n;
    if (n == 4)
        return false;
    least = n, as_json = json;
    if (logger)
        return true;
    // Lines waiting at most: when the reader of standard error is slow, the oldest go, and no loop
    // waits.
    constexpr std::size_t most_waiting = 8192;
    spdlog::init_thread_pool(most_waiting, 1);
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
    return logger && level >= least;
}

void write(int level, std::string_view what,
           std::initializer_list<std::pair<std::string_view, std::string>> facts) {
    if (!is_enabled(level))
        return;
    if (as_json) {
        nlohmann::ordered_json j;
        j["time"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
        j["level"] = names[level];
        j["what"] = what;
        for (auto &[k, v] : facts)
            j[std::string(k)] = v;
        logger->log(levels[level], "{}",
                    j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        return;
    }
    std::string text(what);
    for (auto &[k, v] : facts)
        text.append(" ").append(k).append("=").append(v);
    logger->log(levels[level], "{}", text);
}

} // namespace knotvane::log
