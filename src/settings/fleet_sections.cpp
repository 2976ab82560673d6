#include "settings/fleet_sections.hpp"

#include <limits>
#include <set>

#include <xxhash.h>

namespace knotvane::settings {
namespace {
constexpr double no_maximum = std::numeric_limits<double>::max();
} // namespace

void read_plans(File &file, const std::function<void(const std::string &, double, double, double,
                                                     double, double, double)> &on_plan) {
    std::set<std::string> names;
    for (auto *section : file.all("plan")) {
        if (!names.insert(section->name()).second)
            section->fault("", "plan " + section->name() + " is defined twice");
        double weight = section->number("weight", 0, 1e6),
               usual = section->number("usual", 0, no_maximum, 0),
               reserve = section->number("reserve", 0, no_maximum, 0),
               price = section->number("price", 0, 1e6, 1),
               rate = section->number("limit", 0, no_maximum, 0),
               burst = section->number("burst", 0, no_maximum, 0);
        if (weight <= 0)
            section->fault(
                "weight",
                reserve > 0
                    ? "a plan with a reserve can't weigh nothing: its reserve would not be met"
                    : "expected more than 0");
        if (rate > 0 && reserve > rate)
            section->fault("reserve", "expected at most the limit");
        if ((rate > 0) != (burst > 0))
            section->fault("burst", "expected limit and burst either both or neither");
        on_plan(section->name(), weight, usual, reserve, price, rate, burst);
    }
    if (names.empty())
        file.fault(0, "a section [plan NAME] is missing");
}

void read_volumes(File &file, const std::map<std::string, PlanId> &plans,
                  const std::function<void(VolumeId, const std::string &, std::uint64_t,
                                           std::uint32_t, const std::string &, int)> &on_volume) {
    std::map<std::uint64_t, std::string> names_by_id;
    std::set<std::string> names;
    for (auto *section : file.all("volume")) {
        std::uint64_t name_hash = XXH3_64bits(section->name().data(), section->name().size());
        VolumeId id{section->count("id", 0, std::numeric_limits<std::uint64_t>::max(), name_hash)};
        if (section->name().find('@') != std::string::npos)
            section->fault("", "expected a name without '@', which separates a volume's name from "
                               "that of a snapshot");
        if (section->name().empty())
            section->fault("", "expected a section like [volume members]");
        if (auto [it, is_new] = names_by_id.try_emplace(id.value, section->name()); !is_new)
            section->fault("id", "volume '" + it->second + "' has the same id");
        if (!names.insert(section->name()).second)
            section->fault("", "volume " + section->name() + " is defined twice");
        auto size = section->bytes("size");
        auto alignment = section->bytes("align", 512);
        auto plan = section->text("plan");
        if (alignment < 512 || alignment > 65536 || (alignment & (alignment - 1)) != 0)
            section->fault("align", "expected a power of two from 512 to 64KiB");
        else if (size == 0 || size % alignment != 0)
            section->fault("size", "expected a multiple of align, " + std::to_string(alignment) +
                                       ", above 0");
        if (!plans.contains(plan))
            section->fault("plan", "no section [plan " + plan + "]");
        on_volume(id, section->name(), size, static_cast<std::uint32_t>(alignment), plan,
                  section->line());
    }
    if (names.empty())
        file.fault(0, "a section [volume NAME] is missing");
}

} // namespace knotvane::settings
