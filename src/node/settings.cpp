#include "node/settings.hpp"

#include <limits>

namespace knotvane::node {
namespace {

constexpr std::uint64_t max_id = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t max_shard = 65535;
constexpr std::uint64_t max_zone = 255;
constexpr std::uint64_t max_cores = 1024;
constexpr std::uint64_t max_slots = 65536;
constexpr std::uint64_t default_slots = 4;
constexpr std::uint64_t max_queue_capacity = 1'000'000;
constexpr std::uint64_t default_queue_capacity = 64;
constexpr double min_initial_capacity = 0.001;

void read_identity(settings::Section &section, Settings &out) {
    out.id = NodeId{section.count("id", 1, max_id)};
    out.shard = ShardId{static_cast<std::int32_t>(section.count("shard", 0, max_shard))};
    out.listen_address = section.text("listen", "127.0.0.1:0");
    out.store_path = section.text("store");
    out.sync = section.flag("sync", true);
    out.random_seed = section.count("seed", 0, max_id, 1);
    out.age = section.time("age", 0);
    out.planner_address = section.text("planner", "");
    out.zone = ZoneId{static_cast<std::uint32_t>(section.count("zone", 0, max_zone, 0))};
}

ServiceModel read_service_model(settings::Section &section) {
    ServiceModel model;
    model.unit_time = section.time("unit_time", 0);
    model.cores = static_cast<std::uint32_t>(section.count("cores", 1, max_cores, 1));
    model.slots = static_cast<std::uint32_t>(section.count("slots", 1, max_slots, default_slots));
    model.queue_capacity = static_cast<std::uint32_t>(
        section.count("room", 0, max_queue_capacity, default_queue_capacity));
    return model;
}

SlowStartModel read_slow_start_model(settings::Section &section) {
    constexpr double any = std::numeric_limits<double>::max();
    SlowStartModel model;
    model.initial_capacity = section.number("start_part", min_initial_capacity, 1, 1);
    model.overload_factor = section.number("multiple", 0, any, 0);
    model.duration = section.time("warm_after", 0);
    model.overload_window = section.time("span", 0);
    if (model.overload_factor > 0 && model.overload_window <= 0)
        section.fault("multiple", "needs a span greater than 0");
    return model;
}

void read_pauses(settings::Section &section, Settings &out) {
    out.pauses.interval = section.time("every", 0);
    out.pauses.length = section.time("length", 0);
    out.deferred_work.fraction = section.number("put_off_part", 0, 1, 0);
    out.deferred_work.interval = section.time("put_off_every", 0);
}

} // namespace

Settings read_settings(settings::File &file) {
    Settings out;
    read_identity(file.one("node", true), out);
    out.service = read_service_model(file.one("speed", false));
    out.slow_start = read_slow_start_model(file.one("cold", false));
    read_pauses(file.one("pauses", false), out);
    return out;
}

void check(settings::File &file) {
    read_settings(file);
}

} // namespace knotvane::node
