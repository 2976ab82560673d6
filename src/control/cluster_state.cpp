#include "control/cluster_state.hpp"

#include <utility>

namespace knotvane::control {
namespace {

// A quarter of the share is enough for an edge that lost the planner to keep serving the volume,
// and small enough that nearly all of the rest can be given to other edges.
constexpr std::uint32_t fade_divisor = 4;

} // namespace

std::uint32_t usable_millionths(std::uint32_t millionths, Time past_lease, Time fade) {
    if (past_lease <= 0)
        return millionths;
    return past_lease <= fade ? millionths / fade_divisor : 0;
}

void ClusterState::put(VolumeId id, Volume volume) {
    auto &current = volumes[id];
    if (current.name != volume.name) {
        if (auto it = names.find(current.name); it != names.end() && it->second == id)
            names.erase(it);
        names[volume.name] = id;
    }
    current = std::move(volume);
}

void ClusterState::drop_volume(VolumeId id) {
    auto it = volumes.find(id);
    if (it == volumes.end())
        return;
    if (auto name = names.find(it->second.name); name != names.end() && name->second == id)
        names.erase(name);
    volumes.erase(it);
}

} // namespace knotvane::control
