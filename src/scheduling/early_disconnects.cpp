#include "scheduling/early_disconnects.hpp"

#include <cstddef>
#include <set>

#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {
namespace {

// The least number of disconnects within the time window that limits the wait.
constexpr std::size_t min_disconnects = 8;
constexpr Time disconnect_window = 2 * sec;

// Disconnects of at least this many volumes limit the wait of all volumes.
constexpr std::size_t min_volumes_for_all = 4;

constexpr double first_quartile = 0.25;

} // namespace

void EarlyDisconnects::client_disconnected(Time now, VolumeId volume, Time waited) {
    disconnects_.add({now, volume, waited});
}

bool EarlyDisconnects::many_recent(Time now) const {
    if (disconnects_.size() < min_disconnects)
        return false;
    const Disconnect &oldest_needed = *(disconnects_.end() - min_disconnects);
    return oldest_needed.at > now - disconnect_window;
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
    bool limits_all = volumes.size() >= min_volumes_for_all;
    const auto &relevant = limits_all ? waits : waits_of_volume;
    if (relevant.size() < min_disconnects)
        return unlimited_wait;

    Time limit = relevant.quantile(first_quartile);
    std::size_t answered_later = 0;
    for (const Answer &answer : answered_)
        if ((limits_all || answer.volume == volume) && answer.waited > limit)
            ++answered_later;
    return answered_later >= relevant.size() ? unlimited_wait : limit;
}

} // namespace knotvane::scheduling
