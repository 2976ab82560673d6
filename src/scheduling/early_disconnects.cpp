#include "scheduling/early_disconnects.hpp"

#include <cstddef>
#include <set>

#include "scheduling/never.hpp"

namespace knotvane::scheduling {
namespace {

// Many: so many disconnects within that time.
constexpr std::size_t many_disconnects = 8;
constexpr Time disconnect_window = 2 * sec;

// Disconnects of so many volumes count for all volumes.
constexpr std::size_t many_volumes = 4;

constexpr double quick_quarter = 0.25;

} // namespace

void EarlyDisconnects::client_disconnected(Time now, VolumeId volume, Time waited) {
    disconnects_.add({now, volume, waited});
}

bool EarlyDisconnects::many_recent(Time now) const {
    if (disconnects_.size() < many_disconnects)
        return false;
    const Disconnect &first_of_many = *(disconnects_.end() - many_disconnects);
    return first_of_many.at > now - disconnect_window;
}

Time EarlyDisconnects::wait_limit(VolumeId volume, Time now) const {
    RecentSamples<Time, 32> waits;
    RecentSamples<Time, 32> waits_of_volume;
    std::set<VolumeId> volumes;
    for (const Disconnect &disconnect : disconnects_) {
        if (disconnect.at <= now - disconnect_window)
            continue;
        waits.add(disconnect.waited);
        volumes.insert(disconnect.volume);
        if (disconnect.volume == volume)
            waits_of_volume.add(disconnect.waited);
    }
    bool counts_for_all = volumes.size() >= many_volumes;
    const auto &relevant = counts_for_all ? waits : waits_of_volume;
    if (relevant.size() < many_disconnects)
        return unlimited_wait;

    Time limit = relevant.quantile(quick_quarter);
    std::size_t stayed_longer = 0;
    for (const Answer &answer : answered_)
        if ((counts_for_all || answer.volume == volume) && answer.waited > limit)
            ++stayed_longer;
    return stayed_longer >= relevant.size() ? unlimited_wait : limit;
}

} // namespace knotvane::scheduling
