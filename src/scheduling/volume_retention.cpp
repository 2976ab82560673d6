#include "scheduling/volume_retention.hpp"

namespace knotvane::scheduling {

void VolumeRetention::used(NodeId node, VolumeId volume, NodeTable &nodes,
                           std::map<VolumeId, WindowedSum> &requested_units) {
    queued_volumes_.use({node, volume});
    if (queued_volumes_.size() > max_idle) {
        const auto [oldest_node, oldest_volume] = queued_volumes_.oldest();
        queued_volumes_.remove_oldest();
        NodeRecord *record = nodes.find(oldest_node);
        if (record && !record->queue.forget(oldest_volume))
            queued_volumes_.use({oldest_node, oldest_volume});
    }
    volumes_.use(volume);
    if (volumes_.size() > max_idle) {
        requested_units.erase(volumes_.oldest());
        volumes_.remove_oldest();
    }
}

} // namespace knotvane::scheduling
