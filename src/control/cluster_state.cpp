#include "control/cluster_state.hpp"

#include <utility>

namespace knotvane::control {
namespace {

// A quarter: enough that a volume whose edge lost its planner is served on, little enough that
// those which follow can take up nearly all of the rest.
constexpr std::uint32_t faded_part = 4;
// Entries taken down at once: a tenth of a millisecond's work.
constexpr std::size_t piece = 512;

template <class Map>
bool clear_piece(Map &map) {
    for (std::size_t i = 0; i < piece && !map.empty(); ++i)
        map.erase(map.begin());
    return !map.empty();
}

} // namespace

std::uint32_t usable_millionths(std::uint32_t millionths, Time past_lease, Time fade) {
    return past_lease <= 0 ? millionths : past_lease <= fade ? millionths / faded_part : 0;
}

void ClusterState::put(VolumeId id, Volume v) {
    auto &to = volumes[id];
    if (to.name != v.name) {
        if (auto it = names.find(to.name); it != names.end() && it->second == id)
            names.erase(it);
        names[v.name] = id;
    }
    to = std::move(v);
}
void ClusterState::drop_volume(VolumeId id) {
    auto it = volumes.find(id);
    if (it == volumes.end())
        return;
    if (auto n = names.find(it->second.name); n != names.end() && n->second == id)
        names.erase(n);
    volumes.erase(it);
}

void ClusterStateReplica::begins(Term term, std::uint64_t instance, std::uint64_t lineage,
                                 Version version, Version from) {
    // What was begun and not ended is dropped: its end was lost, or never sent.
    if (!fresh_.volumes.empty() || !fresh_.nodes.empty())
        past_.push_back(std::exchange(fresh_, {}));
    changes_.clear();
    next_term_ = term, next_instance_ = instance, next_lineage_ = lineage;
    next_version_ = version, from_ = from, told_ = 0;
    open_ = true, whole_ = from == Version{0};
}

UpdateResult ClusterStateReplica::ends(Version version, std::uint64_t count) {
    if (!std::exchange(open_, false))
        return UpdateResult::broken;
    if (version != next_version_ || count != told_)
        return UpdateResult::broken;
    if (next_term_ < term_ || (next_term_ == term_ && next_instance_ != instance_))
        return UpdateResult::foreign;
    bool known = term_ != Term{0} && next_lineage_ == lineage_;
    // Versions go on counting from one term to the next; only another store's begin anew.
    if (known && next_version_ < version_)
        return UpdateResult::old;
    if (known && next_term_ == term_ && next_version_ == version_)
        return UpdateResult::old;
    if (!whole_ && (!known || from_ != version_))
        return UpdateResult::gap;
    if (whole_) {
        nodes_changed_ = fresh_.nodes != now_.nodes;
        plans_changed_ = fresh_.plans != now_.plans;
        past_.push_back(std::exchange(now_, std::exchange(fresh_, {})));
    } else {
        auto nodes = now_.nodes;
        auto plans = now_.plans;
        for (auto &c : changes_)
            c(now_);
        nodes_changed_ = nodes != now_.nodes, plans_changed_ = plans != now_.plans;
        changes_.clear();
    }
    term_ = next_term_, instance_ = next_instance_, lineage_ = next_lineage_,
    version_ = next_version_;
    return whole_ ? UpdateResult::whole : UpdateResult::changes;
}

bool ClusterStateReplica::clear_away() {
    if (past_.empty())
        return false;
    auto &t = past_.back();
    if (!clear_piece(t.volumes) && !clear_piece(t.names) && !clear_piece(t.quota_shares))
        past_.pop_back();
    return !past_.empty();
}

} // namespace knotvane::control
