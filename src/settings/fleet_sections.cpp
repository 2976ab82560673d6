#include "settings/fleet_sections.hpp"

#include <limits>
#include <set>

#include <xxhash.h>

namespace knotvane::settings {
namespace {
constexpr double any = std::numeric_limits<double>::max();
} // namespace

void read_plans(File &file, const std::function<void(const std::string &, double, double, double,
                                                     double, double, double)> &tell) {
    std::set<std::string> names;
    for (auto *s : file.all("plan")) {
        if (!names.insert(s->name()).second)
            s->fault("", "plan " + s->name() + " is here twice");
        double weight = s->number("weight", 0, 1e6), usual = s->number("usual", 0, any, 0),
               reserve = s->number("reserve", 0, any, 0), price = s->number("price", 0, 1e6, 1),
               rate = s->number("limit", 0, any, 0), burst = s->number("burst", 0, any, 0);
        if (weight <= 0)
            s->fault("weight",
                     reserve > 0
                         ? "a plan with a reserve can't weigh nothing: its reserve would not be met"
                         : "expected more than 0");
        if (rate > 0 && reserve > rate)
            s->fault("reserve", "expected at most the limit");
        if ((rate > 0) != (burst > 0))
            s->fault("burst", "limit and burst go together");
        tell(s->name(), weight, usual, reserve, price, rate, burst);
    }
    if (names.empty())
        file.fault(0, "a section [plan NAME] is missing");
}

void read_volumes(File &file, const std::map<std::string, PlanId> &plans,
                  const std::function<void(VolumeId, const std::string &, std::uint64_t,
                                           std::uint32_t, const std::string &, int)> &tell) {
    std::map<std::uint64_t, std::string> ids;
    std::set<std::string> names;
    for (auto *s : file.all("volume")) {
        std::uint64_t by_name = XXH3_64bits(s->name().data(), s->name().size());
        VolumeId id{s->count("id", 0, std::numeric_limits<std::uint64_t>::max(), by_name)};
        if (s->name().find('@') != std::string::npos)
            s->fault("", "a volume's name has no '@': that is for its snapshots");
        if (s->name().empty())
            s->fault("", "expected a section like [volume members]");
        if (auto [it, is_new] = ids.try_emplace(id.value, s->name()); !is_new)
            s->fault("id", "volume '" + it->second + "' has it, too");
        if (!names.insert(s->name()).second)
            s->fault("", "volume " + s->name() + " is here twice");
        auto size = s->bytes("size");
        auto least = s->bytes("align", 512);
        auto plan = s->text("plan");
        if (least < 512 || least > 65536 || (least & (least - 1)) != 0)
            s->fault("align", "expected a power of two from 512 to 64KiB");
        else if (size == 0 || size % least != 0)
            s->fault("size",
                     "expected a multiple of align, " + std::to_string(least) + ", above 0");
        if (!plans.contains(plan))
            s->fault("plan", "no section [plan " + plan + "]");
        tell(id, s->name(), size, static_cast<std::uint32_t>(least), plan, s->line());
    }
    if (names.empty())
        file.fault(0, "a section [volume NAME] is missing");
}

} // namespace knotvane::settings
