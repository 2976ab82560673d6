#include "planner/status_report.hpp"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace knotvane::planner {
namespace {

using nlohmann::json;

const char *stage_name(LeaseTable::Stage stage) {
    switch (stage) {
    case LeaseTable::Stage::held:
        return "held";
    case LeaseTable::Stage::lapsed:
        return "lapsed";
    case LeaseTable::Stage::forgotten:
        return "none";
    }
    return "unknown";
}

json node_report(const StatusSources &sources, NodeId id, const DesiredState::Node &desired,
                 Time now) {
    const auto &nodes = sources.context.state.cluster_state().nodes;
    auto it = nodes.find(id);
    const bool known = it != nodes.end();
    const auto *liveness = sources.nodes.find_liveness(id);
    const char *order = "ready";
    if (sources.nodes.is_drained_by_operator(id))
        order = "drain";
    else if (desired.draining)
        order = "drain (settings)";
    const bool has_start = known && it->second.started > 0;
    const bool has_registered = liveness && liveness->has_registered();
    return {{"id", id.value},
            {"shard", desired.shard.value},
            {"zone", desired.zone.value},
            {"state", known ? name(it->second.state) : "never heard"},
            {"word", order},
            {"address", known ? it->second.address : desired.address},
            {"age_ms", has_start ? (now - it->second.started) / ms : 0},
            {"silent_ms", has_registered ? liveness->silent_for(now) / ms : -1},
            {"out_of_reach_for", liveness ? liveness->unreachable_reports() : 0}};
}

json snapshot_report(const StatusSources &sources, VolumeId id, const control::Volume &volume,
                     Time now) {
    const auto &volumes = sources.context.state.cluster_state().volumes;
    auto source = volumes.find(volume.source);
    return {{"id", id.value},
            {"name", volume.name},
            {"kind", volume.frozen ? "snapshot" : "clone"},
            {"of", source == volumes.end() ? "(dropped)" : source->second.name},
            {"size", volume.size},
            {"age_ms", (now - volume.created_at) / ms},
            {"pays", volume.quota_volume.value ? "its source" : "itself"},
            {"used_by", sources.snapshots.edges_using(id)}};
}

json pending_report(const SnapshotOperations &snapshots, Time now) {
    auto out = json::array();
    for (const auto &[id, awaited] : snapshots.coordinator().describe_running())
        if (auto it = snapshots.pending().find(id); it != snapshots.pending().end())
            out.push_back({{"name", it->second.volume.name},
                           {"since_ms", (now - it->second.began_at) / ms},
                           {"what", awaited}});
    return out;
}

json pending_drops_report(const SnapshotCoordinator &coordinator) {
    auto out = json::array();
    for (const auto &[id, shards] : coordinator.pending_drops()) {
        auto left = json::array();
        for (auto shard : shards)
            left.push_back(shard.value);
        out.push_back({{"id", id.value}, {"shards_left", left}});
    }
    return out;
}

json edge_report(const StatusSources &sources, EdgeId edge, Time now) {
    const auto &context = sources.context;
    json out{{"id", edge.value}, {"lease", stage_name(sources.quotas.leases().stage(edge))}};
    out["serving"] = sources.quotas.allocation().volumes_served_by(edge).size();
    auto it = context.sessions.edges.find(edge);
    out["connected"] = it != context.sessions.edges.end();
    if (it == context.sessions.edges.end())
        return out;
    const auto &session = context.sessions.all.at(it->second);
    const auto &view = session.edge_view;
    const auto version = context.state.version();
    out["listen"] = view.listen_address;
    out["version"] = view.acknowledged.value;
    out["term"] = view.term.value;
    out["behind"] = version.value - std::min(view.acknowledged, version).value;
    out["silent_ms"] = (now - session.last_received) / ms;
    return out;
}

json edges_report(const StatusSources &sources, Time now) {
    std::set<EdgeId> edges;
    for (const auto &[edge, session] : sources.context.sessions.edges)
        edges.insert(edge);
    for (const auto &[volume, holdings] : sources.quotas.allocation().holdings())
        for (const auto &[edge, holding] : holdings)
            edges.insert(edge);
    auto out = json::array();
    for (auto edge : edges)
        out.push_back(edge_report(sources, edge, now));
    return out;
}

} // namespace

std::string build_status_report(const StatusSources &sources, Time now) {
    const auto &context = sources.context;
    const auto &state = context.state;
    json out{{"term", context.term.value},
             {"version", state.version().value},
             {"lineage", context.lineage},
             {"settings", context.desired.version},
             {"up_ms", (now - sources.started) / ms},
             {"volumes", state.cluster_state().volumes.size()},
             {"retired", context.retired}};
    out["nodes"] = json::array();
    for (const auto &[id, desired] : context.desired.nodes)
        out["nodes"].push_back(node_report(sources, id, desired, now));
    out["cuts"] = json::array();
    for (const auto &[id, volume] : state.cluster_state().volumes)
        if (volume.is_snapshot_or_clone())
            out["cuts"].push_back(snapshot_report(sources, id, volume, now));
    out["cuts_under_way"] = pending_report(sources.snapshots, now);
    out["cuts_undone"] = pending_drops_report(sources.snapshots.coordinator());
    out["edges"] = edges_report(sources, now);
    return out.dump();
}

} // namespace knotvane::planner
